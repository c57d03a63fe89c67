/**
 * A link to a peer over a WebSocket, with handshake, heartbeats and a bounded send buffer. Responses are matched to
 * requests by id.
 */
import type { Socket } from "node:net";
import { WebSocket } from "ws";
import { PeerError } from "../../process/errors.js";
import type { Timer } from "../../process/timer.js";
import { computeProof, createNonce, isSameProof, LinkRole } from "./auth.js";
import { decodeFrame, encodeFrame, type Frame, FrameKind, protocolVersion } from "./message.js";
import { PendingRequests } from "./pending-requests.js";
import { ReceiptMonitor } from "./receipt-monitor.js";

/** Identity that an entry presents on its links. */
export interface PeerIdentity {
    readonly vm: string;
    readonly incarnation: string;
}

/** Callbacks of a link. */
export interface LinkEvents {
    readonly onOpen: (link: Link, peer: PeerIdentity) => void;
    readonly onClose: (link: Link, reason: CloseReason) => void;
    readonly onNotification: (peer: PeerIdentity, topic: string, body: unknown) => void;
    /** Handles a request; its result is sent as the response, and a rejection as a failed response. */
    readonly onRequest: (peer: PeerIdentity, topic: string, body: unknown) => Promise<unknown>;
    /** Called with the encoded size of each frame that is sent. */
    readonly onSent: (bytes: number) => void;
}

/** Why a link was closed. */
export enum CloseReason {
    Closed = "closed",
    /** Nothing was received from the peer within the receive timeout. */
    HeartbeatTimeout = "silent",
    MalformedFrame = "malformed-frame",
    RejectedHandshake = "rejected-handshake",
    /** The peer read too slowly and the send buffer exceeded its limit. */
    SendBacklog = "send-backlog",
    /** The end that dialed has no more use for the link. */
    Unneeded = "unneeded",
}

/** Options of `Link.create`. */
export interface LinkOptions {
    readonly socket: WebSocket;
    /** Connection that carries an accepted WebSocket; that of a dialed one is known once it is established. */
    readonly connection?: Socket | undefined;
    readonly role: LinkRole;
    readonly self: PeerIdentity;
    readonly secret: string;
    readonly timer: Timer;
    readonly events: LinkEvents;
    /** Time without any frame, ping or pong from the peer after which a ping is sent. */
    readonly pingAfterMs?: number;
    /** Time without any part of a frame, ping or pong from the peer after which the link is closed. */
    readonly receiveTimeoutMs?: number;
}

const maxBacklogBytes = 32 * 1024 * 1024;
/** The dialing end pings first; its ping tells the accepting end as much as one of its own would. */
const defaultPingAfterMs = { [LinkRole.Dialer]: 500, [LinkRole.Acceptor]: 1000 } as const;
const defaultReceiveTimeoutMs = 1500;
/** WebSocket close code of `CloseReason.Unneeded`, from the range for private use. */
const unneededCode = 4001;

/** A link to a peer, open once its handshake has completed. */
export class Link {
    private peer: PeerIdentity | undefined;
    private isOpen = false;
    private closeReason = CloseReason.Closed;
    private readonly nonce = createNonce();
    private readonly receipts: ReceiptMonitor;
    private readonly requests: PendingRequests;

    private constructor(private readonly options: LinkOptions) {
        this.receipts = ReceiptMonitor.create(options.timer, options.connection);
        this.requests = PendingRequests.create(options.timer, this.receipts);
    }

    static create(options: LinkOptions): Link {
        const link = new Link(options);
        link.listen();
        return link;
    }

    get role(): LinkRole {
        return this.options.role;
    }

    /** The peer's identity once the handshake is complete. */
    get identity(): PeerIdentity | undefined {
        return this.isOpen ? this.peer : undefined;
    }

    /** The peer's identity, also after the link was closed; undefined until the peer has presented it. */
    get lastIdentity(): PeerIdentity | undefined {
        return this.peer;
    }

    /** Monotonic time of the last receipt from the peer, in milliseconds. */
    get lastReceivedAt(): number {
        return this.receipts.lastReceivedAt;
    }

    /** Sends a notification; returns false when the link is not open or its send buffer is full. */
    notify(topic: string, body: unknown): boolean {
        return this.isOpen && this.send({ kind: FrameKind.Notification, topic, body });
    }

    /** Sends an encoded notification; returns false when the link is not open or its send buffer is full. */
    notifyEncoded(bytes: Buffer): boolean {
        return this.isOpen && this.sendEncoded(bytes);
    }

    /**
     * Sends a request and resolves with its response. Rejects with a `PeerError` whose property `wasSent` is false
     * when the peer cannot have received the request.
     */
    async request(topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const id = this.requests.reserveId();
        if (!this.isOpen || !this.send({ kind: FrameKind.Request, id, topic, body })) {
            throw new PeerError("peer link is not open; the request was not sent", {
                props: { wasSent: false },
            });
        }
        return this.requests.await(id, topic, timeoutMs);
    }

    /** Closes the link without a closing handshake. */
    close(reason = CloseReason.Closed): void {
        this.closeReason = reason;
        this.options.socket.terminate();
    }

    /** Closes the link and tells the peer that it is unneeded. */
    release(): void {
        this.closeReason = CloseReason.Unneeded;
        this.options.socket.close(unneededCode);
    }

