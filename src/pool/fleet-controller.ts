/** Controller run by the owner of a domain: reads the VM inventory, moves and maintains VMs, and reports waves. */
import type { StepSpec } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { RowPut } from "../process/rows.js";
import type { SchedulingSettings } from "../process/site-settings.js";
import { type Cancel, sleep } from "../process/timer.js";
import { DemandMeter } from "./demand.js";
import { FleetContinuation } from "./fleet-continuation.js";
import {
    canRunWhenEmpty,
    type FleetAction,
    type FleetPlanInput,
    planFleet,
    poolsWithoutRoom,
    type VmOrder,
    type VmSnapshot,
} from "./fleet-plan.js";
import { openSteps } from "./open-steps.js";
import { type EvacuatedZones, type InventoryVm, VmPhase } from "./ports.js";
import { FleetPacking } from "./scheduling/fleet-packing.js";
import { TakeoverPhase } from "./takeover-phases.js";
import { VmDrainer } from "./vm-drainer.js";
import { VmOrderDispatcher, type VmOrderDispatcherOptions } from "./vm-order-dispatcher.js";
import { WaveReporter, type WaveReporterOptions } from "./wave-reporter.js";
import type { WorkerState } from "./worker-registry.js";

/** Options of `FleetController.create`. */
export interface FleetControllerOptions
    extends WaveReporterOptions, Omit<VmOrderDispatcherOptions, "waveTracker" | "onOrderAccepted">
{
    readonly zones: EvacuatedZones;
    readonly scheduling: SchedulingSettings;
}

const tickIntervalMs = 100;
/** Interval of reading the inventory while VMs are changing, and while none is. */
const activeListIntervalMs = 500;
const idleListIntervalMs = 2500;
/** Longest wait of `stop` for orders in flight, and the interval of checking for them. */
const maxStopWaitMs = 500;
const stopPollMs = 10;
/** Time from the end of a VM's move until its worker takes work. */
const joinMs = 400;
/** VMs that a pool keeps beyond its computed need, and the least number of VMs of a pool. */
const poolReserveVms = 1;
const poolMinVms = 2;

/** Assigns the VMs of a domain to its pools by demand. */
export class FleetController {
    private inventory: readonly InventoryVm[] = [];
    private listedAt = -Infinity;
    private isTicking = false;
    private isInventoryLost = false;
    private readonly cordonedVms = new Set<string>();
    /** Pools that evacuations have left without a VM for their work, as last logged. */
    private poolsLackingRoom: readonly string[] = [];
    private readonly waves: WaveReporter;
    private readonly orderDispatcher: VmOrderDispatcher;
    private readonly drainer: VmDrainer;
    private readonly demand: DemandMeter;
    private readonly continuation: FleetContinuation;
    private readonly packing: FleetPacking | undefined;
    private cancel: Cancel = () => undefined;

    private constructor(private readonly options: FleetControllerOptions) {
        this.waves = WaveReporter.create(options);
        this.orderDispatcher = VmOrderDispatcher.create({
            ...options,
            waveTracker: this.waves.tracker,
            onOrderAccepted: vm => this.cordonedVms.delete(vm),
        });
        this.drainer = VmDrainer.create({
            ...options,
            waveTracker: this.waves.tracker,
            isPacking: options.scheduling.vmPacking,
        });
        this.demand = DemandMeter.create();
        this.continuation = FleetContinuation.create({
            handover: options.tenure.fleetHandover,
            demand: this.demand,
            orders: this.orderDispatcher,
            cordonedVms: this.cordonedVms,
            timer: options.timer,
            clock: options.tenure.clock,
        });
        this.packing = options.scheduling.vmPacking
            ? FleetPacking.create(options.tenure, options.timer)
            : undefined;
    }

    static create(options: FleetControllerOptions): FleetController {
        return new FleetController(options);
    }

    handOverRow(): RowPut | undefined {
        return this.orderDispatcher.handOverRow();
    }

    /** Starts the control loop. */
    start(): void {
        this.cancel = this.options.timer.every(tickIntervalMs, () => void this.tick());
    }

    /**
     * Stops sending orders; resolves when those in flight are answered, or after `maxStopWaitMs`, when those are dropped that
     * still wait for a connection.
     */
    async stop(): Promise<void> {
        this.cancel();
        this.orderDispatcher.stop({ isAbort: false });
        const { timer } = this.options;
        const deadline = timer.now() + maxStopWaitMs;
        while (this.isTicking && timer.now() < deadline) {
            await sleep(timer, stopPollMs);
        }
        this.orderDispatcher.stop({ isAbort: true });
    }

