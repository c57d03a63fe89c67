/**
 * One entry's time as the owner of a domain: from the takeover until it is superseded, gives the domain up, or
 * stops. Everything that starts, stops, renews or paces on the domain's workers happens here.
 */
import { type AcceptedJob, decodeState, encodeState, JobPhase, RunEnd, taskName } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { run } from "../process/flow.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import { readAll, readRow, type RowPut, type RowStore } from "../process/rows.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import type { Directory, Queue } from "../version/directory.js";
import { AdviceBook } from "./advice-book.js";
import { Durations } from "./durations.js";
import { JobBook, type JobEntry, type RunRecord, StartStatus, StopReason } from "./job-book.js";
import { acceptedRange, decodeJobRow, JobRowKind } from "./job-rows.js";
import { longestLeaseMs } from "./lease.js";
import { commitBatch, type LedgerEffect, type LedgerHead, maxBatchRows, progressKey } from "./ledger.js";
import { ownerKey, tables } from "./ownership.js";
import { decidePaces } from "./pacing.js";
import { exceedsCap, isImpossible, planStarts } from "./plan-starts.js";
import {
    type Adviser,
    type HoldResult,
    type OrderTarget,
    type Roster,
    type StartOrder,
    StartRefusal,
    type StartResult,
    type WorkerCalls,
} from "./ports.js";
import { type FoundEnd, reconcile } from "./reconcile.js";
import { TeamShare } from "./team-share.js";
import { noteDuration, WorkerBook, type WorkerState } from "./worker-book.js";

/** Durations that govern a tenure, in milliseconds. */
export interface TenureTimes {
    /** Length of the leases on workers. */
    readonly leaseMs: number;
    /** Longest wait of a hold for an end. */
    readonly holdWaitMs: number;
    /** Time without confirmed ownership after which nothing is ordered any more. */
    readonly trustMs: number;
    /** Period of reading the list of workers. */
    readonly rosterMs: number;
    /** How long final jobs stay known. */
    readonly keepFinalMs: number;
}

/** Options of `Tenure.create`. */
export interface TenureOptions {
    readonly head: LedgerHead;
    /** Whether the earlier owner is certain to have ended or to have given the domain up. */
    readonly isPreviousGone: boolean;
    readonly store: RowStore;
    readonly roster: Roster;
    readonly calls: WorkerCalls;
    readonly adviser: Adviser;
    readonly directory: () => Directory | undefined;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly times: TenureTimes;
    /** Called once when the tenure has ended without being asked to. */
    readonly onSuperseded: () => void;
}

const tickMs = 100;
const feedPauseMs = 400;
const feedWaitMs = 2000;
const retryMs = 150;
/** Period of reading the list of workers while VMs join a pool. */
const quickRosterMs = 150;
const stopRepeatMs = 300;
/** Longest wait for the storing of ends before a worker is held again, in milliseconds; its leases need renewal. */
const longestAckWaitMs = 800;
const paceTickMs = 200;
/** Most starts of one batch; keeps one burst from delaying the ends of others. */
const startsPerBatch = 64;
/** Pause in placing work on a worker after it refused or did not answer, by cause. */
const avoidMs = { noRoom: 200, unhealthy: 1000, unanswered: 500 } as const;
/** Failures in a row, of different tasks, from which a worker is suspected of failing everything. */
const suspectFailures = 3;
const suspectAvoidMs = 2500;
/** Progress reports arrive about once a second; without any rise for this long a run is taken for stalled. */
const stallMs = 2500;
const stallFactor = 2.5;
/** Difference between clocks from which the process is taken to have been suspended. */
const suspendedMs = 400;
const defaultMaxFailures = 3;
const fallbackAttempts = 4;

