/** Periodic checks of runs and jobs: expired leases, stalled runs, pacing of best-effort runs, due occurrences. */
import {
    exceedsLossLimit,
    isHeld,
    isSameIncarnation,
    RunEnd,
    taskName,
    type WorkerLoss,
} from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import { componentwiseMax, noResources } from "../process/resources.js";
import type { AdvisedWorker, AdvisedWorkers, WaitingStep } from "./advice-cache.js";
import { JobFeasibility } from "./job-feasibility.js";
import { openSteps } from "./open-steps.js";
import { planPaceChanges } from "./pacing.js";
import { isSchedulable } from "./plan-starts.js";
import { type RunRecord, StartStatus, StopReason } from "./records.js";
import type { RunDispatcher } from "./run-dispatcher.js";
import { leaseEndOf } from "./run-leases.js";
import { suspectWorkerPauseMs, targetOf, type TenureContext } from "./tenure-context.js";
import { Liveness } from "./worker-liveness.js";
import { freeResources, type WorkerState } from "./worker-registry.js";

/** Time without progress after which a run counts as stalled. Progress reports arrive about once a second. */
const stallTimeoutMs = 2500;
/** Multiple of its expected duration before which a run never counts as stalled. */
const stallDurationFactor = 2.5;
/**
 * Share of its expected duration by which that time is longer for a run whose start is not known: a run that makes progress
 * reports another percent well within it.
 */
const inheritedStallShare = 0.1;
/** Time at work after which a run shows that its task does not end the workers that start it. */
const harmlessAfterMs = 60_000;
/** Shortest time between two log lines about runs whose workers do not answer. */
const leaseEndLogIntervalMs = 1000;

/** Monitors the runs of a domain. */
export class RunMonitor {
    private leaseEndLoggedAt = -Infinity;
    private readonly feasibility: JobFeasibility;

    constructor(private readonly ctx: TenureContext, private readonly dispatcher: RunDispatcher) {
        this.feasibility = new JobFeasibility(ctx);
    }

    /** Checks all runs and active jobs. */
    check(): void {
        if (!this.ctx.isActive || !this.ctx.isReady) {
            return;
        }
        const { timer } = this.ctx.options;
        const now = timer.now();
        this.endRunsOnLostWorkers(now);
        this.clearHarmlessRuns(now);
        this.giveUpHeldTasks(now);
        for (const record of [...this.ctx.jobs.runs.values()]) {
            this.checkRun(record, now);
        }
        this.ctx.outliers?.check(this.ctx.workers.byId.values());
        const directory = this.ctx.options.directory();
        for (const entry of this.ctx.jobs.activeEntries) {
            if (entry.job.spec.schedule !== undefined) {
                this.ctx.jobs.addDueOccurrences(entry, timer.wall());
            }
            this.feasibility.check(entry, directory);
        }
        this.logRunsAwaitingLeaseEnd(now);
        this.requestAdvice();
        this.ctx.requestRound();
    }

    /** Adjusts the speed of best-effort runs that share a worker with a service near its tail latency target. */
    adjustPaces(): void {
        if (!this.ctx.isActive || !this.ctx.mayOrder()) {
            return;
        }
        for (const worker of this.ctx.workers.byId.values()) {
            if (worker.runs.size > 0 && worker.isReachable) {
                for (const { record, percent } of planPaceChanges([...worker.runs.values()])) {
                    this.sendPace(worker, record, percent);
                }
            }
        }
    }

    /** Ends the runs of workers whose leases have ended without an answer. */
    private endRunsOnLostWorkers(now: number): void {
        const evidence = {
            times: this.ctx.options.times,
            isListComplete: this.ctx.liveness.isListComplete,
        };
        for (const worker of this.ctx.workers.byId.values()) {
            if (!worker.isReachable && worker.runs.size > 0 && now >= worker.lease.latestEnd()) {
                const lost = [...worker.runs.values()].filter(record =>
                    record.start !== StartStatus.Recorded && !mayStartLate(record, worker)
                    && now >= leaseEndOf(record, worker, evidence)
                );
                this.dispatcher.applyEnds(
                    lost.map(record => ({ record, outcome: RunEnd.WorkerLost, saved: "" })),
                );
            }
        }
    }

