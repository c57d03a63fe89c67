/** One entry of a site: wires the domain, the lists and the desk for jobs to listeners and peer links. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { HttpListener } from "./connection/caller/listener.js";
import { ContactStore } from "./connection/contact-store.js";
import { Mesh, type PeerAddress } from "./connection/peer/index.js";
import {
    type Adviser,
    Domain,
    FleetKeeper,
    type MemberRow,
    type Roster,
    type Tenure,
    type VmCalls,
    type WorkerCalls,
} from "./pool/index.js";
import { EventId, Severity } from "./process/events.js";
import type { Log } from "./process/log.js";
import type { Metrics } from "./process/metrics.js";
import type { RowPut, RowStore } from "./process/rows.js";
import { type SiteSettings, splitEndpoint } from "./process/site-settings.js";
import { sleep, type Timer } from "./process/timer.js";
import { JobDesk } from "./request/job-desk.js";
import type { Directory } from "./version/directory.js";
import { ListFollower } from "./version/lists.js";
import type { OperatorFeed } from "./version/operator-feed.js";

/** The platform as an entry needs it; made over the entry's own view of the store. */
export interface SitePlatform {
    readonly roster: Roster;
    readonly calls: WorkerCalls;
    readonly adviser: Adviser;
    readonly vms: VmCalls;
    readonly feed: OperatorFeed;
    readonly decodeLists: (text: string) => Directory | undefined;
    /** Row by which operators learn of a wave's progress. */
    readonly waveStatusRow: (wave: number, isFinished: boolean) => RowPut;
}

/** Handles a caller's request. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Options of `SiteEntry.create`. */
export interface SiteEntryOptions {
    readonly settings: SiteSettings;
    readonly incarnation: string;
    readonly store: RowStore;
    readonly platform: (store: RowStore) => SitePlatform;
    readonly callerHandler: (desk: JobDesk) => RequestHandler;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
}

const domainName = "main";
const maxConnections = 2000;
const idleCheckMs = 20;
/** Part of the grace that finishing calls may take on a planned stop. */
const drainShare = 0.5;
/** Without any word from store or peers for this long, the lists may be outdated and callers are better off elsewhere. */
const isolationMs = 5000;
const statusOk = 200;
const statusUnavailable = 503;

/** One entry of a site. */
export class SiteEntry {
    readonly store: ContactStore;
    readonly mesh: Mesh;
    readonly lists: ListFollower;
    readonly domain: Domain;
    readonly desk: JobDesk;
    private readonly callers: HttpListener;
    private readonly readiness: HttpListener;
    private readonly metricsListener: HttpListener;
    private readonly platform: SitePlatform;
    private isLeaving = false;
    private hasMembers = false;

    private constructor(private readonly options: SiteEntryOptions) {
        const { settings, timer, metrics } = options;
        this.store = ContactStore.create({ store: options.store, timer, metrics });
        this.platform = options.platform(this.store);
        this.mesh = this.createMesh();
        this.lists = this.createLists();
        this.domain = this.createDomain();
        this.desk = this.createDesk();
        this.callers = this.listener(settings.callers, options.callerHandler(this.desk));
        this.readiness = this.listener(settings.readiness, (_, res) => this.answerReadiness(res));
        this.metricsListener = this.listener(settings.metrics, (_, res) => this.answerMetrics(res));
    }

    static create(options: SiteEntryOptions): SiteEntry {
        return new SiteEntry(options);
    }

    /** Starts listeners and tasks. */
    async start(): Promise<void> {
        const { settings, log, incarnation } = this.options;
        log.write(Severity.Info, EventId.EntryStarted, { incarnation, zone: settings.zone });
        this.mesh.identify({ vm: settings.entry, incarnation });
        await this.mesh.start();
        this.wantSeeds();
        await this.lists.start();
        await this.domain.start();
        await this.desk.start();
        await Promise.all([this.readiness.listen(), this.callers.listen(), this.metricsListener.listen()]);
        this.registerGauges();
        log.write(Severity.Info, EventId.EntryReady);
    }

    /** Stops as planned: no new connections, calls at hand finished, the domain handed over. */
    async stop(): Promise<void> {
        const { settings, log, timer } = this.options;
        log.write(Severity.Info, EventId.EntryStopping, { calls: this.desk.activeCount });
        this.isLeaving = true;
        const handedOver = this.domain.stop();
        await sleep(timer, settings.times.balancerDelayMs);
        const closed = this.callers.close();
        await Promise.race([closed, this.idle(settings.bounds.graceMs * drainShare)]);
        await handedOver;
        await this.lists.stop();
        await this.mesh.stop();
        log.write(Severity.Info, EventId.EntryStopped);
    }

