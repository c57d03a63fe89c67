/** An HTTP listener whose routes are served by moleculer-web, with bounded connections and bodies. */
import ApiGateway from "moleculer-web";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Hub } from "../../process/hub.js";

/** A request with the parameters of its path. */
export interface WebRequest extends IncomingMessage {
    readonly $params?: Readonly<Record<string, unknown>>;
}

/** Handles one request. */
export type WebHandler = (req: WebRequest, res: ServerResponse) => Promise<void>;

/** Options of `WebListener.create`. */
export interface WebOptions {
    readonly hub: Hub;
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** Handlers by method and path, such as `GET /healthz`. */
    readonly routes: Readonly<Record<string, WebHandler>>;
    /** Answers requests that no route matches, and those whose handler failed. */
    readonly onError: (req: WebRequest, res: ServerResponse, err: unknown) => void;
    readonly maxConnections: number;
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

type Express = (req: IncomingMessage, res: ServerResponse) => void;

const headersTimeoutMs = 10_000;
const requestTimeoutMs = 60_000;
const keepAliveMs = 5000;
const maxHeaderBytes = 16 * 1024;

/** Reads a request's body; undefined when it is larger than `limit` bytes. Rejects when the caller breaks off. */
export function readBody(req: IncomingMessage, limit: number): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        req.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > limit) {
                chunks.length = 0;
                req.removeAllListeners("data");
                req.resume();
                resolve(undefined);
                return;
            }
            chunks.push(chunk);
        });
        req.once("end", () => resolve(Buffer.concat(chunks)));
        req.once("aborted", () => reject(new Error("the caller broke off")));
        req.once("error", reject);
    });
}

/** Sends a whole answer. */
export function sendBody(
    res: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
    body: Buffer | string,
): void {
    const bytes = typeof body === "string" ? Buffer.from(body) : body;
    const hasBody = status !== 204 && status !== 304;
    res.writeHead(status, { ...headers, ...(hasBody && { "content-length": String(bytes.length) }) });
    res.end(hasBody ? bytes : undefined);
}

/** Sends a JSON answer. */
export function sendJson(
    res: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    sendBody(res, status, { "content-type": "application/json", ...headers }, JSON.stringify(value) + "\n");
}

/** One HTTP listener. */
export class WebListener {
    private isClosing = false;

    private constructor(private readonly options: WebOptions, private readonly server: Server) {}

    static create(options: WebOptions): WebListener {
        const limits = {
            headersTimeout: headersTimeoutMs,
            requestTimeout: requestTimeoutMs,
            keepAliveTimeout: keepAliveMs,
            maxHeaderSize: maxHeaderBytes,
        };
        const { tls } = options;
        const server = tls === undefined ? createServer(limits) : createTlsServer({ ...limits, ...tls });
        const listener = new WebListener(options, server);
        server.maxConnections = options.maxConnections;
        const express = listener.hostRoutes();
        server.on("request", (req, res) => listener.accept(req, res, express));
        server.on("clientError", (_, socket) => {
            if (socket.writable) {
                socket.end("HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n");
            }
        });
        return listener;
    }

    /** Begins to listen. */
    listen(): Promise<void> {
        const { host, port } = this.options;
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, resolve);
        });
    }

    /** Stops listening; resolves when the open requests have ended. */
    close(): Promise<void> {
        this.isClosing = true;
        return new Promise(resolve => {
            this.server.close(() => resolve());
            this.server.closeIdleConnections();
        });
    }

    private accept(req: IncomingMessage, res: ServerResponse, express: Express): void {
        res.on("error", () => undefined);
        if (this.isClosing) {
            res.setHeader("connection", "close");
        }
        express(req, res);
    }

    private hostRoutes(): Express {
        const { hub, name, routes, onError } = this.options;
        const aliases = Object.entries(routes).map(([route, handler]) => {
            const alias = (req: WebRequest, res: ServerResponse): void => {
                handler(req, res).catch((err: unknown) => onError(req, res, err));
            };
            return [route, alias] as const;
        });
        const schema = {
            name,
            mixins: [ApiGateway],
            settings: {
                server: false,
                path: "/",
                routes: [{
                    path: "/",
                    bodyParsers: false,
                    mappingPolicy: "restrict",
                    aliases: Object.fromEntries(aliases),
                    onError,
                }],
                onError,
            },
        };
        const service = hub.hostService(schema);
        return (service as unknown as { express(): Express }).express();
    }
}
