/**
 * How much work each pool could do at once, held for a moment so that VMs are not sent away between two jobs. Work
 * that is late already counts little: it is worth a fraction and can fill the trough after a burst.
 */
import type { StepSpec } from "../job/index.js";
import { addResources, noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";
import type { Durations } from "./durations.js";
import type { JobEntry, JobRegistry } from "./job-registry.js";
import { outlookOf, Urgency } from "./urgency.js";

/** How long a peak of demand is remembered, in milliseconds. */
const holdMs = 1200;

/** Share of a job's demand that counts, by its urgency. */
const demandShare: Readonly<Record<Urgency, number>> = {
    [Urgency.Service]: 1,
    [Urgency.OnTime]: 1,
    [Urgency.Late]: 0.25,
    [Urgency.Overdue]: 0.1,
    [Urgency.BeyondShare]: 0.1,
};

/** Time over which arrivals are counted to notice the beginning of a burst, in milliseconds. */
const arrivalWindowMs = 1500;
/** Arrivals in that time from which they count as a burst and not as chance. */
const burstJobs = 3;
/** Growth that is expected of a burst until VMs that are ordered now can work. */
const burstGrowth = 1;

/** What demand is measured from. */
export interface DemandView {
    readonly jobs: JobRegistry;
    readonly directory: Directory;
    readonly durations: Durations;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
}

interface Sample {
    readonly at: number;
    readonly needs: Resources;
}

/** Measures the demand of pools. */
export class DemandMeter {
    private readonly samples = new Map<string, Sample[]>();
    private readonly spreads = new Map<string, number>();

    static create(): DemandMeter {
        return new DemandMeter();
    }

    /** Takes a sample of all pools. */
    measure({ jobs, directory, durations, now, wallMs }: DemandView): void {
        const queues = new Map(directory.queues.map(queue => [queue.name, queue]));
        const usable = new Map<string, Resources>();
        const arrivals = new Map<string, Arrivals>();
        this.spreads.clear();
        for (const entry of jobs.activeEntries) {
            const queue = queues.get(entry.job.queue);
            if (queue !== undefined) {
                const { pool } = queue;
                const { urgency } = outlookOf({ entry, queue, durations, wallMs });
                const needs = usableNow(jobs, entry);
                usable.set(pool, addResources(usable.get(pool) ?? noResources, needs, demandShare[urgency]));
                if (!entry.isService && wallMs - entry.job.acceptedAtMs < arrivalWindowMs) {
                    arrivals.set(pool, addArrival(arrivals.get(pool), entry, durations));
                }
                this.spreads.set(pool, Math.max(this.spreads.get(pool) ?? 0, spreadOf(entry)));
            }
        }
        for (const pool of directory.pools.keys()) {
            const recent = (this.samples.get(pool) ?? []).filter(({ at }) => now - at < holdMs);
            const needs = largest([usable.get(pool) ?? noResources, expectedOf(arrivals.get(pool))]);
            this.samples.set(pool, [...recent, { at: now, needs }]);
        }
    }

    /** What a pool could use at once, as a peak over the last moments. */
    needsOf(pool: string, now: number): Resources {
        const recent = this.samples.get(pool)?.filter(({ at }) => now - at < holdMs) ?? [];
        return largest(recent.map(({ needs }) => needs));
    }

    /** VMs over which a pool's services have to be spread. */
    spreadOf(pool: string): number {
        return this.spreads.get(pool) ?? 0;
    }
}

interface Arrivals {
    readonly jobs: number;
    /** What their tasks take, each amount times the milliseconds that it is taken for. */
    readonly work: Resources;
}

function addArrival(before: Arrivals | undefined, { job }: JobEntry, durations: Durations): Arrivals {
    const work = job.spec.steps.reduce(
        (sum, step) =>
            addResources(sum, step.needs, step.tasks * durations.expect(job.queue, step.estimateMs)),
        before?.work ?? noResources,
    );
    return { jobs: (before?.jobs ?? 0) + 1, work };
}

/** What a burst will keep busy; nothing without a burst. */
function expectedOf(arrivals: Arrivals | undefined): Resources {
    return arrivals === undefined || arrivals.jobs < burstJobs
        ? noResources
        : addResources(noResources, arrivals.work, burstGrowth / arrivalWindowMs);
}

function usableNow(jobs: JobRegistry, entry: JobEntry): Resources {
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

function largest(amounts: readonly Resources[]): Resources {
    return {
        cpu: Math.max(0, ...amounts.map(({ cpu }) => cpu)),
        memory: Math.max(0, ...amounts.map(({ memory }) => memory)),
        accelerators: Math.max(0, ...amounts.map(({ accelerators }) => accelerators)),
    };
}

function spreadOf({ isService, job }: JobEntry): number {
    if (!isService) {
        return 0;
    }
    const spreads = job.spec.steps.map(({ tasks, perWorker }) =>
        perWorker === 0 ? 0 : Math.ceil(tasks / perWorker)
    );
    return Math.max(0, ...spreads);
}
