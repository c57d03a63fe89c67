/**
 * Attributes failures to the worker or to the task.
 *
 * Load pattern: a job that can never run fails on every worker that starts its tasks, often several of them on one worker at
 * once, while a faulty worker fails tasks that succeed elsewhere. A failure counts against its worker at once if nothing
 * points to the task; it is withdrawn when the task or its job fails on other workers, too, and counts again when the task
 * succeeds.
 */

/** Evidence for or against a worker, to be added to its score. */
export interface Evidence {
    readonly worker: string;
    /** Unix time at which that incarnation of the worker started, in milliseconds. */
    readonly startedAtMs: number;
    readonly amount: number;
}

/** A failed run. */
export interface FailedRun extends Evidence {
    readonly task: string;
    readonly job: string;
}

interface Attribution extends FailedRun {
    /** Whether the amount has been added to the worker's score. */
    isCounted: boolean;
}

interface JobFailures {
    readonly attributions: Attribution[];
    readonly workers: Set<string>;
    /** Monotonic time of the last failure, in milliseconds. */
    lastAt: number;
}

/** Number of workers on which tasks of one job have failed from which the job is taken for the cause. */
const maxWorkersPerJob = 3;
/** Time in milliseconds for which a failed task may succeed later; the retries of a task take a few seconds. */
const retentionMs = 30_000;
/** Most jobs with failures that are remembered, so that a failing queue does not use up the memory. */
const maxJobs = 2000;

/** Failures of the last 30 s by job. */
export class FailureAttribution {
    private readonly jobs = new Map<string, JobFailures>();

    static create(): FailureAttribution {
        return new FailureAttribution();
    }

    /** Records a failure at the monotonic time `now`; returns the evidence to add, negative where it is withdrawn. */
    recordFailure(run: FailedRun, now: number): readonly Evidence[] {
        this.forgetOld(now);
        const failures = this.jobs.get(run.job)
            ?? { attributions: [], workers: new Set<string>(), lastAt: now };
        this.jobs.delete(run.job);
        this.jobs.set(run.job, failures);
        failures.lastAt = now;
        const ofTask = failures.attributions.filter(({ task }) => task === run.task);
        const isFirstOnWorker = !failures.workers.has(run.worker);
        failures.workers.add(run.worker);
        const isJobAtFault = failures.workers.size >= maxWorkersPerJob;
        const isCounted = ofTask.length === 0 && isFirstOnWorker && !isJobAtFault;
        const withdrawn = isJobAtFault
            ? failures.attributions
            : ofTask.some(({ worker }) => worker !== run.worker)
            ? ofTask
            : [];
        const evidence = withdrawn.flatMap(attribution =>
            attribution.isCounted ? [withdraw(attribution)] : []
        );
        failures.attributions.push({ ...run, isCounted });
        return isCounted ? [...evidence, run] : evidence;
    }

    /** Records the success of a task, which shows that its earlier failures were due to their workers. */
    recordSuccess(job: string, task: string): readonly Evidence[] {
        const failures = this.jobs.get(job);
        const ofTask =
            failures?.attributions.filter(attribution => attribution.task === task && !attribution.isCounted)
                ?? [];
        ofTask.forEach(attribution => {
            attribution.isCounted = true;
        });
        return ofTask;
    }

    private forgetOld(now: number): void {
        for (const [job, { lastAt }] of this.jobs) {
            if (now - lastAt < retentionMs && this.jobs.size < maxJobs) {
                return;
            }
            this.jobs.delete(job);
        }
    }
}

function withdraw(attribution: Attribution): Evidence {
    attribution.isCounted = false;
    return { ...attribution, amount: -attribution.amount };
}
