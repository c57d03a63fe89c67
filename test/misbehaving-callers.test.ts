/**
 * Crowds of callers that do not behave, against one entry of the built product whose heap limit is lowered, so that a
 * small crowd shows what a large one does on a machine. Checked is only what does not depend on the machine's speed.
 */
import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, test } from "vitest";
import { encodeJob, idOf } from "../soak/jobs.js";
import { encodeFrame, FrameKind, protocolVersion } from "../src/connection/peer/message.js";
import type { JobSpec } from "../src/job/index.js";
import { jobOf } from "../standin/site/site.js";
import {
    anonymousPathPrefix,
    buildDaemon,
    host,
    key,
    LimitedEntry,
    type ListenerName,
    maxDescriptors,
    maxResidentMb,
    pathPrefix,
} from "./limited-entry.js";
import { chunkOf, copies, RawCallers, repeat, sendSlowly } from "./raw-callers.js";

/** A crowd of callers; each connection sends the same, unless `pieces` counts. */
interface Crowd {
    readonly connections: number;
    readonly pieces: () => Iterable<Buffer>;
}

const testTimeoutMs = 30_000;
/** More than the 2,000 connections that a listener holds. */
const fullTable = 2100;
const needs = { cpu: 100, memory: 10, accelerators: 0 };
const largestPayload = "x".repeat(4000);
const jobPath = anonymousPathPrefix + idOf(255);
/** A WebSocket's opening handshake, with the key of RFC 6455's example. */
const upgrade = Buffer.from(
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n"
        + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n",
);
const binaryOpcode = 2;
const pingOpcode = 9;

const nothing: Crowd["pieces"] = () => [];

let daemon: ReturnType<typeof buildDaemon>;
let entry: LimitedEntry;
let crowds: RawCallers[];

beforeAll(() => {
    daemon = buildDaemon();
}, testTimeoutMs);

afterAll(() => daemon.remove());

beforeEach(async () => {
    crowds = [];
    entry = await LimitedEntry.start(daemon.program);
}, testTimeoutMs);

afterEach(async () => {
    crowds.forEach(crowd => crowd.close());
    await entry.stop();
});

/** Lets a crowd send all that it has, and the entry work it off; the crowd's connections stay open. */
async function meet({ connections, pieces }: Crowd, ...listeners: readonly ListenerName[]): Promise<void> {
    crowds = await Promise.all(
        listeners.map(listener => RawCallers.send({ port: entry.ports[listener], connections, pieces })),
    );
    await entry.settle();
}

/** Checks that the process lives within its bounds and accepts one ordinary submission. */
async function expectServing(): Promise<void> {
    const status = await entry.submit();
    expect(entry.end, `${entry.peakResidentMb} MB resident before the end`).toBeUndefined();
    expect(status, "status of an ordinary submission").toBe(200);
    expect(entry.peakResidentMb, "peak of resident memory in MB").toBeLessThanOrEqual(maxResidentMb);
    expect(entry.peakDescriptors, "peak of open descriptors").toBeLessThanOrEqual(maxDescriptors);
}

function headOf(method: string, path: string, ...headers: readonly string[]): string {
    return [`${method} ${path} HTTP/1.1`, `Host: ${host}`, ...headers, "\r\n"].join("\r\n");
}

function chunkedHeadOf(path: string): Buffer {
    return Buffer.from(headOf("POST", path, "Transfer-Encoding: chunked"));
}

/** A body of 256 KB in chunks of 32 KB whose last byte of content and end are missing. */
function largeChunks(path: string): readonly Buffer[] {
    const chunk = Buffer.from(chunkOf(32 * 1024));
    const last = chunk.subarray(0, chunk.length - "x\r\n".length);
    return [chunkedHeadOf(path), ...repeat(chunk, 7), last];
}

/** A body of chunks of one byte, without an end; `count` is a multiple of 1,000. */
function tinyChunks(path: string, count: number): readonly Buffer[] {
    return [chunkedHeadOf(path), ...repeat(copies(chunkOf(1), 1000), count / 1000)];
}

/** GETs one after the other; `count` is a multiple of 100. */
function getsAhead(path: string, count: number): Iterable<Buffer> {
    return repeat(copies(headOf("GET", path), 100), count / 100);
}

/** Requests that lack the header which HTTP/1.1 demands; `count` is a multiple of 1,000. */
function requestsWithoutHost(count: number): Iterable<Buffer> {
    return repeat(copies("GET / HTTP/1.1\r\n\r\n", 1000), count / 1000);
}

