import { getEventListeners } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { JsonHttpClient } from "../src/connection/json-http-client.js";
import { sleep, SystemTimer } from "../src/process/timer.js";

const timer = SystemTimer.create();
const timeoutMs = 300;
const partCount = 12;
const partIntervalMs = 60;
const part = "x".repeat(1000);

const servers: Server[] = [];

/** Address of a server that sends an answer in parts; `sentParts` is how many it sends before it goes silent. */
async function startServer(sentParts: number): Promise<string> {
    const server = createServer((_, res) => {
        void (async () => {
            res.write('"');
            for (let i = 0; i < sentParts; i++) {
                res.write(part);
                await sleep(timer, partIntervalMs);
            }
            if (sentParts === partCount) {
                res.end('"');
            }
        })();
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => {
    servers.splice(0).forEach(server => {
        server.closeAllConnections();
        server.close();
    });
});

describe("an answer that arrives for longer than the time limit of its call", () => {
    test("is received whole as long as it arrives", async () => {
        const address = await startServer(partCount);
        const client = JsonHttpClient.create({ timer, maxConnections: 1 });
        const sizes: number[] = [];
        const onData = (bytes: number): void => void sizes.push(bytes);
        const result = await client.call(address, { method: "GET", path: "/", timeoutMs, onData });
        client.close();
        expect(result).toEqual({ kind: "answer", status: 200, body: part.repeat(partCount) });
        expect(sizes.at(-1)).toBe(partCount * part.length + 2);
    });

    test("is given up once no more of it arrives", async () => {
        const address = await startServer(2);
        const client = JsonHttpClient.create({ timer, maxConnections: 1 });
        const startedAt = timer.now();
        const result = await client.call(address, { method: "GET", path: "/", timeoutMs });
        client.close();
        expect(result).toEqual({ kind: "lost", reason: "timeout" });
        expect(timer.now() - startedAt).toBeLessThan(partIntervalMs + 2 * timeoutMs);
    });

    test("is not transferred any further once its call is given up", async () => {
        const address = await startServer(partCount);
        const client = JsonHttpClient.create({ timer, maxConnections: 1 });
        const aborter = new AbortController();
        const closed = new Promise(resolve =>
            servers[0]!.once("connection", socket => socket.once("close", resolve))
        );
        const onData = (): void => aborter.abort();
        const call = { method: "GET", path: "/", timeoutMs, onData, signal: aborter.signal } as const;
        expect(await client.call(address, call)).toEqual({ kind: "lost", reason: "cancelled" });
        await closed;
        client.close();
    });
});

test("calls that share a signal leave no listeners behind and print no warning of a leak", async () => {
    const warnings: string[] = [];
    const onWarning = ({ name }: Error): void => void warnings.push(name);
    process.on("warning", onWarning);
    const client = JsonHttpClient.create({ timer, maxConnections: 1 });
    const { signal } = new AbortController();
    const call = { method: "GET", path: "/", timeoutMs, signal } as const;
    await Promise.all(Array.from({ length: 30 }, () => client.call("127.0.0.1:1", call)));
    await sleep(timer, 0);
    client.close();
    process.off("warning", onWarning);
    expect(warnings).toEqual([]);
    expect(getEventListeners(signal, "abort")).toEqual([]);
});
