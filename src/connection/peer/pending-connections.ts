/** Bounds on connections to the peer listener whose other ends have not yet proved that they know the secret. */
import type { Socket } from "node:net";
import { EventId, Severity } from "../../process/events.js";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import type { Timer } from "../../process/timer.js";

/** Why a connection was closed before its handshake was complete. */
export enum PendingRefusal {
    /** It was the oldest one when there were too many. */
    Connections = "connections",
    /** It sent more than a handshake takes. */
    Bytes = "bytes",
    Timeout = "timeout",
    /** It sent an HTTP request other than the opening handshake of a WebSocket. */
    Request = "request",
}

/** Options of `PendingConnections.create`. */
export interface PendingConnectionsOptions {
    readonly timer: Timer;
    readonly metrics: Metrics;
    readonly log: Log;
    /** Connections that may be pending at once; an entry has a dozen links, and a hundred peers may dial at once. */
    readonly maxConnections?: number;
    /** Bytes after which a pending connection may send no more; a handshake takes about 1 KB. */
    readonly maxBytes?: number;
    /** Time within which the handshake must be complete, in milliseconds. */
    readonly timeoutMs?: number;
}

interface Pending {
    /** Monotonic time in milliseconds. */
    readonly since: number;
    receivedBytes: number;
    readonly stopCounting: () => void;
}

const defaultMaxConnections = 128;
const defaultMaxBytes = 16 * 1024;
const defaultTimeoutMs = 5000;
const logIntervalMs = 1000;

/** Pending connections, the oldest first. */
export class PendingConnections {
    private readonly pending = new Map<Socket, Pending>();
    private readonly refused = new Map<PendingRefusal, number>();
    private loggedAt = -Infinity;

    private constructor(private readonly options: PendingConnectionsOptions) {}

    static create(options: PendingConnectionsOptions): PendingConnections {
        return new PendingConnections(options);
    }

    /** Takes a connection that was just accepted. */
    add(socket: Socket): void {
        const { timer, maxConnections = defaultMaxConnections, maxBytes = defaultMaxBytes } = this.options;
        const [oldest] = this.pending.keys();
        if (oldest !== undefined && this.pending.size >= maxConnections) {
            this.refuse(oldest, PendingRefusal.Connections);
        }
        const count = (chunk: Buffer): void => {
            // A peer may send messages right behind its proof; they count only if the proof was not among what came before.
            if (pending.receivedBytes > maxBytes) {
                this.refuse(socket, PendingRefusal.Bytes);
            }
            pending.receivedBytes += chunk.length;
        };
        const pending: Pending = {
            since: timer.now(),
            receivedBytes: 0,
            stopCounting: () => socket.off("data", count),
        };
        this.pending.set(socket, pending);
        socket.prependListener("data", count);
        socket.once("close", () => this.pending.delete(socket));
    }

    /** Bounds a connection no longer, since its handshake is complete. */
    admit(socket: Socket): void {
        this.pending.get(socket)?.stopCounting();
        this.pending.delete(socket);
    }

    /** Closes a pending connection. */
    refuse(socket: Socket, reason: PendingRefusal): void {
        if (this.pending.delete(socket)) {
            this.options.metrics.count("celerywind_peer_connections_refused_total", { reason });
            this.refused.set(reason, (this.refused.get(reason) ?? 0) + 1);
        }
        socket.destroy();
    }

    /** Closes the connections whose handshake takes too long, and logs what was closed, at most once a second. */
    check(): void {
        const { timer, log, timeoutMs = defaultTimeoutMs } = this.options;
        const now = timer.now();
        for (const [socket, { since }] of this.pending) {
            if (now - since <= timeoutMs) {
                break;
            }
            this.refuse(socket, PendingRefusal.Timeout);
        }
        if (this.refused.size > 0 && now - this.loggedAt >= logIntervalMs) {
            this.loggedAt = now;
            const closed = [...this.refused].map(([reason, count]) => `${reason} ${count}`).join(", ");
            log.write(Severity.Warn, EventId.PeerConnectionsRefused, { closed, pending: this.pending.size });
            this.refused.clear();
        }
    }
}
