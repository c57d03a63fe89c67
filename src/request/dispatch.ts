/**
 * Gives out worker slots. A request waits in its pool's line until its team may start one more under its grant and
 * a worker has a free slot; it is refused early when the wait would outlast its deadline.
 */
import type { Metrics } from "../process/metrics.js";
import type { Random } from "../process/random.js";
import { SlotPolicyKind } from "../process/slots.js";
import type { Cancel, Timer } from "../process/timer.js";
import { QueueClass } from "../version/schema.js";
import { usageTimeConstantMs } from "./decayed-usage.js";
import type { Waiter } from "./fair-queue.js";
import { type LoadDigest, RemoteLoad } from "./load.js";
import { LocalLoad } from "./local-load.js";
import { NotRunReason } from "./outcome.js";
import { PoolScheduler } from "./pool-scheduler.js";
import { ServiceTimeEstimator } from "./service-time-estimator.js";
import {
    type AcquireResult,
    AcquireResultKind,
    type PoolWorkers,
    type Slot,
    type SlotRequest,
    SlotResult,
    type Worker,
} from "./slot.js";

/** What the dispatcher asks about the rest of the entry. */
export interface DispatchView {
    /** How many the team may run at once on this entry. */
    readonly usableGrants: (team: string) => number;
    readonly limit: (team: string) => number;
    readonly share: (team: string) => number;
    /** Why no new work is taken now, if so. */
    readonly closedReason: () => NotRunReason | undefined;
    /** Whether work that waits may start; checked at the moment of each start. */
    readonly mayStart: () => boolean;
}

/** Options of `Dispatcher.create`. */
export interface DispatcherOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly view: DispatchView;
    readonly policy?: SlotPolicyKind;
    readonly slotsPerWorker?: number;
    readonly maxQueuedRequests?: number;
    readonly zone?: string;
    readonly onEjected?: (vm: string) => void;
}

interface PendingAcquire extends Waiter {
    readonly request: SlotRequest;
    readonly resolve: (acquired: AcquireResult) => void;
    readonly cancelTimer: Cancel;
}

type Scheduler = PoolScheduler<PendingAcquire>;

const workerFullBackoffMs = 30;
const noWorkerRetryAfterMs = 300;
const noGrantMaxWaitMs = 100;
const minRetryAfterMs = 100;
const remoteDigestMaxAgeMs = 1500;

/** The dispatcher of one entry. */
export class Dispatcher {
    readonly remoteLoad = RemoteLoad.create();
    private readonly localLoad: LocalLoad;
    private readonly schedulers = new Map<string, Scheduler>();
    private readonly serviceTimes = ServiceTimeEstimator.create();

    private constructor(private readonly options: DispatcherOptions) {
        this.localLoad = LocalLoad.create(() => options.timer.now());
    }

    static create(options: DispatcherOptions): Dispatcher {
        return new Dispatcher(options);
    }

    /** Replaces the workers of the pools; pools that are not named lose theirs. */
    setPools(pools: readonly PoolWorkers[]): void {
        const named = new Set(pools.map(pool => pool.pool));
        const unnamed = [...this.schedulers].filter(([pool]) => !named.has(pool));
        unnamed.forEach(([, line]) => line.setWorkers({ workers: [], maxEjected: 0 }));
        for (const { pool, workers, maxEjected: maxEjected } of pools) {
            this.schedulerOf(pool).setWorkers({ workers, maxEjected: maxEjected });
            this.dispatchPool(pool);
        }
    }

    /** Takes in a peer's digest. */
    receiveDigest(peer: string, digest: LoadDigest): void {
        this.remoteLoad.update(peer, digest, this.options.timer.now());
        this.dispatchAll();
    }

    /** Waits for a slot. */
    acquire(want: SlotRequest): Promise<AcquireResult> {
        const refused = this.earlyRefusal(want);
        return refused === undefined
            ? new Promise(resolve => this.enqueue(want, resolve))
            : Promise.resolve(refused);
    }

    /**
     * Gives a slot back. Work that may still be running counts until `mayRunUntil`, a monotonic time in milliseconds;
     * a fast failure holds the worker's slot for the mean service time, so that failing fast attracts no load.
     */
    release(slot: Slot, end: SlotResult, mayRunUntil = 0): void {
        const { timer } = this.options;
        const elapsed = timer.now() - slot.acquiredAt;
        const holdMs = end === SlotResult.Failed ? this.serviceTimes.meanMs(slot.queue) - elapsed : 0;
        const lingerMs = mayRunUntil - timer.now();
        this.recordSlotResult(slot, end, elapsed);
        runAfter(timer, lingerMs, () => this.releaseTeamSlot(slot));
        runAfter(timer, Math.max(holdMs, lingerMs), () => this.releaseWorkerSlot(slot));
    }

