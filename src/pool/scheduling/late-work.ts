/**
 * How much capacity the late part of a takeover's backlog may use. Pure.
 *
 * Load pattern: jobs that waited during a takeover at the peak of a burst are late for good, each of their tasks runs for a
 * second or two, and the next queue's burst begins meanwhile. Capacity that they take in a moment at which nothing else
 * waits is missing for the arrivals of the next second, which then are late too.
 */
import { addResources, fitsInto, noResources, type Resources } from "../../process/resources.js";
import type { Directory } from "../../version/directory.js";
import type { DurationEstimator } from "../duration-estimator.js";
import type { JobRegistry } from "../job-registry.js";
import type { JobEntry } from "../records.js";
import { estimateJob, Urgency } from "../urgency.js";

/** Input of `LateWorkGate.create`. */
export interface LateWorkInput {
    readonly jobs: JobRegistry;
    readonly directory: Directory;
    readonly durations: DurationEstimator;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
    /** Unix time in milliseconds up to which accepted jobs belong to the backlog of the takeover. */
    readonly backlogUntilMs: number;
}

/** What came of placing a task. */
export interface PlacingResult {
    readonly isLate: boolean;
    readonly isPlaced: boolean;
    readonly isFull: boolean;
}

/** Time over which the rate of arrivals is taken: about the run time of a task, for which late work would use its capacity. */
const arrivalWindowMs = 1000;

/** Limits, within one round of placing, what the late jobs of a backlog start in each pool. */
export class LateWorkGate {
    private readonly poolByQueue: ReadonlyMap<string, string>;
    private readonly leftByPool = new Map<string, Resources>();
    private readonly fullPools = new Set<string>();
    private expectedByPool: ReadonlyMap<string, Resources> | undefined;

    private constructor(private readonly input: LateWorkInput) {
        this.poolByQueue = new Map(input.directory.queues.map(({ name, pool }) => [name, pool]));
    }

    static create(input: LateWorkInput): LateWorkGate {
        return new LateWorkGate(input);
    }

    /** Whether a job of this urgency is late and waited during the takeover. */
    isLateBacklog({ isService, job }: JobEntry, urgency: Urgency): boolean {
        return !isService && job.acceptedAtMs <= this.input.backlogUntilMs
            && (urgency === Urgency.Late || urgency === Urgency.Overdue);
    }

    /** Whether a late task with these needs may start in a pool with these candidates. */
    mayStart(pool: string, needs: Resources, candidates: readonly { readonly free: Resources }[]): boolean {
        if (this.fullPools.has(pool)) {
            return false;
        }
        let left = this.leftByPool.get(pool);
        if (left === undefined) {
            this.expectedByPool ??= this.expectedShortfall();
            const free = candidates.reduce(
                (sum, candidate) => addResources(sum, candidate.free),
                noResources,
            );
            left = atLeastZero(addResources(free, this.expectedByPool.get(pool) ?? noResources, -1));
            this.leftByPool.set(pool, left);
        }
        return fitsInto(needs, left);
    }

    /** Records whether a task was placed; `isFull`: no worker of the pool has room for it. */
    record(pool: string, needs: Resources, { isLate, isPlaced, isFull }: PlacingResult): void {
        if (isPlaced && isLate) {
            this.leftByPool.set(pool, addResources(this.leftByPool.get(pool) ?? noResources, needs, -1));
        }
        else if (!isPlaced && !isLate && isFull) {
            this.fullPools.add(pool);
        }
    }

    /** What arrivals are expected to use beyond what other work than the late backlog uses now, by pool. */
    private expectedShortfall(): ReadonlyMap<string, Resources> {
        const { jobs, directory, durations, wallMs } = this.input;
        const queues = new Map(directory.queues.map(queue => [queue.name, queue]));
        const expected = new Map<string, Resources>();
        const add = (pool: string, needs: Resources, times: number): void =>
            void expected.set(pool, addResources(expected.get(pool) ?? noResources, needs, times));
        for (const entry of jobs.activeEntries) {
            const { job, isService } = entry;
            const pool = this.poolByQueue.get(job.queue);
            if (pool !== undefined && !isService && wallMs - job.acceptedAtMs < arrivalWindowMs) {
                for (const { needs, tasks, estimateMs } of job.spec.steps) {
                    add(pool, needs, tasks * durations.estimate(job.queue, estimateMs) / arrivalWindowMs);
                }
            }
        }
        for (const { entry, step } of jobs.runs.values()) {
            const queue = queues.get(entry.job.queue);
            if (queue !== undefined && !entry.isService && !step.isBestEffort) {
                const { urgency } = estimateJob({ entry, queue, durations, wallMs });
                if (!this.isLateBacklog(entry, urgency)) {
                    add(queue.pool, step.needs, -1);
                }
            }
        }
        return new Map([...expected].map(([pool, needs]) => [pool, atLeastZero(needs)]));
    }
}

function atLeastZero({ cpu, memory, accelerators }: Resources): Resources {
    return { cpu: Math.max(0, cpu), memory: Math.max(0, memory), accelerators: Math.max(0, accelerators) };
}
