/** Claimed runs that are not started yet: first until their record is stored, then until the window for starts has room. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Timer } from "../process/timer.js";
import type { JobEntry, RunRecord } from "./records.js";
import { type EndedRequest, StartWindow } from "./scheduling/start-window.js";

/** Options of `StartQueue.create`. */
export interface StartQueueOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Least time between two log lines about the window, in milliseconds. */
const logIntervalMs = 1000;

/** Queue of the runs to start, in the order in which they were claimed. */
export class StartQueue {
    private readonly window = StartWindow.create();
    /** Runs whose record is not stored yet. */
    private readonly unstored = new Set<RunRecord>();
    /** Runs whose record is stored, with the monotonic time in milliseconds since when it is. */
    private readonly stored = new Map<RunRecord, number>();
    private loggedAt = -Infinity;

    private constructor(private readonly options: StartQueueOptions) {}

    static create(options: StartQueueOptions): StartQueue {
        return new StartQueue(options);
    }

    /** Number of runs in the queue. */
    get length(): number {
        return this.unstored.size + this.stored.size;
    }

    /** Number of runs that wait only for other starts to be answered. */
    get storedCount(): number {
        return this.stored.size;
    }

    /** Adds a run whose record is not stored yet. */
    add(record: RunRecord): void {
        this.unstored.add(record);
    }

    /** Removes a run, which is then not started. */
    delete(record: RunRecord): void {
        this.unstored.delete(record);
        this.stored.delete(record);
    }

    /** Records that the progress of jobs, and with it their claimed runs, is stored. */
    recordStored(jobs: ReadonlySet<JobEntry>): void {
        const now = this.options.timer.now();
        for (const record of this.unstored) {
            if (jobs.has(record.entry)) {
                this.unstored.delete(record);
                this.stored.set(record, now);
            }
        }
    }

    /** Takes runs that may be started now, for as long as the window has room. */
    *takeStartable(): Generator<RunRecord> {
        const { timer, metrics } = this.options;
        for (const [record, storedAt] of this.stored) {
            if (!this.window.hasRoom) {
                return;
            }
            this.stored.delete(record);
            metrics.observe("celerywind_start_wait_ms", timer.now() - storedAt);
            yield record;
        }
    }

    /** Records that a start request is being sent. */
    recordSent(): void {
        this.window.recordSent();
    }

    /** Records that a start request has ended. */
    recordEnded(request: EndedRequest): void {
        const { timer, log, metrics } = this.options;
        metrics.observe("celerywind_start_ms", request.ms);
        const change = this.window.recordEnded(request);
        if (
            change !== undefined && change.size < change.previousSize
            && timer.now() - this.loggedAt >= logIntervalMs
        ) {
            this.loggedAt = timer.now();
            log.write(Severity.Info, EventId.StartWindowShrunk, {
                size: change.size,
                previousSize: change.previousSize,
                medianMs: Math.round(change.medianMs),
                queued: this.stored.size,
            });
        }
    }
}
