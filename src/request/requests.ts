/** Task that serves requests: it performs the effects of `serve` on workers and peers, and gossips load. */
import { noticeBytes } from "../connection/peer/index.js";
import { AttemptKind, type AttemptResult, type UpstreamRequest } from "../connection/upstream/index.js";
import type { Fleet } from "../process/fleet.js";
import { runFlow } from "../process/flow.js";
import type { Handlers, Task } from "../process/hub.js";
import { Topic } from "../process/hub.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import type { Cancel, Timer } from "../process/timer.js";
import { TokenBucket } from "../process/token-bucket.js";
import { budgetOf, workersByPool } from "../process/workers.js";
import type { ConfigurationReplica } from "../version/configuration-replica.js";
import { QueueClass } from "../version/schema.js";
import { packDigest, unpackDigest } from "./digest-wire.js";
import type { Dispatcher } from "./dispatch.js";
import { notRun, NotRunReason, type Outcome, OutcomeKind, unknown, UnknownReason } from "./outcome.js";
import { RequestTraces } from "./request-traces.js";
import { RetryBudget } from "./retry.js";
import { type Admitted, serve, type ServeEffect, ServeEffectKind } from "./serve.js";
import type { PoolWorkers } from "./slot.js";

/** Connections to workers as this task uses them. */
export interface Workers {
    send(origin: string, req: UpstreamRequest, timeoutMs: number): Promise<AttemptResult>;
    retain(origins: ReadonlySet<string>): void;
    close(): Promise<void>;
}

/** Options of `Requests.create`. */
export interface RequestsOptions {
    readonly dispatcher: Dispatcher;
    readonly upstream: Workers;
    readonly peers: Peers;
    readonly fleet: Fleet;
    readonly versions: ConfigurationReplica;
    readonly timer: Timer;
    readonly metrics: Metrics;
    readonly vm: string;
    /** Why nothing may be sent now, if so. */
    readonly cutOffFor: () => NotRunReason | undefined;
    readonly gossipMs?: number;
    readonly gossipBytesPerSecond?: number;
}

/** A request on its way to another entry. */
interface RelayBody {
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
const relayGraceMs = 200;
const defaultGossipBytes = 5500;
const refreshEvery = 4;

/** The request task of one entry. */
export class Requests implements Task {
    readonly name = "requests";
    readonly traces = RequestTraces.create();
    readonly handlers: Handlers = {
        [Topic.FleetChanged]: () => this.refreshPools(),
        [Topic.VersionAdopted]: () => this.options.dispatcher.pumpAll(),
        [Topic.GrantsChanged]: () => this.options.dispatcher.pumpAll(),
    };
    private readonly retries = RetryBudget.create();
    private readonly gossipBudget: TokenBucket;
    private readonly cancels: Cancel[] = [];
    private active = 0;
    private lastDigest = "";
    private unchanged = 0;

    private constructor(private readonly options: RequestsOptions) {
        const { peers, timer, gossipBytesPerSecond = defaultGossipBytes } = options;
        const perSecond = gossipBytesPerSecond;
        this.gossipBudget = TokenBucket.create({ perSecond, burst: perSecond, now: () => timer.now() });
        peers.on(digestTopic, (peer, body) => this.hear(peer.vm, body));
        peers.on(relayTopic, (_, body) => this.serveRelayed(body as RelayBody));
    }

    static create(options: RequestsOptions): Requests {
        return new Requests(options);
    }

    /** Number of requests that are being served. */
    get activeCount(): number {
        return this.active;
    }

    start(): Promise<void> {
        const { timer, gossipMs = 250 } = this.options;
        this.cancels.push(timer.every(gossipMs, () => this.gossip()));
        this.refreshPools();
        return Promise.resolve();
    }

    async stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        await this.options.upstream.close();
    }

