/** A complete site in virtual time: entries, store, workers and VMs, with faults that tests inject. */
import type { JobSpec, StepSpec } from "../../src/job/index.js";
import { parseTaskName } from "../../src/job/index.js";
import {
    type InventoryVm,
    type Roster,
    type VmClient,
    VmOrderResult,
    VmPhase,
} from "../../src/pool/ports.js";
import { PlatformError } from "../../src/process/errors.js";
import { EventId, type Severity } from "../../src/process/events.js";
import type { Log, LogFields } from "../../src/process/log.js";
import { Metrics } from "../../src/process/metrics.js";
import { Random } from "../../src/process/random.js";
import { RateWindow } from "../../src/process/rate-window.js";
import { type Resources } from "../../src/process/resources.js";
import type { RowKey, RowStore, StoredRow } from "../../src/process/rows.js";
import { type SchedulingSettings, siteSettingsSchema } from "../../src/process/site-settings.js";
import { sleep, type Timer } from "../../src/process/timer.js";
import { VirtualTimer } from "../../src/process/virtual-timer.js";
import { SiteCore, type SitePlatform } from "../../src/site-core.js";
import type { Queue } from "../../src/version/directory.js";
import type { MaintenanceWave, OperatorUpdate } from "../../src/version/operator-table.js";
import { decodeSiteLists } from "../../src/version/site-lists.js";
import { type ZoneChange, ZoneOrder } from "../../src/version/zone-evacuations.js";
import { VirtualNetwork, type VirtualPeers } from "../simulation/network.js";
import { PausableTimer } from "../simulation/pausable-timer.js";
import { SharedLink } from "../simulation/shared-link.js";
import { StandinAdviser } from "./adviser.js";
import { InvariantChecker } from "./checker.js";
import { type ClockOrigin, seededOrigins } from "./clock-origins.js";
import { RisingCounter } from "./rising-counter.js";
import { admit } from "./row-limits.js";
import { noRowStoreFaults, type RowStoreFaults, StandinRowStore } from "./rows.js";
import { type ArrivedOrder, VmHolderChecker } from "./vm-holders.js";
import { WorkerCalls } from "./worker-calls.js";
import { GangTracker, StandinWorker, type TaskProfile } from "./worker.js";

/** One entry process of the site. */
export interface StandinEntry {
    readonly name: string;
    readonly core: SiteCore;
    readonly timer: PausableTimer;
    readonly peers: VirtualPeers;
    readonly storeFaults: RowStoreFaults;
    readonly vmFaults: VmFaults;
    readonly log: readonly LoggedEvent[];
}

/** Faults of an entry's calls for VMs. */
export interface VmFaults {
    /** Time for which an order waits on its link, in milliseconds. */
    orderDelayMs: number;
    /** Whether readings of the inventory receive no answer. */
    isInventorySilent: boolean;
}

/** A line of an entry's log. */
export interface LoggedEvent {
    /** Time of the site, in milliseconds. */
    readonly at: number;
    readonly event: EventId;
    readonly severity: Severity;
    readonly fields: LogFields;
}

interface StandinVm {
    readonly vm: string;
    readonly rack: string;
    readonly zone: string;
    readonly kind: string;
    pool: string;
    phase: VmPhase;
    worker: StandinWorker | undefined;
}

