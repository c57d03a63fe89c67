/** One entry of the fleet: connects the core to listeners, peer links and the platform, and runs all of them. */
import { randomUUID } from "node:crypto";
import { WebListener } from "./connection/caller/index.js";
import { Mesh } from "./connection/peer/index.js";
import { StoreClient } from "./connection/platform/index.js";
import { Upstream } from "./connection/upstream/index.js";
import { Core } from "./core.js";
import { createOperatorRoutes, largestOperatorBodyBytes, sendOperatorError } from "./operator/routes.js";
import { collectStatus, type Status } from "./operator/status.js";
import { ZoneOperations } from "./operator/zones.js";
import { EventId, Severity } from "./process/events.js";
import { Hub, Topic } from "./process/hub.js";
import type { Log } from "./process/log.js";
import { Metrics } from "./process/metrics.js";
import type { PeerAddress } from "./process/peers.js";
import { entryPoolName, type Platform } from "./process/platform.js";
import type { Random } from "./process/random.js";
import type { Settings } from "./process/settings.js";
import { sleep, type Timer } from "./process/timer.js";
import { answerUnrouted, createCallerRoutes } from "./request/caller-api.js";
import { NotRunReason } from "./request/outcome.js";
import { WorkerTaskClient } from "./request/worker-task-client.js";

/** Certificate and key of the listeners. */
export interface Tls {
    readonly cert: Buffer;
    readonly key: Buffer;
}

/** Options of `Entry.create`. */
export interface EntryOptions {
    readonly settings: Settings;
    readonly platform: Platform;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly tls?: Tls;
}

/** Limit on calls to the platform across the fleet; the live entries share it equally. */
const platformCallsPerSecond = 1000;
const drainTimeoutMs = 30_000;
const jobDrainTimeoutMs = 5000;
/** Time limit for leaving the fleet after a start that failed. */
const abortTimeoutMs = 5000;
const idlePollMs = 20;
/** Limits of the operators' listener, which few callers use. */
const operatorLimits = { connections: 256, requests: 64, requestsPerConnection: 4 };
const explainTopic = "request.explain";
const explainTimeoutMs = 1000;

/** One entry: all of the daemon except for the handling of the process. */
export class Entry {
    readonly metrics = Metrics.create();
    readonly core: Core;
    readonly mesh: Mesh;
    private readonly hub: Hub;
    private readonly store: StoreClient;
    private readonly callerListener: WebListener;
    private readonly operatorListener: WebListener;
    private isStopping = false;

    private constructor(private readonly options: EntryOptions) {
        const { settings, platform, timer, random, log, tls } = options;
        const { metrics } = this;
        this.hub = Hub.create(settings.vm);
        this.store = StoreClient.create({ platform, timer, random, metrics, log });
        this.mesh = Mesh.create({ ...settings.peers, timer, metrics, log, ...(tls && { tls }) });
        this.core = this.createCore();
        this.core.tasks.forEach(task => this.hub.addTask(task));
        this.registerLinkTask();
        this.callerListener = this.createCallerListener();
        this.operatorListener = this.createOperatorListener();
        this.registerGauges();
    }

    static create(options: EntryOptions): Entry {
        return new Entry(options);
    }

    /**
     * Starts all parts; resolves when the listeners accept connections. When a part cannot be started, stops the others
     * and rejects; the error is a `ListenError` when a listener cannot bind its address.
     */
    async start(): Promise<void> {
        const { settings, log } = this.options;
        log.write(Severity.Info, EventId.EntryStarted, { zone: settings.zone });
        this.mesh.setIdentity({ vm: settings.vm, incarnation: `${settings.vm}@${randomUUID()}` });
        await this.startParts();
        log.write(Severity.Info, EventId.EntryReady);
    }

