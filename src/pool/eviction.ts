/**
 * Which runs of services may be stopped now to drain a VM. A maintenance wave reaches VMs that run services; their
 * tasks are moved so that no more tasks of a step are down at once than its disruption budget allows.
 */
import { fitsInto } from "../process/resources.js";
import { type AvailabilityInput, availabilityOf, isWithinBudget } from "./disruption-budget.js";
import { isSchedulable } from "./plan-starts.js";
import type { RunRecord } from "./records.js";
import { freeResources, type WorkerRegistry, type WorkerState } from "./worker-registry.js";

/** Runs of services on a worker that may be stopped now. */
export function* evictableRuns(view: AvailabilityInput, worker: WorkerState): Generator<RunRecord> {
    for (const record of worker.runs.values()) {
        if (
            record.step.isService && record.stopReason === undefined
            && isWithinBudget(availabilityOf(view, record))
        ) {
            yield record;
        }
    }
}

/** Whether a worker of the run's pool outside evacuated zones could start its task at the monotonic time `now`. */
export function hasRoomElsewhere(
    { byId }: Pick<WorkerRegistry, "byId">,
    record: RunRecord,
    { isZoneEvacuated, now }: {
        readonly isZoneEvacuated: (zone: string) => boolean;
        readonly now: number;
    },
): boolean {
    const { step, entry } = record;
    const pool = byId.get(record.worker)?.listed.pool;
    const tasksOfStepOn = (worker: WorkerState): number =>
        [...worker.runs.values()].filter(other => other.entry === entry && other.step === step).length;
    return [...byId.values()].some(worker =>
        worker.listed.pool === pool && !isZoneEvacuated(worker.listed.zone) && isSchedulable(worker, now)
        && fitsInto(step.needs, freeResources(worker))
        && (step.label === undefined || worker.listed.labels.includes(step.label))
        && (step.perWorker === 0 || tasksOfStepOn(worker) < step.perWorker)
    );
}
