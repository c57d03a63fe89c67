/** Wires the parts of one entry together, and starts and stops them in order. */
import { randomUUID } from "node:crypto";
import { WebListener } from "./connection/caller/index.js";
import { Mesh, type PeerAddress } from "./connection/peer/index.js";
import { StoreClient } from "./connection/platform/index.js";
import { Upstream } from "./connection/upstream/index.js";
import { answerOperatorError, createOperatorRoutes } from "./operator/routes.js";
import { collectStatus } from "./operator/status.js";
import { Contact } from "./process/contact.js";
import { EventId, Severity } from "./process/events.js";
import { Fleet } from "./process/fleet.js";
import { Grants } from "./process/grant-task.js";
import { Hub, Topic } from "./process/hub.js";
import type { Log } from "./process/log.js";
import { Metrics } from "./process/metrics.js";
import { entryPool, type Platform } from "./process/platform.js";
import type { Random } from "./process/random.js";
import { Servicing } from "./process/service-task.js";
import type { Settings } from "./process/settings.js";
import { sleep, type Timer } from "./process/timer.js";
import { answerUnrouted, createCallerRoutes } from "./request/caller-api.js";
import { Dispatcher } from "./request/dispatch.js";
import { Jobs } from "./request/jobs.js";
import { NotRunReason } from "./request/outcome.js";
import { Requests } from "./request/requests.js";
import { WorkerTasks } from "./request/worker-tasks.js";
import { limitOf, shareOf } from "./version/schema.js";
import { Versions } from "./version/versions.js";

/** Options of `Entry.create`. */
export interface EntryOptions {
    readonly settings: Settings;
    readonly platform: Platform;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

const platformCallsPerSecond = 1000;
const drainWaitMs = 30_000;
const handOverMs = 5000;
const operatorConnections = 256;
const explainTopic = "request.explain";
const explainMs = 1000;

/** One entry: every part of the daemon but the process itself. */
export class Entry {
    readonly metrics = Metrics.create();
    readonly dispatcher: Dispatcher;
    readonly versions: Versions;
    readonly fleet: Fleet;
    readonly grants: Grants;
    readonly jobs: Jobs;
    readonly requests: Requests;
    readonly mesh: Mesh;
    private readonly hub: Hub;
    private readonly store: StoreClient;
    private readonly contact: Contact;
    private readonly callers: WebListener;
    private readonly operators: WebListener;
    private isStopping = false;