    /** Stops sending orders at once, since this entry is no longer the owner. */
    abort(): void {
        this.cancel();
        this.orderDispatcher.stop({ isAbort: true });
    }

    private async tick(): Promise<void> {
        const { tenure, timer, log } = this.options;
        if (this.isTicking || !tenure.isReady || !tenure.mayOrder()) {
            return;
        }
        this.isTicking = true;
        try {
            await this.waves.loadNew();
            await this.orderDispatcher.restore();
            this.continuation.restore();
            await this.refreshInventory();
            if (this.inventory.length > 0 && tenure.mayOrder()) {
                this.drainCordonedVms();
                await this.execute(this.planActions(timer.now()));
                await this.waves.reportFinished();
                await this.orderDispatcher.refreshLog();
            }
        }
        catch (err) {
            log.write(Severity.Error, EventId.TaskFailed, { task: "fleet-keeper", err: messageOf(err) });
        }
        finally {
            this.isTicking = false;
        }
    }

    private async refreshInventory(): Promise<void> {
        const { vms, timer, log } = this.options;
        const now = timer.now();
        const isChanging = this.orderDispatcher.hasUnconfirmedOrders
            || this.waves.tracker.inProgress().length > 0;
        if (now - this.listedAt < (isChanging ? activeListIntervalMs : idleListIntervalMs)) {
            return;
        }
        this.listedAt = now;
        try {
            this.inventory = await vms.list();
            this.options.tenure.workers.recordInventory(this.inventory, now);
            this.applyInventory(now);
            this.isInventoryLost = false;
        }
        catch (err) {
            if (!this.isInventoryLost) {
                log.write(Severity.Warn, EventId.InventoryLost, { err: messageOf(err) });
            }
            this.isInventoryLost = true;
        }
    }

    /** Replaces assumed states, and waves' VMs in maintenance, by what the inventory read at `readAt` shows. */
    private applyInventory(readAt: number): void {
        this.orderDispatcher.applyInventory(this.inventory, readAt);
        const phases = new Map(this.inventory.map(({ vm, phase }) => [vm, phase]));
        for (const { wave, vm, toldFrom } of this.waves.tracker.inProgress()) {
            const phase = phases.get(vm);
            const isBack = phase === undefined || phase === VmPhase.Up;
            if (isBack && readAt >= toldFrom) {
                this.waves.tracker.recordReturn(wave, vm);
            }
        }
        this.waves.tracker.excludeMissing(vm => phases.has(vm), readAt);
    }

    private planActions(now: number): readonly FleetAction[] {
        const { tenure } = this.options;
        const directory = this.options.directory();
        if (directory === undefined || this.isInventoryLost) {
            return [];
        }
        const { jobs, durations, clock } = tenure;
        const leadMs = this.options.moveMs + joinMs;
        const demandInput = { jobs, directory, durations, now, wallMs: clock.wallMs(), leadMs };
        this.demand.measure(demandInput);
        const vms = this.inventory.map(entry => this.snapshotOf(entry));
        const packed = this.packing?.measure(demandInput, vms, tenure.workers);
        const demands = [...directory.pools.values()].map(({ name, isSpare }) => ({
            pool: name,
            isSpare,
            resources: this.demand.peakDemandOf(name, now),
            minVms: this.demand.minVmsOf(name),
            unplaceableSteps: this.unplaceableStepsIn(name, vms),
            ...packed?.(name),
        }));
        const input: FleetPlanInput = {
            vms,
            demands,
            waves: this.waves.tracker.openWaves(now, this.vmsInMaintenance()),
            reserveVms: poolReserveVms,
            minVms: poolMinVms,
            keepsSurplus: this.continuation.keepsSurplus(),
        };
        this.reportPoolsWithoutRoom(input);
        tenure.phases.reach(TakeoverPhase.FirstPlan);
        return planFleet(input);
    }

    /** Logs and counts, once a change, which pools have work that waits for a zone to be restored. */
    private reportPoolsWithoutRoom(input: FleetPlanInput): void {
        const { log, metrics, zones } = this.options;
        const lacking = poolsWithoutRoom(input);
        for (const pool of lacking) {
            if (!this.poolsLackingRoom.includes(pool)) {
                log.write(Severity.Warn, EventId.PoolWithoutRoom, {
                    pool,
                    evacuatedZones: zones.zones.join(" "),
                });
                metrics.count("celerywind_pools_without_room_total", { pool });
            }
        }
        this.poolsLackingRoom = lacking;
    }

