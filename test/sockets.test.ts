import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { request } from "undici";
import { afterAll, afterEach, beforeAll, describe, expect, test } from "vitest";
import { WebSocket } from "ws";
import { HttpListener } from "../src/connection/caller/index.js";
import { Mesh } from "../src/connection/peer/index.js";
import { AttemptKind, Upstream } from "../src/connection/upstream/index.js";
import { silentLog } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { Random } from "../src/process/random.js";
import { SystemTimer, type Timer } from "../src/process/timer.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { freePorts } from "../standin/free-ports.js";
import { CallOutcome } from "../standin/history.js";
import { followSchedule, LoadGenerator } from "../standin/load-generator.js";
import { narragansett, scaleShop } from "../standin/shops.js";
import { Site } from "../standin/site.js";

const shop = scaleShop(narragansett, 2);

describe("the caller API", () => {
    const site = Site.create({ shop, entries: 2, seed: 1, settings: { limits: { requestBytes: 2048 } } });
    let key = "";
    let url = "";

    beforeAll(async () => {
        await site.start();
        key = (await site.issueKey("benches")).text;
        await site.waitUntil(() =>
            site.entries.every(({ entry }) => entry.core.versions.state.keys.size === 1)
        );
        url = site.entries[0]!.callerUrl;
    });

    afterAll(() => site.stop());

    async function post(path: string, headers: Record<string, string>, body: string | Buffer = "{}") {
        const res = await request(`${url}${path}`, { method: "POST", headers, body });
        return {
            status: res.statusCode,
            headers: res.headers,
            body: await res.body.json() as Record<string, unknown>,
        };
    }

    const bearer = (): Record<string, string> => ({ authorization: `Bearer ${key}` });

    test("returns the worker's complete response and the request id", async () => {
        const answer = await post("/v1/queues/fold-preview/requests", {
            ...bearer(),
            "celerywind-request-id": "my-id",
        }, "abc");
        expect(answer.status).toBe(200);
        expect(answer.headers["celerywind-request-id"]).toBe("my-id");
        expect(answer.body).toMatchObject({ id: "my-id", echo: Buffer.from("abc").toString("base64") });
    });

    test.each([
        ["/v1/queues/fold-preview/requests", {}, 401, "no-key"],
        ["/v1/queues/fold-preview/requests", { authorization: "Bearer cw_nonsense" }, 401, "bad-key"],
        ["/v1/nothing", {}, 404, "unknown-queue"],
    ])("refuses %s with %o", async (path, headers, status, reason) => {
        const answer = await post(path, headers);
        expect(answer).toMatchObject({ status, body: { outcome: "not-run", reason, status } });
        expect(answer.headers["content-type"]).toBe("application/problem+json");
    });

    test("refuses an unknown queue, a queue of another plan, and the wrong class", async () => {
        expect(await post("/v1/queues/nothing/requests", bearer())).toMatchObject({ status: 404 });
        expect(await post("/v1/queues/bridal-order/requests", bearer())).toMatchObject({ status: 403 });
        expect(await post("/v1/queues/monogram-proof/requests", bearer())).toMatchObject({ status: 400 });
    });

    test("refuses a body that is too large, and keeps serving", async () => {
        const answer = await post("/v1/queues/fold-preview/requests", bearer(), Buffer.alloc(5000));
        expect(answer).toMatchObject({ status: 413, body: { outcome: "not-run", reason: "too-large" } });
        expect(await post("/v1/queues/fold-preview/requests", bearer())).toMatchObject({ status: 200 });
    });

    test("refuses a job larger than any worker, and one with a malformed size", async () => {
        const path = "/v1/queues/monogram-proof/jobs";
        expect(await post(path, { ...bearer(), "celerywind-cores": "999" })).toMatchObject({ status: 422 });
        expect(await post(path, { ...bearer(), "celerywind-cores": "many" })).toMatchObject({ status: 400 });
    });

    test("answers malformed HTTP with 400, and keeps serving", async () => {
        const { port } = new URL(url);
        const text = await new Promise<string>(resolve => {
            const socket = connect(Number(port), "127.0.0.1", () => socket.write("NONSENSE\r\n\r\n"));
            let received = "";
            socket.on("data", chunk => received += chunk.toString());
            socket.on("close", () => resolve(received));
        });
        expect(text).toMatch(/^HTTP\/1\.1 400 /);
        expect(await post("/v1/queues/fold-preview/requests", bearer())).toMatchObject({ status: 200 });
    });

    test("denies access to the jobs of other teams", async () => {
        const accepted = await post("/v1/queues/monogram-proof/jobs", bearer());
        expect(accepted.status).toBe(202);
        const otherKey = (await site.issueKey("thames-boutique")).text;
        const res = await request(`${url}${accepted.headers["location"] as string}`, {
            headers: { authorization: `Bearer ${otherKey}` },
        });
        await res.body.dump();
        expect(res.statusCode).toBe(403);
    });

    test("rate-limits an address that guesses keys", async () => {
        const entryUrl = site.entries[1]!.callerUrl;
        const statuses: number[] = [];
        for (let guess = 0; guess < 25; guess++) {
            const res = await request(`${entryUrl}/v1/queues/fold-preview/requests`, {
                method: "POST",
                headers: { authorization: `Bearer cw_${"0".repeat(12)}_${"1".repeat(48)}` },
            });
            await res.body.dump();
            statuses.push(res.statusCode);
        }
        expect(statuses.slice(0, 10).every(status => status === 401)).toBe(true);
        expect(statuses.at(-1)).toBe(429);
    });
});

