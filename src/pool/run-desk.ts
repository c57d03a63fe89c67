/** Orders about runs: starts them, stops them, and applies their ends. */
import { RunEnd } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import { type JobEntry, type RunRecord, StartStatus, StopReason } from "./job-registry.js";
import { type EndedRun, type StartOrder, StartRefusal, type StartResult } from "./ports.js";
import type { FoundEnd } from "./reconcile.js";
import { queueOf, suspectWorkerPauseMs, targetOf, type TenureContext } from "./tenure-context.js";
import { noteDuration, type WorkerState } from "./worker-book.js";

const stopRepeatMs = 300;
/** Pause in placing work on a worker after it refused or did not answer, by cause, in milliseconds. */
const avoidMs = { noRoom: 200, unhealthy: 1000, unanswered: 500 } as const;
/** Failures in a row, of different tasks, from which a worker is suspected of failing everything. */
const suspectFailures = 3;
const defaultMaxFailures = 3;

/** Gives the orders of a tenure about runs. */
export class RunDesk {
    /** Runs that were claimed and wait for their record to be stored. */
    private readonly unstarted = new Set<RunRecord>();

    constructor(
        private readonly ctx: TenureContext,
        /** Looks at a worker at once, because its next answer tells whether a run exists. */
        private readonly look: (worker: WorkerState) => void,
    ) {}

    /** Number of runs that wait for their record to be stored. */
    get unstartedCount(): number {
        return this.unstarted.size;
    }

    /** Notes a run that was claimed. */
    add(record: RunRecord): void {
        this.ctx.workers.addRun(record);
        this.unstarted.add(record);
    }

    /** Starts the claimed runs of jobs whose progress was just stored. */
    startStored(stored: ReadonlySet<JobEntry>): void {
        for (const record of this.unstarted) {
            if (stored.has(record.entry)) {
                this.unstarted.delete(record);
                void this.startRun(record);
            }
        }
    }

    /** Asks for the stop of a run. */
    stop(record: RunRecord, reason: StopReason): void {
        record.stopReason ??= reason;
        this.sendStop(record);
    }

    /** Applies the end of a run. */
    end(end: FoundEnd): void {
        const { record, how, saved } = end;
        const { timer, log } = this.ctx.options;
        if (this.ctx.jobs.runs.get(record.name) !== record) {
            return;
        }
        const now = timer.now();
        const worker = this.ctx.workers.of(record);
        this.learn(record, worker, how, now);
        const gang = how === RunEnd.Done ? [] : this.ctx.jobs.otherGangRuns(record);
        this.ctx.workers.dropRun(record);
        this.unstarted.delete(record);
        this.ctx.jobs.end(record, { how, saved }, this.maxFailuresOf(record.entry), now);
        log.write(Severity.Info, EventId.RunEnded, {
            task: record.name,
            run: record.run,
            worker: worker.id,
            how,
            start: record.start,
            stop: record.stopReason,
            ageMs: Math.round(now - record.startedAt),
            phase: record.entry.state.phase,
        });
        gang.forEach(member => this.stop(member, StopReason.GangBroken));
        this.ctx.requestRound();
    }

