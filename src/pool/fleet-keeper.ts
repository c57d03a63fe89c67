/** Task of the owner that moves and services VMs: reads the inventory, carries out the plan, reports waves. */
import type { StepSpec } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import { RateWindow } from "../process/rate-window.js";
import { readAll, type RowPut, type RowStore, TransactKind } from "../process/rows.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";
import type { WaveOrder } from "../version/operator-feed.js";
import { DemandMeter } from "./demand.js";
import { movableRuns } from "./evacuation.js";
import { couldRun, type FleetAction, planFleet, type PlannedVm, type VmOrder } from "./fleet-plan.js";
import { StopReason } from "./job-book.js";
import { type VmCalls, type VmEntry, VmOrderResult, VmPhase } from "./ports.js";
import type { Tenure } from "./tenure.js";
import { VmOrderLog } from "./vm-orders.js";
import { WaveBook, waveTable } from "./wave-book.js";
import type { WorkerState } from "./worker-book.js";

/** Options of `FleetKeeper.create`. */
export interface FleetKeeperOptions {
    readonly tenure: Tenure;
    readonly domain: string;
    readonly entry: string;
    readonly vms: VmCalls;
    readonly store: RowStore;
    readonly directory: () => Directory | undefined;
    readonly waves: () => Iterable<WaveOrder>;
    readonly waveStatusRow: (wave: number, isFinished: boolean) => RowPut;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Time between orders of two holders for the same VM, in milliseconds. */
    readonly holderGapMs: number;
    /** Whether the holder before this one can have no order under way. */
    readonly hasHolderEnded: boolean;
    readonly serviceMs: number;
    readonly moveMs: number;
    /** VM orders that the platform takes in a second. */
    readonly vmOrdersPerS: number;
}

const tickMs = 100;
/** Period of reading the inventory while VMs change, and while none does. */
const busyListMs = 500;
const idleListMs = 2500;
/** Added to the time that a move or service takes, before the inventory's word is believed again. */
const settleMs = 300;
/** Share of the platform's rate of VM orders that is used; a former owner may have used some of the same second. */
const orderRateShare = 0.9;
/** Longest wait for orders under way at the end of a tenure, and the period of looking at them, in milliseconds. */
const longestOrderMs = 500;
const stopCheckMs = 10;
/** VMs that a pool keeps beyond its need, and at least. */
const reserveVms = 1;
const leastVms = 2;

interface Ordered {
    readonly pool: string;
    readonly phase: VmPhase;
    readonly until: number;
}

/** Keeps the VMs of a domain where they are needed. */
export class FleetKeeper {
    private inventory: readonly VmEntry[] = [];
    private listedAt = -Infinity;
    private isBusy = false;
    private isLost = false;
    private readonly ordered = new Map<string, Ordered>();
    private readonly cordoned = new Set<string>();
    private readonly book: WaveBook;
    private readonly demand: DemandMeter;
    private readonly orderLog: VmOrderLog;
    private readonly orderRate: RateWindow;
    private isRestored = false;
    /** Waves of which operators have not been told yet that they are worked on. */
    private readonly unannounced = new Set<number>();
    private cancel: Cancel = () => undefined;

