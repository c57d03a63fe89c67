/** One request of a caller with its answer, and an account of what is held for them. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { declaredBytes } from "./declared-bytes.js";
import type { RefusalCause } from "./limit-report.js";

/** How far the body of a request is. */
export enum BodyStage {
    /** The request has none, or all of it was read. */
    Complete = "complete",
    /** The handler has not asked for it. */
    Unread = "unread",
    Reading = "reading",
    /** No more of it is read, and the connection is closed with the answer. */
    Abandoned = "abandoned",
}

/** The connection of an exchange. */
export interface ExchangeHost {
    /** Monotonic time in milliseconds. */
    now(): number;
    /** Accounts bytes; false when there is no room for them. */
    hold(bytes: number): boolean;
    /** Accounts bytes that are held already, or no longer if negative. */
    adjust(bytes: number): void;
    /** Called when a body is asked for. */
    beginBody(exchange: Exchange): void;
    /** Called when no more of a body is read. */
    abandonBody(cause: RefusalCause): void;
}

const msPerSecond = 1000;
/** Largest declared body that is read and discarded after an answer that did not wait for it, in bytes. */
const maxSkippedBytes = 64 * 1024;

/** A request that is being handled, or waits for its turn on its connection. */
export class Exchange {
    bodyStage: BodyStage;
    /** Bytes parsed since the header was complete, with the framing of chunks. */
    parsedBytes = 0;
    isStarted = false;
    isHandled = false;
    isAnswerClosed = false;
    private bodyBytes = 0;
    private receivedCount = 0;
    private readingSince = 0;
    private answerBytes = 0;
    private answerSince: number | undefined;
    /** Whether the answer closes the connection only because the body was not read so far. */
    private closesUnlessRead = false;
    private refuseReading: (cause: RefusalCause) => void = () => undefined;

    constructor(
        readonly req: IncomingMessage,
        readonly res: ServerResponse,
        private readonly host: ExchangeHost,
    ) {
        const declared = declaredBytes(req);
        const hasBody = req.headers["transfer-encoding"] !== undefined || (declared ?? 0) > 0;
        this.bodyStage = hasBody ? BodyStage.Unread : BodyStage.Complete;
        if (hasBody && (declared ?? Infinity) > maxSkippedBytes) {
            this.closesUnlessRead = !res.hasHeader("connection");
            res.setHeader("connection", "close");
        }
    }

    /** Whether the answer was sent, or cannot be sent any more, and the handler has ended. */
    get hasEnded(): boolean {
        return this.isAnswerClosed && (this.isHandled || !this.isStarted);
    }

    /** Bytes of the body that have arrived. */
    get receivedBytes(): number {
        return this.receivedCount;
    }

    /** Bytes that closing the connection would free. */
    get evictableBytes(): number {
        return this.answerBytes + (this.bodyStage === BodyStage.Reading ? this.bodyBytes : 0);
    }

    /** Whether its body is being read, so that it can be refused. */
    get isRefusable(): boolean {
        return this.bodyStage === BodyStage.Reading && !this.res.headersSent;
    }

    /** Whether the handler has yet to ask for the body. */
    get isBodyUnread(): boolean {
        return this.bodyStage === BodyStage.Unread && !this.req.complete && !this.isAnswerClosed;
    }

    /**
     * Time by which the caller is behind a rate in sending the body or reading the answer, in milliseconds; negative when
     * it is faster.
     */
    lagMs(bytesPerS: number): number {
        const now = this.host.now();
        const bodyLagMs = this.bodyStage === BodyStage.Reading
            ? now - this.readingSince - this.receivedCount / bytesPerS * msPerSecond
            : -Infinity;
        return Math.max(bodyLagMs, this.answerLagMs(bytesPerS));
    }

    /** Time by which the caller is behind a rate in reading the answer, in milliseconds. */
    answerLagMs(bytesPerS: number): number {
        return this.answerSince === undefined
            ? -Infinity
            : this.host.now() - this.answerSince - this.answerBytes / bytesPerS * msPerSecond;
    }

    /** Begins to read the body; `refuse` is called, at most once, when reading must end with a refusal. */
    beginBody(refuse: (cause: RefusalCause) => void): void {
        if (this.bodyStage === BodyStage.Unread) {
            this.bodyStage = BodyStage.Reading;
            this.readingSince = this.host.now();
            this.refuseReading = refuse;
            this.host.beginBody(this);
        }
    }

    /** Accounts for a body whose buffer grows to `bodyBytes` bytes; false when there is no room for it. */
    holdBody(bodyBytes: number, receivedBytes: number): boolean {
        const grown = bodyBytes - this.bodyBytes;
        if (grown > 0 && !this.host.hold(grown)) {
            return false;
        }
        this.bodyBytes = bodyBytes;
        this.receivedCount = receivedBytes;
        return true;
    }

    endBody(): void {
        if (this.bodyStage === BodyStage.Reading) {
            this.bodyStage = BodyStage.Complete;
            this.refuseReading = () => undefined;
            if (this.closesUnlessRead && !this.res.headersSent) {
                this.res.removeHeader("connection");
            }
        }
    }

    /** Reads no more of the body; the connection is closed with the answer. */
    abandonBody(cause: RefusalCause): void {
        this.bodyStage = BodyStage.Abandoned;
        this.refuseReading = () => undefined;
        this.host.adjust(-this.bodyBytes);
        this.bodyBytes = 0;
        if (!this.res.headersSent) {
            this.res.setHeader("connection", "close");
        }
        this.host.abandonBody(cause);
    }

    /** Ends the reading of the body; the handler then sends the refusal. */
    refuse(cause: RefusalCause): void {
        this.refuseReading(cause);
    }

    /** Accounts for a complete answer, and when the caller could begin to read it. */
    recordAnswer(): void {
        const { res } = this;
        if (!res.writableEnded || res.writableFinished || this.isAnswerClosed) {
            return;
        }
        if (this.answerBytes === 0) {
            this.answerBytes = res.writableLength;
            this.host.adjust(this.answerBytes);
        }
        // An answer has a socket once those before it are sent, whose delay is not the caller's fault.
        if (res.socket) {
            this.answerSince ??= this.host.now();
        }
    }

    /** Ends the account. */
    release(): void {
        this.host.adjust(-this.bodyBytes - this.answerBytes);
        this.bodyBytes = 0;
        this.answerBytes = 0;
    }
}
