/** One link to a peer: handshake, heartbeat, bounded sending, and questions matched to replies by number. */
import { WebSocket } from "ws";
import { PeerError } from "../../process/errors.js";
import type { Cancel, Timer } from "../../process/timer.js";
import { createNonce, LinkEnd, proofOf, sameProof } from "./auth.js";
import { decodeFrame, encodeFrame, type Frame, FrameKind, protocolVersion } from "./message.js";

/** Identity of an entry on a link. */
export interface Identity {
    readonly vm: string;
    readonly incarnation: string;
}

/** What a link reports to its owner. */
export interface LinkEvents {
    readonly opened: (link: Link, peer: Identity) => void;
    readonly closed: (link: Link, reason: CloseReason) => void;
    readonly noticed: (peer: Identity, topic: string, body: unknown) => void;
    /** Answers a question; a rejection is sent as a failed reply. */
    readonly asked: (peer: Identity, topic: string, body: unknown) => Promise<unknown>;
    readonly sent: (bytes: number) => void;
}

/** Why a link closed. */
export enum CloseReason {
    Closed = "closed",
    Silent = "silent",
    Malformed = "malformed-frame",
    Rejected = "rejected-handshake",
    Backlog = "send-backlog",
}

/** Options of `Link.create`. */
export interface LinkOptions {
    readonly socket: WebSocket;
    readonly end: LinkEnd;
    readonly self: Identity;
    readonly secret: string;
    readonly timer: Timer;
    readonly events: LinkEvents;
    readonly pingMs?: number;
    readonly silentMs?: number;
}

interface Question {
    readonly resolve: (body: unknown) => void;
    readonly reject: (err: Error) => void;
    readonly cancel: Cancel;
}

const maxBacklogBytes = 32 * 1024 * 1024;

/** A link after or during its handshake. */
export class Link {
    private peer: Identity | undefined;
    private isOpen = false;
    private heardAt: number;
    private nextId = 1;
    private closeReason = CloseReason.Closed;
    private readonly nonce = createNonce();
    private readonly questions = new Map<number, Question>();
    private readonly cancels: Cancel[] = [];

    private constructor(private readonly options: LinkOptions) {
        this.heardAt = options.timer.now();
    }

    static create(options: LinkOptions): Link {
        const link = new Link(options);
        link.listen();
        return link;
    }

    /** The peer's identity once the handshake is complete. */
    get identity(): Identity | undefined {
        return this.isOpen ? this.peer : undefined;
    }

    /** Monotonic time at which the peer was last heard, in milliseconds. */
    get lastHeardAt(): number {
        return this.heardAt;
    }

    /** Sends a message that needs no reply; false when the link cannot take it. */
    notify(topic: string, body: unknown): boolean {
        return this.isOpen && this.send({ kind: FrameKind.Notice, topic, body });
    }

    /** Sends a question. The error of a rejection tells by `wasSent` whether the peer may have received it. */
    async ask(topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const id = this.nextId++;
        if (!this.isOpen || !this.send({ kind: FrameKind.Ask, id, topic, body })) {
            throw new PeerError("the peer link is down; nothing was sent", { props: { wasSent: false } });
        }
        return new Promise((resolve, reject) => {
            const cancel = this.options.timer.after(
                timeoutMs,
                () => this.fail(id, "the peer did not reply in time"),
            );
            this.questions.set(id, { resolve, reject, cancel });
        });
    }

    /** Closes the link. */
    close(reason = CloseReason.Closed): void {
        this.closeReason = reason;
        this.options.socket.terminate();
    }

    private listen(): void {
        const { socket, timer, pingMs = 500, silentMs = 1500 } = this.options;
        socket.on("message", (data: Buffer) => this.receive(data));
        socket.on("pong", () => this.hear());
        socket.on("ping", () => this.hear());
        socket.on("error", () => undefined);
        socket.on("close", () => this.ended());
        this.cancels.push(timer.every(pingMs, () => this.checkSilence(silentMs)));
        if (this.options.end === LinkEnd.Dialing) {
            socket.on("open", () => this.sayHello());
        }
    }

    private checkSilence(silentMs: number): void {
        const { socket, timer } = this.options;
        if (timer.now() - this.heardAt > silentMs) {
            this.close(CloseReason.Silent);
        }
        else if (socket.readyState === WebSocket.OPEN) {
            socket.ping();
        }
    }

    private hear(): void {
        this.heardAt = this.options.timer.now();
    }

    private sayHello(): void {
        const { vm, incarnation } = this.options.self;
        this.send({ kind: FrameKind.Hello, protocol: protocolVersion, vm, incarnation, nonce: this.nonce });
    }

