/** Starts and stops runs on workers, and applies their ends. */
import { RunEnd, TaskPhase } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import { intendedIncarnation } from "./foreign-answers.js";
import { isAcceptingRuns, mayFill } from "./plan-starts.js";
import type { EndedRun, StartRequest } from "./ports.js";
import type { ConfirmedEnd } from "./reconcile.js";
import {
    isTested,
    type JobEntry,
    lossesOf,
    type RunRecord,
    StartStatus,
    StopReason,
    taskOf,
} from "./records.js";
import { recordStartSent } from "./run-leases.js";
import { attributeEnd } from "./run-losses.js";
import { updateStatistics } from "./run-statistics.js";
import { RunStopper } from "./run-stopper.js";
import { StartQueue } from "./start-queue.js";
import { isAnswer, StartResults } from "./start-results.js";
import { queueOf, targetOf, type TenureContext } from "./tenure-context.js";
import { Liveness } from "./worker-liveness.js";
import type { WorkerState } from "./worker-registry.js";

/** Sends the owner's start and stop requests for runs. */
export class RunDispatcher {
    private readonly queue: StartQueue;
    private readonly stopper: RunStopper;
    private readonly startResults: StartResults;

    constructor(private readonly ctx: TenureContext, probeWorker: (worker: WorkerState) => void) {
        this.queue = StartQueue.create(ctx.options);
        this.stopper = new RunStopper(ctx, probeWorker);
        this.startResults = new StartResults(ctx, {
            probeWorker,
            applyEnd: end => this.applyEnd(end),
            sendStop: record => this.sendStop(record),
        });
    }

    /** Number of claimed runs that are not started yet. */
    get queuedStartCount(): number {
        return this.queue.length;
    }

    /** Adds a claimed run, to be started once its record is stored. */
    enqueueStart(record: RunRecord): void {
        this.ctx.workers.addRun(record);
        this.queue.add(record);
    }

    /** Starts the claimed runs of jobs whose progress has been stored, as fast as starts are answered. */
    startStoredRuns(stored: ReadonlySet<JobEntry>): void {
        this.queue.recordStored(stored);
        this.sendStarts();
    }

    /** Drops the claimed runs of a job that are not started, since their record cannot be stored. */
    dropUnstarted(entry: JobEntry): void {
        for (const record of [...this.ctx.jobs.runs.values()]) {
            if (record.entry === entry && record.start === StartStatus.Recorded) {
                this.applyEnd({ record, outcome: RunEnd.Lost, saved: "" });
            }
        }
    }

    private sendStarts(): void {
        for (const record of this.queue.takeStartable()) {
            void this.startRun(record);
        }
    }

    /** Stops a run; the first reason given is kept. */
    stop(record: RunRecord, reason: StopReason): void {
        this.stopper.stop(record, reason);
    }

    /** Sends the stop request of a run that has to stop, if it is due and, for a service, its disruption budget allows it. */
    sendStop(record: RunRecord): void {
        this.stopper.sendStop(record);
    }

    /**
     * Applies ends that one worker's response, or the lack of one, has shown. If runs were lost with the worker, those that had
     * not been at work for long are its likelier causes, and of these the one that was started last.
     */
    applyEnds(ends: readonly ConfirmedEnd[]): void {
        ends.filter(({ outcome }) => outcome !== RunEnd.WorkerLost).forEach(end => this.applyEnd(end));
        const lost = ends.filter(({ outcome }) => outcome === RunEnd.WorkerLost)
            .sort((a, b) => b.record.startedAt - a.record.startedAt);
        const causes = new Set(lost.filter(({ record }) => !this.wasTested(record)));
        lost.map(end => attributeEnd(this.ctx, end, causes.size > 0 && !causes.has(end)))
            .forEach(end => this.applyEnd(end));
    }

    /** Whether a run had been at work for long enough when its worker last answered. */
    private wasTested(record: RunRecord): boolean {
        return isTested(record, this.ctx.workers.workerOf(record).lastHoldAt);
    }

