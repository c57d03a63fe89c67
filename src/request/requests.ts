/**
 * Task that serves requests: performs the effects of `serve` on workers and peers, and gossips the load of this
 * entry.
 */
import { noticeBytes } from "../connection/peer/index.js";
import { AttemptKind, type AttemptResult, type UpstreamRequest } from "../connection/upstream/index.js";
import type { Fleet, ZoneNames } from "../process/fleet.js";
import { runFlow } from "../process/flow.js";
import type { Handlers, Task } from "../process/hub.js";
import { Topic } from "../process/hub.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import type { Cancel, Timer } from "../process/timer.js";
import { TokenBucket } from "../process/token-bucket.js";
import { isEvacuated, minAvailableOf, workersByPool } from "../process/workers.js";
import type { ConfigurationReplica } from "../version/configuration-replica.js";
import { QueueClass } from "../version/schema.js";
import { packDigest, unpackDigest } from "./digest-wire.js";
import type { Dispatcher } from "./dispatch.js";
import {
    notRunOutcome,
    NotRunReason,
    type Outcome,
    OutcomeKind,
    unknownOutcome,
    UnknownReason,
} from "./outcome.js";
import { RequestTraces } from "./request-traces.js";
import { RetryBudget } from "./retry-budget.js";
import { type AdmittedRequest, serve, type ServeEffect, ServeEffectKind } from "./serve.js";
import type { PoolWorkers } from "./slot.js";

/** Connections to workers, as the request task uses them. */
export interface WorkerConnections {
    send(origin: string, req: UpstreamRequest, timeoutMs: number): Promise<AttemptResult>;
    retain(origins: ReadonlySet<string>): void;
    close(): Promise<void>;
}

/** Options of `Requests.create`. */
export interface RequestsOptions {
    readonly dispatcher: Dispatcher;
    readonly upstream: WorkerConnections;
    readonly peers: Peers;
    readonly fleet: Fleet;
    readonly versions: ConfigurationReplica;
    readonly timer: Timer;
    readonly metrics: Metrics;
    readonly vm: string;
    /** Why no request may currently be sent to a worker; undefined when sending is allowed. */
    readonly sendBlockedReason: () => NotRunReason | undefined;
    readonly gossipMs?: number;
    readonly gossipBytesPerSecond?: number;
}

/** Body of a relayed request; `leftMs` is the time until its deadline, since monotonic clocks differ between VMs. */
interface RelayedRequest {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly pool: string;
    readonly class: QueueClass;
    readonly idempotent: boolean;
    readonly contentType: string;
    readonly body: Buffer;
    readonly leftMs: number;
}

const digestTopic = "request.digest";
const relayTopic = "request.relay";
/** Added to the time that a peer is given to return the outcome of a relayed request. */
const relayGraceMs = 200;
const defaultGossipBytesPerSecond = 5500;
/** An unchanged digest is sent again after this number of gossip ticks. */
const digestRefreshTicks = 4;

/** The request task of one entry. */
export class Requests implements Task {
    readonly name = "requests";
    readonly traces = RequestTraces.create();
    readonly handlers: Handlers = {
        [Topic.FleetChanged]: () => this.refreshPools(),
        [Topic.VersionAdopted]: () => this.applyRevision(),
        [Topic.GrantsChanged]: () => this.options.dispatcher.dispatchAll(),
    };
    private readonly retryBudget = RetryBudget.create();
    private readonly gossipBudget: TokenBucket;
    private readonly cancelTimers: Cancel[] = [];
    private active = 0;
    /** Evacuated zones that the dispatcher's pools were last built with. */
    private appliedZones: ZoneNames | undefined;
    private lastSentDigest = "";
    private unchangedTicks = 0;

