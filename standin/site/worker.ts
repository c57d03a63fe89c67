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
export interface TaskFacts {
    readonly needs: Resources;
    readonly workMs: number;
    /** Runs of it that fail by their own fault. */
    readonly failures: number;
    readonly isService: boolean;
    /** Name and size of the gang that it belongs to. */
    readonly gang?: { readonly name: string; readonly size: number };
}

/** The members of gangs that are present on any worker, by gang and run. */
export class GangBoard {
    private readonly present = new Map<string, Map<string, () => void>>();

    /** Adds a member; `onBroken` is called when another one ends. */
    join(gang: string, task: string, onBroken: () => void): void {
        const members = this.present.get(gang) ?? new Map<string, () => void>();
        this.present.set(gang, members.set(task, onBroken));
    }

    countOf(gang: string): number {
        return this.present.get(gang)?.size ?? 0;
    }

    /** Takes a member off; the others break unless it was done. */
    leave(gang: string, task: string, isDone: boolean): void {
        const members = this.present.get(gang);
        members?.delete(task);
        if (!isDone) {
            this.present.delete(gang);
            members?.forEach(onBroken => onBroken());
        }
    }
}

/** What a worker reports to whoever watches the site. */
export interface WorkerEvents {
    started(worker: StandinWorker, order: StartRequest): void;
    ended(worker: StandinWorker, task: string, run: number, how: ReportedEnd | "gone"): void;
    acknowledged(worker: StandinWorker, task: string, run: number, how: ReportedEnd): void;
}

/** Faults of a worker. */
export interface WorkerFaults {
    /** Calls get no answer and are not carried out. */
    isDark: boolean;
    /** Orders get no answer and are carried out this much later; 0 for never. */
    lateMs: number;
    /** Every run fails at once. */
    failsAll: boolean;
    /** Runs make no progress. */
    isHung: boolean;
}

interface Run {
    readonly task: string;
    readonly run: number;
    readonly facts: TaskFacts;
    workedMs: number;
    waitedMs: number;
    isBroken: boolean;
    stopAtMs: number | undefined;
}

const stepMs = 20;
const stopMs = 60;
const serviceStartMs = 300;
/** Time for which a member of a gang waits for the others. */
const gangMs = 3000;
/** The clock of a worker may be this much slow. */
const clockRate = 0.985;

/** A worker's life. */
export class StandinWorker {
    readonly faults: WorkerFaults = { isDark: false, lateMs: 0, failsAll: false, isHung: false };
    readonly born: number;
    isAlive = true;
    isDraining = false;
    private report = 1;
    private fence = 0;
    private leaseUntil = 0;
    private nextEnd = 1;
    private acknowledged = 0;
    private readonly bornAt: number;
    private readonly runs = new Map<string, Run>();
    private readonly settled = new Map<string, number>();
    private ends: EndedRun[] = [];
    private readonly waiters = new Set<() => void>();