    /** Clears the losses of tasks that have been at work long enough. */
    private clearHarmlessRuns(now: number): void {
        for (const { runsAfterLosses } of this.ctx.workers.byId.values()) {
            for (const record of runsAfterLosses) {
                if (record.start === StartStatus.Confirmed && now - record.startedAt >= harmlessAfterMs) {
                    runsAfterLosses.delete(record);
                    this.ctx.jobs.losses.forgetAllOf(record);
                }
            }
        }
    }

    /** Gives up the tasks that are held and whose lost workers are known to have ended by now. */
    private giveUpHeldTasks(now: number): void {
        const { jobs, liveness, options } = this.ctx;
        const undecided: WorkerLoss[] = [];
        const held = jobs.losses.heldTasks();
        // Those that are alive and do not answer are not taken off by an answer.
        held.flatMap(({ entry, position }) => entry.state.tasks.at(position).lostWorkers)
            .filter(lost => liveness.of(lost) === Liveness.Alive)
            .forEach(alive => jobs.losses.forgetWorker(alive));
        for (const { entry, position } of held) {
            const task = entry.state.tasks.at(position);
            if (!isHeld(entry.job, task)) {
                continue;
            }
            const { isService } = entry.job.spec.steps[task.step]!;
            const ended = task.lostWorkers.filter(lost => liveness.of(lost) === Liveness.Ended);
            const waitsForOther = task.lostWorkers.some(lost =>
                undecided.some(other => isSameIncarnation(lost, other))
            );
            if (waitsForOther || !exceedsLossLimit(ended, isService)) {
                undecided.push(...task.lostWorkers);
                continue;
            }
            jobs.giveUp(entry, position, now);
            options.log.write(Severity.Warn, EventId.TaskGivenUp, {
                task: taskName({ ...task, job: entry.job.id }),
                lostWorkers: task.lostWorkers.length,
                endedWorkers: ended.length,
                phase: entry.state.phase,
            });
        }
    }

    private checkRun(record: RunRecord, now: number): void {
        const worker = this.ctx.workers.workerOf(record);
        if (record.start === StartStatus.Recorded) {
            return;
        }
        if (record.stopReason === undefined && this.isStalled(record, now)) {
            record.stopReason = StopReason.Stalled;
            if (this.ctx.outliers === undefined) {
                worker.backoffUntil = Math.max(worker.backoffUntil, now + suspectWorkerPauseMs);
            }
            else {
                this.ctx.outliers.recordStalled(record, worker);
            }
            record.entry.failedWorkers.set(
                record.position,
                (record.entry.failedWorkers.get(record.position) ?? new Set()).add(worker.id),
            );
            this.ctx.options.log.write(Severity.Warn, EventId.RunStalled, {
                task: record.name,
                run: record.run,
                worker: worker.id,
                percent: record.progressPercent,
            });
        }
        this.dispatcher.sendStop(record);
    }

    private logRunsAwaitingLeaseEnd(now: number): void {
        if (now - this.leaseEndLoggedAt < leaseEndLogIntervalMs) {
            return;
        }
        const runs = this.ctx.runsAwaitingLeaseEnd;
        if (runs.length === 0) {
            return;
        }
        this.leaseEndLoggedAt = now;
        const workers = new Set(runs.map(record => this.ctx.workers.workerOf(record)));
        const lastEnd = Math.max(...[...workers].map(({ lease }) => lease.latestEnd()));
        this.ctx.options.log.write(Severity.Info, EventId.RunsAwaitLeaseEnd, {
            runs: runs.length,
            services: runs.filter(({ step }) => step.isService).length,
            inherited: runs.filter(({ start }) => start === StartStatus.Inherited).length,
            workers: workers.size,
            endsInMs: Math.round(lastEnd - now),
            tenureMs: Math.round(this.ctx.ageMs),
            fence: this.ctx.fence,
        });
    }