    private receive(data: Buffer): void {
        this.hear();
        const frame = decodeFrame(data);
        if (frame === undefined) {
            this.close(CloseReason.Malformed);
            return;
        }
        if (this.isOpen) {
            this.receiveOpen(frame);
        }
        else {
            this.receiveHandshake(frame);
        }
    }

    private receiveHandshake(frame: Frame): void {
        const { end, secret, self } = this.options;
        if (
            end === LinkEnd.Accepting && frame.kind === FrameKind.Hello && frame.protocol === protocolVersion
        ) {
            this.peer = { vm: frame.vm, incarnation: frame.incarnation };
            this.peerNonce = frame.nonce;
            const mac = proofOf(secret, LinkEnd.Accepting, this.transcript());
            this.send({ kind: FrameKind.Challenge, ...self, nonce: this.nonce, mac });
        }
        else if (end === LinkEnd.Dialing && frame.kind === FrameKind.Challenge) {
            this.peer = { vm: frame.vm, incarnation: frame.incarnation };
            this.peerNonce = frame.nonce;
            this.openIf(sameProof(frame.mac, proofOf(secret, LinkEnd.Accepting, this.transcript())));
        }
        else if (end === LinkEnd.Accepting && frame.kind === FrameKind.Proof && this.peer !== undefined) {
            this.openIf(sameProof(frame.mac, proofOf(secret, LinkEnd.Dialing, this.transcript())));
        }
        else {
            this.close(CloseReason.Rejected);
        }
    }

    private peerNonce = "";

    private transcript(): Parameters<typeof proofOf>[2] {
        const mine = this.options.self.incarnation;
        const theirs = this.peer?.incarnation ?? "";
        return this.options.end === LinkEnd.Dialing
            ? { dialer: mine, acceptor: theirs, dialerNonce: this.nonce, acceptorNonce: this.peerNonce }
            : { dialer: theirs, acceptor: mine, dialerNonce: this.peerNonce, acceptorNonce: this.nonce };
    }

    private openIf(isProven: boolean): void {
        if (!isProven) {
            this.close(CloseReason.Rejected);
            return;
        }
        if (this.options.end === LinkEnd.Dialing) {
            this.send({
                kind: FrameKind.Proof,
                mac: proofOf(this.options.secret, LinkEnd.Dialing, this.transcript()),
            });
        }
        this.isOpen = true;
        this.options.events.opened(this, this.peer!);
    }

    private receiveOpen(frame: Frame): void {
        switch (frame.kind) {
            case FrameKind.Notice:
                this.options.events.noticed(this.peer!, frame.topic, frame.body);
                break;
            case FrameKind.Ask:
                this.answer(frame.id, frame.topic, frame.body);
                break;
            case FrameKind.Reply:
                this.settle(frame.id, frame.ok, frame.body);
                break;
            case FrameKind.Hello:
            case FrameKind.Challenge:
            case FrameKind.Proof:
                this.close(CloseReason.Malformed);
                break;
        }
    }

    private answer(id: number, topic: string, body: unknown): void {
        this.options.events.asked(this.peer!, topic, body).then(
            value => this.send({ kind: FrameKind.Reply, id, ok: true, body: value }),
            (err: unknown) => this.send({ kind: FrameKind.Reply, id, ok: false, body: String(err) }),
        );
    }

    private settle(id: number, ok: boolean, body: unknown): void {
        const question = this.questions.get(id);
        if (question === undefined) {
            return;
        }
        this.questions.delete(id);
        question.cancel();
        if (ok) {
            question.resolve(body);
        }
        else {
            question.reject(new PeerError(String(body), { props: { wasSent: true } }));
        }
    }

    private fail(id: number, message: string): void {
        const question = this.questions.get(id);
        this.questions.delete(id);
        question?.cancel();
        question?.reject(new PeerError(message, { props: { wasSent: true } }));
    }

    private send(frame: Frame): boolean {
        const { socket, events } = this.options;
        if (socket.readyState !== WebSocket.OPEN) {
            return false;
        }
        if (socket.bufferedAmount > maxBacklogBytes) {
            this.close(CloseReason.Backlog);
            return false;
        }
        const bytes = encodeFrame(frame);
        events.sent(bytes.length);
        socket.send(bytes);
        return true;
    }

    private ended(): void {
        this.isOpen = false;
        this.cancels.forEach(cancel => cancel());
        [...this.questions.keys()].forEach(id => this.fail(id, "the peer link closed before the reply"));
        this.options.events.closed(this, this.closeReason);
    }
}