    private constructor(private readonly options: RequestsOptions) {
        const { peers, timer, gossipBytesPerSecond = defaultGossipBytesPerSecond } = options;
        const perSecond = gossipBytesPerSecond;
        this.gossipBudget = TokenBucket.create({ perSecond, burst: perSecond, now: () => timer.now() });
        peers.on(digestTopic, (peer, body) => this.receiveDigest(peer.vm, body));
        peers.on(relayTopic, (_, body) => this.serveRelayed(body as RelayedRequest));
    }

    static create(options: RequestsOptions): Requests {
        return new Requests(options);
    }

    /** Number of requests in progress. */
    get activeCount(): number {
        return this.active;
    }

    start(): Promise<void> {
        const { timer, gossipMs = 250 } = this.options;
        this.cancelTimers.push(timer.every(gossipMs, () => this.gossip()));
        this.refreshPools();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        this.cancelTimers.forEach(cancel => cancel());
        await this.options.upstream.close();
    }

    /** Serves one admitted request and returns its outcome. */
    async serve(req: AdmittedRequest): Promise<Outcome> {
        const { timer, metrics } = this.options;
        const startedAt = timer.now();
        this.active++;
        this.retryBudget.deposit();
        try {
            const outcome = await runFlow(serve(req), effect => this.perform(effect));
            const ms = timer.now() - startedAt;
            this.traces.recordOutcome(req, outcome, ms);
            metrics.observe("celerywind_request_ms", ms, { queue: req.queue });
            this.countOutcome(req.queue, outcome);
            return outcome;
        }
        finally {
            this.active--;
        }
    }

    private countOutcome(queue: string, outcome: Outcome): void {
        const { metrics } = this.options;
        metrics.count("celerywind_requests_total", { queue, outcome: outcome.kind });
        if (outcome.kind !== OutcomeKind.Answered) {
            metrics.count("celerywind_refusals_total", { reason: outcome.reason });
        }
    }

    private async perform(effect: ServeEffect): Promise<unknown> {
        const { dispatcher, timer, metrics } = this.options;
        switch (effect.kind) {
            case ServeEffectKind.Now:
                return timer.now();
            case ServeEffectKind.FindRelay:
                return this.findRelay(effect.req);
            case ServeEffectKind.Relay:
                return this.relay(effect.req, effect.peer);
            case ServeEffectKind.Acquire:
                return dispatcher.acquire(effect.request);
            case ServeEffectKind.Attempt:
                return this.attempt(effect);
            case ServeEffectKind.Release:
                dispatcher.release(effect.slot, effect.slotResult, effect.mayRunUntil);
                return undefined;
            case ServeEffectKind.SpendRetry:
                return this.withdrawRetry();
            case ServeEffectKind.CountRetry:
                metrics.count("celerywind_retries_total", { reason: effect.reason });
                return undefined;
        }
    }

    private withdrawRetry(): boolean {
        const isWithdrawn = this.retryBudget.tryWithdraw();
        if (!isWithdrawn) {
            this.options.metrics.count("celerywind_retries_refused_total");
        }
        return isWithdrawn;
    }

    /**
     * Sends to the worker, unless sending was blocked or the worker's zone evacuated after the slot was assigned, for
     * example during a long pause of the process.
     */
    private async attempt(
        effect: Extract<ServeEffect, { kind: ServeEffectKind.Attempt }>,
    ): Promise<AttemptResult> {
        const { req, slot, timeoutMs } = effect;
        const { fleet, metrics } = this.options;
        const blockedReason = this.options.sendBlockedReason();
        if (blockedReason !== undefined) {
            return { kind: AttemptKind.Refused, cause: blockedReason };
        }
        if (isEvacuated(fleet.view, slot.worker)) {
            metrics.count("celerywind_starts_prevented_total", { reason: "zone-evacuated" });
            return { kind: AttemptKind.Refused, cause: "zone-evacuated" };
        }
        this.traces.recordAttempt(req.id, slot.worker.vm);
        return this.options.upstream.send(slot.worker.origin, req, timeoutMs);
    }

