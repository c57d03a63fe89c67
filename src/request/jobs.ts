/** Task that accepts jobs, claims waiting ones of its shards, runs them, and recovers those whose holder is gone. */
import { EventId, Severity } from "../process/events.js";
import { FailureLog } from "../process/failure-log.js";
import type { Fleet } from "../process/fleet.js";
import { runFlow } from "../process/flow.js";
import { type Publish, type Task, Topic } from "../process/hub.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { responsibleFor } from "../process/rendezvous.js";
import { type Store, type StoreEffect, StoreEffectKind, type StoreFlow } from "../process/store.js";
import { StorePriority } from "../process/store.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import { isInEvacuatedZone } from "../process/workers.js";
import { QueueClass } from "../version/schema.js";
import { type BulkCancellation, cancelWaitingJobs } from "./bulk-cancel.js";
import { type Dispatcher } from "./dispatch.js";
import {
    type JobEffect,
    type RunContext,
    RunOutcome,
    startJob,
    TaskEffectKind,
    watchJob,
} from "./job-run.js";
import {
    acceptJob,
    AcceptKind,
    type AcceptResult,
    adoptJob,
    cancelJob,
    claimJob,
    JobEndKind,
    type JobRead,
    loadBlob,
    readActive,
    readJob,
    readReady,
    type ReadyJob,
} from "./job-store.js";
import { abandonedHolders, excludedVms, workerContextOf } from "./job-view.js";
import { type Job, JobState, shardCount, shardOf } from "./job.js";
import { KeyedCounter } from "./load.js";
import { ReadyBuffers } from "./ready-buffers.js";
import { AcquireResultKind, type Slot, type SlotRequest, SlotResult } from "./slot.js";
import { type TaskClient, TaskStartResult } from "./task.js";

/** Options of `Jobs.create`. */
export interface JobsOptions {
    readonly store: Store;
    readonly fleet: Fleet;
    readonly dispatcher: Dispatcher;
    readonly tasks: TaskClient;
    readonly peers: Peers;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly pollMs?: number;
}

const readyTopic = "job.ready";
const cancelTopic = "job.cancel";
const offerTopic = "job.offer";
/** Longest wait for a worker slot before a claim is given up until a later poll. */
const slotWaitMs = 20_000;
const maxConcurrentClaims = 48;
/** Every how many polls abandoned jobs are searched for. */
const pollsPerRecovery = 3;
/** Every how many polls all own shards are read, instead of just those that may hold waiting jobs. */
const pollsPerFullRefill = 4;
/** Every how many polls one shard of the fleet is scanned for overdue jobs of other entries. */
const pollsPerOverdueScan = 2;
const overduePageSize = 20;
const maxOverdueClaimsPerScan = 4;
/** Waiting time after which any entry may claim a job, not just the owner of its shard. */
const overdueAfterMs = 10_000;
/** Time without messages after which another entry counts as unresponsive and its jobs are taken over. */
const holderTimeoutMs = 3000;

/** The job task of one entry. */
export class Jobs implements Task {
    readonly name = "jobs";
    readonly handlers = {
        [Topic.JobReady]: ({ shard }: { readonly shard: number }) => this.markReady(shard),
    };
    private readonly readyBuffers = ReadyBuffers.create();
    private readonly claiming = new Set<string>();
    private readonly watching = new Map<string, Job>();
    private readonly cancelRequests = new Set<string>();
    private readonly handedOver = KeyedCounter.create();
    private readonly cancels: Cancel[] = [];
    private isDraining = false;
    private isPolling = false;
    private polls = 0;

    private readonly failureLog: FailureLog;

    private constructor(private readonly options: JobsOptions) {
        const { peers, log } = options;
        this.failureLog = FailureLog.create({ log, source: this.name });
        peers.on(readyTopic, (_, body) => this.markReady((body as { shard: number }).shard));
        peers.on(offerTopic, (_, body) => this.receiveOffer((body as { id: string }).id));
        peers.on(cancelTopic, (_, body) => this.receiveCancel((body as { id: string }).id));
    }

    static create(options: JobsOptions): Jobs {
        return new Jobs(options);
    }

    /** Number of running jobs that this entry supervises. */
    get runningCount(): number {
        return this.watching.size;
    }

    /** Number of running tasks of a team that this entry left to other entries when it stopped. */
    handedOverOf(team: string): number {
        return this.handedOver.get(team);
    }

