/** One incarnation of a stand-in worker in virtual time: runs, leases, fencing, and its list of ended runs. */
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
import type { Random } from "../../src/process/random.js";
import { addResources, fitsInto, noResources, type Resources } from "../../src/process/resources.js";
import type { Timer } from "../../src/process/timer.js";
import { type ClockOrigin, seededOrigins } from "./clock-origins.js";
import { namedRandom } from "./named-random.js";
import { RisingCounter } from "./rising-counter.js";

/** Resource needs and behaviour of a task on a stand-in worker. */
export interface TaskProfile {
    readonly needs: Resources;
    readonly workMs: number;
    /** Number of runs that fail by themselves before one succeeds. */
    readonly failures: number;
    readonly isService: boolean;
    /** Called when a worker has started a run of the task. */
    readonly onStarted?: (worker: StandinWorker) => void;
    /** Whether a worker accepts a start with this ticket of the adviser; without it, starts need none. */
    readonly acceptsTicket?: (ticket: string | undefined, worker: string) => boolean;
    /** Name and size of the gang that the task belongs to. */
    readonly gang?: { readonly name: string; readonly size: number };
}

/** Tracks the running members of each gang across all workers. A gang is named together with its run number. */
export class GangTracker {
    private readonly membersByGang = new Map<string, Map<string, () => void>>();

    /** Adds a member; `onBroken` is called when another member ends without being done. */
    join(gang: string, task: string, onBroken: () => void): void {
        const members = this.membersByGang.get(gang) ?? new Map<string, () => void>();
        this.membersByGang.set(gang, members.set(task, onBroken));
    }

    memberCount(gang: string): number {
        return this.membersByGang.get(gang)?.size ?? 0;
    }

    /** Removes a member. Unless it was done, the gang is dissolved and `onBroken` of the others is called. */
    leave(gang: string, task: string, isDone: boolean): void {
        const members = this.membersByGang.get(gang);
        members?.delete(task);
        if (!isDone) {
            this.membersByGang.delete(gang);
            members?.forEach(onBroken => onBroken());
        }
    }
}

/** Observer of the runs on a worker. */
export interface WorkerEvents {
    onRunStarted(worker: StandinWorker, request: StartRequest): void;
    onRunEnded(worker: StandinWorker, task: string, run: number, outcome: ReportedEnd | "gone"): void;
    onEndAcknowledged(worker: StandinWorker, task: string, run: number, outcome: ReportedEnd): void;
    /** Called when the worker has accepted a stop order for a run that it has, and before the run stops. */
    onStopAccepted(worker: StandinWorker, task: string): void;
}

/** Faults of a worker. */
export interface WorkerFaults {
    /** Calls receive no answer and are not carried out. */
    isUnreachable: boolean;
    /** Calls of the entries end with an error instead of a result. */
    rejectsCalls: boolean;
    /** Start and stop commands receive no answer and are carried out after this delay; 0 turns the fault off. */
    commandDelayMs: number;
    /** Start and stop commands are carried out at once and receive no answer. */
    losesAnswers: boolean;
    /** Every run fails at its next tick. */
    failsAll: boolean;
    /** Share of its runs that fail halfway, from 0 to 1. */
    failureShare: number;
    /** Runs make no progress. */
    isHung: boolean;
    /** Its entry in the list of workers stays as it was. */
    isReportStale: boolean;
}

interface Run {
    readonly task: string;
    readonly run: number;
    readonly profile: TaskProfile;
    progressMs: number;
    gangWaitMs: number;
    isGangBroken: boolean;
    stopAtMs: number | undefined;
    readonly failsHalfway: boolean;
}

const tickMs = 20;
/** Time without heartbeats after which a worker is no longer listed: three of their intervals. */
const listingExpiryMs = 4500;
/** Longest lease, and longest time for which a hold request waits for an end (PROTOCOL.md, "Running subtasks"). */
const maxLeaseMs = 6000;
const maxHoldWaitMs = 2000;
/** Most ends in the answer to a hold request. */
const maxEndsPerAnswer = 500;
const maxEndStep = 3;
const defaultStopDurationMs = 60;
const serviceStartupMs = 300;
/** Time for which a member of a gang waits for the others to start. */
const gangFormationTimeoutMs = 3000;
/** Rate of the worker's clock against the site's: a worker's clock may run slow by this factor. */
const clockRate = 0.985;

