/** A small HTTP server with JSON bodies, and a client for calls of callers. */
import {
    createServer,
    type IncomingHttpHeaders,
    type IncomingMessage,
    request,
    type Server,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A request as a stand-in sees it. */
export interface Call {
    readonly method: string;
    readonly url: URL;
    readonly headers: IncomingHttpHeaders;
    readonly body: Record<string, unknown>;
}

/** Status and body of a response; undefined if there is none. */
export type Answer = { readonly status: number; readonly body: unknown } | undefined;

export type Handler = (call: Call) => Promise<Answer> | Answer;

/** Starts a server on a free port of `host`. */
export async function serve(host: string, handle: Handler): Promise<Server> {
    const server = createServer((req, res) => {
        void readAll(req).then(async text => {
            const url = new URL(req.url ?? "/", "http://standin");
            const answer = await handle({
                method: req.method ?? "",
                url,
                headers: req.headers,
                body: parseBody(text),
            });
            if (answer === undefined || res.destroyed) {
                return;
            }
            const body = JSON.stringify(answer.body);
            res.writeHead(answer.status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
            });
            res.end(body);
        }).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 60_000;
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return server;
}

/** Address of a server, as `host:port`. */
export function addressOf(server: Server): string {
    const { address, port } = server.address() as AddressInfo;
    return `${address}:${port}`;
}

async function readAll(stream: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of stream) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}

function parseBody(text: string): Record<string, unknown> {
    return text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
}

/** Some answers are plain text, as those to readiness checks. */
function parseAnswer(text: string): Record<string, unknown> {
    return text.startsWith("{") ? parseBody(text) : {};
}

/** A call of a caller. */
export interface CallerRequest {
    readonly method: "GET" | "POST" | "DELETE";
    readonly address: string;
    readonly path: string;
    readonly host: string;
    readonly key: string;
    readonly body?: unknown;
    readonly timeoutMs?: number;
}

/** Response to a caller; status 0 if there was none. */
export interface CallerResponse {
    readonly status: number;
    readonly body: Record<string, unknown>;
}

/** Sends one call on a connection of its own. */
export function call(
    { method, address, path, host, key, body, timeoutMs = 3000 }: CallerRequest,
): Promise<CallerResponse> {
    const [hostname, port] = address.split(":");
    const text = body === undefined ? "" : JSON.stringify(body);
    return new Promise(resolve => {
        const fail = (): void => resolve({ status: 0, body: {} });
        const req = request({
            hostname,
            port,
            method,
            path,
            agent: false,
            headers: {
                "host": host,
                "authorization": `Bearer ${key}`,
                "celerywind-deadline-ms": String(timeoutMs),
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
            },
        }, res => {
            readAll(res).then(
                answer => resolve({ status: res.statusCode ?? 0, body: parseAnswer(answer) }),
                fail,
            );
        });
        req.setTimeout(timeoutMs, () => req.destroy(new Error("timeout")));
        req.on("error", fail);
        req.end(text);
    });
}