    private findRelay(req: AdmittedRequest): string | undefined {
        const { dispatcher, peers } = this.options;
        const peer = dispatcher.findRelay(req);
        return peers.connected().some(connected => connected.vm === peer) ? peer : undefined;
    }

    private async relay(req: AdmittedRequest, peer: string): Promise<Outcome> {
        const { peers, timer, metrics, dispatcher } = this.options;
        const leftMs = req.deadline - timer.now();
        const { id, team, queue, pool, class: queueClass, idempotent, contentType, body } = req;
        const sent: RelayedRequest = {
            id,
            team,
            queue,
            pool,
            class: queueClass,
            idempotent,
            contentType,
            body,
            leftMs,
        };
        metrics.count("celerywind_relays_total");
        dispatcher.remoteLoad.countRelayed(peer, pool, team);
        try {
            const outcome = await peers.request(peer, relayTopic, sent, leftMs + relayGraceMs) as Outcome;
            return outcome.kind === OutcomeKind.Answered
                ? { ...outcome, body: Buffer.from(outcome.body) }
                : outcome;
        }
        catch (err) {
            const wasSent = (err as { wasSent?: boolean }).wasSent !== false;
            return wasSent ? unknownOutcome(UnknownReason.PeerLost) : notRunOutcome(NotRunReason.NoWorker);
        }
    }

    private serveRelayed(relayed: RelayedRequest): Promise<Outcome> {
        const { leftMs, ...req } = relayed;
        const deadline = this.options.timer.now() + leftMs;
        return this.serve({ ...req, body: Buffer.from(req.body), deadline, isRelayed: true });
    }

    private gossip(): void {
        const { dispatcher, versions, peers, metrics, gossipBytesPerSecond = defaultGossipBytesPerSecond } =
            this.options;
        const teams = Object.keys(versions.state.lists.teams);
        const digest = dispatcher.digest(teams);
        dispatcher.adjustWeights(teams);
        const wire = packDigest(digest);
        const text = JSON.stringify(wire);
        this.unchangedTicks = text === this.lastSentDigest ? this.unchangedTicks + 1 : 0;
        dispatcher.dispatchAll();
        if (this.unchangedTicks % digestRefreshTicks !== 0) {
            return;
        }
        const cost = noticeBytes(digestTopic, wire) * peers.connected().length;
        if (!this.gossipBudget.tryTake(Math.min(cost, gossipBytesPerSecond))) {
            metrics.count("celerywind_gossip_skipped_total");
            return;
        }
        this.lastSentDigest = text;
        peers.broadcast(digestTopic, wire);
    }

    private receiveDigest(peer: string, body: unknown): void {
        const digest = unpackDigest(body);
        if (digest === undefined) {
            this.options.metrics.count("celerywind_peer_bodies_refused_total", { topic: digestTopic });
            return;
        }
        this.options.dispatcher.receiveDigest(peer, digest);
    }

    private applyRevision(): void {
        const { fleet, dispatcher } = this.options;
        if (fleet.view.evacuatedZones !== this.appliedZones) {
            this.refreshPools();
        }
        dispatcher.dispatchAll();
    }

    private refreshPools(): void {
        const { fleet, dispatcher, upstream, vm } = this.options;
        this.appliedZones = fleet.view.evacuatedZones;
        const byPool = [...workersByPool(fleet.view)];
        const pools = byPool.map(([pool, workers]): PoolWorkers => ({
            pool,
            maxEjected: Math.max(
                0,
                workers.filter(worker => worker.acceptsWork).length - minAvailableOf(fleet.view, pool),
            ),
            workers: workers.map(worker => ({
                vm: worker.vm.id,
                origin: worker.vm.address,
                rack: worker.vm.rack,
                zone: worker.vm.zone,
                isOpen: worker.acceptsWork,
                isHome: worker.home === vm,
            })),
        }));
        dispatcher.setPools(pools);
        upstream.retain(new Set(pools.flatMap(pool => pool.workers.map(worker => worker.origin))));
    }
}
