/** One life of a stand-in worker: runs, leases, fences, and its list of ends, in virtual time. */
import { RunEnd } from "../../src/job/index.js";
import {
    type CommandResult,
    type EndedRun,
    type HoldRequest,
    type HoldResult,
    type ListedWorker,
    type ReportedEnd,
    type StartRequest,
    type StartResult,
    WorkerRefusal,
} from "../../src/pool/ports.js";
import { addResources, fitsInto, noResources, type Resources } from "../../src/process/resources.js";
import type { Timer } from "../../src/process/timer.js";

/** What the stand-in knows about a task. */
export interface TaskProfile {
    readonly needs: Resources;
    readonly workMs: number;
    /** Runs of it that fail by their own fault. */
    readonly failures: number;
    readonly isService: boolean;
    /** Name and size of the gang that it belongs to. */
    readonly gang?: { readonly name: string; readonly size: number };
}

/** The members of gangs that are present on any worker, by gang and run. */
export class GangTracker {
    private readonly membersByGang = new Map<string, Map<string, () => void>>();

    /** Adds a member; `onBroken` is called when another one ends. */
    join(gang: string, task: string, onBroken: () => void): void {
        const members = this.membersByGang.get(gang) ?? new Map<string, () => void>();
        this.membersByGang.set(gang, members.set(task, onBroken));
    }

    memberCount(gang: string): number {
        return this.membersByGang.get(gang)?.size ?? 0;
    }

    /** Takes a member off; the others break unless it was done. */
    leave(gang: string, task: string, isDone: boolean): void {
        const members = this.membersByGang.get(gang);
        members?.delete(task);
        if (!isDone) {
            this.membersByGang.delete(gang);
            members?.forEach(onBroken => onBroken());
        }
    }
}

/** What a worker reports to whoever watches the site. */
export interface WorkerEvents {
    onRunStarted(worker: StandinWorker, order: StartRequest): void;
    onRunEnded(worker: StandinWorker, task: string, run: number, how: ReportedEnd | "gone"): void;
    onEndAcknowledged(worker: StandinWorker, task: string, run: number, how: ReportedEnd): void;
}

/** Faults of a worker. */
export interface WorkerFaults {
    /** Calls get no answer and are not carried out. */
    isUnreachable: boolean;
    /** Orders get no answer and are carried out this much later; 0 for never. */
    commandDelayMs: number;
    /** Every run fails at once. */
    failsAll: boolean;
    /** Runs make no progress. */
    isHung: boolean;
}

interface Run {
    readonly task: string;
    readonly run: number;
    readonly profile: TaskProfile;
    workedMs: number;
    waitedMs: number;
    isGangBroken: boolean;
    stopAtMs: number | undefined;
}

const tickMs = 20;
const stopDurationMs = 60;
const serviceStartupMs = 300;
/** Time for which a member of a gang waits for the others. */
const gangFormationTimeoutMs = 3000;
/** The clock of a worker may be this much slow. */
const clockRate = 0.985;

/** A worker's life. */
export class StandinWorker {
    readonly faults: WorkerFaults = {
        isUnreachable: false,
        commandDelayMs: 0,
        failsAll: false,
        isHung: false,
    };
    readonly startedAtMs: number;
    isAlive = true;
    isDraining = false;
    private nextReport = 1;
    private highestFence = 0;
    private leaseUntil = 0;
    private nextEndPosition = 1;
    private acknowledgedPosition = 0;
    private readonly startedAtMonotonicMs: number;
    private readonly runs = new Map<string, Run>();
    private readonly settledRuns = new Map<string, number>();
    private unacknowledgedEnds: EndedRun[] = [];
    private readonly holdWaiters = new Set<() => void>();

    constructor(
        private readonly timer: Timer,
        readonly id: string,
        readonly pool: string,
        readonly vm: string,
        readonly rack: string,
        readonly capacity: Resources,
        private readonly profileOf: (task: string) => TaskProfile | undefined,
        private readonly events: WorkerEvents,
        private readonly gangs = new GangTracker(),
    ) {
        this.startedAtMs = Math.round(timer.wall());
        this.startedAtMonotonicMs = timer.now();
        timer.every(tickMs, () => this.advanceRuns());
    }

    /** Its entry in the list of workers. */
    get listed(): ListedWorker {
        return {
            id: this.id,
            pool: this.pool,
            address: this.id,
            zone: "z",
            labels: ["a", this.rack],
            capacity: this.capacity,
            isDraining: this.isDraining,
            remainingMs: 0,
            startedAtMs: this.startedAtMs,
            report: this.nextReport++,
        };
    }

    get clockMs(): number {
        return Math.floor((this.timer.now() - this.startedAtMonotonicMs) * clockRate);
    }

    get used(): Resources {
        return [...this.runs.values()].reduce(
            (sum, { profile: facts }) => addResources(sum, facts.needs),
            noResources,
        );
    }

    /** Tasks that run now, with their run numbers. */
    get running(): ReadonlyMap<string, number> {
        return new Map([...this.runs].map(([task, { run }]) => [task, run]));
    }

    /** Ends this life; nothing of it is left. */
    terminate(): void {
        this.isAlive = false;
        this.runs.forEach(({ task, run }) => this.events.onRunEnded(this, task, run, "gone"));
        this.runs.clear();
        this.holdWaiters.forEach(wake => wake());
    }

