/**
 * How much work each pool could do at once, held for a moment so that VMs are not sent away between two jobs. Work
 * that is late already counts little: it is worth a fraction and can fill the trough after a burst.
 */
import type { Directory } from "../version/directory.js";
import type { Durations } from "./durations.js";
import type { JobBook, JobEntry } from "./job-book.js";
import { outlookOf, Urgency } from "./urgency.js";

/** How long a peak of demand is remembered, in milliseconds. */
const holdMs = 2000;

/** Share of a job's demand that counts, by its urgency. */
const demandShare: Readonly<Record<Urgency, number>> = {
    [Urgency.Service]: 1,
    [Urgency.OnTime]: 1,
    [Urgency.Late]: 0.25,
    [Urgency.Overdue]: 0.1,
    [Urgency.BeyondShare]: 0.1,
};

/** Time over which arrivals are counted to notice the beginning of a burst, in milliseconds. */
const arrivalWindowMs = 1000;
/** Arrivals in that time from which they count as a burst and not as chance. */
const burstJobs = 3;
/** Growth that is expected of a burst until VMs that are ordered now can work. */
const burstGrowth = 1.2;

/** What demand is measured from. */
export interface DemandView {
    readonly jobs: JobBook;
    readonly directory: Directory;
    readonly durations: Durations;
    /** Monotonic time, in milliseconds. */
    readonly now: number;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
}

interface Sample {
    readonly at: number;
    readonly cpu: number;
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
        const cpu = new Map<string, number>();
        const arrivals = new Map<string, Arrivals>();
        this.spreads.clear();
        for (const entry of jobs.activeEntries) {
            const queue = queues.get(entry.job.queue);
            if (queue !== undefined) {
                const { pool } = queue;
                const { urgency } = outlookOf({ entry, queue, durations, wallMs });
                cpu.set(pool, (cpu.get(pool) ?? 0) + usableCpu(jobs, entry) * demandShare[urgency]);
                if (!entry.isService && wallMs - entry.job.acceptedAtMs < arrivalWindowMs) {
                    arrivals.set(pool, addArrival(arrivals.get(pool), entry, durations));
                }
                this.spreads.set(pool, Math.max(this.spreads.get(pool) ?? 0, spreadOf(entry)));
            }
        }
        for (const pool of directory.pools.keys()) {
            const recent = (this.samples.get(pool) ?? []).filter(({ at }) => now - at < holdMs);
            const usable = Math.max(cpu.get(pool) ?? 0, expectedCpu(arrivals.get(pool)));
            this.samples.set(pool, [...recent, { at: now, cpu: usable }]);
        }
    }

    /** Thousandths of a core that a pool could use, as a peak over the last moments. */
    cpuOf(pool: string, now: number): number {
        const recent = this.samples.get(pool)?.filter(({ at }) => now - at < holdMs) ?? [];
        return Math.max(0, ...recent.map(({ cpu }) => cpu));
    }

    /** VMs over which a pool's services have to be spread. */
    spreadOf(pool: string): number {
        return this.spreads.get(pool) ?? 0;
    }
}

interface Arrivals {
    readonly jobs: number;
    /** Thousandths of a core, for a millisecond each. */
    readonly work: number;
}

function addArrival(before: Arrivals | undefined, { job }: JobEntry, durations: Durations): Arrivals {
    const work = job.spec.steps.reduce(
        (sum, step) => sum + step.tasks * step.needs.cpu * durations.expect(job.queue, step.estimateMs),
        0,
    );
    return { jobs: (before?.jobs ?? 0) + 1, work: (before?.work ?? 0) + work };
}

/** Thousandths of a core that a burst will keep busy; 0 without a burst. */
function expectedCpu(arrivals: Arrivals | undefined): number {
    return arrivals === undefined || arrivals.jobs < burstJobs
        ? 0
        : arrivals.work / arrivalWindowMs * burstGrowth;
}

function usableCpu(jobs: JobBook, entry: JobEntry): number {
    let cpu = 0;
    const { steps } = entry.job.spec;
    for (const at of jobs.openTasks(entry)) {
        const step = steps[entry.state.tasks[at]!.step]!;
        cpu += step.isBestEffort ? 0 : step.needs.cpu;
    }
    for (const task of entry.runs === 0 ? [] : entry.state.tasks) {
        const step = steps[task.step]!;
        cpu += task.worker !== "" && !step.isBestEffort ? step.needs.cpu : 0;
    }
    return cpu;
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
