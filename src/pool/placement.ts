/**
 * Which worker gets a task. Answers two loads: short tasks are packed, so that other workers fall idle and their VMs
 * can be lent or serviced; best-effort tasks keep away from services with a tail target, which they would disturb.
 */
import type { StepSpec } from "../job/index.js";
import { fitsInto, type Resources } from "../process/resources.js";
import type { WorkerState } from "./worker-registry.js";

/** A worker that may take a task, with what is left on it now. */
export interface PlacementCandidate {
    readonly worker: WorkerState;
    readonly free: Resources;
    /** Tasks of the same step and occurrence that it has. */
    readonly sameStepTasks: number;
}

/** What is placed. */
export interface PlacementRequest {
    readonly step: StepSpec;
    /** Workers on which earlier runs of the task failed. */
    readonly failedOn: ReadonlySet<string>;
    /** Rack that other tasks of the step are in, if it wants one rack. */
    readonly preferredRack: string | undefined;
}

/** Slowness from which a worker is used only when no other has room. */
const slowThreshold = 2;

/** Penalties, from the gravest; one of a higher rank outweighs all below it. */
enum Penalty {
    FailedBefore = 1_000_000,
    Slow = 100_000,
    OtherRack = 10_000,
    Interference = 20_000,
    /** A service would soon have to move again. */
    MaintenanceDue = 5_000,
    WorseColocation = 1_000,
}

/** The best worker for a task; undefined when none has room. */
export function chooseWorker(
    placeable: PlacementRequest,
    candidates: readonly PlacementCandidate[],
): WorkerState | undefined {
    let best: WorkerState | undefined;
    let least = Infinity;
    for (const candidate of candidates) {
        if (canPlace(placeable.step, candidate)) {
            const cost = placementCost(placeable, candidate);
            if (cost < least) {
                least = cost;
                best = candidate.worker;
            }
        }
    }
    return best;
}

/** Whether a worker has the label, the room and no more of the step than allowed. */
export function canPlace(
    step: StepSpec,
    { worker, free, sameStepTasks: sameStep }: PlacementCandidate,
): boolean {
    const needs = step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs;
    return (step.label === undefined || worker.listed.labels.includes(step.label))
        && (step.perWorker === 0 || sameStep < step.perWorker) && fitsInto(needs, free);
}

function placementCost(
    { step, failedOn, preferredRack: rack }: PlacementRequest,
    { worker, free }: PlacementCandidate,
): number {
    const { labels, capacity } = worker.listed;
    const wanted = step.dataRack ?? rack;
    let cost = failedOn.has(worker.id) ? Penalty.FailedBefore : 0;
    cost += worker.slowdownFactor > slowThreshold ? Penalty.Slow : 0;
    cost += wanted !== undefined && !labels.includes(wanted) ? Penalty.OtherRack : 0;
    if (step.isBestEffort) {
        const { services, fillers } = countServicesAndBestEffort(worker);
        return cost + (services > 0 ? Penalty.Interference : 0) + fillers * Penalty.WorseColocation;
    }
    const freeShare = free.cpu / Math.max(1, capacity.cpu);
    if (step.isService) {
        const { services, fillers } = countServicesAndBestEffort(worker);
        cost += worker.isMaintenanceDue ? Penalty.MaintenanceDue : 0;
        return cost + (fillers > 0 ? Penalty.Interference : 0) + (services > 0 ? 0 : Penalty.WorseColocation)
            + freeShare;
    }
    return cost + freeShare;
}

function countServicesAndBestEffort(worker: WorkerState): { services: number; fillers: number } {
    let services = 0;
    let fillers = 0;
    for (const { step } of worker.runs.values()) {
        if (step.isBestEffort) {
            fillers++;
        }
        else if (step.isService) {
            services++;
        }
    }
    return { services, fillers };
}
