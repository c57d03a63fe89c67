/** What happens to runs as time goes by: leases end, runs stall, best-effort runs are paced, occurrences come due. */
import { RunEnd } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import { type JobEntry, type RunRecord, StartStatus, StopReason } from "./job-registry.js";
import { decidePaces } from "./pacing.js";
import { exceedsCap } from "./plan-starts.js";
import type { RunDesk } from "./run-desk.js";
import { suspectWorkerPauseMs, targetOf, type TenureContext } from "./tenure-context.js";
import type { WorkerState } from "./worker-book.js";

/** Progress reports arrive about once a second; without any rise for this long a run is taken for stalled. */
const stallMs = 2500;
/** Multiple of its expected duration that a run may take before it can count as stalled. */
const stallFactor = 2.5;

/** Watches the runs of a tenure. */
export class RunWatch {
    constructor(private readonly ctx: TenureContext, private readonly desk: RunDesk) {}

    /** Looks at every run and every scheduled job. */
    check(): void {
        if (!this.ctx.isActive || !this.ctx.isReady) {
            return;
        }
        const { timer } = this.ctx.options;
        const now = timer.now();
        for (const record of [...this.ctx.jobs.runs.values()]) {
            this.checkRun(record, now);
        }
        for (const entry of this.ctx.jobs.activeEntries) {
            if (entry.job.spec.schedule !== undefined) {
                this.ctx.jobs.addDueOccurrences(entry, timer.wall());
            }
            if (!entry.hasStarted) {
                this.refuseImpossible(entry);
            }
        }
        this.askAdvice();
        this.ctx.requestRound();
    }

    /** Throttles best-effort runs beside services whose tail nears its target. */
    adjustPaces(): void {
        if (!this.ctx.isActive || !this.ctx.mayOrder()) {
            return;
        }
        for (const worker of this.ctx.workers.workers.values()) {
            if (worker.runs.size > 0 && worker.isReachable) {
                for (const { record, percent } of decidePaces([...worker.runs.values()])) {
                    this.pace(worker, record, percent);
                }
            }
        }
    }

    private checkRun(record: RunRecord, now: number): void {
        const worker = this.ctx.workers.of(record);
        if (record.start === StartStatus.Recorded) {
            return;
        }
        if (!worker.isReachable && now >= worker.lease.latestEnd()) {
            this.desk.end({ record, how: RunEnd.Lost, saved: "" });
            return;
        }
        if (record.stopReason === undefined && this.isStalled(record, now)) {
            record.stopReason = StopReason.Stalled;
            worker.avoidUntil = Math.max(worker.avoidUntil, now + suspectWorkerPauseMs);
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
        this.desk.sendStop(record);
    }

    private isStalled(record: RunRecord, now: number): boolean {
        const { entry, step, start, startedAt, progressedAt: percentAt, pacePercent: pace } = record;
        if (start !== StartStatus.Confirmed || step.isBestEffort || pace < 100 || step.isGang) {
            return false;
        }
        if (step.isService) {
            return false;
        }
        const expected = this.ctx.durations.expect(entry.job.queue, step.estimateMs);
        return now - startedAt > stallFactor * expected + stallMs && now - percentAt > stallMs;
    }

    private pace(worker: WorkerState, record: RunRecord, percent: number): void {
        const before = record.pacePercent;
        record.pacePercent = percent;
        const { calls, log } = this.ctx.options;
        void calls.pace(targetOf(worker), record.name, record.run, percent, this.ctx.fence).then(result => {
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

    private askAdvice(): void {
        const directory = this.ctx.options.directory();
        const queues = directory?.queues.filter(({ needsAdvice }) => needsAdvice) ?? [];
        for (const queue of queues) {
            const workers = [...this.ctx.workers.workers.values()]
                .filter(worker => worker.isListed && worker.listed.pool === queue.pool)
                .map(({ id }) => id);
            for (const entry of this.ctx.jobs.activeEntries) {
                if (entry.job.queue === queue.name) {
                    this.ctx.advice.ask(
                        entry,
                        this.ctx.jobs.openTasks(entry),
                        workers,
                        () => this.ctx.requestRound(),
                    );
                }
            }
        }
    }

    /** Ends jobs at once that can never run: too large for every worker, or for their team's limit. */
    private refuseImpossible(entry: JobEntry): void {
        const { jobs, workers, options } = this.ctx;
        const cap = options.directory()?.teams.get(entry.job.team)?.cap;
        for (const step of entry.job.spec.steps) {
            if (!workers.couldEverRun(step)) {
                jobs.fail(entry, "no-worker-can-run-it", options.timer.now());
            }
            else if (cap !== undefined && exceedsCap(step, cap)) {
                jobs.fail(entry, "beyond-team-limit", options.timer.now());
            }
        }
    }
}