    /** Why this entry wants no new connections, if so. */
    notReady(): string | undefined {
        if (this.isLeaving) {
            return "stopping";
        }
        if (this.lists.directory === undefined) {
            return "no-lists";
        }
        const isCutOff = this.store.ageMs > isolationMs && this.mesh.connected().length === 0;
        return isCutOff ? "isolated" : undefined;
    }

    private listener(address: string, onRequest: RequestHandler): HttpListener {
        return HttpListener.create({ ...splitEndpoint(address), maxConnections, onRequest });
    }

    private createMesh(): Mesh {
        const { settings, timer, log, metrics } = this.options;
        const { host, port } = splitEndpoint(settings.peers.listen);
        return Mesh.create({ host, port, secret: settings.peers.secret, timer, metrics, log });
    }

    private createLists(): ListFollower {
        const { timer, log, metrics } = this.options;
        const { feed, decodeLists } = this.platform;
        return ListFollower.create({
            feed,
            decode: decodeLists,
            peers: this.mesh,
            timer,
            log,
            metrics,
            onChange: () => this.domain.tenure?.pump(),
        });
    }

    private createDomain(): Domain {
        const { settings, incarnation, timer, log, metrics } = this.options;
        const { roster, calls, adviser } = this.platform;
        const { leaseMs, holdWaitMs, trustMs, rosterMs, keepFinalMs } = settings.times;
        return Domain.create({
            name: domainName,
            entry: settings.entry,
            incarnation,
            peerUrl: `ws://${settings.peers.listen}`,
            store: this.store,
            peers: this.mesh,
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
            onMembers: members => this.wantMembers(members),
            keeper: (tenure, isFirst) => this.createKeeper(tenure, isFirst),
        });
    }

    private createKeeper(tenure: Tenure, isFirst: boolean): FleetKeeper {
        const { settings, timer, log, metrics } = this.options;
        const { vms, waveStatusRow } = this.platform;
        const { holderGapMs, serviceMs, moveMs } = settings.bounds;
        return FleetKeeper.create({
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
            quietUntil: timer.now() + (isFirst ? 0 : holderGapMs),
            serviceMs,
            moveMs,
        });
    }

    private createDesk(): JobDesk {
        const { timer, log, metrics } = this.options;
        return JobDesk.create({
            domain: this.domain,
            domainName,
            store: this.store,
            peers: this.mesh,
            directory: () => this.lists.directory,
            timer,
            log,
            metrics,
        });
    }

    private wantSeeds(): void {
        const { settings } = this.options;
        const seeds = settings.peers.seeds.filter(seed => seed !== settings.peers.listen);
        this.mesh.want(seeds.map((seed): PeerAddress => ({ vm: `ws://${seed}`, url: `ws://${seed}` })));
    }

    private wantMembers(members: ReadonlyMap<string, MemberRow>): void {
        if (members.size > 1 || this.hasMembers) {
            this.hasMembers = true;
            this.mesh.want([...members].map(([vm, { url }]): PeerAddress => ({ vm, url })));
        }
    }

    private answerReadiness(res: ServerResponse): void {
        const reason = this.notReady();
        res.writeHead(reason === undefined ? statusOk : statusUnavailable, { "content-type": "text/plain" });
        res.end(reason ?? "ready");
    }

    private answerMetrics(res: ServerResponse): void {
        res.writeHead(statusOk, { "content-type": "text/plain; version=0.0.4" });
        res.end(this.options.metrics.render());
    }

    private registerGauges(): void {
        const { metrics } = this.options;
        metrics.gauge("celerywind_lists_version", {}, () => this.lists.directory?.version ?? 0);
        metrics.gauge("celerywind_lists_age_ms", {}, () => this.lists.ageMs);
        metrics.gauge("celerywind_store_age_ms", {}, () => this.store.ageMs);
        metrics.gauge("celerywind_peers", {}, () => this.mesh.connected().length);
        metrics.gauge("celerywind_is_owner", {}, () => this.domain.tenure === undefined ? 0 : 1);
        metrics.gauge("celerywind_active_jobs", {}, () => this.domain.tenure?.jobs.activeEntries.size ?? 0);
        metrics.gauge("celerywind_active_runs", {}, () => this.domain.tenure?.jobs.runs.size ?? 0);
        metrics.gauge("celerywind_resident_bytes", {}, () => process.memoryUsage.rss());
    }

    private async idle(limitMs: number): Promise<void> {
        const { timer } = this.options;
        const deadline = timer.now() + limitMs;
        while (this.desk.activeCount > 0 && timer.now() < deadline) {
            await sleep(timer, idleCheckMs);
        }
    }
}
