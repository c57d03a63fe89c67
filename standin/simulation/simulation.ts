/**
 * A whole fleet in virtual time: the real core of every entry, joined to small fakes of the platform, the workers and
 * the links between entries. Every run is a function of its seed.
 */
import { EmbeddedPlatform, StoreClient } from "../../src/connection/platform/index.js";
import { Core } from "../../src/core.js";
import type { Topic, TopicPayloads } from "../../src/process/hub.js";
import { type Log, silentLog } from "../../src/process/log.js";
import { Metrics } from "../../src/process/metrics.js";
import { entryPoolName, type Vm, VmState } from "../../src/process/platform.js";
import { Random } from "../../src/process/random.js";
import { parseSettings, type SettingsInput } from "../../src/process/settings.js";
import { sleep } from "../../src/process/timer.js";
import { VirtualTimer } from "../../src/process/virtual-timer.js";
import { AdmissionResultKind, admit, authenticate } from "../../src/request/admission.js";
import type { Job } from "../../src/request/job.js";
import { jobIdOf, JobState } from "../../src/request/job.js";
import { notRunOutcome, type Outcome, OutcomeKind } from "../../src/request/outcome.js";
import type { Lists } from "../../src/version/schema.js";
import { QueueClass } from "../../src/version/schema.js";
import { CallOutcome, type CallRecord, type DrainPeriod, type JobRecord } from "../history.js";
import { VirtualNetwork, type VirtualPeers } from "./network.js";
import { PausableTimer } from "./pausable-timer.js";
import { normalConditions, type PlatformConditions, VirtualPlatform } from "./platform.js";
import { VirtualTaskClient, VirtualWorker, VirtualWorkerConnections, type WorkerLink } from "./worker.js";

/** A pool of the world. */
export interface SimulatedPool {
    readonly name: string;
    readonly workers: number;
    readonly budget: number;
    readonly spare?: boolean;
}

/** Options of `World.create`. */
export interface SimulationOptions {
    readonly seed: number;
    readonly entries: number;
    readonly pools: readonly SimulatedPool[];
    readonly lists: Lists;
    /** Mean service time by queue, in milliseconds. */
    readonly meanServiceMs: (queue: string) => number;
    readonly settings?: Partial<SettingsInput>;
    readonly latencyMs?: number;
    readonly log?: Log;
    /** Slots of each worker. */
    readonly slots?: number;
    /** VMs that have been up too long from the beginning. */
    readonly isMaintenanceDue?: (vm: string) => boolean;
    readonly rebootMs?: number;
}

/** One virtual entry. */
export interface SimulatedEntry {
    readonly vm: string;
    readonly core: Core;
    readonly timer: PausableTimer;
    readonly peers: VirtualPeers;
    readonly platform: VirtualPlatform;
    readonly metrics: Metrics;
    /** How the platform behaves towards this entry alone. */
    readonly platformConditions: PlatformConditions;
    isAlive: boolean;
}

/** A key as it was given. */
export interface IssuedKey {
    readonly id: string;
    readonly text: string;
}

/** A key with the virtual time at which its withdrawal was asked for, in milliseconds. */
export interface WithdrawnKey extends IssuedKey {
    readonly withdrawnAt: number;
}

const dayMs = 86_400_000;
const workersPerRack = 4;
const zoneCount = 3;
const defaultRebootMs = 5000;
const storedPollIntervalMs = 50;

/** A fleet in virtual time. */
export class Simulation {
    readonly timer = VirtualTimer.create();
    readonly embedded: EmbeddedPlatform;
    readonly platformConditions = normalConditions();
    readonly workers = new Map<string, VirtualWorker>();
    readonly network: VirtualNetwork;
    readonly random: Random;
    readonly calls: CallRecord[] = [];
    readonly jobs: JobRecord[] = [];
    readonly drains = new Map<string, DrainPeriod>();
    readonly keys = new Map<string, { readonly id: string; readonly text: string }>();
    /** Keys given to be withdrawn, and those that were. */
    readonly spareKeys: IssuedKey[] = [];
    readonly withdrawnKeys: WithdrawnKey[] = [];
    entries: SimulatedEntry[] = [];
    private readonly lossyLinks = new Set<string>();
    private idCounter = 0;

