/**
 * Looks at jobs that do not start: those that can never run are failed, and it is logged why others wait. Only what cannot change
 * ends an accepted job. What the lists say (limits, queues, keys) may change, so it defers a job.
 */
import { EventId, Severity } from "../process/events.js";
import { addResources, isWithinLimit, noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";
import { openSteps } from "./open-steps.js";
import type { JobEntry } from "./records.js";
import type { TenureContext } from "./tenure-context.js";

/** Checks whether the jobs of a domain can be started. */
export class JobFeasibility {
    /** Version of the lists for which it was logged that a job exceeds the limit of its account. */
    private readonly limitLoggedAt = new WeakMap<JobEntry, number>();

    constructor(private readonly ctx: TenureContext) {}

    /** Checks a job that is not final. */
    check(entry: JobEntry, directory: Directory | undefined): void {
        if (!entry.hasStarted) {
            this.failIfImpossible(entry);
        }
        if (entry.runCount === 0 && directory !== undefined) {
            this.logIfBeyondLimit(entry, directory);
        }
    }

    /**
     * Fails a job of which a step exceeds every worker. That is known once this owner has read all workers and the VMs of all
     * pools, whose capacities and labels stay: until then, one that can run it may be on its way or in the spare pool.
     */
    private failIfImpossible(entry: JobEntry): void {
        const { jobs, workers, options } = this.ctx;
        for (const [index, step] of entry.job.spec.steps.entries()) {
            if (!workers.couldEverRun(step) && this.knowsAllShapes) {
                this.logImpossible(entry, index);
                jobs.fail(entry, "no-worker-can-run-it", options.timer.now());
            }
        }
    }

    private get knowsAllShapes(): boolean {
        return this.ctx.liveness.isListComplete && this.ctx.workers.inventoryReadAt > -Infinity;
    }

    private logImpossible({ job }: JobEntry, index: number): void {
        const { workers, liveness, options, ageMs, fence } = this.ctx;
        const { label, needs } = job.spec.steps[index]!;
        options.log.write(Severity.Warn, EventId.JobImpossible, {
            job: job.id,
            queue: job.queue,
            step: index,
            label,
            ...needs,
            shapes: workers.shapeCount,
            workers: workers.byId.size,
            listAgeMs: Math.round(liveness.listAgeMs),
            inventoryAgeMs: Math.round(options.timer.now() - workers.inventoryReadAt),
            tenureMs: Math.round(ageMs),
            fence,
        });
    }

    /** Logs, once for each version of the lists, that a task or gang of a job exceeds the limit of its account by itself. */
    private logIfBeyondLimit(entry: JobEntry, { version, teams }: Directory): void {
        const { jobs, knownLists, options } = this.ctx;
        const { job } = entry;
        const limit = knownLists.limitOf(job.team);
        if (limit === noResources || this.limitLoggedAt.get(entry) === version) {
            return;
        }
        const exceeding = openSteps(entry).find(({ step: { needs, isGang, tasks } }) =>
            !isWithinLimit(addResources(noResources, needs, isGang ? tasks : 1), limit)
        );
        if (exceeding === undefined) {
            return;
        }
        this.limitLoggedAt.set(entry, version);
        options.log.write(Severity.Warn, EventId.JobBeyondLimit, {
            job: job.id,
            team: job.team,
            step: exceeding.index,
            gangTasks: exceeding.step.isGang ? exceeding.step.tasks : undefined,
            needs: describe(exceeding.step.needs),
            limit: describe(limit),
            usage: describe(jobs.usage.of(job.team)),
            serviceUsage: describe(jobs.usage.ofServices(job.team)),
            isTeamListed: teams.has(job.team),
            hasStarted: entry.hasStarted,
            lists: version,
        });
    }
}

/** Amounts as in the lists: thousandths of a core, megabytes, accelerators. */
function describe({ cpu, memory, accelerators }: Resources): string {
    return `${cpu}/${memory}/${accelerators}`;
}