    private constructor(private readonly options: FleetKeeperOptions) {
        this.book = WaveBook.create(options.domain, options.serviceMs);
        this.demand = DemandMeter.create();
        this.orderLog = VmOrderLog.create(options);
        this.orderRate = RateWindow.create(options.vmOrdersPerS * orderRateShare);
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
            await this.seeWaves();
            await this.orderLog.restore();
            await this.refresh();
            if (this.inventory.length > 0) {
                this.evacuate();
                await this.act(this.plan(timer.now()));
                await this.reportWaves();
            }
        }
        catch (err) {
            log.write(Severity.Error, EventId.TaskFailed, { task: "fleet-keeper", err: messageOf(err) });
        }
        finally {
            this.isBusy = false;
        }
    }

    private async seeWaves(): Promise<void> {
        const { store, domain, timer, waves } = this.options;
        for (const { wave } of this.book.see(waves(), timer.now())) {
            this.unannounced.add(wave);
        }
        if (this.unannounced.size === 0) {
            return;
        }
        if (!this.isRestored) {
            const page = await readAll(store, { table: waveTable, part: domain });
            this.book.restore(page.rows);
            this.isRestored = true;
        }
        for (const wave of this.unannounced) {
            await this.announce(wave);
        }
    }

    /** Shows operators that a wave is worked on, unless an owner has said so, or that it is finished, before. */
    private async announce(wave: number): Promise<void> {
        const { store, waveStatusRow } = this.options;
        const put = waveStatusRow(wave, false);
        const { table, part, key } = put;
        const outcome = await store.transact({
            conditions: [{ table, part, key, version: 0 }],
            puts: [put],
            removals: [],
        });
        if (outcome.kind === TransactKind.Committed || outcome.kind === TransactKind.Conflict) {
            this.unannounced.delete(wave);
        }
    }

    private async refresh(): Promise<void> {
        const { vms, timer, log } = this.options;
        const now = timer.now();
        const isChanging = this.ordered.size > 0 || this.book.out().length > 0;
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
        for (const [vm, { until }] of this.ordered) {
            if (readAt >= until) {
                this.ordered.delete(vm);
            }
        }
        const phases = new Map(this.inventory.map(({ vm, phase }) => [vm, phase]));
        for (const { wave, vm, since } of this.book.out()) {
            const phase = phases.get(vm);
            const isOver = phase === undefined || phase === VmPhase.Up;
            if (isOver && readAt >= since + this.options.serviceMs + settleMs) {
                this.book.returned(wave, vm);
            }
        }
        for (const { wave } of this.options.waves()) {
            this.excludeGone(wave, phases);
        }
    }

    private excludeGone(wave: number, phases: ReadonlyMap<string, VmPhase>): void {
        const order = [...this.options.waves()].find(candidate => candidate.wave === wave);
        for (const vm of order?.vms ?? []) {
            if (!phases.has(vm)) {
                this.book.exclude(wave, vm);
            }
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
            waves: this.book.open(now, this.inService()),
            reserve: reserveVms,
            least: leastVms,
        });
    }

    private describe(entry: VmEntry): PlannedVm {
        const ordered = this.ordered.get(entry.vm);
        const worker = this.workerOf(entry);
        const runs = [...worker?.runs.values() ?? []];
        const dueWave = this.book.dueWave(entry.vm);
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
            isFree: this.orderLog.isFree(entry.vm),
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
        const { timer } = this.options;
        const now = orders.slice(0, this.orderRate.room(timer.now()));
        if (now.length > 0 && await this.orderLog.record(now.map(({ vm }) => vm))) {
            this.orderRate.add(timer.now(), now.length);
            await Promise.all(now.map(order => this.order(order)));
        }
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
            this.options.tenure.pump();
        }
    }

    private async order(action: VmOrder): Promise<void> {
        switch (action.kind) {
            case "move":
                return this.moveVm(action.vm, action.pool);
            case "service":
                return this.serviceVm(action.vm, action.wave);
        }
    }

    private async moveVm(vm: string, pool: string): Promise<void> {
        const { vms, timer, moveMs, entry, tenure } = this.options;
        const until = timer.now() + moveMs + settleMs;
        this.ordered.set(vm, { pool, phase: VmPhase.Moving, until });
        const result = await vms.move(vm, pool, entry, tenure.fence);
        this.note("move", vm, result, { pool });
        if (result === VmOrderResult.Done) {
            this.cordoned.delete(vm);
            if (this.options.directory()?.pools.get(pool)?.isSpare !== true) {
                tenure.watch.expectWorkers(moveMs + settleMs);
            }
        }
        else if (result !== VmOrderResult.Unknown) {
            this.ordered.delete(vm);
        }
    }

    private async serviceVm(vm: string, wave: number): Promise<void> {
        const { vms, timer, serviceMs, entry, tenure } = this.options;
        const now = timer.now();
        this.book.begin(wave, vm, now);
        const pool = this.inventory.find(candidate => candidate.vm === vm)?.pool ?? "";
        this.ordered.set(vm, { pool, phase: VmPhase.InService, until: now + serviceMs + settleMs });
        const result = await vms.service(vm, wave, entry, tenure.fence);
        this.note("service", vm, result, { wave });
        switch (result) {
            case VmOrderResult.Done:
                this.cordoned.delete(vm);
                this.book.accept(wave, vm);
                tenure.storeRow(this.book.row(wave));
                return;
            case VmOrderResult.Unknown:
                return;
            case VmOrderResult.NotInWave:
            case VmOrderResult.Impossible:
                this.ordered.delete(vm);
                this.book.exclude(wave, vm);
                return;
            case VmOrderResult.Busy:
            case VmOrderResult.Fenced:
            case VmOrderResult.RateLimited:
                this.ordered.delete(vm);
                this.book.fail(wave, vm);
        }
    }

    private note(
        order: string,
        vm: string,
        result: VmOrderResult,
        fields: Readonly<Record<string, string | number>>,
    ): void {
        const { log, metrics, tenure, timer } = this.options;
        metrics.count("celerywind_vm_orders_total", { order, result });
        log.write(Severity.Info, EventId.VmOrdered, {
            order,
            vm,
            result,
            ...fields,
            fence: tenure.fence,
            inventoryAgeMs: Math.round(timer.now() - this.listedAt),
        });
        if (result === VmOrderResult.Fenced) {
            void tenure.confirm();
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
                tenure.desk.stop(record, StopReason.VmLeaving);
            }
        }
    }

    private async reportWaves(): Promise<void> {
        const { store, log, waveStatusRow, tenure } = this.options;
        for (const wave of this.book.finished()) {
            if (!await tenure.confirm()) {
                return;
            }
            const outcome = await store.transact({
                conditions: [],
                puts: [waveStatusRow(wave, true)],
                removals: [],
            });
            if (outcome.kind === TransactKind.Committed) {
                this.book.report(wave);
                this.unannounced.delete(wave);
                log.write(Severity.Info, EventId.WaveFinished, { wave });
            }
        }
    }
}
