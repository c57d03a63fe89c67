/** Results of start orders: confirmed, refused, without an answer, or answered by another incarnation of the worker. */
import { RunEnd } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import {
    type AnsweringIncarnation,
    type IntendedIncarnation,
    isForeignAnswer,
    OrderKind,
    recordForeignAnswer,
} from "./foreign-answers.js";
import type { LeaseClock } from "./lease.js";
import { type StartResult, WorkerRefusal } from "./ports.js";
import type { ConfirmedEnd } from "./reconcile.js";
import { type RunRecord, StartStatus, StopReason } from "./records.js";
import { recordForeignStart, recordStartUncertain } from "./run-leases.js";
import { TakeoverPhase } from "./takeover-phases.js";
import type { TenureContext } from "./tenure-context.js";
import { markUnreachable, type WorkerState } from "./worker-registry.js";

/** Time for which nothing is placed on a worker after it refused or did not answer, by cause. */
const backoffMs = { noRoom: 200, unhealthy: 1000, unanswered: 500 } as const;

/** What the owner knew of a worker when it sent a start order. */
export interface SentStart {
    readonly lease: LeaseClock;
    readonly meantFor: IntendedIncarnation;
}

/** What follows from a result. */
export interface StartResultActions {
    readonly applyEnd: (end: ConfirmedEnd) => void;
    /** Sends the stop of a run that has to stop, if it is due. */
    readonly sendStop: (record: RunRecord) => void;
    /** Requests a worker's runs at once. */
    readonly probeWorker: (worker: WorkerState) => void;
}

/** Applies the results of start orders during one tenure. */
export class StartResults {
    /** Fencing tokens under which workers were probed since another incarnation had answered a start. */
    private readonly probedFences = new WeakMap<WorkerState, number>();

    constructor(private readonly ctx: TenureContext, private readonly actions: StartResultActions) {}

    /** Applies the result of a start order. */
    apply(
        record: RunRecord,
        worker: WorkerState,
        result: StartResult,
        { lease, meantFor }: SentStart,
    ): void {
        const { timer, times, metrics, log } = this.ctx.options;
        const now = timer.now();
        switch (result.kind) {
            case "started":
                // Once a later incarnation is known, the answer may be of either.
                if (isForeignAnswer(meantFor, result) || lease !== worker.lease) {
                    this.applyForeignStart(record, worker, result, meantFor);
                    return;
                }
                lease.recordClock(result.clockMs, now);
                if (record.start === StartStatus.Sent) {
                    record.start = StartStatus.Confirmed;
                    record.startedAt = now;
                    record.progressedAt = now;
                }
                metrics.count("celerywind_runs_started_total");
                this.ctx.phases.reach(TakeoverPhase.FirstStart);
                metrics.observe(
                    "celerywind_first_start_ms",
                    this.ctx.clock.wallMs() - record.entry.job.acceptedAtMs,
                    { queue: record.entry.job.queue },
                );
                this.actions.sendStop(record);
                return;
            case "refused":
                log.write(Severity.Warn, EventId.RunRefused, {
                    task: record.name,
                    run: record.run,
                    worker: worker.id,
                    reason: result.reason,
                });
                metrics.count("celerywind_runs_refused_total", { reason: result.reason });
                if (record.startFence === worker.fence) {
                    this.backOffAfterRefusal(worker, result.reason);
                }
                if (result.reason === WorkerRefusal.TicketInvalid) {
                    this.ctx.advice.invalidateStep(record);
                }
                this.actions.applyEnd({ record, outcome: RunEnd.Lost, saved: "" });
                return;
            case "unknown":
                log.write(Severity.Warn, EventId.RunUncertain, {
                    task: record.name,
                    run: record.run,
                    worker: worker.id,
                    reason: result.reason,
                });
                metrics.count("celerywind_runs_uncertain_total");
                worker.backoffUntil = now + backoffMs.unanswered;
                if (record.start === StartStatus.Sent) {
                    recordStartUncertain(record, worker, times);
                    record.stopReason ??= StopReason.StartUncertain;
                    this.actions.sendStop(record);
                }
        }
    }

    /**
     * Applies the answer of another incarnation than the one that the start was meant for: the run is there, under a lease that
     * is bound by the platform's longest one only. The worker's next report tells which incarnation that is.
     */
    private applyForeignStart(
        record: RunRecord,
        worker: WorkerState,
        answer: AnsweringIncarnation,
        meantFor: IntendedIncarnation,
    ): void {
        const { timer, times } = this.ctx.options;
        recordForeignAnswer(this.ctx, worker, OrderKind.Start, meantFor, answer);
        if (record.start === StartStatus.Sent) {
            recordForeignStart(record, worker, timer.now(), times);
            // Stores the longer bound for the next owner.
            this.ctx.requestRound();
            if (this.probedFences.get(worker) !== worker.fence) {
                this.probedFences.set(worker, worker.fence);
                this.actions.probeWorker(worker);
            }
        }
    }

    private backOffAfterRefusal(worker: WorkerState, reason: WorkerRefusal): void {
        const now = this.ctx.options.timer.now();
        switch (reason) {
            case WorkerRefusal.Fenced:
                void this.ctx.confirm();
                worker.backoffUntil = now + backoffMs.unanswered;
                return;
            case WorkerRefusal.NoCapacity:
                worker.backoffUntil = now + backoffMs.noRoom;
                return;
            case WorkerRefusal.Unhealthy:
                worker.backoffUntil = now + backoffMs.unhealthy;
                return;
            case WorkerRefusal.WrongIncarnation:
            case WorkerRefusal.NotSent:
                markUnreachable(worker, now);
                worker.backoffUntil = now + backoffMs.unanswered;
                return;
            case WorkerRefusal.Superseded:
            case WorkerRefusal.LeaseExpired:
            case WorkerRefusal.Malformed:
            case WorkerRefusal.TicketInvalid:
                worker.backoffUntil = now + backoffMs.noRoom;
        }
    }
}

/** Whether a result shows that the worker has answered. */
export function isAnswer(result: StartResult): boolean {
    switch (result.kind) {
        case "started":
            return true;
        case "refused":
            return result.reason !== WorkerRefusal.NotSent;
        case "unknown":
            return false;
    }
}
