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

/** HTTP listener that passes every request to one callback. */
export class HttpListener {
    private isClosing = false;

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
        res.on("error", () => undefined);
        if (this.isClosing) {
            res.setHeader("connection", "close");
        }
        this.options.onRequest(req, res);
    }
}