    start(order: StartRequest): StartResult {
        const { clockMs } = this;
        const refuse = (reason: WorkerRefusal): StartResult => ({ kind: "refused", reason, clockMs });
        if (order.fence < this.highestFence) {
            return refuse(WorkerRefusal.Fenced);
        }
        this.highestFence = order.fence;
        if (order.leaseUntil <= clockMs) {
            return refuse(WorkerRefusal.LeaseExpired);
        }
        this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil);
        const present = this.runs.get(order.task);
        if (present?.run === order.run) {
            return { kind: "started", clockMs };
        }
        const facts = this.profileOf(order.task);
        if (present !== undefined || order.run <= (this.settledRuns.get(order.task) ?? 0)) {
            return refuse(WorkerRefusal.Superseded);
        }
        if (facts === undefined) {
            return refuse(WorkerRefusal.Malformed);
        }
        if (!fitsInto(facts.needs, addResources(this.capacity, this.used, -1))) {
            return refuse(WorkerRefusal.NoCapacity);
        }
        const run: Run = {
            task: order.task,
            run: order.run,
            profile: facts,
            workedMs: 0,
            waitedMs: 0,
            isGangBroken: false,
            stopAtMs: undefined,
        };
        this.runs.set(order.task, run);
        if (facts.gang !== undefined) {
            this.gangs.join(`${facts.gang.name}/${order.run}`, order.task, () => {
                run.isGangBroken = true;
            });
        }
        this.events.onRunStarted(this, order);
        return { kind: "started", clockMs };
    }

    stop(task: string, run: number, fence: number): CommandResult {
        if (fence < this.highestFence) {
            return { kind: "failed", reason: "fence" };
        }
        this.highestFence = fence;
        this.settledRuns.set(task, Math.max(run, this.settledRuns.get(task) ?? 0));
        const present = this.runs.get(task);
        if (present !== undefined && present.run <= run) {
            present.stopAtMs ??= this.timer.now() + stopDurationMs;
        }
        return { kind: "done" };
    }

    /** Answers at once, or calls `answer` when a run has ended or the wait is over. */
    hold(order: HoldRequest, answer: (result: HoldResult) => void): void {
        if (order.fence < this.highestFence) {
            answer({ kind: "refused", reason: WorkerRefusal.Fenced });
            return;
        }
        this.highestFence = order.fence;
        this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil ?? 0);
        this.acknowledge(order.acknowledged);
        if (this.unacknowledgedEnds.length > 0 || order.waitMs === 0) {
            answer(this.holdResult());
            return;
        }
        const wake = (): void => {
            if (this.holdWaiters.delete(wake)) {
                answer(this.holdResult());
            }
        };
        this.holdWaiters.add(wake);
        this.timer.after(order.waitMs, wake);
    }

    private acknowledge(position: number): void {
        for (const end of this.unacknowledgedEnds) {
            if (end.position <= position && end.position > this.acknowledgedPosition) {
                this.events.onEndAcknowledged(this, end.task, end.run, end.outcome);
            }
        }
        this.acknowledgedPosition = Math.max(this.acknowledgedPosition, position);
        this.unacknowledgedEnds = this.unacknowledgedEnds.filter(end => end.position > position);
    }

    private holdResult(): HoldResult {
        return {
            kind: "held",
            clockMs: this.clockMs,
            startedAtMs: this.startedAtMs,
            running: [...this.runs.values()].map(({ task, run, profile: facts, workedMs }) => ({
                task,
                run,
                saved: "",
                percent: Math.min(
                    100,
                    Math.floor(100 * workedMs / (facts.isService ? serviceStartupMs : facts.workMs)),
                ),
                reading: 0,
            })),
            ended: [...this.unacknowledgedEnds],
        };
    }

    private advanceRuns(): void {
        if (!this.isAlive || this.runs.size === 0) {
            return;
        }
        const isLapsed = this.clockMs >= this.leaseUntil;
        for (const run of [...this.runs.values()]) {
            const isWaiting = this.isGangWaiting(run);
            run.workedMs += this.faults.isHung || isWaiting ? 0 : tickMs;
            run.waitedMs += isWaiting ? tickMs : 0;
            const how = isLapsed ? RunEnd.Lapsed : this.outcomeOf(run);
            if (how !== undefined) {
                this.endRun(run, how);
            }
        }
    }

    private isGangWaiting({ run, profile: { gang }, workedMs }: Run): boolean {
        return gang !== undefined && workedMs === 0
            && this.gangs.memberCount(`${gang.name}/${run}`) < gang.size;
    }

    private outcomeOf(
        { run, profile: facts, workedMs, waitedMs, isGangBroken: isBroken, stopAtMs }: Run,
    ): ReportedEnd | undefined {
        if (isBroken) {
            return RunEnd.GangBroken;
        }
        if (waitedMs >= gangFormationTimeoutMs) {
            return RunEnd.GangIncomplete;
        }
        if (stopAtMs !== undefined && this.timer.now() >= stopAtMs) {
            return RunEnd.Stopped;
        }
        if (this.faults.failsAll) {
            return RunEnd.Failed;
        }
        if (facts.isService || workedMs < facts.workMs) {
            return undefined;
        }
        return run <= facts.failures ? RunEnd.Failed : RunEnd.Done;
    }

    private endRun({ task, run, profile: facts }: Run, how: ReportedEnd): void {
        if (facts.gang !== undefined) {
            this.gangs.leave(`${facts.gang.name}/${run}`, task, how === RunEnd.Done);
        }
        this.runs.delete(task);
        this.settledRuns.set(task, Math.max(run, this.settledRuns.get(task) ?? 0));
        this.unacknowledgedEnds.push({
            position: this.nextEndPosition++,
            task,
            run,
            outcome: how,
            saved: "",
        });
        this.events.onRunEnded(this, task, run, how);
        [...this.holdWaiters].forEach(wake => wake());
    }
}
