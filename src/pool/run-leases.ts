/** Until when the lease of a single run may last: that of its worker, or of an incarnation that the owner does not know. */
import { maxLeaseDurationMs } from "./lease.js";
import { type RunRecord, StartStatus } from "./records.js";
import type { TenureTimes } from "./tenure-context.js";
import type { WorkerState } from "./worker-state.js";

/**
 * Time from sending a start order within which a worker that starts again under its id may receive it. Later on, the list of
 * workers shows the new incarnation, and the run is waited for until that has accepted a higher fencing token.
 */
const maxStartTransferMs = 2000;

/** Records that a start order is sent at the monotonic time `now`. */
export function recordStartSent(
    record: RunRecord,
    worker: WorkerState,
    now: number,
    { longestLeaseMs }: Pick<TenureTimes, "longestLeaseMs">,
): void {
    record.start = StartStatus.Sent;
    record.startFence = worker.fence;
    record.unknownLeaseUntil = now + maxStartTransferMs + maxLeaseDurationMs(longestLeaseMs);
}

/** Records that no answer has confirmed a start order at the incarnation that it was meant for. */
export function recordStartUncertain(record: RunRecord, worker: WorkerState): void {
    record.start = StartStatus.Uncertain;
    worker.uncertainUntil = Math.max(worker.uncertainUntil, record.unknownLeaseUntil ?? -Infinity);
}

/** Records that an unknown incarnation has confirmed a start order in an answer received at the monotonic time `now`. */
export function recordForeignStart(
    record: RunRecord,
    worker: WorkerState,
    now: number,
    { longestLeaseMs }: Pick<TenureTimes, "longestLeaseMs">,
): void {
    record.unknownLeaseUntil = now + maxLeaseDurationMs(longestLeaseMs);
    recordStartUncertain(record, worker);
}

/** Monotonic time by which the lease of a run on a worker that does not answer has ended, in milliseconds. */
export function leaseEndOf(
    { start, workerIncarnation, unknownLeaseUntil = -Infinity }: RunRecord,
    worker: WorkerState,
    { longestLeaseMs }: Pick<TenureTimes, "longestLeaseMs">,
): number {
    const knownEnd = worker.lease.latestEnd();
    switch (start) {
        case StartStatus.Recorded:
        case StartStatus.Confirmed:
            return knownEnd;
        case StartStatus.Sent:
        case StartStatus.Uncertain:
        case StartStatus.Inherited: {
            // A later incarnation that has rejected nothing yet may have carried the start out until it was last listed.
            const mayBeLater = worker.startedAtMs !== workerIncarnation && !worker.hasAcceptedFence;
            const laterEnd = mayBeLater ? worker.listedAt + maxLeaseDurationMs(longestLeaseMs) : -Infinity;
            return Math.max(knownEnd, unknownLeaseUntil, laterEnd);
        }
    }
}
