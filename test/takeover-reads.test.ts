import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { PlatformStore } from "../platform/store.js";
import { JsonHttpClient } from "../src/connection/json-http-client.js";
import { jobRanges } from "../src/pool/job-rows.js";
import { readRanges } from "../src/process/rows.js";
import { sleep, SystemTimer } from "../src/process/timer.js";

const timer = SystemTimer.create();
const partCount = 48;
const rowBytes = 60_000;
/** Bandwidth of the link that all answers share; all rows take longer over it than the time limit of a read. */
const linkBytesPerMs = 2000;
const packetBytes = 8000;
const readTimeoutMs = 500;

let server: Server;

/** Starts a store with one row in each part, whose answers share a narrow link. */
async function startStore(): Promise<string> {
    let linkFreeAt = 0;
    server = createServer((req, res) => {
        void (async () => {
            const part = new URL(req.url!, "http://store").searchParams.get("part")!;
            const value = Buffer.from(part.padEnd(rowBytes)).toString("base64");
            const row = { table: "jobs", part, key: "k", value, "schema-version": 1 };
            const answer = JSON.stringify({ rows: [row], "has-more": false, "schema-version": 7 });
            for (let sent = 0; sent < answer.length; sent += packetBytes) {
                linkFreeAt = Math.max(linkFreeAt, timer.now()) + packetBytes / linkBytesPerMs;
                await sleep(timer, linkFreeAt - timer.now());
                res.write(answer.slice(sent, sent + packetBytes));
            }
            res.end();
        })();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

afterEach(() => {
    server.closeAllConnections();
    server.close();
});

test("a new owner reads more jobs than its link carries within the time limit of one read", async () => {
    const http = JsonHttpClient.create({ timer, maxConnections: 16 });
    const store = PlatformStore.create({ http, address: await startStore(), readTimeoutMs });
    const pages = await readRanges(store, jobRanges(partCount));
    http.close();
    expect(pages.map(({ rows }) => rows[0]!.value.trim())).toEqual(
        jobRanges(partCount).map(({ part }) => part),
    );
});
