/**
 * Which jobs are large for their queue. Callers' queues mix jobs of one task with jobs of dozens, and what is large differs from queue
 * to queue, so that the jobs themselves are the measure.
 */
import type { JobEntry } from "../records.js";

/** Fraction of a queue's jobs that are not large. */
const smallShare = 0.7;
/** Number of the latest jobs of a queue that are compared. */
const comparedJobs = 200;
/** Number of jobs below which none is large. */
const minJobs = 10;

interface QueueSizes {
    /** Work of the latest jobs by id, in CPU milliseconds. */
    readonly workByJob: Map<string, number>;
    /** Work from which a job is large; undefined after a change. */
    threshold: number | undefined;
}

/** Remembers the sizes of each queue's latest jobs. */
export class JobSizes {
    private readonly queues = new Map<string, QueueSizes>();

    static create(): JobSizes {
        return new JobSizes();
    }

    /** Adds a job, once. */
    record(entry: JobEntry): void {
        const { id, queue } = entry.job;
        const sizes = this.queues.get(queue)
            ?? { workByJob: new Map<string, number>(), threshold: undefined };
        this.queues.set(queue, sizes);
        if (!entry.isService && !sizes.workByJob.has(id)) {
            sizes.workByJob.set(id, workOf(entry));
            sizes.threshold = undefined;
            if (sizes.workByJob.size > comparedJobs) {
                const [oldest] = sizes.workByJob.keys();
                sizes.workByJob.delete(oldest!);
            }
        }
    }

    /** Whether a job is among the largest three tenths of its queue's latest jobs; none is where all are equal. */
    isLarge(entry: JobEntry): boolean {
        const sizes = this.queues.get(entry.job.queue);
        if (sizes === undefined || sizes.workByJob.size < minJobs) {
            return false;
        }
        const sorted = (): readonly number[] => [...sizes.workByJob.values()].sort((a, b) => a - b);
        sizes.threshold ??= sorted()[Math.floor(sizes.workByJob.size * smallShare)]!;
        return (sizes.workByJob.get(entry.job.id) ?? workOf(entry)) > sizes.threshold;
    }
}

/**
 * Work of all tasks of a job, done or not, in CPU milliseconds, by the caller's estimate: the owner's estimates change with each run, so that
 * equal jobs would differ.
 */
function workOf({ job }: JobEntry): number {
    return job.spec.steps.reduce(
        (sum, step) => sum + step.tasks * step.needs.cpu * Math.max(1, step.estimateMs),
        0,
    );
}