    private constructor(private readonly options: EntryOptions) {
        const { settings, platform, timer, random, log, tls } = options;
        const { vm, zone, times, slots } = settings;
        const { metrics } = this;
        const quarantineMs = times.isolation + times.longestRequest + times.taskLease;
        this.hub = Hub.create(vm);
        this.store = StoreClient.create({ platform, timer, random, metrics, log });
        this.mesh = Mesh.create({ ...settings.peers, timer, metrics, log, ...(tls && { tls }) });
        const { hub, store, mesh } = this;
        const peerUrl = `${tls === undefined ? "ws" : "wss"}://${settings.peers.host}:${settings.peers.port}`;
        const fleet = Fleet.create({
            store,
            platform,
            hub,
            timer,
            log,
            vm,
            zone,
            peerUrl,
            pollMs: times.vmListPoll,
        });
        this.fleet = fleet;
        this.contact = Contact.create({
            peers: mesh,
            fleet,
            timer,
            log,
            storeAt: () => store.lastAnswerAt,
            boundMs: times.isolation,
        });
        const versions = Versions.create({
            store,
            hub,
            timer,
            log,
            metrics,
            peers: mesh,
            pollMs: times.headPoll,
        });
        this.versions = versions;
        const limit = (team: string): number => limitOf(versions.state.lists, team);
        const share = (team: string): number => shareOf(versions.state.lists, team);
        const usable = (team: string): number => this.grants.usable(team);
        const closedFor = (): NotRunReason | undefined => this.closedFor();
        this.dispatcher = Dispatcher.create({
            timer,
            random,
            metrics,
            view: { usable, limit, share, closedFor },
            policy: slots.policy,
            slotsPerWorker: slots.perWorker,
            queuedRequests: settings.limits.queuedRequests,
            zone,
            onEjected: worker => log.write(Severity.Warn, EventId.WorkerEjected, { worker }),
        });
        const { dispatcher } = this;
        const teams = (): readonly string[] => Object.keys(versions.state.lists.teams);
        this.grants = Grants.create({
            store,
            fleet,
            hub,
            timer,
            log,
            metrics,
            quarantineMs,
            view: {
                teams,
                limit,
                demand: team => dispatcher.demandOf(team),
                otherDemand: team => dispatcher.remote.demandOf(team),
            },
        });
        const upstream = Upstream.create({
            metrics,
            connections: slots.connectionsPerWorker,
            answerBytes: settings.limits.answerBytes,
        });
        const requests = Requests.create({
            dispatcher,
            upstream,
            peers: mesh,
            fleet,
            versions,
            timer,
            metrics,
            vm,
            usable,
            closedFor,
        });
        this.requests = requests;
        const tasks = WorkerTasks.create({
            upstream,
            leaseMs: times.taskLease,
            originOf: worker => fleet.view.vms.find(other => other.id === worker)?.address,
        });
        const { jobPoll: pollMs } = times;
        const jobs = Jobs.create({
            store,
            fleet,
            dispatcher,
            tasks,
            peers: mesh,
            hub,
            timer,
            log,
            metrics,
            teams,
            pollMs,
        });
        this.jobs = jobs;
        const servicing = Servicing.create({
            store,
            platform,
            fleet,
            peers: mesh,
            timer,
            random,
            log,
            metrics,
            quarantineMs,
            inFlight: worker => dispatcher.onWorker(worker),
            periodMs: times.servicePeriod,
            tickMs: times.maintenanceTick,
        });
        [fleet, this.contact, versions, this.grants, requests, jobs, servicing].forEach(task =>
            hub.host(task)
        );
        this.hostLinks();
        this.callers = WebListener.create({
            hub,
            name: "callers",
            ...settings.callers,
            maxConnections: settings.limits.callerConnections,
            routes: createCallerRoutes({
                versions,
                requests,
                jobs,
                fleet,
                timer,
                log,
                metrics,
                requestBytes: settings.limits.requestBytes,
                closedFor,
            }),
            onError: answerUnrouted,
            ...(tls && { tls }),
        });
        this.operators = WebListener.create({
            hub,
            name: "operators",
            ...settings.operators,
            maxConnections: operatorConnections,
            routes: createOperatorRoutes({
                versions,
                metrics,
                token: settings.operatorToken,
                status: () => this.status(),
                notReady: () => this.notReady(),
                explain: id => this.explain(id),
            }),
            onError: answerOperatorError,
            ...(tls && { tls }),
        });
        metrics.gauge("celerywind_active_requests", {}, () => requests.activeCount);
        metrics.gauge("celerywind_waiting_requests", {}, () => dispatcher.waitingTotal());
        metrics.gauge("celerywind_running_jobs", {}, () => jobs.runningCount);
        metrics.gauge("celerywind_revision", {}, () => versions.state.revision);
        metrics.gauge("celerywind_peers", {}, () => mesh.connected().length);
        metrics.gauge("celerywind_resident_bytes", {}, () => process.memoryUsage().rss);
        metrics.gauge("celerywind_heap_bytes", {}, () => process.memoryUsage().heapUsed);
    }

    static create(options: EntryOptions): Entry {
        return new Entry(options);
    }

    /** Starts every part; resolves when the listeners accept connections. */
    async start(): Promise<void> {
        const { settings, log } = this.options;
        log.write(Severity.Info, EventId.EntryStarted, { zone: settings.zone });
        this.mesh.identify({ vm: settings.vm, incarnation: `${settings.vm}@${randomUUID()}` });
        await this.mesh.start();
        await this.hub.start();
        await this.operators.listen();
        await this.callers.listen();
    }

