/**
 * Until when the lease of a single run may last. A run that its incarnation has confirmed has the lease of that incarnation. A
 * start that it has not confirmed may have been carried out by a later one that the owner does not know, under the longest lease
 * that the platform allows, until there is evidence that it was not.
 */
import { maxLeaseDurationMs } from "./lease.js";
import { type RunRecord, StartStatus } from "./records.js";
import type { TenureTimes } from "./tenure-context.js";
import type { WorkerState } from "./worker-state.js";

/**
 * Time from sending an order within which a worker that starts again under its id may receive it. One that is held up for longer
 * is not waited for; `LeaseClock.applyFirstFence` can be more careful, since it makes few runs wait.
 */
const maxTransferMs = 2000;

/** Records that a start order is sent at the monotonic time `now`. */
export function recordStartSent(record: RunRecord, worker: WorkerState, now: number): void {
    record.start = StartStatus.Sent;
    record.startFence = worker.fence;
    record.startSentAt = now;
    worker.leaseSentAt = now;
}

/** Records that no answer has confirmed a start order. */
export function recordStartUncertain(
    record: RunRecord,
    worker: WorkerState,
    { longestLeaseMs }: Pick<TenureTimes, "longestLeaseMs">,
): void {
    record.start = StartStatus.Uncertain;
    worker.uncertainUntil = Math.max(worker.uncertainUntil, unknownLeaseEnd(record, worker, longestLeaseMs));
}

/** Records that an unknown incarnation has confirmed a start order in an answer received at the monotonic time `now`. */
export function recordForeignStart(
    record: RunRecord,
    worker: WorkerState,
    now: number,
    times: Pick<TenureTimes, "longestLeaseMs">,
): void {
    record.foreignAnswerAt = now;
    recordStartUncertain(record, worker, times);
}

/** What the lease of a run on a worker that does not answer is judged by. */
export interface LeaseEvidence {
    readonly times: Pick<TenureTimes, "longestLeaseMs">;
    /** Whether a worker that is missing from the list, as last read, does not exist. */
    readonly isListComplete: boolean;
}

/** Monotonic time by which the lease of a run on a worker that does not answer has ended, in milliseconds. */
export function leaseEndOf(
    record: RunRecord,
    worker: WorkerState,
    { times: { longestLeaseMs }, isListComplete }: LeaseEvidence,
): number {
    const knownEnd = worker.lease.latestEnd();
    switch (record.start) {
        case StartStatus.Recorded:
        case StartStatus.Confirmed:
            return knownEnd;
        case StartStatus.Sent:
        case StartStatus.Uncertain:
        case StartStatus.Inherited: {
            const laterEnd = laterIncarnationEnd(record, worker, longestLeaseMs);
            const unknownEnd = isUnknownRuledOut(record, worker, isListComplete)
                ? -Infinity
                : unknownLeaseEnd(record, worker, longestLeaseMs);
            return Math.max(knownEnd, laterEnd, unknownEnd);
        }
    }
}

/**
 * A later incarnation that is listed and has rejected nothing yet may have carried the start out as long as it was listed. Its start
 * time is smaller if the clock of its VM was set back.
 */
function laterIncarnationEnd(
    { workerIncarnation }: RunRecord,
    { startedAtMs, hasAcceptedFence, listed, listedAt }: WorkerState,
    longestLeaseMs: number,
): number {
    const hasOther = startedAtMs !== workerIncarnation || listed.startedAtMs !== workerIncarnation;
    return hasOther && !hasAcceptedFence
        ? listedAt + maxLeaseDurationMs(longestLeaseMs)
        : -Infinity;
}

/**
 * Whether no unknown incarnation is assumed to have a run: the list shows that the incarnation that the start was meant for has
 * outlived the order, or it has dropped the worker of a service, which may not be missing for as long as the longest lease. A
 * worker that is cut off from the store may run on without being listed. An answer of another incarnation proves that there is one.
 */
function isUnknownRuledOut(
    { startSentAt, foreignAnswerAt, workerIncarnation, step }: RunRecord,
    { isListed, listed, reportedAfter }: WorkerState,
    isListComplete: boolean,
): boolean {
    if (startSentAt === undefined) {
        return true;
    }
    const hasOutlivedOrder = listed.startedAtMs === workerIncarnation
        && reportedAfter > startSentAt + maxTransferMs;
    return foreignAnswerAt === undefined
        && (isListed ? hasOutlivedOrder : isListComplete && step.isService);
}

/** Leases are those of the worker, so that any later order may have extended the one that the start has set. */
function unknownLeaseEnd(
    { startSentAt = -Infinity, foreignAnswerAt = -Infinity }: RunRecord,
    { leaseSentAt }: WorkerState,
    longestLeaseMs: number,
): number {
    const lastArrivalAt = Math.max(Math.max(startSentAt, leaseSentAt) + maxTransferMs, foreignAnswerAt);
    return lastArrivalAt + maxLeaseDurationMs(longestLeaseMs);
}
