/**
 * The links of one entry to all its peers: accepts and dials links, replaces lost ones, and routes messages by topic.
 */
import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { PeerError } from "../../process/errors.js";
import { EventId, Severity } from "../../process/events.js";
import type { Task } from "../../process/hub.js";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import type { PeerHandler, Peers } from "../../process/peers.js";
import type { Cancel, Timer } from "../../process/timer.js";
import { listen } from "../listen.js";
import { LinkRole } from "./auth.js";
import { CloseReason, Link, type PeerIdentity } from "./peer-link.js";

/** Address of a peer. */
export interface PeerAddress {
    readonly vm: string;
    /** WebSocket URL of its peer listener. */
    readonly url: string;
}

/** Options of `PeerMesh.create`. */
export interface PeerMeshOptions {
    readonly host: string;
    readonly port: number;
    readonly secret: string;
    readonly timer: Timer;
    readonly metrics: Metrics;
    readonly log: Log;
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

const maxFrameBytes = 72 * 1024 * 1024;
const redialIntervalMs = 250;

/** Task that runs the peer listener and all peer links. */
export class PeerMesh implements Task, Peers {
    readonly name = "peers";
    private self: PeerIdentity = { vm: "", incarnation: "" };
    private server: Server | undefined;
    private configuredPeers: readonly PeerAddress[] = [];
    private cancelRedial: Cancel = () => undefined;
    private readonly topicHandlers = new Map<string, PeerHandler>();
    private readonly openLinks = new Map<string, Link>();
    private readonly dialingLinks = new Map<string, Link>();
    private readonly allLinks = new Set<Link>();
    /** Accepted connections, also those that have not become links, which the listener would wait for. */
    private readonly acceptedSockets = new Set<Socket>();

    private constructor(private readonly options: PeerMeshOptions) {}

    static create(options: PeerMeshOptions): PeerMesh {
        return new PeerMesh(options);
    }

    /** Sets the identity that this entry presents on its links; call before `start`. */
    setIdentity(self: PeerIdentity): void {
        this.self = self;
    }

    /** Registers the handler of a topic, replacing an earlier one. */
    on(topic: string, handler: PeerHandler): void {
        this.topicHandlers.set(topic, handler);
    }

    /** Opens the peer listener and dials; rejects with a `ListenError` when the address cannot be bound. */
    async start(): Promise<void> {
        const { host, port, tls, timer } = this.options;
        this.server = tls === undefined ? createServer() : createTlsServer(tls);
        this.server.on("connection", (socket: Socket) => this.trackAccepted(socket));
        await listen(this.server, { host, port, name: this.name });
        // Added only now, since it throws the errors of its server instead of passing them on.
        const webSocketServer = new WebSocketServer({ server: this.server, maxPayload: maxFrameBytes });
        webSocketServer.on("connection", socket => this.createLink(socket, LinkRole.Acceptor));
        this.cancelRedial = timer.every(redialIntervalMs, () => this.dialMissing());
    }

    /** Closes the listener and all connections at once, whether or not their other ends respond. */
    async stop(): Promise<void> {
        const { server } = this;
        this.cancelRedial();
        this.configuredPeers = [];
        this.allLinks.forEach(link => link.close());
        if (server !== undefined) {
            const closed = new Promise(resolve => server.close(resolve));
            this.acceptedSockets.forEach(socket => socket.destroy());
            await closed;
        }
    }

    /** Sets the peers to maintain links to. Of each pair of entries, the one with the smaller VM name dials. */
    setPeers(peers: readonly PeerAddress[]): void {
        this.configuredPeers = peers.filter(peer => peer.vm !== this.self.vm);
        this.dialMissing();
    }

    /** Identities of the peers with an open link. */
    connected(): readonly PeerIdentity[] {
        return [...this.openLinks.values()].flatMap(link => link.identity ?? []);
    }

