/** Moves VMs between pools. One transaction on the rows of the VM and both pools keeps each VM in exactly one pool. */
import type { FleetView } from "./fleet.js";
import { emptyPoolRow, type PoolRow, poolRowKey, type VmRow, vmRowKey } from "./pool-rows.js";
import { commit, CommitOutcome, getRow, putWrite, type Row, type StoreFlow, StorePriority } from "./store.js";
import {
    effectivePoolOf,
    isAvailable,
    isEvacuated,
    isInEvacuatedZone,
    mayServe,
    minAvailableOf,
} from "./workers.js";

/** A move of one VM. */
export interface VmMove {
    readonly vm: string;
    readonly from: string;
    readonly to: string;
    /** Pool that the VM belongs to when it is not lent; it differs from `to` while the VM is lent. */
    readonly home: string;
}

/**
 * Whether a view includes all moves that a pool's row counts. If it does not, its number of available VMs in the pool
 * may be wrong.
 */
export function includesAllMoves(view: FleetView, pool: string, row: PoolRow): boolean {
    return (view.poolRows.get(pool)?.moves ?? 0) === (row.moves ?? 0);
}

/**
 * Moves a VM if it is still in `from`, has no permit there, and `from` keeps its minimum of available VMs without it.
 * Returns false, without a change, if one of these does not hold or the view is out of date, and false if the
 * transaction was not confirmed as committed.
 */
export function* moveVm(view: FleetView, { vm, from, to, home }: VmMove): StoreFlow<boolean> {
    const vmRow = yield* getRow(vmRowKey(vm), StorePriority.Claim);
    const fromRow = yield* getRow(poolRowKey(from), StorePriority.Claim);
    const toRow = yield* getRow(poolRowKey(to), StorePriority.Claim);
    const source = poolRowValue(fromRow);
    const target = poolRowValue(toRow);
    const listed = view.vms.find(other => other.id === vm);
    const isInSource = ((vmRow?.value as VmRow | undefined)?.pool ?? listed?.pool) === from;
    const isViewCurrent = includesAllMoves(view, from, source) && includesAllMoves(view, to, target);
    const isServing = listed === undefined || !isEvacuated(view, listed);
    if (
        !isInSource || !isViewCurrent || source.permits[vm] !== undefined
        || !hasSurplusVm(view, from, source, isServing)
    ) {
        return false;
    }
    const outcome = yield* commit([
        putWrite(vmRowKey(vm), vmRow, { pool: to, home } satisfies VmRow),
        putWrite(poolRowKey(from), fromRow, withMoveCounted(source)),
        putWrite(poolRowKey(to), toRow, withMoveCounted(target)),
    ], StorePriority.Claim);
    return outcome === CommitOutcome.Committed;
}

/**
 * Whether a pool keeps its minimum of available VMs with one VM less. For a VM that serves, VMs of evacuated zones do
 * not count.
 */
export function hasSurplusVm(view: FleetView, pool: string, row: PoolRow, isServing = true): boolean {
    const counts = isServing ? mayServe : isAvailable;
    const available = view.vms.filter(vm => effectivePoolOf(view, vm) === pool && counts(view, vm));
    return available.filter(vm => row.permits[vm.id] === undefined).length > minAvailableOf(view, pool);
}

/** Moves that return the VMs lent to a pool to their home pools, those of VMs in evacuated zones first. */
export function returnMovesOf(view: FleetView, pool: string): readonly VmMove[] {
    return [...view.vmRows]
        .filter(([, row]) => row.pool === pool && row.home !== undefined && row.home !== pool)
        .map(([vm, row]) => ({ vm, from: pool, to: row.home!, home: row.home! }))
        .sort((a, b) => Number(isInEvacuatedZone(view, b.vm)) - Number(isInEvacuatedZone(view, a.vm)));
}

/**
 * Move that lends `pool` the most recently booted VM of a spare pool outside evacuated zones; undefined if no spare pool
 * can lend one.
 */
export function findLendMove(view: FleetView, pool: string): VmMove | undefined {
    const spares = view.pools.filter(spec => spec.spare && spec.name !== pool);
    for (const { name } of spares) {
        const row = view.poolRows.get(name) ?? emptyPoolRow;
        const available = view.vms
            .filter(vm => effectivePoolOf(view, vm) === name && mayServe(view, vm))
            .sort((a, b) => b.bootedAt - a.bootedAt);
        if (available[0] !== undefined && hasSurplusVm(view, name, row)) {
            return { vm: available[0].id, from: name, to: pool, home: name };
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