/** Options of `StandinSite.create`. */
export interface StandinSiteOptions {
    readonly seed?: number;
    readonly entries?: number;
    /** VMs of each working pool. */
    readonly vmsPerPool?: number;
    readonly pools?: readonly string[];
    readonly spareVms?: number;
    /** Kind of the VMs of the spare pool, their first label; that of the others by default. */
    readonly spareKind?: string;
    readonly capacity?: Resources;
    /** Strengths of the entries' VMs by entry name; 1 for those that are not named. */
    readonly strengths?: Readonly<Record<string, number>>;
    /** Availability zones of the entries' VMs by entry name; unknown for those that are not named. */
    readonly zones?: Readonly<Record<string, string>>;
    /** Availability zones of the workers' VMs, which take turns; one zone by default. */
    readonly workerZones?: readonly string[];
    /** Scheduling settings of all entries; those not given are off. */
    readonly scheduling?: Partial<SchedulingSettings>;
    /** Number of parts of the store that hold the accepted jobs. */
    readonly jobParts?: number;
    /** Bandwidths of the entries' links by entry name, in bytes a millisecond; not limited for those that are not named. */
    readonly linkBytesPerMs?: Readonly<Record<string, number>>;
    /** Whether workers refuse runs that exceed their capacity. */
    readonly guardsCapacity?: boolean;
    /** Whether the platform lists its VMs, so that entries move them between pools and service them. */
    readonly managesVms?: boolean;
    /** Time that runs take to stop, in milliseconds. */
    readonly stopDurationMs?: number;
    /** What the workers' clocks show at their starts; anywhere, by the seed, by default. */
    readonly clockOrigin?: ClockOrigin;
    /** Creates an entry's view of the list of workers; it shows the workers that are alive by default. */
    readonly createRoster?: (source: RosterSource) => Roster;
}

/** What an entry's view of the list of workers is created from. */
export interface RosterSource {
    readonly store: RowStore;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Lists that the simulated operator writes. */
export interface StandinLists {
    readonly version: number;
    readonly queues: readonly Partial<Queue>[];
    /** Accounts beside those that the other fields name; `team` by default. */
    readonly teams?: readonly string[];
    readonly caps?: Readonly<Record<string, Resources>>;
    readonly keys?: Readonly<Record<string, string>>;
    readonly weights?: Readonly<Record<string, number>>;
}

/** How the tasks of a job behave. */
interface JobProfile {
    readonly workMs: number;
    readonly failures: number;
    /** Whether a start has to carry a ticket of the adviser; not by default. */
    readonly needsTicket?: boolean;
}

const callLatencyMs = 1;
/** Time from the start of a deadly task to the crash of its worker, and from there to its VM's next worker. */
const crashDelayMs = 10;
const crashDownMs = 3000;
/** Time from the start of an incarnation until the list of workers shows it, as heartbeats are sent at intervals. */
const shortestListDelayMs = 300;
const longestListDelayMs = 1000;
/** Time after which an entry gives up an order for a VM. */
const maxOrderMs = 1500;
const vmMoveMs = 1500;
/** Readings of the inventory, and orders for VMs, that the platform accepts in a second from all entries together. */
const inventoryReadsPerS = 64;
const vmOrdersPerS = 64;
const vmMaintenanceMs = 2000;
/** Time after a fault within which leases may lapse, and the interval of looking for faults. */
const impairmentReachMs = 3000;
const impairmentCheckMs = 50;
const sparePool = "spare";
const defaultZone = "z";
const defaultKind = "a";
/** Table that entries read before each list of workers. */
export const rosterTable = "roster";
const operatorTable = "operator";
const listsKey = { table: operatorTable, part: "", key: "lists" };
const waveKeyPrefix = "wave/";
const zoneKeyPrefix = "zone/";
const defaultCapacity: Resources = { cpu: 32_000, memory: 128_000, accelerators: 0 };

/** A simulated site. */
export class StandinSite {
    readonly timer = VirtualTimer.create();
    readonly rows: StandinRowStore;
    readonly checker: InvariantChecker;
    readonly net: VirtualNetwork;
    readonly entries: StandinEntry[] = [];
    /** VMs whose maintenance has started, by wave. */
    readonly maintainedVms = new Map<number, Set<string>>();
    /** Largest number of VMs in maintenance at the same time. */
    maxVmsInMaintenance = 0;
    private readonly waves = new Map<number, MaintenanceWave>();
    /** Checks who orders the VMs. */
    readonly vmHolders: VmHolderChecker;
    readonly adviser: StandinAdviser;
    readonly workerCalls: WorkerCalls;
    private readonly gangs = new GangTracker();
    private readonly inventoryReads = RateWindow.create(inventoryReadsPerS);
    private readonly vmOrders = RateWindow.create(vmOrdersPerS);
    readonly jobProfiles = new Map<string, JobProfile>();
    /** Tasks that crash each worker that starts them, by name. */
    readonly deadlyTasks = new Set<string>();
    private readonly vms: StandinVm[] = [];
    private readonly partitionedWorkers = new Set<string>();
    /** The only entry that reaches a worker, by worker. */
    private readonly soleEntries = new Map<string, string>();
    private readonly random: Random;
    private readonly seed: number;
    private readonly clockOrigin: ClockOrigin;
    /** What the monotonic clock of a process shows at its start, by its name and number. */
    private readonly processOrigins: ClockOrigin;
    private nextWorkerNumber = 1;
    private nextIncarnation = 1;
    /** Time at which a fault was last in effect, in milliseconds. */
    private lastImpairedAt = 0;

