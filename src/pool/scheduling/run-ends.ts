/**
 * Expected ends of runs and of the last run on a worker.
 *
 * Load pattern: three of a hundred tasks take seven times as long as the rest. A run that has exceeded its estimate is
 * expected to go on for as long as it has run beyond it, at least, so its VM is not taken for one that will soon be empty.
 */
import type { StepSpec } from "../../job/index.js";
import type { DurationEstimator } from "../duration-estimator.js";
import type { RunRecord } from "../records.js";

/** Multiple of its estimate from which a run counts as one of the long tasks; estimates are off by up to 0.9. */
const longRunFactor = 2;

/** Expected run time of a task of a step, in milliseconds; infinite for a service. */
export function expectedRunMs(step: StepSpec, queue: string, durations: DurationEstimator): number {
    return step.isService ? Infinity : durations.estimate(queue, step.estimateMs);
}

/** Expected time until a run ends at the monotonic time `now`, in milliseconds; infinite for a service. */
export function expectedRemainingMs(
    { step, startedAt, entry }: Pick<RunRecord, "step" | "startedAt" | "entry">,
    durations: DurationEstimator,
    now: number,
): number {
    const expectedMs = expectedRunMs(step, entry.job.queue, durations);
    const ranMs = Math.max(0, now - startedAt);
    return ranMs < longRunFactor * expectedMs ? Math.max(0, expectedMs - ranMs) : ranMs;
}

/** Expected time until the last of the runs has ended, in milliseconds; 0 for none. */
export function emptyInMs(
    runs: Iterable<Pick<RunRecord, "step" | "startedAt" | "entry">>,
    durations: DurationEstimator,
    now: number,
): number {
    let latest = 0;
    for (const run of runs) {
        latest = Math.max(latest, expectedRemainingMs(run, durations, now));
    }
    return latest;
}
