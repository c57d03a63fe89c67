/** Moves of VMs between pools: one transaction on the VM's row and both pools' rows, so a VM is always in exactly one. */
import type { FleetView } from "./fleet.js";
import { emptyPoolRow, type PoolRow, poolRowKey, type VmRow, vmRowKey } from "./pool-rows.js";
import { commit, CommitOutcome, getRow, putWrite, type Row, type StoreFlow, StorePriority } from "./store.js";
import { effectivePoolOf, isAvailable, minAvailableOf } from "./workers.js";

/** A move of one VM. */
export interface VmMove {
    readonly vm: string;
    readonly from: string;
    readonly to: string;
    /** Pool that the VM belongs to when it is not lent. */
    readonly home: string;
}

/** Whether a view knows of every move that a pool's row knows of. */
export function includesAllMoves(view: FleetView, pool: string, row: PoolRow): boolean {
    return (view.poolRows.get(pool)?.moves ?? 0) === (row.moves ?? 0);
}

/** Moves a VM if it is still in `from`, holds no permit there, and `from` keeps its budget without it. */
export function* moveVm(view: FleetView, { vm, from, to, home }: VmMove): StoreFlow<boolean> {
    const vmRow = yield* getRow(vmRowKey(vm), StorePriority.Claim);
    const fromRow = yield* getRow(poolRowKey(from), StorePriority.Claim);
    const toRow = yield* getRow(poolRowKey(to), StorePriority.Claim);
    const source = poolRowValue(fromRow);
    const target = poolRowValue(toRow);
    const listed = view.vms.find(other => other.id === vm);
    const isHere = ((vmRow?.value as VmRow | undefined)?.pool ?? listed?.pool) === from;
    const isKnown = includesAllMoves(view, from, source) && includesAllMoves(view, to, target);
    if (!isHere || !isKnown || source.permits[vm] !== undefined || !hasSurplusVm(view, from, source)) {
        return false;
    }
    const outcome = yield* commit([
        putWrite(vmRowKey(vm), vmRow, { pool: to, home } satisfies VmRow),
        putWrite(poolRowKey(from), fromRow, withMoveCounted(source)),
        putWrite(poolRowKey(to), toRow, withMoveCounted(target)),
    ], StorePriority.Claim);
    return outcome === CommitOutcome.Committed;
}

/** Whether a pool keeps its budget with one VM less. */
export function hasSurplusVm(view: FleetView, pool: string, row: PoolRow): boolean {
    const available = view.vms.filter(vm => effectivePoolOf(view, vm) === pool && isAvailable(view, vm));
    return available.filter(vm => row.permits[vm.id] === undefined).length > minAvailableOf(view, pool);
}

/** VMs that were lent to a pool, with their home pools. */
export function returnMovesOf(view: FleetView, pool: string): readonly VmMove[] {
    return [...view.vmRows]
        .filter(([, row]) => row.pool === pool && row.home !== undefined && row.home !== pool)
        .map(([vm, row]) => ({ vm, from: pool, to: row.home!, home: row.home! }));
}

/** A VM that a spare pool can lend to `pool`, the most lately serviced first. */
export function findLendMove(view: FleetView, pool: string): VmMove | undefined {
    const spares = view.pools.filter(spec => spec.spare && spec.name !== pool);
    for (const { name } of spares) {
        const row = view.poolRows.get(name) ?? emptyPoolRow;
        const free = view.vms
            .filter(vm => effectivePoolOf(view, vm) === name && isAvailable(view, vm))
            .sort((a, b) => b.bootedAt - a.bootedAt);
        if (free[0] !== undefined && hasSurplusVm(view, name, row)) {
            return { vm: free[0].id, from: name, to: pool, home: name };
        }
    }
    return undefined;
}

function poolRowValue(row: Row | undefined): PoolRow {
    return row === undefined ? emptyPoolRow : row.value as PoolRow;
}

function withMoveCounted(row: PoolRow): PoolRow {
    return { ...row, moves: (row.moves ?? 0) + 1 };
}
