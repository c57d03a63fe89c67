/**
 * Which runs of services may be ended now so that a VM becomes empty. Answers a wave of VM service over pools with
 * services: one task of a step after the other is moved, never more at once than the step's disruption budget.
 */
import { TaskPhase } from "../job/index.js";
import { type JobEntry, type JobRegistry, type RunRecord } from "./job-registry.js";
import type { WorkerBook, WorkerState } from "./worker-book.js";

/** What the decision is made from. */
export interface EvacuationView {
    readonly jobs: JobRegistry;
    readonly workers: WorkerBook;
}

/** Budget of a service that names none. */
const defaultDisruptionBudget = 1;

/** Runs of services on a worker that may be ended now. */
export function* movableRuns(view: EvacuationView, worker: WorkerState): Generator<RunRecord> {
    for (const record of worker.runs.values()) {
        if (record.step.isService && record.stopReason === undefined && mayDisrupt(view, record)) {
            yield record;
        }
    }
}

/** Whether ending a run keeps the disruption budget of its step, whatever the others are away for. */
function mayDisrupt(view: EvacuationView, record: RunRecord): boolean {
    const { entry, step } = record;
    const { occurrence, step: number } = entry.state.tasks[record.position]!;
    const budget = step.disruptionBudget ?? defaultDisruptionBudget;
    let away = 0;
    for (const [at, task] of entry.state.tasks.entries()) {
        if (task.step === number && task.occurrence === occurrence && at !== record.position) {
            away += task.phase === TaskPhase.Claimed && isAtWork(view, entry, at) ? 0 : 1;
        }
    }
    return away < budget;
}

/** Whether a task's run is at work by its worker's latest word. */
function isAtWork({ jobs, workers }: EvacuationView, entry: JobEntry, at: number): boolean {
    const record = jobs.runOf(entry, at);
    return record !== undefined && record.stopReason === undefined && record.progressPercent >= 100
        && workers.of(record).isReachable;
}
