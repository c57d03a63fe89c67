import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, describe, expect, test } from "vitest";
import { JsonHttpClient } from "../src/connection/json-http-client.js";
import { Mesh } from "../src/connection/peer/index.js";
import { EventId } from "../src/process/events.js";
import type { LogFields } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { SystemTimer } from "../src/process/timer.js";
import { freePorts } from "../standin/free-ports.js";
import { jobOf, StandinSite } from "../standin/site/site.js";
import { WirePlatform } from "../standin/wire/platform.js";
import { createEntry, waitUntil } from "./platform-entry.js";

const malformedAddresses = [
    "127.0.0.1:99999",
    ":-1",
    "::::",
    "a b:3",
    ":1e3",
    ":0",
    "127.0.0.1:80/path",
    "127.0.0.1:80?query",
];

describe("a call that cannot be made", () => {
    const client = JsonHttpClient.create({ timer: SystemTimer.create(), maxConnections: 1 });
    const call = { method: "POST", path: "/v1/hold", body: {}, timeoutMs: 300 } as const;

    test.each(malformedAddresses)(
        "to the address %j is not sent, instead of being rejected",
        async address => {
            expect((await client.call(address, call)).kind).toBe("not-sent");
        },
    );

    test("with a body that cannot be encoded is not sent, instead of being rejected", async () => {
        const body: Record<string, unknown> = {};
        body["self"] = body;
        expect((await client.call("127.0.0.1:1", { ...call, body })).kind).toBe("not-sent");
    });

    test("for a header that cannot be sent does not block the later calls to the address", async () => {
        const server = createServer((_, res) => res.end("{}"));
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        for (const id of ["w\u2603", "w\n1", "w\u0000"]) {
            expect((await client.call(address, { ...call, headers: { instance: id } })).kind).toBe(
                "not-sent",
            );
        }
        expect((await client.call(address, call)).kind).toBe("answer");
        client.close();
        server.close();
    });
});

describe("a worker whose address has a port out of range", () => {
    const platform = WirePlatform.create({ pool: "bench", workers: 1 });
    const logged: { readonly event: EventId; readonly fields: LogFields }[] = [];
    const rejections: unknown[] = [];
    const recordRejection = (err: unknown): void => void rejections.push(err);

    beforeAll(async () => {
        process.on("unhandledRejection", recordRejection);
        await platform.start();
        platform.writeOperatorRow("config", {
            version: 1,
            routes: [{ name: "r1", host: "h", "path-prefix": "/", service: "bench", anonymous: true }],
            services: [{ name: "bench" }],
        });
    });

    afterAll(async () => {
        await platform.stop();
        process.off("unhandledRejection", recordRejection);
    });

    test("takes work once its address is corrected, instead of never being asked again", async () => {
        const [worker] = platform.workers;
        const address = worker!.listedAddress;
        worker!.listedAddress = "127.0.0.1:99999";
        platform.sendHeartbeat(worker!);
        const { entry } = await createEntry(platform, "e1", {}, {
            write: (_, event, fields = {}) => void logged.push({ event, fields }),
        });
        await entry.start();
        await waitUntil(() => Promise.resolve(entry.core.domain.tenure?.isReady === true));
        const id = "00000000000000d1";
        const spec = jobOf({ tasks: 1 });
        platform.expectJob(id, spec);
        const queue = entry.core.lists.directory!.queues[0]!;
        expect((await entry.core.jobCalls.submit(id, queue, "", spec, 3000)).kind).toBe("accepted");
        await new Promise(resolve => setTimeout(resolve, 1000));
        expect(platform.checker.startCount).toBe(0);
        worker!.listedAddress = address;
        platform.sendHeartbeat(worker!);
        await waitUntil(() => Promise.resolve(platform.checker.successes.length === 1));
        await entry.stop();
        expect(platform.checker.successes).toEqual([`${id}.0.0.0`]);
        expect(rejections).toEqual([]);
    });
});

test("a worker is asked again after a call to it has ended with an error", async () => {
    const site = StandinSite.create({ vmsPerPool: 1, entries: 1 });
    site.workers[0]!.faults.rejectsCalls = true;
    await site.start({ version: 1, queues: [{}] });
    site.workers[0]!.faults.rejectsCalls = false;
    await site.timer.advance(2000);
    const [entry] = site.entries;
    expect(await site.runUntilSettled(site.submit(entry!, "j1", jobOf({ tasks: 1 })))).toMatchObject({
        kind: "accepted",
    });
    await site.timer.advance(3000);
    expect(await site.runUntilSettled(site.phaseOf(entry!, "j1"))).toBe("succeeded");
    expect(entry!.log.filter(({ event }) => event === EventId.TaskFailed).length).toBeGreaterThan(0);
});

describe("a member whose URL cannot be dialed", () => {
    const lines: { readonly event: EventId; readonly fields: LogFields }[] = [];
    const meshes: Mesh[] = [];

    async function createMesh(vm: string): Promise<{ readonly mesh: Mesh; readonly url: string }> {
        const [port] = await freePorts(1);
        const mesh = Mesh.create({
            host: "127.0.0.1",
            port: port!,
            secret: "the same secret",
            timer: SystemTimer.create(),
            metrics: Metrics.create(),
            log: { write: (_, event, fields = {}) => void lines.push({ event, fields }) },
        });
        mesh.setIdentity({ vm, incarnation: `${vm}#1` });
        await mesh.start();
        meshes.push(mesh);
        return { mesh, url: `ws://127.0.0.1:${port}` };
    }

    afterAll(() => Promise.all(meshes.map(mesh => mesh.stop())));

    test.each(["ws://127.0.0.1:99999", "ws://a b", "", "x"])(
        "(%j) does not keep the entry from dialing the others",
        async url => {
            lines.length = 0;
            const { mesh } = await createMesh(`z-${url}`);
            const other = await createMesh(`y-${url}`);
            mesh.setPeers([{ vm: "odd", url, isMutual: false }, {
                vm: `y-${url}`,
                url: other.url,
                isMutual: false,
            }]);
            await waitUntil(() => Promise.resolve(mesh.connected().length === 1));
            expect(mesh.connected().map(({ vm }) => vm)).toEqual([`y-${url}`]);
            await new Promise(resolve => setTimeout(resolve, 600));
            const reports = lines.filter(({ event }) => event === EventId.PeerUrlMalformed);
            expect(reports.map(({ fields }) => fields["peer"])).toEqual(url === "" ? [] : ["odd"]);
        },
    );
});
