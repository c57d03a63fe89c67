/**
 * Selects the worker for a task. Short tasks are packed, so that other workers become idle and their VMs can be moved
 * to another pool or maintained. Best-effort tasks avoid services with a tail latency target, which they would slow.
 */
import { type StepSpec, Suspicion, suspicionOf } from "../job/index.js";
import { fitsInto, type Resources } from "../process/resources.js";
import { isTested, lossesOf } from "./records.js";
import { misfit } from "./scheduling/fit.js";
import type { WorkerLimit } from "./worker-outliers.js";
import type { WorkerState } from "./worker-registry.js";

/** Runs on a worker whose tasks are under suspicion of ending it. */
export interface SuspectCounts {
    /** Those that have not been at work for long enough to show that they do not. */
    readonly untested: number;
    /** Those whose jobs fail if the worker is lost, whatever the cause. */
    readonly lastChances: number;
    /** Those that are both. */
    readonly untestedLastChances: number;
}

/** A worker considered for a task, with its free resources. */
export interface PlacementCandidate extends SuspectCounts {
    readonly worker: WorkerState;
    readonly free: Resources;
    /** Number of tasks of the same step and occurrence on the worker. */
    readonly sameStepTasks: number;
    /** What a suspected worker may be given; undefined for a trusted one. */
    readonly limit?: WorkerLimit | undefined;
    /** Expected time until the worker has no run, in milliseconds; only with `PlacementRequest.packedRunMs`. */
    readonly emptyInMs?: number;
}

/** A task to be placed. */
export interface PlacementRequest {
    readonly step: StepSpec;
    /** Workers on which earlier runs of the task failed. */
    readonly failedOn: ReadonlySet<string>;
    /** Rack of the step's other tasks if the step wants one rack. */
    readonly preferredRack: string | undefined;
    readonly suspicion: Suspicion;
    /** Expected run time in milliseconds, infinite for a service, if tasks are packed in all dimensions and in time. */
    readonly packedRunMs?: number;
}

/** Slowdown factor above which a worker is used only if no other has room. */
const slowThreshold = 2;

/** Placement penalties. The magnitudes differ so that a graver penalty outweighs all lesser ones. */
enum Penalty {
    FailedBefore = 1_000_000,
    /** For each task on the worker that may end it, as the task to be placed may, too. */
    Suspect = 200_000,
    Slow = 100_000,
    /** The worker is still slow after its start. */
    Cold = 40_000,
    /** The worker is suspected of failing or slowing what it starts. */
    Suspected = 60_000,
    /** The worker runs a task whose job fails if the task to be placed ends the worker. */
    LastChance = 50_000,
    OtherRack = 10_000,
    Interference = 20_000,
    /** The VM is due for maintenance, so a service placed there would soon have to move again. */
    MaintenanceDue = 5_000,
    WorseColocation = 1_000,
    /** For each run that a task that may end its worker would take with it. */
    Endangered = 10,
}

/** Worker with the lowest cost for a task; undefined if none can run it. */
export function chooseWorker(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
): WorkerState | undefined {
    return chooseCandidate(request, candidates)?.worker;
}

/** Candidate with the lowest cost for a task; undefined if none can run it. */
export function chooseCandidate<T extends PlacementCandidate>(
    request: PlacementRequest,
    candidates: readonly T[],
): T | undefined {
    let best: T | undefined;
    let lowestCost = Infinity;
    for (const candidate of candidates) {
        if (
            canPlace(request.step, candidate) && !wouldHideCause(request, candidate)
            && !isBarredByLimit(request, candidate)
        ) {
            const cost = placementCost(request, candidate);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = candidate;
            }
        }
    }
    return best;
}

/** Whether a worker has the required label, enough free resources, and fewer tasks of the step than `perWorker`. */
export function canPlace(
    step: StepSpec,
    { worker, free, sameStepTasks }: PlacementCandidate,
): boolean {
    const needs = step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs;
    return (step.label === undefined || worker.listed.labels.includes(step.label))
        && (step.perWorker === 0 || sameStepTasks < step.perWorker) && fitsInto(needs, free);
}

/**
 * Whether it could not be told which of two tasks ended the worker. A gang is exempt: its members start together or not at all,
 * however few workers there are.
 */
