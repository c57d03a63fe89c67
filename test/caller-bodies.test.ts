import fc from "fast-check";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { GrowingBuffer } from "../src/connection/caller/growing-buffer.js";
import { type BodyResult, readBody } from "../src/connection/caller/index.js";

const limit = 64 * 1024;
const servers: Server[] = [];

afterEach(() => {
    servers.splice(0).forEach(server => {
        server.close();
        server.closeAllConnections();
    });
});

/** Starts a server that reads each body and closes the connection with its answer; resolves with what it read. */
async function serve(): Promise<{ port: number; read: Promise<BodyResult> }> {
    let settle: (result: BodyResult) => void = () => undefined;
    const read = new Promise<BodyResult>(resolve => settle = resolve);
    const server = createServer((req, res) => {
        void readBody(req, limit).then(result => {
            res.writeHead(200, { connection: "close" }).end();
            settle(result);
        });
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { port: (server.address() as AddressInfo).port, read };
}

function send(port: number, head: string, body: string): void {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write(`POST / HTTP/1.1\r\nhost: h\r\n${head}\r\n\r\n${body}`);
}

describe("a growing buffer", () => {
    test("holds what was appended, in less than twice its size once it is past the first allocation", () => {
        fc.assert(
            fc.property(
                fc.array(fc.uint8Array({ maxLength: 3000 })),
                fc.option(fc.nat(limit)),
                (chunks, size) => {
                    const maxBytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
                    const buffer = GrowingBuffer.create({ maxBytes, expectedBytes: size ?? undefined });
                    for (const chunk of chunks) {
                        const expected = buffer.capacityFor(chunk.length);
                        buffer.append(chunk);
                        expect(buffer.capacity).toBe(expected);
                        expect(buffer.capacity).toBeLessThanOrEqual(Math.max(4096, 2 * buffer.length));
                        expect(buffer.capacity).toBeLessThanOrEqual(maxBytes);
                    }
                    expect(buffer.take()).toEqual(Buffer.concat(chunks));
                },
            ),
            { seed: 59, numRuns: 200 },
        );
    });

    // Guards against: a body of one-byte chunks that costs its list of chunks, hundreds of times its size.
    test("allocates a few times for thousands of small chunks", () => {
        const buffer = GrowingBuffer.create({ maxBytes: limit });
        const capacities = new Set<number>();
        for (let i = 0; i < limit; i++) {
            buffer.append(Buffer.from([i % 256]));
            capacities.add(buffer.capacity);
        }
        expect([...capacities]).toEqual([4096, 8192, 16_384, 32_768, 65_536]);
    });

    // Guards against: memory that is used again while what was read before still lies in it.
    test("leaves what was taken from it alone when its memory is used again", () => {
        const fillOf = (byte: number, size: number): Buffer => {
            const buffer = GrowingBuffer.create({ maxBytes: limit });
            for (let i = 0; i < size; i += 100) {
                buffer.append(Buffer.alloc(100, byte));
            }
            return buffer.take();
        };
        const sizes = [100, 4000, 5000, 30_000, 60_000];
        const taken = sizes.map((size, i) => fillOf(i, size));
        sizes.forEach(size => GrowingBuffer.create({ maxBytes: limit }).append(Buffer.alloc(size, 99)));
        sizes.forEach(size => fillOf(99, size));
        taken.forEach((bytes, i) => expect(bytes.equals(Buffer.alloc(sizes[i]!, i))).toBe(true));
    });
});

describe("the body of a request", () => {
    test("in chunks of one byte is read whole", async () => {
        const { port, read } = await serve();
        send(port, "transfer-encoding: chunked", "1\r\nx\r\n".repeat(5000) + "0\r\n\r\n");
        expect(await read).toEqual({ kind: "complete", body: Buffer.from("x".repeat(5000)) });
    });

    // Guards against: bodies that are too large and are read on to their end.
    test.each([
        ["declared as too large is not read", `content-length: ${limit + 1}`, ""],
        [
            "that grows too large is not read on",
            "transfer-encoding: chunked",
            `${(2 * limit).toString(16)}\r\n${"x".repeat(limit + 1)}`,
        ],
    ])("%s", async (_, head, body) => {
        const { port, read } = await serve();
        send(port, head, body);
        expect(await read).toEqual({ kind: "refused", cause: "too-large" });
    });
});