    private constructor(private readonly options: StandinSiteOptions) {
        const { seed = 1 } = options;
        this.seed = seed;
        this.random = Random.create(seed);
        this.clockOrigin = options.clockOrigin ?? seededOrigins(seed);
        this.processOrigins = seededOrigins(seed);
        this.rows = StandinRowStore.create(this.timer, this.random, seed);
        this.rows.readOnlyTables.add(operatorTable).add(rosterTable);
        this.checker = new InvariantChecker(this.timer);
        this.adviser = new StandinAdviser(this.timer);
        this.vmHolders = new VmHolderChecker(violation => this.checker.reportViolation(violation));
        this.checker.availability.isImpairmentNear = () =>
            this.timer.now() - this.lastImpairedAt < impairmentReachMs;
        this.timer.every(impairmentCheckMs, () => this.watchFaults());
        this.net = VirtualNetwork.create(this.timer, 1);
        this.workerCalls = WorkerCalls.create({
            timer: this.timer,
            findWorker: id => this.workers.find(worker => worker.id === id && worker.isAlive),
            isCutOff: (worker, entry) =>
                this.partitionedWorkers.has(worker) || (this.soleEntries.get(worker) ?? entry) !== entry,
            carryOutLate: order => this.checker.availability.carryOutLate(order),
        });
    }

    /** Builds a site; `start` starts its entries. */
    static create(options: StandinSiteOptions = {}): StandinSite {
        const site = new StandinSite(options);
        for (const pool of options.pools ?? ["bench"]) {
            site.addVms(pool, options.vmsPerPool ?? 4);
        }
        site.addVms(sparePool, options.spareVms ?? 0);
        return site;
    }

    get workers(): readonly StandinWorker[] {
        return this.vms.flatMap(({ worker }) => worker ?? []);
    }

    /** Writes the lists, starts all entries, and advances time by 2 s. */
    async start(lists: StandinLists): Promise<void> {
        this.setLists(lists);
        for (let i = 0; i < (this.options.entries ?? 3); i++) {
            this.startEntry(`entry-${i}`);
        }
        await this.timer.advance(2000);
    }

    /** Writes the lists to the operator table in the stored format of the product. */
    setLists(
        { version, queues, teams: named = ["team"], caps = {}, keys = {}, weights = {} }: StandinLists,
    ): void {
        const pools = [...this.options.pools ?? ["bench"], sparePool];
        const teams = new Set([
            ...Object.keys(caps),
            ...Object.values(keys),
            ...Object.keys(weights),
            ...named,
        ]);
        const lists = {
            version,
            queues: queues.map(queueOf),
            pools: pools.map(name => ({
                name,
                isSpare: name === sparePool,
                guardsCapacity: this.options.guardsCapacity ?? true,
            })),
            teams: [...teams].map(name => ({
                name,
                cap: caps[name],
                weight: weights[name],
                keys: Object.keys(keys).filter(key => keys[key] === name),
            })),
        };
        this.rows.write(listsKey, JSON.stringify(lists));
    }

