/** Tasks of a job that could start now. */
import type { AcceptedJob } from "./spec.js";
import { isFinal, isHeld, type JobState, readySteps, TaskPhase } from "./state.js";

/** Positions of the waiting tasks that are not held and whose preceding steps are done; none once the job is final. */
export function findOpenTasks(job: AcceptedJob, state: JobState): readonly number[] {
    if (isFinal(state.phase)) {
        return [];
    }
    const openStepsByOccurrence = new Map<number, ReadonlySet<number>>();
    const found: number[] = [];
    for (const [position, task] of state.tasks.entries()) {
        if (task.phase === TaskPhase.Waiting && !isHeld(job, task)) {
            const open = openStepsByOccurrence.get(task.occurrence)
                ?? readySteps(job, state, task.occurrence);
            openStepsByOccurrence.set(task.occurrence, open);
            if (open.has(task.step)) {
                found.push(position);
            }
        }
    }
    return found;
}
