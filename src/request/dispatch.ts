/**
 * Assigns worker slots to requests. A request waits in the queue of its pool until its team has an unused grant and a
 * worker has a free slot; it is refused early when the expected wait exceeds its deadline.
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

/** State of the entry that the dispatcher depends on. */
export interface DispatchView {
    /** Maximum number of concurrent requests and jobs of the team on this entry under its grant. */
    readonly usableGrants: (team: string) => number;
    /** Upper limit of the team across the fleet. */
    readonly limit: (team: string) => number;
    /** Scheduling weight of the team before corrections. */
    readonly share: (team: string) => number;
    /** Why new requests are refused; undefined while they are accepted. */
    readonly closedReason: () => NotRunReason | undefined;
    /** Whether waiting work may start; checked before each start. */
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
    /** Availability zone of this entry. */
    readonly zone?: string;
    /** Called with the VM id of a worker when outlier detection ejects it. */
    readonly onEjected?: (vm: string) => void;
}

interface PendingAcquire extends Waiter {
    readonly request: SlotRequest;
    readonly resolve: (result: AcquireResult) => void;
    readonly cancelTimer: Cancel;
}

type Scheduler = PoolScheduler<PendingAcquire>;

/** A worker that reported itself full receives no requests for this time. */
const workerFullBackoffMs = 30;
const noWorkerRetryAfterMs = 300;
/** An interactive request whose team has no usable grant here is refused after this time, so that it can be relayed. */
const noGrantMaxWaitMs = 100;
const minRetryAfterMs = 100;
/** Digests older than this are dropped. */
const remoteDigestMaxAgeMs = 1500;

