/** Task that accepts jobs, claims waiting ones of its shards, runs them, and recovers those of ended entries. */
import { EventId, Severity } from "../process/events.js";
import type { Fleet } from "../process/fleet.js";
import { run } from "../process/flow.js";
import { type Publish, type Task, Topic } from "../process/hub.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { responsibleFor } from "../process/rendezvous.js";
import { type Store, type StoreEffect, StoreEffectKind, type StoreFlow } from "../process/store.js";
import { StorePriority } from "../process/store.js";
import { type Cancel, sleep, type Timer } from "../process/timer.js";
import { QueueClass } from "../version/schema.js";
import { cancelWave, type Wave } from "./cancel-wave.js";
import { type Dispatcher } from "./dispatch.js";
import { type JobEffect, RunEnd, startJob, type Surroundings, TaskEffectKind, watchJob } from "./job-run.js";
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
import { abandonedHolders, lookAround, unfitFor } from "./job-view.js";
import { type Job, JobState, shardCount, shardOf } from "./job.js";
import { KeyedCounter } from "./load.js";
import { ReadyLines } from "./ready.js";
import { AcquireResultKind, type Slot, type SlotRequest, SlotResult } from "./slot.js";
import type { TaskCalls } from "./task.js";

/** Options of `Jobs.create`. */
export interface JobsOptions {
    readonly store: Store;
    readonly fleet: Fleet;
    readonly dispatcher: Dispatcher;
    readonly tasks: TaskCalls;
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
const claimWaitMs = 20_000;
const maxClaimsAtOnce = 48;
const recoverEvery = 3;
const readAllEvery = 4;
const helpEvery = 2;
const helpPage = 20;
const helpAtOnce = 4;
const helpAfterMs = 10_000;
const silentHolderMs = 3000;

/** The job task of one entry. */
export class Jobs implements Task {
    readonly name = "jobs";
    readonly handlers = { [Topic.JobReady]: ({ shard }: { readonly shard: number }) => this.poke(shard) };
    private readonly lines = ReadyLines.create();
    private readonly claiming = new Set<string>();
    private readonly watching = new Map<string, Job>();
    private readonly cancelAsked = new Set<string>();
    private readonly handedOver = KeyedCounter.create();
    private readonly cancels: Cancel[] = [];
    private isLeaving = false;
    private isPolling = false;
    private polls = 0;

    private constructor(private readonly options: JobsOptions) {
        const { peers } = options;
        peers.on(readyTopic, (_, body) => this.poke((body as { shard: number }).shard));
        peers.on(offerTopic, (_, body) => this.receiveOffer((body as { id: string }).id));
        peers.on(cancelTopic, (_, body) => this.receiveCancel((body as { id: string }).id));
    }

    static create(options: JobsOptions): Jobs {
        return new Jobs(options);
    }

    /** Number of jobs that run under this entry's care. */
    get runningCount(): number {
        return this.watching.size;
    }

    /** Running tasks of a team that were handed over to other entries. */
    handedOverOf(team: string): number {
        return this.handedOver.get(team);
    }

