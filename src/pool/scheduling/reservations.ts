/**
 * Reserves workers for large jobs that find no room.
 *
 * Load pattern: a pool is short of capacity and most tasks are small. Whatever room becomes free is taken by small tasks at once, so
 * that a task that needs half a VM waits until its job is late. A reserved worker takes other tasks only if they are expected to end
 * before the room for the reserved job is complete, or little later.
 */
import type { StepSpec } from "../../job/index.js";
import { addResources, fitsInto, type Resources } from "../../process/resources.js";
import type { DurationEstimator } from "../duration-estimator.js";
import { openSteps, openTaskCount } from "../open-steps.js";
import type { JobEntry, RunRecord } from "../records.js";
import { Urgency } from "../urgency.js";
import { reservedResources, type WorkerState } from "../worker-registry.js";
import type { OrderedJob } from "./fair-order.js";
import { JobSizes } from "./job-sizes.js";

/** A worker that is kept for the next task of a job. */
export interface Reservation {
    readonly entry: JobEntry;
    readonly worker: string;
    /** Monotonic time from which the worker is expected to have room for the task, in milliseconds. */
    readonly from: number;
    /** Time by which other tasks may delay it, in milliseconds. */
    readonly maxDelayMs: number;
}

/** A worker with its free resources after the plan. */
export interface ReservableWorker {
    readonly worker: WorkerState;
    readonly free: Resources;
}

/** A job with tasks that the plan has found no room for. */
export interface UnplacedJob extends OrderedJob {
    readonly step: StepSpec;
    /** Number of tasks of this step without room. */
    readonly tasks: number;
}

/** Input of `Reservations.renew`. */
export interface ReservationInput {
    /** All jobs that the plan has considered, placed or not. */
    readonly considered: readonly OrderedJob[];
    /** Jobs without room, in the order in which they may take capacity. */
    readonly unplaced: readonly UnplacedJob[];
    /** Schedulable workers by pool. */
    readonly workersOf: (pool: string) => readonly ReservableWorker[];
    readonly durations: DurationEstimator;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
}

/**
 * Largest fraction of a pool's workers that is reserved at a time, for one job. With 0.2, the largest tenth of a queue was served 0.6
 * times as often as the queue at 1.6 times the capacity, with two jobs at a time the other jobs lost twice as much.
 */
const maxReservedShare = 0.3;
/** Time by which a worker must have room earlier than one that the job holds to be reserved instead, in milliseconds. */
const minGainMs = 100;
/** Fraction of its expected run time by which other tasks may delay a reserved task. */
const maxDelayShare = 0.1;
/** Fraction of its age that a run is expected to go on for once it has taken longer than expected. */
const overrunShare = 0.5;

/** Reservations of workers at the owner. They end with the owner; the next one plans them anew. */
export class Reservations {
    private byWorker: ReadonlyMap<string, Reservation> = new Map();
    private readonly sizes = JobSizes.create();

    static create(): Reservations {
        return new Reservations();
    }

    /** Reservations of a job. */
    of(entry: JobEntry): readonly Reservation[] {
        return [...this.byWorker.values()].filter(reservation => reservation.entry === entry);
    }

    isReserved(worker: string): boolean {
        return this.byWorker.has(worker);
    }

    /** Whether a task of a job that is expected to end at the monotonic time `endsAt` may start on a worker. */
    private allows(entry: JobEntry, worker: string, endsAt: number): boolean {
        const reservation = this.byWorker.get(worker);
        return reservation === undefined || reservation.entry === entry
            || endsAt <= reservation.from + reservation.maxDelayMs;
    }

    /** The workers on which a task of a step may start now, of those given. Services, the most urgent class, may start on all. */
    admit<T extends { readonly worker: WorkerState }>(
        { entry, step }: { readonly entry: JobEntry; readonly step: StepSpec },
        workers: readonly T[],
        durations: DurationEstimator,
        now: number,
    ): readonly T[] {
        const runMs = durations.estimate(entry.job.queue, step.estimateMs);
        return this.byWorker.size === 0 || step.isService
            ? workers
            : workers.filter(({ worker }) => this.allows(entry, worker.id, now + runMs));
    }