    /** Orders a wave of VM maintenance. */
    orderWave(order: MaintenanceWave): void {
        this.waves.set(order.wave, order);
        const key = `${waveKeyPrefix}${order.wave}`;
        this.rows.write({ table: operatorTable, part: "", key }, JSON.stringify(order));
    }

    /** Evacuates an availability zone; `value` replaces the row's content, to make it malformed. */
    evacuate(zone: string, value = "evacuated"): void {
        this.rows.write(zoneKey(zone), value);
        this.checker.recordEvacuated(zone);
    }

    /** Takes the evacuation of a zone back. */
    restore(zone: string): void {
        this.rows.remove(zoneKey(zone));
        this.checker.recordRestored(zone);
    }

    /** Whether the product has written a status for a wave, in progress or finished. */
    isWaveAnnounced(wave: number): boolean {
        return this.rows.find(statusKey(wave)) !== undefined;
    }

    /** Whether the status of a wave reports it as finished. */
    isWaveFinished(wave: number): boolean {
        return this.rows.find(statusKey(wave))?.value === "true";
    }

    /** Starts a process on an entry VM; an earlier process there must have ended. */
    startEntry(name: string): StandinEntry {
        const incarnation = this.nextIncarnation++;
        const timer = PausableTimer.create(this.timer, this.processOrigins(name, incarnation));
        const storeFaults = noRowStoreFaults();
        const vmFaults: VmFaults = { orderDelayMs: 0, isInventorySilent: false };
        const log: LoggedEvent[] = [];
        const linkBytesPerMs = this.options.linkBytesPerMs?.[name];
        const link = linkBytesPerMs === undefined ? undefined : SharedLink.create(timer, linkBytesPerMs);
        storeFaults.link = link;
        const node = { vm: name, timer, link, isAlive: true };
        const peers = this.net.addNode(node);
        const entryLog = this.logTo(log);
        const metrics = Metrics.create();
        const core = SiteCore.create({
            settings: siteSettingsSchema.parse({
                entry: name,
                zone: this.options.zones?.[name] ?? "",
                callers: "x:1",
                readiness: "x:2",
                metrics: "x:3",
                peers: { listen: "x:4", secret: "0123456789abcdef" },
                store: "x:5",
                scheduling: this.options.scheduling ?? {},
                bounds: { longestStopMs: this.options.stopDurationMs },
                ...(this.options.jobParts !== undefined && { jobParts: this.options.jobParts }),
            }),
            incarnation: `${name}#${incarnation}`,
            peerUrl: `ws://${name}`,
            strength: this.options.strengths?.[name] ?? 1,
            peers,
            store: this.rows.clientFor(timer, storeFaults),
            platform: store => this.platformFor(name, timer, { store, log: entryLog, metrics }, vmFaults),
            timer,
            log: entryLog,
            metrics,
            connectPeers: addresses =>
                addresses.length > 0 && peers.setNeededPeers(addresses.map(({ vm }) => vm)),
        });
        const entry: StandinEntry = { name, core, timer, peers, storeFaults, vmFaults, log };
        const at = this.entries.findIndex(other => other.name === name);
        this.entries.splice(at < 0 ? this.entries.length : at, at < 0 ? 0 : 1, entry);
        void core.start();
        return entry;
    }

    /** Kills a process without a shutdown. */
    kill(entry: StandinEntry): void {
        this.lastImpairedAt = this.timer.now();
        entry.timer.end();
        entry.peers.node.isAlive = false;
        this.net.disconnectNode(entry.name);
    }

    /** The entry that owns the domain; undefined if there is none or its process is paused. */
    owner(): StandinEntry | undefined {
        return this.entries.find(({ core, timer }) => core.domain.tenure !== undefined && !timer.isPaused);
    }

