/** How much work each pool could do at once, held for a moment so that VMs are not sent away between two jobs. */
import type { Directory } from "../version/directory.js";
import type { JobBook, JobEntry } from "./job-book.js";

/** How long a peak of demand is remembered, in milliseconds. */
const holdMs = 2000;

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
    measure(jobs: JobBook, directory: Directory, now: number): void {
        const pools = new Map(directory.queues.map(queue => [queue.name, queue.pool]));
        const cpu = new Map<string, number>();
        this.spreads.clear();
        for (const entry of jobs.activeEntries) {
            const pool = pools.get(entry.job.queue);
            if (pool !== undefined) {
                cpu.set(pool, (cpu.get(pool) ?? 0) + usableCpu(jobs, entry));
                this.spreads.set(pool, Math.max(this.spreads.get(pool) ?? 0, spreadOf(entry)));
            }
        }
        for (const pool of directory.pools.keys()) {
            const recent = (this.samples.get(pool) ?? []).filter(({ at }) => now - at < holdMs);
            this.samples.set(pool, [...recent, { at: now, cpu: cpu.get(pool) ?? 0 }]);
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
