/** Task of the owner that moves and services VMs: reads the inventory, carries out the plan, reports waves. */
import type { StepSpec } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { type Cancel, sleep } from "../process/timer.js";
import { DemandMeter } from "./demand.js";
import { movableRuns } from "./evacuation.js";
import { couldRun, type FleetAction, planFleet, type PlannedVm, type VmOrder } from "./fleet-plan.js";
import { StopReason } from "./job-registry.js";
import { type VmEntry, VmPhase } from "./ports.js";
import { settleMs, VmDesk, type VmDeskOptions } from "./vm-desk.js";
import { WaveDesk, type WaveDeskOptions } from "./wave-desk.js";
import type { WorkerState } from "./worker-book.js";

/** Options of `FleetKeeper.create`. */
export interface FleetKeeperOptions extends WaveDeskOptions, Omit<VmDeskOptions, "waveBook" | "onGone"> {}

const tickMs = 100;
/** Period of reading the inventory while VMs change, and while none does. */
const busyListMs = 500;
const idleListMs = 2500;
/** Longest wait for orders under way at the end of a tenure, and the period of looking at them, in milliseconds. */
const longestOrderMs = 500;
const stopCheckMs = 10;
/** VMs that a pool keeps beyond its need, and at least. */
const reserveVms = 1;
const leastVms = 2;

/** Keeps the VMs of a domain where they are needed. */
export class FleetKeeper {
    private inventory: readonly VmEntry[] = [];
    private listedAt = -Infinity;
    private isBusy = false;
    private isLost = false;
    private readonly cordoned = new Set<string>();
    private readonly waves: WaveDesk;
    private readonly desk: VmDesk;
    private readonly demand: DemandMeter;
    private cancel: Cancel = () => undefined;

    private constructor(private readonly options: FleetKeeperOptions) {
        this.waves = WaveDesk.create(options);
        this.desk = VmDesk.create({
            ...options,
            waveBook: this.waves.book,
            onGone: vm => this.cordoned.delete(vm),
        });
        this.demand = DemandMeter.create();
    }

    static create(options: FleetKeeperOptions): FleetKeeper {
        return new FleetKeeper(options);
    }

    /** Begins to look after the VMs. */
    start(): void {
        this.cancel = this.options.timer.every(tickMs, () => void this.tick());
    }

    /** Orders nothing any more; resolves when the orders under way are answered. */
    async stop(): Promise<void> {
        this.cancel();
        const { timer } = this.options;
        const deadline = timer.now() + longestOrderMs;
        while (this.isBusy && timer.now() < deadline) {
            await sleep(timer, stopCheckMs);
        }
    }

    private async tick(): Promise<void> {
        const { tenure, timer, log } = this.options;
        if (this.isBusy || !tenure.isReady || !tenure.mayOrder()) {
            return;
        }
        this.isBusy = true;
        try {
            await this.waves.see();
            await this.desk.restore();
            await this.refresh();
            if (this.inventory.length > 0) {
                this.evacuate();
                await this.act(this.plan(timer.now()));
                await this.waves.report();
            }
        }
        catch (err) {
            log.write(Severity.Error, EventId.TaskFailed, { task: "fleet-keeper", err: messageOf(err) });
        }
        finally {
            this.isBusy = false;
        }
    }

    private async refresh(): Promise<void> {
        const { vms, timer, log } = this.options;
        const now = timer.now();
        const isChanging = this.desk.isWaiting || this.waves.book.out().length > 0;
        if (now - this.listedAt < (isChanging ? busyListMs : idleListMs)) {
            return;
        }
        this.listedAt = now;
        try {
            this.inventory = await vms.list();
            this.options.tenure.workers.noteKinds(this.inventory);
            this.settleOrders(now);
            this.isLost = false;
        }
        catch (err) {
            if (!this.isLost) {
                log.write(Severity.Warn, EventId.InventoryLost, { err: messageOf(err) });
            }
            this.isLost = true;
        }
    }

    /** Drops what was assumed after orders once the inventory was read late enough to show it. */
    private settleOrders(readAt: number): void {
        this.desk.settle(readAt);
        const phases = new Map(this.inventory.map(({ vm, phase }) => [vm, phase]));
        for (const { wave, vm, since } of this.waves.book.out()) {
            const phase = phases.get(vm);
            const isOver = phase === undefined || phase === VmPhase.Up;
            if (isOver && readAt >= since + this.options.serviceMs + settleMs) {
                this.waves.book.returned(wave, vm);
            }
        }
        for (const { wave, vms } of this.options.waves()) {
            vms.filter(vm => !phases.has(vm)).forEach(vm => this.waves.book.exclude(wave, vm));
        }
    }

