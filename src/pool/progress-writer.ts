/**
 * The rounds of a tenure: each places waiting tasks and stores the progress of jobs in one batch, after which the claimed
 * runs are started and the ends of others acknowledged.
 */
import type { JobPhase } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { runFlow } from "../process/flow.js";
import { readRow, type RowKey, type RowPut } from "../process/rows.js";
import { sleep } from "../process/timer.js";
import { raceRepeated } from "../process/transaction-race.js";
import { Batch, type BatchItem } from "./batch.js";
import { jobOfProgress } from "./job-progress.js";
import type { LeaseBoundsRecorder } from "./lease-bounds-recorder.js";
import { type BatchResult, commitBatch, type LedgerEffect } from "./ledger.js";
import type { OwnerState } from "./owner-state.js";
import type { OwnershipGuard } from "./ownership-guard.js";
import { ownerKey } from "./ownership.js";
import type { JobEntry } from "./records.js";
import type { RunDispatcher } from "./run-dispatcher.js";
import { BatchSize } from "./scheduling/batch-size.js";
import type { TaskPlacer } from "./task-placer.js";
import { retryDelayMs, type TenureContext } from "./tenure-context.js";
import type { WorkerMonitor } from "./worker-monitor.js";

/** Most sends of one batch beside each other while the store does not answer. */
const maxBatchSends = 5;

/** Collaborators of a `ProgressWriter` within its tenure. */
export interface ProgressWriterParts {
    readonly guard: OwnershipGuard;
    readonly placer: TaskPlacer;
    readonly dispatcher: RunDispatcher;
    readonly workerMonitor: WorkerMonitor;
    readonly leaseBounds: LeaseBoundsRecorder;
    readonly ownerState: OwnerState;
}

/** A job whose progress goes into a batch as a whole. */
interface TakenJob {
    readonly entry: JobEntry;
    readonly phase: JobPhase;
    /** Workers that have listed the ends which are stored with it. */
    readonly endsOn: readonly string[];
}

/** Places tasks and stores the progress of jobs. */
export class ProgressWriter {
    private readonly batchSize = BatchSize.create();
    private isRoundRunning = false;
    private isRoundRequested = false;
    private readonly extraPuts = new Map<string, RowPut>();
    /** Rows of removed jobs, which are removed with the next batches. */
    private readonly removals = new Map<string, RowKey>();

    constructor(private readonly ctx: TenureContext, private readonly parts: ProgressWriterParts) {}

    /** Whether changes are not stored yet, or a batch is in flight. */
    get hasPendingWork(): boolean {
        return this.isRoundRunning || this.ctx.jobs.changes.count > 0
            || this.parts.dispatcher.queuedStartCount > 0;
    }

    /** Stores a row with the next batch, which is only committed if this entry is still the owner. */
    putWithNextBatch(put: RowPut): void {
        this.extraPuts.set(rowId(put), put);
        this.requestRound();
    }

    /**
     * Schedules the removal of rows of progress without a job, with the next batches. Rows of a job that was accepted by then are
     * kept: they may be newer than what told that there is none.
     */
    removeProgress(keys: readonly RowKey[]): void {
        keys.forEach(key => this.removals.set(rowId(key), key));
    }

    /** Requests a round, which places tasks and stores progress. */
    requestRound(): void {
        this.isRoundRequested = true;
        if (!this.isRoundRunning && this.ctx.isActive && this.ctx.isReady) {
            this.isRoundRunning = true;
            // Deferred, so that all changes from one worker response go into one batch.
            queueMicrotask(() => void this.runRounds());
        }
    }

    private get domain(): string {
        return this.parts.guard.head.domain;
    }

    private async runRounds(): Promise<void> {
        try {
            while (this.isRoundRequested && this.ctx.isActive) {
                this.isRoundRequested = false;
                await this.runRound();
            }
        }
        catch (err) {
            this.ctx.options.log.write(Severity.Error, EventId.TaskFailed, {
                task: "pump",
                err: messageOf(err),
            });
        }
        finally {
            this.isRoundRunning = false;
        }
    }