function wouldHideCause(
    { step, suspicion }: PlacementRequest,
    { untested, untestedLastChances }: PlacementCandidate,
): boolean {
    switch (suspicion) {
        case Suspicion.None:
            return false;
        case Suspicion.Suspect:
            return untestedLastChances > 0 && !step.isGang;
        case Suspicion.LastChance:
            return untested > 0 && !step.isGang;
    }
}

/**
 * Whether a worker may start no more runs, or is on trial and the task is not suited for it: one that has failed already, or
 * whose end tells nothing of the worker within seconds.
 */
export function isBarredByLimit(
    { step, failedOn }: Pick<PlacementRequest, "step" | "failedOn">,
    { limit }: PlacementCandidate,
): boolean {
    return limit !== undefined && limit.maxStarts < Infinity
        && (limit.maxStarts <= 0 || step.isService || step.isGang || failedOn.size > 0);
}

function placementCost(
    { step, failedOn, preferredRack, suspicion, packedRunMs }: PlacementRequest,
    { worker, free, untested, lastChances, limit, emptyInMs = 0 }: PlacementCandidate,
): number {
    const { labels, capacity } = worker.listed;
    const wantedRack = step.dataRack ?? preferredRack;
    let cost = failedOn.has(worker.id) ? Penalty.FailedBefore : 0;
    cost += worker.slowdownFactor > slowThreshold ? Penalty.Slow : 0;
    cost += (worker.listed.coldForMs ?? 0) > 0 ? Penalty.Cold : 0;
    cost += limit?.maxStarts === Infinity ? Penalty.Suspected : 0;
    cost += wantedRack !== undefined && !labels.includes(wantedRack) ? Penalty.OtherRack : 0;
    if (suspicion !== Suspicion.None) {
        cost += (untested + lastChances) * Penalty.Suspect + worker.runs.size * Penalty.Endangered;
    }
    else if (lastChances > 0) {
        cost += Penalty.LastChance;
    }
    if (step.isBestEffort) {
        const { services, bestEffort } = countServicesAndBestEffort(worker);
        return cost + (services > 0 ? Penalty.Interference : 0) + bestEffort * Penalty.WorseColocation;
    }
    const freeShare = packedRunMs === undefined
        ? free.cpu / Math.max(1, capacity.cpu)
        : misfit({ needs: step.needs, free, capacity, runMs: packedRunMs, emptyInMs });
    if (step.isService) {
        const { services, bestEffort } = countServicesAndBestEffort(worker);
        cost += worker.isMaintenanceDue ? Penalty.MaintenanceDue : 0;
        return cost + (bestEffort > 0 ? Penalty.Interference : 0)
            + (services > 0 ? 0 : Penalty.WorseColocation)
            + freeShare;
    }
    return cost + freeShare;
}

/** Counts the suspects among the runs of a worker at the monotonic time `now`. */
export function countSuspects({ runsAfterLosses }: WorkerState, now: number): SuspectCounts {
    let counts: SuspectCounts = { untested: 0, lastChances: 0, untestedLastChances: 0 };
    for (const record of runsAfterLosses) {
        counts = addSuspect(
            counts,
            suspicionOf(lossesOf(record), record.step.isService),
            isTested(record, now),
        );
    }
    return counts;
}

/** Adds a run whose task is under the given suspicion. */
export function addSuspect(
    { untested, lastChances, untestedLastChances }: SuspectCounts,
    suspicion: Suspicion,
    hasBeenTested = false,
): SuspectCounts {
    const isUntested = suspicion !== Suspicion.None && !hasBeenTested;
    const isLastChance = suspicion === Suspicion.LastChance;
    return {
        untested: untested + (isUntested ? 1 : 0),
        lastChances: lastChances + (isLastChance ? 1 : 0),
        untestedLastChances: untestedLastChances + (isUntested && isLastChance ? 1 : 0),
    };
}

function countServicesAndBestEffort(worker: WorkerState): { services: number; bestEffort: number } {
    let services = 0;
    let bestEffort = 0;
    for (const { step } of worker.runs.values()) {
        if (step.isBestEffort) {
            bestEffort++;
        }
        else if (step.isService) {
            services++;
        }
    }
    return { services, bestEffort };
}
