/**
 * Resource demand of each pool: what its jobs could use concurrently. The peak over a short window is reported, so
 * that VMs are not released between two jobs. Late work has a low weight: its value is reduced, and it can run in the
 * idle capacity after a burst.
 */
import type { StepSpec } from "../job/index.js";
import { addResources, noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";
import type { DurationEstimator } from "./duration-estimator.js";
import type { JobEntry, JobRegistry } from "./job-registry.js";
import { estimateJob, Urgency } from "./urgency.js";

/** Window over which the peak of demand is taken. */
const peakWindowMs = 1200;

/** Weight of a job's demand by its urgency. */
const demandWeight: Readonly<Record<Urgency, number>> = {
    [Urgency.Service]: 1,
    [Urgency.OnTime]: 1,
    [Urgency.Late]: 0.25,
    [Urgency.Overdue]: 0.1,
    [Urgency.BeyondShare]: 0.1,
};

/** Windows over which the rate of arrivals is estimated: short ones detect a burst soon, long ones a slow one. */
const rateWindowsMs = [250, 500, 1000] as const;
/** Longest window; over it, the rate is the plain mean. */
const arrivalWindowMs = 1500;
/** Arrivals in a window from which they count as a burst; fewer can be chance. */
const minBurstJobs = 3;

/** Input of `DemandMeter.measure`. */
export interface DemandInput {
    readonly jobs: JobRegistry;
    readonly directory: Directory;
    readonly durations: DurationEstimator;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
}

interface Sample {
    readonly at: number;
    readonly demand: Resources;
}

/** Measures the resource demand of pools. */
export class DemandMeter {
    private readonly samplesByPool = new Map<string, Sample[]>();
    private readonly minVmsByPool = new Map<string, number>();

    static create(): DemandMeter {
        return new DemandMeter();
    }

    /** Records a sample for every pool of the directory. */
    measure({ jobs, directory, durations, now, wallMs }: DemandInput): void {
        const queues = new Map(directory.queues.map(queue => [queue.name, queue]));
        const demandByPool = new Map<string, Resources>();
        const arrivals = new Map<string, Arrival[]>();
        this.minVmsByPool.clear();
        for (const entry of jobs.activeEntries) {
            const queue = queues.get(entry.job.queue);
            if (queue !== undefined) {
                const { pool } = queue;
                const { urgency } = estimateJob({ entry, queue, durations, wallMs });
                const needs = currentDemandOf(jobs, entry);
                demandByPool.set(
                    pool,
                    addResources(demandByPool.get(pool) ?? noResources, needs, demandWeight[urgency]),
                );
                const ageMs = wallMs - entry.job.acceptedAtMs;
                if (!entry.isService && ageMs < arrivalWindowMs) {
                    const ofPool = arrivals.get(pool) ?? [];
                    arrivals.set(pool, ofPool);
                    ofPool.push({ ageMs, resourceMs: resourceMsOf(entry, durations) });
                }
                this.minVmsByPool.set(
                    pool,
                    Math.max(this.minVmsByPool.get(pool) ?? 0, minVmsForServices(entry)),
                );
            }
        }
        for (const pool of directory.pools.keys()) {
            const recent = (this.samplesByPool.get(pool) ?? []).filter(({ at }) => now - at < peakWindowMs);
            const demand = componentwiseMax([
                demandByPool.get(pool) ?? noResources,
                expectedBurstDemand(arrivals.get(pool)),
            ]);
            this.samplesByPool.set(pool, [...recent, { at: now, demand }]);
        }
    }

    /** Peak demand of a pool within the window. */
    peakDemandOf(pool: string, now: number): Resources {
        const recent = this.samplesByPool.get(pool)?.filter(({ at }) => now - at < peakWindowMs) ?? [];
        return componentwiseMax(recent.map(({ demand }) => demand));
    }

    /** Fewest VMs on which a pool's services can run, given their limits of tasks per worker. */
    minVmsOf(pool: string): number {
        return this.minVmsByPool.get(pool) ?? 0;
    }
}

/** A job that arrived within the longest window. */
interface Arrival {
    readonly ageMs: number;
    /** Resources of its tasks times the expected milliseconds of use. */
    readonly resourceMs: Resources;
}

function resourceMsOf({ job }: JobEntry, durations: DurationEstimator): Resources {
    return job.spec.steps.reduce(
        (sum, step) =>
            addResources(sum, step.needs, step.tasks * durations.estimate(job.queue, step.estimateMs)),
        noResources,
    );
}

/**
 * Resources that a burst is expected to use at its present rate of arrivals; none if the arrivals are no burst.
 *
 * Load pattern: a queue goes from a twentieth of its mean to several times its mean within a moment and stays there for
 * some seconds, hardly longer than the VMs take that it needs. At hundreds of VMs a quarter of a second holds enough
 * arrivals to tell their rate.
 */
function expectedBurstDemand(arrivals: readonly Arrival[] = []): Resources {
    if (arrivals.length < minBurstJobs) {
        return noResources;
    }
    const total = arrivals.reduce((sum, { resourceMs }) => addResources(sum, resourceMs), noResources);
    return addResources(noResources, total, arrivalRatePerMs(arrivals) / arrivals.length);
}

/**
 * Arrivals per millisecond: the highest over the windows. A short window counts twice the arrivals of its weaker half, since
 * a batch that came at one moment shows no rate.
 */
export function arrivalRatePerMs(arrivals: readonly { readonly ageMs: number }[]): number {
    const rates = rateWindowsMs.map(windowMs => {
        const recent = arrivals.filter(({ ageMs }) => ageMs < windowMs).length;
        const latest = arrivals.filter(({ ageMs }) => ageMs < windowMs / 2).length;
        return recent < minBurstJobs ? 0 : 2 * Math.min(latest, recent - latest) / windowMs;
    });
    return Math.max(arrivals.length / arrivalWindowMs, ...rates);
}

function currentDemandOf(jobs: JobRegistry, entry: JobEntry): Resources {
    let needs = noResources;
    const { steps } = entry.job.spec;
    const add = (step: StepSpec): void => {
        needs = addResources(needs, step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs);
    };
    jobs.openTasks(entry).forEach(at => add(steps[entry.state.tasks[at]!.step]!));
    for (const task of entry.runCount === 0 ? [] : entry.state.tasks) {
        if (task.worker !== "") {
            add(steps[task.step]!);
        }
    }
    return needs;
}

function componentwiseMax(amounts: readonly Resources[]): Resources {
    return {
        cpu: Math.max(0, ...amounts.map(({ cpu }) => cpu)),
        memory: Math.max(0, ...amounts.map(({ memory }) => memory)),
        accelerators: Math.max(0, ...amounts.map(({ accelerators }) => accelerators)),
    };
}

function minVmsForServices({ isService, job }: JobEntry): number {
    if (!isService) {
        return 0;
    }
    const spreads = job.spec.steps.map(({ tasks, perWorker }) =>
        perWorker === 0 ? 0 : Math.ceil(tasks / perWorker)
    );
    return Math.max(0, ...spreads);
}
