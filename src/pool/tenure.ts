/**
 * The period for which one entry owns a domain: from its takeover until it is superseded, releases the domain, or shuts
 * down. All orders to the domain's workers (starting, stopping and pacing runs, renewing leases) originate here.
 */
import type { AcceptedJob, JobPhase } from "../job/index.js";
import { EventId, Severity } from "../process/events.js";
import type { RowKey, RowPut, TransactionOutcome } from "../process/rows.js";
import { type Cancel, sleep } from "../process/timer.js";
import { AdviceCache } from "./advice-cache.js";
import { AttemptLimits } from "./attempt-limits.js";
import { DurationEstimator } from "./duration-estimator.js";
import { EvacuationLog } from "./evacuation-log.js";
import { FleetHandover } from "./fleet-handover.js";
import { inheritedLeases } from "./inherited-leases.js";
import { JobRegistry } from "./job-registry.js";
import { JobRemover } from "./job-remover.js";
import type { MarkerVersion } from "./job-rows.js";
import { JobSource } from "./job-source.js";
import { KnownLists } from "./known-lists.js";
import { LeaseBoundsRecorder } from "./lease-bounds-recorder.js";
import type { EarlierOwner } from "./lease-bounds.js";
import type { LedgerHead } from "./ledger.js";
import { OwnerState } from "./owner-state.js";
import { type OrderBar, OwnershipGuard } from "./ownership-guard.js";
import { fenceRangeOf } from "./ownership.js";
import { ProgressWriter } from "./progress-writer.js";
import { type RunRecord, StartStatus } from "./records.js";
import { RunDispatcher } from "./run-dispatcher.js";
import { RunMonitor } from "./run-monitor.js";
import { FairShares } from "./scheduling/fair-shares.js";
import { Reservations } from "./scheduling/reservations.js";
import { RunTimeDistributions } from "./scheduling/run-time-distributions.js";
import { TakeoverPhases } from "./takeover-phases.js";
import { TaskPlacer } from "./task-placer.js";
import { TeamShareLimiter } from "./team-share-limiter.js";
import { TenureClock } from "./tenure-clock.js";
import { readUntilAnswered, type TenureContext, type TenureOptions } from "./tenure-context.js";
import { UnacceptedJobs } from "./unaccepted-jobs.js";
import { WorkerLiveness } from "./worker-liveness.js";
import { WorkerMonitor } from "./worker-monitor.js";
import { WorkerOutliers } from "./worker-outliers.js";
import { WorkerRegistry } from "./worker-registry.js";

const runCheckPeriodMs = 100;
const pacePeriodMs = 200;
/** Period of removing expired jobs. */
const removalPeriodMs = 5000;
/** Polling interval of a handover that waits for the batch in flight. */
const handOverPollMs = 15;
/**
 * Longest wait for that batch. A planned stop has a grace period of a few seconds in all, and the next owner waits for
 * this one.
 */
const handOverTimeoutMs = 1000;
/** One entry's ownership of a domain. */
export class Tenure implements TenureContext {
    readonly jobs = JobRegistry.create();
    readonly workers: WorkerRegistry;
    readonly liveness: WorkerLiveness;
    readonly clock: TenureClock;
    readonly durations: DurationEstimator;
    readonly advice: AdviceCache;
    readonly phases: TakeoverPhases;
    readonly fairShares: FairShares | undefined;
    readonly outliers: WorkerOutliers | undefined;
    readonly attemptLimits: AttemptLimits = new AttemptLimits(this);
    readonly knownLists = KnownLists.create();
    readonly reservations: Reservations | undefined;
    readonly runController: RunDispatcher;
    readonly workerMonitor: WorkerMonitor;
    private readonly leaseBounds: LeaseBoundsRecorder;
    private readonly runMonitor: RunMonitor;
    private readonly jobSource: JobSource;
    private readonly jobRemover: JobRemover;
    private readonly teamShare: TeamShareLimiter;
    private readonly guard: OwnershipGuard;
    private readonly placer: TaskPlacer;
    private readonly progress: ProgressWriter;
    private readonly ownerState: OwnerState;
    /** Hands the state of the plan of VMs over; absent unless `demandHandover` is set. */
    readonly fleetHandover: FleetHandover | undefined;
    /** Set once the stored jobs are loaded; nothing is started before. */
    private isLoaded = false;
    private readonly startedAt: number;
    private readonly cancelTimers: Cancel[] = [];
    private readonly unaccepted: UnacceptedJobs;