    /** Stops as planned: no request is cut, and everything held is given back. */
    async stop(): Promise<void> {
        const { timer, settings, log } = this.options;
        log.write(Severity.Info, EventId.EntryStopping);
        this.isLeaving = true;
        await sleep(timer, settings.times.balancerDelay);
        const closed = this.callers.close();
        await Promise.race([closed, sleep(timer, drainWaitMs)]);
        this.isStopping = true;
        await this.jobs.leave(handOverMs);
        await this.waitIdle();
        await this.grants.leave().catch(() => undefined);
        await this.fleet.leave().catch(() => undefined);
        await this.hub.stop();
        await this.mesh.stop();
        await Promise.race([this.operators.close(), sleep(timer, settings.times.balancerDelay)]);
        log.write(Severity.Info, EventId.EntryStopped);
    }

    /** Why the entry does not want new connections, if so. */
    notReady(): string | undefined {
        if (this.isLeaving) {
            return NotRunReason.Stopping;
        }
        if (this.fleet.self === undefined) {
            return "not-registered";
        }
        return this.closedFor();
    }

    private isLeaving = false;

    private closedFor(): NotRunReason | undefined {
        if (this.isStopping) {
            return NotRunReason.Stopping;
        }
        if (this.versions.state.revision === 0) {
            return NotRunReason.NotReady;
        }
        return this.contact.isIsolated ? NotRunReason.Isolated : undefined;
    }

    private status() {
        return collectStatus({
            vm: this.options.settings.vm,
            fleet: this.fleet,
            versions: this.versions,
            notReady: () => this.notReady(),
            peers: () => this.mesh.connected().map(peer => peer.vm),
            grantHere: team => this.grants.usable(team),
            runningHere: team => this.dispatcher.runningOf(team),
            activeRequests: () => this.requests.activeCount,
            runningJobs: () => this.jobs.runningCount,
        });
    }

    private async explain(id: string): Promise<readonly unknown[]> {
        const asked = this.mesh.connected().map(peer =>
            this.mesh.ask(peer.vm, explainTopic, { id }, explainMs)
        );
        const answers = await Promise.allSettled(asked);
        const others = answers.map(answer => answer.status === "fulfilled" ? answer.value : undefined);
        const own = this.requests.traces.find(id);
        const job = await this.jobs.find(id).catch(() => undefined);
        return [own, ...others, job].filter(trace => trace !== undefined);
    }

    private async waitIdle(): Promise<void> {
        const { timer } = this.options;
        const deadline = timer.now() + drainWaitMs;
        while (this.requests.activeCount > 0 && timer.now() < deadline) {
            await sleep(timer, 20);
        }
    }

    /** Keeps links to the members, and to the entry VMs of the platform's list before any member is known. */
    private hostLinks(): void {
        const { settings } = this.options;
        this.mesh.on(explainTopic, (_, body) => this.requests.traces.find((body as { id: string }).id));
        const refresh = (): void => {
            const members = this.fleet.live.map(({ vm, peerUrl }): PeerAddress => ({ vm, url: peerUrl }));
            const known = new Set(members.map(member => member.vm));
            const listed = this.fleet.view.vms
                .filter(vm => vm.pool === entryPool && !known.has(vm.id))
                .map((vm): PeerAddress => ({ vm: vm.id, url: vm.address.replace(/^http/, "ws") }));
            this.mesh.want([...members, ...listed].filter(peer => peer.vm !== settings.vm));
            this.store.setRate(platformCallsPerSecond / Math.max(1, this.fleet.live.length));
        };
        this.hub.host({
            name: "links",
            handlers: { [Topic.FleetChanged]: refresh },
            start: () => Promise.resolve(refresh()),
            stop: () => Promise.resolve(),
        });
    }
}
