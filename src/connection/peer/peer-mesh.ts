/**
 * The links of one entry to its peers: accepts links, dials those that this entry needs, replaces lost ones, lets go of
 * those that it no longer needs, and routes messages by topic.
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { messageOf, PeerError } from "../../process/errors.js";
import { EventId, Severity } from "../../process/events.js";
import type { Task } from "../../process/hub.js";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import type { PeerAddress, PeerHandler, Peers } from "../../process/peers.js";
import type { Cancel, Timer } from "../../process/timer.js";
import { listen } from "../listen.js";
import { LinkRole } from "./auth.js";
import { encodeNotification } from "./message.js";
import { CloseReason, Link, type PeerIdentity } from "./peer-link.js";
import { PendingConnections, PendingRefusal } from "./pending-connections.js";

interface NeededPeer {
    readonly url: string;
    /** Monotonic time from which this entry dials, in milliseconds. */
    readonly dialFrom: number;
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
/** Period of dialing missing links, and of the heartbeat checks of all links. */
const maintenanceIntervalMs = 250;
/** Time for which the peer with the smaller VM name may dial first, so that a link that both need is dialed once. */
const dialGraceMs = 600;
/** Time for which a link is kept after it became unneeded. */
const lingerMs = 5000;
/** Silence after which a link no longer takes precedence over a new one to the same process. */
const staleAfterMs = 750;
const handshakeTimeoutMs = 1000;
/** Limits of the opening handshake of a WebSocket, which takes some hundred bytes. */
const serverLimits = { maxHeaderSize: 8 * 1024, headersTimeout: 5000, connectionsCheckingInterval: 1000 };
/** Longest part of an error message that quotes a URL. */
const maxLoggedChars = 200;

/** Task that runs the peer listener and all peer links. */
export class PeerMesh implements Task, Peers {
    readonly name = "peers";
    private self: PeerIdentity = { vm: "", incarnation: "" };
    private server: Server | undefined;
    /** Peers that this entry needs links to, by VM. */
    private neededPeers = new Map<string, NeededPeer>();
    private cancelMaintenance: Cancel = () => undefined;
    private readonly topicHandlers = new Map<string, PeerHandler>();
    private readonly openLinks = new Map<string, Link>();
    /** URLs of the links that this entry has dialed, open or not. */
    private readonly dialedUrls = new Map<Link, string>();
    /** URLs of needed peers that cannot be dialed, by VM. */
    private readonly malformedUrls = new Map<string, string>();
    /** Monotonic time since which a dialed link is unneeded. */
    private readonly unneededSince = new Map<Link, number>();
    private readonly allLinks = new Set<Link>();
    /** Accepted connections, also those that have not become links, which the listener would wait for. */
    private readonly acceptedSockets = new Set<Socket>();

    private readonly pendingConnections: PendingConnections;

