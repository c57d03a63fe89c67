/** HTTP listener, over TLS if configured, with limits on the number of connections and the size of headers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import { listen } from "../listen.js";

/** Options of `HttpListener.create`. */
export interface HttpListenerOptions {
    /** Name of the listener in the settings. */
    readonly name: string;
    readonly host: string;
    readonly port: number;
    readonly maxConnections: number;
    readonly onRequest: (req: IncomingMessage, res: ServerResponse) => void;
    /** Time after which an idle connection is closed, in milliseconds. */
    readonly keepAliveTimeoutMs?: number;
    /** Certificate and private key in PEM; without them, the listener uses plain HTTP. */
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
const defaultKeepAliveTimeoutMs = 5000;
const maxHeaderBytes = 16 * 1024;
/** Turns of the event loop without a new connection or request after which none waits to be accepted or read. */
const quietTurnCount = 3;

/** HTTP listener that passes every request to one callback. */
export class HttpListener {
    private isClosing = false;
    /** Number of connections and requests so far. */
    private arrivalCount = 0;

    private constructor(private readonly options: HttpListenerOptions, private readonly server: Server) {}

    static create(options: HttpListenerOptions): HttpListener {
        const limits = {
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            keepAliveTimeout: options.keepAliveTimeoutMs ?? defaultKeepAliveTimeoutMs,
            maxHeaderSize: maxHeaderBytes,
        };
        const { tls } = options;
        const server = tls === undefined ? createServer(limits) : createTlsServer({ ...limits, ...tls });
        const listener = new HttpListener(options, server);
        server.maxConnections = options.maxConnections;
        server.on("connection", () => listener.arrivalCount++);
        server.on("request", (req, res) => listener.handleRequest(req, res));
        server.on("clientError", (_, socket) => {
            if (socket.writable) {
                socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
            }
        });
        return listener;
    }

    /** Starts listening; rejects with a `ListenError` when the address cannot be bound. */
    listen(): Promise<void> {
        return listen(this.server, this.options);
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
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    /** Stops listening and breaks off all connections. */
    async abort(): Promise<void> {
        const closed = this.close();
        this.server.closeAllConnections();
        await closed;
    }

    private handleRequest(req: IncomingMessage, res: ServerResponse): void {
        this.arrivalCount++;
        res.on("error", () => undefined);
        if (this.isClosing) {
            res.setHeader("connection", "close");
        }
        this.options.onRequest(req, res);
    }
}
