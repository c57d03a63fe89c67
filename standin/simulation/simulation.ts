/**
 * A deterministic simulation of a fleet in virtual time: runs the real core of every entry against fakes of the
 * platform, the workers and the network between entries. A run depends on its options and its seed alone.
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

/** A pool of simulated workers. */
export interface SimulatedPool {
    readonly name: string;
    readonly workers: number;
    /** Availability budget: the number of workers that must stay available. */
    readonly budget: number;
    readonly spare?: boolean;
}

/** Options of `Simulation.create`. */
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
    /** Slots of each worker; 8 by default. */
    readonly slots?: number;
    /** Whether a worker VM is overdue for maintenance from the start. */
    readonly isMaintenanceDue?: (vm: string) => boolean;
    readonly rebootMs?: number;
}

/** A simulated entry. */
export interface SimulatedEntry {
    readonly vm: string;
    readonly core: Core;
    readonly timer: PausableTimer;
    readonly peers: VirtualPeers;
    readonly platform: VirtualPlatform;
    readonly metrics: Metrics;
    /** Latency and faults of the platform for this entry alone. */
    readonly platformConditions: PlatformConditions;
    isAlive: boolean;
}

/** A key as it was issued. */
export interface IssuedKey {
    readonly id: string;
    readonly text: string;
}

/** A key with the virtual time from which its withdrawal counts, in milliseconds; see `Simulation.withdrawKey`. */
export interface WithdrawnKey extends IssuedKey {
    readonly withdrawnAt: number;
}

const dayMs = 86_400_000;
const workersPerRack = 4;
const zoneCount = 3;
const defaultRebootMs = 5000;
const storedPollIntervalMs = 50;
/** Highest value that the monotonic clock of an entry's process shows at its start. */
const longestOriginMs = 2 * 3600_000;

/** A simulated fleet. */
export class Simulation {
    readonly timer = VirtualTimer.create();
    readonly embedded: EmbeddedPlatform;
    /** Latency and faults of the platform for all entries. */
    readonly platformConditions = normalConditions();
    readonly workers = new Map<string, VirtualWorker>();
    readonly network: VirtualNetwork;
    readonly random: Random;
    readonly calls: CallRecord[] = [];
    readonly jobs: JobRecord[] = [];
    readonly drains = new Map<string, DrainPeriod>();
    readonly keys = new Map<string, { readonly id: string; readonly text: string }>();
    /** Keys that `issueSpareKeys` issued for withdrawal. */
    readonly spareKeys: IssuedKey[] = [];
    /** Withdrawn keys, each added when its withdrawal begins to count. */
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

    /** Starts the entries, applies the lists and issues a key to every team. */
    async start(): Promise<void> {
        for (let index = 0; index < this.options.entries; index++) {
            this.addEntry(`entry-${index}`);
        }
        await this.advance(3000);
        const [first] = this.entries;
        await this.advanceUntilSettled(first!.core.versions.applyLists(this.options.lists, 0));
        for (const team of Object.keys(this.options.lists.teams)) {
            this.keys.set(team, await this.advanceUntilSettled(first!.core.versions.issueKey(team)));
        }
        await this.advance(3000);
    }

    /** Advances virtual time. */
    advance(ms: number): Promise<void> {
        return this.timer.advance(ms);
    }

    /** Advances virtual time until a promise settles; throws if it is still pending after `limitMs` of virtual time. */
    async advanceUntilSettled<T>(promise: Promise<T>, limitMs = 30_000): Promise<T> {
        let isDone = false;
        const tracked = promise.finally(() => isDone = true);
        tracked.catch(() => undefined);
        for (let ms = 0; ms < limitMs && !isDone; ms += 10) {
            await this.advance(10);
        }
        if (!isDone) {
            throw new Error(`the promise is still pending after ${limitMs} ms of virtual time`);
        }
        return tracked;
    }

