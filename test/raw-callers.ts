/** Callers on raw TCP connections to loopback that need not follow HTTP, with bounds on connections and bytes. */
import { readFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

/** Options of `RawCallers.send`. */
export interface RawCallersOptions {
    readonly port: number;
    readonly connections: number;
    /** What each connection sends, in order. */
    readonly pieces: () => Iterable<Buffer>;
}

const address = "127.0.0.1";
/** Time without progress on any connection after which the server counts as not reading on; Linux repeats a SYN after 1 s. */
const stallMs = 1200;
/** Time after which the callers send nothing more. */
const maxSendMs = 5000;
const pollMs = 25;
/** Connections that are opened at once: less than the 511 that Node lets wait to be accepted, beyond which Linux drops some. */
const connectionsPerGroup = 250;
/** Time for which a group of connections may wait to be accepted before the next group is opened regardless. */
const acceptTimeoutMs = 1000;
/** Code of a listening socket in `/proc/net/tcp`, whose receive queue counts connections that wait to be accepted. */
const listenState = "0A";

/** Connections that send and never read. */
export class RawCallers {
    private readonly connections: RawConnection[] = [];

    private constructor() {}

    /**
     * Opens the connections and sends; resolves when each connection has sent everything or was closed, or when the
     * server reads from none of them any more. The connections stay open until `close`.
     */
    static async send({ port, connections, pieces }: RawCallersOptions): Promise<RawCallers> {
        const callers = new RawCallers();
        for (let i = 1; i <= connections; i++) {
            callers.connections.push(new RawConnection(port, pieces()[Symbol.iterator]()));
            if (i % connectionsPerGroup === 0 || i === connections) {
                await callers.waitUntilAccepted(port);
            }
        }
        await callers.waitUntilSent();
        return callers;
    }

    /** Number of connections that are open as far as the callers know. */
    get openCount(): number {
        return this.connections.filter(({ isClosed }) => !isClosed).length;
    }

    /** Bytes that were handed to the system. */
    get sentBytes(): number {
        return this.connections.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
    }

    close(): void {
        this.connections.forEach(connection => connection.close());
    }

    private async waitUntilAccepted(port: number): Promise<void> {
        const deadline = performance.now() + acceptTimeoutMs;
        const isConnecting = (): boolean => this.connections.some(connection => connection.isConnecting);
        while ((isConnecting() || countUnaccepted(port) > 0) && performance.now() < deadline) {
            await pause(pollMs);
        }
    }

    private async waitUntilSent(): Promise<void> {
        const startedAt = performance.now();
        let progressAt = startedAt;
        let before = "";
        while (this.connections.some(({ isDone }) => !isDone)) {
            const now = performance.now();
            const progress = `${this.sentBytes} ${this.openCount}`;
            if (progress !== before) {
                before = progress;
                progressAt = now;
            }
            if (now - progressAt > stallMs || now - startedAt > maxSendMs) {
                break;
            }
            await pause(pollMs);
        }
        this.connections.forEach(connection => connection.stopSending());
    }
}

/** One connection. */
class RawConnection {
    isClosed = false;
    private hasSentAll = false;
    private isStopped = false;
    private readonly socket: Socket;

    constructor(port: number, private readonly pieces: Iterator<Buffer>) {
        this.socket = connect({ port, host: address, noDelay: true });
        // Nothing reads from the socket, so that answers fill the buffers of the system.
        this.socket.pause();
        this.socket.on("error", () => undefined);
        this.socket.once("close", () => this.isClosed = true);
        this.socket.once("connect", () => this.sendMore());
        this.socket.on("drain", () => this.sendMore());
    }

    get sentBytes(): number {
        return this.socket.bytesWritten - this.socket.writableLength;
    }

    get isConnecting(): boolean {
        return this.socket.connecting;
    }

    get isDone(): boolean {
        return this.isClosed || this.hasSentAll && this.socket.writableLength === 0;
    }

    stopSending(): void {
        this.isStopped = true;
    }

    close(): void {
        this.socket.destroy();
    }

    private sendMore(): void {
        while (!this.isStopped && !this.isClosed) {
            const next = this.pieces.next();
            if (next.done === true) {
                this.hasSentAll = true;
                return;
            }
            if (!this.socket.write(next.value)) {
                return;
            }
        }
    }
}

/** Number of connections to a port of 127.0.0.1 that the listening process has not accepted yet. */
function countUnaccepted(port: number): number {
    const local = `0100007F:${port.toString(16).toUpperCase().padStart(4, "0")}`;
    const rows = readFileSync("/proc/net/tcp", "utf8").split("\n").map(row => row.trim().split(/\s+/));
    const listener = rows.find(row => row[1] === local && row[3] === listenState);
    return Number.parseInt(listener?.[4]?.split(":")[1] ?? "0", 16);
}

/** Options of `sendSlowly`. */
export interface SlowSendOptions {
    readonly port: number;
    readonly request: Buffer;
    readonly pieceBytes: number;
    /** Time between two pieces, in milliseconds. */
    readonly intervalMs: number;
}

/** Sends one request piece by piece and returns the status of its answer, 0 if there was none. */
export async function sendSlowly(
    { port, request, pieceBytes, intervalMs }: SlowSendOptions,
): Promise<number> {
    const socket = connect({ port, host: address, noDelay: true });
    let answer = "";
    let isClosed = false;
    socket.on("error", () => undefined);
    socket.once("close", () => isClosed = true);
    socket.on("data", (data: Buffer) => answer += data.toString("latin1"));
    for (let at = 0; at < request.length && !isClosed && answer === ""; at += pieceBytes) {
        socket.write(request.subarray(at, at + pieceBytes));
        await pause(intervalMs);
    }
    const deadline = performance.now() + maxSendMs;
    while (!answer.includes("\r\n") && !isClosed && performance.now() < deadline) {
        await pause(pollMs);
    }
    socket.destroy();
    return Number(/^HTTP\/1\.1 (\d{3}) /.exec(answer)?.[1] ?? 0);
}

/** Repeats a buffer `count` times; the copies share their memory. */
export function* repeat(piece: Buffer, count: number): Generator<Buffer> {
    for (let i = 0; i < count; i++) {
        yield piece;
    }
}

/** One buffer with `count` copies of a text. */
export function copies(text: string, count: number): Buffer {
    return Buffer.from(text.repeat(count), "latin1");
}

/** A chunk of a chunked body. */
export function chunkOf(size: number): string {
    return `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`;
}
