/** HTTP servers on the loopback interface that respond with JSON, or close the connection without a response. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody } from "../../src/connection/caller/body.js";
import { PlatformError } from "../../src/process/errors.js";

/** Status and body of a response; undefined closes the connection without one. */
export type Answer = readonly [status: number, body: unknown] | undefined;

/** Handles the calls of one route. The body is empty if the request has none. */
export type Handler = (
    url: URL,
    body: Record<string, unknown>,
    req: IncomingMessage,
) => Answer | Promise<Answer>;

/** Handlers by method and path, such as `GET /v1/rows-get`. */
export type Routes = Readonly<Record<string, Handler>>;

/** Records a call before it is handled. */
export type CallRecorder = (path: string, body: Record<string, unknown>) => void;

const host = "127.0.0.1";
const maxBodyBytes = 2 * 1024 * 1024;

/** Serves routes on a free port. Calls to other paths receive status 404. */
export async function serve(routes: Routes, recordCall: CallRecorder = () => undefined): Promise<Server> {
    const server = createServer((req, res) => void respond(routes, recordCall, req, res));
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    return server;
}

/** Host and port of a server. */
export function addressOf(server: Server): string {
    return `${host}:${(server.address() as AddressInfo).port}`;
}

/** Closes a server and its connections. */
export async function closeServer(server: Server): Promise<void> {
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
}

async function respond(
    routes: Routes,
    recordCall: CallRecorder,
    req: IncomingMessage,
    res: ServerResponse,
): Promise<void> {
    const result = await dispatch(routes, recordCall, req).catch((err: unknown) => {
        if (err instanceof PlatformError || req.destroyed) {
            return undefined;
        }
        throw err;
    });
    if (result === undefined) {
        res.destroy();
        return;
    }
    const [status, body] = result;
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
}

async function dispatch(routes: Routes, recordCall: CallRecorder, req: IncomingMessage): Promise<Answer> {
    const url = new URL(req.url ?? "/", "http://x");
    const read = await readBody(req, maxBodyBytes);
    const text = read.kind === "complete" ? read.body.toString() : "";
    const body = text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
    recordCall(url.pathname, body);
    const handler = routes[`${req.method} ${url.pathname}`];
    return handler === undefined ? [404, {}] : handler(url, body, req);
}
