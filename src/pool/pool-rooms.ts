/** The schedulable workers of each pool with their free resources, which a plan of starts uses up. */
import { componentwiseMax, fitsInto, type Resources } from "../process/resources.js";
import type { Directory, Pool } from "../version/directory.js";
import type { DurationEstimator } from "./duration-estimator.js";
import { countSuspects, type PlacementCandidate } from "./placement.js";
import { emptyInMs } from "./scheduling/run-ends.js";
import { limitedResources, type WorkerLimit } from "./worker-outliers.js";
import { freeResources, isCapacityKnown, type WorkerState } from "./worker-registry.js";

export { rackLabel } from "./worker-registry.js";

/** Input of `collectRooms`. */
export interface RoomInput {
    readonly workers: Iterable<WorkerState>;
    readonly directory: Directory;
    readonly durations: DurationEstimator;
    /** Whether nothing may be started in an availability zone; no zone is evacuated by default. */
    readonly isZoneEvacuated?: (zone: string) => boolean;
    /** What a suspected worker may be given; undefined for a trusted one. All workers are trusted by default. */
    readonly limitOf?: (worker: WorkerState) => WorkerLimit | undefined;
    /** Whether tasks are packed in all dimensions and in time (`vmPacking`); false by default. */
    readonly isPacking?: boolean;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
}

/** A worker with its free resources, which shrink as the plan assigns tasks to it. */
export interface Candidate extends PlacementCandidate {
    free: Resources;
    sameStepTasks: number;
    untested: number;
    lastChances: number;
    untestedLastChances: number;
    limit: WorkerLimit | undefined;
    emptyInMs?: number;
}

/** The schedulable workers of one pool. */
export interface PoolRoom {
    readonly candidates: readonly Candidate[];
    /** Largest amount of each resource that any of them had free at first. */
    readonly largestFree: Resources;
    /** Needs for which none of them has room. */
    readonly exceeding: Resources[];
}

/** The workers that may start runs now, by pool. */
export function collectRooms(view: RoomInput): ReadonlyMap<string, PoolRoom> {
    const candidatesByPool = new Map<string, Candidate[]>();
    for (const worker of view.workers) {
        const { pool, zone } = worker.listed;
        const limit = view.limitOf?.(worker);
        if (
            view.isZoneEvacuated?.(zone) !== true && isSchedulable(worker, view.now)
            && mayFill(worker, view.directory.pools.get(pool), view.now) && hasStartsLeft({ limit })
        ) {
            const candidates = candidatesByPool.get(pool) ?? [];
            candidatesByPool.set(pool, candidates);
            candidates.push({
                worker,
                free: limit === undefined ? freeResources(worker) : limitedResources(worker, limit),
                limit,
                sameStepTasks: 0,
                ...countSuspects(worker, view.now),
                ...(view.isPacking === true && {
                    emptyInMs: emptyInMs(worker.runs.values(), view.durations, view.now),
                }),
            });
        }
    }
    return new Map(
        [...candidatesByPool].map(([pool, candidates]) => [
            pool,
            { candidates, largestFree: componentwiseMax(candidates.map(({ free }) => free)), exceeding: [] },
        ]),
    );
}

/** Whether no worker has room for these needs, as a task that needs no more has shown. */
export function isExceeding({ exceeding }: PoolRoom, needs: Resources): boolean {
    return exceeding.some(other => fitsInto(other, needs));
}

/** Whether a worker may be given more runs in this plan. */
export function hasStartsLeft({ limit }: Pick<PlacementCandidate, "limit">): boolean {
    return limit === undefined || limit.maxStarts > 0;
}

/** The workers for which there are tickets; they share their free resources with the whole pool. */
export function roomOfAdvised(room: PoolRoom, tickets: ReadonlyMap<string, string> | undefined): PoolRoom {
    return {
        ...room,
        candidates: room.candidates.filter(({ worker }) => tickets?.has(worker.id) === true),
        exceeding: [],
    };
}

/** Whether new runs may be placed on a worker at the monotonic time `now`. */
export function isSchedulable(worker: WorkerState, now: number): boolean {
    return isAcceptingRuns(worker) && !worker.isCordoned && now >= worker.backoffUntil;
}

/** Whether a worker may start runs at all, including those that were placed on it before, for which its VM is not moved. */
export function isAcceptingRuns(worker: WorkerState): boolean {
    // Only the entry of the present incarnation tells its capacity and labels.
    return worker.isListed && worker.listed.startedAtMs === worker.startedAtMs && worker.hasAcceptedFence
        && worker.isReachable && !worker.listed.isDraining
        && !worker.isLeaseBlocked;
}

/** Whether runs may be added to a worker: its pool's workers refuse what exceeds their capacity, or the capacity is known. */
export function mayFill(worker: WorkerState, pool: Pool | undefined, now: number): boolean {
    return pool?.guardsCapacity !== false || isCapacityKnown(worker, now);
}
