/** What the ends of runs tell about workers and durations. */
import { RunEnd } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import type { RunRecord } from "./records.js";
import { suspectWorkerPauseMs, type TenureContext } from "./tenure-context.js";
import { updateSlowdown } from "./worker-registry.js";

/** Consecutive failures, of different tasks, from which a worker is suspected of failing every run. */
const suspectAfterFailures = 3;

/** Updates the statistics of a run's worker and queue with the end of the run. */
export function updateStatistics(ctx: TenureContext, record: RunRecord, outcome: RunEnd, now: number): void {
    const worker = ctx.workers.workerOf(record);
    const { entry, step, startedAt } = record;
    ctx.outliers?.recordEnd(record, worker, outcome, now);
    switch (outcome) {
        case RunEnd.Done: {
            if (!record.isInherited) {
                const ms = now - startedAt;
                updateSlowdown(worker, ms, ctx.durations.estimate(entry.job.queue, step.estimateMs));
                ctx.durations.record(entry.job.queue, ms, step.estimateMs);
            }
            worker.consecutiveFailures = 0;
            return;
        }
        case RunEnd.Failed:
            worker.consecutiveFailures += entry.failedWorkers.has(record.position) || step.isService
                ? 0
                : 1;
            if (
                ctx.outliers === undefined && worker.consecutiveFailures >= suspectAfterFailures
            ) {
                worker.backoffUntil = Math.max(worker.backoffUntil, now + suspectWorkerPauseMs);
                worker.consecutiveFailures = suspectAfterFailures - 1;
                ctx.options.log.write(Severity.Warn, EventId.WorkerSuspected, {
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
        case RunEnd.WorkerLost:
            return;
    }
}