    /**
     * Planned stop: cuts off no open request within `drainTimeoutMs`, hands over running jobs, and releases the grants
     * and the membership of this entry.
     */
    async stop(): Promise<void> {
        const { timer, settings, log } = this.options;
        const { core } = this;
        log.write(Severity.Info, EventId.EntryStopping);
        this.isStopping = true;
        await sleep(timer, settings.times.balancerDelay);
        const drainTimeout = sleep(timer, drainTimeoutMs);
        await Promise.race([this.callerListener.acceptPending(), drainTimeout]);
        await Promise.race([this.callerListener.close(), drainTimeout]);
        core.isStopping = true;
        await core.jobs.drain(jobDrainTimeoutMs);
        await this.waitUntilIdle();
        await this.leaveFleet();
        await this.mesh.stop();
        await Promise.race([this.operatorListener.close(), sleep(timer, settings.times.balancerDelay)]);
        log.write(Severity.Info, EventId.EntryStopped);
    }

    /** Why the entry is not ready for new connections; undefined when it is ready. */
    notReadyReason(): string | undefined {
        if (this.isStopping) {
            return NotRunReason.Stopping;
        }
        return this.core.fleet.self === undefined ? "not-registered" : this.core.closedReason();
    }

    private async startParts(): Promise<void> {
        const { mesh, hub, operatorListener, callerListener } = this;
        const parts = [
            { start: () => mesh.start(), stop: () => mesh.stop() },
            { start: () => hub.start(), stop: () => this.leaveFleet() },
            { start: () => operatorListener.listen(), stop: () => operatorListener.abort() },
            { start: () => callerListener.listen(), stop: () => callerListener.abort() },
        ];
        const startedParts: typeof parts = [];
        try {
            for (const part of parts) {
                await part.start();
                startedParts.unshift(part);
            }
        }
        catch (err) {
            const stopAll = async (): Promise<void> => {
                for (const part of startedParts) {
                    await part.stop();
                }
            };
            await Promise.race([stopAll(), sleep(this.options.timer, abortTimeoutMs)]);
            throw err;
        }
    }

    /** Releases the grants and the membership, and stops the tasks. */
    private async leaveFleet(): Promise<void> {
        const { grants, fleet } = this.core;
        await grants.leave().catch(() => undefined);
        await fleet.leave().catch(() => undefined);
        await this.hub.stop();
    }

    private createCore(): Core {
        const { settings, platform, timer, random, log, tls } = this.options;
        const { metrics, store, mesh } = this;
        const { host, port } = settings.peers;
        const upstream = Upstream.create({
            metrics,
            maxConnections: settings.slots.connectionsPerWorker,
            maxAnswerBytes: settings.limits.answerBytes,
        });
        return Core.create({
            settings,
            store,
            platform,
            timer,
            random,
            log,
            metrics,
            peers: mesh,
            peerUrl: `${tls === undefined ? "ws" : "wss"}://${host}:${port}`,
            upstream,
            createTaskClient: originOf =>
                WorkerTaskClient.create({ upstream, originOf, leaseMs: settings.times.taskLease }),
            publish: (topic, payload) => this.hub.publish(topic, payload),
        });
    }

    private createCallerListener(): WebListener {
        const { settings, timer, log, tls } = this.options;
        const { core, metrics, hub } = this;
        const routes = createCallerRoutes({
            versions: core.versions,
            requests: core.requests,
            jobs: core.jobs,
            fleet: core.fleet,
            timer,
            log,
            metrics,
            requestBytes: settings.limits.requestBytes,
            closedReason: () => core.closedReason(),
        });
        const { callerConnections, requestBytes } = settings.limits;
        const connections = settings.callerLimits.connections ?? callerConnections;
        const limits = { ...settings.callerLimits, connections };
        const listener = { ...settings.callers, hub, name: "callers", routes, timer, log, metrics };
        return WebListener.create({
            ...listener,
            limits,
            largestBodyBytes: requestBytes,
            onError: answerUnrouted,
            ...(tls && { tls }),
        });
    }

    private createZoneOperations(): ZoneOperations {
        const { platform, timer, log } = this.options;
        const { fleet, versions, dispatcher, isolationMonitor } = this.core;
        return ZoneOperations.create({
            fleet,
            versions,
            platform,
            timer,
            log,
            knownOnWorker: worker => dispatcher.knownOnWorker(worker),
            peerRevisionOf: vm => isolationMonitor.revisionOf(vm),
        });
    }