    private constructor(private readonly options: SimulationOptions) {
        this.random = Random.create(options.seed);
        this.network = VirtualNetwork.create(this.timer, options.latencyMs ?? 1);
        this.embedded = EmbeddedPlatform.create({
            wall: () => this.timer.wall(),
            restart: vm => this.rebootWorker(vm),
            usage: vm => Promise.resolve(this.workers.get(vm.id)?.runningCount ?? 0),
        });
        this.createWorkers();
        this.recordDrains();
    }

    static create(options: SimulationOptions): Simulation {
        return new Simulation(options);
    }

    /** Starts the entries, applies the lists and gives every team a key. */
    async start(): Promise<void> {
        for (let at = 0; at < this.options.entries; at++) {
            this.addEntry(`entry-${at}`);
        }
        await this.advance(3000);
        const [first] = this.entries;
        await this.advanceUntilSettled(first!.core.versions.applyLists(this.options.lists, 0));
        for (const team of Object.keys(this.options.lists.teams)) {
            this.keys.set(team, await this.advanceUntilSettled(first!.core.versions.giveKey(team)));
        }
        await this.advance(3000);
    }

    /** Moves virtual time on. */
    advance(ms: number): Promise<void> {
        return this.timer.advance(ms);
    }

    /** Moves virtual time on until a promise settles. */
    async advanceUntilSettled<T>(work: Promise<T>, limitMs = 30_000): Promise<T> {
        let isDone = false;
        const marked = work.finally(() => isDone = true);
        marked.catch(() => undefined);
        for (let ms = 0; ms < limitMs && !isDone; ms += 10) {
            await this.advance(10);
        }
        if (!isDone) {
            throw new Error(`nothing came of the work within ${limitMs} ms of virtual time`);
        }
        return marked;
    }

    /** Adds an entry VM and starts its core. */
    addEntry(vm: string): SimulatedEntry {
        const { seed, settings: extra, log = silentLog } = this.options;
        this.embedded.putVm(
            this.createVm(vm, entryPoolName, this.entries.length, `http://${vm}`, `${vm}-boot`),
        );
        const settings = parseSettings(
            "world",
            JSON.stringify({
                vm,
                zone: `zone-${this.entries.length % zoneCount}`,
                callers: { port: 1 },
                operators: { port: 2 },
                peers: { port: 3, secret: "a-secret-for-the-world-only" },
                platform: { kind: "embedded" },
                ...extra,
            }),
        );
        const timer = PausableTimer.create(this.timer);
        const mood = normalConditions();
        const platform = new VirtualPlatform(this.embedded, timer, [this.platformConditions, mood]);
        const random = Random.create(seed * 1009 + this.entries.length + 1);
        const metrics = Metrics.create();
        const node = { vm, timer, isAlive: true };
        const peers = this.network.addNode(node);
        const store = StoreClient.create({ platform, timer, random, metrics, log });
        const way = this.workerLink(vm, timer);
        const core = Core.create({
            settings,
            peerUrl: vm,
            store,
            platform,
            peers,
            timer,
            random,
            log,
            metrics,
            workers: new VirtualWorkerConnections(way),
            tasks: originOf => new VirtualTaskClient(way, originOf, settings.times.taskLease),
            publish: (topic, payload) => queueMicrotask(() => publishTo(core, topic, payload)),
        });
        const entry: SimulatedEntry = {
            vm,
            core,
            timer,
            peers,
            platform,
            metrics,
            platformConditions: mood,
            isAlive: true,
        };
        this.entries.push(entry);
        core.tasks.forEach(task => void task.start());
        return entry;
    }

    /** Ends an entry without warning; the platform drops it from its list after `listLagMs`. */
    killEntry(vm: string, listLagMs = 2000): void {
        const entry = this.getEntry(vm);
        entry.isAlive = false;
        entry.timer.end();
        this.network.removeNode(vm);
        this.entries = this.entries.filter(other => other !== entry);
        this.timer.after(listLagMs, () => this.embedded.dropVm(vm));
    }

    /** Stops an entry as planned, after the balancer has turned to the others. */
    async stopEntry(vm: string): Promise<void> {
        await this.advanceUntilSettled(this.stopEntryWithoutAdvancing(vm));
        this.embedded.dropVm(vm);
    }

