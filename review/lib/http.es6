/** HTTP on loopback: a small server with JSON bodies, and a small client. */
import { Agent, createServer, request } from "node:http";

export const host = "127.0.0.1";

export const delay = ms => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));

/** Opens a server on a free port of loopback. `routes` maps "METHOD /path" to a function that returns [status, body, headers]. */
export function serve(routes) {
    const sockets = new Set();
    const server = createServer((req, res) => {
        const chunks = [];
        let isClosed = false;
        req.on("data", chunk => chunks.push(chunk));
        res.on("close", () => isClosed = true);
        res.on("error", () => undefined);
        req.on("end", async () => {
            const url = new URL(req.url, `http://${host}`);
            const handle = routes[`${req.method} ${url.pathname}`];
            const bytes = Buffer.concat(chunks);
            const body = bytes.length === 0 ? {} : JSON.parse(bytes.toString());
            const call = { body, bytes: bytes.length, query: url.searchParams, headers: req.headers, closed: () => isClosed };
            const [status, answer, headers = {}] = handle === undefined ? [404, {}] : await handle(call);
            const text = JSON.stringify(answer);
            res.writeHead(status, {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(text),
                ...headers,
            });
            res.end(text);
        });
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => undefined);
    });
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, () =>
            resolve({
                address: `${host}:${server.address().port}`,
                /** Ends the server at once, as a crash does: open channels are reset. */
                close: () => {
                    server.close();
                    sockets.forEach(socket => socket.destroy());
                },
            }));
    });
}

/** Finds free ports of loopback, below those that the system gives to outgoing connections. */
export async function freePorts(count) {
    const ports = new Set();
    for (let i = 0; ports.size < count && i < 1000; i++) {
        const port = 20_000 + Math.floor(Math.random() * 12_000);
        if (!ports.has(port) && await isFree(port)) {
            ports.add(port);
        }
    }
    return [...ports];
}

function isFree(port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

const agent = new Agent({ keepAlive: true });

/** Sends a call; resolves with { status, body }, status 0 if no whole answer came within `timeoutMs`. */
export function call(address, { method, path, headers = {}, body, timeoutMs = 3000 }) {
    const [hostname, port] = address.split(":");
    const text = body === undefined ? undefined : JSON.stringify(body);
    return new Promise(resolve => {
        const req = request({
            agent,
            hostname,
            port,
            method,
            path,
            headers: {
                ...headers,
                ...(text !== undefined && {
                    "content-type": "application/json",
                    "content-length": Buffer.byteLength(text),
                }),
            },
        }, res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("error", () => resolve({ status: 0, body: {} }));
            res.on("end", () => {
                let parsed = {};
                try {
                    parsed = JSON.parse(Buffer.concat(chunks).toString());
                }
                catch {
                    // Not every answer has a body.
                }
                resolve({ status: res.statusCode, body: parsed });
            });
        });
        req.on("error", () => resolve({ status: 0, body: {} }));
        setTimeout(() => {
            resolve({ status: 0, body: {} });
            req.destroy();
        }, timeoutMs).unref();
        req.end(text);
    });
}

export function closeClient() {
    agent.destroy();
}
