/** One link to a peer: handshake, heartbeat, bounded sending, and questions matched to replies by number. */
import { WebSocket } from "ws";
import { PeerError } from "../../process/errors.js";
import type { Cancel, Timer } from "../../process/timer.js";
import { computeProof, createNonce, isSameProof, LinkRole } from "./auth.js";
import { decodeFrame, encodeFrame, type Frame, FrameKind, protocolVersion } from "./message.js";

/** Identity of an entry on a link. */
export interface PeerIdentity {
    readonly vm: string;
    readonly incarnation: string;
}

/** What a link reports to its owner. */
export interface LinkEvents {
    readonly onOpen: (link: Link, peer: PeerIdentity) => void;
    readonly onClose: (link: Link, reason: CloseReason) => void;
    readonly onNotification: (peer: PeerIdentity, topic: string, body: unknown) => void;
    /** Answers a question; a rejection is sent as a failed reply. */
    readonly onRequest: (peer: PeerIdentity, topic: string, body: unknown) => Promise<unknown>;
    readonly onSent: (bytes: number) => void;
}

/** Why a link closed. */
export enum CloseReason {
    Closed = "closed",
    HeartbeatTimeout = "silent",
    MalformedFrame = "malformed-frame",
    RejectedHandshake = "rejected-handshake",
    SendBacklog = "send-backlog",
}

/** Options of `Link.create`. */
export interface LinkOptions {
    readonly socket: WebSocket;
    readonly role: LinkRole;
    readonly self: PeerIdentity;
    readonly secret: string;
    readonly timer: Timer;
    readonly events: LinkEvents;
    readonly pingIntervalMs?: number;
    readonly receiveTimeoutMs?: number;
}

interface PendingRequest {
    readonly resolve: (body: unknown) => void;
    readonly reject: (err: Error) => void;
    readonly cancel: Cancel;
}

const maxBacklogBytes = 32 * 1024 * 1024;

/** A link after or during its handshake. */
export class Link {
    private peer: PeerIdentity | undefined;
    private isOpen = false;
    private receivedAt: number;
    private nextRequestId = 1;
    private closeReason = CloseReason.Closed;
    private readonly nonce = createNonce();
    private readonly pendingRequests = new Map<number, PendingRequest>();
    private readonly cancels: Cancel[] = [];

    private constructor(private readonly options: LinkOptions) {
        this.receivedAt = options.timer.now();
    }

    static create(options: LinkOptions): Link {
        const link = new Link(options);
        link.listen();
        return link;
    }

    /** The peer's identity once the handshake is complete. */
    get identity(): PeerIdentity | undefined {
        return this.isOpen ? this.peer : undefined;
    }

    /** Monotonic time at which the peer was last heard, in milliseconds. */
    get lastReceivedAt(): number {
        return this.receivedAt;
    }

    /** Sends a message that needs no reply; false when the link cannot take it. */
    notify(topic: string, body: unknown): boolean {
        return this.isOpen && this.send({ kind: FrameKind.Notification, topic, body });
    }

    /** Sends a question. The error of a rejection tells by `wasSent` whether the peer may have received it. */
    async request(topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const id = this.nextRequestId++;
        if (!this.isOpen || !this.send({ kind: FrameKind.Request, id, topic, body })) {
            throw new PeerError("the peer link is down; nothing was sent", { props: { wasSent: false } });
        }
        return new Promise((resolve, reject) => {
            const cancel = this.options.timer.after(
                timeoutMs,
                () => this.failRequest(id, "the peer did not reply in time"),
            );
            this.pendingRequests.set(id, { resolve, reject, cancel });
        });
    }

    /** Closes the link. */
    close(reason = CloseReason.Closed): void {
        this.closeReason = reason;
        this.options.socket.terminate();
    }

