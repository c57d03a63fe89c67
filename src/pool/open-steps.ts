/** Tasks of a job that could start now, by step. A plan of starts looks at steps, of which a job has few, before tasks. */
import { findOpenTasks, TaskSet } from "../job/index.js";
import type { JobEntry, OpenStep } from "./records.js";
import { reservedResources } from "./worker-registry.js";

/** Steps with open tasks, in the order of their tasks; none while the job is suspended. */
export function openSteps(entry: JobEntry): readonly OpenStep[] {
    const { openSteps: known } = entry;
    if (known !== undefined) {
        return known;
    }
    const found = entry.suspension === undefined ? findOpenSteps(entry) : [];
    entry.openSteps = found;
    return found;
}

/** Number of tasks of a job that could start now. */
export function openTaskCount(entry: JobEntry): number {
    return openSteps(entry).reduce((sum, { count }) => sum + count, 0);
}

/** Positions of the open tasks of a step, in ascending order. */
export function openPositions({ state }: JobEntry, { from, to }: OpenStep): Iterable<number> {
    return state.tasks.positions(TaskSet.Open, { from, to });
}

function findOpenSteps({ job, state }: JobEntry): readonly OpenStep[] {
    const found: OpenStep[] = [];
    for (const { occurrence, index, from, to, count } of findOpenTasks(job, state)) {
        const step = job.spec.steps[index]!;
        found.push({ occurrence, index, from, to, count, step, needs: reservedResources({ step }) });
    }
    return found;
}