    private listen(): void {
        const { socket } = this.options;
        socket.on("message", (data: Buffer) => this.receiveFrame(data));
        socket.on("pong", () => this.receipts.recordFrame());
        socket.on("ping", () => this.receipts.recordFrame());
        socket.on("error", () => undefined);
        socket.on("close", code => this.handleClose(code));
        if (this.options.role === LinkRole.Dialer) {
            socket.on("upgrade", res => this.receipts.setConnection(res.socket));
            socket.on("open", () => this.sendHello());
        }
    }

    /**
     * Closes the link if nothing was received within the receive timeout, and pings the peer if nothing was received for
     * a while. Called a few times a second; a link with traffic in both directions carries no pings.
     */
    checkHeartbeat(): void {
        const { socket, timer, role } = this.options;
        const { pingAfterMs = defaultPingAfterMs[role], receiveTimeoutMs = defaultReceiveTimeoutMs } =
            this.options;
        this.receipts.checkPartialFrame();
        const silentMs = timer.now() - this.receipts.lastReceivedAt;
        if (silentMs > receiveTimeoutMs) {
            this.close(CloseReason.HeartbeatTimeout);
        }
        else if (silentMs >= pingAfterMs && socket.readyState === WebSocket.OPEN) {
            socket.ping();
        }
    }

    private sendHello(): void {
        const { vm, incarnation } = this.options.self;
        this.send({ kind: FrameKind.Hello, protocol: protocolVersion, vm, incarnation, nonce: this.nonce });
    }

    private receiveFrame(data: Buffer): void {
        this.receipts.recordFrame();
        const frame = decodeFrame(data);
        if (frame === undefined) {
            this.close(CloseReason.MalformedFrame);
            return;
        }
        if (this.isOpen) {
            this.receiveMessage(frame);
        }
        else {
            this.receiveHandshake(frame);
        }
    }

    private receiveHandshake(frame: Frame): void {
        const { role, secret, self } = this.options;
        if (
            role === LinkRole.Acceptor && frame.kind === FrameKind.Hello
            && frame.protocol === protocolVersion && this.peer === undefined
        ) {
            this.peer = { vm: frame.vm, incarnation: frame.incarnation };
            this.peerNonce = frame.nonce;
            const mac = computeProof(secret, LinkRole.Acceptor, this.transcript());
            this.send({ kind: FrameKind.Challenge, ...self, nonce: this.nonce, mac });
        }
        else if (role === LinkRole.Dialer && frame.kind === FrameKind.Challenge) {
            this.peer = { vm: frame.vm, incarnation: frame.incarnation };
            this.peerNonce = frame.nonce;
            this.completeHandshake(
                isSameProof(frame.mac, computeProof(secret, LinkRole.Acceptor, this.transcript())),
            );
        }
        else if (role === LinkRole.Acceptor && frame.kind === FrameKind.Proof && this.peer !== undefined) {
            this.completeHandshake(
                isSameProof(frame.mac, computeProof(secret, LinkRole.Dialer, this.transcript())),
            );
        }
        else {
            this.close(CloseReason.RejectedHandshake);
        }
    }

    private peerNonce = "";

    private transcript(): Parameters<typeof computeProof>[2] {
        const ownIncarnation = this.options.self.incarnation;
        const peerIncarnation = this.peer?.incarnation ?? "";
        return this.options.role === LinkRole.Dialer
            ? {
                dialer: ownIncarnation,
                acceptor: peerIncarnation,
                dialerNonce: this.nonce,
                acceptorNonce: this.peerNonce,
            }
            : {
                dialer: peerIncarnation,
                acceptor: ownIncarnation,
                dialerNonce: this.peerNonce,
                acceptorNonce: this.nonce,
            };
    }

    private completeHandshake(isProofValid: boolean): void {
        if (!isProofValid) {
            this.close(CloseReason.RejectedHandshake);
            return;
        }
        if (this.options.role === LinkRole.Dialer) {
            this.send({
                kind: FrameKind.Proof,
                mac: computeProof(this.options.secret, LinkRole.Dialer, this.transcript()),
            });
        }
        this.isOpen = true;
        this.options.events.onOpen(this, this.peer!);
    }

    private receiveMessage(frame: Frame): void {
        switch (frame.kind) {
            case FrameKind.Notification:
                this.options.events.onNotification(this.peer!, frame.topic, frame.body);
                break;
            case FrameKind.Request:
                this.respond(frame.id, frame.topic, frame.body);
                break;
            case FrameKind.Response:
                this.requests.settle(frame.id, frame.ok, frame.body);
                break;
            case FrameKind.Hello:
            case FrameKind.Challenge:
            case FrameKind.Proof:
                this.close(CloseReason.MalformedFrame);
                break;
        }
    }

    private respond(id: number, topic: string, body: unknown): void {
        this.options.events.onRequest(this.peer!, topic, body).then(
            value => this.send({ kind: FrameKind.Response, id, ok: true, body: value }),
            (err: unknown) => this.send({ kind: FrameKind.Response, id, ok: false, body: String(err) }),
        );
    }

    private send(frame: Frame): boolean {
        return this.sendEncoded(encodeFrame(frame));
    }

    private sendEncoded(bytes: Buffer): boolean {
        const { socket, events } = this.options;
        if (socket.readyState !== WebSocket.OPEN) {
            return false;
        }
        if (socket.bufferedAmount > maxBacklogBytes) {
            this.close(CloseReason.SendBacklog);
            return false;
        }
        events.onSent(bytes.length);
        socket.send(bytes);
        return true;
    }

    private handleClose(code: number): void {
        this.isOpen = false;
        if (code === unneededCode) {
            this.closeReason = CloseReason.Unneeded;
        }
        this.requests.failAll("peer link closed before the response arrived");
        this.options.events.onClose(this, this.closeReason);
    }
}
