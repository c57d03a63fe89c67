/**
 * One entry's time as the owner of a domain: from the takeover until it is superseded, gives the domain up, or
 * stops. Everything that starts, stops, renews or paces on the domain's workers happens here.
 */
import { type AcceptedJob, encodeState, type JobPhase } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { run } from "../process/flow.js";
import {
    isSameRow,
    readRow,
    type RowKey,
    type RowPut,
    TransactKind,
    type TransactOutcome,
} from "../process/rows.js";
import { type Cancel, sleep } from "../process/timer.js";
import { AdviceCache } from "./advice-cache.js";
import { DurationEstimator } from "./duration-estimator.js";
import { JobBook, type JobEntry } from "./job-book.js";
import { jobPart, removalOf } from "./job-rows.js";
import { JobSource } from "./job-source.js";
import { longestLeaseMs } from "./lease.js";
import { commitBatch, type LedgerEffect, type LedgerHead, maxBatchRows, progressKey } from "./ledger.js";
import { ownerKey } from "./ownership.js";
import { planStarts } from "./plan-starts.js";
import { RunDispatcher } from "./run-dispatcher.js";
import { RunMonitor } from "./run-monitor.js";
import { TeamShareLimiter } from "./team-share-limiter.js";
import { retryMs, type TenureContext, type TenureOptions } from "./tenure-context.js";
import { WorkerMonitor } from "./worker-monitor.js";
import { WorkerRegistry } from "./worker-registry.js";

const tickMs = 100;
const paceTickMs = 200;
/** Period of forgetting old jobs, and how many are forgotten at once; a transaction holds two rows of each. */
const sweepMs = 5000;
const forgottenAtOnce = 40;
/** Period of looking at a hand-over that waits for the batch in flight. */
const handOverCheckMs = 15;
/** Longest wait for it; a planned stop has a grace of some seconds in all, and the next owner waits for this one. */
const longestHandOverMs = 1000;
/** Most starts of one batch; keeps one burst from delaying the ends of others. */
const startsPerBatch = 64;
/** Difference between clocks from which the process is taken to have been suspended. */
const suspendedMs = 400;

/** The owner of a domain while it lasts. */
export class Tenure implements TenureContext {
    readonly jobs = JobBook.create();
    readonly workers: WorkerRegistry;
    readonly durations = DurationEstimator.create();
    readonly advice: AdviceCache;
    readonly desk: RunDispatcher;
    readonly watch: WorkerMonitor;
    private readonly runWatch: RunMonitor;
    private readonly source: JobSource;
    private readonly share: TeamShareLimiter;
    private head: LedgerHead;
    private hasEnded = false;
    /** Set once the stored jobs are known; nothing starts before. */
    private isLoaded = false;
    private isPumping = false;
    private wantsPump = false;
    private isHandingOver = false;
    private confirmedAt: number;
    private wallOffset: number;
    private readonly cancels: Cancel[] = [];
    private readonly extraRows = new Map<string, RowPut>();
    /** Rows of progress whose jobs are forgotten. */
    private readonly removals = new Map<string, RowKey>();
    private readonly earlyCancels = new Set<string>();

    private constructor(readonly options: TenureOptions) {
        const { head, timer, times, isPreviousGone } = options;
        const now = timer.now();
        this.head = head;
        this.confirmedAt = now;
        this.wallOffset = timer.wall() - now;
        const trusted = isPreviousGone ? 0 : times.trustMs;
        this.workers = WorkerRegistry.create({
            inheritedLeasesUntil: now + trusted + longestLeaseMs(times.leaseMs),
        });
        this.share = TeamShareLimiter.create(timer, options.directory);
        this.advice = AdviceCache.create({ adviser: options.adviser, timer, log: options.log });
        this.desk = new RunDispatcher(this, worker => this.watch.probe(worker));
        this.watch = new WorkerMonitor(this, this.desk);
        this.runWatch = new RunMonitor(this, this.desk);
        this.source = new JobSource(this, head.domain, this);
    }

    static create(options: TenureOptions): Tenure {
        return new Tenure(options);
    }

    get fence(): number {
        return this.head.owner.fence;
    }