    /** Keeps the reservations that are still needed and possible, and reserves others for one large job of each pool. */
    renew({ considered, unplaced, workersOf, durations, now, wallMs }: ReservationInput): void {
        considered.forEach(({ entry }) => this.sizes.record(entry));
        const next = new Map<string, Reservation>();
        const holders = new Set([...this.byWorker.values()].map(({ entry }) => entry));
        const eligible = unplaced.filter(job => this.mayReserve(job))
            .toSorted((a, b) => Number(holders.has(b.entry)) - Number(holders.has(a.entry)));
        const servedPools = new Set<string>();
        for (const job of eligible) {
            const pool = job.queue?.pool ?? "";
            const workers = workersOf(pool);
            const chosen = servedPools.has(pool) ? undefined : this.choose(job, workers, durations, now);
            const latestStart = now + job.estimate.objectiveAtMs - job.estimate.remainingMs - wallMs;
            const limit = Math.max(1, Math.floor(workers.length * maxReservedShare));
            if (
                chosen !== undefined && chosen.size <= limit && Math.max(...chosen.values()) <= latestStart
            ) {
                servedPools.add(pool);
                const runMs = durations.estimate(job.entry.job.queue, job.step.estimateMs);
                for (const [worker, from] of chosen) {
                    next.set(worker, { entry: job.entry, worker, from, maxDelayMs: maxDelayShare * runMs });
                }
            }
        }
        this.byWorker = next;
    }

    private mayReserve({ entry, estimate, step }: UnplacedJob): boolean {
        return estimate.urgency === Urgency.OnTime && !step.isGang && step.perWorker === 0
            && this.sizes.isLarge(entry);
    }

    /**
     * Workers that have room for all waiting tasks of a job the earliest, and the time by which each has it; undefined if there
     * are too few. Those that the job holds are kept unless others have room clearly earlier.
     */
    private choose(
        { entry, step, tasks }: UnplacedJob,
        workers: readonly ReservableWorker[],
        durations: DurationEstimator,
        now: number,
    ): ReadonlyMap<string, number> | undefined {
        const needs = reservedResources({ step });
        const slots: { worker: string; from: number; rank: number }[] = [];
        for (const candidate of workers) {
            const { id, listed } = candidate.worker;
            if (step.label === undefined || listed.labels.includes(step.label)) {
                const keptMs = this.byWorker.get(id)?.entry === entry ? minGainMs : 0;
                for (const from of slotsOf(candidate, needs, tasks, durations, now)) {
                    slots.push({ worker: id, from, rank: from - keptMs });
                }
            }
        }
        if (slots.length < tasks) {
            return undefined;
        }
        const chosen = new Map<string, number>();
        for (const { worker, from } of slots.sort((a, b) => a.rank - b.rank).slice(0, tasks)) {
            chosen.set(worker, Math.max(from, chosen.get(worker) ?? 0));
        }
        return chosen;
    }
}

/** Jobs with tasks that a plan has not placed, by the first step of which this is so; jobs of queues that need advice are left out. */
export function unplacedJobs(
    attempted: readonly OrderedJob[],
    placements: readonly { readonly entry: JobEntry }[],
): readonly UnplacedJob[] {
    const placed = new Map<JobEntry, number>();
    placements.forEach(({ entry }) => placed.set(entry, (placed.get(entry) ?? 0) + 1));
    return attempted.flatMap(job => {
        const { entry, queue } = job;
        const steps = openSteps(entry);
        let left = placed.get(entry) ?? 0;
        const first = steps.find(({ count }) => {
            left -= count;
            return left < 0;
        });
        return first === undefined || entry.isService || queue === undefined || queue.needsAdvice
            ? []
            : [{ ...job, step: first.step, tasks: openTaskCount(entry) - (placed.get(entry) ?? 0) }];
    });
}

/** Monotonic times from which a worker is expected to have room for one task, for two, and so on. */
function slotsOf(
    { worker, free }: ReservableWorker,
    needs: Resources,
    tasks: number,
    durations: DurationEstimator,
    now: number,
): readonly number[] {
    const ends = [...worker.runs.values()].filter(({ step }) => !step.isService)
        .map(run => ({ run, at: expectedEnd(run, durations, now) }))
        .sort((a, b) => a.at - b.at);
    const slots: number[] = [];
    let room = free;
    let from = now;
    for (let next = 0; next <= ends.length; next++) {
        while (slots.length < tasks && fitsInto(needs, room)) {
            slots.push(from);
            room = addResources(room, needs, -1);
        }
        if (next < ends.length) {
            room = addResources(room, reservedResources(ends[next]!.run));
            from = ends[next]!.at;
        }
    }
    return slots;
}

/** Monotonic time at which a run is expected to end. */
function expectedEnd(
    { entry, step, startedAt }: RunRecord,
    durations: DurationEstimator,
    now: number,
): number {
    const expected = startedAt + durations.estimate(entry.job.queue, step.estimateMs);
    return expected > now ? expected : now + overrunShare * (now - startedAt);
}
