/** Core of one entry of a site: the tasks that make its decisions and hold its state, without listeners or sockets. */
import { InstrumentedRowStore } from "./connection/instrumented-row-store.js";
import {
    type Adviser,
    Domain,
    FleetController,
    type Roster,
    type Tenure,
    type VmClient,
    type WorkerClient,
} from "./pool/index.js";
import { EventLoopLagMonitor } from "./process/event-loop-lag.js";
import type { Log } from "./process/log.js";
import type { Metrics } from "./process/metrics.js";
import type { PeerAddress, Peers } from "./process/peers.js";
import type { RowPut, RowStore } from "./process/rows.js";
import type { SiteSettings } from "./process/site-settings.js";
import { settleBy, type Timer } from "./process/timer.js";
import { JobCallHandler } from "./request/job-call-handler.js";
import type { Directory } from "./version/directory.js";
import { ListFollower } from "./version/list-follower.js";
import type { OperatorTable } from "./version/operator-table.js";
import { ZoneEvacuations } from "./version/zone-evacuations.js";

/** The platform's services as used by an entry, created on the entry's own store client. */
export interface SitePlatform {
    readonly roster: Roster;
    readonly workerClient: WorkerClient;
    readonly adviser: Adviser;
    readonly vmClient: VmClient;
    readonly operatorTable: OperatorTable;
    readonly decodeLists: (text: string) => Directory | undefined;
    /** Returns the row that reports the progress of a wave to operators. */
    readonly waveStatusRow: (wave: number, isFinished: boolean) => RowPut;
}

/** Options of `SiteCore.create`. */
export interface SiteCoreOptions {
    readonly settings: Pick<SiteSettings, "entry" | "zone" | "bounds" | "times" | "scheduling" | "jobParts">;
    readonly incarnation: string;
    readonly peerUrl: string;
    /** Strength of this entry's VM, see `RankedEntry`. */
    readonly strength: number;
    readonly peers: Peers;
    readonly store: RowStore;
    readonly platform: (store: RowStore) => SitePlatform;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Sets the peers that this entry keeps links to; called whenever they have changed. */
    readonly connectPeers: (peers: readonly PeerAddress[]) => void;
}

const domainName = "main";
/**
 * Time without a response from the store after which an entry without peers is not ready: its lists may be outdated,
 * and another entry serves callers better.
 */
const isolationTimeoutMs = 5000;
/** Fraction of the grace period that the stages of a planned stop share; the rest is for the exit on a busy machine. */
const stopBudgetFraction = 0.8;

/** Creates the tasks of one entry of a site and connects them with each other. */
export class SiteCore {
    readonly store: InstrumentedRowStore;
    readonly lag: EventLoopLagMonitor;
    readonly zones: ZoneEvacuations;
    readonly lists: ListFollower;
    readonly domain: Domain;
    readonly jobCalls: JobCallHandler;
    private readonly platform: SitePlatform;
    private isStopping = false;

    private constructor(private readonly options: SiteCoreOptions) {
        const { timer, metrics } = options;
        this.store = InstrumentedRowStore.create({ store: options.store, timer, metrics });
        this.lag = EventLoopLagMonitor.create(timer);
        this.platform = options.platform(this.store);
        this.zones = ZoneEvacuations.create({
            store: this.store,
            operatorTable: this.platform.operatorTable,
            timer,
            log: options.log,
            metrics,
            onChange: () => this.domain.tenure?.requestRound(),
        });
        this.lists = this.createLists();
        this.domain = this.createDomain();
        this.jobCalls = this.createJobCalls();
    }

    static create(options: SiteCoreOptions): SiteCore {
        return new SiteCore(options);
    }

    /** Starts the tasks. */
    async start(): Promise<void> {
        await this.lists.start();
        await this.domain.start();
        await this.jobCalls.start();
    }

    /** Monotonic time by which a planned stop that begins now gives up what it still waits for. */
    stopDeadline(): number {
        const { timer, settings } = this.options;
        return timer.now() + settings.bounds.graceMs * stopBudgetFraction;
    }

    /**
     * Makes this entry not ready and hands the domain over; resolves when the domain has stopped, or at `deadline`. A
     * domain that is not released by then is taken over once its owner's heartbeats are missing.
     */
    leave(deadline = this.stopDeadline()): Promise<void> {
        this.isStopping = true;
        return settleBy(this.options.timer, deadline, this.domain.stop());
    }

    /** Stops following the lists. */
    stop(): Promise<void> {
        return this.lists.stop();
    }

    /** Why this entry is not ready for new connections; undefined when it is ready. */
    notReadyReason(): string | undefined {
        if (this.isStopping) {
            return "stopping";
        }
        if (this.lists.directory === undefined) {
            return "no-lists";
        }
        const isIsolated = this.store.ageMs > isolationTimeoutMs
            && this.options.peers.connected().length === 0;
        return isIsolated ? "isolated" : undefined;
    }

    private createLists(): ListFollower {
        const { timer, log, metrics, peers } = this.options;
        const { operatorTable, decodeLists } = this.platform;
        return ListFollower.create({
            store: this.store,
            operatorTable,
            decode: decodeLists,
            zones: this.zones,
            peers,
            timer,
            log,
            metrics,
            onChange: () => this.domain.tenure?.requestRound(),
        });
    }

    private createDomain(): Domain {
        const { settings, incarnation, timer, log, metrics, peers, peerUrl, strength, connectPeers } =
            this.options;
        const { roster, workerClient: calls, adviser } = this.platform;
        const { leaseMs, holdWaitMs, trustMs, rosterMs, keepFinalMs } = settings.times;
        return Domain.create({
            name: domainName,
            entry: settings.entry,
            incarnation,
            peerUrl,
            strength,
            zone: settings.zone,
            store: this.store,
            peers,
            roster,
            calls,
            adviser,
            directory: () => this.lists.directory,
            zones: this.zones,
            timer,
            log,
            metrics,
            times: {
                leaseMs: Math.min(leaseMs, settings.bounds.longestLeaseMs),
                longestLeaseMs: settings.bounds.longestLeaseMs,
                holdWaitMs,
                trustMs,
                longestStopMs: settings.bounds.longestStopMs,
                rosterMs,
                keepFinalMs,
            },
            scheduling: settings.scheduling,
            jobParts: settings.jobParts,
            lag: this.lag,
            connectPeers,
            createVmManager: tenure => this.createFleetController(tenure),
        });
    }

    private createFleetController(tenure: Tenure): FleetController {
        const { settings, timer, log, metrics } = this.options;
        const { vmClient: vms, waveStatusRow } = this.platform;
        const { holderGapMs, serviceMs, moveMs, vmOrdersPerS } = settings.bounds;
        return FleetController.create({
            tenure,
            domain: domainName,
            entry: settings.entry,
            vms,
            store: this.store,
            directory: () => this.lists.directory,
            waves: () => this.lists.waves.values(),
            zones: this.zones,
            waveStatusRow,
            timer,
            log,
            metrics,
            holderGapMs,
            maintenanceMs: serviceMs,
            moveMs,
            vmOrdersPerS,
            scheduling: settings.scheduling,
        });
    }

    private createJobCalls(): JobCallHandler {
        const { settings, timer, log, metrics, peers } = this.options;
        return JobCallHandler.create({
            domain: this.domain,
            domainName,
            store: this.store,
            peers,
            directory: () => this.lists.directory,
            jobParts: settings.jobParts,
            timer,
            log,
            metrics,
        });
    }
}