    /** Takes a slot for a task that already runs on a worker, covered by the grant of an ended incarnation. */
    adopt(want: SlotRequest, worker: Worker, adoptedFrom: string): Slot {
        const { pool, team, queue, class: queueClass } = want;
        const since = this.options.timer.now();
        const place = { pool, team, queue, class: queueClass, worker };
        const slot: Slot = { ...place, acquiredAt: since, upperEstimateMs: 0, chargedMs: 0, adoptedFrom };
        this.localLoad.addSlot(slot);
        return slot;
    }

    /** Work of a team that runs here under the grant of an ended incarnation. */
    adoptedCount(team: string, from: string): number {
        return this.localLoad.adoptedCount(team, from);
    }

    /** Notes that `n` of the grant of an ended incarnation were moved here. */
    recordGrantTransfer(team: string, from: string, n: number): void {
        this.localLoad.recordGrantTransfer(team, from, n);
    }

    /** Whether a team may start one more here. */
    canStart(team: string): boolean {
        return this.localLoad.runningOf(team) < this.options.view.usableGrants(team);
    }

    /** Serves the lines of all pools as far as slots and grants allow. */
    dispatchAll(): void {
        this.remoteLoad.expireBefore(this.options.timer.now() - remoteDigestMaxAgeMs);
        [...this.schedulers.keys()].forEach(pool => this.dispatchPool(pool));
    }

    /** Corrects the weights of the teams from their use across the fleet; call at a steady pace. */
    adjustWeights(teams: readonly string[]): void {
        for (const [pool, line] of this.schedulers) {
            line.virtualClock.adjustCorrections(teams.map(team => ({
                team,
                share: this.options.view.share(team),
                usedSlots: (this.localLoad.usedMsIn(pool, team) + this.remoteLoad.usedMsIn(pool, team))
                    / usageTimeConstantMs,
                isBacklogged: line.waitingOf(team) + this.remoteLoad.waitingIn(pool, team) > 0,
            })));
        }
    }

    /** Running work of a team on this entry. */
    runningOf(team: string): number {
        return this.localLoad.runningOf(team);
    }

    /** Work of this entry on a worker. */
    onWorker(vm: string): number {
        return this.localLoad.onWorker(vm);
    }

    /** Running and waiting work of a team on this entry. */
    demandOf(team: string): number {
        const waiting = [...this.schedulers.values()].reduce((sum, line) => sum + line.waitingOf(team), 0);
        return this.localLoad.runningOf(team) + waiting;
    }

    /**
     * A peer that can serve a request sooner than this entry: one with unused grants of the team when this entry has
     * none, or under homed slots one with free slots when this entry has none.
     */
    findRelay({ pool, team }: Pick<SlotRequest, "pool" | "team">): string | undefined {
        const { policy = SlotPolicyKind.Homed } = this.options;
        if (!this.canStart(team)) {
            return this.remoteLoad.peersWithFreeSlots(pool, team)[0]
                ?? this.remoteLoad.peersWithUnusedGrants(team)[0];
        }
        const line = this.schedulerOf(pool);
        const isFull = line.queue.size > 0 || line.freeHomeSlots() <= 0;
        return policy === SlotPolicyKind.Homed && isFull
            ? this.remoteLoad.peersWithFreeSlots(pool, team)[0]
            : undefined;
    }

    /** Slots in use in a pool on all entries, as a part of the slots of its open workers. */
    poolUtilization(pool: string): number {
        const { slotsPerWorker = 8 } = this.options;
        const open = this.schedulerOf(pool).openWorkers().length;
        const running = this.localLoad.runningInPool(pool) + this.remoteLoad.runningInPool(pool);
        return open === 0 ? 1 : running / (open * slotsPerWorker);
    }

    /** The worker with this VM id in a pool. */
    workerOf(pool: string, vm: string): Worker | undefined {
        return this.schedulers.get(pool)?.workerOf(vm);
    }

    /** Total number waiting. */
    waitingTotal(): number {
        return [...this.schedulers.values()].reduce((sum, { queue: line }) => sum + line.size, 0);
    }

    /** What to tell the peers. */
    digest(teams: readonly string[]): LoadDigest {
        const pools = [...this.schedulers];
        const loads = pools.flatMap(([pool, line]) => teams.map(team => this.loadOf(pool, line, team)));
        const unused = (team: string): number =>
            this.options.view.usableGrants(team) - this.localLoad.runningOf(team);
        const away = pools.flatMap(([, line]) => line.workersHomedElsewhere());
        return {
            teams: loads.filter(load => load.running > 0 || load.waiting > 0),
            unusedGrants: positiveCounts(teams.map(team => [team, unused(team)] as const)),
            freeSlots: positiveCounts(pools.map(([pool, line]) => [pool, line.freeHomeSlots()] as const)),
            loadByWorker: positiveCounts(
                away.map(worker => [worker.vm, this.localLoad.onWorker(worker.vm)] as const),
            ),
        };
    }