/** Slot dispatcher of one entry. */
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

    /** Replaces the workers of all pools; a pool that is not listed has no workers afterwards. */
    setPools(pools: readonly PoolWorkers[]): void {
        const named = new Set(pools.map(pool => pool.pool));
        const unnamed = [...this.schedulers].filter(([pool]) => !named.has(pool));
        unnamed.forEach(([, scheduler]) => scheduler.setWorkers({ workers: [], maxEjected: 0 }));
        for (const { pool, workers, maxEjected } of pools) {
            this.schedulerOf(pool).setWorkers({ workers, maxEjected });
            this.dispatchPool(pool);
        }
    }

    /** Updates the remote load from a peer's digest and starts what has become possible. */
    receiveDigest(peer: string, digest: LoadDigest): void {
        this.remoteLoad.update(peer, digest, this.options.timer.now());
        this.dispatchAll();
    }

    /** Waits for a slot; resolves with a refusal when none can be assigned in time. */
    acquire(request: SlotRequest): Promise<AcquireResult> {
        const refused = this.earlyRefusal(request);
        return refused === undefined
            ? new Promise(resolve => this.enqueue(request, resolve))
            : Promise.resolve(refused);
    }

    /**
     * Releases a slot. Work that may still be running is counted until `mayRunUntil`, a monotonic time in
     * milliseconds. After a fast failure, the worker's slot stays occupied for the mean service time, so that a
     * worker that fails fast does not attract load.
     */
    release(slot: Slot, result: SlotResult, mayRunUntil = 0): void {
        const { timer } = this.options;
        const elapsedMs = timer.now() - slot.acquiredAt;
        const holdMs = result === SlotResult.Failed ? this.serviceTimes.meanMs(slot.queue) - elapsedMs : 0;
        const lingerMs = mayRunUntil - timer.now();
        this.recordSlotResult(slot, result, elapsedMs);
        runAfter(timer, lingerMs, () => this.releaseTeamSlot(slot));
        runAfter(timer, Math.max(holdMs, lingerMs), () => this.releaseWorkerSlot(slot));
    }

    /** Occupies a slot for a task that already runs on a worker under the grant of an ended incarnation. */
    adopt(request: SlotRequest, worker: Worker, adoptedFrom: string): Slot {
        const { pool, team, queue, class: queueClass } = request;
        const acquiredAt = this.options.timer.now();
        const target = { pool, team, queue, class: queueClass, worker };
        const slot: Slot = { ...target, acquiredAt, upperEstimateMs: 0, chargedMs: 0, adoptedFrom };
        this.localLoad.addSlot(slot);
        return slot;
    }

    /** Running work of a team that is still covered by the grant of an ended incarnation. */
    adoptedCount(team: string, from: string): number {
        return this.localLoad.adoptedCount(team, from);
    }

    /** Records that `n` units of the grant of an ended incarnation were transferred to this entry. */
    recordGrantTransfer(team: string, from: string, n: number): void {
        this.localLoad.recordGrantTransfer(team, from, n);
    }

    /** Whether a team may start one more request or job on this entry under its grant. */
    canStart(team: string): boolean {
        return this.localLoad.runningOf(team) < this.options.view.usableGrants(team);
    }

    /** Starts waiting work in all pools as far as slots and grants allow. */
    dispatchAll(): void {
        this.remoteLoad.expireBefore(this.options.timer.now() - remoteDigestMaxAgeMs);
        [...this.schedulers.keys()].forEach(pool => this.dispatchPool(pool));
    }

    /**
     * Corrects the scheduling weights of the teams from their usage across the fleet. Each call moves the weights by
     * one step, so it must be called at a constant interval.
     */
    adjustWeights(teams: readonly string[]): void {
        for (const [pool, scheduler] of this.schedulers) {
            scheduler.virtualClock.adjustCorrections(teams.map(team => ({
                team,
                share: this.options.view.share(team),
                usedSlots: (this.localLoad.usedMsIn(pool, team) + this.remoteLoad.usedMsIn(pool, team))
                    / usageTimeConstantMs,
                isBacklogged: scheduler.waitingOf(team) + this.remoteLoad.waitingIn(pool, team) > 0,
            })));
        }
    }

    /** Running work of a team on this entry. */
    runningOf(team: string): number {
        return this.localLoad.runningOf(team);
    }

    /** Requests and tasks of this entry on a worker. */
    onWorker(vm: string): number {
        return this.localLoad.onWorker(vm);
    }

    /** Requests and tasks on a worker that this entry or, by gossip, its peers know of. */
    knownOnWorker(vm: string): number {
        return this.localLoad.onWorker(vm) + this.remoteLoad.onWorker(vm);
    }

    /** Running and waiting work of a team on this entry. */
    demandOf(team: string): number {
        const waiting = [...this.schedulers.values()].reduce(
            (sum, scheduler) => sum + scheduler.waitingOf(team),
            0,
        );
        return this.localLoad.runningOf(team) + waiting;
    }

    /**
     * VM id of a peer that can serve a request sooner than this entry: one with unused grants of the team when this
     * entry has none, or, under the homed policy, one with free slots when this entry has none. Undefined when there
     * is no such peer.
     */
    findRelay({ pool, team }: Pick<SlotRequest, "pool" | "team">): string | undefined {
        const { policy = SlotPolicyKind.Homed } = this.options;
        if (!this.canStart(team)) {
            return this.remoteLoad.peersWithFreeSlots(pool, team)[0]
                ?? this.remoteLoad.peersWithUnusedGrants(team)[0];
        }
        const scheduler = this.schedulerOf(pool);
        const isFull = scheduler.waitQueue.size > 0 || scheduler.freeHomeSlots() <= 0;
        return policy === SlotPolicyKind.Homed && isFull
            ? this.remoteLoad.peersWithFreeSlots(pool, team)[0]
            : undefined;
    }

    /** Fraction of the slots of a pool's open workers that are in use on all entries; 1 when no worker is open. */
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

    /** Number of waiters in all pools. */
    waitingTotal(): number {
        return [...this.schedulers.values()].reduce((sum, { waitQueue }) => sum + waitQueue.size, 0);
    }

    /** Load of this entry in the given teams, to be sent to the peers. */
    digest(teams: readonly string[]): LoadDigest {
        const pools = [...this.schedulers];
        const loads = pools.flatMap(([pool, scheduler]) =>
            teams.map(team => this.loadOf(pool, scheduler, team))
        );
        const unused = (team: string): number =>
            this.options.view.usableGrants(team) - this.localLoad.runningOf(team);
        const elsewhere = pools.flatMap(([, scheduler]) => scheduler.workersHomedElsewhere());
        return {
            teams: loads.filter(load => load.running > 0 || load.waiting > 0),
            unusedGrants: positiveCounts(teams.map(team => [team, unused(team)] as const)),
            freeSlots: positiveCounts(
                pools.map(([pool, scheduler]) => [pool, scheduler.freeHomeSlots()] as const),
            ),
            loadByWorker: positiveCounts(
                elsewhere.map(worker => [worker.vm, this.localLoad.onWorker(worker.vm)] as const),
            ),
        };
    }

    private loadOf(pool: string, scheduler: Scheduler, team: string): LoadDigest["teams"][number] {
        const usedMs = Math.round(this.localLoad.usedMsIn(pool, team));
        return {
            team,
            pool,
            running: this.localLoad.runningIn(pool, team),
            waiting: scheduler.waitingOf(team),
            usedMs,
        };
    }

    private earlyRefusal(request: SlotRequest): AcquireResult | undefined {
        const { view, maxQueuedRequests = 2000 } = this.options;
        const closedReason = view.closedReason();
        if (closedReason !== undefined) {
            return refuse(closedReason, minRetryAfterMs);
        }
        if (view.limit(request.team) === 0) {
            return refuse(NotRunReason.OverLimit, 0);
        }
        const scheduler = this.schedulerOf(request.pool);
        if (!scheduler.openWorkers().some(worker => !request.exclude.includes(worker.vm))) {
            return refuse(NotRunReason.NoWorker, noWorkerRetryAfterMs);
        }
        const waitMs = this.estimateWaitMs(request);
        if (request.class === QueueClass.Interactive && scheduler.waitQueue.size >= maxQueuedRequests) {
            return refuse(NotRunReason.QueueFull, waitMs);
        }
        const leftMs = request.deadline - this.options.timer.now();
        if (waitMs + this.upperEstimateMs(request) > leftMs && scheduler.waitQueue.size > 0) {
            return refuse(
                this.canStart(request.team) ? NotRunReason.WaitTooLong : NotRunReason.OverLimit,
                waitMs,
            );
        }
        return undefined;
    }

    /** Expected wait in milliseconds of a request that would be queued now. */
    private estimateWaitMs({ pool, team, queue, class: queueClass }: SlotRequest): number {
        const scheduler = this.schedulerOf(pool);
        const { waitQueue } = scheduler;
        const { share, usableGrants } = this.options.view;
        const position = waitQueue.waitingOf(queueClass, team) + 1;
        const teams = new Set([...waitQueue.teamsWaitingIn(queueClass), team]);
        const totalShare = [...teams].reduce((sum, other) => sum + share(other), 0);
        const teamSlots = Math.max(
            1,
            Math.min(scheduler.localSlots() * share(team) / totalShare, usableGrants(team)),
        );
        return waitQueue.size === 0 ? 0 : position * this.serviceTimes.meanMs(queue) / teamSlots;
    }

    private enqueue(request: SlotRequest, resolve: (result: AcquireResult) => void): void {
        const { timer } = this.options;
        const scheduler = this.schedulerOf(request.pool);
        const refuseNow = (reason: NotRunReason): void => this.refuseWaiting(scheduler, pending, reason);
        const latestStart = request.deadline - this.upperEstimateMs(request);
        const noGrantDeadline = timer.now() + noGrantMaxWaitMs;
        const isGrantWaitLimited = this.isWithoutGrant(request) && noGrantDeadline < latestStart;
        const cancelTimer = isGrantWaitLimited
            ? timer.after(noGrantMaxWaitMs, () => refuseNow(NotRunReason.NoGrant))
            : timer.after(latestStart - timer.now(), () => refuseNow(NotRunReason.DeadlinePassed));
        const pending: PendingAcquire = {
            team: request.team,
            class: request.class,
            enqueuedAt: timer.now(),
            request,
            resolve,
            cancelTimer,
        };
        request.signal?.addEventListener("abort", () => refuseNow(NotRunReason.CallerGone), { once: true });
        if (scheduler.waitingOf(request.team) === 0) {
            scheduler.virtualClock.activate(request.team);
        }
        scheduler.waitQueue.add(pending);
        this.dispatchPool(request.pool);
    }

    /** Whether the request is interactive and its team currently has no usable grant on this entry. */
    private isWithoutGrant({ team, class: queueClass }: SlotRequest): boolean {
        return queueClass === QueueClass.Interactive && this.options.view.usableGrants(team) === 0;
    }

    private refuseWaiting({ waitQueue }: Scheduler, pending: PendingAcquire, reason: NotRunReason): void {
        if (waitQueue.remove(pending)) {
            pending.cancelTimer();
            pending.resolve(refuse(reason, this.estimateWaitMs(pending.request)));
        }
    }

    /** Upper estimate of the service time of an interactive request in milliseconds; 0 for a deferred one. */
    private upperEstimateMs({ queue, class: queueClass }: SlotRequest): number {
        return queueClass === QueueClass.Interactive ? this.serviceTimes.upperEstimateMs(queue) : 0;
    }

    private dispatchPool(pool: string): void {
        const scheduler = this.schedulerOf(pool);
        while (scheduler.waitQueue.size > 0) {
            if (!this.options.view.mayStart() || !this.startNext(scheduler)) {
                return;
            }
        }
    }

    /** Starts the next request that has a worker; true when another one may be startable. */
    private startNext(scheduler: Scheduler): boolean {
        const view = {
            virtualTime: (team: string) => scheduler.virtualClock.virtualTime(team),
            canStart: (team: string) => this.canStart(team),
            now: this.options.timer.now(),
        };
        for (const classes of classPreferences) {
            const pending = scheduler.waitQueue.peekNext(view, classes);
            if (pending !== undefined && this.tryStart(scheduler, pending)) {
                return true;
            }
        }
        return false;
    }

    private tryStart(scheduler: Scheduler, pending: PendingAcquire): boolean {
        const { request } = pending;
        if (request.deadline - this.options.timer.now() < this.upperEstimateMs(request)) {
            this.refuseWaiting(scheduler, pending, NotRunReason.WaitTooLong);
            return true;
        }
        const worker = scheduler.pickFor(request);
        if (worker !== undefined) {
            this.start(scheduler, pending, worker);
        }
        return worker !== undefined;
    }

    private start(scheduler: Scheduler, pending: PendingAcquire, worker: Worker): void {
        const { timer, metrics } = this.options;
        const { pool, team, queue, class: queueClass } = pending.request;
        scheduler.waitQueue.remove(pending);
        scheduler.waitQueue.countStart();
        pending.cancelTimer();
        const target = { pool, team, queue, class: queueClass, worker };
        const chargedMs = this.serviceTimes.meanMs(queue);
        const slot: Slot = {
            ...target,
            acquiredAt: timer.now(),
            upperEstimateMs: this.upperEstimateMs(pending.request),
            chargedMs,
        };
        this.localLoad.addSlot(slot);
        scheduler.virtualClock.advanceTo(team);
        this.charge(slot, chargedMs);
        metrics.observe("celerywind_queue_wait_ms", timer.now() - pending.enqueuedAt, { class: queueClass });
        pending.resolve({ kind: AcquireResultKind.Slot, slot });
    }

    private recordSlotResult({ pool, queue, worker }: Slot, result: SlotResult, elapsedMs: number): void {
        const { timer, metrics, onEjected } = this.options;
        const scheduler = this.schedulerOf(pool);
        switch (result) {
            case SlotResult.Succeeded:
                this.serviceTimes.record(queue, elapsedMs);
                scheduler.record(worker.vm, true);
                break;
            case SlotResult.Failed:
                if (scheduler.record(worker.vm, false)) {
                    metrics.count("celerywind_workers_ejected_total");
                    onEjected?.(worker.vm);
                }
                break;
            case SlotResult.WorkerFull:
                scheduler.markFull(worker.vm, timer.now() + workerFullBackoffMs);
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
        let scheduler = this.schedulers.get(pool);
        if (scheduler === undefined) {
            const { timer, random, policy = SlotPolicyKind.Homed, slotsPerWorker = 8, zone } = this.options;
            const { localLoad, remoteLoad } = this;
            scheduler = PoolScheduler.create({
                now: () => timer.now(),
                random,
                localLoad,
                remoteLoad,
                policy,
                slotsPerWorker,
                zone,
            });
            this.schedulers.set(pool, scheduler);
        }
        return scheduler;
    }
}

/** Classes to consider in each round: when the first choice has no worker, each class is tried alone. */
const classPreferences = [
    [QueueClass.Interactive, QueueClass.Deferred],
    [QueueClass.Interactive],
    [QueueClass.Deferred],
] as const;

/** Omits the entries that are not positive. */
function positiveCounts(counts: readonly (readonly [string, number])[]): Readonly<Record<string, number>> {
    return Object.fromEntries(counts.filter(([, n]) => n > 0));
}

/** Runs `fn` after `ms` milliseconds, immediately when that is not positive. */
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