    /** Stops an entry as planned while virtual time goes on by other means. */
    async stopEntryWithoutAdvancing(vm: string): Promise<void> {
        const entry = this.getEntry(vm);
        const { core, timer } = entry;
        this.entries = this.entries.filter(other => other !== entry);
        core.isClosed = true;
        await core.jobs.drain(5000);
        while (core.requests.activeCount > 0) {
            await sleep(timer, 20);
        }
        await core.grants.leave().catch(() => undefined);
        await core.fleet.leave().catch(() => undefined);
        timer.end();
        this.network.disconnectNode(vm);
    }

    /** Gives a team keys that can be withdrawn later. */
    async issueSpareKeys(team: string, count: number): Promise<void> {
        for (let given = 0; given < count; given++) {
            this.spareKeys.push(await this.advanceUntilSettled(this.entries[0]!.core.versions.giveKey(team)));
        }
        await this.advance(2000);
    }

    /**
     * Withdraws a key through an entry. It counts as withdrawn from the request on when every entry confirmed it or it
     * was stored, else from when it is stored: the operator was told that it is not in force everywhere.
     */
    withdrawKey(vm: string, key: IssuedKey): void {
        const withdrawnAt = this.timer.now();
        const entries = this.entries.length;
        this.getEntry(vm).core.versions.withdrawKey(key.id).then(({ isStored, inForce }) => {
            if (isStored || inForce >= entries) {
                this.withdrawnKeys.push({ ...key, withdrawnAt });
            }
            else {
                this.recordWithdrawalWhenStored(key);
            }
        }, () => undefined);
    }

    private recordWithdrawalWhenStored(key: IssuedKey): void {
        const cancel = this.timer.every(storedPollIntervalMs, () => {
            if (this.entries.some(({ core }) => core.versions.state.withdrawn.has(key.id))) {
                cancel();
                this.withdrawnKeys.push({ ...key, withdrawnAt: this.timer.now() });
            }
        });
    }

    /** Number of entries that would start work for a key now. */
    countAcceptingEntries(key: string): number {
        return this.entries.filter(({ core, timer }) => {
            const { state, pendingWithdrawals } = core.versions;
            const call = { authorization: `Bearer ${key}`, claimedTeam: undefined };
            const isKnown =
                authenticate(state, pendingWithdrawals, call, false).kind === AdmissionResultKind.Admitted;
            return isKnown && core.closedFor() === undefined && !timer.isPaused;
        }).length;
    }

    /** Available VMs of each pool less its budget, leaving aside VMs that are down without a permit. */
    plannedBudgetMargins(): ReadonlyMap<string, number> {
        const spare = new Map<string, number>();
        for (const { name, budget } of this.poolSpecs()) {
            const vms = this.vmsOf(name);
            const unplanned = vms.filter(vm => vm.state !== VmState.Live && !vm.draining).length;
            const available = vms.filter(vm => vm.state === VmState.Live && !vm.draining).length;
            spare.set(name, unplanned > 0 && available === vms.length - unplanned ? 0 : available - budget);
        }
        return spare;
    }

    /** Freezes an entry for `ms` milliseconds. */
    pauseEntry(vm: string, ms: number): void {
        const { timer } = this.getEntry(vm);
        timer.pause();
        this.timer.after(ms, () => timer.resume());
    }

    /** Cuts an entry off from everything but the workers, or joins it again. */
    setIsolated(vm: string, isCutOff: boolean): void {
        const entry = this.getEntry(vm);
        entry.platformConditions.isDown = isCutOff;
        for (const other of this.entries.filter(each => each !== entry)) {
            if (isCutOff) {
                this.network.partition(vm, other.vm);
            }
            else {
                this.network.heal(vm, other.vm);
            }
        }
    }

    /** Repairs the links of a VM to all entries, whatever runs on it now. */
    healLinks(vm: string): void {
        this.entries.forEach(other => this.network.heal(vm, other.vm));
    }

    /** Loses all packets between an entry and a worker without telling either. */
    setPacketLoss(entry: string, worker: string, isSilent: boolean): void {
        const key = `${entry}|http://${worker}`;
        if (isSilent) {
            this.lossyLinks.add(key);
        }
        else {
            this.lossyLinks.delete(key);
        }
    }

