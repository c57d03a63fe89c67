/** Tasks of a job that could start now, by step. A plan of starts looks at steps, of which a job has few, before tasks. */
import type { JobRegistry } from "./job-registry.js";
import type { JobEntry, OpenStep } from "./records.js";
import { reservedResources } from "./worker-registry.js";

/** Steps with open tasks, in the order of their tasks: those of one step and occurrence follow each other in a job's state. */
export function openSteps(jobs: Pick<JobRegistry, "openTasks">, entry: JobEntry): readonly OpenStep[] {
    entry.openSteps ??= groupBySteps(entry, jobs.openTasks(entry));
    return entry.openSteps;
}

function groupBySteps({ job, state }: JobEntry, openTasks: readonly number[]): readonly OpenStep[] {
    const groups: (OpenStep & { readonly positions: number[] })[] = [];
    for (const position of openTasks) {
        const { occurrence, step: index } = state.tasks[position]!;
        const last = groups.at(-1);
        if (last?.index === index && last.occurrence === occurrence) {
            last.positions.push(position);
        }
        else {
            const step = job.spec.steps[index]!;
            const needs = reservedResources({ step });
            groups.push({ occurrence, index, step, needs, positions: [position] });
        }
    }
    return groups;
}