describe("the load generator", () => {
    test("makes the same number of calls in a busy process as in an idle one", async () => {
        const site = Site.create({ shop, entries: 1, seed: 3 });
        await site.start();
        const loads = [{ queue: "square-price", teams: ["guest"], requestsPerS: 100, serviceMs: 20 }];
        const countCalls = async (idPrefix: string): Promise<number> => {
            const load = LoadGenerator.create({ site, seed: 3, keys: new Map(), idPrefix });
            await load.run(loads, 1, 1000);
            await load.close();
            return load.calls.length;
        };
        const idleCount = await countCalls("idle");
        const blocker = setInterval(() => blockEventLoop(100), 110);
        const busyCount = await countCalls("busy");
        clearInterval(blocker);
        await site.stop();
        expect(idleCount).toBeGreaterThan(80);
        expect(busyCount).toBe(idleCount);
    });

    test("sends no call before it is due, none never, and few at once after a late wake-up", async () => {
        const virtual = VirtualTimer.create();
        const random = Random.create(4);
        const lateTimer: Timer = {
            now: () => virtual.now(),
            wall: () => virtual.wall(),
            after: (ms, fn) => virtual.after(ms + random.int(400), fn),
            every: (ms, fn) => virtual.every(ms, fn),
        };
        const dueTimesMs = Array.from({ length: 200 }, (_, index) => index * 20);
        const startedAtMs = virtual.now();
        const sentAtMs: number[] = [];
        const run = followSchedule(lateTimer, dueTimesMs, () => sentAtMs.push(virtual.now() - startedAtMs));
        await virtual.advance(20_000);
        await run;
        expect(sentAtMs).toHaveLength(dueTimesMs.length);
        expect(sentAtMs.filter((at, index) => at < dueTimesMs[index]!)).toEqual([]);
        const counts = new Map<number, number>();
        sentAtMs.forEach(at => counts.set(at, (counts.get(at) ?? 0) + 1));
        expect(Math.max(...counts.values())).toBe(8);
    });
});

/** Keeps the process from doing anything else. */
function blockEventLoop(ms: number): void {
    const end = performance.now() + ms;
    while (performance.now() < end) {
        // Nothing to do.
    }
}

describe("a rolling restart of all entries under load", () => {
    test("interrupts no request and loses no job", async () => {
        const site = Site.create({ shop, entries: 3, seed: 2 });
        await site.start();
        const keys = new Map<string, string>();
        for (
            const team of [
                "thames-boutique",
                "benches",
                "bellevue-boutique",
                "newport-weddings",
                "duty-committee",
            ]
        ) {
            keys.set(team, (await site.issueKey(team)).text);
        }
        const targetRevision = site.entries[0]!.entry.core.versions.state.revision;
        await site.waitUntil(() =>
            site.entries.every(({ entry }) => entry.core.versions.state.revision === targetRevision)
        );
        const load = LoadGenerator.create({ site, seed: 2, keys });
        const loadRun = load.run(shop.loads, 2, 9000);
        for (let index = 0; index < 3; index++) {
            await site.replaceEntry(index);
        }
        await loadRun;
        await load.waitForJobs(20_000);
        await load.close();
        await site.stop();
        expect(load.calls.length).toBeGreaterThan(300);
        expect(load.calls.filter(call => call.outcome === CallOutcome.Broken || !call.isAnswerCorrect))
            .toEqual([]);
        expect(load.jobs.filter(job => job.state !== "done")).toEqual([]);
    });
});