    /** Crashes a worker; it comes back after `downMs`. */
    crashWorker(vm: string, downMs: number): void {
        const worker = this.workers.get(vm)!;
        worker.crash();
        void this.updateVm(vm, old => ({ ...old, state: VmState.Failed }));
        this.timer.after(downMs, () => {
            const bootId = worker.reboot();
            void this.updateVm(
                vm,
                old => ({ ...old, state: VmState.Live, bootId, bootedAt: this.timer.wall() }),
            );
        });
    }

    /** Entries that the balancer sends to: those that say they are ready, or all when none does. */
    private readyEntries(): readonly SimulatedEntry[] {
        const ready = this.entries.filter(({ core, timer }) =>
            timer.isPaused || (core.fleet.self !== undefined && core.closedFor() === undefined)
        );
        return ready.length === 0 ? this.entries : ready;
    }

    /** Makes a VM overdue for service. */
    makeMaintenanceDue(vm: string): void {
        void this.updateVm(vm, old => ({ ...old, bootedAt: old.bootedAt - 60 * dayMs }));
    }

    /** Sends one request of a team through an entry, with the team's key, and records its outcome. */
    async sendRequest(at: number, team: string, queue: string): Promise<Outcome> {
        const ready = this.readyEntries();
        const entry = ready[at % ready.length]!;
        const id = `call-${this.idCounter++}`;
        const { core } = entry;
        const startedAt = this.timer.now();
        const admission = admit(core.versions.state, core.versions.pendingWithdrawals, {
            queue,
            authorization: `Bearer ${this.keys.get(team)?.text}`,
            claimedTeam: undefined,
            timeout: undefined,
            expectedClass: QueueClass.Interactive,
        });
        if (admission.kind === AdmissionResultKind.Refused) {
            return this.recordCall(id, team, queue, startedAt, notRunOutcome(admission.reason));
        }
        const body = Buffer.from(`body of ${id}`);
        const outcome = await core.requests.serve({
            id,
            team,
            queue,
            body,
            pool: admission.queue.service,
            class: admission.queue.class,
            idempotent: admission.queue.idempotent,
            contentType: "text/plain",
            deadline: startedAt + admission.timeoutMs,
            isRelayed: false,
        });
        return this.recordCall(id, team, queue, startedAt, outcome);
    }

    /** Submits a job; undefined when it was not accepted for certain. */
    async submitJob(
        at: number,
        team: string,
        queue: string,
        text = "{}",
        key = `key-${this.idCounter++}`,
    ): Promise<string | undefined> {
        const { core } = this.entries[at % this.entries.length]!;
        const listed = core.versions.state.lists.queues[queue];
        if (listed === undefined || core.closedFor() !== undefined) {
            return undefined;
        }
        const draft: Omit<Job, "payload"> = {
            id: jobIdOf(team, key),
            team,
            queue,
            pool: listed.service,
            idempotent: listed.idempotent,
            contentType: "text/plain",
            size: { cores: 1, memoryGb: 1, accelerators: 0 },
            acceptedAt: Math.round(this.timer.wall()),
            state: JobState.Waiting,
            attempt: 0,
            cancelAsked: false,
            failures: [],
        };
        const result = await core.jobs.accept(draft, Buffer.from(text)).catch(() => undefined);
        if (result === undefined || !("job" in result)) {
            return undefined;
        }
        this.jobs.push({ id: result.job.id, team, queue, state: JobState.Waiting, isResultCorrect: true });
        return result.job.id;
    }

    /** Reads the row of a job straight from the platform. */
    async readJob(id: string): Promise<Job | undefined> {
        const row = await this.embedded.get(`job/${id}`);
        return (row?.value as { value: Job } | undefined)?.value;
    }

    /** The entry on a VM. */
    getEntry(vm: string): SimulatedEntry {
        const entry = this.entries.find(other => other.vm === vm);
        if (entry === undefined) {
            throw new Error(`there is no entry "${vm}"`);
        }
        return entry;
    }