    private async runRound(): Promise<void> {
        const { jobs } = this.ctx;
        const { guard, placer, dispatcher, workerMonitor } = this.parts;
        if (!guard.mayOrder()) {
            if (!await guard.confirm()) {
                await sleep(this.ctx.options.timer, retryDelayMs);
                this.isRoundRequested = this.ctx.isActive;
                return;
            }
        }
        jobs.changes.resume(this.ctx.options.timer.now());
        placer.placeTasks(Math.max(0, this.batchSize.maxStarts - dispatcher.queuedStartCount));
        this.ctx.phases.observe(jobs, this.ctx.workers);
        const batch = Batch.create();
        this.addOwnerRows(batch);
        const taken = this.addProgress(batch);
        this.addRemovals(batch);
        if (batch.isEmpty) {
            return;
        }
        const acknowledged = jobs.changes.count === 0 ? workerMonitor.unacknowledgedEnds() : [];
        if (!await this.commit(batch.items)) {
            return;
        }
        taken.forEach(job => this.recordStored(job));
        const heldBack = jobs.changes.workersWithSuspendedEnds;
        workerMonitor.acknowledge(acknowledged.filter(({ worker }) => !heldBack.has(worker.id)));
        dispatcher.startStoredRuns(new Set(taken.map(({ entry }) => entry)));
        this.isRoundRequested ||= jobs.changes.count > 0 || this.extraPuts.size > 0 || this.removals.size > 0;
    }

    /** Adds the rows of the owner itself; those that find no room are added to the next batch. */
    private addOwnerRows(batch: Batch): void {
        const { leaseBounds: recorder, ownerState } = this.parts;
        const leaseBounds = recorder.takeRow();
        if (leaseBounds !== undefined) {
            batch.add({ puts: [leaseBounds], removals: [], onStored: () => recorder.confirmStored() });
        }
        for (const [id, put] of this.extraPuts) {
            if (!batch.add({ puts: [put], removals: [] })) {
                return;
            }
            this.extraPuts.delete(id);
        }
        if (this.ctx.jobs.changes.count > 0 || !batch.isEmpty) {
            ownerState.takeRows().forEach(put => batch.add({ puts: [put], removals: [] }));
        }
    }

    /** Adds the progress of jobs that have changed; returns those of which all had room. */
    private addProgress(batch: Batch): readonly TakenJob[] {
        const { jobs } = this.ctx;
        const taken: TakenJob[] = [];
        for (const entry of jobs.changes.entries) {
            const isWhole = entry.progress.addChanges(entry.state, {
                domain: this.domain,
                job: entry.job.id,
                batch,
                onInvalid: reason => this.suspend(entry, reason),
            });
            if (!isWhole) {
                break;
            }
            taken.push({ entry, phase: entry.state.phase, endsOn: [...entry.unstoredEnds] });
            entry.unstoredEnds.clear();
            jobs.changes.take(entry);
        }
        return taken;
    }

    private addRemovals(batch: Batch): void {
        for (const [id, key] of this.removals) {
            const forget = (): void => void this.removals.delete(id);
            if (this.ctx.jobs.entries.has(jobOfProgress(key))) {
                forget();
                continue;
            }
            if (!batch.add({ puts: [], removals: [key], onStored: forget, onInvalid: forget })) {
                return;
            }
        }
    }

    private recordStored({ entry, phase, endsOn }: TakenJob): void {
        if (this.ctx.jobs.changes.isSuspended(entry)) {
            endsOn.forEach(worker => entry.unstoredEnds.add(worker));
            return;
        }
        this.ctx.jobs.changes.endSuspension(entry);
        this.publishPhase(entry, phase);
    }

    /** Suspends a job whose progress the store will not accept as it is; the others go on. */
    private suspend(entry: JobEntry, reason: string): void {
        const { jobs, options } = this.ctx;
        if (jobs.changes.isSuspended(entry)) {
            return;
        }
        jobs.changes.suspend(entry, options.timer.now());
        this.parts.dispatcher.dropUnstarted(entry);
        options.log.write(Severity.Error, EventId.JobSuspended, {
            job: entry.job.id,
            tasks: entry.state.tasks.length,
            runs: entry.runCount,
            suspensions: entry.suspension?.count,
            reason,
        });
    }