/** A block of 1,000 headers with just under 16 KB, the limit of the listeners, without its end. */
function unfinishedHeaders(path: string): readonly Buffer[] {
    const lines = Array.from({ length: 1000 }, (_, i) => `h${i}:`.padEnd(14, "x") + "\r\n");
    return [Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n${lines.join("")}`)];
}

/** A frame of a WebSocket client, masked with zeros, of which `length` bytes are announced. */
function frameOf(opcode: number, payload: Buffer, length = payload.length): Buffer {
    const isShort = length < 126;
    const head = Buffer.alloc(isShort ? 6 : 14);
    head[0] = 0x80 | opcode;
    head[1] = 0x80 | (isShort ? length : 127);
    if (!isShort) {
        head.writeBigUInt64BE(BigInt(length), 2);
    }
    return Buffer.concat([head, payload]);
}

describe("an entry serves an ordinary caller within its memory beside", () => {
    // Guards against: bodies under way that are held whole, whatever their sum over the connections.
    test("chunked bodies of 256 KB that stop one byte short of their end", async () => {
        await meet({ connections: 400, pieces: () => largeChunks(jobPath) }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: a body whose small pieces are kept as buffers of their own, each many times larger than its content.
    test("unfinished bodies of chunks of one byte", async () => {
        await meet({ connections: 20, pieces: () => tinyChunks(jobPath, 30_000) }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: a body that is read on after it has become too large, or that fills the heap before.
    test("endless bodies of chunks of one byte", async () => {
        await meet({ connections: 6, pieces: () => tinyChunks(jobPath, 300_000) }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: all requests of a connection being under way at once, whatever answers are unread before them.
    test("thousands of GETs sent ahead on few connections whose answers are never read", async () => {
        await meet({ connections: 20, pieces: () => getsAhead(jobPath, 10_000) }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: all submissions of a connection being read, held and stored at once.
    test("submissions of 4 KB sent ahead on connections whose answers are never read", async () => {
        const body = encodeJob({ ...jobOf({ tasks: 1, needs }), payload: largestPayload });
        let number = 0x10_000;
        function* submissions(): Generator<Buffer> {
            for (let i = 0; i < 200; i++) {
                const path = anonymousPathPrefix + idOf(number++);
                yield Buffer.from(headOf("POST", path, `Content-Length: ${body.length}`) + body);
            }
        }
        await meet({ connections: 30, pieces: submissions }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: requests that the parser itself refuses, each of which still makes a request and an answer.
    test("requests without a Host sent ahead", async () => {
        await meet({ connections: 200, pieces: () => requestsWithoutHost(4000) }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: idle connections that fill the table, so that a caller who sends its request finds no place.
    test("silent connections that fill the table of connections", async () => {
        await meet({ connections: fullTable, pieces: nothing }, "callers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: headers under way that are held without a bound on their sum.
    test("large header blocks that are left unfinished", async () => {
        await meet({ connections: 1000, pieces: () => unfinishedHeaders(jobPath) }, "callers");
        await expectServing();
    }, testTimeoutMs);
});

describe("an entry in calm accepts", () => {
    const stepCount = 64;
    const job: JobSpec = {
        ...jobOf(...Array.from({ length: stepCount }, (_, step) => ({
            tasks: 1,
            needs,
            estimateMs: 50,
            after: Array.from({ length: step }, (_, before) => before),
        }))),
        payload: largestPayload,
    };
    // Indentation is part of valid JSON; it makes a large job of the protocol a body of nearly the largest size.
    const body = JSON.stringify(JSON.parse(encodeJob(job)), undefined, 10)
        .replaceAll(/^ +/gm, indent => indent.repeat(2));
    const chunkBytes = 100;
    const chunkedBody = body.match(new RegExp(`[^]{1,${chunkBytes}}`, "g"))!
        .map(text => `${text.length.toString(16)}\r\n${text}\r\n`).join("") + "0\r\n\r\n";

    // Guards against: limits on bodies under way that refuse or break off an ordinary caller on a slow line.
    test.each([
        ["with its length declared", `Content-Length: ${body.length}`, body],
        ["in chunks of 100 bytes", "Transfer-Encoding: chunked", chunkedBody],
    ])("a large submission that arrives in small pieces, %s", async (_, header, sent) => {
        expect(body.length).toBeGreaterThan(200_000);
        expect(body.length).toBeLessThan(256 * 1024);
        const path = pathPrefix + entry.expectJob(job);
        const status = await sendSlowly({
            port: entry.ports.callers,
            request: Buffer.from(headOf("POST", path, `Authorization: Bearer ${key}`, header) + sent),
            pieceBytes: 1024,
            intervalMs: 5,
        });
        expect(status).toBe(200);
        await expectServing();
    }, testTimeoutMs);
});

describe("an entry serves callers, load balancer and metrics beside, at the addresses of the latter two,", () => {
    async function expectAnswers(): Promise<void> {
        const [ready, metrics] = await Promise.all([
            entry.get("readiness", "/v1/readyz"),
            entry.get("metrics", "/metrics"),
            expectServing(),
        ]);
        expect({ ready, metrics }).toEqual({ ready: 200, metrics: 200 });
    }

    // Guards against: limits that hold only at the callers' address. Each address meets half of the callers' crowd.
    test.each<[string, Crowd]>([
        ["chunked bodies that stop one byte short", {
            connections: 200,
            pieces: () => largeChunks("/metrics"),
        }],
        ["unfinished bodies of one-byte chunks", {
            connections: 10,
            pieces: () => tinyChunks("/metrics", 30_000),
        }],
        ["endless bodies of one-byte chunks", {
            connections: 2,
            pieces: () => tinyChunks("/metrics", 300_000),
        }],
        ["GETs sent ahead", { connections: 10, pieces: () => getsAhead("/v1/status", 1000) }],
        ["requests without a Host", { connections: 100, pieces: () => requestsWithoutHost(4000) }],
        ["unfinished header blocks", { connections: 500, pieces: () => unfinishedHeaders("/metrics") }],
    ])("%s", async (_, crowd) => {
        await meet(crowd, "readiness", "metrics");
        await expectAnswers();
    }, testTimeoutMs);

    // Guards against: an entry that is taken out of rotation because the load balancer's checks find no place.
    test.each<ListenerName>(["readiness", "metrics"])(
        "silent connections that fill the table of connections for %s",
        async listener => {
            await meet({ connections: fullTable, pieces: nothing }, listener);
            await expectAnswers();
        },
        testTimeoutMs,
    );
});

describe("an entry serves an ordinary caller within its memory beside, at the address for peers,", () => {
    const hello = {
        kind: FrameKind.Hello,
        protocol: protocolVersion,
        vm: "v",
        incarnation: "i",
        nonce: "n",
    } as const;
    const firstFrame = frameOf(binaryOpcode, encodeFrame(hello));

    // Guards against: a frame of up to 72 MB that is collected before its sender has shown the secret.
    test("large frames of WebSockets that have not shown the secret", async () => {
        const announcedBytes = 70 * 1024 * 1024;
        const piece = Buffer.alloc(64 * 1024);
        const pieces = (): readonly Buffer[] => [
            upgrade,
            frameOf(binaryOpcode, piece, announcedBytes),
            ...repeat(piece, 479),
        ];
        await meet({ connections: 4, pieces }, "peers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: answers that pile up before the secret was shown, since nobody reads them.
    test.each([
        ["first frames of the handshake", 5, 10_000, firstFrame],
        ["pings", 8, 100_000, frameOf(pingOpcode, Buffer.alloc(125))],
    ])("many %s whose answers are never read", async (_, connections, count, frame) => {
        const block = Buffer.concat([...repeat(frame, 100)]);
        await meet({ connections, pieces: () => [upgrade, ...repeat(block, count / 100)] }, "peers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: connections without a bound on their number, since the other listeners have one and this has none.
    test("connections that send nothing", async () => {
        await meet({ connections: 2500, pieces: nothing }, "peers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: links that are held although their other end never shows the secret.
    test("WebSockets that send nothing", async () => {
        await meet({ connections: 1000, pieces: () => [upgrade] }, "peers");
        await expectServing();
    }, testTimeoutMs);

    // Guards against: requests ahead and headers at the one listener that has no limits of its own.
    test.each<[string, Crowd]>([
        ["GETs sent ahead", { connections: 20, pieces: () => getsAhead("/", 5000) }],
        ["unfinished header blocks", { connections: 1000, pieces: () => unfinishedHeaders("/") }],
    ])("%s", async (_, crowd) => {
        await meet(crowd, "peers");
        await expectServing();
    }, testTimeoutMs);
});