    /** Applies the end of a run, and stops the rest of its gang unless it succeeded. */
    applyEnd(end: ConfirmedEnd): void {
        const { record, outcome, saved } = end;
        const { timer, log } = this.ctx.options;
        if (this.ctx.jobs.runs.get(record.name) !== record) {
            return;
        }
        const now = timer.now();
        const worker = this.ctx.workers.workerOf(record);
        updateStatistics(this.ctx, record, outcome, now);
        const gang = outcome === RunEnd.Done ? [] : this.ctx.jobs.otherGangRuns(record);
        this.ctx.workers.removeRun(record);
        this.queue.delete(record);
        const maxFailures = this.ctx.attemptLimits.maxFailuresOf(record.entry);
        this.ctx.jobs.end(
            record,
            {
                how: outcome,
                saved,
                isExplained: end.isExplained === true,
                hasEnded: lost => this.ctx.liveness.of(lost) === Liveness.Ended,
            },
            maxFailures,
            now,
        );
        log.write(Severity.Info, EventId.RunEnded, {
            task: record.name,
            run: record.run,
            worker: worker.id,
            how: outcome,
            start: record.start,
            meantFor: record.workerIncarnation,
            born: worker.startedAtMs,
            leasesEndInMs: worker.isReachable ? undefined : Math.round(worker.lease.latestEnd() - now),
            stop: record.stopReason,
            ageMs: Math.round(now - record.startedAt),
            phase: record.entry.state.phase,
            lostWorkers: lossesOf(record).length || undefined,
            ...(outcome === RunEnd.Failed && {
                failures: taskOf(record).failures,
                maxFailures: maxFailures === Infinity ? undefined : maxFailures,
                isQueueListed: maxFailures !== Infinity,
                lists: this.ctx.options.directory()?.version,
            }),
        });
        if (outcome === RunEnd.WorkerLost && taskOf(record).phase === TaskPhase.Failed) {
            log.write(Severity.Warn, EventId.TaskGivenUp, {
                task: record.name,
                lostWorkers: lossesOf(record).length,
                phase: record.entry.state.phase,
            });
        }
        gang.forEach(member => this.stop(member, StopReason.GangBroken));
        this.ctx.requestRound();
    }

    /** Applies the success of a run that was declared lost, unless the task has been started again. */
    applyLateSuccess(worker: WorkerState, { task, run }: EndedRun): void {
        const { timer, log } = this.ctx.options;
        const next = this.ctx.jobs.runs.get(task);
        if (next?.start === StartStatus.Recorded && next.run > run) {
            // The start request of the next run has not been sent and is no longer needed.
            this.applyEnd({ record: next, outcome: RunEnd.Lost, saved: "" });
        }
        const entry = this.ctx.jobs.applyLateSuccess(task, run, timer.now());
        if (entry !== undefined) {
            log.write(Severity.Info, EventId.RunEnded, {
                task,
                run,
                worker: worker.id,
                how: RunEnd.Done,
                start: "given-up",
                phase: entry.state.phase,
            });
            this.ctx.requestRound();
        }
    }

    private async startRun(record: RunRecord): Promise<void> {
        const { timer, times, calls } = this.ctx.options;
        const worker = this.ctx.workers.workerOf(record);
        const isStale = record.stopReason !== undefined || worker.startedAtMs !== record.workerIncarnation
            || !isAcceptingRuns(worker) || this.isZoneEvacuated(worker)
            || queueOf(this.ctx, record.entry)?.pool !== worker.listed.pool
            || this.ctx.attemptLimits.isExhausted(record);
        const pool = this.ctx.options.directory()?.pools.get(worker.listed.pool);
        if (isStale || !this.ctx.mayOrder() || !mayFill(worker, pool, timer.now())) {
            this.applyEnd({ record, outcome: RunEnd.Lost, saved: "" });
            return;
        }
        const task = record.entry.state.tasks.at(record.position);
        const order: StartRequest = {
            task: record.name,
            run: record.run,
            fence: worker.fence,
            leaseUntil: worker.lease.grant(times.leaseMs, timer.now()),
            payload: record.entry.job.spec.payload,
            saved: task.checkpoint,
            ...(record.ticket !== undefined && { ticket: record.ticket }),
        };
        const sentAt = timer.now();
        recordStartSent(record, worker, sentAt);
        const sent = { lease: worker.lease, meantFor: intendedIncarnation(worker, sentAt) };
        this.queue.recordSent();
        const result = await calls.start(targetOf(worker), order);
        this.queue.recordEnded({ ms: timer.now() - sentAt, isAnswered: isAnswer(result) });
        this.sendQueuedStarts();
        if (this.ctx.isActive && this.ctx.jobs.runs.get(record.name) === record) {
            this.startResults.apply(record, worker, result, sent);
        }
    }

    /**
     * Sends the queued starts that the last answer has made room for; once none is queued, more may be placed. After the end of
     * the tenure they are left to the next owner, which finds their runs claimed.
     */
    private sendQueuedStarts(): void {
        if (this.queue.storedCount > 0 && this.ctx.isActive) {
            this.sendStarts();
            if (this.queue.storedCount === 0) {
                this.ctx.requestRound();
            }
        }
    }

    /** Whether the worker's zone was evacuated since the run was claimed. */
    private isZoneEvacuated({ listed: { zone } }: WorkerState): boolean {
        const isEvacuated = this.ctx.options.zones.isEvacuated(zone);
        if (isEvacuated) {
            this.ctx.options.metrics.count("celerywind_starts_prevented_total", { reason: "zone-evacuated" });
        }
        return isEvacuated;
    }
}
