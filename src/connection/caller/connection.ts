/** One connection of a caller: its requests in their order, and an account of what is held for it. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Timer } from "../../process/timer.js";
import { ByteAccount } from "./byte-account.js";
import { declaredBytes } from "./declared-bytes.js";
import { Exchange, type ExchangeHost } from "./exchange.js";
import { Expendability } from "./expendability.js";
import { CloseCause, RefusalCause } from "./limit-report.js";
import type { CallerLimits } from "./limits.js";
import { PacedInput, pieceBytes } from "./paced-input.js";
import { retryAfterS, sendRefusal } from "./refusal.js";

/** Handles a request; a promise settles when nothing works on the request any more. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

/** Accounts of all connections of a listener together. */
export interface SharedAccounts {
    readonly limits: CallerLimits;
    readonly timer: Timer;
    readonly onRequest: RequestHandler;
    /** Requests that one connection may have handled at once now. */
    readonly requestShare: number;
    /** Accounts a request; false at the limit. */
    openRequest(): boolean;
    closeRequest(): void;
    /** Accounts bytes for a connection; false when only worse-behaved callers could make room and there are none. */
    hold(bytes: number, holder: CallerConnection): boolean;
    /** Accounts bytes that are held already, or no longer if negative. */
    adjust(bytes: number): void;
    recordRefusal(cause: RefusalCause): void;
    recordClose(cause: CloseCause): void;
    /** Records that a handler failed otherwise than by an answer. */
    recordFault(err: unknown): void;
    remove(connection: CallerConnection): void;
}

const maxHeaderBytes = 16 * 1024;
/** Memory for each byte of an incomplete header: the parser keeps short lines as strings of some 40 bytes each. */
const headerWeight = 4;
/** Time for which a connection that was refused is kept so that its caller can read the answer, in milliseconds. */
const lingerMs = 1000;
/** What a refused caller may still send before its connection is closed at once, in bytes. */
const maxDiscardedBytes = 256 * 1024;

const connections = new WeakMap<Socket, CallerConnection>();

/** A connection of a caller. */
export class CallerConnection {
    private readonly exchanges = new Map<IncomingMessage, Exchange>();
    private readonly input: PacedInput;
    private current: Exchange | undefined;
    private readonly host: ExchangeHost;
    /** Bytes that the parser may hold of an incomplete header or trailer. */
    private readonly parserBytes: ByteAccount;
    /** Bytes that wait to be parsed. */
    private readonly waitingBytes: ByteAccount;
    private hasSentRequest = false;
    /** Monotonic time of the connection's last request or answer, in milliseconds. */
    private activeAt: number;
    private lingersSince: number | undefined;
    /** Whether the piece that is parsed now has completed the header of a request. */
    private hasOpened = false;
    /** Whether the body of a request was incomplete after the last piece. */
    private wasBodyOpen = false;
    private isDisposed = false;

    private constructor(private readonly socket: Socket, private readonly shared: SharedAccounts) {
        this.activeAt = shared.timer.now();
        this.host = {
            now: () => shared.timer.now(),
            hold: bytes => shared.hold(bytes, this),
            adjust: bytes => shared.adjust(bytes),
            beginBody: exchange => {
                this.input.expectBody((declaredBytes(exchange.req) ?? 0) - pieceBytes);
                this.input.resume();
            },
            abandonBody: cause => {
                shared.recordRefusal(cause);
                this.stopParsing(cause);
            },
        };
        this.parserBytes = ByteAccount.create(this.host);
        this.waitingBytes = ByteAccount.create(this.host);
        this.input = PacedInput.create({
            socket,
            timer: shared.timer,
            isFull: () => this.isFull(),
            onParsed: bytes => this.recordParsed(bytes),
            onWaiting: bytes => this.account(this.waitingBytes, bytes),
            onDiscardLimit: () => socket.destroy(),
        });
        const destroySoon = socket.destroySoon.bind(socket);
        // Closing a socket with unread input resets the connection, and the caller may lose the answer.
        socket.destroySoon = () => this.hasUnreadInput() ? this.linger() : destroySoon();
        socket.once("close", () => this.dispose());
    }

