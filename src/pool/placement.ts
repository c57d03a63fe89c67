/**
 * Which worker gets a task. Answers two loads: short tasks are packed, so that other workers fall idle and their VMs
 * can be lent or serviced; best-effort tasks keep away from services with a tail target, which they would disturb.
 */
import type { StepSpec } from "../job/index.js";
import { fitsInto, type Resources } from "../process/resources.js";
import type { WorkerState } from "./worker-book.js";

/** A worker that may take a task, with what is left on it now. */
export interface Candidate {
    readonly worker: WorkerState;
    readonly free: Resources;
    /** Tasks of the same step and occurrence that it has. */
    readonly sameStep: number;
}

/** What is placed. */
export interface Placeable {
    readonly step: StepSpec;
    /** Workers on which earlier runs of the task failed. */
    readonly failedOn: ReadonlySet<string>;
    /** Rack that other tasks of the step are in, if it wants one rack. */
    readonly rack: string | undefined;
}

/** Slowness from which a worker is used only when no other has room. */
const slowFactor = 2;

/** Penalties, from the gravest; one of a higher rank outweighs all below it. */
enum Penalty {
    FailedBefore = 1_000_000,
    Slow = 100_000,
    OtherRack = 10_000,
    Disturbs = 20_000,
    /** A service would soon have to move again. */
    Due = 5_000,
    Crowded = 1_000,
}

/** The best worker for a task; undefined when none has room. */
export function chooseWorker(
    placeable: Placeable,
    candidates: readonly Candidate[],
): WorkerState | undefined {
    let best: WorkerState | undefined;
    let least = Infinity;
    for (const candidate of candidates) {
        if (mayRun(placeable.step, candidate)) {
            const cost = costOf(placeable, candidate);
            if (cost < least) {
                least = cost;
                best = candidate.worker;
            }
        }
    }
    return best;
}

/** Whether a worker has the label, the room and no more of the step than allowed. */
export function mayRun(step: StepSpec, { worker, free, sameStep }: Candidate): boolean {
    const needs = step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs;
    return (step.label === undefined || worker.listed.labels.includes(step.label))
        && (step.perWorker === 0 || sameStep < step.perWorker) && fitsInto(needs, free);
}

function costOf({ step, failedOn, rack }: Placeable, { worker, free }: Candidate): number {
    const { labels, capacity } = worker.listed;
    const wanted = step.dataRack ?? rack;
    let cost = failedOn.has(worker.id) ? Penalty.FailedBefore : 0;
    cost += worker.slowness > slowFactor ? Penalty.Slow : 0;
    cost += wanted !== undefined && !labels.includes(wanted) ? Penalty.OtherRack : 0;
    if (step.isBestEffort) {
        const { services, fillers } = countKinds(worker);
        return cost + (services > 0 ? Penalty.Disturbs : 0) + fillers * Penalty.Crowded;
    }
    const freeShare = free.cpu / Math.max(1, capacity.cpu);
    if (step.isService) {
        const { services, fillers } = countKinds(worker);
        cost += worker.isDue ? Penalty.Due : 0;
        return cost + (fillers > 0 ? Penalty.Disturbs : 0) + (services > 0 ? 0 : Penalty.Crowded) + freeShare;
    }
    return cost + freeShare;
}

function countKinds(worker: WorkerState): { services: number; fillers: number } {
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
