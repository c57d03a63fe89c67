/**
 * The rounds of a tenure: each places waiting tasks and stores the progress of jobs in one batch, after which the claimed
 * runs are started and the ends of others acknowledged.
 */
import { encodeState, type JobPhase } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { runFlow } from "../process/flow.js";
import { readRow, type RowKey, type RowPut } from "../process/rows.js";
import { sleep } from "../process/timer.js";
import { raceRepeated } from "../process/transaction-race.js";
import type { LeaseBoundsRecorder } from "./lease-bounds-recorder.js";
import { commitBatch, type LedgerEffect, maxBatchRows, progressKey } from "./ledger.js";
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

/** Places tasks and stores the progress of jobs. */
export class ProgressWriter {
    private readonly batchSize = BatchSize.create();
    private isRoundRunning = false;
    private isRoundRequested = false;
    private readonly extraPuts = new Map<string, RowPut>();
    /** Progress rows of removed jobs, which are removed with the next batch. */
    private readonly progressRemovals = new Map<string, RowKey>();

    constructor(private readonly ctx: TenureContext, private readonly parts: ProgressWriterParts) {}

    /** Whether changes are not stored yet, or a batch is in flight. */
    get hasPendingWork(): boolean {
        return this.isRoundRunning || this.ctx.jobs.dirtyCount > 0
            || this.parts.dispatcher.queuedStartCount > 0;
    }

    /** Stores a row with the next batch, which is only committed if this entry is still the owner. */
    putWithNextBatch(put: RowPut): void {
        this.extraPuts.set(`${put.table}/${put.part}/${put.key}`, put);
        this.requestRound();
    }

    /** Schedules the removal of a progress row without a job, with the next batch. */
    removeProgress(id: string): void {
        this.progressRemovals.set(id, progressKey(this.domain, id));
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
        const { guard, placer, dispatcher, workerMonitor, leaseBounds: recorder, ownerState } = this.parts;
        if (!guard.mayOrder()) {
            if (!await guard.confirm()) {
                await sleep(this.ctx.options.timer, retryDelayMs);
                this.isRoundRequested = this.ctx.isActive;
                return;
            }
        }
        placer.placeTasks(Math.max(0, this.batchSize.maxStarts - dispatcher.queuedStartCount));
        this.ctx.phases.observe(jobs, this.ctx.workers);
        const leaseBounds = recorder.takeRow();
        const extra = [...this.extraPuts.values(), ...leaseBounds === undefined ? [] : [leaseBounds]];
        const isStoring = jobs.dirtyCount > 0 || extra.length > 0;
        extra.push(...isStoring ? ownerState.takeRows() : []);
        this.extraPuts.clear();
        const batch = jobs.takeDirty(maxBatchRows - extra.length);
        const removals = [...this.progressRemovals.values()].slice(
            0,
            maxBatchRows - extra.length - batch.length,
        );
        if (batch.length === 0 && extra.length === 0 && removals.length === 0) {
            return;
        }
        const acknowledged = jobs.dirtyCount === 0 ? workerMonitor.unacknowledgedEnds() : [];
        const snapshot = batch.map(entry => ({ entry, phase: entry.state.phase }));
        const stored = await this.commitRows(
            [...batch.map(entry => this.progressRow(entry)), ...extra],
            removals,
        );
        if (!stored) {
            return;
        }
        if (leaseBounds !== undefined) {
            recorder.confirmStored();
        }
        removals.forEach(({ key }) => this.progressRemovals.delete(key));
        snapshot.forEach(({ entry, phase }) => this.publishPhase(entry, phase));
        workerMonitor.acknowledge(acknowledged);
        dispatcher.startStoredRuns(new Set(batch));
        this.isRoundRequested ||= jobs.dirtyCount > 0 || this.extraPuts.size > 0;
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

    private progressRow(entry: JobEntry): RowPut {
        return { ...progressKey(this.domain, entry.job.id), value: encodeState(entry.state) };
    }

    private async commitRows(puts: readonly RowPut[], removals: readonly RowKey[]): Promise<boolean> {
        const { timer, metrics } = this.ctx.options;
        const { guard } = this.parts;
        const sentAt = timer.now();
        const result = await runFlow(
            commitBatch(guard.head, puts, removals),
            effect => this.performLedgerEffect(effect),
        );
        const batchMs = timer.now() - sentAt;
        this.batchSize.record(batchMs);
        metrics.observe("celerywind_batch_ms", batchMs);
        metrics.count("celerywind_batch_rows_total", {}, puts.length);
        switch (result.kind) {
            case "committed":
                guard.head = result.head;
                guard.recordConfirmed(sentAt);
                return this.ctx.isActive;
            case "superseded":
                guard.supersede(`store rejected batch ${guard.head.batch + 1}: owner or chain row changed`);
                return false;
        }
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