    static create(socket: Socket, shared: SharedAccounts): CallerConnection {
        const connection = new CallerConnection(socket, shared);
        connections.set(socket, connection);
        return connection;
    }

    /** The connection of a socket; undefined if its listener keeps no accounts. */
    static of(socket: Socket): CallerConnection | undefined {
        return connections.get(socket);
    }

    /** Whether requests of this connection are handled or wait. */
    get isBusy(): boolean {
        return this.exchanges.size > 0;
    }

    /** Bytes that closing the connection would free. */
    get evictableBytes(): number {
        let bytes = this.parserBytes.bytes + this.waitingBytes.bytes;
        for (const exchange of this.exchanges.values()) {
            bytes += exchange.evictableBytes;
        }
        return bytes;
    }

    /** Longest time by which the caller is behind the expected rate, in milliseconds. */
    get lagMs(): number {
        let lagMs = this.isBusy ? -Infinity : this.shared.timer.now() - this.activeAt;
        for (const exchange of this.exchanges.values()) {
            lagMs = Math.max(lagMs, exchange.lagMs(this.shared.limits.minBytesPerS));
        }
        return lagMs;
    }

    get expendability(): Expendability {
        if (this.lingersSince !== undefined) {
            return Expendability.Lingering;
        }
        if (!this.isBusy) {
            return this.hasSentRequest ? Expendability.Idle : Expendability.Unused;
        }
        return this.lagMs > 0 ? Expendability.Slow : Expendability.Busy;
    }

    /** Takes a request that the parser has read. */
    open(req: IncomingMessage, res: ServerResponse): void {
        if (this.input.isDiscarding) {
            return;
        }
        this.hasSentRequest = true;
        this.hasOpened = true;
        if (req.httpVersion === "1.1" && req.headers.host === undefined) {
            this.refuse(res, 400, RefusalCause.Malformed);
            return;
        }
        if (!this.shared.openRequest()) {
            this.refuse(res, 503, RefusalCause.Requests);
            return;
        }
        const exchange = new Exchange(req, res, this.host);
        this.exchanges.set(req, exchange);
        this.current = exchange;
        this.account(this.parserBytes, 0);
        res.once("close", () => this.endAnswer(exchange));
        this.startNext();
    }

    /** The exchange of a request; undefined when it has ended. */
    exchangeOf(req: IncomingMessage): Exchange | undefined {
        return this.exchanges.get(req);
    }

