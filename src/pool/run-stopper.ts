/** Sends the owner's stop requests for runs, those of services as their disruption budgets allow at that moment. */
import { EventId, Severity } from "../process/events.js";
import { availabilityOf, isWithinBudget, mayBeStopping } from "./disruption-budget.js";
import { type RunRecord, StartStatus, StopReason } from "./records.js";
import { targetOf, type TenureContext } from "./tenure-context.js";
import type { WorkerState } from "./worker-registry.js";

/** Interval of repeating a stop request that is not confirmed, and of asking a worker whether it has a run. */
const stopRetryMs = 300;
/** Age, from its request, up to which a report without a run tells that the run is not ready, since services take a while to start. */
const maxAbsenceAgeMs = 500;

/** What is done now about a run that should stop. */
enum StopDecision {
    Send = "send",
    /** The worker is asked first whether it has the run. */
    Probe = "probe",
    /** The stop waits: an earlier request may still be carried out. */
    Wait = "wait",
    /** The run goes on until a new decision. */
    Withdraw = "withdrawn",
}

/** Stops runs. */
export class RunStopper {
    constructor(
        private readonly ctx: TenureContext,
        /** Requests a worker's runs at once, since its next response shows whether a run exists. */
        private readonly probeWorker: (worker: WorkerState) => void,
    ) {}

    /** Stops a run; the first reason given is kept. */
    stop(record: RunRecord, reason: StopReason): void {
        record.stopReason ??= reason;
        this.sendStop(record);
    }

    /**
     * Sends the stop request of a run that has to stop, unless it is confirmed or was sent within `stopRetryMs`. The disruption
     * budget of a service's step is asked for each request, however long ago the stop was decided.
     */
    sendStop(record: RunRecord): void {
        const now = this.ctx.options.timer.now();
        const { stopReason: reason } = record;
        const isStartSent = record.start !== StartStatus.Recorded;
        if (
            reason === undefined || record.stopConfirmedAt !== undefined || !isStartSent
            || now - record.stopSentAt < stopRetryMs || !this.ctx.mayOrder()
        ) {
            return;
        }
        const worker = this.ctx.workers.workerOf(record);
        const decision = record.step.isService ? this.decide(record, reason, worker, now) : StopDecision.Send;
        switch (decision) {
            case StopDecision.Send:
                this.send(record, worker, now);
                return;
            case StopDecision.Probe:
                this.probeIfDue(record, worker, now);
                return;
            case StopDecision.Wait:
                return;
            case StopDecision.Withdraw:
                this.ctx.options.metrics.count("celerywind_service_stops_total", {
                    reason,
                    result: decision,
                });
                delete record.stopReason;
        }
    }

    private decide(record: RunRecord, reason: StopReason, worker: WorkerState, now: number): StopDecision {
        switch (reason) {
            case StopReason.JobEnded:
            case StopReason.GangBroken:
            case StopReason.Stalled:
            case StopReason.Unknown:
                return StopDecision.Send;
            case StopReason.WorkerDraining:
                return worker.listed.isDraining ? StopDecision.Send : this.decideByBudget(record, worker);
            case StopReason.VmLeaving:
                return this.decideByBudget(record, worker);
            case StopReason.StartUncertain:
                return this.decideUncertain(record, worker, now);
        }
    }

    private decideByBudget(record: RunRecord, worker: WorkerState): StopDecision {
        return isWithinBudget(availabilityOf(this.ctx, record))
            ? StopDecision.Send
            : this.waitOrWithdraw(record, worker);
    }

    /** A run whose start got no answer may be at work: it is stopped only if its worker does not have it, and kept otherwise. */
    private decideUncertain(record: RunRecord, worker: WorkerState, now: number): StopDecision {
        if (record.start === StartStatus.Confirmed) {
            return this.waitOrWithdraw(record, worker);
        }
        const { isReachable, reportRequestedAt } = worker;
        const isKnownAbsent = record.probedAt > -Infinity && reportRequestedAt >= record.probedAt
            && isReachable && now - reportRequestedAt <= maxAbsenceAgeMs;
        return isKnownAbsent ? StopDecision.Send : StopDecision.Probe;
    }

    private waitOrWithdraw(record: RunRecord, worker: WorkerState): StopDecision {
        return mayBeStopping(this.ctx, record, worker) ? StopDecision.Wait : StopDecision.Withdraw;
    }

    private probeIfDue(record: RunRecord, worker: WorkerState, now: number): void {
        if (now - record.probedAt >= stopRetryMs) {
            record.probedAt = now;
            this.probeWorker(worker);
        }
    }

    private send(record: RunRecord, worker: WorkerState, now: number): void {
        const { timer, calls } = this.ctx.options;
        record.stopSentAt = now;
        if (record.step.isService) {
            this.logServiceStop(record, worker, now);
        }
        void calls.stop(targetOf(worker), record.name, record.run, worker.fence).then(result => {
            if (result.kind === "done") {
                record.stopConfirmedAt = timer.now();
                this.probeAfterStop(worker, record);
            }
        });
    }

    /** Probes a worker after a confirmed stop: its response shows whether a run with an uncertain start existed. */
    private probeAfterStop(worker: WorkerState, record: RunRecord): void {
        if (record.start === StartStatus.Uncertain && this.ctx.isActive) {
            this.probeWorker(worker);
        }
    }

    private logServiceStop(record: RunRecord, worker: WorkerState, now: number): void {
        const { log, metrics } = this.ctx.options;
        const { stopReason: reason } = record;
        const { budget, atWork, away, oldestReportAt } = availabilityOf(this.ctx, record);
        metrics.count("celerywind_service_stops_total", { reason: reason ?? "", result: "sent" });
        log.write(Severity.Info, EventId.ServiceStopSent, {
            task: record.name,
            run: record.run,
            worker: worker.id,
            reason,
            start: record.start,
            percent: record.progressPercent,
            isDraining: worker.listed.isDraining || undefined,
            atWork,
            away,
            budget,
            reportAgeMs: Math.round(now - worker.reportRequestedAt),
            oldestReportAgeMs: atWork === 0 ? undefined : Math.round(now - oldestReportAt),
            tenureMs: Math.round(this.ctx.ageMs),
            fence: this.ctx.fence,
        });
    }
}