    start(): Promise<void> {
        const { timer, pollMs = 1000 } = this.options;
        this.cancels.push(timer.every(pollMs, () => void this.poll()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.isLeaving = true;
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Stops claiming and hands running jobs over; resolves when none is looked after here, or after `ms`. */
    async leave(ms: number): Promise<void> {
        await this.stop();
        const { timer } = this.options;
        const deadline = timer.now() + ms;
        while (this.watching.size + this.claiming.size > 0 && timer.now() < deadline) {
            await sleep(timer, 50);
        }
    }

    /** Makes a job durable and tells the entry that will claim it. */
    async accept(draft: Omit<Job, "payload">, body: Buffer): Promise<AcceptResult> {
        const result = await this.runFlow(acceptJob(draft, body));
        if (result.kind === AcceptKind.Accepted) {
            this.options.log.write(Severity.Info, EventId.JobAccepted, { job: draft.id, team: draft.team });
            this.options.metrics.count("celerywind_jobs_accepted_total", { queue: draft.queue });
            this.announce(shardOf(draft.id));
        }
        return result;
    }

    /** Reads a job. */
    async find(id: string): Promise<Job | undefined> {
        return (await this.runFlow(readJob(id)))?.job;
    }

    /** Reads the result of a job that is done. */
    async result(job: Job): Promise<Buffer | undefined> {
        return job.result === undefined
            ? undefined
            : await this.runFlow(loadBlob(job.result, StorePriority.Accept));
    }

    /** Cancels a job; the entry that looks after it hears of it at once. */
    async cancel(id: string): Promise<Job | undefined> {
        const job = await this.runFlow(cancelJob(id));
        if (job?.cancelAsked === true) {
            this.receiveCancel(id);
            this.options.peers.broadcast(cancelTopic, { id });
        }
        return job;
    }

    /** Cancels all waiting jobs of a team in a queue; resolves with their number. */
    cancelAll(wave: Wave): Promise<number> {
        return cancelWave(this.options.store, wave);
    }

    /** Claims what this entry's shards hold, and from time to time looks for abandoned jobs. */
    async poll(): Promise<void> {
        const { fleet, metrics } = this.options;
        if (this.isPolling || fleet.self === undefined || this.isLeaving) {
            return;
        }
        this.isPolling = true;
        try {
            const shards = this.ownShards();
            this.lines.retain(shards);
            await this.refill(shards);
            this.claimSome();
            if (this.polls % helpEvery === 0) {
                await this.help(shards);
            }
            if (this.polls++ % recoverEvery === 0) {
                await this.recover();
            }
        }
        catch {
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

    private announce(shard: number): void {
        const { fleet, peers, publish } = this.options;
        const owner = responsibleFor(`shard-${shard}`, fleet.live.map(member => member.vm));
        if (owner === fleet.self?.vm) {
            publish(Topic.JobReady, { shard });
        }
        else if (owner !== undefined) {
            peers.notify(owner, readyTopic, { shard });
        }
    }

    private poke(shard: number): void {
        this.lines.poke(shard);
        void this.poll();
    }

    /** Reads the shards that were poked or had waiting jobs when last read; all of them from time to time. */
    private async refill(shards: readonly number[]): Promise<void> {
        const isFull = this.polls % readAllEvery === 0;
        for (const shard of shards.filter(each => isFull || this.lines.isActive(each))) {
            await this.runFlow(this.lines.refill(shard));
        }
    }

    /** Claims jobs that have waited too long in a shard of another entry, which may lack grants, slots or peers. */
    private async help(ownShards: readonly number[]): Promise<void> {
        const shard = this.polls / helpEvery % shardCount;
        if (ownShards.includes(shard)) {
            return;
        }
        const { dispatcher, timer } = this.options;
        const page = await this.runFlow(readReady(shard, "", helpPage));
        page
            .filter(ready => timer.wall() - ready.acceptedAt > helpAfterMs && dispatcher.canStart(ready.team))
            .filter(ready => !this.claiming.has(ready.id) && !this.watching.has(ready.id))
            .slice(0, helpAtOnce)
            .forEach(ready => this.claimSoon(ready.id));
    }

    private claimSome(): void {
        while (this.claiming.size < maxClaimsAtOnce) {
            const ready = this.lines.next(id => this.claiming.has(id) || this.watching.has(id));
            if (ready === undefined) {
                return;
            }
            if (!this.offerToPeer(ready)) {
                this.claimSoon(ready.id);
            }
        }
    }

    private claimSoon(id: string): void {
        this.claiming.add(id);
        void this.runReady(id).catch(() => undefined).finally(() => {
            this.claiming.delete(id);
            this.cancelAsked.delete(id);
            this.claimSome();
        });
    }

    /** Offers a job to a peer that can run it sooner. */
    private offerToPeer({ id, team, pool }: ReadyJob): boolean {
        const { dispatcher, peers } = this.options;
        const peer = dispatcher.findRelay({ team, pool });
        if (peer !== undefined) {
            dispatcher.remoteLoad.countRelayed(peer, pool, team);
        }
        return peer !== undefined && peers.notify(peer, offerTopic, { id });
    }

    /** Notes a cancellation if the job is looked after here; any later holder finds it in the row. */
    private receiveCancel(id: string): void {
        if (this.watching.has(id) || this.claiming.has(id)) {
            this.cancelAsked.add(id);
        }
    }

    private receiveOffer(id: string): void {
        const isKnown = this.claiming.has(id) || this.watching.has(id);
        if (!isKnown && !this.isLeaving && this.options.fleet.self !== undefined) {
            this.claimSoon(id);
        }
    }

    private async runReady(id: string): Promise<void> {
        const read = await this.runFlow(readJob(id));
        if (read === undefined || read.job.state !== JobState.Waiting || this.isLeaving) {
            return;
        }
        const acquired = await this.options.dispatcher.acquire(this.wantOf(read.job));
        if (acquired.kind === AcquireResultKind.Refused) {
            return;
        }
        await this.runOn(read.job, acquired.slot);
    }

    private async runOn(job: Job, slot: Slot): Promise<void> {
        const { fleet, dispatcher } = this.options;
        const workerBoot = fleet.view.vms.find(vm => vm.id === slot.worker.vm)?.bootId ?? "";
        const claim = { holder: fleet.self!.incarnation, worker: slot.worker.vm, workerBoot };
        const claimed = this.isLeaving
            ? undefined
            : await this.runFlow(claimJob(job.id, claim)).catch(() => undefined);
        if (claimed === undefined) {
            dispatcher.release(slot, SlotResult.Neutral);
            return;
        }
        this.claiming.delete(job.id);
        this.claimSome();
        await this.look(claimed, slot, startJob(claimed));
    }

    private async look(read: JobRead, slot: Slot, flow: ReturnType<typeof startJob>): Promise<void> {
        const { id } = read.job;
        this.watching.set(id, read.job);
        let end = RunEnd.Lost;
        try {
            end = await run(flow, effect => this.perform(effect));
        }
        finally {
            this.watching.delete(id);
            this.cancelAsked.delete(id);
            this.settleSlot(slot, end);
            this.options.metrics.count("celerywind_job_runs_total", { end });
            this.handedOver.add(read.job.team, end === RunEnd.HandedOver ? 1 : 0);
        }
    }

    /** Gives the slot back, but for a task that was handed over: it still runs, and its new holder has yet to count it. */
    private settleSlot(slot: Slot, end: RunEnd): void {
        const slotEnd = slotEndOf(end);
        if (slotEnd !== undefined) {
            this.options.dispatcher.release(slot, slotEnd);
        }
    }

    private async recover(): Promise<void> {
        const { fleet } = this.options;
        const vms = fleet.live.map(member => member.vm);
        const self = fleet.self!;
        for (const incarnation of this.abandoned()) {
            const isMine = incarnation === self.incarnation
                || responsibleFor(`recover-${incarnation}`, vms) === self.vm;
            if (isMine) {
                await this.recoverFrom(incarnation);
            }
        }
    }

    private abandoned(): readonly string[] {
        const { fleet, peers, timer } = this.options;
        const now = timer.now();
        const isSilent = (vm: string): boolean => now - (peers.heardAt(vm) ?? 0) > silentHolderMs;
        return abandonedHolders({ members: fleet.view.members, self: fleet.self!.incarnation, isSilent });
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
        if (!fleet.isGone(incarnation) && !dispatcher.canStart(read.job.team)) {
            return;
        }
        const adopted = incarnation === self ? read : await this.runFlow(adoptJob(read, self));
        if (adopted === undefined) {
            return;
        }
        log.write(Severity.Info, EventId.JobRecovered, { job: id, from: incarnation });
        const { worker = "" } = adopted.job;
        const known = dispatcher.workerOf(adopted.job.pool, worker)
            ?? { vm: worker, origin: "", rack: "", zone: "", isOpen: false, isHome: false };
        const slot = dispatcher.adopt(this.wantOf(adopted.job), known, incarnation);
        void this.look(adopted, slot, watchJob(adopted)).catch(() => undefined);
    }

    private wantOf(job: Job): SlotRequest {
        return {
            pool: job.pool,
            team: job.team,
            queue: job.queue,
            class: QueueClass.Deferred,
            deadline: this.options.timer.now() + claimWaitMs,
            exclude: unfitFor(job, this.options.fleet.view),
        };
    }

    private perform(effect: JobEffect): Promise<unknown> {
        const { tasks, timer } = this.options;
        switch (effect.kind) {
            case TaskEffectKind.Start:
                return tasks.start(effect.job, effect.payload);
            case TaskEffectKind.Ask:
                return tasks.ask(effect.job);
            case TaskEffectKind.Cancel:
                return tasks.cancel(effect.job);
            case TaskEffectKind.Checkpoint:
                return tasks.checkpoint(effect.job);
            case TaskEffectKind.Forget:
                return tasks.forget(effect.job);
            case TaskEffectKind.Sleep:
                return sleep(timer, effect.ms);
            case TaskEffectKind.Note:
                return Promise.resolve(this.noteEnd(effect.job, effect.end));
            case TaskEffectKind.Look:
                return Promise.resolve(this.surroundings(effect.job));
            case StoreEffectKind.Get:
            case StoreEffectKind.Scan:
            case StoreEffectKind.Commit:
            case StoreEffectKind.PutObject:
            case StoreEffectKind.GetObject:
            case StoreEffectKind.DeleteObject:
                return this.options.store.perform(effect);
        }
    }

    private noteEnd(job: Job, end: JobEndKind): void {
        const { log, metrics } = this.options;
        const fields = { job: job.id, team: job.team, queue: job.queue, end };
        metrics.count("celerywind_job_ends_total", { end });
        switch (end) {
            case JobEndKind.Done:
            case JobEndKind.Cancelled:
            case JobEndKind.Again:
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

    private surroundings(job: Job): Surroundings {
        const around = lookAround(job, this.options.fleet.view);
        const isCancelAsked = job.cancelAsked || this.cancelAsked.has(job.id);
        return { ...around, isCancelAsked, isLeaving: this.isLeaving };
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return run(flow, (effect: StoreEffect) => this.options.store.perform(effect));
    }
}

function slotEndOf(end: RunEnd): SlotResult | undefined {
    switch (end) {
        case RunEnd.Finished:
            return SlotResult.Succeeded;
        case RunEnd.WorkerFailed:
            return SlotResult.Failed;
        case RunEnd.WorkerFull:
            return SlotResult.WorkerFull;
        case RunEnd.Lost:
            return SlotResult.Neutral;
        case RunEnd.HandedOver:
            return undefined;
    }
}