    constructor(
        private readonly timer: Timer,
        readonly id: string,
        readonly pool: string,
        readonly vm: string,
        readonly rack: string,
        readonly capacity: Resources,
        private readonly factsOf: (task: string) => TaskFacts | undefined,
        private readonly events: WorkerEvents,
        private readonly gangs = new GangBoard(),
    ) {
        this.born = Math.round(timer.wall());
        this.bornAt = timer.now();
        timer.every(stepMs, () => this.work());
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
            startedAtMs: this.born,
            report: this.report++,
        };
    }

    get clockMs(): number {
        return Math.floor((this.timer.now() - this.bornAt) * clockRate);
    }

    get used(): Resources {
        return [...this.runs.values()].reduce(
            (sum, { facts }) => addResources(sum, facts.needs),
            noResources,
        );
    }

    /** Tasks that run now, with their run numbers. */
    get running(): ReadonlyMap<string, number> {
        return new Map([...this.runs].map(([task, { run }]) => [task, run]));
    }

    /** Ends this life; nothing of it is left. */
    end(): void {
        this.isAlive = false;
        this.runs.forEach(({ task, run }) => this.events.ended(this, task, run, "gone"));
        this.runs.clear();
        this.waiters.forEach(wake => wake());
    }

    start(order: StartRequest): StartResult {
        const { clockMs } = this;
        const refuse = (reason: WorkerRefusal): StartResult => ({ kind: "refused", reason, clockMs });
        if (order.fence < this.fence) {
            return refuse(WorkerRefusal.Fenced);
        }
        this.fence = order.fence;
        if (order.leaseUntil <= clockMs) {
            return refuse(WorkerRefusal.LeaseExpired);
        }
        this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil);
        const present = this.runs.get(order.task);
        if (present?.run === order.run) {
            return { kind: "started", clockMs };
        }
        const facts = this.factsOf(order.task);
        if (present !== undefined || order.run <= (this.settled.get(order.task) ?? 0)) {
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
            facts,
            workedMs: 0,
            waitedMs: 0,
            isBroken: false,
            stopAtMs: undefined,
        };
        this.runs.set(order.task, run);
        if (facts.gang !== undefined) {
            this.gangs.join(`${facts.gang.name}/${order.run}`, order.task, () => {
                run.isBroken = true;
            });
        }
        this.events.started(this, order);
        return { kind: "started", clockMs };
    }

    stop(task: string, run: number, fence: number): CommandResult {
        if (fence < this.fence) {
            return { kind: "failed", reason: "fence" };
        }
        this.fence = fence;
        this.settled.set(task, Math.max(run, this.settled.get(task) ?? 0));
        const present = this.runs.get(task);
        if (present !== undefined && present.run <= run) {
            present.stopAtMs ??= this.timer.now() + stopMs;
        }
        return { kind: "done" };
    }

    /** Answers at once, or calls `answer` when a run has ended or the wait is over. */
    hold(order: HoldRequest, answer: (result: HoldResult) => void): void {
        if (order.fence < this.fence) {
            answer({ kind: "refused", reason: WorkerRefusal.Fenced });
            return;
        }
        this.fence = order.fence;
        this.leaseUntil = Math.max(this.leaseUntil, order.leaseUntil ?? 0);
        this.acknowledge(order.acknowledged);
        if (this.ends.length > 0 || order.waitMs === 0) {
            answer(this.view());
            return;
        }
        const wake = (): void => {
            if (this.waiters.delete(wake)) {
                answer(this.view());
            }
        };
        this.waiters.add(wake);
        this.timer.after(order.waitMs, wake);
    }

    private acknowledge(position: number): void {
        for (const end of this.ends) {
            if (end.position <= position && end.position > this.acknowledged) {
                this.events.acknowledged(this, end.task, end.run, end.outcome);
            }
        }
        this.acknowledged = Math.max(this.acknowledged, position);
        this.ends = this.ends.filter(end => end.position > position);
    }

    private view(): HoldResult {
        return {
            kind: "held",
            clockMs: this.clockMs,
            startedAtMs: this.born,
            running: [...this.runs.values()].map(({ task, run, facts, workedMs }) => ({
                task,
                run,
                saved: "",
                percent: Math.min(
                    100,
                    Math.floor(100 * workedMs / (facts.isService ? serviceStartMs : facts.workMs)),
                ),
                reading: 0,
            })),
            ended: [...this.ends],
        };
    }

    private work(): void {
        if (!this.isAlive || this.runs.size === 0) {
            return;
        }
        const isLapsed = this.clockMs >= this.leaseUntil;
        for (const run of [...this.runs.values()]) {
            const isWaiting = this.isGangWaiting(run);
            run.workedMs += this.faults.isHung || isWaiting ? 0 : stepMs;
            run.waitedMs += isWaiting ? stepMs : 0;
            const how = isLapsed ? RunEnd.Lapsed : this.endOf(run);
            if (how !== undefined) {
                this.settle(run, how);
            }
        }
    }

    private isGangWaiting({ run, facts: { gang }, workedMs }: Run): boolean {
        return gang !== undefined && workedMs === 0 && this.gangs.countOf(`${gang.name}/${run}`) < gang.size;
    }

    private endOf({ run, facts, workedMs, waitedMs, isBroken, stopAtMs }: Run): ReportedEnd | undefined {
        if (isBroken) {
            return RunEnd.GangBroken;
        }
        if (waitedMs >= gangMs) {
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

    private settle({ task, run, facts }: Run, how: ReportedEnd): void {
        if (facts.gang !== undefined) {
            this.gangs.leave(`${facts.gang.name}/${run}`, task, how === RunEnd.Done);
        }
        this.runs.delete(task);
        this.settled.set(task, Math.max(run, this.settled.get(task) ?? 0));
        this.ends.push({ position: this.nextEnd++, task, run, outcome: how, saved: "" });
        this.events.ended(this, task, run, how);
        [...this.waiters].forEach(wake => wake());
    }
}