    private loadOf(pool: string, line: Scheduler, team: string): LoadDigest["teams"][number] {
        const used = Math.round(this.localLoad.usedMsIn(pool, team));
        return {
            team,
            pool,
            running: this.localLoad.runningIn(pool, team),
            waiting: line.waitingOf(team),
            usedMs: used,
        };
    }

    private earlyRefusal(want: SlotRequest): AcquireResult | undefined {
        const { view, maxQueuedRequests: maxQueuedRequests = 2000 } = this.options;
        const closed = view.closedReason();
        if (closed !== undefined) {
            return refuse(closed, minRetryAfterMs);
        }
        if (view.limit(want.team) === 0) {
            return refuse(NotRunReason.OverLimit, 0);
        }
        const line = this.schedulerOf(want.pool);
        if (!line.openWorkers().some(worker => !want.exclude.includes(worker.vm))) {
            return refuse(NotRunReason.NoWorker, noWorkerRetryAfterMs);
        }
        const wait = this.estimateWaitMs(want);
        if (want.class === QueueClass.Interactive && line.queue.size >= maxQueuedRequests) {
            return refuse(NotRunReason.QueueFull, wait);
        }
        const left = want.deadline - this.options.timer.now();
        if (wait + this.upperEstimateMs(want) > left && line.queue.size > 0) {
            return refuse(this.canStart(want.team) ? NotRunReason.WaitTooLong : NotRunReason.OverLimit, wait);
        }
        return undefined;
    }

    /** Expected wait of a request that would join its line now, in milliseconds. */
    private estimateWaitMs({ pool, team, queue, class: queueClass }: SlotRequest): number {
        const poolLine = this.schedulerOf(pool);
        const { queue: line } = poolLine;
        const { share, usableGrants: usable } = this.options.view;
        const mine = line.waitingOf(queueClass, team) + 1;
        const teams = new Set([...line.teamsWaitingIn(queueClass), team]);
        const shares = [...teams].reduce((sum, other) => sum + share(other), 0);
        const teamSlots = Math.max(1, Math.min(poolLine.localSlots() * share(team) / shares, usable(team)));
        return line.size === 0 ? 0 : mine * this.serviceTimes.meanMs(queue) / teamSlots;
    }

    private enqueue(want: SlotRequest, settle: (acquired: AcquireResult) => void): void {
        const { timer } = this.options;
        const line = this.schedulerOf(want.pool);
        const expire = (reason: NotRunReason): void => this.refuseWaiting(line, ticket, reason);
        const lastStart = want.deadline - this.upperEstimateMs(want);
        const patienceEnd = timer.now() + noGrantMaxWaitMs;
        const isShort = this.isWithoutGrant(want) && patienceEnd < lastStart;
        const cancel = isShort
            ? timer.after(noGrantMaxWaitMs, () => expire(NotRunReason.NoGrant))
            : timer.after(lastStart - timer.now(), () => expire(NotRunReason.DeadlinePassed));
        const ticket: PendingAcquire = {
            team: want.team,
            class: want.class,
            enqueuedAt: timer.now(),
            request: want,
            resolve: settle,
            cancelTimer: cancel,
        };
        want.signal?.addEventListener("abort", () => expire(NotRunReason.CallerGone), { once: true });
        if (line.waitingOf(want.team) === 0) {
            line.virtualClock.activate(want.team);
        }
        line.queue.add(ticket);
        this.dispatchPool(want.pool);
    }

    /** Whether a caller waits for a team that may run nothing on this entry for now. */
    private isWithoutGrant({ team, class: queueClass }: SlotRequest): boolean {
        return queueClass === QueueClass.Interactive && this.options.view.usableGrants(team) === 0;
    }

    private refuseWaiting({ queue: line }: Scheduler, ticket: PendingAcquire, reason: NotRunReason): void {
        if (line.remove(ticket)) {
            ticket.cancelTimer();
            ticket.resolve(refuse(reason, this.estimateWaitMs(ticket.request)));
        }
    }

    /** Time that a request most likely needs once it has started, in milliseconds. */
    private upperEstimateMs({ queue, class: queueClass }: SlotRequest): number {
        return queueClass === QueueClass.Interactive ? this.serviceTimes.upperEstimateMs(queue) : 0;
    }

    private dispatchPool(pool: string): void {
        const line = this.schedulerOf(pool);
        while (line.queue.size > 0) {
            if (!this.options.view.mayStart() || !this.startNext(line)) {
                return;
            }
        }
    }

