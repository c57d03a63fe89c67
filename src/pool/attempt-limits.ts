/**
 * How often the tasks of a job may fail before the job does. Only the lists in force tell, and only while they name the job's queue:
 * neither an owner's memory nor a stored number shows whether a version in between has said otherwise, and a failed job stays
 * failed. While its queue is left out, no task of a job is started, so the verdict can wait until the queue is back.
 */
import { attemptsExhausted, findExhaustedTask, taskName } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import type { Directory } from "../version/directory.js";
import { type JobEntry, type RunRecord, taskOf } from "./records.js";
import type { TenureContext } from "./tenure-context.js";

/** Verdicts on jobs whose tasks fail. */
export class AttemptLimits {
    private maxAttempts: ReadonlyMap<string, number> = new Map();
    /** The lists that `maxAttempts` is from. */
    private recorded: Directory | undefined;
    /** The lists by which all jobs were checked last. */
    private enforced: Directory | undefined;

    constructor(private readonly ctx: TenureContext) {}

    /** Number of failed runs of a task at which the job fails; infinite while the lists in force do not name its queue. */
    maxFailuresOf({ job }: JobEntry): number {
        const directory = this.ctx.options.directory();
        if (directory !== this.recorded) {
            this.recorded = directory;
            this.maxAttempts = new Map(
                directory?.queues.map(({ name, maxAttempts }) => [name, maxAttempts]),
            );
        }
        return this.maxAttempts.get(job.queue) ?? Infinity;
    }

    /** Whether the task of a claimed run has failed as often as it may, by lists that are newer than the claim. */
    isExhausted(record: RunRecord): boolean {
        return taskOf(record).failures >= this.maxFailuresOf(record.entry);
    }

    /**
     * Fails the jobs of which a waiting task has failed as often as newer lists allow; has to be called before tasks are placed by
     * these lists.
     */
    enforce(directory: Directory): void {
        if (directory === this.enforced) {
            return;
        }
        this.enforced = directory;
        const { jobs, options, fence, ageMs } = this.ctx;
        for (const entry of jobs.activeEntries) {
            const maxFailures = this.maxFailuresOf(entry);
            const position = findExhaustedTask(entry.state, { maxFailures });
            if (position !== undefined) {
                const task = entry.state.tasks.at(position);
                options.log.write(Severity.Warn, EventId.AttemptsExhausted, {
                    task: taskName({ job: entry.job.id, ...task }),
                    queue: entry.job.queue,
                    failures: task.failures,
                    maxFailures,
                    lists: directory.version,
                    tenureMs: Math.round(ageMs),
                    fence,
                });
                jobs.fail(entry, attemptsExhausted, options.timer.now());
            }
        }
    }
}