describe("a listener that closes", () => {
    test("answers the requests of all connections that were made before", async () => {
        const callerCount = 40;
        const [port] = await freePorts(1);
        const listener = HttpListener.create({
            name: "callers",
            host: "127.0.0.1",
            port: port!,
            limits: { connections: 1000 },
            onRequest: (_, res) => void res.end("ok"),
        });
        await listener.listen();
        const callers = Array.from({ length: callerCount }, () => createCaller(port!));
        await Promise.all(callers.map(({ connected }) => connected));
        await listener.acceptPending();
        await listener.close();
        const answers = await Promise.all(callers.map(({ answer }) => answer));
        expect(answers.filter(text => !/^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\nok$/.test(text))).toEqual([]);
    });

    /** Connects and sends a request at once; `answer` is all that was received, or the error. */
    function createCaller(port: number) {
        const socket = connect(port, "127.0.0.1");
        const connected = new Promise<void>(resolve => {
            socket.once("connect", () => {
                socket.write("GET / HTTP/1.1\r\nhost: h\r\n\r\n");
                resolve();
            });
        });
        const answer = new Promise<string>(resolve => {
            let received = "";
            socket.on("data", chunk => received += chunk.toString());
            socket.on("error", err => resolve(err.message));
            socket.on("close", () => resolve(received));
        });
        return { connected, answer };
    }
});

describe("connections to workers", () => {
    const servers: Server[] = [];
    const sockets: Socket[] = [];

    afterEach(async () => {
        sockets.splice(0).forEach(socket => socket.destroy());
        await Promise.all(servers.splice(0).map(server => new Promise(resolve => server.close(resolve))));
    });

    /** Starts a raw TCP server that calls `onData` with the socket and the connection's index on each chunk; returns its URL. */
    async function serve(onData: (socket: Socket, connection: number) => void): Promise<string> {
        let connections = 0;
        const server = createServer(socket => {
            const connection = connections++;
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => onData(socket, connection));
        });
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    }

    const upstream = (): Upstream =>
        Upstream.create({ metrics: Metrics.create(), maxConnections: 8, maxAnswerBytes: 1000 });
    const createRequest = (idempotent: boolean) => ({
        id: "r",
        team: "t",
        queue: "q",
        contentType: "text/plain",
        body: Buffer.from("x"),
        idempotent,
    });
    const okResponse = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

    test.each([
        ["a truncated body", "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nok"],
        ["a truncated chunked body", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nok"],
        ["a body without a length", "HTTP/1.1 200 OK\r\n\r\nok"],
        ["an empty response", ""],
        ["a response that is not HTTP", "nonsense\r\n\r\n"],
        ["a body over the size limit", `HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n${"x".repeat(2000)}`],
    ])("never accept %s as a response", async (_, bytes) => {
        const origin = await serve(socket => socket.end(bytes));
        expect(await upstream().send(origin, createRequest(true), 2000)).toMatchObject({
            kind: AttemptKind.Interrupted,
        });
    });

    test("report that nothing was sent when the worker does not listen", async () => {
        const [port] = await freePorts(1);
        expect(await upstream().send(`http://127.0.0.1:${port}`, createRequest(false), 1000)).toMatchObject({
            kind: AttemptKind.NotSent,
        });
    });

    test("time out when the worker does not respond", async () => {
        const origin = await serve(() => undefined);
        expect(await upstream().send(origin, createRequest(true), 300)).toMatchObject({
            kind: AttemptKind.TimedOut,
        });
    });

    test("are new for every request that is not idempotent, which a dead reused connection could lose", async () => {
        const connectionsUsed: number[] = [];
        const origin = await serve((socket, connection) => {
            connectionsUsed.push(connection);
            socket.write(okResponse);
        });
        const client = upstream();
        for (let index = 0; index < 3; index++) {
            expect(await client.send(origin, createRequest(false), 1000)).toMatchObject({
                kind: AttemptKind.Completed,
            });
        }
        expect(new Set(connectionsUsed).size).toBe(3);
        await client.close();
    });
});

