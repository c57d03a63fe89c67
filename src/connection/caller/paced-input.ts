/**
 * Passes what arrives on a connection to Node's HTTP parser in pieces. Node reads up to 64 KB at once and creates a request
 * for each that is in them, some thousands if they are short, however many of them are unanswered.
 */
import type { Socket } from "node:net";
import type { Timer } from "../../process/timer.js";

/** Options of `PacedInput.create`. */
export interface PacedInputOptions {
    readonly socket: Socket;
    readonly timer: Timer;
    /** Whether no more may be parsed now. */
    readonly isFull: () => boolean;
    /** Called after each piece that was parsed, with its size in bytes. */
    readonly onParsed: (bytes: number) => void;
    /** Called with the number of bytes that wait unparsed, whenever it may have changed. */
    readonly onWaiting: (bytes: number) => void;
    /** Called when more bytes were discarded than `discard` allows. */
    readonly onDiscardLimit: () => void;
}

/** Size of a piece, in bytes; it holds 28 of the shortest requests. */
export const pieceBytes = 512;

/** Time after which other connections get their turn, in milliseconds. Thousands of requests or chunks take longer. */
const sliceMs = 0.5;

type Listener = (chunk: Buffer) => void;

/** Input of one connection. */
export class PacedInput {
    private readonly parse: Listener;
    /** Whether this input, not Node, has paused the socket. */
    private isHeld = false;
    private resumption: NodeJS.Immediate | undefined;
    /** Bytes that are known to belong to one body, and are parsed without further checks. */
    private bulkBytes = 0;
    private isDraining = false;
    /** Bytes that may still be discarded; undefined while input is parsed. */
    private discardable: number | undefined;

    private constructor(private readonly options: PacedInputOptions) {
        const { socket } = options;
        // Node's server has registered its parser as the listener of the socket's data; this input takes its place.
        const [parse] = socket.listeners("data") as Listener[];
        if (parse === undefined) {
            throw new Error("the HTTP server does not listen to its socket; run a supported version of Node");
        }
        this.parse = parse;
        socket.removeListener("data", parse);
        socket.on("data", (chunk: Buffer) => this.receive(chunk));
    }

    static create(options: PacedInputOptions): PacedInput {
        return new PacedInput(options);
    }

    get isDiscarding(): boolean {
        return this.discardable !== undefined;
    }

    /** Corrects the number of bytes that wait; a socket that is paused may read once more. */
    recount(): void {
        const { socket, onWaiting } = this.options;
        if (!this.isDiscarding && socket.isPaused()) {
            onWaiting(socket.readableLength);
        }
    }

    /** Announces that the next `bytes` bytes belong to a body. */
    expectBody(bytes: number): void {
        this.bulkBytes = Math.max(0, bytes);
    }

    /** Goes on with what waits in the next turn of the event loop, unless it is still full. */
    resume(): void {
        if (this.isHeld && !this.options.isFull()) {
            this.scheduleResume();
        }
    }

    /** Discards all further input unparsed, up to `maxBytes` bytes. */
    discard(maxBytes: number): void {
        this.discardable ??= maxBytes;
        this.options.onWaiting(0);
    }

    /** Reads on so that input is discarded and the end of the connection is noticed. */
    drain(): void {
        this.clearHold();
        this.isDraining = true;
        this.options.socket.resume();
    }

    private scheduleResume(): void {
        this.resumption ??= setImmediate(() => {
            this.resumption = undefined;
            this.isHeld = false;
            this.options.socket.resume();
        });
    }

    private receive(chunk: Buffer): void {
        const { socket, timer, isFull, onParsed, onWaiting } = this.options;
        if (this.resumption !== undefined && !this.isDiscarding) {
            // Node resumes the socket whenever a body is read, also before this connection's next turn.
            this.putBack(chunk);
            return;
        }
        this.clearHold();
        const sliceEnd = timer.now() + sliceMs;
        let at = 0;
        while (at < chunk.length && !this.isDiscarding && !socket.destroyed) {
            // Node pauses the socket itself while answers or bodies are not read.
            if (socket.isPaused() || isFull()) {
                this.putBack(chunk.subarray(at));
                return;
            }
            const piece = chunk.subarray(at, at + Math.max(pieceBytes, this.bulkBytes));
            at += piece.length;
            this.bulkBytes = Math.max(0, this.bulkBytes - piece.length);
            this.parse(piece);
            onParsed(piece.length);
            if (timer.now() > sliceEnd && at < chunk.length && !this.isDiscarding && !socket.isPaused()) {
                this.putBack(chunk.subarray(at));
                this.scheduleResume();
                return;
            }
        }
        if (this.isDiscarding) {
            this.drop(chunk.length - at);
            return;
        }
        onWaiting(0);
        if (!socket.isPaused() && isFull()) {
            this.hold();
        }
    }

    /** Keeps input that cannot be parsed now; the caller's further input stays in the system's buffers. */
    private putBack(rest: Buffer): void {
        const { socket, onWaiting } = this.options;
        if (!socket.isPaused()) {
            this.hold();
        }
        socket.unshift(rest);
        onWaiting(rest.buffer.byteLength);
    }

    /** Forgets a pause of this input. */
    private clearHold(): void {
        this.isHeld = false;
        clearImmediate(this.resumption);
        this.resumption = undefined;
    }

    private hold(): void {
        this.isHeld = true;
        this.options.socket.pause();
    }

    /** Discards input; before the answer is sent, reads no more, since each read costs memory until it is collected. */
    private drop(bytes: number): void {
        if (!this.isDraining) {
            this.options.socket.pause();
            return;
        }
        this.discardable = (this.discardable ?? 0) - bytes;
        if (this.discardable < 0) {
            this.options.onDiscardLimit();
        }
    }
}