/** One incarnation of a worker, from its start to `terminate`. */
export class StandinWorker {
    readonly faults: WorkerFaults = {
        isUnreachable: false,
        rejectsCalls: false,
        commandDelayMs: 0,
        losesAnswers: false,
        failsAll: false,
        failureShare: 0,
        isHung: false,
        isReportStale: false,
    };
    readonly startedAtMs: number;
    isAlive = true;
    isDraining = false;
    /** Whether it refuses runs that exceed its capacity. */
    guardsCapacity = true;
    /** Time that a run takes to stop, in milliseconds. */
    stopDurationMs = defaultStopDurationMs;
    private readonly capacities: { readonly until: number; readonly capacity: Resources }[] = [];
    private lastListed: ListedWorker | undefined;
    /** Entry of the former incarnation, and the time until which it is listed. */
    private former: { readonly listed: ListedWorker; readonly untilMs: number } | undefined;
    /** Numbers of its reports; by the seed of the site if that sets them. */
    reports: RisingCounter;
    private highestFence = 0;
    /** Availability zone of its VM. */
    zone = "z";
    /** Kind of its VM, its first label. */
    kind = "a";
    private leaseUntil = 0;
    private dueFailures = 0;
    /** Time since when it is dark, in milliseconds; infinite while it is not. */
    private darkSince = Infinity;
    private nextEndPosition = 1;
    /** Steps between the positions of ends: the platform promises that they start at 1 and rise, no more. */
    private readonly endSteps: Random;
    private readonly startedAtMonotonicMs: number;
    /** What its clock shows at its start, in milliseconds. */
    private readonly clockOriginMs: number;
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
        private currentCapacity: Resources,
        private readonly profileOf: (task: string) => TaskProfile | undefined,
        private readonly events: WorkerEvents,
        private readonly gangs = new GangTracker(),
        clockOrigin: ClockOrigin = seededOrigins(1),
    ) {
        this.startedAtMs = Math.round(timer.wall());
        this.clockOriginMs = clockOrigin(id, this.startedAtMs);
        this.endSteps = namedRandom(1, `ends of ${id}@${this.startedAtMs}`);
        this.reports = RisingCounter.create({ seed: 1, name: `${id}@${this.startedAtMs}` });
        this.startedAtMonotonicMs = timer.now();
        timer.every(tickMs, () => this.advanceRuns());
    }

    get capacity(): Resources {
        return this.currentCapacity;
    }

    /** Changes the capacity at once; the runs on the worker go on. */
    setCapacity(capacity: Resources): void {
        this.capacities.push({ until: this.timer.now(), capacity: this.currentCapacity });
        this.currentCapacity = capacity;
    }

    /** The capacities that the worker had within the last `ms` milliseconds. */
    capacitiesWithin(ms: number): readonly Resources[] {
        const earlier = this.capacities.filter(({ until }) => until > this.timer.now() - ms);
        return [this.currentCapacity, ...earlier.map(({ capacity }) => capacity)];
    }

    /** Entry in the list of workers, with the next report number. */
    get listed(): ListedWorker {
        if (this.former !== undefined && this.timer.now() < this.former.untilMs) {
            return this.former.listed;
        }
        if (this.faults.isReportStale && this.lastListed !== undefined) {
            return this.lastListed;
        }
        this.lastListed = {
            id: this.id,
            pool: this.pool,
            address: this.id,
            zone: this.zone,
            labels: [this.kind, this.rack],
            capacity: this.capacity,
            isDraining: this.isDraining,
            remainingMs: 0,
            startedAtMs: this.startedAtMs,
            report: this.reports.next(),
        };
        return this.lastListed;
    }

    /** Whether the list of workers has its entry. */
    get isListed(): boolean {
        return this.isAlive && this.timer.now() - this.darkSince < listingExpiryMs;
    }

    /** Lists the entry of the former incarnation for `ms` milliseconds, until the first heartbeat of this one. */
    keepListed(listed: ListedWorker, ms: number): void {
        this.former = { listed, untilMs: this.timer.now() + ms };
    }

    /** Ends as `goDark` does; moreover, the hold requests that wait are never answered, not even after `terminate`. */
    loseRuns(): void {
        this.holdWaiters.clear();
        this.goDark();
    }

    /** Loses its power: its runs are gone, it answers no call, not even those that wait, and stays listed for a while. */
    goDark(): void {
        this.runs.forEach(({ task, run }) => this.events.onRunEnded(this, task, run, "gone"));
        this.runs.clear();
        this.darkSince = this.timer.now();
        this.faults.isUnreachable = true;
        this.faults.isReportStale = true;
    }

    /** Sends no more reports to the list, which drops its entry after a while; its runs go on. */
    stopReporting(): void {
        this.darkSince = this.timer.now();
    }

    get clockMs(): number {
        return this.clockOriginMs + Math.floor((this.timer.now() - this.startedAtMonotonicMs) * clockRate);
    }

    get used(): Resources {
        return [...this.runs.values()].reduce(
            (sum, { profile }) => addResources(sum, profile.needs),
            noResources,
        );
    }

    /** Run numbers of the tasks in progress, by task. */
    get running(): ReadonlyMap<string, number> {
        return new Map([...this.runs].map(([task, { run }]) => [task, run]));
    }

    /** Whether a service's task runs here, is ready, and has not been ordered to stop. */
    isAtWork(task: string): boolean {
        const run = this.runs.get(task);
        return this.isAlive && run !== undefined && run.progressMs >= serviceStartupMs
            && run.stopAtMs === undefined;
    }

    /** Ends this incarnation: its runs end as `gone`, without an entry in the list of ended runs. */
    terminate(): void {
        this.runs.forEach(({ task, run }) => this.events.onRunEnded(this, task, run, "gone"));
        this.isAlive = false;
        this.runs.clear();
        this.holdWaiters.forEach(wake => wake());
    }

    start(request: StartRequest): StartResult {
        const { clockMs } = this;
        const refuse = (reason: WorkerRefusal): StartResult => ({ kind: "refused", reason, clockMs });
        if (request.fence < this.highestFence) {
            return refuse(WorkerRefusal.Fenced);
        }
        this.highestFence = request.fence;
        if (request.leaseUntil <= clockMs) {
            return refuse(WorkerRefusal.LeaseExpired);
        }
        this.extendLease(request.leaseUntil);
        const current = this.runs.get(request.task);
        if (current?.run === request.run) {
            return { kind: "started", clockMs };
        }
        const profile = this.profileOf(request.task);
        if (current !== undefined || request.run <= (this.settledRuns.get(request.task) ?? 0)) {
            return refuse(WorkerRefusal.Superseded);
        }
        if (profile === undefined) {
            return refuse(WorkerRefusal.Malformed);
        }
        if (profile.acceptsTicket?.(request.ticket, this.id) === false) {
            return refuse(WorkerRefusal.TicketInvalid);
        }
        const hasRoom = fitsInto(profile.needs, addResources(this.capacity, this.used, -1));
        if (this.guardsCapacity && !hasRoom) {
            return refuse(WorkerRefusal.NoCapacity);
        }
        const run: Run = {
            task: request.task,
            run: request.run,
            profile,
            progressMs: 0,
            gangWaitMs: 0,
            isGangBroken: false,
            stopAtMs: undefined,
            failsHalfway: this.isNextToFail(),
        };
        this.runs.set(request.task, run);
        if (profile.gang !== undefined) {
            this.gangs.join(`${profile.gang.name}/${request.run}`, request.task, () => {
                run.isGangBroken = true;
            });
        }
        this.events.onRunStarted(this, request);
        profile.onStarted?.(this);
        return { kind: "started", clockMs };
    }

    stop(task: string, run: number, fence: number): CommandResult {
        if (fence < this.highestFence) {
            return { kind: "failed", reason: "fence" };
        }
        this.highestFence = fence;
        this.settledRuns.set(task, Math.max(run, this.settledRuns.get(task) ?? 0));
        const current = this.runs.get(task);
        if (current !== undefined && current.run <= run && current.stopAtMs === undefined) {
            this.events.onStopAccepted(this, task);
            current.stopAtMs = this.timer.now() + this.stopDurationMs;
        }
        return { kind: "done" };
    }

    /** Long poll: calls `answer` when an ended run is listed or `waitMs` has passed. */
    hold(request: HoldRequest, answer: (result: HoldResult) => void): void {
        if (request.fence < this.highestFence) {
            answer({ kind: "refused", reason: WorkerRefusal.Fenced });
            return;
        }
        this.highestFence = request.fence;
        this.extendLease(request.leaseUntil ?? 0);
        this.acknowledge(request.acknowledged);
        if (this.unacknowledgedEnds.length > 0 || request.waitMs === 0) {
            answer(this.holdResult());
            return;
        }
        const wake = (): void => {
            if (this.holdWaiters.delete(wake)) {
                answer(this.holdResult());
            }
        };
        this.holdWaiters.add(wake);
        this.timer.after(Math.min(request.waitMs, maxHoldWaitMs), wake);
    }

    private extendLease(until: number): void {
        this.leaseUntil = Math.max(this.leaseUntil, Math.min(until, this.clockMs + maxLeaseMs));
    }

    private acknowledge(position: number): void {
        for (const end of this.unacknowledgedEnds) {
            if (end.position <= position) {
                this.events.onEndAcknowledged(this, end.task, end.run, end.outcome);
            }
        }
        this.unacknowledgedEnds = this.unacknowledgedEnds.filter(end => end.position > position);
    }

    private holdResult(): HoldResult {
        return {
            kind: "held",
            clockMs: this.clockMs,
            startedAtMs: this.startedAtMs,
            running: [...this.runs.values()].map(({ task, run, profile, progressMs }) => ({
                task,
                run,
                saved: "",
                percent: Math.min(
                    100,
                    Math.floor(100 * progressMs / (profile.isService ? serviceStartupMs : profile.workMs)),
                ),
                reading: 0,
            })),
            ended: this.unacknowledgedEnds.slice(0, maxEndsPerAnswer),
        };
    }

    private advanceRuns(): void {
        if (!this.isAlive || this.runs.size === 0) {
            return;
        }
        const isLeaseExpired = this.clockMs >= this.leaseUntil;
        for (const run of [...this.runs.values()]) {
            const isWaiting = this.isGangWaiting(run);
            run.progressMs += this.faults.isHung || isWaiting ? 0 : tickMs;
            run.gangWaitMs += isWaiting ? tickMs : 0;
            const outcome = isLeaseExpired ? RunEnd.Lapsed : this.outcomeOf(run);
            if (outcome !== undefined) {
                this.endRun(run, outcome);
            }
        }
    }

    private isGangWaiting({ run, profile: { gang }, progressMs }: Run): boolean {
        return gang !== undefined && progressMs === 0
            && this.gangs.memberCount(`${gang.name}/${run}`) < gang.size;
    }

    /** Whether the run that starts now is to fail, so that the share of those that do is `failureShare`. */
    private isNextToFail(): boolean {
        this.dueFailures += this.faults.failureShare;
        const isDue = this.dueFailures >= 1;
        this.dueFailures -= isDue ? 1 : 0;
        return isDue;
    }

    private outcomeOf(
        { run, profile, progressMs, gangWaitMs, isGangBroken, stopAtMs, failsHalfway }: Run,
    ): ReportedEnd | undefined {
        if (isGangBroken) {
            return RunEnd.GangBroken;
        }
        if (gangWaitMs >= gangFormationTimeoutMs) {
            return RunEnd.GangIncomplete;
        }
        if (stopAtMs !== undefined && this.timer.now() >= stopAtMs) {
            return RunEnd.Stopped;
        }
        if (this.faults.failsAll || (failsHalfway && progressMs >= profile.workMs / 2)) {
            return RunEnd.Failed;
        }
        if (profile.isService || progressMs < profile.workMs) {
            return undefined;
        }
        return run <= profile.failures ? RunEnd.Failed : RunEnd.Done;
    }

    private endRun({ task, run, profile }: Run, outcome: ReportedEnd): void {
        if (profile.gang !== undefined) {
            this.gangs.leave(`${profile.gang.name}/${run}`, task, outcome === RunEnd.Done);
        }
        this.events.onRunEnded(this, task, run, outcome);
        this.runs.delete(task);
        this.settledRuns.set(task, Math.max(run, this.settledRuns.get(task) ?? 0));
        this.unacknowledgedEnds.push({
            position: this.nextEndPosition,
            task,
            run,
            outcome,
            saved: "",
        });
        this.nextEndPosition += 1 + this.endSteps.int(maxEndStep);
        [...this.holdWaiters].forEach(wake => wake());
    }
}