    /** Answers input that is not HTTP, or not complete in time, and closes the connection. */
    reject(statusLine: string): void {
        if (!this.socket.writable || this.isBusy || this.input.isDiscarding) {
            this.socket.destroy();
            return;
        }
        this.socket.write(`HTTP/1.1 ${statusLine}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
        this.linger();
    }

    /** Frees what can be freed: refuses a body that is being read, or else closes the connection. */
    evict(cause: CloseCause): void {
        const { current } = this;
        if (current?.isRefusable === true) {
            const { minBytesPerS, graceMs } = this.shared.limits;
            current.refuse(
                current.lagMs(minBytesPerS) > graceMs ? RefusalCause.Slow : RefusalCause.HeldBytes,
            );
            return;
        }
        this.close(cause);
    }

    close(cause: CloseCause): void {
        if (this.lingersSince === undefined) {
            this.shared.recordClose(cause);
        }
        this.dispose();
        this.socket.destroy();
    }

    /** Closes the connection if its caller does not read its answers, or was refused some time ago. */
    check(): void {
        const { lingersSince, shared } = this;
        if (lingersSince !== undefined && shared.timer.now() - lingersSince > lingerMs) {
            this.socket.destroy();
            return;
        }
        this.input.recount();
        const { minBytesPerS, graceMs } = shared.limits;
        for (const exchange of this.exchanges.values()) {
            exchange.recordAnswer();
            if (exchange.answerLagMs(minBytesPerS) > graceMs) {
                this.close(CloseCause.UnreadAnswer);
                return;
            }
        }
        this.startNext();
    }

    /** Whether no more input may be parsed: requests wait for their turn, or a body for being asked for. */
    private isFull(): boolean {
        return this.current?.isBodyUnread === true || this.exchanges.size >= this.shared.requestShare;
    }

    private hasUnreadInput(): boolean {
        return this.input.isDiscarding || this.current?.req.complete === false;
    }

    /** Starts requests in their order, as many as the connection's share allows. */
    private startNext(): void {
        let startedCount = 0;
        for (const exchange of this.exchanges.values()) {
            if (startedCount++ >= this.shared.requestShare) {
                break;
            }
            if (!exchange.isStarted) {
                exchange.isStarted = true;
                void this.run(exchange);
            }
        }
        this.input.resume();
    }

    private async run(exchange: Exchange): Promise<void> {
        try {
            await this.shared.onRequest(exchange.req, exchange.res);
        }
        catch (err) {
            this.shared.recordFault(err);
            exchange.res.destroy();
        }
        exchange.isHandled = true;
        exchange.recordAnswer();
        this.endIfDone(exchange);
    }

    private endAnswer(exchange: Exchange): void {
        exchange.isAnswerClosed = true;
        this.activeAt = this.shared.timer.now();
        this.endIfDone(exchange);
    }

    private endIfDone(exchange: Exchange): void {
        if (exchange.hasEnded && this.exchanges.delete(exchange.req)) {
            exchange.release();
            this.shared.closeRequest();
            if (this.current === exchange && exchange.req.complete) {
                this.current = undefined;
            }
            if (!this.isDisposed) {
                this.startNext();
            }
        }
    }

    /** Refuses a request that was not handled, and closes the connection with the answer. */
    refuse(res: ServerResponse, status: number, cause: RefusalCause): void {
        this.shared.recordRefusal(cause);
        sendRefusal(res, status, cause);
        this.stopParsing(cause);
    }

    /** Parses no more. What is refused since bytes are short must not cost more of them. */
    private stopParsing(cause?: RefusalCause): void {
        const isShort = cause === RefusalCause.HeldBytes || cause === RefusalCause.Slow;
        this.input.discard(isShort ? 0 : maxDiscardedBytes);
        this.account(this.parserBytes, 0);
    }

    /** Ends the sending side, and discards what the caller sends until it closes its side. */
    private linger(): void {
        this.stopParsing();
        this.lingersSince ??= this.shared.timer.now();
        this.socket.end();
        this.input.drain();
    }

    /** Accounts for input that was parsed, of which the parser may hold all that is part of a header or trailer. */
    private recordParsed(bytes: number): void {
        const { current } = this;
        if (this.input.isDiscarding || this.socket.destroyed) {
            return;
        }
        const isBodyOpen = current !== undefined && !current.req.complete;
        const hasAdvanced = this.hasOpened || (this.wasBodyOpen && !isBodyOpen);
        this.hasOpened = false;
        this.wasBodyOpen = isBodyOpen;
        if (hasAdvanced) {
            this.account(this.parserBytes, 0);
        }
        else if (!isBodyOpen) {
            const heldBytes = this.parserBytes.bytes + headerWeight * bytes;
            this.account(this.parserBytes, Math.min(headerWeight * maxHeaderBytes, heldBytes));
        }
        else if (declaredBytes(current.req) === undefined) {
            current.parsedBytes += bytes;
            const framingBytes = Math.max(0, current.parsedBytes - current.receivedBytes);
            this.account(this.parserBytes, Math.min(maxHeaderBytes, framingBytes));
        }
    }

    /** Accounts for input; when there is no room, closes the connection. */
    private account(account: ByteAccount, bytes: number): void {
        if (account.set(bytes)) {
            return;
        }
        if (this.isBusy) {
            this.close(CloseCause.HeldBytes);
        }
        else {
            this.shared.recordRefusal(RefusalCause.HeldBytes);
            this.reject(`503 Service Unavailable\r\nretry-after: ${retryAfterS}`);
        }
    }

    private dispose(): void {
        if (this.isDisposed) {
            return;
        }
        this.isDisposed = true;
        this.input.discard(0);
        this.account(this.parserBytes, 0);
        for (const exchange of [...this.exchanges.values()]) {
            exchange.isAnswerClosed = true;
            this.endIfDone(exchange);
        }
        this.shared.remove(this);
    }
}