    start(): Promise<void> {
        const { timer, pollMs = 1000 } = this.options;
        this.cancels.push(timer.every(pollMs, () => void this.poll()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.isDraining = true;
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Stops claiming and hands running jobs over; resolves when this entry supervises none any more, or after `ms`. */
    async drain(ms: number): Promise<void> {
        await this.stop();
        const { timer } = this.options;
        const deadline = timer.now() + ms;
        while (this.watching.size + this.claiming.size > 0 && timer.now() < deadline) {
            await sleep(timer, 50);
        }
    }

    /** Stores a job and notifies the entry that owns its shard. */
    async accept(draft: Omit<Job, "payload">, body: Buffer): Promise<AcceptResult> {
        const result = await this.runFlow(acceptJob(draft, body));
        if (result.kind === AcceptKind.Accepted) {
            this.options.log.write(Severity.Info, EventId.JobAccepted, { job: draft.id, team: draft.team });
            this.options.metrics.count("celerywind_jobs_accepted_total", { queue: draft.queue });
            this.notifyShardOwner(shardOf(draft.id));
        }
        return result;
    }

    /** Reads a job; undefined when it does not exist. */
    async find(id: string): Promise<Job | undefined> {
        return (await this.runFlow(readJob(id)))?.job;
    }

    /** Reads the result of a job; undefined when it has none or the object is missing. */
    async result(job: Job): Promise<Buffer | undefined> {
        return job.result === undefined
            ? undefined
            : await this.runFlow(loadBlob(job.result, StorePriority.Accept));
    }

    /** Cancels a job. A running one is stopped by its holder, which is notified at once. */
    async cancel(id: string): Promise<Job | undefined> {
        const job = await this.runFlow(cancelJob(id));
        if (job?.cancelAsked === true) {
            this.receiveCancel(id);
            this.options.peers.broadcast(cancelTopic, { id });
        }
        return job;
    }

    /** Cancels all waiting jobs of a team in a queue; resolves with the number cancelled. */
    cancelAll(cancellation: BulkCancellation): Promise<number> {
        return cancelWaitingJobs(this.options.store, cancellation);
    }

    /** Claims waiting jobs of this entry's shards, and periodically overdue jobs of other shards and abandoned jobs. */
    async poll(): Promise<void> {
        const { fleet, metrics } = this.options;
        if (this.isPolling || fleet.self === undefined || this.isDraining) {
            return;
        }
        this.isPolling = true;
        try {
            const shards = this.ownShards();
            this.readyBuffers.retain(shards);
            await this.refill(shards);
            this.claimReady();
            if (this.polls % pollsPerOverdueScan === 0) {
                await this.claimOverdue(shards);
            }
            if (this.polls++ % pollsPerRecovery === 0) {
                await this.recover();
            }
            this.failureLog.recordSuccess();
        }
        catch (err) {
            this.failureLog.recordFailure(err);
            metrics.count("celerywind_job_polls_failed_total");
        }
        finally {
            this.isPolling = false;
        }
    }

    private ownShards(): readonly number[] {
        const vms = this.options.fleet.live.map(member => member.vm);
        const self = this.options.fleet.self!.vm;
        return Array.from({ length: shardCount }, (_, shard) => shard)
            .filter(shard => responsibleFor(`shard-${shard}`, vms) === self);
    }

    private notifyShardOwner(shard: number): void {
        const { fleet, peers, publish } = this.options;
        const owner = responsibleFor(`shard-${shard}`, fleet.live.map(member => member.vm));
        if (owner === fleet.self?.vm) {
            publish(Topic.JobReady, { shard });
        }
        else if (owner !== undefined) {
            peers.notify(owner, readyTopic, { shard });
        }
    }

    private markReady(shard: number): void {
        this.readyBuffers.markReady(shard);
        void this.poll();
    }

    /** Reads the shards that were marked ready or had waiting jobs when last read; periodically all own shards. */
    private async refill(shards: readonly number[]): Promise<void> {
        const isFull = this.polls % pollsPerFullRefill === 0;
        for (const shard of shards.filter(each => isFull || this.readyBuffers.isActive(each))) {
            await this.runFlow(this.readyBuffers.refill(shard));
        }
    }

    /** Claims overdue jobs in a shard of another entry, which may lack grants, slots or connections to peers. */
    private async claimOverdue(ownShards: readonly number[]): Promise<void> {
        const shard = this.polls / pollsPerOverdueScan % shardCount;
        if (ownShards.includes(shard)) {
            return;
        }
        const { dispatcher, timer } = this.options;
        const page = await this.runFlow(readReady(shard, "", overduePageSize));
        page
            .filter(ready =>
                timer.wall() - ready.acceptedAt > overdueAfterMs && dispatcher.canStart(ready.team)
            )
            .filter(ready => !this.claiming.has(ready.id) && !this.watching.has(ready.id))
            .slice(0, maxOverdueClaimsPerScan)
            .forEach(ready => this.claimInBackground(ready.id));
    }

    private claimReady(): void {
        while (this.claiming.size < maxConcurrentClaims) {
            const ready = this.readyBuffers.next(id => this.claiming.has(id) || this.watching.has(id));
            if (ready === undefined) {
                return;
            }
            if (!this.offerToPeer(ready)) {
                this.claimInBackground(ready.id);
            }
        }
    }

    private claimInBackground(id: string): void {
        this.claiming.add(id);
        void this.runWaitingJob(id).catch(() => undefined).finally(() => {
            this.claiming.delete(id);
            this.cancelRequests.delete(id);
            this.claimReady();
        });
    }

    /** Offers a job to a peer that can run it sooner; false when there is none or it is not connected. */
    private offerToPeer({ id, team, pool }: ReadyJob): boolean {
        const { dispatcher, peers } = this.options;
        const peer = dispatcher.findRelay({ team, pool });
        if (peer !== undefined) {
            dispatcher.remoteLoad.countRelayed(peer, pool, team);
        }
        return peer !== undefined && peers.notify(peer, offerTopic, { id });
    }

    /** Records a cancellation if this entry holds or claims the job; any later holder finds it in the row. */
    private receiveCancel(id: string): void {
        if (this.watching.has(id) || this.claiming.has(id)) {
            this.cancelRequests.add(id);
        }
    }

    private receiveOffer(id: string): void {
        const isActive = this.claiming.has(id) || this.watching.has(id);
        if (!isActive && !this.isDraining && this.options.fleet.self !== undefined) {
            this.claimInBackground(id);
        }
    }

    private async runWaitingJob(id: string): Promise<void> {
        const read = await this.runFlow(readJob(id));
        if (read === undefined || read.job.state !== JobState.Waiting || this.isDraining) {
            return;
        }
        const acquired = await this.options.dispatcher.acquire(this.slotRequestOf(read.job));
        if (acquired.kind === AcquireResultKind.Refused) {
            return;
        }
        await this.claimAndRun(read.job, acquired.slot);
    }

    private async claimAndRun(job: Job, slot: Slot): Promise<void> {
        const { fleet, dispatcher } = this.options;
        const workerBoot = fleet.view.vms.find(vm => vm.id === slot.worker.vm)?.bootId ?? "";
        const claim = { holder: fleet.self!.incarnation, worker: slot.worker.vm, workerBoot };
        const claimed = this.isDraining
            ? undefined
            : await this.runFlow(claimJob(job.id, claim)).catch(() => undefined);
        if (claimed === undefined) {
            dispatcher.release(slot, SlotResult.Neutral);
            return;
        }
        this.claiming.delete(job.id);
        this.claimReady();
        await this.driveRun(claimed, slot, startJob(claimed));
    }

    private async driveRun(read: JobRead, slot: Slot, flow: ReturnType<typeof startJob>): Promise<void> {
        const { id } = read.job;
        this.watching.set(id, read.job);
        let end = RunOutcome.OwnershipLost;
        try {
            end = await runFlow(flow, effect => this.perform(effect));
        }
        finally {
            this.watching.delete(id);
            this.cancelRequests.delete(id);
            this.settleSlot(slot, end);
            this.options.metrics.count("celerywind_job_runs_total", { end });
            this.handedOver.add(read.job.team, end === RunOutcome.HandedOver ? 1 : 0);
        }
    }

    /** Releases the slot, except after a handover: the task still runs, and its new holder does not count it yet. */
    private settleSlot(slot: Slot, end: RunOutcome): void {
        const slotEnd = slotEndOf(end);
        if (slotEnd !== undefined) {
            this.options.dispatcher.release(slot, slotEnd);
        }
    }

    private async recover(): Promise<void> {
        const { fleet } = this.options;
        const vms = fleet.live.map(member => member.vm);
        const self = fleet.self!;
        for (const incarnation of this.abandonedIncarnations()) {
            const isResponsible = incarnation === self.incarnation
                || responsibleFor(`recover-${incarnation}`, vms) === self.vm;
            if (isResponsible) {
                await this.recoverFrom(incarnation);
            }
        }
    }

    private abandonedIncarnations(): readonly string[] {
        const { fleet, peers, timer } = this.options;
        const now = timer.now();
        const isUnresponsive = (vm: string): boolean =>
            now - (peers.lastReceivedAt(vm) ?? 0) > holderTimeoutMs;
        return abandonedHolders({
            members: fleet.view.members,
            self: fleet.self!.incarnation,
            isUnresponsive,
        });
    }

    private async recoverFrom(incarnation: string): Promise<void> {
        for (const id of await this.runFlow(readActive(incarnation))) {
            if (!this.watching.has(id) && !this.claiming.has(id)) {
                await this.recoverJob(id, incarnation);
            }
        }
    }

    private async recoverJob(id: string, incarnation: string): Promise<void> {
        const { fleet, dispatcher, log } = this.options;
        const self = fleet.self!.incarnation;
        const read = await this.runFlow(readJob(id));
        if (read === undefined || read.job.state !== JobState.Running || read.job.holder !== incarnation) {
            return;
        }
        if (!fleet.hasEnded(incarnation) && !dispatcher.canStart(read.job.team)) {
            return;
        }
        const adopted = incarnation === self ? read : await this.runFlow(adoptJob(read, self));
        if (adopted === undefined) {
            return;
        }
        log.write(Severity.Info, EventId.JobRecovered, { job: id, from: incarnation });
        const { worker: vm = "" } = adopted.job;
        const worker = dispatcher.workerOf(adopted.job.pool, vm)
            ?? { vm, origin: "", rack: "", zone: "", isOpen: false, isHome: false };
        const slot = dispatcher.adopt(this.slotRequestOf(adopted.job), worker, incarnation);
        void this.driveRun(adopted, slot, watchJob(adopted)).catch(() => undefined);
    }

    private slotRequestOf(job: Job): SlotRequest {
        return {
            pool: job.pool,
            team: job.team,
            queue: job.queue,
            class: QueueClass.Deferred,
            deadline: this.options.timer.now() + slotWaitMs,
            exclude: excludedVms(job, this.options.fleet.view),
        };
    }

    private perform(effect: JobEffect): Promise<unknown> {
        const { tasks, timer } = this.options;
        switch (effect.kind) {
            case TaskEffectKind.Start:
                return this.startTask(effect.job, effect.payload);
            case TaskEffectKind.RenewLease:
                return tasks.renewLease(effect.job);
            case TaskEffectKind.Cancel:
                return tasks.cancel(effect.job);
            case TaskEffectKind.Checkpoint:
                return tasks.checkpoint(effect.job);
            case TaskEffectKind.Forget:
                return tasks.forget(effect.job);
            case TaskEffectKind.Sleep:
                return sleep(timer, effect.ms);
            case TaskEffectKind.ReportEnd:
                return Promise.resolve(this.reportEnd(effect.job, effect.end));
            case TaskEffectKind.ReadContext:
                return Promise.resolve(this.runContextOf(effect.job));
            case StoreEffectKind.Get:
            case StoreEffectKind.Scan:
            case StoreEffectKind.Commit:
            case StoreEffectKind.PutObject:
            case StoreEffectKind.GetObject:
            case StoreEffectKind.DeleteObject:
                return this.options.store.perform(effect);
        }
    }

    /** Starts a claimed task, unless its worker's zone was evacuated while the claim was stored; it then waits again. */
    private startTask(job: Job, payload: Buffer): Promise<TaskStartResult> {
        const { fleet: { view }, tasks, metrics } = this.options;
        if (isInEvacuatedZone(view, job.worker ?? "")) {
            metrics.count("celerywind_starts_prevented_total", { reason: "zone-evacuated" });
            return Promise.resolve(TaskStartResult.Refused);
        }
        return tasks.start(job, payload);
    }

    private reportEnd(job: Job, end: JobEndKind): void {
        const { log, metrics } = this.options;
        const fields = { job: job.id, team: job.team, queue: job.queue, end };
        metrics.count("celerywind_job_ends_total", { end });
        switch (end) {
            case JobEndKind.Done:
            case JobEndKind.Cancelled:
            case JobEndKind.Requeue:
                log.write(Severity.Info, EventId.JobFinished, fields);
                break;
            case JobEndKind.Failed:
                log.write(Severity.Warn, EventId.JobFailed, fields);
                break;
            case JobEndKind.Uncertain:
                log.write(Severity.Error, EventId.JobUncertain, fields);
                break;
        }
    }

    private runContextOf(job: Job): RunContext {
        const context = workerContextOf(job, this.options.fleet.view);
        const isCancelRequested = job.cancelAsked || this.cancelRequests.has(job.id);
        return { ...context, isCancelRequested, isDraining: this.isDraining };
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return runFlow(flow, (effect: StoreEffect) => this.options.store.perform(effect));
    }
}

function slotEndOf(end: RunOutcome): SlotResult | undefined {
    switch (end) {
        case RunOutcome.Finished:
            return SlotResult.Succeeded;
        case RunOutcome.WorkerFailed:
            return SlotResult.Failed;
        case RunOutcome.WorkerFull:
            return SlotResult.WorkerFull;
        case RunOutcome.OwnershipLost:
            return SlotResult.Neutral;
        case RunOutcome.HandedOver:
            return undefined;
    }
}
