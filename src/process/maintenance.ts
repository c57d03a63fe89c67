/**
 * Maintenance of VMs: selects the VMs to take out of service, and advances each through permit, drain and reboot until
 * it accepts work again. All state is in the pool's row, so that any entry can continue where another stopped.
 */
import type { FleetView } from "./fleet.js";
import type { Flow } from "./flow.js";
import { type Vm, VmState } from "./platform.js";
import { emptyPoolRow, type Permit, PermitPhase, type PoolRow, poolRowKey } from "./pool-rows.js";
import {
    commit,
    CommitOutcome,
    getRow,
    putWrite,
    type Row,
    type StoreEffect,
    StorePriority,
} from "./store.js";
import { includesAllMoves } from "./vm-moves.js";
import { effectivePoolOf, isAvailable, isEvacuated, mayServe, minAvailableOf } from "./workers.js";

/** Kinds of effects on VMs. */
export enum VmEffectKind {
    Drain = "drain",
    Undrain = "undrain",
    Reboot = "reboot",
    /** Queries whether no work of any entry, including ended ones, can still be running on the VM. */
    IsDrained = "is-quiet",
    ReportStep = "note",
}

/** Steps of the maintenance of a VM that are logged and counted. */
export enum MaintenanceStep {
    PermitTaken = "permit-taken",
    Rebooting = "rebooting",
    PermitReleased = "permit-released",
    /** The VM did not return to service in time. */
    Overdue = "overdue",
}

/** An effect that a maintenance flow yields. */
export type MaintenanceEffect =
    | StoreEffect
    | { readonly kind: VmEffectKind.Drain | VmEffectKind.Undrain; readonly vm: string }
    | { readonly kind: VmEffectKind.Reboot; readonly vm: string; readonly bootId: string }
    | { readonly kind: VmEffectKind.IsDrained; readonly permit: Permit; readonly pool: string }
    | {
        readonly kind: VmEffectKind.ReportStep;
        readonly step: MaintenanceStep;
        readonly vm: string;
        readonly pool: string;
    };

type MaintenanceFlow<T> = Flow<MaintenanceEffect, T>;

/** Options of one maintenance round of a pool. */
export interface MaintenanceRoundOptions {
    readonly pool: string;
    readonly view: FleetView;
    /** Wall-clock time, in milliseconds. */
    readonly now: number;
    /** Uptime above which a VM is due for maintenance, in milliseconds. */
    readonly maxUptimeMs: number;
    /** Time after a permit is taken above which the VM is overdue and no further permits are taken, in milliseconds. */
    readonly returnTimeoutMs?: number;
    /** Creates a permit id. */
    readonly createPermitId: () => string;
    /** Whether new permits may be taken; existing ones advance in any case. */
    readonly mayTakePermits?: boolean;
}

const defaultReturnTimeoutMs = 120_000;

/** Runs one round for one pool: advances all permits, then takes new ones while the pool keeps its minimum of VMs. */
export function* runMaintenanceRound(options: MaintenanceRoundOptions): MaintenanceFlow<void> {
    if (!hasWork(options)) {
        return;
    }
    const key = poolRowKey(options.pool);
    let row = yield* getRow(key, StorePriority.Claim);
    for (const vm of Object.keys(poolRowValue(row).permits)) {
        const permit = poolRowValue(row).permits[vm];
        if (permit !== undefined) {
            yield* advancePermit(options, row, permit);
            // Peers may have taken a second to answer, in which another entry can release a permit or advance it.
            row = yield* getRow(key, StorePriority.Claim);
        }
    }
    for (const vm of selectDueVms(options, poolRowValue(row))) {
        if (!(yield* takePermit(options, row, vm))) {
            return;
        }
        row = yield* getRow(key, StorePriority.Claim);
    }
}

/** Whether the view has a permit or a VM to take out of service; otherwise the round need not read the pool's row. */
function hasWork(options: MaintenanceRoundOptions): boolean {
    const row = options.view.poolRows.get(options.pool) ?? emptyPoolRow;
    return Object.keys(row.permits).length > 0 || selectDueVms(options, row).length > 0;
}

function poolRowValue(row: Row | undefined): PoolRow {
    return row === undefined ? emptyPoolRow : row.value as PoolRow;
}

/** VMs whose effective pool is `pool`. */
export function vmsOfPool(view: FleetView, pool: string): readonly Vm[] {
    return view.vms.filter(vm => effectivePoolOf(view, vm) === pool);
}

/**
 * VMs to take out of service now, longest uptime first. All VMs out of service at a time are in one rack, and the pool
 * keeps its minimum of available VMs. VMs of evacuated zones go first, and others only while the pool keeps its minimum
 * without counting VMs of evacuated zones. Empty while a VM of the pool has failed or is overdue.
 */
export function selectDueVms(options: MaintenanceRoundOptions, row: PoolRow): readonly Vm[] {
    const { view, pool, now, maxUptimeMs, mayTakePermits = true } = options;
    const vms = vmsOfPool(view, pool);
    const permits = Object.values(row.permits);
    if (!mayTakePermits || hasFailedOrOverdueVm(options, vms, row)) {
        return [];
    }
    const available = vms.filter(vm => isAvailable(view, vm) && row.permits[vm.id] === undefined);
    const minAvailable = minAvailableOf(view, pool);
    const due = available.filter(vm => now - vm.bootedAt > maxUptimeMs).sort((a, b) =>
        Number(isEvacuated(view, b)) - Number(isEvacuated(view, a)) || a.bootedAt - b.bootedAt
    );
    const rack = permits[0]?.rack ?? due[0]?.rack;
    const dueInRack = due.filter(vm => vm.rack === rack);
    const evacuated = dueInRack.filter(vm => isEvacuated(view, vm));
    const serving = available.filter(vm => mayServe(view, vm));
    return evacuated.length > 0
        ? evacuated.slice(0, Math.max(0, available.length - minAvailable))
        : dueInRack.slice(0, Math.max(0, serving.length - minAvailable));
}