    private listen(): void {
        const { socket, timer, pingIntervalMs: pingMs = 500, receiveTimeoutMs: silentMs = 1500 } =
            this.options;
        socket.on("message", (data: Buffer) => this.receiveFrame(data));
        socket.on("pong", () => this.recordReceipt());
        socket.on("ping", () => this.recordReceipt());
        socket.on("error", () => undefined);
        socket.on("close", () => this.handleClose());
        this.cancels.push(timer.every(pingMs, () => this.checkHeartbeat(silentMs)));
        if (this.options.role === LinkRole.Dialer) {
            socket.on("open", () => this.sendHello());
        }
    }

    private checkHeartbeat(silentMs: number): void {
        const { socket, timer } = this.options;
        if (timer.now() - this.receivedAt > silentMs) {
            this.close(CloseReason.HeartbeatTimeout);
        }
        else if (socket.readyState === WebSocket.OPEN) {
            socket.ping();
        }
    }

    private recordReceipt(): void {
        this.receivedAt = this.options.timer.now();
    }

    private sendHello(): void {
        const { vm, incarnation } = this.options.self;
        this.send({ kind: FrameKind.Hello, protocol: protocolVersion, vm, incarnation, nonce: this.nonce });
    }

    private receiveFrame(data: Buffer): void {
        this.recordReceipt();
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
        const { role: end, secret, self } = this.options;
        if (
            end === LinkRole.Acceptor && frame.kind === FrameKind.Hello && frame.protocol === protocolVersion
        ) {
            this.peer = { vm: frame.vm, incarnation: frame.incarnation };
            this.peerNonce = frame.nonce;
            const mac = computeProof(secret, LinkRole.Acceptor, this.transcript());
            this.send({ kind: FrameKind.Challenge, ...self, nonce: this.nonce, mac });
        }
        else if (end === LinkRole.Dialer && frame.kind === FrameKind.Challenge) {
            this.peer = { vm: frame.vm, incarnation: frame.incarnation };
            this.peerNonce = frame.nonce;
            this.completeHandshake(
                isSameProof(frame.mac, computeProof(secret, LinkRole.Acceptor, this.transcript())),
            );
        }
        else if (end === LinkRole.Acceptor && frame.kind === FrameKind.Proof && this.peer !== undefined) {
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
        const mine = this.options.self.incarnation;
        const theirs = this.peer?.incarnation ?? "";
        return this.options.role === LinkRole.Dialer
            ? { dialer: mine, acceptor: theirs, dialerNonce: this.nonce, acceptorNonce: this.peerNonce }
            : { dialer: theirs, acceptor: mine, dialerNonce: this.peerNonce, acceptorNonce: this.nonce };
    }

    private completeHandshake(isProven: boolean): void {
        if (!isProven) {
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
                this.settleRequest(frame.id, frame.ok, frame.body);
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

    private settleRequest(id: number, ok: boolean, body: unknown): void {
        const question = this.pendingRequests.get(id);
        if (question === undefined) {
            return;
        }
        this.pendingRequests.delete(id);
        question.cancel();
        if (ok) {
            question.resolve(body);
        }
        else {
            question.reject(new PeerError(String(body), { props: { wasSent: true } }));
        }
    }

    private failRequest(id: number, message: string): void {
        const question = this.pendingRequests.get(id);
        this.pendingRequests.delete(id);
        question?.cancel();
        question?.reject(new PeerError(message, { props: { wasSent: true } }));
    }

    private send(frame: Frame): boolean {
        const { socket, events } = this.options;
        if (socket.readyState !== WebSocket.OPEN) {
            return false;
        }
        if (socket.bufferedAmount > maxBacklogBytes) {
            this.close(CloseReason.SendBacklog);
            return false;
        }
        const bytes = encodeFrame(frame);
        events.onSent(bytes.length);
        socket.send(bytes);
        return true;
    }

    private handleClose(): void {
        this.isOpen = false;
        this.cancels.forEach(cancel => cancel());
        [...this.pendingRequests.keys()].forEach(id =>
            this.failRequest(id, "the peer link closed before the reply")
        );
        this.options.events.onClose(this, this.closeReason);
    }
}