    get isActive(): boolean {
        return !this.hasEnded;
    }

    /** Whether stored jobs have been read, so that an unknown id means that there was no such job. */
    get isReady(): boolean {
        return this.isLoaded;
    }

    /** Whether orders may be given: ownership was confirmed lately and the process was not suspended since. */
    mayOrder(): boolean {
        const { timer, times } = this.options;
        const now = timer.now();
        const jump = timer.wall() - now - this.wallOffset;
        if (Math.abs(jump) > suspendedMs) {
            this.wallOffset += jump;
            this.confirmedAt = -Infinity;
            void this.confirm();
        }
        return this.isActive && now - this.confirmedAt < times.trustMs;
    }

    /** Loads the stored jobs and begins to give orders. */
    async start(): Promise<void> {
        this.every(tickMs, () => this.runWatch.check());
        this.every(sweepMs, () => void this.forgetFinal());
        this.every(paceTickMs, () => this.runWatch.adjustPaces());
        const version = await this.source.load();
        if (version === undefined) {
            return;
        }
        this.isLoaded = true;
        this.options.log.write(Severity.Info, EventId.OwnerLoaded, {
            domain: this.head.domain,
            fence: this.fence,
            jobs: this.jobs.entries.size,
            runs: this.jobs.runs.size,
            isPreviousGone: this.options.isPreviousGone,
        });
        this.watch.start();
        void this.source.follow(version);
        this.pump();
    }

    /** Ends the tenure; nothing is ordered after this. */
    end(): void {
        this.hasEnded = true;
        this.cancels.forEach(cancel => cancel());
        this.options.calls.retain(new Set());
    }

    /**
     * Stops placing work and waits for the batch in flight; the runs go on under their leases. When the store keeps
     * refusing, what is not stored is left to the next owner: it was not acknowledged, so workers report it again.
     */
    async handOver(): Promise<LedgerHead> {
        this.isHandingOver = true;
        const { timer } = this.options;
        const deadline = timer.now() + longestHandOverMs;
        const isPending = () =>
            this.isPumping || this.jobs.dirtyCount > 0 || this.desk.awaitingStoreCount > 0;
        while (this.isActive && isPending() && timer.now() < deadline) {
            this.pump();
            await sleep(timer, handOverCheckMs);
        }
        const { head } = this;
        this.end();
        return head;
    }

    /** Takes a job that some entry has stored. */
    accept(job: AcceptedJob): void {
        if (this.jobs.entries.has(job.id)) {
            return;
        }
        const entry = this.jobs.accept(job, { isBeyondShare: this.share.chargeJob(job.team) });
        if (this.earlyCancels.delete(job.id)) {
            this.jobs.cancel(entry, this.options.timer.now());
        }
        this.pump();
    }

    /** Cancels a job whose cancellation some entry has stored. */
    cancel(id: string): void {
        const entry = this.jobs.entries.get(id);
        if (entry === undefined) {
            this.earlyCancels.add(id);
            return;
        }
        if (entry.finalAt === undefined) {
            this.jobs.cancel(entry, this.options.timer.now());
            this.options.log.write(Severity.Info, EventId.JobCancelled, { job: id, runs: entry.runs });
            this.pump();
        }
    }

    /** Phase of a job as stored; undefined for an unknown one. */
    phaseOf(id: string): JobPhase | undefined {
        return this.jobs.entries.get(id)?.shown;
    }

    /** Number of a queue's jobs of which nothing has started. */
    pendingOf(queue: string): number {
        let pending = 0;
        for (const { job, hasBegun } of this.jobs.activeEntries) {
            pending += job.queue === queue && !hasBegun ? 1 : 0;
        }
        return pending;
    }

    /** Notes that the owner before this one gives no more orders. */
    notePredecessorGone(): void {
        const { timer, times, log } = this.options;
        this.workers.limitInheritedLeases(timer.now() + longestLeaseMs(times.leaseMs));
        log.write(Severity.Info, EventId.OwnerGone, { domain: this.head.domain, fence: this.fence });
    }

