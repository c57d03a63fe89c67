/** Ends of runs whose workers were lost, with what the loss tells of their tasks. */
import { RunEnd } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import { attributeLoss, LossAttribution } from "./loss-attribution.js";
import type { ConfirmedEnd } from "./reconcile.js";
import { type RunRecord, StartStatus } from "./records.js";
import type { TenureContext } from "./tenure-context.js";
import { Liveness } from "./worker-liveness.js";
import { lostTogetherWith } from "./worker-state.js";

/** The end of a run whose worker was lost, as the evidence on that loss has it. */
export function attributeEnd(
    { workers, liveness, options }: TenureContext,
    end: ConfirmedEnd,
    hasLikelierCause: boolean,
): ConfirmedEnd {
    const { record } = end;
    const worker = workers.workerOf(record);
    const workerIs = liveness.of({ worker: record.worker, workerStartedAt: record.workerIncarnation });
    const neighbours = lostTogetherWith(worker, workers.byId.values());
    const evidence = {
        hasBegun: hasBegun(record),
        // The end of a worker that was draining, or whose VM was being drained, needs no other explanation.
        hasLikelierCause: hasLikelierCause || worker.isExpectedToEnd,
        isWorkerAlive: workerIs === Liveness.Alive,
    };
    const attribution = attributeLoss({ ...evidence, neighbours });
    options.log.write(Severity.Info, EventId.WorkerLossAttributed, {
        task: record.name,
        run: record.run,
        worker: worker.id,
        start: record.start,
        ...evidence,
        workerIs,
        lostNeighbours: neighbours.length,
        withNewRuns: neighbours.filter(({ hadNewRuns }) => hadNewRuns).length,
        attribution,
    });
    options.metrics.count("celerywind_worker_losses_total", { attribution });
    switch (attribution) {
        case LossAttribution.None:
            return { ...end, outcome: RunEnd.Lost };
        case LossAttribution.Possible:
            return { ...end, isExplained: true };
        case LossAttribution.Likely:
            return { ...end, isExplained: false };
    }
}

function hasBegun({ start }: RunRecord): boolean {
    switch (start) {
        case StartStatus.Confirmed:
        case StartStatus.Inherited:
            return true;
        case StartStatus.Recorded:
        case StartStatus.Sent:
        case StartStatus.Uncertain:
            return false;
    }
}
