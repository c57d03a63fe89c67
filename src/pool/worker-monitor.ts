/** Polls the roster and sends hold requests to each worker. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { sleep } from "../process/timer.js";
import { untilSettledMs } from "./disruption-budget.js";
import { intendedIncarnation } from "./foreign-answers.js";
import { HoldAnswers, type SentHold } from "./hold-answers.js";
import { maxClockDrift } from "./lease.js";
import { openSteps } from "./open-steps.js";
import { type HoldResult, type Roster, WorkerRefusal } from "./ports.js";
import { StopReason } from "./records.js";
import type { RunDispatcher } from "./run-dispatcher.js";
import { queryOrder } from "./scheduling/query-order.js";
import { retryDelayMs, targetOf, type TenureContext } from "./tenure-context.js";
import { markUnreachable, type WorkerState } from "./worker-registry.js";

/** Interval of reading the roster while VMs are joining a pool. */
const fastRosterIntervalMs = 150;
/** Longest wait for ends to be stored before the next hold request, which has to renew the worker's leases. */
const maxAckWaitMs = 800;
/** Pause before the next hold request after a failed one to a worker that is no longer listed. */
const unlistedRetryMs = 600;

/** A worker whose ended runs have been applied up to a position of its list. */
export interface AppliedEnds {
    readonly worker: WorkerState;
    readonly startedAtMs: number;
    readonly position: number;
}

/** Monitors the workers of a domain. */
export class WorkerMonitor {
    private readonly polledWorkers = new Set<string>();
    private readonly storeWaiters: (() => void)[] = [];
    private readonly answers: HoldAnswers;
    /** Fencing tokens under which workers were probed since a new incarnation was known. */
    private readonly probedFences = new WeakMap<WorkerState, number>();
    private fastPollUntil = -Infinity;

    constructor(private readonly ctx: TenureContext, private readonly dispatcher: RunDispatcher) {
        this.answers = new HoldAnswers(ctx, dispatcher);
    }

    /** Starts to poll the roster and to send hold requests to its workers. */
    start(): void {
        void this.pollRoster();
    }

    /** Polls the roster at a short interval for `forMs` milliseconds, since VMs are about to join a pool. */
    pollFasterFor(forMs: number): void {
        this.fastPollUntil = Math.max(this.fastPollUntil, this.ctx.options.timer.now() + forMs);
    }

    /** Requests a worker's runs without waiting, in addition to the hold request that is pending there. */
    probe(worker: WorkerState): void {
        const sent = this.describeHold(worker);
        const order = { fence: sent.fence, acknowledged: 0, waitMs: 0 };
        void this.ctx.options.calls.hold(targetOf(worker), order).then(result => {
            if (result.kind !== "held" || !this.ctx.isActive) {
                return;
            }
            this.answers.apply(worker, result, sent);
            if (worker.fence !== sent.fence) {
                this.probeNewIncarnation(worker);
                return;
            }
            [...worker.runs.values()].filter(({ step }) => step.isService)
                .forEach(record => this.dispatcher.sendStop(record));
        });
    }

    /** Probes a worker whose present incarnation is known from an answer, once: its own answer tells what it has. */
    private probeNewIncarnation(worker: WorkerState): void {
        if (this.probedFences.get(worker) !== worker.fence) {
            this.probedFences.set(worker, worker.fence);
            this.probe(worker);
        }
    }

    private describeHold(worker: WorkerState): SentHold {
        const sentAt = this.ctx.options.timer.now();
        return { sentAt, fence: worker.fence, meantFor: intendedIncarnation(worker, sentAt) };
    }

    /** Workers with ends that are applied but not yet stored. */
    unacknowledgedEnds(): readonly AppliedEnds[] {
        return [...this.ctx.workers.byId.values()]
            .filter(worker => worker.appliedPosition > worker.storedPosition)
            .map(worker => ({ worker, startedAtMs: worker.startedAtMs, position: worker.appliedPosition }));
    }

    /** Marks ends as stored, so that the next hold requests acknowledge them to the workers. */
    acknowledge(stored: readonly AppliedEnds[]): void {
        for (const { worker, startedAtMs, position } of stored) {
            if (worker.startedAtMs === startedAtMs) {
                worker.storedPosition = Math.max(worker.storedPosition, position);
            }
        }
        this.storeWaiters.splice(0).forEach(resolve => resolve());
    }