    /** Adds an entry VM and starts its core. */
    addEntry(vm: string): SimulatedEntry {
        const { seed, settings: extra, log = silentLog } = this.options;
        this.embedded.putVm(
            this.createVm(vm, entryPoolName, this.entries.length, `http://${vm}`, `${vm}-boot`),
        );
        const settings = parseSettings(
            "simulation",
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
        const originMs = Random.createFromSmallSeed(seed * 2003 + this.entries.length + 1).int(
            longestOriginMs,
        );
        const timer = PausableTimer.create(this.timer, originMs);
        const ownConditions = normalConditions();
        const platform = new VirtualPlatform(this.embedded, timer, [this.platformConditions, ownConditions]);
        const random = Random.create(seed * 1009 + this.entries.length + 1);
        const metrics = Metrics.create();
        const node = { vm, timer, isAlive: true };
        const peers = this.network.addNode(node);
        const store = StoreClient.create({ platform, timer, random, metrics, log });
        const link = this.workerLink(vm, timer);
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
            upstream: new VirtualWorkerConnections(link),
            createTaskClient: originOf => new VirtualTaskClient(link, originOf, settings.times.taskLease),
            publish: (topic, payload) => queueMicrotask(() => publishTo(core, topic, payload)),
        });
        const entry: SimulatedEntry = {
            vm,
            core,
            timer,
            peers,
            platform,
            metrics,
            platformConditions: ownConditions,
            isAlive: true,
        };
        this.entries.push(entry);
        core.tasks.forEach(task => void task.start());
        return entry;
    }

    /** Kills an entry without a graceful stop; the platform removes its VM from the list after `listLagMs`. */
    killEntry(vm: string, listLagMs = 2000): void {
        const entry = this.getEntry(vm);
        entry.isAlive = false;
        entry.timer.end();
        this.network.removeNode(vm);
        this.entries = this.entries.filter(other => other !== entry);
        this.timer.after(listLagMs, () => this.embedded.removeVm(vm));
    }

    /** Stops an entry gracefully, with no new requests sent to it, and advances virtual time until it has stopped. */
    async stopEntry(vm: string): Promise<void> {
        await this.advanceUntilSettled(this.stopEntryWithoutAdvancing(vm));
        this.embedded.removeVm(vm);
    }

    /** Stops an entry gracefully; the caller has to advance virtual time meanwhile. */
    async stopEntryWithoutAdvancing(vm: string): Promise<void> {
        const entry = this.getEntry(vm);
        const { core, timer } = entry;
        this.entries = this.entries.filter(other => other !== entry);
        core.isStopping = true;
        await core.jobs.drain(5000);
        while (core.requests.activeCount > 0) {
            await sleep(timer, 20);
        }
        await core.grants.leave().catch(() => undefined);
        await core.fleet.leave().catch(() => undefined);
        timer.end();
        this.network.disconnectNode(vm);
    }

    /** Issues keys to a team that can be withdrawn later. */
    async issueSpareKeys(team: string, count: number): Promise<void> {
        for (let issued = 0; issued < count; issued++) {
            this.spareKeys.push(
                await this.advanceUntilSettled(this.entries[0]!.core.versions.issueKey(team)),
            );
        }
        await this.advance(2000);
    }

    /**
     * Withdraws a key through an entry. The withdrawal counts from the request on if it was stored or every entry
     * confirmed it. Otherwise the operator was informed that it is not in force everywhere, and it counts from when it
     * is stored.
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

    /** Number of entries that would currently accept a request with a key. */
    countAcceptingEntries(key: string): number {
        return this.entries.filter(({ core, timer }) => {
            const { state, pendingWithdrawals } = core.versions;
            const call = { authorization: `Bearer ${key}`, claimedTeam: undefined };
            const isAdmitted =
                authenticate(state, pendingWithdrawals, call, false).kind === AdmissionResultKind.Admitted;
            return isAdmitted && core.closedReason() === undefined && !timer.isPaused;
        }).length;
    }

    /**
     * Number of available VMs of each pool minus its availability budget. It is 0 if only VMs that went down without a
     * permit, which were not drained, are unavailable: such failures do not count against the budget.
     */
    plannedBudgetMargins(): ReadonlyMap<string, number> {
        const margins = new Map<string, number>();
        for (const { name, budget } of this.poolSpecs()) {
            const vms = this.vmsOf(name);
            const failedCount = vms.filter(vm => vm.state !== VmState.Live && !vm.draining).length;
            const availableCount = vms.filter(vm => vm.state === VmState.Live && !vm.draining).length;
            margins.set(
                name,
                failedCount > 0 && availableCount === vms.length - failedCount ? 0 : availableCount - budget,
            );
        }
        return margins;
    }

    /** Pauses the process of an entry for `ms` milliseconds of virtual time. */
    pauseEntry(vm: string, ms: number): void {
        const { timer } = this.getEntry(vm);
        timer.pause();
        this.timer.after(ms, () => timer.resume());
    }

    /** Isolates an entry from the platform and the other entries, but not from the workers, or ends the isolation. */
    setIsolated(vm: string, isIsolated: boolean): void {
        const entry = this.getEntry(vm);
        entry.platformConditions.isDown = isIsolated;
        for (const other of this.entries.filter(each => each !== entry)) {
            if (isIsolated) {
                this.network.partition(vm, other.vm);
            }
            else {
                this.network.heal(vm, other.vm);
            }
        }
    }

    /**
     * Ends the partitions between a VM and all entries; the entry on the VM may have stopped or restarted meanwhile.
     */
    healLinks(vm: string): void {
        this.entries.forEach(other => this.network.heal(vm, other.vm));
    }

    /** Starts or ends the loss of all packets between an entry and a worker, without an error on either side. */
    setPacketLoss(entry: string, worker: string, isLosingPackets: boolean): void {
        const key = `${entry}|http://${worker}`;
        if (isLosingPackets) {
            this.lossyLinks.add(key);
        }
        else {
            this.lossyLinks.delete(key);
        }
    }

    /** Crashes a worker, which reboots after `downMs`. */
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

    /** Entries that the load balancer sends requests to: those that are ready or paused, or all if there are none. */
    private readyEntries(): readonly SimulatedEntry[] {
        const ready = this.entries.filter(({ core, timer }) =>
            timer.isPaused || (core.fleet.self !== undefined && core.closedReason() === undefined)
        );
        return ready.length === 0 ? this.entries : ready;
    }

    /** Makes a VM overdue for maintenance. */
    makeMaintenanceDue(vm: string): void {
        void this.updateVm(vm, old => ({ ...old, bootedAt: old.bootedAt - 60 * dayMs }));
    }

    /** Sends a request with the team's key to one of the ready entries, chosen by index, and records its outcome. */
    async sendRequest(entryIndex: number, team: string, queue: string): Promise<Outcome> {
        const ready = this.readyEntries();
        const entry = ready[entryIndex % ready.length]!;
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
            deadline: entry.timer.now() + admission.timeoutMs,
            isRelayed: false,
        });
        return this.recordCall(id, team, queue, startedAt, outcome);
    }

    /** Submits a job and returns its id, or undefined if it was refused or its acceptance is uncertain. */
    async submitJob(
        entryIndex: number,
        team: string,
        queue: string,
        text = "{}",
        key = `key-${this.idCounter++}`,
    ): Promise<string | undefined> {
        const { core } = this.entries[entryIndex % this.entries.length]!;
        const queueConfig = core.versions.state.lists.queues[queue];
        if (queueConfig === undefined || core.closedReason() !== undefined) {
            return undefined;
        }
        const draft: Omit<Job, "payload"> = {
            id: jobIdOf(team, key),
            team,
            queue,
            pool: queueConfig.service,
            idempotent: queueConfig.idempotent,
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

    /** Reads the row of a job directly from the platform, without latency or faults. */
    async readJob(id: string): Promise<Job | undefined> {
        const row = await this.embedded.get(`job/${id}`);
        return (row?.value as { value: Job } | undefined)?.value;
    }

    /** Returns the entry on a VM; throws if there is none. */
    getEntry(vm: string): SimulatedEntry {
        const entry = this.entries.find(other => other.vm === vm);
        if (entry === undefined) {
            throw new Error(`no entry is running on VM "${vm}"`);
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
        const durationMs = this.timer.now() - startedAt;
        const isSuccess = outcome.kind === OutcomeKind.Answered && outcome.status === 200;
        const isAnswerCorrect = !isSuccess || outcome.body.toString() === `${id}|body of ${id}`;
        const reason = outcome.kind === OutcomeKind.Answered ? String(outcome.status) : outcome.reason;
        this.calls.push({
            id,
            team,
            queue,
            outcome: callOutcome(outcome),
            durationMs,
            isAnswerCorrect,
            reason,
        });
        return outcome;
    }

    private createWorkers(): void {
        const { pools, seed, meanServiceMs, slots = 8, isMaintenanceDue = () => false } = this.options;
        let vmIndex = 0;
        for (const { name, workers, budget, spare = false } of pools) {
            this.embedded.putPool({ name, budget, spare });
            for (let index = 0; index < workers; index++) {
                const vm = `${name}-${index}`;
                const random = Random.create(seed * 7919 + vmIndex);
                const worker = new VirtualWorker({
                    vm,
                    timer: this.timer,
                    random,
                    slots,
                    meanServiceMs,
                });
                this.workers.set(vm, worker);
                const spec = this.createVm(vm, name, vmIndex++, `http://${vm}`, worker.bootId);
                this.embedded.putVm(
                    isMaintenanceDue(vm) ? { ...spec, bootedAt: spec.bootedAt - 60 * dayMs } : spec,
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

    private createVm(id: string, pool: string, index: number, address: string, bootId: string): Vm {
        const rack = Math.floor(index / workersPerRack);
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
            const current = this.drains.get(vm);
            const isDraining = current !== undefined && current.until === Infinity;
            this.drains.set(vm, isDraining ? current : { from: this.timer.now(), until: Infinity });
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
        return this.embedded.currentVms().filter(vm => vm.pool === pool);
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