    /** Submits a job at an entry and resolves with the result. Throws if the entry has no lists. */
    submit(
        entry: StandinEntry,
        id: string,
        spec: JobSpec,
        options: { workMs?: number; failures?: number; team?: string } = {},
    ) {
        this.checker.specs.set(id, spec);
        const queue = entry.core.lists.directory?.queues[0];
        this.jobProfiles.set(id, {
            workMs: options.workMs ?? 500,
            failures: options.failures ?? 0,
            needsTicket: queue?.needsAdvice === true,
        });
        if (queue === undefined) {
            throw new Error(`${entry.name} has no lists yet; advance the time before submitting`);
        }
        return entry.core.jobCalls.submit(id, queue, options.team ?? "team", spec, 3000);
    }

    /** The phase that an entry reports for a job, or the kind of result if it reports none. */
    async phaseOf(entry: StandinEntry, id: string): Promise<string> {
        const result = await entry.core.jobCalls.phaseOf(id, 3000);
        return result.kind === "phase" ? result.phase : result.kind;
    }

    /** Advances time until a promise settles; throws if it has not settled after `limitMs` of virtual time. */
    async runUntilSettled<T>(work: Promise<T>, limitMs = 10_000): Promise<T> {
        let isSettled = false;
        void work.finally(() => {
            isSettled = true;
        }).catch(() => undefined);
        for (let ms = 0; ms < limitMs && !isSettled; ms += 10) {
            await this.timer.advance(10);
        }
        if (!isSettled) {
            throw new Error(
                `promise did not settle within ${limitMs} ms of virtual time; its process may have ended`,
            );
        }
        return work;
    }

    /** Crashes a worker; after `downMs` its VM starts a new incarnation, under the same id unless another is given. */
    crash(worker: StandinWorker, downMs: number, nextId = worker.id): void {
        this.checker.recordCrash(worker);
        worker.terminate();
        const vm = this.vms.find(candidate => candidate.worker === worker);
        this.timer.after(downMs, () => {
            if (vm?.worker === worker) {
                vm.worker = this.createWorker(vm, nextId);
            }
        });
    }

    /** Takes the power from a worker; after `downMs` its VM starts another one. No call to it is answered from now on. */
    darken(worker: StandinWorker, downMs: number): void {
        this.checker.recordCrash(worker);
        worker.goDark();
        const vm = this.vms.find(candidate => candidate.worker === worker);
        this.timer.after(downMs, () => {
            worker.terminate();
            if (vm?.worker === worker) {
                vm.worker = this.createWorker(vm, `w-${this.nextWorkerNumber++}`);
            }
        });
    }

    /**
     * Restarts a worker under its id: its runs are gone, and it answers no call. Calls that arrive while it is down wait for the
     * next incarnation, which is there after `downMs` and takes the former one's place in the list `listDelayMs` later.
     */
    restart(
        worker: StandinWorker,
        downMs: number,
        listDelayMs = shortestListDelayMs + this.random.int(longestListDelayMs - shortestListDelayMs),
    ): void {
        this.lastImpairedAt = this.timer.now();
        this.checker.recordCrash(worker);
        worker.loseRuns();
        this.workerCalls.holdCalls(worker);
        const vm = this.vms.find(candidate => candidate.worker === worker);
        this.timer.after(downMs, () => {
            worker.terminate();
            const next = vm?.worker === worker ? this.createWorker(vm, worker.id) : undefined;
            if (vm !== undefined && next !== undefined) {
                vm.worker = next;
                next.keepListed(worker.listed, listDelayMs);
            }
            this.workerCalls.release(worker.id, next);
        });
    }

    /** Crashes the worker of a deadly task shortly after its start; its VM has a worker of another id some seconds later. */
    private crashSoon(worker: StandinWorker): void {
        this.timer.after(crashDelayMs, () => {
            if (worker.isAlive) {
                this.crash(worker, crashDownMs, `w-${this.nextWorkerNumber++}`);
            }
        });
    }

    /** Partitions a worker from every entry; its runs continue. */
    partition(worker: StandinWorker): void {
        this.partitionedWorkers.add(worker.id);
    }

    /** Ends the partitions of a worker. */
    heal(worker: StandinWorker): void {
        this.soleEntries.delete(worker.id);
        this.partitionedWorkers.delete(worker.id);
    }

