/**
 * What a worker's answer to a hold says about the runs that were recorded for it. A pure decision: the owner applies
 * the findings in their order.
 */
import { RunEnd } from "../job/index.js";
import { type RunRecord, StartStatus } from "./job-book.js";
import type { EndedRun, RunningRun } from "./ports.js";

/** A recorded run whose end is certain. */
export interface ConfirmedEnd {
    readonly record: RunRecord;
    readonly outcome: RunEnd;
    readonly saved: string;
}

/** What a hold's answer shows. */
export interface ReconcileResult {
    readonly ended: readonly ConfirmedEnd[];
    readonly running: readonly { readonly record: RunRecord; readonly report: RunningRun }[];
    /** Runs that the worker has and nobody wants. */
    readonly orphans: readonly RunningRun[];
    /** Successes of runs that are not recorded any more, such as of a worker that was out of reach for long. */
    readonly lateSuccesses: readonly EndedRun[];
    /** Highest position in the worker's list of ends. */
    readonly lastPosition: number;
}

/** A hold's answer with what is known about its moment. */
export interface ReconcileInput {
    /** Life in which the worker answered. */
    readonly startedAtMs: number;
    readonly running: readonly RunningRun[];
    readonly ended: readonly EndedRun[];
    /** Last position that was applied before. */
    readonly lastPosition: number;
    /** Monotonic time at which the hold was sent; what was certain before then must show in the answer. */
    readonly sentAt: number;
    /** Runs recorded for the worker, by task name. */
    readonly records: ReadonlyMap<string, RunRecord>;
}

/** Most ends in one answer; when it holds as many, there may be more. */
export const maxEndsPerResponse = 500;

/** Compares a worker's answer with the records. */
export function reconcile(view: ReconcileInput): ReconcileResult {
    const { startedAtMs: born, records } = view;
    const ended: ConfirmedEnd[] = [];
    const lateSuccesses: EndedRun[] = [];
    const accounted = new Set<RunRecord>();
    let seen = view.lastPosition;
    for (const end of view.ended) {
        seen = Math.max(seen, end.position);
        const record = records.get(end.task);
        if (record !== undefined && record.run === end.run && matchesIncarnation(record, born)) {
            accounted.add(record);
            ended.push({ record, outcome: end.outcome, saved: end.saved });
        }
        else if (end.outcome === RunEnd.Done) {
            lateSuccesses.push(end);
        }
    }
    const running: { record: RunRecord; report: RunningRun }[] = [];
    const unwanted: RunningRun[] = [];
    for (const report of view.running) {
        const record = records.get(report.task);
        if (record !== undefined && record.run === report.run) {
            accounted.add(record);
            running.push({ record, report });
        }
        else {
            unwanted.push(report);
        }
    }
    if (view.ended.length < maxEndsPerResponse) {
        for (const record of records.values()) {
            if (!accounted.has(record) && isConfirmedAbsent(record, view)) {
                ended.push({ record, outcome: RunEnd.Lost, saved: "" });
            }
        }
    }
    return { ended, running, orphans: unwanted, lateSuccesses, lastPosition: seen };
}

/** An order that was not answered may have been carried out by a later life than the one it was meant for. */
function matchesIncarnation(record: RunRecord, born: number): boolean {
    return record.born === born || record.start === StartStatus.Uncertain
        || record.start === StartStatus.Sent;
}

/** Whether a run that the answer does not show does not exist and never will. */
function isConfirmedAbsent(record: RunRecord, { sentAt }: ReconcileInput): boolean {
    switch (record.start) {
        case StartStatus.Recorded:
            return false;
        case StartStatus.Sent:
        case StartStatus.Uncertain:
            return record.stopConfirmedAt !== undefined && record.stopConfirmedAt <= sentAt;
        case StartStatus.Confirmed:
            return record.startedAt <= sentAt;
        case StartStatus.Inherited:
            // The worker has accepted a higher fence than that of any order for this run.
            return true;
    }
}
