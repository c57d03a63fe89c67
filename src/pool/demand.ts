/**
 * Resource demand of each pool: what its jobs could use concurrently. The peak over a short window is reported, so
 * that VMs are not released between two jobs. Late work has a low weight: its value is reduced, and it can run in the
 * idle capacity after a burst.
 */
import { type StepSpec, TaskSet } from "../job/index.js";
import { addResources, componentwiseMax, noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";
import type { DurationEstimator } from "./duration-estimator.js";
import type { JobRegistry } from "./job-registry.js";
import { openSteps } from "./open-steps.js";
import type { JobEntry } from "./records.js";
import { demandAfterStall } from "./scheduling/stall-demand.js";
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
/** Window over which the rate is the plain mean. */
const meanWindowMs = 1500;
/**
 * Windows that are compared with the same time before; a rise that goes on shows in each of them, by this number of standard
 * deviations.
 */
const trendWindows = [
    { windowMs: 500, minDeviations: 0.5 },
    { windowMs: 1000, minDeviations: 1.5 },
] as const;
/** Age up to which arrivals are counted. */
const maxArrivalAgeMs = 2000;
/** Largest ratio of the forecast rate to the present one. */
const maxGrowth = 2;
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
    /** Time until a VM that is ordered now takes work, in milliseconds. */
    readonly leadMs: number;
}

/** Demand of a pool at one time. */
export interface DemandSample {
    readonly demand: Resources;
}

interface Sample extends DemandSample {
    readonly at: number;
}

/** What a meter continues that begins after a change of owner. */
interface InheritedDemand {
    readonly peakByPool: ReadonlyMap<string, Resources>;
    /** Unix time of the end of the stall, in milliseconds. */
    readonly endedAtMs: number;
    /** Monotonic time until which the inherited samples count. */
    readonly until: number;
}

/** Measures the resource demand of pools. */
export class DemandMeter {
    private readonly samplesByPool = new Map<string, Sample[]>();
    private readonly minVmsByPool = new Map<string, number>();
    private firstMeasuredAt = Infinity;
    private inherited: InheritedDemand | undefined;

    static create(): DemandMeter {
        return new DemandMeter();
    }

    /**
     * Continues with the samples of an earlier owner. The time of the stall does not count towards their age: the earlier
     * owner would have taken further samples meanwhile. `now` is monotonic time, `wallMs` Unix time, in milliseconds.
     */
    restore(
        samples: ReadonlyMap<string, readonly (DemandSample & { readonly ageMs: number })[]>,
        { now, wallMs }: Pick<DemandInput, "now" | "wallMs">,
    ): void {
        const peakByPool = new Map<string, Resources>();
        for (const [pool, ofPool] of samples) {
            this.samplesByPool.set(pool, ofPool.map(({ ageMs, demand }) => ({ at: now - ageMs, demand })));
            peakByPool.set(pool, componentwiseMax(ofPool.map(({ demand }) => demand)));
        }
        this.inherited = { peakByPool, endedAtMs: wallMs, until: now + peakWindowMs };
    }

    /** Samples of the window by pool, with their ages, for the next owner; undefined before the first one. */
    recentSamples(
        now: number,
    ): ReadonlyMap<string, readonly (DemandSample & { readonly ageMs: number })[]> | undefined {
        return this.firstMeasuredAt === Infinity ? undefined : new Map(
            [...this.samplesByPool].map(([pool, samples]) => [
                pool,
                samples.map(({ at, demand }) => ({ ageMs: now - at, demand })),
            ]),
        );
    }

    /** Whether the samples, of this meter or of the one that it continues, cover the window. */
    hasWholeWindow(now: number): boolean {
        return this.inherited !== undefined || now - this.firstMeasuredAt >= peakWindowMs;
    }