    private plan(now: number): readonly FleetAction[] {
        const { tenure } = this.options;
        const directory = this.options.directory();
        if (directory === undefined || this.isLost) {
            return [];
        }
        const { jobs, durations } = tenure;
        this.demand.measure({ jobs, directory, durations, now, wallMs: this.options.timer.wall() });
        const vms = this.inventory.map(entry => this.describe(entry));
        const needs = [...directory.pools.values()].map(({ name, isSpare }) => ({
            pool: name,
            isSpare,
            needs: this.demand.needsOf(name, now),
            spread: this.demand.spreadOf(name),
            stranded: this.strandedIn(name, vms),
        }));
        return planFleet({
            vms,
            needs,
            waves: this.waves.book.open(now, this.inService()),
            reserve: reserveVms,
            least: leastVms,
        });
    }

    private describe(entry: VmEntry): PlannedVm {
        const ordered = this.desk.assumed(entry.vm);
        const worker = this.workerOf(entry);
        const runs = [...worker?.runs.values() ?? []];
        const dueWave = this.waves.book.dueWave(entry.vm);
        if (worker !== undefined) {
            worker.isDue = dueWave !== undefined;
        }
        return {
            vm: entry.vm,
            pool: ordered?.pool ?? entry.pool,
            phase: ordered?.phase ?? entry.phase,
            rack: entry.labels[1] ?? "",
            capacity: entry.capacity,
            labels: entry.labels,
            runs: this.countRuns(entry, worker),
            services: runs.filter(({ step }) => step.isService).length,
            isCordoned: this.cordoned.has(entry.vm),
            isFree: this.desk.isFree(entry.vm),
            isUsable: worker !== undefined && worker.isHeld && worker.isReachable,
            dueWave,
        };
    }

    private inService(): ReadonlySet<string> {
        const out = this.inventory.filter(({ phase }) => phase === VmPhase.InService);
        return new Set(out.map(({ vm }) => vm));
    }

    /** Waiting steps that no VM of a pool could run; one of each kind of need. */
    private strandedIn(pool: string, vms: readonly PlannedVm[]): readonly StepSpec[] {
        const { tenure, directory } = this.options;
        const queues = new Set(
            directory()?.queues.filter(queue => queue.pool === pool).map(({ name }) => name),
        );
        const mine = vms.filter(vm => vm.pool === pool && vm.phase !== VmPhase.Down);
        const stranded = new Map<string, StepSpec>();
        for (const entry of tenure.jobs.activeEntries) {
            if (queues.has(entry.job.queue)) {
                for (const at of tenure.jobs.openTasks(entry)) {
                    const step = entry.job.spec.steps[entry.state.tasks[at]!.step]!;
                    const kind = `${step.label ?? ""}/${step.needs.accelerators > 0}`;
                    if (!stranded.has(kind) && !mine.some(vm => couldRun(step, vm))) {
                        stranded.set(kind, step);
                    }
                }
            }
        }
        return [...stranded.values()];
    }

    /** Runs on a VM; one whose worker is not known counts as busy, unless it is parked. */
    private countRuns({ pool }: VmEntry, worker: WorkerState | undefined): number {
        if (worker?.isListed === true) {
            return worker.runs.size;
        }
        return this.options.directory()?.pools.get(pool)?.isSpare === true ? 0 : 1;
    }

    private workerOf({ worker }: VmEntry): WorkerState | undefined {
        return this.options.tenure.workers.workers.get(worker);
    }

    private async act(actions: readonly FleetAction[]): Promise<void> {
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
        await this.desk.send(orders, this.inventory, this.listedAt);
    }

    private setCordon(vm: string, isCordoned: boolean): void {
        const entry = this.inventory.find(candidate => candidate.vm === vm);
        const worker = entry === undefined ? undefined : this.workerOf(entry);
        if (isCordoned) {
            this.cordoned.add(vm);
        }
        else {
            this.cordoned.delete(vm);
        }
        if (worker !== undefined) {
            worker.isCordoned = isCordoned;
        }
        if (!isCordoned) {
            this.options.tenure.requestRound();
        }
    }

    /** Moves services off VMs that are to be emptied, as fast as their disruption budgets allow. */
    private evacuate(): void {
        const { tenure } = this.options;
        for (const entry of this.inventory) {
            const worker = this.cordoned.has(entry.vm) ? this.workerOf(entry) : undefined;
            if (worker === undefined) {
                continue;
            }
            worker.isCordoned = true;
            for (const record of movableRuns(tenure, worker)) {
                tenure.runController.stop(record, StopReason.VmLeaving);
            }
        }
    }
}
