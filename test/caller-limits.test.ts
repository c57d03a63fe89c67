import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, expect, test } from "vitest";
import {
    type CallerLimitSettings,
    HttpListener,
    readBody,
    refusedBodyStatus,
} from "../src/connection/caller/index.js";
import { createCallerLimits } from "../src/connection/caller/limits.js";
import { EventId } from "../src/process/events.js";
import type { LogFields } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { freePorts } from "../standin/free-ports.js";

const maxBodyBytes = 256 * 1024;
const megabyte = 1024 * 1024;
const listeners: HttpListener[] = [];
const sockets: Socket[] = [];

afterEach(async () => {
    sockets.splice(0).forEach(socket => socket.destroy());
    await Promise.all(listeners.splice(0).map(listener => listener.abort()));
});

type Handler = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>;

async function serve(limits: CallerLimitSettings, onRequest: Handler) {
    const [port] = await freePorts(1);
    const metrics = Metrics.create();
    const lines: LogFields[] = [];
    const faults: LogFields[] = [];
    const listener = HttpListener.create({
        name: "callers",
        host: "127.0.0.1",
        port: port!,
        limits,
        onRequest,
        metrics,
        log: {
            write: (_, event, fields = {}) =>
                void (event === EventId.CallersLimited ? lines : faults).push(fields),
        },
    });
    await listener.listen();
    listeners.push(listener);
    return { port: port!, metrics, lines, faults };
}

/** Connects and sends a text; `received` is what has arrived so far, `ended` resolves when the connection has closed. */
function send(port: number, text: string) {
    const socket = connect(port, "127.0.0.1");
    sockets.push(socket);
    const caller = { socket, received: "", isClosed: false, ended: Promise.resolve() };
    caller.ended = new Promise(resolve => {
        socket.on("data", chunk => caller.received += chunk.toString());
        socket.on("error", () => undefined);
        socket.on("close", () => {
            caller.isClosed = true;
            resolve();
        });
    });
    socket.write(text);
    return caller;
}

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let i = 0; i < 500 && !condition(); i++) {
        await pause(10);
    }
    expect(condition()).toBe(true);
}

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
const post = (bytes: number): string => `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${bytes}\r\n\r\n`;
const chunkedPost = "POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";

/** Reads the body of each request and answers with its size, or with the status of the refusal. */
async function answerWithSize(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const read = await readBody(req, maxBodyBytes);
    const [status, text] = read.kind === "complete"
        ? [200, String(read.body.length)] as const
        : [refusedBodyStatus(read.cause), read.cause] as const;
    res.writeHead(status, { "content-length": text.length }).end(text);
}

/** What the listener's gauge says that it holds, in bytes. */
function heldBytes(metrics: Metrics): number {
    return Number(/^celerywind_caller_held_bytes\{.*\} (-?\d+)$/m.exec(metrics.render())?.[1]);
}