    private constructor(readonly options: TenureOptions) {
        const { head, timer, times, leaseBounds } = options;
        const now = timer.now();
        this.guard = OwnershipGuard.create({
            ...options,
            onSuperseded: () => {
                this.end();
                options.onSuperseded();
            },
        });
        this.clock = TenureClock.create(timer);
        this.phases = TakeoverPhases.create({ ...options, fence: head.owner.fence });
        this.startedAt = now;
        this.workers = WorkerRegistry.create({
            ...inheritedLeases(options, now),
            fences: fenceRangeOf(head.owner.fence),
        });
        this.liveness = WorkerLiveness.create({ workers: this.workers, store: options.store, timer });
        this.leaseBounds = LeaseBoundsRecorder.create({
            domain: head.domain,
            fence: head.owner.fence,
            inherited: leaseBounds,
            workers: this.workers,
            timer,
            times,
        });
        this.teamShare = TeamShareLimiter.create(timer, options.directory);
        this.fleetHandover = options.scheduling.demandHandover ? FleetHandover.create() : undefined;
        this.fairShares = options.scheduling.fairShares
            ? FairShares.create({ ...options, limiter: this.teamShare })
            : undefined;
        const runTimes = options.scheduling.durationHistograms ? RunTimeDistributions.create() : undefined;
        this.durations = DurationEstimator.create(runTimes);
        this.outliers = options.scheduling.outlierDetection ? WorkerOutliers.create(options) : undefined;
        this.reservations = options.scheduling.reservations ? Reservations.create() : undefined;
        const parts = [this.fleetHandover, this.fairShares, this.outliers?.verdicts, runTimes].filter(part =>
            part !== undefined
        );
        this.ownerState = OwnerState.create({ ...options, domain: head.domain, parts });
        this.advice = AdviceCache.create({ adviser: options.adviser, timer, log: options.log });
        this.runController = new RunDispatcher(this, worker => this.workerMonitor.probe(worker));
        this.workerMonitor = new WorkerMonitor(this, this.runController);
        this.runMonitor = new RunMonitor(this, this.runController);
        this.placer = new TaskPlacer(this, this.runController, EvacuationLog.create(options));
        this.progress = new ProgressWriter(this, {
            guard: this.guard,
            placer: this.placer,
            dispatcher: this.runController,
            workerMonitor: this.workerMonitor,
            leaseBounds: this.leaseBounds,
            ownerState: this.ownerState,
        });
        this.jobRemover = new JobRemover(this, keys => this.removeProgress(keys), head.domain);
        this.unaccepted = new UnacceptedJobs(this);
        this.jobSource = new JobSource(this, head.domain, this);
    }

    static create(options: TenureOptions): Tenure {
        return new Tenure(options);
    }

    get fence(): number {
        return this.guard.head.owner.fence;
    }

    /** Time since the takeover, in milliseconds. */
    get ageMs(): number {
        return this.options.timer.now() - this.startedAt;
    }

    get isActive(): boolean {
        return this.guard.isActive;
    }

    /** Whether the stored jobs have been loaded, after which an unknown id means that there is no such job. */
    get isReady(): boolean {
        return this.isLoaded;
    }

    /** Whether orders may be sent: ownership was confirmed within `trustMs`, and the process not suspended since. */
    mayOrder(): boolean {
        return this.guard.mayOrder();
    }

    /** Why an order may not be sent now, see `OwnershipGuard.orderBar`; undefined if it may. */
    orderBar(maxConfirmationAgeMs: number): OrderBar | undefined {
        return this.guard.orderBar(maxConfirmationAgeMs);
    }

    /** Loads the stored jobs and then starts to send orders. */
    async start(): Promise<void> {
        this.schedulePeriodic(runCheckPeriodMs, () => this.runMonitor.check());
        this.schedulePeriodic(removalPeriodMs, () => void this.jobRemover.removeExpired());
        this.schedulePeriodic(removalPeriodMs, () => void this.unaccepted.removeExpired());
        this.schedulePeriodic(pacePeriodMs, () => this.runMonitor.adjustPaces());
        const [version] = await Promise.all([
            this.jobSource.load(),
            readUntilAnswered(this, "zones", () => this.options.zones.load()),
            readUntilAnswered(this, "owner-state", () => this.ownerState.load()),
        ]);
        if (version === undefined) {
            return;
        }
        this.fairShares?.chargeInherited(this.jobs.entries.values(), this.clock.wallMs());
        this.knownLists.recordInherited(this.jobs.usage);
        this.isLoaded = true;
        this.phases.recordLoaded(this.jobs);
        this.placer.recordLoaded();
        this.options.log.write(Severity.Info, EventId.OwnerLoaded, {
            domain: this.guard.head.domain,
            fence: this.fence,
            jobs: this.jobs.entries.size,
            runs: this.jobs.runs.size,
            earlierOwners: this.leaseBounds.earlierOwners.length,
        });
        this.workerMonitor.start();
        void this.jobSource.follow(version);
        this.requestRound();
    }

    /** Ends the tenure; no orders are sent afterwards. */
    end(): void {
        this.phases.report();
        this.guard.end();
        this.cancelTimers.forEach(cancel => cancel());
        this.options.calls.retain(new Set());
    }

