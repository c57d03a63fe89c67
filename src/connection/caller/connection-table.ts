/** The connections of one listener, and the bounds on what is held for all of them together. */
import type { Socket } from "node:net";
import type { Timer } from "../../process/timer.js";
import { CallerConnection, type RequestHandler, type SharedAccounts } from "./connection.js";
import { Expendability } from "./expendability.js";
import { CloseCause, type LimitReport, type ListenerFigures, RefusalCause } from "./limit-report.js";
import type { CallerLimits } from "./limits.js";

/** Options of `ConnectionTable.create`. */
export interface ConnectionTableOptions {
    readonly limits: CallerLimits;
    readonly timer: Timer;
    readonly report: LimitReport;
    readonly onRequest: RequestHandler;
}

/** Part of the requests' limit up to which a connection may use its full share. */
const calmFraction = 0.5;

/** Table of open connections. */
export class ConnectionTable implements SharedAccounts {
    readonly limits: CallerLimits;
    readonly timer: Timer;
    readonly onRequest: RequestHandler;
    private readonly connections = new Set<CallerConnection>();
    private heldBytes = 0;
    private requestCount = 0;

    private constructor(private readonly options: ConnectionTableOptions) {
        ({ limits: this.limits, timer: this.timer, onRequest: this.onRequest } = options);
    }

    static create(options: ConnectionTableOptions): ConnectionTable {
        return new ConnectionTable(options);
    }

    get figures(): ListenerFigures {
        return {
            connections: this.connections.size,
            requests: this.requestCount,
            heldBytes: this.heldBytes,
        };
    }

    /** Beyond the calm part of the limit, connections that sent one request at a time come before those that sent many. */
    get requestShare(): number {
        return this.requestCount < this.limits.requests * calmFraction
            ? this.limits.requestsPerConnection
            : 1;
    }

    /** Accepts a connection; when the table is full, in place of the most expendable one, or not at all. */
    add(socket: Socket): void {
        if (this.connections.size >= this.limits.connections) {
            const expendable = this.mostExpendable();
            if (expendable === undefined) {
                this.recordRefusal(RefusalCause.Connections);
                socket.end("HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n\r\n");
                socket.destroySoon();
                return;
            }
            expendable.close(CloseCause.Connections);
        }
        this.connections.add(CallerConnection.create(socket, this));
    }

    remove(connection: CallerConnection): void {
        this.connections.delete(connection);
    }

    openRequest(): boolean {
        if (this.requestCount >= this.limits.requests) {
            return false;
        }
        this.requestCount++;
        return true;
    }

    closeRequest(): void {
        this.requestCount--;
    }

    hold(bytes: number, holder: CallerConnection): boolean {
        while (this.heldBytes + bytes > this.limits.heldBytes) {
            const worst = this.worstHolder(holder, bytes);
            if (worst === undefined) {
                return false;
            }
            worst.evict(CloseCause.HeldBytes);
        }
        this.heldBytes += bytes;
        return true;
    }

    adjust(bytes: number): void {
        this.heldBytes += bytes;
    }

    recordRefusal(cause: RefusalCause): void {
        this.options.report.recordRefusal(cause);
    }

    recordClose(cause: CloseCause): void {
        this.options.report.recordClose(cause);
    }

    recordFault(err: unknown): void {
        this.options.report.recordFault(err);
    }

    /** Closes connections whose callers do not read their answers, and logs what was refused; called every second. */
    check(): void {
        [...this.connections].forEach(connection => connection.check());
        this.options.report.flush(this.figures);
    }

    /** The connection to close when another one needs its place; undefined when all are busy. */
    private mostExpendable(): CallerConnection | undefined {
        let found: { connection: CallerConnection; expendability: Expendability; lagMs: number } | undefined;
        for (const connection of this.connections) {
            const { expendability, lagMs } = connection;
            if (
                expendability > (found?.expendability ?? Expendability.Busy)
                || (expendability === found?.expendability && lagMs > found.lagMs)
            ) {
                found = { connection, expendability, lagMs };
            }
        }
        return found?.connection;
    }

    /**
     * The connection that has to make room for `bytes` bytes of `holder`: the one that is furthest behind the expected
     * rate, if any is beyond the grace, else the one that holds most. Undefined when that is `holder` itself.
     */
    private worstHolder(holder: CallerConnection, bytes: number): CallerConnection | undefined {
        let slowest: CallerConnection | undefined;
        let slowestLagMs = this.limits.graceMs;
        let largest: CallerConnection | undefined;
        let largestBytes = holder.evictableBytes + bytes;
        for (const connection of this.connections) {
            const { evictableBytes, lagMs } = connection;
            if (evictableBytes === 0) {
                continue;
            }
            if (lagMs > slowestLagMs) {
                [slowest, slowestLagMs] = [connection, lagMs];
            }
            if (evictableBytes > largestBytes) {
                [largest, largestBytes] = [connection, evictableBytes];
            }
        }
        const worst = slowest ?? largest;
        return worst === holder ? undefined : worst;
    }
}
