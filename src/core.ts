/** Core of one entry: the tasks that make its decisions and hold its state, without sockets. */
import { EventId, Severity } from "./process/events.js";
import { Fleet } from "./process/fleet.js";
import { GrantManager } from "./process/grant-manager.js";
import type { Publish, Task } from "./process/hub.js";
import { type ConfigurationSource, IsolationMonitor } from "./process/isolation-monitor.js";
import type { Log } from "./process/log.js";
import { MaintenanceManager } from "./process/maintenance-manager.js";
import type { Metrics } from "./process/metrics.js";
import type { Peers } from "./process/peers.js";
import type { Platform } from "./process/platform.js";
import type { Random } from "./process/random.js";
import type { Settings } from "./process/settings.js";
import type { Store } from "./process/store.js";
import type { Timer } from "./process/timer.js";
import { Dispatcher, type DispatchView } from "./request/dispatch.js";
import { Jobs } from "./request/jobs.js";
import { NotRunReason } from "./request/outcome.js";
import { Requests, type WorkerConnections } from "./request/requests.js";
import type { TaskClient } from "./request/task.js";
import { ConfigurationReplica } from "./version/configuration-replica.js";
import { concurrencyLimitOf, shareOf } from "./version/schema.js";

/** Options of `Core.create`. */
export interface CoreOptions {
    readonly settings: Settings;
    readonly peerUrl: string;
    readonly store: Store;
    readonly platform: Platform;
    readonly peers: Peers;
    readonly upstream: WorkerConnections;
    /** Creates the client for tasks on workers. `originOf` returns the address of a VM if it is listed. */
    readonly createTaskClient: (originOf: (vm: string) => string | undefined) => TaskClient;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
}

/** Creates the tasks of one entry and connects them with each other. */
export class Core {
    readonly fleet: Fleet;
    readonly isolationMonitor: IsolationMonitor;
    readonly versions: ConfigurationReplica;
    readonly grants: GrantManager;
    readonly dispatcher: Dispatcher;
    readonly requests: Requests;
    readonly jobs: Jobs;
    readonly servicing: MaintenanceManager;
    /** Set during a planned stop to refuse new work. */
    isStopping = false;

    private constructor(private readonly options: CoreOptions) {
        this.fleet = this.createFleet();
        this.versions = this.createVersions();
        this.isolationMonitor = this.createIsolationMonitor();
        this.dispatcher = this.createDispatcher();
        this.grants = this.createGrants();
        this.requests = this.createRequests();
        this.jobs = this.createJobs();
        this.servicing = this.createServicing();
    }

    static create(options: CoreOptions): Core {
        return new Core(options);
    }

    /** All tasks, in the order in which they must start. */
    get tasks(): readonly Task[] {
        return [
            this.fleet,
            this.isolationMonitor,
            this.versions,
            this.grants,
            this.requests,
            this.jobs,
            this.servicing,
        ];
    }

    /** Why new work is refused now; undefined when it is accepted. */
    closedReason(): NotRunReason | undefined {
        return this.isStopping ? NotRunReason.Stopping : this.startBlockedReason();
    }

    /** Why queued work must not start either; undefined when it may. A planned stop lets queued work finish. */
    private startBlockedReason(): NotRunReason | undefined {
        if (this.versions.state.revision === 0) {
            return NotRunReason.NotReady;
        }
        return this.isolationMonitor.isIsolated ? NotRunReason.Isolated : undefined;
    }

    /** Limit of a team across the fleet. */
    limitOf(team: string): number {
        return concurrencyLimitOf(this.versions.state.lists, team);
    }

    /**
     * Upper bound on the time for which work of a lost entry may still run, in milliseconds: the time until the entry
     * detects its isolation, plus its longest request, plus the lease of its tasks.
     */
    private get quarantineMs(): number {
        const { isolation, longestRequest, taskLease } = this.options.settings.times;
        return isolation + longestRequest + taskLease;
    }

    private createFleet(): Fleet {
        const { settings, store, platform, publish, timer, log, peerUrl } = this.options;
        const { vm, zone, times } = settings;
        return Fleet.create({
            store,
            platform,
            publish,
            timer,
            log,
            vm,
            zone,
            peerUrl,
            pollMs: times.vmListPoll,
            evacuatedZones: () => this.versions.state.evacuatedZones,
        });
    }