    /** Stores a row with the next batch, after which it is certain that this entry was still the owner. */
    storeRow(put: RowPut): void {
        this.extraRows.set(`${put.table}/${put.part}/${put.key}`, put);
        this.pump();
    }

    /** Confirms at the store that this entry is still the owner; true when it is. */
    async confirm(): Promise<boolean> {
        const { store, timer } = this.options;
        const sentAt = timer.now();
        try {
            const row = await readRow(store, ownerKey(this.head.domain));
            if (row?.version !== this.head.ownerVersion) {
                this.supersede("owner row changed");
                return false;
            }
            this.confirmedAt = Math.max(this.confirmedAt, sentAt);
            return this.isActive;
        }
        catch (err) {
            this.options.log.write(Severity.Warn, EventId.OwnerUnconfirmed, { err: messageOf(err) });
            return false;
        }
    }

    /** Stores a row that must have a version, under the condition that this entry is still the owner. */
    async storeOwned(put: RowPut, version: number): Promise<TransactOutcome> {
        const { store, timer } = this.options;
        const sentAt = timer.now();
        const owner = { ...ownerKey(this.head.domain), version: this.head.ownerVersion };
        const { table, part, key } = put;
        const conditions = [owner, { table, part, key, version }];
        const outcome = await store.transact({ conditions, puts: [put], removals: [] });
        if (outcome.kind === TransactKind.Committed) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt);
        }
        if (outcome.kind === TransactKind.Conflict) {
            const found = outcome.rows.find(row => isSameRow(row, owner));
            if (found?.version !== owner.version) {
                this.supersede("owner row changed");
            }
        }
        return outcome;
    }

    /** Asks for a round of placing and storing. */
    pump(): void {
        this.wantsPump = true;
        if (!this.isPumping && this.isActive && this.isLoaded) {
            this.isPumping = true;
            // Deferred, so that all that one answer tells goes into one batch.
            queueMicrotask(() => void this.runPump());
        }
    }

    private async runPump(): Promise<void> {
        try {
            while (this.wantsPump && this.isActive) {
                this.wantsPump = false;
                await this.round();
            }
        }
        catch (err) {
            this.options.log.write(Severity.Error, EventId.TaskFailed, { task: "pump", err: messageOf(err) });
        }
        finally {
            this.isPumping = false;
        }
    }

    private async round(): Promise<void> {
        if (!this.mayOrder()) {
            if (!await this.confirm()) {
                await sleep(this.options.timer, retryMs);
                this.wantsPump = this.isActive;
                return;
            }
        }
        this.place();
        const batch = this.jobs.takeDirty(maxBatchRows - this.extraRows.size);
        const extra = [...this.extraRows.values()];
        this.extraRows.clear();
        const removals = [...this.removals.values()].slice(0, maxBatchRows - extra.length - batch.length);
        if (batch.length === 0 && extra.length === 0 && removals.length === 0) {
            return;
        }
        const acknowledged = this.jobs.dirtyCount === 0 ? this.watch.unacknowledgedEnds() : [];
        const snapshot = batch.map(entry => ({ entry, phase: entry.state.phase }));
        const stored = await this.store([...batch.map(entry => this.progressRow(entry)), ...extra], removals);
        if (!stored) {
            return;
        }
        removals.forEach(({ key }) => this.removals.delete(key));
        snapshot.forEach(({ entry, phase }) => this.show(entry, phase));
        this.watch.acknowledge(acknowledged);
        this.desk.startStoredRuns(new Set(batch));
        this.wantsPump ||= this.jobs.dirtyCount > 0 || this.extraRows.size > 0;
    }

    private show(entry: JobEntry, phase: JobPhase): void {
        if (entry.shown !== phase) {
            entry.shown = phase;
            this.options.log.write(Severity.Info, EventId.JobPhaseStored, {
                job: entry.job.id,
                queue: entry.job.queue,
                phase,
                reason: entry.state.reason,
                batch: this.head.batch,
                ageMs: Math.round(this.options.timer.wall() - entry.job.acceptedAtMs),
            });
        }
    }

    private progressRow(entry: JobEntry): RowPut {
        return { ...progressKey(this.head.domain, entry.job.id), value: encodeState(entry.state) };
    }

    private async store(puts: readonly RowPut[], removals: readonly RowKey[]): Promise<boolean> {
        const { timer, metrics } = this.options;
        const sentAt = timer.now();
        const result = await run(
            commitBatch(this.head, puts, removals),
            effect => this.performLedger(effect),
        );
        metrics.observe("celerywind_batch_ms", timer.now() - sentAt);
        metrics.count("celerywind_batch_rows_total", {}, puts.length);
        switch (result.kind) {
            case "committed":
                this.head = result.head;
                this.confirmedAt = Math.max(this.confirmedAt, sentAt);
                return this.isActive;
            case "superseded":
                this.supersede("batch refused");
                return false;
        }
    }

    private async performLedger(effect: LedgerEffect): Promise<unknown> {
        const { store, timer } = this.options;
        switch (effect.kind) {
            case "transact":
                return store.transact(effect.tx);
            case "read-owner":
                return readRow(store, ownerKey(this.head.domain));
            case "pause":
                await sleep(timer, effect.ms);
                return undefined;
        }
    }

    /** Ends the tenure because another entry has taken the domain over. */
    supersede(cause: string): void {
        if (this.isActive) {
            this.options.log.write(Severity.Warn, EventId.OwnerSuperseded, {
                domain: this.head.domain,
                fence: this.fence,
                cause,
            });
            this.end();
            this.options.onSuperseded();
        }
    }

    /** Takes note of progress whose job is forgotten already; its row goes with the next batch. */
    dropProgress(id: string): void {
        this.removals.set(id, progressKey(this.head.domain, id));
    }

    /**
     * Forgets jobs that have been final for long: first the rows of their acceptance, then their progress. In the
     * other order a job whose progress is gone would look like a new one to the next owner.
     */
    private async forgetFinal(): Promise<void> {
        const { timer, times, store } = this.options;
        const before = timer.now() - times.keepFinalMs;
        const old = [...this.jobs.entries.values()]
            .filter(({ finalAt, runs, isDirty }) =>
                finalAt !== undefined && finalAt < before && runs === 0 && !isDirty
            )
            .slice(0, forgottenAtOnce);
        if (!this.isLoaded || !this.mayOrder()) {
            return;
        }
        const byPart = new Map<string, JobEntry[]>();
        for (const entry of old) {
            const part = jobPart(entry.job.id);
            byPart.set(part, [...byPart.get(part) ?? [], entry]);
        }
        await Promise.all([...byPart.values()].map(async entries => {
            const outcome = await store.transact(removalOf(entries.map(({ job }) => job.id)));
            if (outcome.kind === TransactKind.Committed && this.isActive) {
                for (const entry of entries) {
                    this.jobs.forget(entry);
                    this.dropProgress(entry.job.id);
                }
                this.pump();
            }
        }));
    }

    private place(): void {
        const directory = this.options.directory();
        if (directory === undefined || this.isHandingOver) {
            return;
        }
        const { timer, log } = this.options;
        const now = timer.now();
        const placements = planStarts({
            jobs: this.jobs,
            workers: this.workers.byId.values(),
            directory,
            durations: this.durations,
            ticketsFor: (entry, occurrence, step) => this.advice.ticketsFor(entry, occurrence, step),
            now,
            wallMs: timer.wall(),
            limit: startsPerBatch,
        });
        for (const { entry, taskIndex: at, worker, ticket } of placements) {
            const record = this.jobs.claim(entry, at, worker.id, worker.startedAtMs, now);
            this.desk.enqueueStart(record);
            if (ticket !== undefined) {
                this.advice.setRunTicket(record, ticket);
            }
            log.write(Severity.Info, EventId.RunClaimed, {
                task: record.name,
                run: record.run,
                worker: worker.id,
                heldAgeMs: Math.round(now - worker.lastHoldAt),
                freeCpu: worker.listed.capacity.cpu - worker.reserved.cpu,
                waiting: this.jobs.activeEntries.size,
                lists: directory.version,
            });
        }
    }

    private every(ms: number, fn: () => void): void {
        this.cancels.push(this.options.timer.every(ms, fn));
    }
}