    private constructor(private readonly options: PeerMeshOptions) {
        this.pendingConnections = PendingConnections.create(options);
    }

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
        this.server = tls === undefined
            ? createServer(serverLimits)
            : createTlsServer({ ...serverLimits, ...tls });
        this.server.on("connection", (socket: Socket) => this.trackAccepted(socket));
        this.server.on(
            tls === undefined ? "connection" : "secureConnection",
            (socket: Socket) => this.pendingConnections.add(socket),
        );
        this.server.on(
            "request",
            (req: IncomingMessage) => this.pendingConnections.refuse(req.socket, PendingRefusal.Request),
        );
        await listen(this.server, { host, port, name: this.name });
        // Added only now, since it throws the errors of its server instead of passing them on.
        const webSocketServer = new WebSocketServer({ server: this.server, maxPayload: maxFrameBytes });
        webSocketServer.on(
            "connection",
            (socket, req) => this.createLink(socket, LinkRole.Acceptor, req.socket),
        );
        this.cancelMaintenance = timer.every(maintenanceIntervalMs, () => this.maintain());
    }

    /** Closes the listener and all connections at once, whether or not their other ends respond. */
    async stop(): Promise<void> {
        const { server } = this;
        this.cancelMaintenance();
        this.neededPeers.clear();
        this.allLinks.forEach(link => link.close());
        if (server !== undefined) {
            const closed = new Promise(resolve => server.close(resolve));
            this.acceptedSockets.forEach(socket => socket.destroy());
            await closed;
        }
    }

    /**
     * Sets the peers that this entry needs links to. A link that this entry dialed and that is no longer needed is closed
     * after `lingerMs`; one that the peer dialed stays, since the peer needs it.
     */
    setPeers(peers: readonly PeerAddress[]): void {
        const now = this.options.timer.now();
        this.neededPeers = new Map(
            peers.filter(({ vm }) => vm !== this.self.vm).map(({ vm, url, isMutual = true }) => {
                const before = this.neededPeers.get(vm);
                const dialFrom = isMutual && vm < this.self.vm ? now + dialGraceMs : now;
                return [vm, { url, dialFrom: Math.min(before?.dialFrom ?? Infinity, dialFrom) }];
            }),
        );
        [...this.malformedUrls.keys()].filter(vm => !this.neededPeers.has(vm)).forEach(vm => {
            this.malformedUrls.delete(vm);
        });
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
        const bytes = encodeNotification(topic, body);
        this.openLinks.forEach(link => link.notifyEncoded(bytes));
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

    private maintain(): void {
        this.pendingConnections.check();
        this.allLinks.forEach(link => link.checkHeartbeat());
        this.dialMissing();
        this.releaseUnneeded();
    }

    private dialMissing(): void {
        const now = this.options.timer.now();
        const dialedUrls = new Set(this.dialedUrls.values());
        for (const [vm, { url, dialFrom }] of this.neededPeers) {
            if (now >= dialFrom && !this.openLinks.has(vm) && !dialedUrls.has(url)) {
                this.dial(vm, url);
            }
        }
    }

    /** Dials a peer; does nothing while its URL is not known, and logs a malformed one once. */
    private dial(vm: string, url: string): void {
        if (url === "" || this.malformedUrls.get(vm) === url) {
            return;
        }
        try {
            const socket = new WebSocket(url, { handshakeTimeout: handshakeTimeoutMs });
            this.dialedUrls.set(this.createLink(socket, LinkRole.Dialer), url);
        }
        catch (err) {
            this.malformedUrls.set(vm, url);
            this.options.log.write(Severity.Error, EventId.PeerUrlMalformed, {
                peer: vm,
                err: messageOf(err).slice(0, maxLoggedChars),
            });
        }
    }

    private releaseUnneeded(): void {
        const now = this.options.timer.now();
        const neededUrls = new Set([...this.neededPeers.values()].map(({ url }) => url));
        for (const [link, url] of this.dialedUrls) {
            const vm = link.identity?.vm;
            if (neededUrls.has(url) || vm === undefined || this.neededPeers.has(vm)) {
                this.unneededSince.delete(link);
                continue;
            }
            const since = this.unneededSince.get(link) ?? now;
            this.unneededSince.set(link, since);
            if (now - since >= lingerMs) {
                link.release();
            }
        }
    }

    private createLink(socket: WebSocket, role: LinkRole, connection?: Socket): Link {
        const { secret, timer, metrics } = this.options;
        const link = Link.create({
            socket,
            connection,
            role,
            secret,
            timer,
            self: this.self,
            events: {
                onOpen: (openedLink, peer) => {
                    if (connection !== undefined) {
                        this.pendingConnections.admit(connection);
                    }
                    this.handleOpen(openedLink, peer);
                },
                onClose: (closedLink, reason) => this.handleClose(closedLink, reason),
                onNotification: (peer, topic, body) => this.receiveNotification(peer, topic, body),
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

    /** Hands a notification to its handler; a body that the handler cannot use is logged and counted. */
    private receiveNotification(peer: PeerIdentity, topic: string, body: unknown): void {
        const { log, metrics } = this.options;
        const reject = (err: unknown): void => {
            metrics.count("celerywind_peer_notifications_rejected_total", { topic });
            log.write(Severity.Warn, EventId.PeerFrameInvalid, { peer: peer.vm, topic, err: messageOf(err) });
        };
        try {
            Promise.resolve(this.topicHandlers.get(topic)?.(peer, body)).catch(reject);
        }
        catch (err) {
            reject(err);
        }
    }

    private handlerOf(topic: string): PeerHandler {
        const handler = this.topicHandlers.get(topic);
        if (handler === undefined) {
            throw new PeerError(`no handler for topic "${topic}"; run the same version on all entries`);
        }
        return handler;
    }

    private handleOpen(link: Link, peer: PeerIdentity): void {
        const previous = this.openLinks.get(peer.vm);
        if (previous !== undefined && this.takesPrecedence(previous, link, peer)) {
            link.release();
            return;
        }
        this.openLinks.set(peer.vm, link);
        previous?.release();
        this.options.log.write(Severity.Info, EventId.PeerConnected, { peer: peer.incarnation });
    }

    /**
     * Whether an open link is kept rather than a new one to the same process. Of two that both ends dialed at the same
     * time, both keep the one that the smaller VM name dialed.
     */
    private takesPrecedence(open: Link, opened: Link, peer: PeerIdentity): boolean {
        const silentMs = this.options.timer.now() - open.lastReceivedAt;
        const keptRole = this.self.vm < peer.vm ? LinkRole.Dialer : LinkRole.Acceptor;
        return open.identity?.incarnation === peer.incarnation && silentMs < staleAfterMs
            && open.role === keptRole && opened.role !== keptRole;
    }

    private handleClose(link: Link, reason: CloseReason): void {
        const { metrics, log } = this.options;
        this.allLinks.delete(link);
        this.dialedUrls.delete(link);
        this.unneededSince.delete(link);
        metrics.count("celerywind_peer_links_closed_total", { reason });
        const vm = link.lastIdentity?.vm ?? "";
        if (this.openLinks.get(vm) === link) {
            this.openLinks.delete(vm);
            const severity = reason === CloseReason.Unneeded ? Severity.Info : Severity.Warn;
            log.write(severity, EventId.PeerLost, { peer: vm, reason });
        }
        else if (reason === CloseReason.RejectedHandshake) {
            log.write(Severity.Warn, EventId.PeerRejected, { reason });
        }
        if (reason === CloseReason.MalformedFrame) {
            log.write(Severity.Warn, EventId.PeerFrameInvalid, { reason });
        }
    }
}