    private createOperatorListener(): WebListener {
        const { settings, timer, log, tls } = this.options;
        const { core, metrics, hub } = this;
        const routes = createOperatorRoutes({
            versions: core.versions,
            metrics,
            zones: this.createZoneOperations(),
            token: settings.operatorToken,
            status: () => this.status(),
            notReadyReason: () => this.notReadyReason(),
            explain: id => this.explain(id),
        });
        const listener = {
            ...settings.operators,
            hub,
            name: "operators",
            routes,
            limits: operatorLimits,
            largestBodyBytes: largestOperatorBodyBytes,
            timer,
            log,
            metrics,
        };
        return WebListener.create({ ...listener, onError: sendOperatorError, ...(tls && { tls }) });
    }

    private registerGauges(): void {
        const { metrics, core, mesh } = this;
        metrics.gauge("celerywind_active_requests", {}, () => core.requests.activeCount);
        metrics.gauge("celerywind_waiting_requests", {}, () => core.dispatcher.waitingTotal());
        metrics.gauge("celerywind_running_jobs", {}, () => core.jobs.runningCount);
        metrics.gauge("celerywind_revision", {}, () => core.versions.state.revision);
        metrics.gauge("celerywind_evacuated_zones", {}, () => core.versions.state.evacuatedZones.size);
        metrics.gauge("celerywind_peers", {}, () => mesh.connected().length);
        metrics.gauge("celerywind_resident_bytes", {}, () => process.memoryUsage().rss);
        metrics.gauge("celerywind_heap_bytes", {}, () => process.memoryUsage().heapUsed);
    }

    private status(): Status {
        const { core, mesh } = this;
        return collectStatus({
            vm: this.options.settings.vm,
            fleet: core.fleet,
            versions: core.versions,
            notReadyReason: () => this.notReadyReason(),
            peers: () => mesh.connected().map(peer => peer.vm),
            localGrantOf: team => core.grants.usable(team),
            localRunningOf: team => core.dispatcher.runningOf(team),
            activeRequests: () => core.requests.activeCount,
            runningJobs: () => core.jobs.runningCount,
        });
    }

    /** Collects the traces of a request from this entry and its peers, and the stored job, whichever exist. */
    private async explain(id: string): Promise<readonly unknown[]> {
        const { core, mesh } = this;
        const requests = mesh.connected().map(peer =>
            mesh.request(peer.vm, explainTopic, { id }, explainTimeoutMs)
        );
        const responses = await Promise.allSettled(requests);
        const peerTraces = responses.map(response =>
            response.status === "fulfilled" ? response.value : undefined
        );
        const job = await core.jobs.find(id).catch(() => undefined);
        return [core.requests.traces.find(id), ...peerTraces, job].filter(trace => trace !== undefined);
    }

    private async waitUntilIdle(): Promise<void> {
        const { timer } = this.options;
        const deadline = timer.now() + drainTimeoutMs;
        while (this.core.requests.activeCount > 0 && timer.now() < deadline) {
            await sleep(timer, idlePollMs);
        }
    }

    private registerLinkTask(): void {
        this.mesh.on(explainTopic, (_, body) => this.core.requests.traces.find((body as { id: string }).id));
        this.hub.addTask({
            name: "links",
            handlers: { [Topic.FleetChanged]: () => this.refreshLinks() },
            start: () => Promise.resolve(this.refreshLinks()),
            stop: () => Promise.resolve(),
        });
    }

    /** Keeps links to the members, and to listed entry VMs that are not members yet. */
    private refreshLinks(): void {
        const { live, view } = this.core.fleet;
        const members = live.map(({ vm, peerUrl }): PeerAddress => ({ vm, url: peerUrl }));
        const memberVms = new Set(members.map(member => member.vm));
        const listed = view.vms
            .filter(vm => vm.pool === entryPoolName && !memberVms.has(vm.id))
            .map((vm): PeerAddress => ({ vm: vm.id, url: vm.address.replace(/^http/, "ws") }));
        this.mesh.setPeers([...members, ...listed]);
        this.store.setRate(platformCallsPerSecond / Math.max(1, live.length));
    }
}