    /** Starts the next request that has a worker; true when the line may hold another one to start. */
    private startNext(line: Scheduler): boolean {
        const view = {
            virtualTime: (team: string) => line.virtualClock.virtualTime(team),
            canStart: (team: string) => this.canStart(team),
            now: this.options.timer.now(),
        };
        for (const classes of classPreferences) {
            const ticket = line.queue.peekNext(view, classes);
            if (ticket !== undefined && this.tryStart(line, ticket)) {
                return true;
            }
        }
        return false;
    }

    private tryStart(line: Scheduler, ticket: PendingAcquire): boolean {
        const { request: want } = ticket;
        if (want.deadline - this.options.timer.now() < this.upperEstimateMs(want)) {
            this.refuseWaiting(line, ticket, NotRunReason.WaitTooLong);
            return true;
        }
        const worker = line.pickFor(want);
        if (worker !== undefined) {
            this.start(line, ticket, worker);
        }
        return worker !== undefined;
    }

    private start(line: Scheduler, ticket: PendingAcquire, worker: Worker): void {
        const { timer, metrics } = this.options;
        const { pool, team, queue, class: queueClass } = ticket.request;
        line.queue.remove(ticket);
        line.queue.countStart();
        ticket.cancelTimer();
        const place = { pool, team, queue, class: queueClass, worker };
        const chargedMs = this.serviceTimes.meanMs(queue);
        const slot: Slot = {
            ...place,
            acquiredAt: timer.now(),
            upperEstimateMs: this.upperEstimateMs(ticket.request),
            chargedMs: chargedMs,
        };
        this.localLoad.addSlot(slot);
        line.virtualClock.advanceTo(team);
        this.charge(slot, chargedMs);
        metrics.observe("celerywind_queue_wait_ms", timer.now() - ticket.enqueuedAt, { class: queueClass });
        ticket.resolve({ kind: AcquireResultKind.Slot, slot });
    }

    private recordSlotResult({ pool, queue, worker }: Slot, end: SlotResult, elapsed: number): void {
        const { timer, metrics, onEjected } = this.options;
        const line = this.schedulerOf(pool);
        switch (end) {
            case SlotResult.Succeeded:
                this.serviceTimes.record(queue, elapsed);
                line.record(worker.vm, true);
                break;
            case SlotResult.Failed:
                if (line.record(worker.vm, false)) {
                    metrics.count("celerywind_workers_ejected_total");
                    onEjected?.(worker.vm);
                }
                break;
            case SlotResult.WorkerFull:
                line.markFull(worker.vm, timer.now() + workerFullBackoffMs);
                timer.after(workerFullBackoffMs, () => this.dispatchPool(pool));
                break;
            case SlotResult.Neutral:
                break;
        }
    }

    private releaseTeamSlot(slot: Slot): void {
        const usedMs = this.options.timer.now() - slot.acquiredAt;
        this.charge(slot, usedMs - slot.chargedMs);
        this.localLoad.releaseTeamSlot(slot);
    }

    private releaseWorkerSlot(slot: Slot): void {
        this.localLoad.releaseWorkerSlot(slot);
        this.dispatchAll();
    }

    private charge({ pool, team }: Slot, ms: number): void {
        this.localLoad.charge(pool, team, ms);
        this.schedulerOf(pool).virtualClock.charge(team, ms, this.options.view.share(team));
    }

    private schedulerOf(pool: string): Scheduler {
        let line = this.schedulers.get(pool);
        if (line === undefined) {
            const { timer, random, policy = SlotPolicyKind.Homed, slotsPerWorker = 8, zone } = this.options;
            const { localLoad: own, remoteLoad: remote } = this;
            line = PoolScheduler.create({
                now: () => timer.now(),
                random,
                localLoad: own,
                remoteLoad: remote,
                policy,
                slotsPerWorker,
                zone,
            });
            this.schedulers.set(pool, line);
        }
        return line;
    }
}

const classPreferences = [
    [QueueClass.Interactive, QueueClass.Deferred],
    [QueueClass.Interactive],
    [QueueClass.Deferred],
] as const;

function positiveCounts(counts: readonly (readonly [string, number])[]): Readonly<Record<string, number>> {
    return Object.fromEntries(counts.filter(([, n]) => n > 0));
}

function runAfter(timer: Timer, ms: number, fn: () => void): void {
    if (ms > 0) {
        timer.after(ms, fn);
    }
    else {
        fn();
    }
}

function refuse(reason: NotRunReason, retryAfterMs: number): AcquireResult {
    return { kind: AcquireResultKind.Refused, reason, retryAfterMs: Math.max(retryAfterMs, minRetryAfterMs) };
}
