/** The links of one entry to all its peers: accepts, dials, replaces lost links, and routes messages by topic. */
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { WebSocket, WebSocketServer } from "ws";
import { PeerError } from "../../process/errors.js";
import { EventId, Severity } from "../../process/events.js";
import type { Task } from "../../process/hub.js";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import type { PeerHandler, Peers } from "../../process/peers.js";
import type { Cancel, Timer } from "../../process/timer.js";
import { LinkEnd } from "./auth.js";
import { CloseReason, type Identity, Link } from "./link.js";

/** A peer to keep a link to. */
export interface PeerAddress {
    readonly vm: string;
    readonly url: string;
}

/** Options of `Mesh.create`. */
export interface MeshOptions {
    readonly host: string;
    readonly port: number;
    readonly secret: string;
    readonly timer: Timer;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

const maxFrameBytes = 72 * 1024 * 1024;
const redialMs = 250;

/** Task that owns the peer listener and all peer links. */
export class Mesh implements Task, Peers {
    readonly name = "peers";
    private self: Identity = { vm: "", incarnation: "" };
    private server: Server | undefined;
    private wanted: readonly PeerAddress[] = [];
    private cancelRedial: Cancel = () => undefined;
    private readonly topics = new Map<string, PeerHandler>();
    private readonly links = new Map<string, Link>();
    private readonly dialing = new Map<string, Link>();
    private readonly all = new Set<Link>();

    private constructor(private readonly options: MeshOptions) {}

    static create(options: MeshOptions): Mesh {
        return new Mesh(options);
    }

    /** Sets the identity that links announce; call before `start`. */
    identify(self: Identity): void {
        this.self = self;
    }

    /** Registers the handler of a topic. */
    on(topic: string, handler: PeerHandler): void {
        this.topics.set(topic, handler);
    }

    async start(): Promise<void> {
        const { host, port, tls, timer } = this.options;
        this.server = tls === undefined ? createServer() : createTlsServer(tls);
        const sockets = new WebSocketServer({ server: this.server, maxPayload: maxFrameBytes });
        sockets.on("connection", socket => this.adopt(socket, LinkEnd.Accepting));
        await new Promise<void>((resolve, reject) => {
            this.server!.once("error", reject);
            this.server!.listen(port, host, resolve);
        });
        this.cancelRedial = timer.every(redialMs, () => this.dialMissing());
    }

    async stop(): Promise<void> {
        this.cancelRedial();
        this.wanted = [];
        this.all.forEach(link => link.close());
        await new Promise(resolve => this.server?.close(resolve));
    }

    /** States which peers to keep links to. */
    want(peers: readonly PeerAddress[]): void {
        this.wanted = peers.filter(peer => peer.vm !== this.self.vm);
        this.dialMissing();
    }

    /** Identities of the peers with an open link. */
    connected(): readonly Identity[] {
        return [...this.links.values()].flatMap(link => link.identity ?? []);
    }

    /** Monotonic time at which a peer was last heard; undefined without a link. */
    lastReceivedAt(vm: string): number | undefined {
        return this.links.get(vm)?.lastHeardAt;
    }

    /** Sends a message to every connected peer. */
    broadcast(topic: string, body: unknown): void {
        this.links.forEach(link => link.notify(topic, body));
    }

    /** Sends a message to one peer. */
    notify(vm: string, topic: string, body: unknown): boolean {
        return this.links.get(vm)?.notify(topic, body) ?? false;
    }

    /** Asks one peer. */
    async request(vm: string, topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const link = this.links.get(vm);
        if (link === undefined) {
            throw new PeerError(`no link to "${vm}"; nothing was sent`, { props: { wasSent: false } });
        }
        return link.ask(topic, body, timeoutMs);
    }

    private dialMissing(): void {
        for (const { vm, url } of this.wanted) {
            if (vm > this.self.vm && !this.links.has(vm) && !this.dialing.has(vm)) {
                const link = this.adopt(new WebSocket(url, { handshakeTimeout: 1000 }), LinkEnd.Dialing);
                this.dialing.set(vm, link);
            }
        }
    }

    private adopt(socket: WebSocket, end: LinkEnd): Link {
        const { secret, timer, metrics } = this.options;
        const link = Link.create({
            socket,
            end,
            secret,
            timer,
            self: this.self,
            events: {
                opened: (opened, peer) => this.opened(opened, peer),
                closed: (closed, reason) => this.closed(closed, reason),
                noticed: (peer, topic, body) => void this.topics.get(topic)?.(peer, body),
                asked: async (peer, topic, body) => await this.handlerOf(topic)(peer, body),
                sent: bytes => {
                    metrics.count("celerywind_peer_messages_total");
                    metrics.count("celerywind_peer_bytes_total", {}, bytes);
                },
            },
        });
        this.all.add(link);
        return link;
    }

    private handlerOf(topic: string): PeerHandler {
        const handler = this.topics.get(topic);
        if (handler === undefined) {
            throw new PeerError(`unknown topic "${topic}"; run the same version on all entries`);
        }
        return handler;
    }

    private opened(link: Link, peer: Identity): void {
        this.forgetDial(link);
        const old = this.links.get(peer.vm);
        this.links.set(peer.vm, link);
        old?.close();
        this.options.log.write(Severity.Info, EventId.PeerConnected, { peer: peer.incarnation });
    }

    private closed(link: Link, reason: CloseReason): void {
        this.all.delete(link);
        this.forgetDial(link);
        this.options.metrics.count("celerywind_peer_links_closed_total", { reason });
        const [vm] = [...this.links].find(([, open]) => open === link) ?? [];
        if (vm !== undefined) {
            this.links.delete(vm);
            this.options.log.write(Severity.Warn, EventId.PeerLost, { peer: vm, reason });
        }
        else if (reason === CloseReason.Rejected) {
            this.options.log.write(Severity.Warn, EventId.PeerRejected, { reason });
        }
        if (reason === CloseReason.Malformed) {
            this.options.log.write(Severity.Warn, EventId.PeerFrameInvalid, { reason });
        }
    }

    private forgetDial(link: Link): void {
        const [vm] = [...this.dialing].find(([, dialed]) => dialed === link) ?? [];
        if (vm !== undefined) {
            this.dialing.delete(vm);
        }
    }
}
