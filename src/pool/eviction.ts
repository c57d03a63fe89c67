/**
 * Which runs of services may be ended now so that a VM becomes empty. Answers a wave of VM service over pools with
 * services: one task of a step after the other is moved, never more at once than the step's disruption budget.
 */
import { TaskPhase } from "../job/index.js";
import { type JobBook, type JobEntry, type RunRecord } from "./job-book.js";
import type { WorkerRegistry, WorkerState } from "./worker-registry.js";

/** What the decision is made from. */
export interface EvictionInput {
    readonly jobs: JobBook;
    readonly workers: WorkerRegistry;
}

/** Budget of a service that names none. */
const defaultDisruptionBudget = 1;

/** Runs of services on a worker that may be ended now. */
export function* evictableRuns(view: EvictionInput, worker: WorkerState): Generator<RunRecord> {
    for (const record of worker.runs.values()) {
        if (
            record.step.isService && record.stopReason === undefined && isWithinDisruptionBudget(view, record)
        ) {
            yield record;
        }
    }
}

/** Whether ending a run keeps the disruption budget of its step, whatever the others are away for. */
function isWithinDisruptionBudget(view: EvictionInput, record: RunRecord): boolean {
    const { entry, step } = record;
    const { occurrence, step: number } = entry.state.tasks[record.at]!;
    const budget = step.disruptionBudget ?? defaultDisruptionBudget;
    let away = 0;
    for (const [at, task] of entry.state.tasks.entries()) {
        if (task.step === number && task.occurrence === occurrence && at !== record.at) {
            away += task.phase === TaskPhase.Claimed && isTaskAvailable(view, entry, at) ? 0 : 1;
        }
    }
    return away < budget;
}

/** Whether a task's run is at work by its worker's latest word. */
function isTaskAvailable({ jobs, workers }: EvictionInput, entry: JobEntry, at: number): boolean {
    const record = jobs.runOf(entry, at);
    return record !== undefined && record.stopReason === undefined && record.percent >= 100
        && workers.workerOf(record).isReachable;
}
