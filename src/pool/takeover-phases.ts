/**
 * Duration of the phases of a takeover, from the suspicion of the previous owner until the work that waited meanwhile has
 * been started. Each phase is recorded in a histogram, and all of them in one log line per tenure.
 */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Timer } from "../process/timer.js";
import type { JobRegistry } from "./job-registry.js";
import { openSteps } from "./open-steps.js";
import type { JobEntry } from "./records.js";
import type { WorkerRegistry } from "./worker-registry.js";

/** Phases of a takeover, in their usual order. All but the first are counted from the suspicion. */
export enum TakeoverPhase {
    /** Counted from the last message of the previous owner. */
    Suspected = "suspected",
    RowTaken = "row-taken",
    JobsLoaded = "jobs-loaded",
    /** Every listed worker has answered its first query, or failed to. */
    WorkersQueried = "workers-queried",
    /** First plan of the VMs; never reached where the platform lists none. */
    FirstPlan = "first-plan",
    /** A worker has confirmed the first start. */
    FirstStart = "first-start",
    /** Every loaded job that had waiting tasks has had none since. */
    BacklogCleared = "backlog-cleared",
}

/** When and why a takeover was begun. */
export interface OwnerSuspicion {
    /** Monotonic time of the suspicion, in milliseconds. */
    readonly at: number;
    /** Time for which the previous owner had been silent by then, in milliseconds. */
    readonly silentMs: number;
}

/** Options of `TakeoverPhases.create`. */
export interface TakeoverPhasesOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly fence: number;
    /** Counted from the creation, with no time of silence, by default. */
    readonly suspicion?: OwnerSuspicion | undefined;
}

/** Time from the takeover after which the line is written although a phase is missing. */
const maxObservedMs = 10_000;

/** Records the phases of the takeover that began a tenure. */
export class TakeoverPhases {
    private readonly msByPhase = new Map<TakeoverPhase, number>();
    private readonly suspectedAt: number;
    private readonly takenAt: number;
    private readonly backlog = new Set<JobEntry>();
    private isReported = false;

    private constructor(private readonly options: TakeoverPhasesOptions) {
        const { timer, suspicion } = options;
        this.takenAt = timer.now();
        this.suspectedAt = suspicion?.at ?? this.takenAt;
        this.record(TakeoverPhase.Suspected, suspicion?.silentMs ?? 0);
        this.reach(TakeoverPhase.RowTaken);
    }

    static create(options: TakeoverPhasesOptions): TakeoverPhases {
        return new TakeoverPhases(options);
    }

    /** Records that a phase has been reached, unless it was before. */
    reach(phase: TakeoverPhase): void {
        if (!this.isReported && !this.msByPhase.has(phase)) {
            this.record(phase, this.options.timer.now() - this.suspectedAt);
            this.reportIfComplete();
        }
    }

    /** Duration of a phase in milliseconds; undefined if it was not reached. */
    msOf(phase: TakeoverPhase): number | undefined {
        return this.msByPhase.get(phase);
    }

    /** Records that the jobs are loaded, and which of them have waiting tasks. */
    recordLoaded(jobs: JobRegistry): void {
        for (const entry of jobs.activeEntries) {
            if (openSteps(entry).length > 0) {
                this.backlog.add(entry);
            }
        }
        this.reach(TakeoverPhase.JobsLoaded);
    }

    /** Checks which phases have been reached; called in each round. */
    observe(jobs: JobRegistry, workers: WorkerRegistry): void {
        if (this.isReported || !this.msByPhase.has(TakeoverPhase.JobsLoaded)) {
            return;
        }
        for (const entry of this.backlog) {
            if (entry.finalAt !== undefined || openSteps(entry).length === 0) {
                this.backlog.delete(entry);
            }
        }
        if (this.backlog.size === 0) {
            this.reach(TakeoverPhase.BacklogCleared);
        }
        const listed = [...workers.byId.values()].filter(({ isListed }) => isListed);
        if (listed.length > 0 && listed.every(({ isQueried }) => isQueried)) {
            this.reach(TakeoverPhase.WorkersQueried);
        }
        if (this.options.timer.now() - this.takenAt >= maxObservedMs) {
            this.report();
        }
    }

    /** Writes the log line, unless it has been written; called at the latest when the tenure ends. */
    report(): void {
        if (!this.isReported) {
            this.isReported = true;
            const { log, fence } = this.options;
            log.write(Severity.Info, EventId.TakeoverObserved, {
                fence,
                suspectedMs: this.roundedMs(TakeoverPhase.Suspected),
                rowTakenMs: this.roundedMs(TakeoverPhase.RowTaken),
                jobsLoadedMs: this.roundedMs(TakeoverPhase.JobsLoaded),
                workersQueriedMs: this.roundedMs(TakeoverPhase.WorkersQueried),
                firstPlanMs: this.roundedMs(TakeoverPhase.FirstPlan),
                firstStartMs: this.roundedMs(TakeoverPhase.FirstStart),
                backlogClearedMs: this.roundedMs(TakeoverPhase.BacklogCleared),
                backlogLeft: this.backlog.size,
            });
        }
    }

    private reportIfComplete(): void {
        if (Object.values(TakeoverPhase).every(phase => this.msByPhase.has(phase))) {
            this.report();
        }
    }

    private roundedMs(phase: TakeoverPhase): number | undefined {
        const ms = this.msByPhase.get(phase);
        return ms === undefined ? undefined : Math.round(ms);
    }

    private record(phase: TakeoverPhase, ms: number): void {
        this.msByPhase.set(phase, ms);
        this.options.metrics.observe("celerywind_takeover_phase_ms", ms, { phase });
    }
}
