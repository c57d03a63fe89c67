/** One entry of a site: connects the core to peer links and to listeners for callers, load balancer and operators. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { totalmem } from "node:os";
import { sendJson } from "./connection/caller/body.js";
import type { RequestHandler } from "./connection/caller/connection.js";
import type { CallerLimitSettings } from "./connection/caller/limits.js";
import { HttpListener } from "./connection/caller/listener.js";
import { Mesh } from "./connection/peer/index.js";
import { strengthOfMemory, type Tenure } from "./pool/index.js";
import { EventId, Severity } from "./process/events.js";
import type { Log } from "./process/log.js";
import type { Metrics } from "./process/metrics.js";
import type { PeerAddress } from "./process/peers.js";
import type { RowStore } from "./process/rows.js";
import { type SiteSettings, splitEndpoint } from "./process/site-settings.js";
import { settleBy, sleep, type Timer } from "./process/timer.js";
import type { JobCallHandler } from "./request/job-call-handler.js";
import { createStepJobsHandler, largestJobBytes, stepJobsPathPrefix } from "./request/step-jobs-api.js";
import { SiteCore, type SitePlatform } from "./site-core.js";

/** Options of `SiteEntry.create`. */
export interface SiteEntryOptions {
    readonly settings: SiteSettings;
    readonly incarnation: string;
    readonly store: RowStore;
    readonly platform: (store: RowStore) => SitePlatform;
    /** Creates the handler of the platform's calls, which receives all requests outside the product's own path. */
    readonly callerHandler: (jobCalls: JobCallHandler) => RequestHandler;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Limits of the listeners for readiness and metrics, which few callers use. */
const smallLimits: CallerLimitSettings = {
    connections: 128,
    requests: 64,
    requestsPerConnection: 4,
    heldBytes: 1024 * 1024,
};
const idlePollMs = 20;
/** Part of the time left until the stop's deadline that may go into accepting waiting connections. */
const acceptDrainFraction = 0.7;
const statusPath = "/v1/status";
const explainPath = "/v1/requests/";
const statusOk = 200;
const statusUnavailable = 503;

/** One entry of a site. */
export class SiteEntry {
    readonly core: SiteCore;
    private readonly mesh: Mesh;
    private readonly callerListener: HttpListener;
    private readonly readinessListener: HttpListener;
    private readonly metricsListener: HttpListener;
    private hasSeenPeers = false;

    private constructor(private readonly options: SiteEntryOptions) {
        const { settings } = options;
        this.mesh = this.createMesh();
        this.core = SiteCore.create({
            ...options,
            peers: this.mesh,
            strength: strengthOfMemory(totalmem()),
            peerUrl: `ws://${settings.peers.advertise ?? settings.peers.listen}`,
            connectPeers: peers => this.connectPeers(peers),
        });
        this.callerListener = this.createListener("callers", this.createCallerHandler());
        this.readinessListener = this.createListener("readiness", (_, res) => this.sendReadiness(res));
        this.metricsListener = this.createListener(
            "metrics",
            (req, res) => this.handleOperatorRequest(req, res),
        );
    }

    static create(options: SiteEntryOptions): SiteEntry {
        return new SiteEntry(options);
    }

    /** Starts listeners, peer links and tasks; rejects with a `ListenError`, with nothing started, when a port is taken. */
    async start(): Promise<void> {
        const { settings, log, incarnation } = this.options;
        log.write(Severity.Info, EventId.EntryStarted, { incarnation, zone: settings.zone });
        this.mesh.setIdentity({ vm: settings.entry, incarnation });
        await this.openListeners();
        this.connectSeeds();
        await this.core.start();
        this.registerGauges();
        log.write(Severity.Info, EventId.EntryReady);
    }

    /**
     * Planned stop: accepts no new connections, waits for open calls, and hands the domain over at the same time. All
     * stages share one deadline, so that store and peers that do not respond cannot use up the grace period.
     */
    async stop(): Promise<void> {
        const { log, timer } = this.options;
        const deadline = this.core.stopDeadline();
        log.write(Severity.Info, EventId.EntryStopping, { calls: this.core.jobCalls.activeCount });
        const domainStopped = this.core.leave(deadline);
        await this.drain(deadline);
        await domainStopped;
        await settleBy(timer, deadline, Promise.all([this.core.stop(), this.mesh.stop()]));
        log.write(Severity.Info, EventId.EntryStopped);
    }

    /** Opens all listeners; when one cannot be opened, closes the others again. */
    private async openListeners(): Promise<void> {
        const listeners = [this.readinessListener, this.callerListener, this.metricsListener];
        const results = await Promise.allSettled(listeners.map(listener => listener.listen()));
        try {
            const failed = results.find(result => result.status === "rejected");
            if (failed !== undefined) {
                throw failed.reason;
            }
            // Last, since the core, which answers the requests of peers, starts right after it.
            await this.mesh.start();
        }
        catch (err) {
            await Promise.all(listeners.map(listener => listener.abort()));
            throw err;
        }
    }

    /** Closes the callers' listener once the load balancer has noticed, and waits for open calls until `deadline`. */
    private async drain(deadline: number): Promise<void> {
        const { settings, timer } = this.options;
        await settleBy(timer, deadline, sleep(timer, settings.times.balancerDelayMs));
        const acceptMs = (deadline - timer.now()) * acceptDrainFraction;
        await Promise.race([this.callerListener.acceptPending(), sleep(timer, acceptMs)]);
        await Promise.race([this.callerListener.close(), this.waitUntilIdle(deadline)]);
    }