    /** Partitions a worker from all entries but one. */
    partitionExceptFrom(worker: StandinWorker, entry: StandinEntry): void {
        this.soleEntries.set(worker.id, entry.name);
    }

    /** Pool of a VM on the platform. */
    poolOf(vm: string): string | undefined {
        return this.vms.find(candidate => candidate.vm === vm)?.pool;
    }

    /** Records the time while a process, the store, a worker or a link has a fault, or a process is missing. */
    private watchFaults(): void {
        const isEntryImpaired = this.entries.some(({ timer, peers, storeFaults }) =>
            timer.isPaused || !peers.node.isAlive || isStoreImpaired(storeFaults)
        );
        const isWorkerImpaired = this.vms.some(({ phase, worker }) =>
            phase === VmPhase.Up && worker === undefined
            || worker !== undefined
                && Object.values(worker.faults).some(fault => fault !== false && fault !== 0)
        );
        const isCut = this.partitionedWorkers.size > 0 || this.soleEntries.size > 0;
        if (isEntryImpaired || isWorkerImpaired || isCut || isStoreImpaired(this.rows.faults)) {
            this.lastImpairedAt = this.timer.now();
        }
    }

    private addVms(pool: string, count: number): void {
        const zones = this.options.workerZones ?? [defaultZone];
        for (let i = 0; i < count; i++) {
            const vm: StandinVm = {
                vm: `vm-${this.vms.length}`,
                rack: `rack-${Math.floor(this.vms.length / 2)}`,
                zone: zones[this.vms.length % zones.length]!,
                kind: pool === sparePool ? this.options.spareKind ?? defaultKind : defaultKind,
                pool,
                phase: VmPhase.Up,
                worker: undefined,
            };
            this.vms.push(vm);
            vm.worker = this.createWorker(vm, `w-${this.nextWorkerNumber++}`);
        }
    }

    private createWorker(vm: StandinVm, id: string): StandinWorker | undefined {
        if (vm.pool === sparePool) {
            return undefined;
        }
        const capacity = this.options.capacity ?? defaultCapacity;
        const profileOf = (task: string): TaskProfile | undefined => this.profileOf(task);
        const { timer, checker, gangs } = this;
        const worker = new StandinWorker(
            timer,
            id,
            vm.pool,
            vm.vm,
            vm.rack,
            capacity,
            profileOf,
            checker,
            gangs,
            this.clockOrigin,
        );
        worker.reports = RisingCounter.create({ seed: this.seed, name: `${id}@${worker.startedAtMs}` });
        worker.zone = vm.zone;
        worker.kind = vm.kind;
        worker.stopDurationMs = this.options.stopDurationMs ?? worker.stopDurationMs;
        worker.guardsCapacity = this.options.guardsCapacity ?? true;
        return worker;
    }

    private profileOf(task: string): TaskProfile | undefined {
        const id = parseTaskName(task);
        const step = id === undefined ? undefined : this.checker.specs.get(id.job)?.steps[id.step];
        const profile = id === undefined ? undefined : this.jobProfiles.get(id.job);
        return step === undefined || profile === undefined
            ? undefined
            : {
                needs: step.needs,
                isService: step.isService,
                workMs: profile.workMs,
                failures: profile.failures,
                ...(profile.needsTicket === true && {
                    acceptsTicket: (ticket: string | undefined, worker: string) =>
                        this.adviser.isValid(ticket, `${id!.job}.${id!.occurrence}.${id!.step}`, worker),
                }),
                ...(this.deadlyTasks.has(task) && {
                    onStarted: (worker: StandinWorker) => this.crashSoon(worker),
                }),
                ...(step.isGang
                    && { gang: { name: `${id!.job}.${id!.occurrence}.${id!.step}`, size: step.tasks } }),
            };
    }

    /** A log with the times of the site, since the monotonic clocks of processes differ. */
    private logTo(lines: LoggedEvent[]): Log {
        return {
            write: (severity: Severity, event: EventId, fields: LogFields = {}) =>
                void lines.push({ at: this.timer.now(), event, severity, fields }),
        };
    }