/** The owner of a domain while it lasts. */
export class Tenure {
    readonly jobs = JobBook.create();
    readonly workers: WorkerBook;
    readonly durations = Durations.create();
    private readonly advice: AdviceBook;
    private readonly share: TeamShare;
    private head: LedgerHead;
    private isActive = true;
    /** Set once the stored jobs are known; nothing starts before. */
    private isLoaded = false;
    private isPumping = false;
    private wantsPump = false;
    private isHandingOver = false;
    private confirmedAt: number;
    private wallOffset: number;
    private rosterSoonUntil = -Infinity;
    private readonly cancels: Cancel[] = [];
    private readonly unstarted = new Set<RunRecord>();
    private readonly held = new Set<string>();
    private readonly extraRows = new Map<string, RowPut>();
    private readonly storedWaiters: (() => void)[] = [];
    private readonly earlyCancels = new Set<string>();

    private constructor(private readonly options: TenureOptions) {
        const { head, timer, times, isPreviousGone } = options;
        const now = timer.now();
        this.head = head;
        this.confirmedAt = now;
        this.wallOffset = timer.wall() - now;
        const trusted = isPreviousGone ? 0 : times.trustMs;
        this.workers = WorkerBook.create({ inheritedUntil: now + trusted + longestLeaseMs(times.leaseMs) });
        this.share = TeamShare.create(timer, options.directory);
        this.advice = AdviceBook.create({ adviser: options.adviser, timer, log: options.log });
    }

    static create(options: TenureOptions): Tenure {
        return new Tenure(options);
    }

    get fence(): number {
        return this.head.owner.fence;
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
        const { timer } = this.options;
        this.every(tickMs, () => this.tick());
        this.every(paceTickMs, () => this.adjustPaces());
        const version = await this.load();
        if (version === undefined) {
            return;
        }
        this.isLoaded = true;
        this.options.log.write(Severity.Info, EventId.OwnerLoaded, {
            domain: this.head.domain,
            fence: this.fence,
            jobs: this.jobs.entries.size,
            runs: this.jobs.runs.size,
            inheritedUntilMs: Math.round(timer.now()),
        });
        void this.followRoster();
        void this.followJobs(version);
        this.pump();
    }

    /** Ends the tenure; nothing is ordered after this. */
    end(): void {
        this.isActive = false;
        this.cancels.forEach(cancel => cancel());
        this.options.calls.retain(new Set());
    }

