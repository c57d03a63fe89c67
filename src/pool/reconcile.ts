/**
 * Reconciles a worker's response to a hold request with the runs recorded for that worker. Pure: the owner applies
 * the result, in order.
 */
import { RunEnd } from "../job/index.js";
import type { EndedRun, RunningRun } from "./ports.js";
import { type RunRecord, StartStatus } from "./records.js";

/** A recorded run that has certainly ended. */
export interface ConfirmedEnd {
    readonly record: RunRecord;
    readonly outcome: RunEnd;
    readonly saved: string;
    /** Whether another run is the likelier cause of the worker's end; only with `RunEnd.WorkerLost`. */
    readonly isExplained?: boolean;
}

/** Result of `reconcile`. */
export interface ReconcileResult {
    readonly ended: readonly ConfirmedEnd[];
    readonly running: readonly { readonly record: RunRecord; readonly report: RunningRun }[];
    /** Runs on the worker that match no record. */
    readonly orphans: readonly RunningRun[];
    /** Successes of runs whose record is gone, for example because the worker was unreachable for long. */
    readonly lateSuccesses: readonly EndedRun[];
    /** Highest position in the worker's list of ended runs. */
    readonly lastPosition: number;
}

/** Input of `reconcile`: the response to a hold request, and the owner's state when it arrived. */
export interface ReconcileInput {
    /** Start time of the worker incarnation that responded. */
    readonly startedAtMs: number;
    /** Fencing token of the request, below which the worker rejects orders from then on. */
    readonly fence: number;
    readonly running: readonly RunningRun[];
    /** Ends that were not applied before this response. */
    readonly ended: readonly EndedRun[];
    /** Number of ends in the response that were applied before. */
    readonly appliedCount: number;
    /** Last position applied before this response. */
    readonly lastPosition: number;
    /** Monotonic time at which the request was sent. Starts and stops confirmed by then must show in the response. */
    readonly sentAt: number;
    /** Recorded runs of the worker, by task name. */
    readonly records: ReadonlyMap<string, RunRecord>;
}

/** Limit on ended runs in one response; a response of this size may be incomplete. */
export const maxEndsPerResponse = 500;

/** Compares a worker's response with the recorded runs. */
export function reconcile(view: ReconcileInput): ReconcileResult {
    const { startedAtMs, records } = view;
    const ended: ConfirmedEnd[] = [];
    const lateSuccesses: EndedRun[] = [];
    const matched = new Set<RunRecord>();
    let lastPosition = view.lastPosition;
    for (const end of view.ended) {
        lastPosition = Math.max(lastPosition, end.position);
        const record = records.get(end.task);
        // Runs are numbered, so that this is the end of the recorded run, whichever incarnation it was meant for.
        if (record !== undefined && record.run === end.run) {
            matched.add(record);
            ended.push({ record, outcome: end.outcome, saved: end.saved });
        }
        else if (end.outcome === RunEnd.Done) {
            lateSuccesses.push(end);
        }
    }
    const running: { record: RunRecord; report: RunningRun }[] = [];
    const orphans: RunningRun[] = [];
    for (const report of view.running) {
        const record = records.get(report.task);
        if (record !== undefined && record.run === report.run) {
            matched.add(record);
            running.push({ record, report });
        }
        else {
            orphans.push(report);
        }
    }
    if (view.ended.length + view.appliedCount < maxEndsPerResponse) {
        for (const record of records.values()) {
            if (!matched.has(record) && isConfirmedAbsent(record, view)) {
                const hasWorkerEnded = record.workerIncarnation !== startedAtMs;
                const outcome = hasWorkerEnded ? RunEnd.WorkerLost : RunEnd.Lost;
                ended.push({ record, outcome, saved: "" });
            }
        }
    }
    return { ended, running, orphans, lateSuccesses, lastPosition };
}

/** Whether a run that is missing from the response certainly does not exist and cannot start later. */
function isConfirmedAbsent(record: RunRecord, { sentAt, fence }: ReconcileInput): boolean {
    switch (record.start) {
        case StartStatus.Recorded:
            return false;
        case StartStatus.Sent:
        case StartStatus.Uncertain:
            return record.startFence !== undefined && record.startFence < fence
                || record.stopConfirmedAt !== undefined && record.stopConfirmedAt <= sentAt;
        case StartStatus.Confirmed:
            return record.startedAt <= sentAt;
        case StartStatus.Inherited:
            // The worker has accepted a higher fence than any start request for this run carried.
            return true;
    }
}
