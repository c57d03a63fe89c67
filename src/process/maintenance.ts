/**
 * Servicing of VMs: who may be taken out next, and how a VM goes from permit through drain and reboot back to work.
 * All state is in the pool's row, so any entry can go on where another stopped.
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
import { effectivePoolOf, isAvailable, minAvailableOf } from "./workers.js";

/** Kinds of effects on VMs. */
export enum VmEffectKind {
    Drain = "drain",
    Undrain = "undrain",
    Reboot = "reboot",
    /** Asks whether nothing that any entry sent can still be running on the VM. */
    IsDrained = "is-quiet",
    ReportStep = "note",
}

/** Notable steps of servicing. */
export enum MaintenanceStep {
    PermitTaken = "permit-taken",
    Rebooting = "rebooting",
    PermitReleased = "permit-released",
    Overdue = "overdue",
}

/** An effect that servicing asks for. */
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

/** Options of one round of servicing. */
export interface MaintenanceRoundOptions {
    readonly pool: string;
    readonly view: FleetView;
    /** Wall-clock time, in milliseconds. */
    readonly now: number;
    /** Longest time a VM may be up before it is serviced, in milliseconds. */
    readonly maxUptimeMs: number;
    /** Time after which a VM that does not return counts as trouble, in milliseconds. */
    readonly returnTimeoutMs?: number;
    /** Makes permit ids. */
    readonly createPermitId: () => string;
    /** Whether to take more VMs out now; running services go on regardless. */
    readonly mayTakePermits?: boolean;
}

const defaultReturnTimeoutMs = 120_000;

/** Runs one round for one pool: moves every permit on, then takes new ones as far as the budget allows. */
export function* runMaintenanceRound(options: MaintenanceRoundOptions): MaintenanceFlow<void> {
    if (!hasWork(options)) {
        return;
    }
    const key = poolRowKey(options.pool);
    let row = yield* getRow(key, StorePriority.Claim);
    for (const permit of Object.values(poolRowValue(row).permits)) {
        if (yield* advancePermit(options, row, permit)) {
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

/** Whether the view shows any permit or any VM to take out; saves reading the row of a pool at rest. */
function hasWork(options: MaintenanceRoundOptions): boolean {
    const known = options.view.poolRows.get(options.pool) ?? emptyPoolRow;
    return Object.keys(known.permits).length > 0 || selectDueVms(options, known).length > 0;
}

function poolRowValue(row: Row | undefined): PoolRow {
    return row === undefined ? emptyPoolRow : row.value as PoolRow;
}

/** VMs of a pool by its effective membership. */
export function vmsOfPool(view: FleetView, pool: string): readonly Vm[] {
    return view.vms.filter(vm => effectivePoolOf(view, vm) === pool);
}

/** VMs to take out of service now, longest-running first; empty while the pool has trouble or no room. */
export function selectDueVms(options: MaintenanceRoundOptions, row: PoolRow): readonly Vm[] {
    const { view, pool, now, maxUptimeMs, mayTakePermits = true } = options;
    const vms = vmsOfPool(view, pool);
    const permits = Object.values(row.permits);
    if (!mayTakePermits || hasFailedOrOverdueVm(options, vms, row)) {
        return [];
    }
    const available = vms.filter(vm => isAvailable(view, vm) && row.permits[vm.id] === undefined);
    const room = available.length - minAvailableOf(view, pool);
    const due = available.filter(vm => now - vm.bootedAt > maxUptimeMs).sort((a, b) =>
        a.bootedAt - b.bootedAt
    );
    const rack = permits[0]?.rack ?? due[0]?.rack;
    return due.filter(vm => vm.rack === rack).slice(0, Math.max(0, room));
}

/** Whether a VM of the pool failed or did not return in time; the wave waits until that has cleared. */
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
    const wanted: PoolRow = { ...value, permits: { ...value.permits, [id]: permit } };
    if (
        (yield* commit([putWrite(poolRowKey(pool), row, wanted)], StorePriority.Claim))
            !== CommitOutcome.Committed
    ) {
        return false;
    }
    yield { kind: VmEffectKind.ReportStep, step: MaintenanceStep.PermitTaken, vm: id, pool };
    return true;
}

/** Moves one permit on; true when the row changed. */
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
    const isQuiet = (yield { kind: VmEffectKind.IsDrained, permit, pool: options.pool }) as boolean;
    if (!isQuiet) {
        return false;
    }
    const moved = yield* replacePermit(options, row, { ...permit, phase: PermitPhase.Rebooting });
    if (moved) {
        yield { kind: VmEffectKind.Reboot, vm: vm.id, bootId: permit.bootId };
        yield {
            kind: VmEffectKind.ReportStep,
            step: MaintenanceStep.Rebooting,
            vm: vm.id,
            pool: options.pool,
        };
    }
    return moved;
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
    const wanted: PoolRow = { ...value, permits: next === undefined ? permits : { ...permits, [vm]: next } };
    return (yield* commit([putWrite(poolRowKey(pool), row, wanted)], StorePriority.Claim))
        === CommitOutcome.Committed;
}
