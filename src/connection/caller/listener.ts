/** HTTP listener, over TLS if configured, with limits on what its callers can make it hold. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import { type Cancel, SystemTimer, type Timer } from "../../process/timer.js";
import { listen } from "../listen.js";
import { ConnectionTable } from "./connection-table.js";
import { CallerConnection, type RequestHandler } from "./connection.js";
import { LimitReport, RefusalCause } from "./limit-report.js";
import { type CallerLimitSettings, createCallerLimits } from "./limits.js";

/** Options of `HttpListener.create`. */
export interface HttpListenerOptions {
    /** Name of the listener in the settings. */
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly onRequest: RequestHandler;
    /** Limits in place of the defaults, which are derived from the heap of the process. */
    readonly limits?: CallerLimitSettings;
    /** Largest body that the handler accepts, in bytes. */
    readonly largestBodyBytes?: number;
    readonly timer?: Timer;
    readonly log?: Log;
    readonly metrics?: Metrics;
    /** Time after which an idle connection is closed, in milliseconds. */
    readonly keepAliveTimeoutMs?: number;
    /** Certificate and private key in PEM; without them, the listener uses plain HTTP. */
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
const defaultKeepAliveTimeoutMs = 5000;
/** Interval at which Node closes connections whose headers or requests are overdue; its default is 30 s. */
const overdueCheckMs = 1000;
const maxHeaderBytes = 16 * 1024;
/** Interval of the checks for answers that are not read; also the least time between two log lines of a listener. */
const checkIntervalMs = 1000;
/** TLS handshakes that may be under way beside the open connections. */
const maxTlsHandshakes = 256;
/** Turns of the event loop without a new connection or request after which none waits to be accepted or read. */
const quietTurnCount = 3;

/** Status lines of the answers to input that Node's parser rejects, by the code of its error. */
const statusLines: Readonly<Record<string, string>> = {
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
};

/** HTTP listener that passes every request to one callback. */
export class HttpListener {
    private isClosing = false;
    /** Number of connections and requests so far. */
    private arrivalCount = 0;
    private cancelChecks: Cancel = () => undefined;

    private constructor(
        private readonly options: HttpListenerOptions,
        private readonly server: Server,
        private readonly table: ConnectionTable,
    ) {}

    static create(options: HttpListenerOptions): HttpListener {
        const { tls, onRequest, timer = SystemTimer.create() } = options;
        const limits = createCallerLimits({ ...options, settings: options.limits ?? {} });
        const serverOptions = {
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            connectionsCheckingInterval: overdueCheckMs,
            keepAliveTimeout: options.keepAliveTimeoutMs ?? defaultKeepAliveTimeoutMs,
            maxHeaderSize: maxHeaderBytes,
            // Requests without a host are refused by their connection, which closes after the first of them.
            requireHostHeader: false,
        };
        const server = tls === undefined
            ? createServer(serverOptions)
            : createTlsServer({ ...serverOptions, ...tls, handshakeTimeout: headersTimeoutMs });
        const report = LimitReport.create({ ...options, listener: options.name });
        const table = ConnectionTable.create({ limits, timer, report, onRequest });
        report.registerGauges(() => table.figures);
        const listener = new HttpListener(options, server, table);
        listener.subscribe();
        if (tls !== undefined) {
            server.maxConnections = limits.connections + maxTlsHandshakes;
        }
        return listener;
    }

    /** Starts listening; rejects with a `ListenError` when the address cannot be bound. */
    async listen(): Promise<void> {
        await listen(this.server, this.options);
        const { timer = SystemTimer.create() } = this.options;
        this.cancelChecks = timer.every(checkIntervalMs, () => this.table.check());
    }

    /**
     * Accepts the connections that callers have made and reads the requests that they have sent; `close` would reset
     * them. Node accepts one connection in each turn of the event loop, so that on a busy machine many may wait.
     */
    async acceptPending(): Promise<void> {
        this.isClosing = true;
        let quietTurns = 0;
        while (quietTurns < quietTurnCount) {
            const before = this.arrivalCount;
            await new Promise(resolve => setImmediate(resolve));
            quietTurns = this.arrivalCount === before ? quietTurns + 1 : 0;
        }
    }

    /** Stops listening; resolves when the open requests have ended and their connections have closed. */
    close(): Promise<void> {
        this.isClosing = true;
        return new Promise(resolve => {
            this.server.close(() => {
                this.cancelChecks();
                resolve();
            });
            this.server.closeIdleConnections();
        });
    }

    /** Stops listening and breaks off all connections. */
    async abort(): Promise<void> {
        const closed = this.close();
        this.server.closeAllConnections();
        await closed;
    }

    private subscribe(): void {
        const { server, table } = this;
        server.on(this.options.tls === undefined ? "connection" : "secureConnection", (socket: Socket) => {
            this.arrivalCount++;
            table.add(socket);
        });
        const receive = (req: IncomingMessage, res: ServerResponse): void => this.handleRequest(req, res);
        server.on("request", receive);
        server.on("checkExpectation", (req: IncomingMessage, res: ServerResponse) => {
            CallerConnection.of(req.socket)?.refuse(res, 417, RefusalCause.Malformed);
        });
        server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
            const connection = CallerConnection.of(socket);
            if (connection === undefined) {
                socket.destroy();
                return;
            }
            connection.reject(statusLines[err.code ?? ""] ?? "400 Bad Request");
        });
    }

    private handleRequest(req: IncomingMessage, res: ServerResponse): void {
        this.arrivalCount++;
        res.on("error", () => undefined);
        if (this.isClosing) {
            res.setHeader("connection", "close");
        }
        CallerConnection.of(req.socket)?.open(req, res);
    }
}