    /** Serves one admitted request to its outcome. */
    async serve(req: Admitted): Promise<Outcome> {
        const { timer, metrics } = this.options;
        const startedAt = timer.now();
        this.active++;
        this.retries.earn();
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
                return dispatcher.acquire(effect.want);
            case ServeEffectKind.Attempt:
                return this.attempt(effect);
            case ServeEffectKind.Release:
                dispatcher.release(effect.slot, effect.end, effect.mayRunUntil);
                return undefined;
            case ServeEffectKind.SpendRetry:
                return this.spendRetry();
            case ServeEffectKind.CountRetry:
                metrics.count("celerywind_retries_total", { reason: effect.reason });
                return undefined;
        }
    }

    private spendRetry(): boolean {
        const granted = this.retries.spend();
        if (!granted) {
            this.options.metrics.count("celerywind_retries_refused_total");
        }
        return granted;
    }

    /** Sends to the worker unless something closed this entry since the slot was given, such as a long pause. */
    private async attempt(
        effect: Extract<ServeEffect, { kind: ServeEffectKind.Attempt }>,
    ): Promise<AttemptResult> {
        const { req, slot, timeoutMs } = effect;
        const cutOff = this.options.cutOffFor();
        if (cutOff !== undefined) {
            return { kind: AttemptKind.Refused, cause: cutOff };
        }
        this.traces.recordAttempt(req.id, slot.worker.vm);
        return this.options.upstream.send(slot.worker.origin, req, timeoutMs);
    }

    private findRelay(req: Admitted): string | undefined {
        const { dispatcher, peers } = this.options;
        const peer = dispatcher.findRelay(req);
        return peers.connected().some(connected => connected.vm === peer) ? peer : undefined;
    }

    private async relay(req: Admitted, peer: string): Promise<Outcome> {
        const { peers, timer, metrics, dispatcher } = this.options;
        const leftMs = req.deadline - timer.now();
        const { id, team, queue, pool, class: queueClass, idempotent, contentType, body } = req;
        const sent: RelayBody = {
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
        dispatcher.remote.noteRelayed(peer, pool, team);
        try {
            const outcome = await peers.request(peer, relayTopic, sent, leftMs + relayGraceMs) as Outcome;
            return outcome.kind === OutcomeKind.Answered
                ? { ...outcome, body: Buffer.from(outcome.body) }
                : outcome;
        }
        catch (err) {
            const wasSent = (err as { wasSent?: boolean }).wasSent !== false;
            return wasSent ? unknown(UnknownReason.PeerLost) : notRun(NotRunReason.NoWorker);
        }
    }

    private serveRelayed(relayed: RelayBody): Promise<Outcome> {
        const { leftMs, ...req } = relayed;
        const deadline = this.options.timer.now() + leftMs;
        return this.serve({ ...req, body: Buffer.from(req.body), deadline, isRelayed: true });
    }

    private gossip(): void {
        const { dispatcher, versions, peers, metrics, gossipBytesPerSecond = defaultGossipBytes } =
            this.options;
        const teams = Object.keys(versions.state.lists.teams);
        const digest = dispatcher.digest(teams);
        dispatcher.correctShares(teams);
        const wire = packDigest(digest);
        const text = JSON.stringify(wire);
        this.unchanged = text === this.lastDigest ? this.unchanged + 1 : 0;
        dispatcher.pumpAll();
        if (this.unchanged % refreshEvery !== 0) {
            return;
        }
        const cost = noticeBytes(digestTopic, wire) * peers.connected().length;
        if (!this.gossipBudget.tryTake(Math.min(cost, gossipBytesPerSecond))) {
            metrics.count("celerywind_gossip_skipped_total");
            return;
        }
        this.lastDigest = text;
        peers.broadcast(digestTopic, wire);
    }

    private hear(peer: string, body: unknown): void {
        const digest = unpackDigest(body);
        if (digest === undefined) {
            this.options.metrics.count("celerywind_peer_bodies_refused_total", { topic: digestTopic });
            return;
        }
        this.options.dispatcher.hear(peer, digest);
    }

    private refreshPools(): void {
        const { fleet, dispatcher, upstream, vm } = this.options;
        const byPool = [...workersByPool(fleet.view)];
        const pools = byPool.map(([pool, workers]): PoolWorkers => ({
            pool,
            mayEject: Math.max(
                0,
                workers.filter(worker => worker.isOpen).length - budgetOf(fleet.view, pool),
            ),
            workers: workers.map(worker => ({
                vm: worker.vm.id,
                origin: worker.vm.address,
                rack: worker.vm.rack,
                zone: worker.vm.zone,
                isOpen: worker.isOpen,
                isHome: worker.home === vm,
            })),
        }));
        dispatcher.setPools(pools);
        upstream.retain(new Set(pools.flatMap(pool => pool.workers.map(worker => worker.origin))));
    }
}