    private platformFor(
        entry: string,
        timer: Timer,
        source: RosterSource,
        vmFaults: VmFaults,
    ): SitePlatform {
        return {
            roster: this.options.createRoster?.(source) ?? {
                list: async () => {
                    await source.store.read({ table: rosterTable, part: "" });
                    return this.workers.filter(({ isListed }) => isListed).map(({ listed }) => listed);
                },
            },
            workerClient: this.workerCalls.clientFor(entry, timer),
            adviser: this.adviser.clientFor(entry, timer),
            vmClient: this.vmClientFor(timer, vmFaults),
            operatorTable: {
                name: operatorTable,
                zoneRange: { from: zoneKeyPrefix, to: "zone0" },
                decode: operatorUpdateOf,
            },
            decodeLists: decodeSiteLists,
            waveStatusRow: (wave, isFinished) => ({ ...statusKey(wave), value: String(isFinished) }),
        };
    }

    private vmClientFor(timer: Timer, faults: VmFaults): VmClient {
        return {
            list: async () => {
                await sleep(timer, callLatencyMs);
                if (faults.isInventorySilent) {
                    await sleep(timer, maxOrderMs);
                    throw new PlatformError("the inventory did not answer");
                }
                if (!admit(this.inventoryReads, this.timer.now())) {
                    throw new PlatformError("the inventory refused the call: too many readings");
                }
                return this.options.managesVms === true ? this.vms.map(vm => this.inventoryOf(vm)) : [];
            },
            maxOrderMs,
            move: (vm, pool, { fence }) =>
                this.deliverOrder(
                    { vm, sender: timer, fence },
                    faults,
                    () => this.takeOutOfService(vm, VmPhase.Moving, vmMoveMs, pool),
                ),
            startMaintenance: (vm, wave, { fence }) =>
                this.deliverOrder({ vm, sender: timer, fence }, faults, () => this.maintainVm(vm, wave)),
        };
    }

    /** Delivers an order, even if its sender has ended meanwhile, unless it takes longer than `maxOrderMs`. */
    private async deliverOrder(
        order: Omit<ArrivedOrder, "at">,
        { orderDelayMs }: VmFaults,
        carryOut: () => VmOrderResult,
    ): Promise<VmOrderResult> {
        const delayMs = callLatencyMs + orderDelayMs;
        if (!admit(this.vmOrders, this.timer.now())) {
            await sleep(order.sender, callLatencyMs);
            return VmOrderResult.RateLimited;
        }
        let result = VmOrderResult.Unknown;
        if (delayMs <= maxOrderMs) {
            this.timer.after(delayMs, () => {
                this.vmHolders.record({ ...order, at: this.timer.now() });
                result = carryOut();
            });
        }
        await sleep(order.sender, Math.min(delayMs, maxOrderMs));
        return result;
    }

    private inventoryOf({ vm, pool, phase, rack, zone, kind, worker }: StandinVm): InventoryVm {
        return {
            vm,
            pool,
            phase,
            zone,
            labels: [kind, rack],
            capacity: this.options.capacity ?? defaultCapacity,
            worker: worker?.id ?? "",
        };
    }

    private maintainVm(vm: string, wave: number): VmOrderResult {
        const done = this.maintainedVms.get(wave) ?? new Set();
        if (this.waves.get(wave)?.vms.includes(vm) !== true) {
            return VmOrderResult.NotInWave;
        }
        if (done.has(vm)) {
            return VmOrderResult.Done;
        }
        const inMaintenance = this.countInMaintenance(wave);
        const result = this.takeOutOfService(vm, VmPhase.InMaintenance, vmMaintenanceMs, undefined);
        if (result === VmOrderResult.Done) {
            const { cap } = this.waves.get(wave)!;
            if (inMaintenance >= cap) {
                this.checker.reportViolation(
                    `the maintenance of ${vm} begins while ${inMaintenance} VMs of wave ${wave} are in theirs, with cap ${cap}`,
                );
            }
            this.maintainedVms.set(wave, done.add(vm));
            this.maxVmsInMaintenance = Math.max(
                this.maxVmsInMaintenance,
                this.vms.filter(({ phase }) => phase === VmPhase.InMaintenance).length,
            );
        }
        return result;
    }

