/** Applies the answers of workers to hold requests: the incarnation that has answered, its clock, and its runs. */
import { EventId, Severity } from "../process/events.js";
import { CrossingOrders } from "./crossing-orders.js";
import { type IntendedIncarnation, OrderKind, recordForeignAnswer } from "./foreign-answers.js";
import { maxLeaseDurationMs } from "./lease.js";
import type { HoldResult, RunningRun } from "./ports.js";
import { reconcile } from "./reconcile.js";
import { type RunRecord, StartStatus } from "./records.js";
import type { RunDispatcher } from "./run-dispatcher.js";
import { targetOf, type TenureContext } from "./tenure-context.js";
import { markReachable, type WorkerState } from "./worker-registry.js";

/** Time for which nothing is placed on a worker that has orphaned runs. */
const orphanBackoffMs = 300;

/** A hold request that was sent. */
export interface SentHold {
    /** Monotonic time, in milliseconds. */
    readonly sentAt: number;
    readonly fence: number;
    readonly meantFor: IntendedIncarnation;
}

type HoldAnswer = Extract<HoldResult, { kind: "held" }>;

/** Applies answers to hold requests during one tenure. */
export class HoldAnswers {
    constructor(private readonly ctx: TenureContext, private readonly dispatcher: RunDispatcher) {}

    /**
     * Applies an answer. If its request carried an earlier fencing token than the worker's present one, the answer only tells of
     * the incarnation: orders with that token may still reach it.
     */
    apply(worker: WorkerState, answer: HoldAnswer, sent: SentHold): void {
        const isOfPresent = this.updateIncarnation(worker, answer, sent);
        if (sent.fence !== worker.fence) {
            this.ctx.options.log.write(Severity.Info, EventId.WorkerAnswerOutdated, {
                worker: worker.id,
                fence: sent.fence,
                presentFence: worker.fence,
                born: answer.startedAtMs,
                clockMs: answer.clockMs,
                runs: answer.running.length,
            });
        }
        else if (isOfPresent) {
            this.applyRuns(worker, answer, sent);
        }
    }

    /** Records the incarnation that has answered; false if the answer is not of the latest one. */
    private updateIncarnation(
        worker: WorkerState,
        answer: HoldAnswer,
        { sentAt, fence, meantFor }: SentHold,
    ): boolean {
        const { workers, options: { times, timer } } = this.ctx;
        const { startedAtMs } = answer;
        if (startedAtMs > worker.startedAtMs) {
            recordForeignAnswer(this.ctx, worker, OrderKind.Hold, meantFor, answer);
            return workers.updateIncarnation(worker, startedAtMs);
        }
        if (startedAtMs === worker.startedAtMs) {
            return true;
        }
        if (fence !== worker.fence) {
            // A late answer of a former incarnation.
            return false;
        }
        const leasesUntil = timer.now() + maxLeaseDurationMs(times.longestLeaseMs);
        if (workers.correctIncarnation(worker, startedAtMs, { sentAt, leasesUntil })) {
            return true;
        }
        if (worker.hasAcceptedFence) {
            // Started after the clock of its VM was set back, and not listed yet: nothing is sent to it as to the former one.
            recordForeignAnswer(this.ctx, worker, OrderKind.Hold, meantFor, answer);
            workers.restartIncarnation(worker, leasesUntil);
        }
        return false;
    }

    private applyRuns(worker: WorkerState, answer: HoldAnswer, { sentAt, fence }: SentHold): void {
        const { timer, times, calls, metrics } = this.ctx.options;
        const now = timer.now();
        const isNewlyHeld = !worker.hasAcceptedFence || !worker.isReachable;
        if (worker.hasAcceptedFence) {
            worker.lease.recordClock(answer.clockMs, now);
        }
        else {
            const crossing = this.ctx.workers.orders.crossingOrders(worker, now);
            const hasCrossed = crossing !== CrossingOrders.None;
            worker.lease.applyFirstFence(answer.clockMs, now, { ...times, hasCrossed });
            worker.fencedClockMs = answer.clockMs;
            worker.uncertainUntil = -Infinity;
            this.ctx.options.log.write(Severity.Info, EventId.WorkerFenced, {
                worker: worker.id,
                born: worker.startedAtMs,
                fence,
                clockMs: answer.clockMs,
                leasesEndInMs: Math.round(worker.lease.latestEnd() - now),
                crossing,
                runs: answer.running.length,
            });
            metrics.count("celerywind_workers_fenced_total", { crossing });
        }
        worker.reportRequestedAt = Math.max(worker.reportRequestedAt, sentAt);
        worker.reportClockMs = Math.max(worker.reportClockMs, answer.clockMs);
        markReachable(worker);
        const ended = answer.ended.filter(end => end.position > worker.appliedPosition);
        const found = reconcile({
            startedAtMs: worker.startedAtMs,
            fence,
            running: answer.running,
            ended,
            appliedCount: answer.ended.length - ended.length,
            lastPosition: worker.appliedPosition,
            sentAt,
            records: worker.runs,
        });
        for (const { record, report } of found.running) {
            this.applyProgress(record, worker, report, now);
        }
        this.dispatcher.applyEnds(found.ended);
        // After the ends, which depend on when the worker's earlier incarnation last answered.
        worker.lastHoldAt = now;
        found.lateSuccesses.forEach(end => this.dispatcher.applyLateSuccess(worker, end));
        // Set after all ends are applied: a batch taken between two of them must not acknowledge both.
        worker.appliedPosition = Math.max(worker.appliedPosition, found.lastPosition);
        worker.hasOrphans = found.orphans.length > 0;
        if (worker.hasOrphans) {
            // Orphaned runs use resources that are not accounted for until they have stopped.
            worker.backoffUntil = Math.max(worker.backoffUntil, now + orphanBackoffMs);
        }
        // The answer may have outlasted the permission; the next one reports the orphans again.
        for (const { task, run } of this.ctx.mayOrder() ? found.orphans : []) {
            void calls.stop(targetOf(worker), task, run, worker.fence);
        }
        worker.isExpectedToEnd = false;
        if (isNewlyHeld) {
            this.forgetLoss(worker);
        }
        if (isNewlyHeld || worker.appliedPosition > worker.storedPosition) {
            this.ctx.requestRound();
        }
    }

    /** Corrects the record of tasks under which this worker was counted as lost while it was only out of reach. */
    private forgetLoss({ id, startedAtMs }: WorkerState): void {
        const tasks = this.ctx.jobs.losses.forgetWorker({ worker: id, workerStartedAt: startedAtMs });
        if (tasks > 0) {
            this.ctx.options.log.write(Severity.Info, EventId.WorkerLossForgotten, { worker: id, tasks });
        }
    }

    private applyProgress(
        record: RunRecord,
        worker: WorkerState,
        { percent, reading }: RunningRun,
        now: number,
    ): void {
        record.lastReading = reading;
        // A start order may have been carried out by a later incarnation than the one that it was meant for.
        if (record.workerIncarnation !== worker.startedAtMs) {
            record.workerIncarnation = worker.startedAtMs;
            // It was confirmed by the former incarnation, if at all.
            delete record.stopConfirmedAt;
        }
        if (record.start !== StartStatus.Confirmed) {
            record.start = StartStatus.Confirmed;
            record.startedAt = now;
            record.progressedAt = now;
        }
        if (percent > record.progressPercent) {
            record.progressPercent = percent;
            record.progressedAt = now;
        }
        this.dispatcher.sendStop(record);
    }
}
