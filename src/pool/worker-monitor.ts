/** Follows the list of workers, holds each of them, and applies what they tell of their runs. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { sleep } from "../process/timer.js";
import { type RunRecord, StartStatus, StopReason } from "./job-book.js";
import { type HoldResult, type Roster, WorkerRefusal } from "./ports.js";
import { reconcile } from "./reconcile.js";
import type { RunDispatcher } from "./run-dispatcher.js";
import { retryMs, targetOf, type TenureContext } from "./tenure-context.js";
import type { WorkerState } from "./worker-registry.js";

/** Period of reading the list of workers while VMs join a pool, in milliseconds. */
const fastRosterIntervalMs = 150;
/** Longest wait for the storing of ends before a worker is held again, in milliseconds; its leases need renewal. */
const maxAckWaitMs = 800;
/** Pause in placing work on a worker that has runs nobody wants, in milliseconds. */
const orphanBackoffMs = 300;
/** Pause between holds of a worker that is no longer listed, in milliseconds. */
const unlistedRetryMs = 600;

/** A worker whose ends have been applied up to a position. */
export interface AppliedEnds {
    readonly worker: WorkerState;
    readonly startedAtMs: number;
    readonly position: number;
}

/** Watches the workers of a tenure. */
export class WorkerMonitor {
    private readonly polledWorkers = new Set<string>();
    private readonly storeWaiters: (() => void)[] = [];
    private fastPollUntil = -Infinity;

    constructor(private readonly ctx: TenureContext, private readonly dispatcher: RunDispatcher) {}

    /** Begins to follow the list and to hold the workers on it. */
    start(): void {
        void this.pollRoster();
    }

    /** Reads the list of workers more often for a while, since VMs are about to join a pool. */
    pollFasterFor(forMs: number): void {
        this.fastPollUntil = Math.max(this.fastPollUntil, this.ctx.options.timer.now() + forMs);
    }

    /** Asks a worker for its runs beside the hold that waits there. */
    probe(worker: WorkerState): void {
        const { options, fence } = this.ctx;
        const sentAt = options.timer.now();
        const order = { fence, acknowledged: worker.storedPosition, waitMs: 0 };
        void options.calls.hold(targetOf(worker), order).then(result => {
            if (result.kind === "held" && this.ctx.isActive) {
                this.applyHoldResult(worker, result, sentAt);
            }
        });
    }

    /** Workers with ends that are applied and not yet acknowledged. */
    unacknowledgedEnds(): readonly AppliedEnds[] {
        return [...this.ctx.workers.byId.values()]
            .filter(worker => worker.appliedPosition > worker.storedPosition)
            .map(worker => ({ worker, startedAtMs: worker.startedAtMs, position: worker.appliedPosition }));
    }

    /** Lets workers forget ends that are stored now. */
    acknowledge(stored: readonly AppliedEnds[]): void {
        for (const { worker, startedAtMs: born, position: seen } of stored) {
            if (worker.startedAtMs === born) {
                worker.storedPosition = Math.max(worker.storedPosition, seen);
            }
        }
        this.storeWaiters.splice(0).forEach(resolve => resolve());
    }

