import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, describe, expect, test } from "vitest";
import { Mesh } from "../src/connection/peer/index.js";
import { Metrics } from "../src/process/metrics.js";
import { SystemTimer } from "../src/process/timer.js";
import { decodeListsResponse, ListsEncoder } from "../src/version/list-transfer.js";
import { freePorts } from "../standin/free-ports.js";

const timer = SystemTimer.create();
const silentLog = { write: () => undefined };
const secret = "the same secret";
/** Bandwidth of the link between the peers. */
const linkBytesPerMs = 1000;
const tickMs = 10;
/** Takes longer to arrive than the timeout of the request and than the receive timeout of a link, 1.5 s. */
const responseBytes = 2_500_000;
const timeoutMs = 600;

const meshes: Mesh[] = [];
const servers: Server[] = [];

afterEach(async () => {
    await Promise.all(meshes.splice(0).map(mesh => mesh.stop()));
    servers.splice(0).forEach(server => server.close());
});

async function createMesh(vm: string) {
    const [port] = await freePorts(1);
    const metrics = Metrics.create();
    const mesh = Mesh.create({ host: "127.0.0.1", port: port!, secret, timer, metrics, log: silentLog });
    mesh.setIdentity({ vm, incarnation: `${vm}#1` });
    await mesh.start();
    meshes.push(mesh);
    return { mesh, metrics, port: port! };
}

/** Starts a proxy that passes on at most `linkBytesPerMs` from the target, and `limitBytes` in all; returns its port. */
async function startNarrowLink(targetPort: number, limitBytes = Infinity): Promise<number> {
    const [port] = await freePorts(1);
    const server = createServer(dialer => {
        const target = connect(targetPort, "127.0.0.1");
        dialer.pipe(target);
        forwardSlowly(target, dialer, limitBytes);
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", resolve));
    return port!;
}

function forwardSlowly(target: Socket, dialer: Socket, limitBytes: number): void {
    let forwardedBytes = 0;
    const cancel = timer.every(tickMs, () => {
        const bytes = Math.min(linkBytesPerMs * tickMs, limitBytes - forwardedBytes, target.readableLength);
        if (bytes > 0) {
            dialer.write(target.read(bytes) as Buffer);
            forwardedBytes += bytes;
        }
    });
    target.pause();
    target.on("readable", () => undefined);
    const end = (): void => {
        cancel();
        target.destroy();
        dialer.destroy();
    };
    target.on("error", end).on("close", end);
    dialer.on("error", end).on("close", end);
}

async function connectPeers(limitBytes?: number) {
    const a = await createMesh("a");
    const b = await createMesh("b");
    b.mesh.on("large", () => "x".repeat(responseBytes));
    b.mesh.on("unanswered", () => new Promise(() => undefined));
    a.mesh.setPeers([{ vm: "b", url: `ws://127.0.0.1:${await startNarrowLink(b.port, limitBytes)}` }]);
    while (a.mesh.connected().length === 0) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    return a;
}

describe("a response of a peer that arrives for longer than the timeouts of its request and of the link", () => {
    test("is received whole over the same link", async () => {
        const { mesh, metrics } = await connectPeers();
        expect(await mesh.request("b", "large", {}, timeoutMs)).toHaveLength(responseBytes);
        expect(metrics.read("celerywind_peer_links_closed_total", { reason: "silent" })).toBe(0);
    });

    test("is given up once no more of it arrives", async () => {
        const { mesh } = await connectPeers(responseBytes / 2);
        const startedAt = timer.now();
        await expect(mesh.request("b", "large", {}, timeoutMs)).rejects.toMatchObject({ wasSent: true });
        expect(timer.now() - startedAt).toBeLessThan(responseBytes / 2 / linkBytesPerMs + 3 * timeoutMs);
    });

    test("does not keep a request waiting that the peer does not answer", async () => {
        const { mesh } = await connectPeers();
        const startedAt = timer.now();
        await expect(mesh.request("b", "unanswered", {}, timeoutMs)).rejects.toMatchObject({ wasSent: true });
        expect(timer.now() - startedAt).toBeLessThan(2 * timeoutMs);
    });
});

describe("lists that are sent to a peer", () => {
    const queue = (i: number): string =>
        JSON.stringify({ name: `r-${i * 7919}`, host: `h${i % 20}.example`, timeoutMs: 3000 });
    const text = `[${Array.from({ length: 1500 }, (_, i) => queue(i)).join()}]`;

    test("take a fraction of their size, and arrive unchanged", () => {
        const body = ListsEncoder.create().encode(text, { acceptsGzip: true });
        expect(body.length).toBeLessThan(text.length / 4);
        expect(decodeListsResponse(body)).toBe(text);
    });

    test("are not compressed for an entry of an earlier version, and malformed ones are recognised", () => {
        expect(ListsEncoder.create().encode(text, {})).toBe(text);
        expect(decodeListsResponse(text)).toBe(text);
        expect(decodeListsResponse(Buffer.from("no gzip"))).toBeUndefined();
        expect(decodeListsResponse({ unknown: true })).toBeUndefined();
    });

    test("are those in force after they have changed", () => {
        const encoder = ListsEncoder.create();
        encoder.encode(text, { acceptsGzip: true });
        expect(decodeListsResponse(encoder.encode(`${text} `, { acceptsGzip: true }))).toBe(`${text} `);
    });
});