    private countInMaintenance(wave: number): number {
        const vms = this.waves.get(wave)?.vms ?? [];
        return this.vms.filter(({ vm, phase }) => phase === VmPhase.InMaintenance && vms.includes(vm)).length;
    }

    private takeOutOfService(
        name: string,
        phase: VmPhase,
        ms: number,
        pool: string | undefined,
    ): VmOrderResult {
        const vm = this.vms.find(candidate => candidate.vm === name);
        if (vm === undefined) {
            return VmOrderResult.Impossible;
        }
        if (vm.phase !== VmPhase.Up) {
            return VmOrderResult.Busy;
        }
        if (vm.worker !== undefined) {
            this.checker.availability.recordVmOrder(vm.worker);
        }
        vm.worker?.terminate();
        vm.worker = undefined;
        vm.phase = phase;
        vm.pool = pool ?? vm.pool;
        this.timer.after(ms, () => {
            vm.phase = VmPhase.Up;
            vm.worker = this.createWorker(vm, `w-${this.nextWorkerNumber++}`);
        });
        return VmOrderResult.Done;
    }
}

function isStoreImpaired(faults: RowStoreFaults): boolean {
    return faults.isUnresponsive || faults.isBusy || faults.latencyFactor !== 1 || faults.lostAnswerShare > 0
        || faults.delayedCommitShare > 0 || faults.unreadableTables.size > 0
        || faults.unansweredFeeds.size > 0;
}

function statusKey(wave: number): RowKey {
    return { table: "status", part: "", key: String(wave) };
}

function operatorUpdateOf(rows: readonly StoredRow[]): OperatorUpdate {
    const lists = rows.findLast(({ key }) => key === listsKey.key)?.value;
    const waves = rows.filter(({ key }) => key.startsWith(waveKeyPrefix))
        .map(({ value }) => JSON.parse(value) as MaintenanceWave);
    const zones = rows.filter(({ key }) => key.startsWith(zoneKeyPrefix)).map((row): ZoneChange => ({
        zone: row.key.slice(zoneKeyPrefix.length),
        order: row.isRemoved
            ? ZoneOrder.Restore
            : row.value === "evacuated"
            ? ZoneOrder.Evacuate
            : ZoneOrder.Malformed,
        version: row.version,
    }));
    return { waves, zones, ...(lists !== undefined && { lists }) };
}

function zoneKey(zone: string): RowKey {
    return { table: operatorTable, part: "", key: `${zoneKeyPrefix}${zone}` };
}

/** A step with defaults for the fields that are not given. */
export function stepOf(step: Partial<StepSpec> = {}): StepSpec {
    return {
        tasks: 1,
        needs: { cpu: 1000, memory: 100, accelerators: 0 },
        estimateMs: 500,
        after: [],
        savesProgress: false,
        isGang: false,
        wantsOneRack: false,
        perWorker: 0,
        mayCopy: false,
        isService: false,
        isBestEffort: false,
        image: "",
        tailTargetMs: 0,
        ...step,
    };
}

/** A job of the given steps, each with the defaults of `stepOf`. */
export function jobOf(...steps: readonly Partial<StepSpec>[]): JobSpec {
    return { payload: "x", steps: steps.map(step => stepOf(step)) };
}

/** A queue that is open to all teams, with defaults for the fields that are not given. */
export function queueOf(queue: Partial<Queue> = {}): Queue {
    return {
        name: "q",
        host: "h",
        pathPrefix: "/q/",
        pool: "bench",
        isOpen: true,
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        objectiveMs: 1000,
        timeoutMs: 3000,
        needsAdvice: false,
        ...queue,
    };
}