    private recordCall(
        id: string,
        team: string,
        queue: string,
        startedAt: number,
        outcome: Outcome,
    ): Outcome {
        const ms = this.timer.now() - startedAt;
        const isAnswer = outcome.kind === OutcomeKind.Answered && outcome.status === 200;
        const isOwnAnswer = !isAnswer || outcome.body.toString() === `${id}|body of ${id}`;
        const reason = outcome.kind === OutcomeKind.Answered ? String(outcome.status) : outcome.reason;
        this.calls.push({
            id,
            team,
            queue,
            outcome: callOutcome(outcome),
            durationMs: ms,
            isAnswerCorrect: isOwnAnswer,
            reason,
        });
        return outcome;
    }

    private createWorkers(): void {
        const { pools, seed, meanServiceMs: meanMs, slots = 8, isMaintenanceDue: isDue = () => false } =
            this.options;
        let at = 0;
        for (const { name, workers, budget, spare = false } of pools) {
            this.embedded.putPool({ name, budget, spare });
            for (let index = 0; index < workers; index++) {
                const vm = `${name}-${index}`;
                const random = Random.create(seed * 7919 + at);
                const worker = new VirtualWorker({
                    vm,
                    timer: this.timer,
                    random,
                    slots,
                    meanServiceMs: meanMs,
                });
                this.workers.set(vm, worker);
                const listed = this.createVm(vm, name, at++, `http://${vm}`, worker.bootId);
                this.embedded.putVm(
                    isDue(vm) ? { ...listed, bootedAt: listed.bootedAt - 60 * dayMs } : listed,
                );
            }
        }
    }

    private workerLink(vm: string, timer: PausableTimer): WorkerLink {
        return {
            timer,
            networkTimer: this.timer,
            latencyMs: this.options.latencyMs ?? 1,
            workerAt: origin => this.workers.get(origin.replace("http://", "")),
            isLosingPackets: origin => this.lossyLinks.has(`${vm}|${origin}`),
        };
    }

    private createVm(id: string, pool: string, at: number, address: string, bootId: string): Vm {
        const rack = Math.floor(at / workersPerRack);
        return {
            id,
            pool,
            address,
            bootId,
            rack: `rack-${rack}`,
            zone: `zone-${rack % zoneCount}`,
            state: VmState.Live,
            bootedAt: this.timer.wall() - dayMs,
            cores: 32,
            memoryGb: 128,
            accelerators: 0,
            draining: false,
        };
    }

    private async rebootWorker(vm: Vm): Promise<string> {
        const worker = this.workers.get(vm.id)!;
        worker.crash();
        await new Promise<void>(resolve =>
            this.timer.after(this.options.rebootMs ?? defaultRebootMs, resolve)
        );
        return worker.reboot();
    }

    private recordDrains(): void {
        const drain = this.embedded.drain.bind(this.embedded);
        const undrain = this.embedded.undrain.bind(this.embedded);
        this.embedded.drain = vm => {
            const open = this.drains.get(vm);
            const isDraining = open !== undefined && open.until === Infinity;
            this.drains.set(vm, isDraining ? open : { from: this.timer.now(), until: Infinity });
            return drain(vm);
        };
        this.embedded.undrain = vm => {
            this.drains.set(vm, { from: this.drains.get(vm)?.from ?? 0, until: this.timer.now() });
            return undrain(vm);
        };
    }

    private poolSpecs(): readonly SimulatedPool[] {
        return this.options.pools;
    }

    private vmsOf(pool: string): readonly Vm[] {
        return this.embedded.vmsNow().filter(vm => vm.pool === pool);
    }

    private async updateVm(id: string, edit: (vm: Vm) => Vm): Promise<void> {
        const { vms } = await this.embedded.listVms();
        const vm = vms.find(other => other.id === id);
        if (vm !== undefined) {
            this.embedded.putVm(edit(vm));
        }
    }
}

function publishTo<T extends Topic>(core: Core, topic: T, payload: TopicPayloads[T]): void {
    core.tasks.forEach(task => task.handlers?.[topic]?.(payload));
}

function callOutcome(outcome: Outcome): CallOutcome {
    switch (outcome.kind) {
        case OutcomeKind.Answered:
            return CallOutcome.Answered;
        case OutcomeKind.NotRun:
            return CallOutcome.NotRun;
        case OutcomeKind.Unknown:
            return CallOutcome.Unknown;
    }
}