    /**
     * Stops placing work and waits for the batch in flight; runs continue under their leases. If the store keeps
     * refusing, changes that are not stored are left to the next owner: they were not acknowledged, so workers report
     * them again. Returns the state that releasing the domain is conditional on, and the lease bounds to store with it.
     */
    async handOver(): Promise<{ readonly head: LedgerHead; readonly leaseBounds: RowPut }> {
        this.placer.stop();
        const { timer } = this.options;
        const deadline = timer.now() + handOverTimeoutMs;
        while (this.isActive && this.progress.hasPendingWork && timer.now() < deadline) {
            this.requestRound();
            await sleep(timer, handOverPollMs);
        }
        const { head } = this.guard;
        this.end();
        return { head, leaseBounds: this.leaseBounds.lastRow(this.isLoaded) };
    }

    /** Accepts a job that an entry has stored. Until the stored jobs are loaded, their rows alone tell which are new. */
    accept(job: AcceptedJob): void {
        if (!this.isLoaded || this.jobs.entries.has(job.id)) {
            return;
        }
        const entry = this.jobs.accept(this.clock.correctReported(job), {
            exceedsTeamShare: this.teamShare.chargeJob(job.team),
        });
        if (this.unaccepted.recordAcceptance(job.id)) {
            this.jobs.cancel(entry, this.options.timer.now());
        }
        this.requestRound();
    }

    /** Cancels a job whose cancellation an entry has stored. */
    cancel(id: string): void {
        const entry = this.jobs.entries.get(id);
        if (entry === undefined) {
            this.unaccepted.recordCancellation(id);
            return;
        }
        if (entry.finalAt === undefined) {
            this.jobs.cancel(entry, this.options.timer.now());
            this.options.log.write(Severity.Info, EventId.JobCancelled, { job: id, runs: entry.runCount });
            this.requestRound();
        }
    }

    /** Number of jobs that are remembered as cancelled and not accepted. */
    get unacceptedCount(): number {
        return this.unaccepted.count;
    }

    /** Records a marker in place of a job that was cancelled before it was accepted. */
    refuse(marker: MarkerVersion): void {
        this.unaccepted.recordMarker(marker);
    }

    /** Runs on workers that do not answer. They count as lost once the workers' leases have ended. */
    get runsAwaitingLeaseEnd(): readonly RunRecord[] {
        return [...this.workers.byId.values()]
            .filter(({ isReachable }) => !isReachable)
            .flatMap(({ runs }) => [...runs.values()])
            .filter(({ start }) => start !== StartStatus.Recorded);
    }

    /** Phase of a job as last stored; undefined if there is no such job. */
    phaseOf(id: string): JobPhase | undefined {
        return this.jobs.entries.get(id)?.storedPhase;
    }

    /** Number of active jobs in a queue of which no run has been claimed. */
    pendingOf(queue: string): number {
        let pending = 0;
        for (const { job, hasStarted } of this.jobs.activeEntries) {
            pending += job.queue === queue && !hasStarted ? 1 : 0;
        }
        return pending;
    }

    /** Earlier owners that may still send orders. */
    get earlierOwners(): readonly EarlierOwner[] {
        return this.leaseBounds.earlierOwners;
    }

    /** Records that an earlier owner sends no more orders, which lowers the bound on the leases it granted. */
    recordOwnerEnded(fence: number): void {
        if (this.leaseBounds.removeOwner(fence)) {
            this.options.log.write(Severity.Info, EventId.OwnerGone, {
                domain: this.guard.head.domain,
                fence: this.fence,
                endedFence: fence,
                earlierOwners: this.earlierOwners.length,
            });
        }
    }

    /** Stores a row with the next batch, which is only committed if this entry is still the owner. */
    putWithNextBatch(put: RowPut): void {
        this.progress.putWithNextBatch(put);
    }

    /** Checks with the store whether this entry is still the owner; false also when the store cannot be read. */
    confirm(): Promise<boolean> {
        return this.guard.confirm();
    }

    /** Stores a row, conditional on its current version and on this entry's ownership. */
    putIfOwner(put: RowPut, version: number): Promise<TransactionOutcome> {
        return this.guard.putIfOwner(put, version);
    }

    /** Requests a round, which places tasks and stores progress. */
    requestRound(): void {
        this.progress.requestRound();
    }

    /** Ends the tenure because another entry has taken the domain over; `cause` goes into the log. */
    supersede(cause: string): void {
        this.guard.supersede(cause);
    }

    /** Schedules the removal of rows of progress without a job, with the next batches. */
    removeProgress(keys: readonly RowKey[]): void {
        this.progress.removeProgress(keys);
    }

    private schedulePeriodic(ms: number, fn: () => void): void {
        this.cancelTimers.push(this.options.timer.every(ms, fn));
    }
}