    private publishPhase(entry: JobEntry, phase: JobPhase): void {
        if (entry.storedPhase !== phase) {
            entry.storedPhase = phase;
            this.ctx.options.log.write(Severity.Info, EventId.JobPhaseStored, {
                job: entry.job.id,
                queue: entry.job.queue,
                phase,
                reason: entry.state.reason,
                batch: this.parts.guard.head.batch,
                ageMs: Math.round(this.ctx.clock.wallMs() - entry.job.acceptedAtMs),
            });
        }
    }

    /**
     * Commits the items of a batch; false if the tenure has ended. Items that the store will never accept together are stored in
     * parts, down to the one that it refuses by itself.
     */
    private async commit(items: readonly BatchItem[]): Promise<boolean> {
        const result = await this.commitRows(items);
        switch (result.kind) {
            case "committed":
                items.forEach(({ onStored }) => onStored?.());
                return this.ctx.isActive;
            case "superseded":
                this.parts.guard.supersede(
                    `store rejected batch ${this.parts.guard.head.batch + 1}: owner or chain row changed`,
                );
                return false;
            case "invalid":
                this.reportInvalid(items, result.reason);
                if (items.length === 1) {
                    items[0]!.onInvalid?.(result.reason);
                    return this.ctx.isActive;
                }
                return await this.commit(items.slice(0, items.length / 2))
                    && await this.commit(items.slice(items.length / 2));
        }
    }

    private reportInvalid(items: readonly BatchItem[], reason: string): void {
        const puts = items.flatMap(item => item.puts);
        const sizes = puts.map(({ value }) => Buffer.byteLength(value));
        const largest = puts[sizes.indexOf(Math.max(...sizes))];
        this.ctx.options.metrics.count("celerywind_invalid_batches_total");
        this.ctx.options.log.write(Severity.Error, EventId.BatchInvalid, {
            reason,
            items: items.length,
            rows: puts.length,
            removals: items.reduce((sum, { removals }) => sum + removals.length, 0),
            bytes: sizes.reduce((sum, bytes) => sum + bytes, 0),
            largestBytes: Math.max(0, ...sizes),
            largest: largest === undefined ? undefined : `${largest.table}/${largest.key}`,
        });
    }

    private async commitRows(items: readonly BatchItem[]): Promise<BatchResult> {
        const { timer, metrics } = this.ctx.options;
        const { guard } = this.parts;
        const puts = items.flatMap(item => item.puts);
        const sentAt = timer.now();
        const result = await runFlow(
            commitBatch(guard.head, puts, items.flatMap(({ removals }) => removals)),
            effect => this.performLedgerEffect(effect),
        );
        const batchMs = timer.now() - sentAt;
        this.batchSize.record(batchMs);
        metrics.observe("celerywind_batch_ms", batchMs);
        metrics.count("celerywind_batch_rows_total", {}, puts.length);
        if (result.kind === "committed") {
            guard.head = result.head;
            guard.recordConfirmed(sentAt);
        }
        return result;
    }

    private async performLedgerEffect(effect: LedgerEffect): Promise<unknown> {
        const { store, timer } = this.ctx.options;
        switch (effect.kind) {
            case "transact":
                // A batch commits once: its condition on the chain row lets no second send of it commit.
                return raceRepeated(timer, () => store.transact(effect.tx), {
                    overdueMs: this.batchSize.overdueMs,
                    maxSends: maxBatchSends,
                }).result;
            case "read-ownership":
                return { owner: await readRow(store, ownerKey(this.domain)) };
            case "pause":
                await sleep(timer, effect.ms);
                return undefined;
        }
    }
}

function rowId({ table, part, key }: RowKey): string {
    return `${table}/${part}/${key}`;
}
