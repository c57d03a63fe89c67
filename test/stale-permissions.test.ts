/** Permissions and calls that were valid before a wait and are not after it. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { JsonHttpClient } from "../src/connection/json-http-client.js";
import { SystemTimer, type Timer } from "../src/process/timer.js";
import { waitUntil } from "./platform-entry.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

describe("a call that waits for a connection", () => {
    test("is not sent after its time limit, though the process was blocked and its timers are late", async () => {
        const received: string[] = [];
        let answerFirst: (() => void) | undefined;
        const server = createServer((req, res) => {
            received.push(req.url ?? "");
            const answer = (): void => void res.end("{}");
            if (req.url === "/first") {
                answerFirst = answer;
            }
            else {
                answer();
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        let blockedMs = 0;
        const system = SystemTimer.create();
        // The process was blocked for `blockedMs`, and reads what its sockets have received before its timers call back.
        const timer: Timer = {
            now: () => system.now() + blockedMs,
            wall: () => system.wall() + blockedMs,
            after: (ms, fn) => system.after(ms, fn),
            every: (ms, fn) => system.every(ms, fn),
        };
        const client = JsonHttpClient.create({ timer, maxConnections: 1 });
        closers.push(() => client.close(), () => server.closeAllConnections(), () => server.close());
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const call = (path: string) =>
            client.call(address, { method: "POST", path, timeoutMs: 1500, expires: true, body: {} });
        const first = call("/first");
        await waitUntil(() => Promise.resolve(answerFirst !== undefined));
        const second = call("/second");
        blockedMs = 5000;
        answerFirst?.();
        await first;
        expect((await second).kind).toBe("not-sent");
        expect(received).toEqual(["/first"]);
    });
});