describe("peer links", () => {
    /** Time in which a listener accepts a connection on loopback, in milliseconds. */
    const acceptedMs = 100;
    const meshes: Mesh[] = [];

    afterEach(async () => {
        await Promise.all(meshes.splice(0).map(mesh => mesh.stop()));
    });

    async function createMesh(vm: string, secret: string) {
        const [port] = await freePorts(1);
        const metrics = Metrics.create();
        const timer = SystemTimer.create();
        const mesh = Mesh.create({ host: "127.0.0.1", port: port!, secret, timer, metrics, log: silentLog });
        mesh.setIdentity({ vm, incarnation: `${vm}#1` });
        mesh.on("echo", (peer, body) => ({ from: peer.vm, body }));
        await mesh.start();
        meshes.push(mesh);
        return { mesh, metrics, url: `ws://127.0.0.1:${port}` };
    }

    async function waitUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
    }

    test("carry requests in both directions once both ends have proved that they have the secret", async () => {
        const a = await createMesh("a", "the same secret");
        const b = await createMesh("b", "the same secret");
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() => b.mesh.connected().length === 1);
        expect(await a.mesh.request("b", "echo", 1, 1000)).toEqual({ from: "a", body: 1 });
        expect(await b.mesh.request("a", "echo", 2, 1000)).toEqual({ from: "b", body: 2 });
    });

    test("are refused to a peer with another secret", async () => {
        const a = await createMesh("a", "one secret");
        const b = await createMesh("b", "another secret");
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() =>
            a.metrics.read("celerywind_peer_links_closed_total", { reason: "rejected-handshake" }) > 0
        );
        expect(b.mesh.connected()).toEqual([]);
        await expect(a.mesh.request("b", "echo", 1, 100)).rejects.toMatchObject({ wasSent: false });
    });

    test("close on a malformed frame and count the reason", async () => {
        const a = await createMesh("a", "secret");
        const socket = new WebSocket(a.url);
        await new Promise(resolve => socket.once("open", resolve));
        socket.send(Buffer.from([0xc1, 0xff, 0x00]));
        await new Promise(resolve => socket.once("close", resolve));
        expect(a.metrics.read("celerywind_peer_links_closed_total", { reason: "malformed-frame" })).toBe(1);
    });

    test("stay open when a notification's body is not what its handler expects", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        b.mesh.on("strict", (_, body) => (body as { list: string[] }).list.length);
        b.mesh.on("strict later", async (_, body) => {
            await Promise.resolve();
            return (body as { list: string[] }).list.length;
        });
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() => a.mesh.connected().length === 1);
        a.mesh.notify("b", "strict", 1);
        a.mesh.notify("b", "strict later", {});
        const rejected = (topic: string): number =>
            b.metrics.read("celerywind_peer_notifications_rejected_total", { topic });
        await waitUntil(() => rejected("strict") + rejected("strict later") === 2);
        expect(await a.mesh.request("b", "echo", 1, 1000)).toEqual({ from: "a", body: 1 });
    });

    test("report a request as possibly sent when the link closes before the reply", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        b.mesh.on("never", () => new Promise(() => undefined));
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() => a.mesh.connected().length === 1);
        const pendingRequest = a.mesh.request("b", "never", 1, 5000);
        setTimeout(() => void b.mesh.stop(), 50);
        await expect(pendingRequest).rejects.toMatchObject({ wasSent: true });
    });

    test("that stall without closing are replaced, and requests in flight fail as possibly sent", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        b.mesh.on("never", () => new Promise(() => undefined));
        const forwarder = await createForwarder(Number(new URL(b.url).port));
        a.mesh.setPeers([{ vm: "b", url: forwarder.url }]);
        await waitUntil(() => a.mesh.connected().length === 1);
        const pendingRequest = a.mesh.request("b", "never", 1, 30_000);
        forwarder.stall();
        await expect(pendingRequest).rejects.toMatchObject({ wasSent: true });
        expect(a.metrics.read("celerywind_peer_links_closed_total", { reason: "silent" })).toBe(1);
        await waitUntil(() => a.mesh.connected().length === 1);
        expect(await a.mesh.request("b", "echo", 2, 1000)).toEqual({ from: "a", body: 2 });
        await forwarder.close();
    });

    test("that both ends dial at the same time become one link, which stays open", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        a.mesh.setPeers([{ vm: "b", url: b.url, isMutual: false }]);
        b.mesh.setPeers([{ vm: "a", url: a.url, isMutual: false }]);
        await waitUntil(() => a.mesh.connected().length === 1 && b.mesh.connected().length === 1);
        await new Promise(resolve => setTimeout(resolve, 300));
        const count = ({ metrics }: typeof a): number =>
            metrics.read("celerywind_peer_links_closed_total", { reason: "unneeded" });
        const closedBefore = count(a);
        await new Promise(resolve => setTimeout(resolve, 1000));
        expect(count(a)).toBe(closedBefore);
        expect(await a.mesh.request("b", "echo", 1, 1000)).toEqual({ from: "a", body: 1 });
        expect(await b.mesh.request("a", "echo", 2, 1000)).toEqual({ from: "b", body: 2 });
    });

    test("are dialed by the larger VM name when the smaller one does not need them", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        b.mesh.setPeers([{ vm: "a", url: a.url, isMutual: false }]);
        await waitUntil(() => a.mesh.connected().length === 1);
        expect(await a.mesh.request("b", "echo", 1, 1000)).toEqual({ from: "a", body: 1 });
    });

    test("are closed some seconds after the end that dialed needs them no more", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() => b.mesh.connected().length === 1);
        a.mesh.setPeers([]);
        await new Promise(resolve => setTimeout(resolve, 1000));
        expect(b.mesh.connected()).toHaveLength(1);
        await waitUntil(() => b.mesh.connected().length === 0);
        expect(b.metrics.read("celerywind_peer_links_closed_total", { reason: "unneeded" })).toBe(1);
    }, 10_000);

    test("stay open at rest", async () => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() => b.mesh.connected().length === 1);
        await new Promise(resolve => setTimeout(resolve, 3500));
        expect(a.mesh.connected()).toHaveLength(1);
        expect(a.metrics.read("celerywind_peer_links_closed_total", { reason: "silent" })).toBe(0);
    }, 10_000);

    test.each([
        ["says nothing", ""],
        ["breaks off in its request", "GET / HTTP/1.1\r\nhost: a\r\n"],
    ])("end when the entry stops, although a connection that %s stays open", async (_, sent) => {
        const a = await createMesh("a", "secret");
        const b = await createMesh("b", "secret");
        a.mesh.setPeers([{ vm: "b", url: b.url }]);
        await waitUntil(() => b.mesh.connected().length === 1);
        const silent = connect(Number(new URL(b.url).port), "127.0.0.1");
        silent.on("error", () => undefined);
        await new Promise<void>(resolve => silent.write(sent, () => resolve()));
        await waitUntil(() => silent.readyState === "open");
        await new Promise(resolve => setTimeout(resolve, acceptedMs));
        let hasStopped = false;
        void b.mesh.stop().then(() => {
            hasStopped = true;
        });
        await new Promise(resolve => setTimeout(resolve, 1000));
        silent.destroy();
        expect(hasStopped).toBe(true);
    });
});

/** Starts a TCP proxy to a port; `stall` stops forwarding on the open connections without closing them. */
async function createForwarder(port: number) {
    const open: Socket[] = [];
    const server = createServer(socket => {
        const target = connect(port, "127.0.0.1");
        socket.pipe(target).pipe(socket);
        [socket, target].forEach(each => each.on("error", () => undefined));
        open.push(socket, target);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        url: `ws://127.0.0.1:${(server.address() as AddressInfo).port}`,
        stall: () => open.splice(0).forEach(socket => socket.unpipe().pause()),
        close: () => {
            open.forEach(socket => socket.destroy());
            return new Promise(resolve => {
                server.close(resolve);
                setTimeout(resolve, 100);
            });
        },
    };
}
