/** Tells the verdicts on workers of the runs of a tenure, and what each worker may be given because of them. */
import { RunEnd } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import { addResources, type Resources } from "../process/resources.js";
import type { Timer } from "../process/timer.js";
import { type RunRecord, StartStatus } from "./records.js";
import { Verdict } from "./scheduling/worker-score.js";
import { type JudgedRun, type JudgedWorker, WorkerVerdicts } from "./scheduling/worker-verdicts.js";
import { freeResources, type WorkerState } from "./worker-registry.js";

/** Options of `WorkerOutliers.create`. */
export interface WorkerOutliersOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** What a suspected worker may be given in one plan. */
export interface WorkerLimit {
    /** Number of runs that may be started; infinite for a worker that gets less work only. */
    readonly maxStarts: number;
    /** Share of its capacity that may be used, from 0 to 1. */
    readonly usableShare: number;
}

/** Estimate for a run whose caller gave none, in milliseconds. */
const defaultEstimateMs = 1000;
/** Time at work after which a run of a service counts as one that succeeded, in milliseconds. */
const serviceProofMs = 5000;
const reducedShare = 0.5;
/**
 * Longest time between two answers of a worker after which the run time of a run that ended between them is known well enough.
 * A hold takes 1.2 s, and waits up to 0.8 s for the store before.
 */
const maxAnswerGapMs = 2000;

/** Outlier detection of a tenure. */
export class WorkerOutliers {
    /** Verdicts, which the next owner inherits. */
    readonly verdicts: WorkerVerdicts;
    /** Runs that were judged before their end: as failed or sound, and as slow. */
    private readonly judgedRuns = new WeakSet<RunRecord>();
    private readonly slowRuns = new WeakSet<RunRecord>();

    private constructor(private readonly options: WorkerOutliersOptions) {
        this.verdicts = WorkerVerdicts.create(() => options.timer.now());
    }

    static create(options: WorkerOutliersOptions): WorkerOutliers {
        return new WorkerOutliers(options);
    }

    /** Records the end of a run at the monotonic time `now`. Ends that neither task nor worker caused are no evidence. */
    recordEnd(record: RunRecord, worker: WorkerState, outcome: RunEnd, now: number): void {
        switch (outcome) {
            case RunEnd.Done:
                if (!this.judgedRuns.has(record)) {
                    this.verdicts.recordSuccess(judgedRunOf(record, worker));
                }
                if (this.isRunTimeKnown(record, worker, now)) {
                    this.verdicts.recordRunTime(judgedRunOf(record, worker), ratioOf(record, now));
                }
                return;
            case RunEnd.Failed:
                if (!this.judgedRuns.has(record) || record.step.isService) {
                    this.verdicts.recordFailure(judgedRunOf(record, worker));
                }
                return;
            case RunEnd.Stopped:
            case RunEnd.Lapsed:
            case RunEnd.GangBroken:
            case RunEnd.GangIncomplete:
            case RunEnd.Lost:
            case RunEnd.WorkerLost:
                return;
        }
    }

    /** Records that a run makes no progress and is stopped. */
    recordStalled(record: RunRecord, worker: WorkerState): void {
        this.judgedRuns.add(record);
        this.verdicts.recordFailure(judgedRunOf(record, worker));
    }

    /** Judges the runs at work, and updates the verdicts. */
    check(workers: Iterable<WorkerState>): void {
        const listed: JudgedWorker[] = [];
        for (const worker of workers) {
            if (worker.isListed) {
                listed.push(judgedWorkerOf(worker));
            }
            for (const record of worker.runs.values()) {
                this.checkRun(record, worker);
            }
        }
        for (const { from, to, ...fields } of this.verdicts.update(listed)) {
            const severity = to === Verdict.Ejected ? Severity.Warn : Severity.Info;
            this.options.log.write(severity, EventId.WorkerVerdictChanged, { from, to, ...fields });
            this.options.metrics.count("celerywind_worker_verdicts_total", { verdict: to });
        }
    }

    /** Limit on what a worker may be given now; undefined if it is trusted. */
    limitOf(worker: WorkerState): WorkerLimit | undefined {
        switch (this.verdicts.verdictOf(worker)) {
            case Verdict.Trusted:
                return undefined;
            case Verdict.Reduced:
                return { maxStarts: Infinity, usableShare: reducedShare };
            case Verdict.Trial: {
                const since = this.verdicts.trialSince(worker);
                const hasTrialRun = [...worker.runs.values()].some(({ claimedAt }) => claimedAt >= since);
                return { maxStarts: hasTrialRun ? 0 : 1, usableShare: 1 };
            }
            case Verdict.Ejected:
                return { maxStarts: 0, usableShare: 0 };
        }
    }

    private isRunTimeKnown(record: RunRecord, worker: WorkerState, now: number): boolean {
        const lastKnownAt = Math.max(record.startedAt, worker.lastHoldAt);
        return !record.isInherited && !this.slowRuns.has(record) && now - lastKnownAt <= maxAnswerGapMs
            && hasComparableRunTime(record, worker);
    }

    /** Judges a run by the time that it had been at work when its worker last answered. */
    private checkRun(record: RunRecord, worker: WorkerState): void {
        if (record.start !== StartStatus.Confirmed || record.stopReason !== undefined) {
            return;
        }
        const at = worker.lastHoldAt;
        if (record.step.isService) {
            if (at - record.startedAt >= serviceProofMs && !this.judgedRuns.has(record)) {
                this.judgedRuns.add(record);
                this.verdicts.recordSuccess(judgedRunOf(record, worker));
            }
            return;
        }
        if (!this.slowRuns.has(record) && hasComparableRunTime(record, worker)) {
            const limit = this.verdicts.slowRatio(record.entry.job.queue);
            if (limit !== undefined && ratioOf(record, at) > limit) {
                this.slowRuns.add(record);
                this.verdicts.recordSlow(judgedRunOf(record, worker));
            }
        }
    }
}

/** Whether the run time of a run depends on its task and worker alone. */
function hasComparableRunTime({ step, pacePercent }: RunRecord, { listed }: WorkerState): boolean {
    return !step.isService && !step.isBestEffort && !step.isGang && pacePercent >= 100
        && (listed.coldForMs ?? 0) <= 0;
}

/** Time at work of a run as a multiple of its estimate; a lower bound for an inherited run. */
function ratioOf({ startedAt, step }: RunRecord, now: number): number {
    return (now - startedAt) / (step.estimateMs > 0 ? step.estimateMs : defaultEstimateMs);
}

function judgedRunOf(record: RunRecord, worker: WorkerState): JudgedRun {
    const { job } = record.entry;
    const { name: task, claimedAt } = record;
    return { worker: judgedWorkerOf(worker), queue: job.queue, job: job.id, task, claimedAt };
}

function judgedWorkerOf({ id, listed, startedAtMs }: WorkerState): JudgedWorker {
    return { id, pool: listed.pool, startedAtMs };
}

/** Free resources of a worker within the usable share of its capacity. */
export function limitedResources(worker: WorkerState, { usableShare }: WorkerLimit): Resources {
    return addResources(freeResources(worker), worker.listed.capacity, usableShare - 1);
}