    /** Monotonic time of the last receipt from a peer, in milliseconds; undefined when there is no link to it. */
    lastReceivedAt(vm: string): number | undefined {
        return this.openLinks.get(vm)?.lastReceivedAt;
    }

    /** Sends a notification to every connected peer. */
    broadcast(topic: string, body: unknown): void {
        this.openLinks.forEach(link => link.notify(topic, body));
    }

    /** Sends a notification to one peer; returns false when there is no open link to it. */
    notify(vm: string, topic: string, body: unknown): boolean {
        return this.openLinks.get(vm)?.notify(topic, body) ?? false;
    }

    /** Sends a request to one peer; rejects with a `PeerError`, see `Link.request`. */
    async request(vm: string, topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const link = this.openLinks.get(vm);
        if (link === undefined) {
            throw new PeerError(`no link to peer "${vm}"; the request was not sent`, {
                props: { wasSent: false },
            });
        }
        return link.request(topic, body, timeoutMs);
    }

    private trackAccepted(socket: Socket): void {
        this.acceptedSockets.add(socket);
        socket.once("close", () => this.acceptedSockets.delete(socket));
    }

    private dialMissing(): void {
        for (const { vm, url } of this.configuredPeers) {
            if (vm > this.self.vm && !this.openLinks.has(vm) && !this.dialingLinks.has(vm)) {
                const link = this.createLink(new WebSocket(url, { handshakeTimeout: 1000 }), LinkRole.Dialer);
                this.dialingLinks.set(vm, link);
            }
        }
    }

    private createLink(socket: WebSocket, role: LinkRole): Link {
        const { secret, timer, metrics } = this.options;
        const link = Link.create({
            socket,
            role,
            secret,
            timer,
            self: this.self,
            events: {
                onOpen: (openedLink, peer) => this.handleOpen(openedLink, peer),
                onClose: (closedLink, reason) => this.handleClose(closedLink, reason),
                onNotification: (peer, topic, body) => void this.topicHandlers.get(topic)?.(peer, body),
                onRequest: async (peer, topic, body) => await this.handlerOf(topic)(peer, body),
                onSent: bytes => {
                    metrics.count("celerywind_peer_messages_total");
                    metrics.count("celerywind_peer_bytes_total", {}, bytes);
                },
            },
        });
        this.allLinks.add(link);
        return link;
    }

    private handlerOf(topic: string): PeerHandler {
        const handler = this.topicHandlers.get(topic);
        if (handler === undefined) {
            throw new PeerError(`no handler for topic "${topic}"; run the same version on all entries`);
        }
        return handler;
    }

    private handleOpen(link: Link, peer: PeerIdentity): void {
        this.removeDialing(link);
        const previous = this.openLinks.get(peer.vm);
        this.openLinks.set(peer.vm, link);
        previous?.close();
        this.options.log.write(Severity.Info, EventId.PeerConnected, { peer: peer.incarnation });
    }

    private handleClose(link: Link, reason: CloseReason): void {
        this.allLinks.delete(link);
        this.removeDialing(link);
        this.options.metrics.count("celerywind_peer_links_closed_total", { reason });
        const [vm] = [...this.openLinks].find(([, openLink]) => openLink === link) ?? [];
        if (vm !== undefined) {
            this.openLinks.delete(vm);
            this.options.log.write(Severity.Warn, EventId.PeerLost, { peer: vm, reason });
        }
        else if (reason === CloseReason.RejectedHandshake) {
            this.options.log.write(Severity.Warn, EventId.PeerRejected, { reason });
        }
        if (reason === CloseReason.MalformedFrame) {
            this.options.log.write(Severity.Warn, EventId.PeerFrameInvalid, { reason });
        }
    }

    private removeDialing(link: Link): void {
        const [vm] = [...this.dialingLinks].find(([, dialingLink]) => dialingLink === link) ?? [];
        if (vm !== undefined) {
            this.dialingLinks.delete(vm);
        }
    }
}
