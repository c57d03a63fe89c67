/**
 * Whether an order may end a task of a service now: how many other tasks of its step are at work, by what their workers have
 * reported to this owner. A task counts as away unless that is certain, whatever the cause.
 */
import { TaskPhase } from "../job/index.js";
import type { JobRegistry } from "./job-registry.js";
import { type RunRecord, StartStatus, taskOf } from "./records.js";
import type { WorkerRegistry, WorkerState } from "./worker-registry.js";

/** Input of `availabilityOf`. */
export interface AvailabilityInput {
    readonly jobs: JobRegistry;
    readonly workers: WorkerRegistry;
    readonly options: {
        readonly times: {
            /** Longest time that a run takes to end after its worker has received the order to stop it, in milliseconds. */
            readonly longestStopMs: number;
        };
    };
}

/** What is known of the other tasks of a run's step. */
export interface StepAvailability {
    /** Tasks of the step that may be away at once. */
    readonly budget: number;
    readonly atWork: number;
    /** Tasks that are away, or of which it is not known. */
    readonly away: number;
    /** Monotonic time at which the oldest report on those at work was requested, in milliseconds; infinite if there is none. */
    readonly oldestReportAt: number;
}

/** Tasks of a step that may be down at once if its service sets no budget. */
const defaultDisruptionBudget = 1;

/** Availability of the other tasks of a run's step. */
export function availabilityOf(view: AvailabilityInput, record: RunRecord): StepAvailability {
    const { entry, step, position } = record;
    const { tasks } = entry.state;
    const members = tasks.layout.rangeOf(taskOf(record));
    let atWork = 0;
    let away = 0;
    let oldestReportAt = Infinity;
    for (let at = members.from; at < members.to; at++) {
        if (at === position) {
            continue;
        }
        const isClaimed = tasks.at(at).phase === TaskPhase.Claimed;
        const run = isClaimed ? view.jobs.runOf(entry, at) : undefined;
        if (run !== undefined && isAtWork(view, run)) {
            atWork++;
            oldestReportAt = Math.min(oldestReportAt, view.workers.workerOf(run).reportRequestedAt);
        }
        else {
            away++;
        }
    }
    return { budget: step.disruptionBudget ?? defaultDisruptionBudget, atWork, away, oldestReportAt };
}

/** Whether one more task of the step may be ended by an order. */
export function isWithinBudget({ away, budget }: StepAvailability): boolean {
    return away < budget;
}

/** Added to the time that a run takes to stop, for the transfer of the order. */
const orderTransferMs = 100;

/**
 * Whether an order to stop a run may still be carried out, so that its worker's latest report does not tell whether it goes on.
 * Orders of an earlier owner are not on record; a worker accepts none of them after this owner's fence.
 */
export function mayBeStopping(
    { options }: Pick<AvailabilityInput, "options">,
    { isInherited, stopSentAt, stopConfirmedAt }: RunRecord,
    { reportRequestedAt, reportClockMs, fencedClockMs }: WorkerState,
): boolean {
    const stopMs = options.times.longestStopMs + orderTransferMs;
    return stopConfirmedAt !== undefined || reportRequestedAt < stopSentAt + stopMs
        || isInherited && reportClockMs - fencedClockMs < stopMs;
}

/**
 * Time on a worker's clock until its report tells which tasks of services go on that an earlier owner may have stopped, in
 * milliseconds; 0 if its latest one does, or if it has none.
 */
export function untilSettledMs(
    { options }: Pick<AvailabilityInput, "options">,
    { runs, reportClockMs, fencedClockMs }: WorkerState,
): number {
    const leftMs = options.times.longestStopMs + orderTransferMs - (reportClockMs - fencedClockMs);
    const hasInherited = leftMs > 0
        && [...runs.values()].some(({ isInherited, step }) => isInherited && step.isService);
    return hasInherited ? leftMs : 0;
}

/**
 * Whether a run is ready by its worker's latest report, and no order is ending it. A worker that is known to have started again
 * has made no report until its present incarnation has accepted the owner's fence.
 */
function isAtWork(view: AvailabilityInput, record: RunRecord): boolean {
    const worker = view.workers.workerOf(record);
    return record.start === StartStatus.Confirmed && record.progressPercent >= 100 && worker.isReachable
        && worker.hasAcceptedFence && !mayBeStopping(view, record, worker);
}