describe("requests that are sent ahead", () => {
    // Guards against: a connection whose thousands of requests are all handled at once.
    test("are handled a few at a time, and all answered in their order", async () => {
        let activeCount = 0;
        let highestCount = 0;
        const { port } = await serve({ requestsPerConnection: 3 }, async (req, res) => {
            highestCount = Math.max(highestCount, ++activeCount);
            await pause(2);
            activeCount--;
            res.end(req.url);
        });
        const paths = Array.from({ length: 200 }, (_, i) => `/${i}`);
        const caller = send(port, paths.map(get).join(""));
        await waitUntil(() =>
            caller.received.endsWith("\r\n/199\r\n0\r\n\r\n") || caller.received.endsWith("/199")
        );
        const answered = [...caller.received.matchAll(/\r\n\r\n(?:\d+\r\n)?(\/\d+)/g)].map(([, path]) =>
            path
        );
        expect(answered).toEqual(paths);
        expect(highestCount).toBe(3);
    });

    test("after bodies are answered, too", async () => {
        const { port, metrics } = await serve({ requestsPerConnection: 2 }, answerWithSize);
        const bodies = Array.from({ length: 30 }, (_, i) => "x".repeat(i * 300));
        const caller = send(port, bodies.map(body => post(body.length) + body).join(""));
        await waitUntil(() => caller.received.endsWith("8700"));
        const sizes = [...caller.received.matchAll(/\r\n\r\n(\d+)/g)].map(([, size]) => Number(size));
        expect(sizes).toEqual(bodies.map(body => body.length));
        await waitUntil(() => heldBytes(metrics) === 0);
    });

    // Guards against: 2,000 connections with one request each, and handlers that go on after their callers have left.
    test("beyond the limit on requests get 503 at once, also while the handlers of closed connections go on", async () => {
        let begun = 0;
        const { port, metrics, lines } = await serve({ requests: 4 }, () => {
            begun++;
            return new Promise(() => undefined);
        });
        const first = Array.from({ length: 4 }, () => send(port, get("/")));
        await waitUntil(() => begun === 4);
        first.forEach(({ socket }) => socket.destroy());
        await pause(50);
        const late = send(port, get("/"));
        await late.ended;
        expect(late.received).toMatch(/^HTTP\/1\.1 503 [^]*\r\nretry-after: 1\r\n/);
        expect(late.received).toMatch(/\r\nconnection: close\r\n/);
        expect(begun).toBe(4);
        expect(
            metrics.read("celerywind_caller_refusals_total", { listener: "callers", reason: "requests" }),
        ).toBe(1);
        await waitUntil(() => lines.length > 0);
        expect(lines[0]).toMatchObject({ listener: "callers", refused: "requests 1", requests: 4 });
    });

    // Guards against: a handler's fault that is neither answered nor logged, or that ends the process.
    test("whose handler fails end with their connection and a line in the log", async () => {
        const { port, faults } = await serve({}, () => {
            throw new Error("a fault of the handler");
        });
        const caller = send(port, get("/"));
        await caller.ended;
        expect(caller.received).toBe("");
        expect(faults).toEqual([expect.objectContaining({ task: "callers" })]);
    });

    // Guards against: requests without a host, which Node answers by itself, unseen by the limits.
    test("without a host end with one refusal", async () => {
        const { port } = await serve({}, (_, res) => void res.end("ok"));
        const caller = send(port, "GET / HTTP/1.1\r\n\r\n".repeat(5000));
        await caller.ended;
        expect(caller.received.match(/HTTP\/1\.1 \d+/g)).toEqual(["HTTP/1.1 400"]);
    });
});

describe("bodies", () => {
    // Guards against: bodies that are left open and take all memory for bodies from the callers that complete theirs.
    test("that are left open make room for one that is smaller", async () => {
        const { port, metrics } = await serve({ heldBytes: 300_000 }, answerWithSize);
        const open = Array.from({ length: 6 }, () => send(port, post(100_000) + "x".repeat(99_999)));
        await waitUntil(() => open.some(({ received }) => received.startsWith("HTTP/1.1 503 ")));
        const ordinary = send(port, post(20_000) + "y".repeat(20_000));
        await waitUntil(() => ordinary.received.endsWith("20000"));
        expect(heldBytes(metrics)).toBeLessThanOrEqual(300_000);
        ordinary.socket.end();
        const openCount = open.filter(({ isClosed, received }) => !isClosed && received === "").length;
        expect(openCount).toBeLessThanOrEqual(3);
        expect(openCount).toBeGreaterThan(0);
        sockets.forEach(socket => socket.destroy());
        await waitUntil(() => heldBytes(metrics) === 0);
    });

    test("in one-byte chunks that are too large get 413, which their caller can read", async () => {
        const { port } = await serve({}, answerWithSize);
        const caller = send(port, chunkedPost + "1\r\nx\r\n".repeat(maxBodyBytes + 1000));
        await waitUntil(() => caller.received.includes("too-large"));
        expect(caller.received).toMatch(/^HTTP\/1\.1 413 /);
        await caller.ended;
    });

    // Guards against: a body that is read on to its end although its request was answered.
    test("that their handler does not read end with the answer", async () => {
        const { port } = await serve({}, (_, res) => void res.writeHead(404, { "content-length": 0 }).end());
        const chunked = send(port, chunkedPost + `4000\r\n${"x".repeat(1000)}`);
        const large = send(port, post(200_000) + "x".repeat(1000));
        await Promise.all([chunked.ended, large.ended]);
        [chunked, large].forEach(({ received }) =>
            expect(received).toMatch(/^HTTP\/1\.1 404 [^]*connection: close/i)
        );
        const small = send(port, post(2000) + "x".repeat(2000) + get("/"));
        await waitUntil(() => small.received.match(/HTTP\/1\.1 404 /g)?.length === 2);
    });

    // Guards against: a limit that an ordinary submission on a slow line meets in calm.
    test("that arrive in small pieces are read", async () => {
        const { port } = await serve({}, answerWithSize);
        const caller = send(port, post(20_000));
        caller.socket.setNoDelay(true);
        for (let i = 0; i < 200; i++) {
            caller.socket.write("x".repeat(100));
            await pause(1);
        }
        await waitUntil(() => caller.received.endsWith("20000"));
    });
});