    /** Stops placing work and waits for the batch in flight; the runs go on under their leases. */
    async handOver(): Promise<LedgerHead> {
        this.isHandingOver = true;
        const { timer } = this.options;
        while (this.isActive && (this.isPumping || this.jobs.dirtyCount > 0 || this.unstarted.size > 0)) {
            this.pump();
            await sleep(timer, retryMs / 10);
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
        const entry = this.jobs.accept(job, { isBeyondShare: this.share.isBeyond(job.team) });
        this.refuseImpossible(entry);
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

    /** Reads the list of workers more often for a while, since VMs are about to join a pool. */
    expectWorkers(forMs: number): void {
        this.rosterSoonUntil = Math.max(this.rosterSoonUntil, this.options.timer.now() + forMs);
    }

    /** Asks for the stop of a run. */
    stopRun(record: RunRecord, reason: StopReason): void {
        record.stopReason ??= reason;
        this.sendStopIfWanted(record);
    }

    /** Whether a task's run is at work by its worker's latest word. */
    isAtWork(entry: JobEntry, at: number): boolean {
        const { occurrence, step, index } = entry.state.tasks[at]!;
        const record = this.jobs.runs.get(taskName({ job: entry.job.id, occurrence, step, index }));
        return record !== undefined && record.stopReason === undefined && record.percent >= 100
            && this.workers.of(record).isReachable;
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

    /** Asks for a round of placing and storing. */
    pump(): void {
        this.wantsPump = true;
        if (!this.isPumping && this.isActive && this.isLoaded) {
            this.isPumping = true;
            void this.runPump();
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
        if (batch.length === 0 && extra.length === 0) {
            return;
        }
        const acknowledged = this.jobs.dirtyCount === 0 ? this.endsSeen() : [];
        const snapshot = batch.map(entry => ({ entry, phase: entry.state.phase }));
        const stored = await this.store([...batch.map(entry => this.progressRow(entry)), ...extra]);
        if (!stored) {
            return;
        }
        snapshot.forEach(({ entry, phase }) => this.show(entry, phase));
        for (const { worker, born, seen } of acknowledged) {
            worker.acknowledged = worker.born === born
                ? Math.max(worker.acknowledged, seen)
                : worker.acknowledged;
        }
        this.storedWaiters.splice(0).forEach(resolve => resolve());
        this.startStored(new Set(batch));
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

    private endsSeen() {
        return [...this.workers.workers.values()]
            .filter(worker => worker.seen > worker.acknowledged)
            .map(worker => ({ worker, born: worker.born, seen: worker.seen }));
    }

    private progressRow(entry: JobEntry): RowPut {
        return { ...progressKey(this.head.domain, entry.job.id), value: encodeState(entry.state) };
    }

    private async store(puts: readonly RowPut[]): Promise<boolean> {
        const { timer, metrics } = this.options;
        const sentAt = timer.now();
        const result = await run(commitBatch(this.head, puts), effect => this.performLedger(effect));
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

    private place(): void {
        const directory = this.options.directory();
        if (directory === undefined || this.isHandingOver) {
            return;
        }
        const { timer, log } = this.options;
        const now = timer.now();
        const placements = planStarts({
            jobs: this.jobs,
            workers: this.workers.workers.values(),
            directory,
            durations: this.durations,
            ticketsFor: (entry, occurrence, step) => this.advice.ticketsFor(entry, occurrence, step),
            now,
            wallMs: timer.wall(),
            limit: startsPerBatch,
        });
        for (const { entry, at, worker, ticket } of placements) {
            const record = this.jobs.claim(entry, at, worker.id, worker.born, now);
            this.workers.addRun(record);
            this.unstarted.add(record);
            if (ticket !== undefined) {
                this.advice.note(record, ticket);
            }
            log.write(Severity.Info, EventId.RunClaimed, {
                task: record.name,
                run: record.run,
                worker: worker.id,
                heldAgeMs: Math.round(now - worker.heldAt),
                freeCpu: worker.listed.capacity.cpu - worker.used.cpu,
                waiting: this.jobs.activeEntries.size,
                lists: directory.version,
            });
        }
    }

    private startStored(stored: ReadonlySet<JobEntry>): void {
        for (const record of this.unstarted) {
            if (stored.has(record.entry)) {
                this.unstarted.delete(record);
                void this.startRun(record);
            }
        }
    }

    private async startRun(record: RunRecord): Promise<void> {
        const { timer, times, calls, metrics } = this.options;
        const worker = this.workers.of(record);
        const isStale = record.stopReason !== undefined || worker.born !== record.born;
        if (isStale || !this.mayOrder()) {
            this.endRun({ record, how: RunEnd.Lost, saved: "" });
            return;
        }
        const task = record.entry.state.tasks[record.at]!;
        const ticket = this.advice.ticketOf(record);
        const order: StartOrder = {
            task: record.name,
            run: record.run,
            fence: this.fence,
            leaseUntil: worker.lease.grant(times.leaseMs, timer.now()),
            payload: record.entry.job.spec.payload,
            saved: task.saved,
            ...(ticket !== undefined && { ticket }),
        };
        record.start = StartStatus.Sent;
        const sentAt = timer.now();
        const result = await calls.start(targetOf(worker), order);
        metrics.observe("celerywind_start_ms", timer.now() - sentAt);
        if (this.isActive && this.jobs.runs.get(record.name) === record) {
            this.noteStart(record, worker, result);
        }
    }

    private noteStart(record: RunRecord, worker: WorkerState, result: StartResult): void {
        const { timer, metrics, log } = this.options;
        const now = timer.now();
        switch (result.kind) {
            case "started":
                worker.lease.read(result.clockMs, now);
                if (record.start === StartStatus.Sent) {
                    record.start = StartStatus.Confirmed;
                    record.startedAt = now;
                    record.percentAt = now;
                }
                metrics.count("celerywind_runs_started_total");
                metrics.observe(
                    "celerywind_first_start_ms",
                    timer.wall() - record.entry.job.acceptedAtMs,
                    { queue: record.entry.job.queue },
                );
                this.sendStopIfWanted(record);
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
                this.endRun({ record, how: RunEnd.Lost, saved: "" });
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
                    this.sendStopIfWanted(record);
                }
        }
    }

    private noteRefusal(worker: WorkerState, reason: StartRefusal): void {
        const now = this.options.timer.now();
        switch (reason) {
            case StartRefusal.Fenced:
                void this.confirm();
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

    private endRun(end: FoundEnd): void {
        const { record, how, saved } = end;
        const { timer, log } = this.options;
        if (this.jobs.runs.get(record.name) !== record) {
            return;
        }
        const now = timer.now();
        const worker = this.workers.of(record);
        this.learn(record, worker, how, now);
        this.workers.dropRun(record);
        this.unstarted.delete(record);
        this.jobs.end(record, { how, saved }, this.maxFailuresOf(record.entry), now);
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
        this.pump();
    }

    private learn(record: RunRecord, worker: WorkerState, how: RunEnd, now: number): void {
        const { entry, step, startedAt } = record;
        switch (how) {
            case RunEnd.Done: {
                const ms = now - startedAt;
                noteDuration(worker, ms, this.durations.expect(entry.job.queue, step.estimateMs));
                this.durations.learn(entry.job.queue, ms);
                worker.failuresInRow = 0;
                return;
            }
            case RunEnd.Failed:
                worker.failuresInRow += entry.failedOn.has(record.at) || step.isService ? 0 : 1;
                if (worker.failuresInRow >= suspectFailures) {
                    worker.avoidUntil = Math.max(worker.avoidUntil, now + suspectAvoidMs);
                    worker.failuresInRow = suspectFailures - 1;
                    this.options.log.write(Severity.Warn, EventId.WorkerSuspected, {
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
        return this.queueOf(entry)?.maxAttempts ?? defaultMaxFailures;
    }

    private queueOf(entry: JobEntry): Queue | undefined {
        return this.options.directory()?.queues.find(({ name }) => name === entry.job.queue);
    }

    /** Ends jobs at once that can never run: too large for any worker, or for their team's limit. */
    private refuseImpossible(entry: JobEntry): void {
        const queue = this.queueOf(entry);
        const directory = this.options.directory();
        if (queue === undefined || directory === undefined || entry.finalAt !== undefined) {
            return;
        }
        const workers = [...this.workers.workers.values()].filter(worker =>
            worker.isListed && worker.listed.pool === queue.pool
        );
        const cap = directory.teams.get(entry.job.team)?.cap;
        for (const step of entry.job.spec.steps) {
            if (isImpossible(step, workers)) {
                this.jobs.fail(entry, "no-worker-can-run-it", this.options.timer.now());
            }
            else if (cap !== undefined && exceedsCap(step, cap)) {
                this.jobs.fail(entry, "beyond-team-limit", this.options.timer.now());
            }
        }
    }

    // Workers

    private async followRoster(): Promise<void> {
        const { roster, timer, times, log, calls } = this.options;
        let isLost = false;
        while (this.isActive) {
            try {
                const list = await roster.list();
                this.adoptRoster(list);
                calls.retain(new Set([...this.workers.workers.values()].map(({ listed }) => listed.address)));
                if (isLost) {
                    log.write(Severity.Info, EventId.RosterRegained, { workers: list.length });
                }
                isLost = false;
            }
            catch (err) {
                if (!isLost) {
                    log.write(Severity.Warn, EventId.RosterLost, { err: messageOf(err) });
                }
                isLost = true;
            }
            await sleep(timer, timer.now() < this.rosterSoonUntil ? quickRosterMs : times.rosterMs);
        }
    }

    private adoptRoster(list: Awaited<ReturnType<Roster["list"]>>): void {
        if (!this.isActive) {
            return;
        }
        const spare = this.options.directory()?.pools;
        const fresh = this.workers.update(list.filter(worker => spare?.get(worker.pool)?.isSpare !== true));
        for (const worker of fresh) {
            this.options.log.write(Severity.Info, EventId.WorkerListed, {
                worker: worker.id,
                pool: worker.listed.pool,
                born: worker.born,
            });
        }
        for (const worker of this.workers.workers.values()) {
            if (!this.held.has(worker.id) && worker.listed.address !== "") {
                this.held.add(worker.id);
                void this.holdWorker(worker);
            }
            if (worker.listed.isDraining) {
                this.evacuate(worker);
            }
        }
        this.pump();
    }

    /** Moves services away from a draining worker; other runs finish there while they can. */
    private evacuate(worker: WorkerState): void {
        for (const record of worker.runs.values()) {
            if (record.step.isService && record.stopReason === undefined) {
                this.stopRun(record, StopReason.WorkerDraining);
            }
        }
    }

    private async holdWorker(worker: WorkerState): Promise<void> {
        const { timer } = this.options;
        while (this.isActive && (worker.isListed || worker.runs.size > 0)) {
            if (!this.mayOrder()) {
                await sleep(timer, retryMs);
                continue;
            }
            const wasReachable = worker.isReachable;
            const result = await this.holdOnce(worker);
            if (!this.isActive) {
                return;
            }
            if (result.kind !== "held") {
                this.noteHoldFailure(worker, wasReachable, result);
                await sleep(timer, worker.isListed ? retryMs : retryMs * fallbackAttempts);
            }
            await this.untilAcknowledged(worker);
        }
        this.held.delete(worker.id);
        if (worker.runs.size === 0 && !worker.isListed) {
            this.workers.forget(worker);
        }
    }

    /** Waits until a worker's ends are stored; a hold before then would return the same ends at once. */
    private async untilAcknowledged(worker: WorkerState): Promise<void> {
        const { timer } = this.options;
        const deadline = timer.now() + longestAckWaitMs;
        while (this.isActive && worker.seen > worker.acknowledged && timer.now() < deadline) {
            await Promise.race([
                new Promise<void>(resolve => this.storedWaiters.push(resolve)),
                sleep(timer, longestAckWaitMs),
            ]);
        }
    }

    private async holdOnce(worker: WorkerState): Promise<HoldResult> {
        const { timer, times, calls, metrics } = this.options;
        const sentAt = timer.now();
        // A worker that does not answer gets no new lease, or its runs could never be called lost.
        const renews = worker.isHeld && worker.isReachable && worker.lease.isKnown;
        const result = await calls.hold(targetOf(worker), {
            fence: this.fence,
            acknowledged: worker.acknowledged,
            waitMs: renews ? times.holdWaitMs : 0,
            ...(renews && { leaseUntil: worker.lease.grant(times.leaseMs, sentAt) }),
        });
        metrics.count("celerywind_holds_total", { result: result.kind });
        if (result.kind === "held" && this.isActive) {
            this.noteHold(worker, result, sentAt);
        }
        return result;
    }

    private noteHold(
        worker: WorkerState,
        result: Extract<HoldResult, { kind: "held" }>,
        sentAt: number,
    ): void {
        const now = this.options.timer.now();
        if (result.born < worker.born) {
            return;
        }
        this.workers.noteLife(worker, result.born);
        worker.lease.read(result.clockMs, now);
        worker.heldAt = now;
        const gained = !worker.isHeld || !worker.isReachable;
        worker.isHeld = true;
        worker.isReachable = true;
        const found = reconcile({
            born: worker.born,
            running: result.running,
            ended: result.ended.filter(end => end.position > worker.seen),
            seen: worker.seen,
            sentAt,
            records: worker.runs,
        });
        worker.seen = found.seen;
        for (const { record, report } of found.running) {
            this.noteRunning(record, report.percent, report.reading, now);
        }
        found.ended.forEach(end => this.endRun(end));
        for (const { task, run } of found.unwanted) {
            void this.options.calls.stop(targetOf(worker), task, run, this.fence);
        }
        if (gained || worker.seen > worker.acknowledged) {
            this.pump();
        }
    }

    private noteRunning(record: RunRecord, percent: number, reading: number, now: number): void {
        record.reading = reading;
        if (record.start !== StartStatus.Confirmed) {
            record.start = StartStatus.Confirmed;
            record.startedAt = now;
            record.percentAt = now;
        }
        if (percent > record.percent) {
            record.percent = percent;
            record.percentAt = now;
        }
        this.sendStopIfWanted(record);
    }

    private noteHoldFailure(
        worker: WorkerState,
        wasReachable: boolean,
        failure: Exclude<HoldResult, { kind: "held" }>,
    ): void {
        const { reason } = failure;
        worker.isReachable = false;
        if (failure.kind === "refused" && failure.reason === StartRefusal.Fenced) {
            void this.confirm();
        }
        if (wasReachable) {
            this.options.log.write(Severity.Warn, EventId.WorkerUnreachable, {
                worker: worker.id,
                reason,
                runs: worker.runs.size,
                leasesEndInMs: Math.round(worker.lease.endsBy() - this.options.timer.now()),
            });
        }
    }

    private sendStopIfWanted(record: RunRecord): void {
        const { timer, calls } = this.options;
        const now = timer.now();
        const isOrdered = record.start !== StartStatus.Recorded;
        if (
            record.stopReason === undefined || record.stopConfirmedAt !== undefined || !isOrdered
            || now - record.stopSentAt < stopRepeatMs || !this.mayOrder()
        ) {
            return;
        }
        record.stopSentAt = now;
        const worker = this.workers.of(record);
        void calls.stop(targetOf(worker), record.name, record.run, this.fence).then(result => {
            if (result.kind === "done") {
                record.stopConfirmedAt = timer.now();
            }
        });
    }

    // Time

    private tick(): void {
        if (!this.isActive || !this.isLoaded) {
            return;
        }
        const { timer } = this.options;
        const now = timer.now();
        for (const record of [...this.jobs.runs.values()]) {
            this.checkRun(record, now);
        }
        for (const entry of this.jobs.activeEntries) {
            if (entry.job.spec.schedule !== undefined) {
                this.jobs.addDueOccurrences(entry, timer.wall());
            }
        }
        this.askAdvice();
        this.pump();
    }

    private checkRun(record: RunRecord, now: number): void {
        const worker = this.workers.of(record);
        if (record.start === StartStatus.Recorded) {
            return;
        }
        if (!worker.isReachable && now >= worker.lease.endsBy()) {
            this.endRun({ record, how: RunEnd.Lost, saved: "" });
            return;
        }
        if (record.stopReason === undefined && this.isStalled(record, now)) {
            record.stopReason = StopReason.Stalled;
            worker.avoidUntil = Math.max(worker.avoidUntil, now + suspectAvoidMs);
            record.entry.failedOn.set(
                record.at,
                (record.entry.failedOn.get(record.at) ?? new Set()).add(worker.id),
            );
            this.options.log.write(Severity.Warn, EventId.RunStalled, {
                task: record.name,
                run: record.run,
                worker: worker.id,
                percent: record.percent,
            });
        }
        this.sendStopIfWanted(record);
    }

    private isStalled(record: RunRecord, now: number): boolean {
        const { entry, step, start, startedAt, percentAt, pace } = record;
        if (start !== StartStatus.Confirmed || step.isBestEffort || pace < 100 || step.isGang) {
            return false;
        }
        if (step.isService) {
            return false;
        }
        const expected = this.durations.expect(entry.job.queue, step.estimateMs);
        return now - startedAt > stallFactor * expected + stallMs && now - percentAt > stallMs;
    }

    private adjustPaces(): void {
        if (!this.isActive || !this.mayOrder()) {
            return;
        }
        for (const worker of this.workers.workers.values()) {
            if (worker.runs.size > 0 && worker.isReachable) {
                for (const { record, percent } of decidePaces([...worker.runs.values()])) {
                    this.pace(worker, record, percent);
                }
            }
        }
    }

    private pace(worker: WorkerState, record: RunRecord, percent: number): void {
        const before = record.pace;
        record.pace = percent;
        const { calls, log } = this.options;
        void calls.pace(targetOf(worker), record.name, record.run, percent, this.fence).then(result => {
            if (result.kind === "failed") {
                record.pace = before;
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
        const directory = this.options.directory();
        const queues = directory?.queues.filter(({ needsAdvice }) => needsAdvice) ?? [];
        for (const queue of queues) {
            const workers = [...this.workers.workers.values()]
                .filter(worker => worker.isListed && worker.listed.pool === queue.pool)
                .map(({ id }) => id);
            for (const entry of this.jobs.activeEntries) {
                if (entry.job.queue === queue.name) {
                    this.advice.ask(entry, this.jobs.openTasks(entry), workers, () => this.pump());
                }
            }
        }
    }

    // Store

    private async load(): Promise<number | undefined> {
        const { store, timer, log } = this.options;
        while (this.isActive) {
            try {
                const progress = await readAll(store, { table: tables.progress, part: this.head.domain });
                const jobs = await readAll(store, acceptedRange);
                this.restore(
                    new Map(progress.rows.map(row => [row.key, row.value])),
                    jobs.rows.map(row => decodeJobRow(row)),
                );
                return jobs.version;
            }
            catch (err) {
                log.write(Severity.Warn, EventId.StoreUnavailable, { err: messageOf(err) });
                await sleep(timer, retryMs);
            }
        }
        return undefined;
    }

    private restore(
        progress: ReadonlyMap<string, string>,
        rows: readonly ReturnType<typeof decodeJobRow>[],
    ): void {
        const now = this.options.timer.now();
        for (const row of rows) {
            if (row.kind === JobRowKind.Accepted) {
                const text = progress.get(row.job.id);
                const state = text === undefined ? undefined : decodeState(row.job, text);
                if (text !== undefined && state === undefined) {
                    this.options.log.write(Severity.Error, EventId.RowMalformed, { job: row.job.id });
                    continue;
                }
                if (state === undefined) {
                    this.jobs.accept(row.job);
                }
                else {
                    this.jobs.restore(row.job, state, now);
                }
            }
        }
        for (const record of this.jobs.runs.values()) {
            this.workers.addRun(record);
        }
        for (const row of rows) {
            if (row.kind === JobRowKind.Cancelled) {
                this.cancel(row.id);
            }
        }
    }

    private async followJobs(since: number): Promise<void> {
        const { store, timer, log } = this.options;
        let version = since;
        while (this.isActive) {
            try {
                const result = await store.feed(tables.jobs, version, feedWaitMs);
                if (result.kind === "history-lost") {
                    log.write(Severity.Warn, EventId.StoreHistoryLost, { table: tables.jobs, version });
                    const page = await readAll(store, acceptedRange);
                    page.rows.forEach(row => this.takeJobRow(row));
                    version = page.version;
                }
                else {
                    result.rows.forEach(row => this.takeJobRow(row));
                    version = Math.max(version, result.version);
                }
                await sleep(timer, feedPauseMs);
            }
            catch (err) {
                log.write(Severity.Warn, EventId.StoreUnavailable, {
                    table: tables.jobs,
                    err: messageOf(err),
                });
                await sleep(timer, retryMs);
            }
        }
    }

    private takeJobRow(stored: Parameters<typeof decodeJobRow>[0]): void {
        const row = decodeJobRow(stored);
        switch (row.kind) {
            case JobRowKind.Accepted:
                this.accept(row.job);
                return;
            case JobRowKind.Cancelled:
                this.cancel(row.id);
                return;
            case JobRowKind.Refused:
            case JobRowKind.Other:
                return;
        }
    }

    private every(ms: number, fn: () => void): void {
        this.cancels.push(this.options.timer.every(ms, fn));
    }
}

function targetOf(worker: WorkerState): OrderTarget {
    return { worker: worker.id, address: worker.listed.address };
}