/** Whether a VM of the pool has failed or is overdue. The wave halts until neither is the case. */
function hasFailedOrOverdueVm(
    { now, returnTimeoutMs = defaultReturnTimeoutMs }: MaintenanceRoundOptions,
    vms: readonly Vm[],
    row: PoolRow,
): boolean {
    const isDown = vms.some(vm => vm.state !== VmState.Live && row.permits[vm.id] === undefined);
    return isDown || Object.values(row.permits).some(permit => now - permit.takenAt > returnTimeoutMs);
}

function* takePermit(
    options: MaintenanceRoundOptions,
    row: Row | undefined,
    vm: Vm,
): MaintenanceFlow<boolean> {
    const { pool, now, createPermitId } = options;
    const value = poolRowValue(row);
    if (
        !includesAllMoves(options.view, pool, value)
        || !selectDueVms(options, value).some(other => other.id === vm.id)
    ) {
        return false;
    }
    const { id, rack, bootId } = vm;
    const permit: Permit = {
        id: createPermitId(),
        vm: id,
        rack,
        bootId,
        phase: PermitPhase.Draining,
        takenAt: now,
    };
    const updated: PoolRow = { ...value, permits: { ...value.permits, [id]: permit } };
    if (
        (yield* commit([putWrite(poolRowKey(pool), row, updated)], StorePriority.Claim))
            !== CommitOutcome.Committed
    ) {
        return false;
    }
    yield { kind: VmEffectKind.ReportStep, step: MaintenanceStep.PermitTaken, vm: id, pool };
    return true;
}

/** Advances one permit, which `row` contains; returns whether the row changed. */
function* advancePermit(
    options: MaintenanceRoundOptions,
    row: Row | undefined,
    permit: Permit,
): MaintenanceFlow<boolean> {
    const vm = options.view.vms.find(other => other.id === permit.vm);
    if (vm === undefined) {
        return yield* releasePermit(options, row, permit);
    }
    switch (permit.phase) {
        case PermitPhase.Draining:
            return yield* advanceDraining(options, row, permit, vm);
        case PermitPhase.Rebooting:
            return yield* advanceRebooting(options, row, permit, vm);
    }
}

function* advanceDraining(
    options: MaintenanceRoundOptions,
    row: Row | undefined,
    permit: Permit,
    vm: Vm,
): MaintenanceFlow<boolean> {
    if (vm.bootId !== permit.bootId && vm.state === VmState.Live) {
        yield { kind: VmEffectKind.Undrain, vm: vm.id };
        return yield* releasePermit(options, row, permit);
    }
    yield { kind: VmEffectKind.Drain, vm: vm.id };
    const isDrained = (yield { kind: VmEffectKind.IsDrained, permit, pool: options.pool }) as boolean;
    if (!isDrained) {
        return false;
    }
    const replaced = yield* replacePermit(options, row, { ...permit, phase: PermitPhase.Rebooting });
    if (replaced) {
        yield { kind: VmEffectKind.Reboot, vm: vm.id, bootId: permit.bootId };
        yield {
            kind: VmEffectKind.ReportStep,
            step: MaintenanceStep.Rebooting,
            vm: vm.id,
            pool: options.pool,
        };
    }
    return replaced;
}

function* advanceRebooting(
    options: MaintenanceRoundOptions,
    row: Row | undefined,
    permit: Permit,
    vm: Vm,
): MaintenanceFlow<boolean> {
    const { now, pool, returnTimeoutMs = defaultReturnTimeoutMs } = options;
    if (vm.bootId === permit.bootId && vm.state === VmState.Live) {
        yield { kind: VmEffectKind.Reboot, vm: vm.id, bootId: permit.bootId };
        return false;
    }
    if (vm.state !== VmState.Live) {
        if (now - permit.takenAt > returnTimeoutMs) {
            yield { kind: VmEffectKind.ReportStep, step: MaintenanceStep.Overdue, vm: vm.id, pool };
        }
        return false;
    }
    yield { kind: VmEffectKind.Undrain, vm: vm.id };
    return yield* releasePermit(options, row, permit);
}

function* releasePermit(
    options: MaintenanceRoundOptions,
    row: Row | undefined,
    permit: Permit,
): MaintenanceFlow<boolean> {
    const released = yield* replacePermit(options, row, undefined, permit);
    if (released) {
        yield {
            kind: VmEffectKind.ReportStep,
            step: MaintenanceStep.PermitReleased,
            vm: permit.vm,
            pool: options.pool,
        };
    }
    return released;
}

function* replacePermit(
    { pool }: MaintenanceRoundOptions,
    row: Row | undefined,
    next: Permit | undefined,
    old?: Permit,
): MaintenanceFlow<boolean> {
    const value = poolRowValue(row);
    const vm = (next ?? old!).vm;
    const permits = { ...value.permits };
    delete permits[vm];
    const updated: PoolRow = { ...value, permits: next === undefined ? permits : { ...permits, [vm]: next } };
    return (yield* commit([putWrite(poolRowKey(pool), row, updated)], StorePriority.Claim))
        === CommitOutcome.Committed;
}