    /** Creates a handler that serves the product's own API under its path prefix and the platform's elsewhere. */
    private createCallerHandler(): RequestHandler {
        const { jobCalls } = this.core;
        const stepJobsHandler = createStepJobsHandler(jobCalls);
        const platformHandler = this.options.callerHandler(jobCalls);
        return (req, res) =>
            req.url?.startsWith(stepJobsPathPrefix) === true
                ? stepJobsHandler(req, res)
                : platformHandler(req, res);
    }

    private createListener(
        name: "callers" | "readiness" | "metrics",
        onRequest: RequestHandler,
    ): HttpListener {
        const { settings, timer, log, metrics } = this.options;
        const limits = name === "callers" ? settings.callerLimits : smallLimits;
        const address = splitEndpoint(settings[name]);
        return HttpListener.create({
            name,
            ...address,
            limits,
            largestBodyBytes: largestJobBytes,
            onRequest,
            timer,
            log,
            metrics,
        });
    }

    private createMesh(): Mesh {
        const { settings, timer, log, metrics } = this.options;
        const { host, port } = splitEndpoint(settings.peers.listen);
        return Mesh.create({ host, port, secret: settings.peers.secret, timer, metrics, log });
    }

    private connectSeeds(): void {
        const { settings } = this.options;
        const seeds = settings.peers.seeds.filter(seed => seed !== settings.peers.listen);
        this.mesh.setPeers(seeds.map((seed): PeerAddress => ({ vm: `ws://${seed}`, url: `ws://${seed}` })));
    }

    /** Replaces the links to the seeds by links to members, once there is a member other than this entry. */
    private connectPeers(peers: readonly PeerAddress[]): void {
        if (peers.length > 0 || this.hasSeenPeers) {
            this.hasSeenPeers = true;
            this.mesh.setPeers(peers);
        }
    }

    /** Responds to the load balancer's readiness check. */
    private sendReadiness(res: ServerResponse): void {
        const reason = this.core.notReadyReason();
        res.writeHead(reason === undefined ? statusOk : statusUnavailable, { "content-type": "text/plain" });
        res.end(reason ?? "ready");
    }

    /** Serves the metrics address: metrics, and the requests of the command-line tool. */
    private async handleOperatorRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const path = req.url ?? "";
        if (path === statusPath) {
            sendJson(res, statusOk, this.status());
        }
        else if (path.startsWith(explainPath)) {
            const trace = await this.core.domain.ownerClient.explain(path.slice(explainPath.length));
            sendJson(res, statusOk, { traces: trace === undefined ? [] : [trace] });
        }
        else {
            res.writeHead(statusOk, { "content-type": "text/plain; version=0.0.4" });
            res.end(this.options.metrics.render());
        }
    }

    /** Returns the status of this entry in the format of `celerywind status`. */
    private status() {
        const { core, mesh, options } = this;
        const revision = core.lists.directory?.version ?? 0;
        const reason = core.notReadyReason();
        return {
            vm: options.settings.entry,
            incarnation: options.incarnation,
            ready: reason === undefined,
            reason,
            revision,
            listsRevision: revision,
            pendingWithdrawals: 0,
            entries: [...core.domain.memberNames].sort(),
            peers: mesh.connected().map(({ vm }) => vm),
            activeRequests: core.jobCalls.activeCount,
            runningJobs: core.domain.tenure?.jobs.activeEntries.size ?? 0,
            owner: core.domain.ownerEntry,
            evacuatedZones: core.zones.zones,
            teams: [],
            pools: core.domain.tenure === undefined ? [] : collectPoolStatuses(core.domain.tenure),
        };
    }

    private registerGauges(): void {
        const { metrics } = this.options;
        metrics.gauge("celerywind_lists_version", {}, () => this.core.lists.directory?.version ?? 0);
        metrics.gauge("celerywind_lists_age_ms", {}, () => this.core.lists.ageMs);
        metrics.gauge("celerywind_evacuated_zones", {}, () => this.core.zones.zones.length);
        metrics.gauge("celerywind_store_age_ms", {}, () => this.core.store.ageMs);
        metrics.gauge("celerywind_peers", {}, () => this.mesh.connected().length);
        metrics.gauge("celerywind_lag_ms", {}, () => this.core.lag.medianMs);
        metrics.gauge("celerywind_is_owner", {}, () => this.core.domain.tenure === undefined ? 0 : 1);
        metrics.gauge(
            "celerywind_active_jobs",
            {},
            () => this.core.domain.tenure?.jobs.activeEntries.size ?? 0,
        );
        metrics.gauge("celerywind_active_runs", {}, () => this.core.domain.tenure?.jobs.runs.size ?? 0);
        metrics.gauge(
            "celerywind_runs_awaiting_lease_end",
            {},
            () => this.core.domain.tenure?.runsAwaitingLeaseEnd.length ?? 0,
        );
        metrics.gauge("celerywind_waiting_tasks", {}, () => this.core.domain.tenure?.jobs.openTaskCount ?? 0);
        metrics.gauge("celerywind_resident_bytes", {}, () => process.memoryUsage.rss());
    }

    private async waitUntilIdle(deadline: number): Promise<void> {
        const { timer } = this.options;
        while (this.core.jobCalls.activeCount > 0 && timer.now() < deadline) {
            await sleep(timer, idlePollMs);
        }
    }
}

/** Counts the workers of each pool, as known to the owner. */
function collectPoolStatuses(tenure: Tenure) {
    const pools = new Map<string, { vms: number; available: number }>();
    for (const worker of tenure.workers.byId.values()) {
        const pool = pools.get(worker.listed.pool) ?? { vms: 0, available: 0 };
        pool.vms += worker.isListed ? 1 : 0;
        pool.available += worker.isListed && worker.isReachable ? 1 : 0;
        pools.set(worker.listed.pool, pool);
    }
    return [...pools].map(([pool, counts]) => ({ pool, ...counts, budget: 0, permits: 0 }));
}