    private createIsolationMonitor(): IsolationMonitor {
        const { peers, timer, log, settings } = this.options;
        const { versions, fleet } = this;
        const configuration: ConfigurationSource = {
            revision: () => versions.state.revision,
            confirmedAt: () => versions.confirmedAt,
            pendingWithdrawals: () => [...versions.pendingWithdrawals],
            onPeerHeartbeat: (revision, pending) => versions.receiveHeartbeat(revision, pending),
        };
        return IsolationMonitor.create({
            peers,
            fleet,
            timer,
            log,
            configuration,
            timeoutMs: settings.times.isolation,
        });
    }

    private createVersions(): ConfigurationReplica {
        const { store, publish, timer, log, metrics, peers, settings } = this.options;
        return ConfigurationReplica.create({
            store,
            publish,
            timer,
            log,
            metrics,
            peers,
            pollIntervalMs: settings.times.headPoll,
        });
    }

    private createDispatcher(): Dispatcher {
        const { settings, timer, random, metrics, log } = this.options;
        const { slots, limits, zone } = settings;
        const view: DispatchView = {
            usableGrants: team => this.grants.usable(team),
            limit: team => this.limitOf(team),
            share: team => shareOf(this.versions.state.lists, team),
            closedReason: () => this.closedReason(),
            mayStart: () => this.startBlockedReason() === undefined,
        };
        return Dispatcher.create({
            timer,
            random,
            metrics,
            view,
            zone,
            policy: slots.policy,
            slotsPerWorker: slots.perWorker,
            maxQueuedRequests: limits.queuedRequests,
            onEjected: worker => log.write(Severity.Warn, EventId.WorkerEjected, { worker }),
        });
    }

    private createGrants(): GrantManager {
        const { store, publish, timer, log, metrics, peers } = this.options;
        const { fleet, versions, dispatcher, quarantineMs } = this;
        const demandSource = {
            teams: () => Object.keys(versions.state.lists.teams),
            limit: (team: string) => this.limitOf(team),
            demand: (team: string) => dispatcher.demandOf(team),
            running: (team: string) => dispatcher.runningOf(team),
            peerDemand: (team: string) => dispatcher.remoteLoad.demandOf(team),
            adoptedTaskCount: (team: string, ended: string) => dispatcher.adoptedCount(team, ended),
            onGrantTakenOver: (team: string, ended: string, n: number) =>
                dispatcher.recordGrantTransfer(team, ended, n),
            handedOverTasks: (team: string) => this.jobs.handedOverOf(team),
        };
        return GrantManager.create({
            store,
            fleet,
            peers,
            publish,
            timer,
            log,
            metrics,
            quarantineMs,
            demandSource,
        });
    }

    private createRequests(): Requests {
        const { upstream, peers, timer, metrics, settings } = this.options;
        const { dispatcher, fleet, versions } = this;
        return Requests.create({
            dispatcher,
            fleet,
            versions,
            peers,
            timer,
            metrics,
            upstream,
            vm: settings.vm,
            sendBlockedReason: () => this.startBlockedReason(),
        });
    }

    private createJobs(): Jobs {
        const { store, peers, publish, timer, log, metrics, settings } = this.options;
        const { fleet, dispatcher } = this;
        const tasks = this.options.createTaskClient(vm =>
            fleet.view.vms.find(other => other.id === vm)?.address
        );
        const pollMs = settings.times.jobPoll;
        return Jobs.create({ store, fleet, dispatcher, tasks, peers, publish, timer, log, metrics, pollMs });
    }

    private createServicing(): MaintenanceManager {
        const { store, platform, peers, timer, random, log, metrics, settings } = this.options;
        const { fleet, dispatcher, quarantineMs } = this;
        const { servicePeriod, maintenanceTick } = settings.times;
        return MaintenanceManager.create({
            store,
            platform,
            fleet,
            peers,
            timer,
            random,
            log,
            metrics,
            quarantineMs,
            weights: settings.weights,
            policy: settings.servicing,
            utilizationOf: pool => dispatcher.poolUtilization(pool),
            inFlight: worker => dispatcher.onWorker(worker),
            maxUptimeMs: servicePeriod,
            tickMs: maintenanceTick,
        });
    }
}