    /** Takes the success of a run that was given up for lost, unless the task has begun anew. */
    endLate(worker: WorkerState, { task, run }: EndedRun): void {
        const { timer, log } = this.ctx.options;
        const next = this.ctx.jobs.runs.get(task);
        if (next?.start === StartStatus.Recorded && next.run > run) {
            // Its order has not been sent, and is not needed any more.
            this.end({ record: next, how: RunEnd.Lost, saved: "" });
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

    /** Sends the stop of a run that is wanted and not confirmed, unless it was sent a moment ago. */
    sendStop(record: RunRecord): void {
        const { timer, calls } = this.ctx.options;
        const now = timer.now();
        const isOrdered = record.start !== StartStatus.Recorded;
        if (
            record.stopReason === undefined || record.stopConfirmedAt !== undefined || !isOrdered
            || now - record.stopSentAt < stopRepeatMs || !this.ctx.mayOrder()
        ) {
            return;
        }
        record.stopSentAt = now;
        const worker = this.ctx.workers.of(record);
        void calls.stop(targetOf(worker), record.name, record.run, this.ctx.fence).then(result => {
            if (result.kind === "done") {
                record.stopConfirmedAt = timer.now();
                this.onStopConfirmed(worker, record);
            }
        });
    }

    /** A stop that was answered decides the fate of an uncertain start; the worker's next answer tells it. */
    private onStopConfirmed(worker: WorkerState, record: RunRecord): void {
        if (record.start === StartStatus.Uncertain && this.ctx.isActive) {
            this.look(worker);
        }
    }

    private async startRun(record: RunRecord): Promise<void> {
        const { timer, times, calls, metrics } = this.ctx.options;
        const worker = this.ctx.workers.of(record);
        const isStale = record.stopReason !== undefined || worker.born !== record.workerIncarnation;
        if (isStale || !this.ctx.mayOrder()) {
            this.end({ record, how: RunEnd.Lost, saved: "" });
            return;
        }
        const task = record.entry.state.tasks[record.position]!;
        const ticket = this.ctx.advice.ticketOf(record);
        const order: StartOrder = {
            task: record.name,
            run: record.run,
            fence: this.ctx.fence,
            leaseUntil: worker.lease.grant(times.leaseMs, timer.now()),
            payload: record.entry.job.spec.payload,
            saved: task.checkpoint,
            ...(ticket !== undefined && { ticket }),
        };
        record.start = StartStatus.Sent;
        const sentAt = timer.now();
        const result = await calls.start(targetOf(worker), order);
        metrics.observe("celerywind_start_ms", timer.now() - sentAt);
        if (this.ctx.isActive && this.ctx.jobs.runs.get(record.name) === record) {
            this.noteStart(record, worker, result);
        }
    }

    private noteStart(record: RunRecord, worker: WorkerState, result: StartResult): void {
        const { timer, metrics, log } = this.ctx.options;
        const now = timer.now();
        switch (result.kind) {
            case "started":
                worker.lease.recordClock(result.clockMs, now);
                if (record.start === StartStatus.Sent) {
                    record.start = StartStatus.Confirmed;
                    record.startedAt = now;
                    record.progressedAt = now;
                }
                metrics.count("celerywind_runs_started_total");
                metrics.observe(
                    "celerywind_first_start_ms",
                    timer.wall() - record.entry.job.acceptedAtMs,
                    { queue: record.entry.job.queue },
                );
                this.sendStop(record);
                return;
            case "refused":
                log.write(Severity.Warn, EventId.RunRefused, {
                    task: record.name,
                    run: record.run,
                    worker: worker.id,
                    reason: result.reason,
                });
                metrics.count("celerywind_runs_refused_total", { reason: result.reason });
                this.noteRefusal(worker, result.reason);
                if (result.reason === StartRefusal.TicketInvalid) {
                    this.ctx.advice.forget(record);
                }
                this.end({ record, how: RunEnd.Lost, saved: "" });
                return;
            case "unknown":
                log.write(Severity.Warn, EventId.RunUncertain, {
                    task: record.name,
                    run: record.run,
                    worker: worker.id,
                    reason: result.reason,
                });
                metrics.count("celerywind_runs_uncertain_total");
                worker.avoidUntil = now + avoidMs.unanswered;
                if (record.start === StartStatus.Sent) {
                    record.start = StartStatus.Uncertain;
                    record.stopReason ??= StopReason.StartUncertain;
                    this.sendStop(record);
                }
        }
    }

    private noteRefusal(worker: WorkerState, reason: StartRefusal): void {
        const now = this.ctx.options.timer.now();
        switch (reason) {
            case StartRefusal.Fenced:
                void this.ctx.confirm();
                worker.avoidUntil = now + avoidMs.unanswered;
                return;
            case StartRefusal.NoRoom:
                worker.avoidUntil = now + avoidMs.noRoom;
                return;
            case StartRefusal.Unhealthy:
                worker.avoidUntil = now + avoidMs.unhealthy;
                return;
            case StartRefusal.WrongLife:
            case StartRefusal.NotSent:
                worker.isReachable = false;
                worker.avoidUntil = now + avoidMs.unanswered;
                return;
            case StartRefusal.Superseded:
            case StartRefusal.LeasePassed:
            case StartRefusal.Malformed:
            case StartRefusal.TicketInvalid:
                worker.avoidUntil = now + avoidMs.noRoom;
        }
    }

    private learn(record: RunRecord, worker: WorkerState, how: RunEnd, now: number): void {
        const { entry, step, startedAt } = record;
        switch (how) {
            case RunEnd.Done: {
                const ms = now - startedAt;
                noteDuration(worker, ms, this.ctx.durations.expect(entry.job.queue, step.estimateMs));
                this.ctx.durations.learn(entry.job.queue, ms);
                worker.failuresInRow = 0;
                return;
            }
            case RunEnd.Failed:
                worker.failuresInRow += entry.failedWorkers.has(record.position) || step.isService ? 0 : 1;
                if (worker.failuresInRow >= suspectFailures) {
                    worker.avoidUntil = Math.max(worker.avoidUntil, now + suspectWorkerPauseMs);
                    worker.failuresInRow = suspectFailures - 1;
                    this.ctx.options.log.write(Severity.Warn, EventId.WorkerSuspected, {
                        worker: worker.id,
                        cause: "fails-everything",
                    });
                }
                return;
            case RunEnd.Stopped:
            case RunEnd.Lapsed:
            case RunEnd.GangBroken:
            case RunEnd.GangIncomplete:
            case RunEnd.Lost:
                return;
        }
    }

    private maxFailuresOf(entry: JobEntry): number {
        return queueOf(this.ctx, entry)?.maxAttempts ?? defaultMaxFailures;
    }
}