    private async pollRoster(): Promise<void> {
        const { roster, timer, times, log, calls } = this.ctx.options;
        let isLost = false;
        while (this.ctx.isActive) {
            try {
                const requestedAt = timer.now();
                const list = await roster.list();
                this.applyRoster(list, requestedAt);
                calls.retain(
                    new Set([...this.ctx.workers.byId.values()].map(({ listed }) => listed.address)),
                );
                if (isLost) {
                    log.write(Severity.Info, EventId.RosterRegained, { workers: list.length });
                }
                isLost = false;
            }
            catch (err) {
                if (!isLost) {
                    log.write(Severity.Warn, EventId.RosterLost, { err: messageOf(err) });
                }
                isLost = true;
            }
            await sleep(timer, timer.now() < this.fastPollUntil ? fastRosterIntervalMs : times.rosterMs);
        }
    }

    private applyRoster(list: Awaited<ReturnType<Roster["list"]>>, requestedAt: number): void {
        if (!this.ctx.isActive) {
            return;
        }
        this.ctx.liveness.recordRoster(requestedAt);
        const pools = this.ctx.options.directory()?.pools;
        const changed = this.ctx.workers.update(
            list.filter(worker => pools?.get(worker.pool)?.isSpare !== true),
            requestedAt,
        );
        const restarted = new Set(changed);
        for (const worker of changed) {
            this.ctx.options.log.write(Severity.Info, EventId.WorkerListed, {
                worker: worker.id,
                pool: worker.listed.pool,
                born: worker.startedAtMs,
            });
        }
        for (const worker of this.inQueryOrder()) {
            if (worker.listed.address !== "") {
                if (!this.polledWorkers.has(worker.id)) {
                    void this.holdWorker(worker);
                }
                else if (restarted.has(worker) && this.ctx.mayOrder()) {
                    // The hold request that is pending was meant for the former incarnation.
                    this.probeNewIncarnation(worker);
                }
            }
            if (worker.listed.isDraining) {
                this.stopServices(worker);
            }
        }
        this.ctx.requestRound();
    }

    /** The workers, those first of which waiting work needs the answer if there are any to be queried. */
    private inQueryOrder(): Iterable<WorkerState> {
        const { workers, jobs, options } = this.ctx;
        const hasNew = [...workers.byId.keys()].some(id => !this.polledWorkers.has(id));
        if (!options.scheduling.demandHandover || !hasNew) {
            return workers.byId.values();
        }
        const poolByQueue = new Map(options.directory()?.queues.map(({ name, pool }) => [name, pool]));
        const waitingByPool = new Map<string, number>();
        for (const entry of jobs.activeEntries) {
            const pool = poolByQueue.get(entry.job.queue) ?? "";
            for (const { step, count } of openSteps(entry)) {
                waitingByPool.set(pool, (waitingByPool.get(pool) ?? 0) + count * step.needs.cpu);
            }
        }
        return queryOrder(workers.byId.values(), waitingByPool);
    }

    /** Stops the services on a draining worker so that they move; other runs may finish there. */
    private stopServices(worker: WorkerState): void {
        for (const record of worker.runs.values()) {
            if (record.step.isService && record.stopReason === undefined) {
                this.dispatcher.stop(record, StopReason.WorkerDraining);
            }
        }
    }

    /** Polls a worker until it is no longer listed; after an error the next reading of the roster polls it again. */
    private async holdWorker(worker: WorkerState): Promise<void> {
        this.polledWorkers.add(worker.id);
        try {
            await this.sendHolds(worker);
        }
        catch (err) {
            const fields = { task: "hold", worker: worker.id, err: messageOf(err) };
            this.ctx.options.log.write(Severity.Error, EventId.TaskFailed, fields);
        }
        finally {
            this.polledWorkers.delete(worker.id);
            if (worker.runs.size === 0 && !worker.isListed) {
                this.ctx.workers.remove(worker);
            }
        }
    }