    private async pollRoster(): Promise<void> {
        const { roster, timer, times, log, calls } = this.ctx.options;
        let isLost = false;
        while (this.ctx.isActive) {
            try {
                const list = await roster.list();
                this.applyRoster(list);
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

    private applyRoster(list: Awaited<ReturnType<Roster["list"]>>): void {
        if (!this.ctx.isActive) {
            return;
        }
        const spare = this.ctx.options.directory()?.pools;
        const fresh = this.ctx.workers.update(
            list.filter(worker => spare?.get(worker.pool)?.isSpare !== true),
        );
        for (const worker of fresh) {
            this.ctx.options.log.write(Severity.Info, EventId.WorkerListed, {
                worker: worker.id,
                pool: worker.listed.pool,
                born: worker.startedAtMs,
            });
        }
        for (const worker of this.ctx.workers.byId.values()) {
            if (!this.polledWorkers.has(worker.id) && worker.listed.address !== "") {
                this.polledWorkers.add(worker.id);
                void this.holdWorker(worker);
            }
            if (worker.listed.isDraining) {
                this.stopServices(worker);
            }
        }
        this.ctx.pump();
    }

    /** Moves services away from a draining worker; other runs finish there while they can. */
    private stopServices(worker: WorkerState): void {
        for (const record of worker.runs.values()) {
            if (record.step.isService && record.stopReason === undefined) {
                this.dispatcher.stop(record, StopReason.WorkerDraining);
            }
        }
    }

    private async holdWorker(worker: WorkerState): Promise<void> {
        const { timer } = this.ctx.options;
        while (this.ctx.isActive && (worker.isListed || worker.runs.size > 0)) {
            if (!this.ctx.mayOrder()) {
                await sleep(timer, retryMs);
                continue;
            }
            const wasReachable = worker.isReachable;
            const result = await this.sendHold(worker);
            if (!this.ctx.isActive) {
                return;
            }
            if (result.kind !== "held") {
                this.recordHoldFailure(worker, wasReachable, result);
                await sleep(timer, worker.isListed ? retryMs : unlistedRetryMs);
            }
            await this.waitForStore(worker);
        }
        this.polledWorkers.delete(worker.id);
        if (worker.runs.size === 0 && !worker.isListed) {
            this.ctx.workers.remove(worker);
        }
    }

    /** Waits until a worker's ends are stored; a hold before then would return the same ends at once. */
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
        const { timer, times, calls, metrics } = this.ctx.options;
        const sentAt = timer.now();
        // A worker that does not answer gets no new lease, or its runs could never be called lost.
        const renews = worker.hasAcceptedFence && worker.isReachable && worker.lease.isKnown;
        const result = await calls.hold(targetOf(worker), {
            fence: this.ctx.fence,
            acknowledged: worker.storedPosition,
            waitMs: renews ? times.holdWaitMs : 0,
            ...(renews && { leaseUntil: worker.lease.grant(times.leaseMs, sentAt) }),
        });
        metrics.count("celerywind_holds_total", { result: result.kind });
        if (result.kind === "held" && this.ctx.isActive) {
            this.applyHoldResult(worker, result, sentAt);
        }
        return result;
    }

    private applyHoldResult(
        worker: WorkerState,
        result: Extract<HoldResult, { kind: "held" }>,
        sentAt: number,
    ): void {
        const now = this.ctx.options.timer.now();
        if (result.startedAtMs < worker.startedAtMs) {
            return;
        }
        this.ctx.workers.updateIncarnation(worker, result.startedAtMs);
        worker.lease.read(result.clockMs, now);
        worker.lastHoldAt = now;
        const gained = !worker.hasAcceptedFence || !worker.isReachable;
        worker.hasAcceptedFence = true;
        worker.isReachable = true;
        const found = reconcile({
            startedAtMs: worker.startedAtMs,
            running: result.running,
            ended: result.ended.filter(end => end.position > worker.appliedPosition),
            lastPosition: worker.appliedPosition,
            sentAt,
            records: worker.runs,
        });
        for (const { record, report } of found.running) {
            this.applyProgress(record, report.percent, report.reading, now);
        }
        found.ended.forEach(end => this.dispatcher.applyEnd(end));
        found.lateSuccesses.forEach(end => this.dispatcher.applyLateSuccess(worker, end));
        // Only now: a batch that is taken between two of these ends must not acknowledge both.
        worker.appliedPosition = Math.max(worker.appliedPosition, found.lastPosition);
        if (found.orphans.length > 0) {
            // They take room that is not accounted for until they have stopped.
            worker.backoffUntil = Math.max(worker.backoffUntil, now + orphanBackoffMs);
        }
        for (const { task, run } of found.orphans) {
            void this.ctx.options.calls.stop(targetOf(worker), task, run, this.ctx.fence);
        }
        if (gained || worker.appliedPosition > worker.storedPosition) {
            this.ctx.pump();
        }
    }

    private applyProgress(record: RunRecord, percent: number, reading: number, now: number): void {
        record.reading = reading;
        if (record.start !== StartStatus.Confirmed) {
            record.start = StartStatus.Confirmed;
            record.startedAt = now;
            record.percentAt = now;
        }
        if (percent > record.percent) {
            record.percent = percent;
            record.percentAt = now;
        }
        this.dispatcher.sendStop(record);
    }

    private recordHoldFailure(
        worker: WorkerState,
        wasReachable: boolean,
        failure: Exclude<HoldResult, { kind: "held" }>,
    ): void {
        const { reason } = failure;
        worker.isReachable = false;
        if (failure.kind === "refused" && failure.reason === WorkerRefusal.Fenced) {
            void this.ctx.confirm();
        }
        if (wasReachable) {
            // The worker of a VM that is being emptied goes when the VM is moved or serviced.
            const severity = worker.isCordoned ? Severity.Info : Severity.Warn;
            this.ctx.options.log.write(severity, EventId.WorkerUnreachable, {
                isLeaving: worker.isCordoned,
                worker: worker.id,
                reason,
                runs: worker.runs.size,
                leasesEndInMs: Math.round(worker.lease.endsBy() - this.ctx.options.timer.now()),
            });
        }
    }
}
