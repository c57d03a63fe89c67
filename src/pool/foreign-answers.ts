/**
 * Answers of another incarnation of a worker than the one that an order was meant for. An order names the worker's id only,
 * so that a worker that has started again under its id carries it out.
 */
import { EventId, Severity } from "../process/events.js";
import type { TenureContext } from "./tenure-context.js";
import type { WorkerState } from "./worker-state.js";

/** Kinds of orders whose answers tell which incarnation has carried them out. */
export enum OrderKind {
    Hold = "hold",
    Start = "start",
}

/** What an order was meant for: the incarnation of its worker that the owner knew when it was sent. */
export interface IntendedIncarnation {
    /** Start time of the incarnation, as Unix time in milliseconds. */
    readonly startedAtMs: number;
    /** Lowest value that its clock could have then, in milliseconds. */
    readonly leastClockMs: number;
}

/** What an answer shows of the incarnation that has sent it. */
export interface AnsweringIncarnation {
    readonly clockMs: number;
    /** Start time of the incarnation; undefined if the answer does not give it. */
    readonly startedAtMs?: number | undefined;
}

/** The incarnation of a worker that the owner knows at the monotonic time `now`. */
export function intendedIncarnation(worker: WorkerState, now: number): IntendedIncarnation {
    const { startedAtMs, lease } = worker;
    return { startedAtMs, leastClockMs: lease.leastClockMs(now) };
}

/**
 * Whether an answer counts as that of another incarnation than the one that the order was meant for. Where it gives no start time,
 * its clock tells. One that is not lower than the clock of the former incarnation does not tell, and needs not: a lease ends
 * at a time on the clock of the incarnation that has it, so that the bound computed from that reading holds for either.
 */
export function isForeignAnswer(
    { startedAtMs, leastClockMs }: IntendedIncarnation,
    answer: AnsweringIncarnation,
): boolean {
    return answer.startedAtMs === undefined
        ? answer.clockMs < Math.floor(leastClockMs)
        : answer.startedAtMs !== startedAtMs;
}

/** Writes the log line and counts the answer. */
export function recordForeignAnswer(
    { options }: Pick<TenureContext, "options">,
    worker: WorkerState,
    order: OrderKind,
    meantFor: IntendedIncarnation,
    answer: AnsweringIncarnation,
): void {
    options.metrics.count("celerywind_foreign_answers_total", { order });
    options.log.write(Severity.Warn, EventId.WorkerAnsweredAsOther, {
        worker: worker.id,
        order,
        meantFor: meantFor.startedAtMs,
        leastClockMs: Math.round(meantFor.leastClockMs),
        answeredBy: answer.startedAtMs,
        clockMs: answer.clockMs,
        leasesEndInMs: Math.round(worker.lease.latestEnd() - options.timer.now()),
    });
}