    /** Records a sample for every pool of the directory. */
    measure({ jobs, directory, durations, now, wallMs, leadMs }: DemandInput): void {
        const queues = new Map(directory.queues.map(queue => [queue.name, queue]));
        const stall = this.inherited !== undefined && now < this.inherited.until ? this.inherited : undefined;
        this.firstMeasuredAt = Math.min(this.firstMeasuredAt, now);
        const demandByPool = new Map<string, Resources>();
        const waitedByPool = new Map<string, Resources>();
        const arrivals = new Map<string, Arrival[]>();
        this.minVmsByPool.clear();
        for (const entry of jobs.activeEntries) {
            const queue = queues.get(entry.job.queue);
            if (queue !== undefined) {
                const { pool } = queue;
                const { urgency } = estimateJob({ entry, queue, durations, wallMs });
                const needs = currentDemandOf(entry);
                const hasWaited = stall !== undefined && entry.job.acceptedAtMs <= stall.endedAtMs;
                const sums = hasWaited ? waitedByPool : demandByPool;
                sums.set(pool, addResources(sums.get(pool) ?? noResources, needs, demandWeight[urgency]));
                const ageMs = wallMs - entry.job.acceptedAtMs;
                if (!entry.isService && ageMs < maxArrivalAgeMs) {
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
            const expected = expectedBurstDemand(arrivals.get(pool), leadMs);
            const present = demandByPool.get(pool) ?? noResources;
            const demand = componentwiseMax([
                stall === undefined ? present : demandAfterStall({
                    waited: waitedByPool.get(pool) ?? noResources,
                    later: present,
                    inheritedPeak: stall.peakByPool.get(pool) ?? noResources,
                    expected,
                }),
                expected,
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

/** A job that arrived lately. */
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
 * Resources that a burst is expected to use once VMs that are ordered now take work; none if the arrivals are no burst.
 *
 * Load pattern: a queue rises from a twentieth of its mean to several times its mean within some seconds, hardly longer than
 * the VMs take that it needs. At hundreds of VMs a quarter of a second holds enough arrivals to tell their rate.
 */
function expectedBurstDemand(arrivals: readonly Arrival[] = [], leadMs: number): Resources {
    if (arrivals.length < minBurstJobs) {
        return noResources;
    }
    const total = arrivals.reduce((sum, { resourceMs }) => addResources(sum, resourceMs), noResources);
    return addResources(noResources, total, forecastRatePerMs(arrivals, leadMs) / arrivals.length);
}

/**
 * Arrivals per millisecond that are expected in `leadMs`. A rise over short and long windows is expected to go on; after a
 * step, the short window soon shows a steady rate.
 */
export function forecastRatePerMs(
    arrivals: readonly { readonly ageMs: number }[],
    leadMs: number,
): number {
    const present = arrivalRatePerMs(arrivals);
    const forecasts = trendWindows.map(({ windowMs, minDeviations }) => {
        const recent = arrivals.filter(({ ageMs }) => ageMs < windowMs).length;
        const before = arrivals.filter(({ ageMs }) => ageMs >= windowMs && ageMs < 2 * windowMs).length;
        const isRise = recent - before > minDeviations * Math.sqrt(recent + before);
        const slope = isRise ? (recent - before) / windowMs ** 2 : 0;
        return recent / windowMs + slope * (leadMs + windowMs / 2);
    });
    return Math.min(maxGrowth * present, Math.max(present, Math.min(...forecasts)));
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
    const mean = arrivals.filter(({ ageMs }) => ageMs < meanWindowMs).length / meanWindowMs;
    return Math.max(mean, ...rates);
}

function currentDemandOf(entry: JobEntry): Resources {
    let needs = noResources;
    const { steps } = entry.job.spec;
    const add = (step: StepSpec, tasks: number): void => {
        needs = addResources(needs, step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs, tasks);
    };
    openSteps(entry).forEach(({ step, count }) => add(step, count));
    if (entry.runCount > 0) {
        const { tasks } = entry.state;
        for (const position of tasks.positions(TaskSet.Claimed)) {
            add(steps[tasks.layout.placeOf(position).step]!, 1);
        }
    }
    return needs;
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
