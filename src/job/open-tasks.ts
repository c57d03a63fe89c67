/** Tasks of a job that could start now. */
import type { AcceptedJob } from "./spec.js";
import { isFinal, type JobState, readySteps } from "./state.js";
import type { PositionRange } from "./task-layout.js";
import { TaskSet } from "./task-table.js";

/** A step of one occurrence of a job of which tasks could start now. */
export interface OpenTasks extends PositionRange {
    readonly occurrence: number;
    /** Index of the step in the job's specification. */
    readonly index: number;
    /** Number of its tasks that wait and are not held. */
    readonly count: number;
}

/** Steps with waiting tasks that are not held and whose preceding steps are done; none once the job is final. */
export function* findOpenTasks(job: AcceptedJob, state: JobState): Generator<OpenTasks, void, undefined> {
    const { tasks, phase } = state;
    if (isFinal(phase)) {
        return;
    }
    let ready: { readonly occurrence: number; readonly steps: ReadonlySet<number> } | undefined;
    for (let from = tasks.first(TaskSet.Open); from !== undefined;) {
        const { occurrence, step: index } = tasks.layout.placeOf(from);
        const range = tasks.layout.rangeOf({ occurrence, step: index });
        ready = ready?.occurrence === occurrence
            ? ready
            : { occurrence, steps: readySteps(job, state, occurrence) };
        if (ready.steps.has(index)) {
            const { from: first, to } = range;
            yield { occurrence, index, from: first, to, count: tasks.count(TaskSet.Open, range) };
        }
        from = tasks.first(TaskSet.Open, { from: range.to, to: tasks.length });
    }
}