    private isStalled(record: RunRecord, now: number): boolean {
        const { entry, step, start, progressedAt: percentAt, pacePercent: pace, isInherited } = record;
        if (start !== StartStatus.Confirmed || step.isBestEffort || pace < 100 || step.isGang) {
            return false;
        }
        if (step.isService) {
            return false;
        }
        const expected = this.ctx.durations.estimate(entry.job.queue, step.estimateMs);
        const ageMs = isInherited ? this.ctx.clock.wallMs() - entry.job.acceptedAtMs : now - record.startedAt;
        return ageMs > stallDurationFactor * expected + stallTimeoutMs
            && now - percentAt > stallTimeoutMs + (isInherited ? inheritedStallShare * expected : 0);
    }

    private sendPace(worker: WorkerState, record: RunRecord, percent: number): void {
        const before = record.pacePercent;
        record.pacePercent = percent;
        const { calls, log } = this.ctx.options;
        void calls.pace(targetOf(worker), record.name, record.run, percent, worker.fence).then(result => {
            if (result.kind === "failed") {
                record.pacePercent = before;
            }
            log.write(Severity.Info, EventId.RunPaced, {
                task: record.name,
                worker: worker.id,
                percent,
                result: result.kind,
            });
        });
    }

    private requestAdvice(): void {
        this.ctx.advice.requestMissing(this.stepsAwaitingAdvice(), () => this.ctx.requestRound());
    }

    private *stepsAwaitingAdvice(): Generator<WaitingStep> {
        const { options, jobs, workers } = this.ctx;
        const now = options.timer.now();
        const poolByQueue = new Map(
            options.directory()?.queues.filter(({ needsAdvice }) => needsAdvice).map((
                { name, pool },
            ) => [name, pool]),
        );
        if (poolByQueue.size === 0) {
            return;
        }
        const groups = new Map<string, AdvisedWorkers>();
        for (const entry of jobs.activeEntries) {
            const pool = poolByQueue.get(entry.job.queue);
            for (const open of pool === undefined ? [] : openSteps(entry)) {
                const { label } = open.step;
                const key = `${pool}/${label ?? ""}`;
                const group = groups.get(key) ?? advisedWorkers(workers.byId.values(), { pool, label, now });
                groups.set(key, group);
                yield { entry, open, workers: group };
            }
        }
    }
}

/** The listed workers of a pool, of those alone that have the label if there is one. */
function advisedWorkers(
    workers: Iterable<WorkerState>,
    { pool, label, now }: {
        readonly pool: string | undefined;
        readonly label: string | undefined;
        readonly now: number;
    },
): AdvisedWorkers {
    const byId = new Map<string, AdvisedWorker>();
    for (const worker of workers) {
        const { id, startedAtMs, isListed, listed } = worker;
        if (isListed && listed.pool === pool && (label === undefined || listed.labels.includes(label))) {
            const free = isSchedulable(worker, now) ? freeResources(worker) : noResources;
            byId.set(id, { id, startedAtMs, free });
        }
    }
    return { byId, largestFree: componentwiseMax([...byId.values()].map(({ free }) => free)) };
}

/**
 * Whether a start request to an earlier incarnation may still be executed by the present one. It has its own clock, so the
 * request's lease end does not stop it; only a higher fence does.
 */
function mayStartLate({ start, workerIncarnation }: RunRecord, worker: WorkerState): boolean {
    return start !== StartStatus.Confirmed && worker.isListed && !worker.hasAcceptedFence
        && worker.startedAtMs !== workerIncarnation;
}