    private async sendHolds(worker: WorkerState): Promise<void> {
        const { timer } = this.ctx.options;
        while (this.ctx.isActive && (worker.isListed || worker.runs.size > 0)) {
            if (!this.ctx.mayOrder()) {
                await sleep(timer, retryDelayMs);
                continue;
            }
            const { isReachable: wasReachable, fence } = worker;
            const result = await this.sendHold(worker);
            worker.isQueried = true;
            if (!this.ctx.isActive) {
                return;
            }
            if (worker.fence !== fence) {
                // Another incarnation is known by now, of which this result tells nothing.
                await sleep(timer, result.kind === "held" ? 0 : retryDelayMs);
            }
            else if (result.kind !== "held") {
                this.recordHoldFailure(worker, wasReachable, result);
                await sleep(timer, worker.isListed ? retryDelayMs : unlistedRetryMs);
            }
            else if (worker.isLeaseBlocked || result.startedAtMs < worker.startedAtMs) {
                await sleep(timer, retryDelayMs);
            }
            await this.waitForStore(worker);
        }
    }

    /** Waits until a worker's ends are stored; an earlier hold request would return the same ends at once. */
    private async waitForStore(worker: WorkerState): Promise<void> {
        const { timer } = this.ctx.options;
        const deadline = timer.now() + maxAckWaitMs;
        while (
            this.ctx.isActive && worker.appliedPosition > worker.storedPosition && timer.now() < deadline
        ) {
            await Promise.race([
                new Promise<void>(resolve => this.storeWaiters.push(resolve)),
                sleep(timer, maxAckWaitMs),
            ]);
        }
    }

    private async sendHold(worker: WorkerState): Promise<HoldResult> {
        const { times, calls, metrics } = this.ctx.options;
        const sent = this.describeHold(worker);
        // An unreachable worker gets no new lease; otherwise its runs could never be declared lost.
        const renews = worker.hasAcceptedFence && worker.isReachable && worker.lease.isClockKnown
            && !worker.isLeaseBlocked;
        if (renews) {
            worker.leaseSentAt = sent.sentAt;
        }
        // Sent until it is answered, and only to a worker that answers: another incarnation's ends have other positions.
        const acknowledged = renews && worker.storedPosition > worker.acknowledgedPosition
            ? worker.storedPosition
            : 0;
        const result = await calls.hold(targetOf(worker), {
            fence: sent.fence,
            acknowledged,
            waitMs: renews ? this.waitMsFor(worker) : 0,
            ...(renews && { leaseUntil: worker.lease.grant(times.leaseMs, sent.sentAt) }),
        });
        metrics.count("celerywind_holds_total", { result: result.kind });
        if (result.kind === "held" && this.ctx.isActive) {
            this.answers.apply(worker, result, sent);
            if (worker.fence === sent.fence) {
                worker.acknowledgedPosition = Math.max(worker.acknowledgedPosition, acknowledged);
            }
        }
        return result;
    }

    /** Longest wait for an answer: shorter if a report is due that settles which tasks of services are at work. */
    private waitMsFor(worker: WorkerState): number {
        const { holdWaitMs } = this.ctx.options.times;
        const settledMs = untilSettledMs(this.ctx, worker);
        return settledMs === 0
            ? holdWaitMs
            : Math.min(holdWaitMs, Math.ceil(settledMs / (1 - maxClockDrift)));
    }

    private recordHoldFailure(
        worker: WorkerState,
        wasReachable: boolean,
        failure: Exclude<HoldResult, { kind: "held" }>,
    ): void {
        const { reason } = failure;
        markUnreachable(worker, this.ctx.options.timer.now());
        if (failure.kind === "refused" && failure.reason === WorkerRefusal.Fenced) {
            void this.ctx.confirm();
        }
        if (wasReachable) {
            // The worker of a VM that is being drained shuts down when the VM is moved or maintained.
            const severity = worker.isCordoned ? Severity.Info : Severity.Warn;
            this.ctx.options.log.write(severity, EventId.WorkerUnreachable, {
                isLeaving: worker.isCordoned,
                worker: worker.id,
                born: worker.startedAtMs,
                reason,
                runs: worker.runs.size,
                leasesEndInMs: Math.round(worker.lease.latestEnd() - this.ctx.options.timer.now()),
            });
        }
    }
}
