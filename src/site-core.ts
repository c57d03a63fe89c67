/** The parts of one entry of a site that decide and keep state, without any listener or socket of their own. */
import { ContactStore } from "./connection/contact-store.js";
import {
    type Adviser,
    Domain,
    FleetController,
    type MemberRow,
    type Roster,
    type Tenure,
    type VmClient,
    type WorkerClient,
} from "./pool/index.js";
import { EventLoopLagMonitor } from "./process/event-loop-lag.js";
import type { Log } from "./process/log.js";
import type { Metrics } from "./process/metrics.js";
import type { Peers } from "./process/peers.js";
import type { RowPut, RowStore } from "./process/rows.js";
import type { SiteSettings } from "./process/site-settings.js";
import type { Timer } from "./process/timer.js";
import { JobCallHandler } from "./request/job-call-handler.js";
import type { Directory } from "./version/directory.js";
import { ListFollower } from "./version/lists.js";
import type { OperatorFeed } from "./version/operator-feed.js";

/** The platform as an entry needs it; made over the entry's own view of the store. */
export interface SitePlatform {
    readonly roster: Roster;
    readonly workerClient: WorkerClient;
    readonly adviser: Adviser;
    readonly vmClient: VmClient;
    readonly feed: OperatorFeed;
    readonly decodeLists: (text: string) => Directory | undefined;
    /** Row by which operators learn of a wave's progress. */
    readonly waveStatusRow: (wave: number, isFinished: boolean) => RowPut;
}

/** Options of `SiteCore.create`. */
export interface SiteCoreOptions {
    readonly settings: Pick<SiteSettings, "entry" | "bounds" | "times">;
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
    readonly onMembers: (members: ReadonlyMap<string, MemberRow>) => void;
}

const domainName = "main";
/** Without any word from store or peers for this long the lists may be outdated, and callers are better off elsewhere. */
const isolationTimeoutMs = 5000;

/** The decisions of one entry of a site. */
export class SiteCore {
    readonly store: ContactStore;
    readonly lag: EventLoopLagMonitor;
    readonly lists: ListFollower;
    readonly domain: Domain;
    readonly jobCalls: JobCallHandler;
    private readonly platform: SitePlatform;
    private isStopping = false;

    private constructor(private readonly options: SiteCoreOptions) {
        const { timer, metrics } = options;
        this.store = ContactStore.create({ store: options.store, timer, metrics });
        this.lag = EventLoopLagMonitor.create(timer);
        this.platform = options.platform(this.store);
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

    /** Makes this entry unready and begins to hand the domain over. */
    leave(): Promise<void> {
        this.isStopping = true;
        return this.domain.stop();
    }

    /** Stops following the lists. */
    stop(): Promise<void> {
        return this.lists.stop();
    }

    /** Why this entry wants no new connections, if so. */
    notReadyReason(): string | undefined {
        if (this.isStopping) {
            return "stopping";
        }
        if (this.lists.directory === undefined) {
            return "no-lists";
        }
        const isCutOff = this.store.ageMs > isolationTimeoutMs && this.options.peers.connected().length === 0;
        return isCutOff ? "isolated" : undefined;
    }

    private createLists(): ListFollower {
        const { timer, log, metrics, peers } = this.options;
        const { feed, decodeLists } = this.platform;
        return ListFollower.create({
            feed,
            decode: decodeLists,
            peers,
            timer,
            log,
            metrics,
            onChange: () => this.domain.tenure?.requestRound(),
        });
    }

    private createDomain(): Domain {
        const { settings, incarnation, timer, log, metrics, peers, peerUrl, strength, onMembers } =
            this.options;
        const { roster, workerClient: calls, adviser } = this.platform;
        const { leaseMs, holdWaitMs, trustMs, rosterMs, keepFinalMs } = settings.times;
        return Domain.create({
            name: domainName,
            entry: settings.entry,
            incarnation,
            peerUrl,
            strength,
            store: this.store,
            peers,
            roster,
            calls,
            adviser,
            directory: () => this.lists.directory,
            timer,
            log,
            metrics,
            times: {
                leaseMs: Math.min(leaseMs, settings.bounds.longestLeaseMs),
                holdWaitMs,
                trustMs,
                rosterMs,
                keepFinalMs,
            },
            lag: this.lag,
            onMembers,
            createVmManager: (tenure, hasHolderEnded) => this.createFleetController(tenure, hasHolderEnded),
        });
    }

    private createFleetController(tenure: Tenure, hasHolderEnded: boolean): FleetController {
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
            waveStatusRow,
            timer,
            log,
            metrics,
            holderGapMs,
            isPreviousHolderGone: hasHolderEnded,
            maintenanceMs: serviceMs,
            moveMs,
            vmOrdersPerS,
        });
    }

    private createJobCalls(): JobCallHandler {
        const { timer, log, metrics, peers } = this.options;
        return JobCallHandler.create({
            domain: this.domain,
            domainName,
            store: this.store,
            peers,
            directory: () => this.lists.directory,
            timer,
            log,
            metrics,
        });
    }
}