describe("a table of connections that is full", () => {
    // Guards against: silent connections that leave no place for ordinary callers.
    test("makes room by closing those that have sent nothing", async () => {
        const { port, metrics } = await serve({ connections: 4 }, (_, res) => void res.end("ok"));
        const kept = send(port, get("/"));
        await waitUntil(() => kept.received.endsWith("ok"));
        const silent = Array.from({ length: 6 }, () => send(port, ""));
        await waitUntil(() => silent.filter(({ isClosed }) => isClosed).length === 3);
        const ordinary = send(port, get("/"));
        await waitUntil(() => ordinary.received.endsWith("ok"));
        expect(kept.isClosed).toBe(false);
        expect(
            metrics.read("celerywind_caller_connections_closed_total", {
                listener: "callers",
                reason: "connections",
            }),
        ).toBe(4);
    });

    test("refuses a connection while all others are busy", async () => {
        const { port } = await serve({ connections: 2 }, () => new Promise(() => undefined));
        const busy = [send(port, get("/")), send(port, get("/"))];
        await pause(50);
        const late = send(port, get("/"));
        await late.ended;
        expect(busy.some(({ isClosed }) => isClosed)).toBe(false);
    });
});

describe("a caller that does not read its answers", () => {
    test("is disconnected after the grace, and others are not", async () => {
        const answer = "x".repeat(16 * megabyte);
        const { port, metrics } = await serve({ graceMs: 100, minBytesPerS: 64 * megabyte }, (_, res) => {
            res.writeHead(200, { "content-length": answer.length }).end(answer);
        });
        const deaf = send(port, get("/"));
        deaf.socket.pause();
        const ordinary = send(port, get("/"));
        await waitUntil(() => ordinary.received.length > answer.length);
        const reason = { listener: "callers", reason: "unread-answer" };
        await waitUntil(() => metrics.read("celerywind_caller_connections_closed_total", reason) === 1);
    });
});

describe("the default limits", () => {
    test.each([64, 160, 4096])("leave room for ordinary callers with a heap of %i MB", heapMb => {
        const limits = createCallerLimits({ heapBytes: heapMb * megabyte, largestBodyBytes: maxBodyBytes });
        expect(limits.heldBytes).toBeGreaterThanOrEqual(12 * maxBodyBytes);
        expect(limits.requests).toBeGreaterThanOrEqual(500);
        expect(limits.connections).toBeGreaterThanOrEqual(800);
        expect(limits.heldBytes).toBeLessThanOrEqual(heapMb * megabyte / 16);
    });

    test("are replaced by those of the settings", () => {
        expect(createCallerLimits({ settings: { requests: 7 }, heapBytes: megabyte })).toMatchObject({
            requests: 7,
            connections: 12,
        });
    });
});