    private snapshotOf(entry: InventoryVm): VmSnapshot {
        const assumed = this.orderDispatcher.assumedState(entry.vm);
        const worker = this.workerOf(entry);
        const runs = [...worker?.runs.values() ?? []];
        const dueWave = this.waves.tracker.dueWave(entry.vm);
        if (worker !== undefined) {
            worker.isMaintenanceDue = dueWave !== undefined;
        }
        return {
            vm: entry.vm,
            pool: assumed?.pool ?? entry.pool,
            phase: assumed?.phase ?? entry.phase,
            rack: entry.labels[1] ?? "",
            capacity: entry.capacity,
            labels: entry.labels,
            runs: this.countRuns(entry, worker),
            serviceRuns: runs.filter(({ step }) => step.isService).length,
            isCordoned: this.cordonedVms.has(entry.vm),
            isOrderable: this.orderDispatcher.isOrderable(entry.vm),
            isWorkerReady: worker !== undefined && worker.hasAcceptedFence && worker.isReachable,
            dueWave,
            isZoneEvacuated: this.options.zones.isEvacuated(entry.zone),
            ...this.packing?.contentsOf(entry.vm, worker, this.cordonedVms.has(entry.vm)),
            isReserved: worker !== undefined
                && this.options.tenure.reservations?.isReserved(worker.id) === true,
        };
    }

    /** The VMs that are in maintenance, or that an order of an earlier owner may bring there. */
    private vmsInMaintenance(): Pick<ReadonlySet<string>, "has"> {
        const listed = this.inventory.filter(({ phase }) => phase === VmPhase.InMaintenance);
        const vms = new Set(listed.map(({ vm }) => vm));
        return { has: vm => vms.has(vm) || this.orderDispatcher.mayBeInMaintenance(vm) };
    }

    /** Waiting steps that no VM of a pool could run, one for each combination of label and use of accelerators. */
    private unplaceableStepsIn(pool: string, vms: readonly VmSnapshot[]): readonly StepSpec[] {
        const { tenure, directory } = this.options;
        const queues = new Set(
            directory()?.queues.filter(queue => queue.pool === pool).map(({ name }) => name),
        );
        const poolVms = vms.filter(vm =>
            vm.pool === pool && vm.phase !== VmPhase.Down && vm.isZoneEvacuated !== true
        );
        const unplaceable = new Map<string, StepSpec>();
        for (const entry of tenure.jobs.activeEntries) {
            if (queues.has(entry.job.queue)) {
                for (const { step } of openSteps(entry)) {
                    const kind = `${step.label ?? ""}/${step.needs.accelerators > 0}`;
                    if (!unplaceable.has(kind) && !poolVms.some(vm => canRunWhenEmpty(step, vm))) {
                        unplaceable.set(kind, step);
                    }
                }
            }
        }
        return [...unplaceable.values()];
    }

    /** Number of runs on a VM. A VM without a listed worker counts as busy unless it is in the spare pool. */
    private countRuns({ pool }: InventoryVm, worker: WorkerState | undefined): number {
        if (worker?.isListed === true) {
            return worker.runs.size;
        }
        return this.options.directory()?.pools.get(pool)?.isSpare === true ? 0 : 1;
    }

    private workerOf({ worker }: InventoryVm): WorkerState | undefined {
        return this.options.tenure.workers.byId.get(worker);
    }

    private async execute(actions: readonly FleetAction[]): Promise<void> {
        const orders: VmOrder[] = [];
        for (const action of actions) {
            switch (action.kind) {
                case "cordon":
                    this.setCordon(action.vm, true);
                    break;
                case "uncordon":
                    this.setCordon(action.vm, false);
                    break;
                case "move":
                case "service":
                    orders.push(action);
            }
        }
        await this.orderDispatcher.sendOrders(orders, this.inventory, this.listedAt);
    }

    private setCordon(vm: string, isCordoned: boolean): void {
        const entry = this.inventory.find(candidate => candidate.vm === vm);
        const worker = entry === undefined ? undefined : this.workerOf(entry);
        if (isCordoned) {
            this.cordonedVms.add(vm);
        }
        else {
            this.cordonedVms.delete(vm);
        }
        if (worker !== undefined) {
            worker.isCordoned = isCordoned;
        }
        if (!isCordoned) {
            this.options.tenure.requestRound();
        }
    }

    private drainCordonedVms(): void {
        this.drainer.drain(this.inventory.flatMap(entry => {
            const worker = this.cordonedVms.has(entry.vm) ? this.workerOf(entry) : undefined;
            return worker === undefined ? [] : [{ entry, worker }];
        }));
    }
}
