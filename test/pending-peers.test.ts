import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, expect, test } from "vitest";
import { WebSocket } from "ws";
import { Mesh } from "../src/connection/peer/index.js";
import { encodeFrame, FrameKind, protocolVersion } from "../src/connection/peer/message.js";
import { silentLog } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { SystemTimer } from "../src/process/timer.js";
import { freePorts } from "../standin/free-ports.js";

const meshes: Mesh[] = [];
const sockets: Socket[] = [];

afterEach(async () => {
    sockets.splice(0).forEach(socket => socket.destroy());
    await Promise.all(meshes.splice(0).map(mesh => mesh.stop()));
});

async function createMesh(vm: string) {
    const [port] = await freePorts(1);
    const metrics = Metrics.create();
    const mesh = Mesh.create({
        host: "127.0.0.1",
        port: port!,
        secret: "a-secret-of-this-test",
        timer: SystemTimer.create(),
        metrics,
        log: silentLog,
    });
    mesh.setIdentity({ vm, incarnation: `${vm}#1` });
    await mesh.start();
    meshes.push(mesh);
    return {
        mesh,
        port: port!,
        metrics,
        refusals: (reason: string) => metrics.read("celerywind_peer_connections_refused_total", { reason }),
    };
}

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let i = 0; i < 400 && !condition(); i++) {
        await pause(10);
    }
    expect(condition()).toBe(true);
}

function openSocket(port: number, text: string): Socket {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined);
    socket.write(text);
    sockets.push(socket);
    return socket;
}

describe("the listener for peers", () => {
    // Guards against: a link that is taken for one that sends too much, since its first message is large.
    test("accepts a large message right behind the handshake", async () => {
        const a = await createMesh("a");
        const b = await createMesh("b");
        const received: number[] = [];
        b.mesh.on("large", (_, body) => void received.push((body as string).length));
        a.mesh.setPeers([{ vm: "b", url: `ws://127.0.0.1:${b.port}` }]);
        await waitUntil(() => a.mesh.connected().length === 1);
        a.mesh.notify("b", "large", "x".repeat(4_000_000));
        await waitUntil(() => received.length === 1);
        expect(received).toEqual([4_000_000]);
        expect(b.refusals("bytes")).toBe(0);
    });

    // Guards against: connections without number that say nothing, and peers that find no place beside them.
    test("keeps the newest of the connections that have not proved the secret", async () => {
        const b = await createMesh("b");
        const a = await createMesh("a");
        const silent = Array.from({ length: 200 }, () => openSocket(b.port, ""));
        await waitUntil(() => b.refusals("connections") === 200 - 128);
        expect(silent.filter(socket => socket.destroyed).length).toBeLessThanOrEqual(72);
        a.mesh.setPeers([{ vm: "b", url: `ws://127.0.0.1:${b.port}` }]);
        await waitUntil(() => b.mesh.connected().length === 1);
    });

    test("closes a connection that sends other requests", async () => {
        const b = await createMesh("b");
        const socket = openSocket(b.port, "GET / HTTP/1.1\r\nhost: h\r\n\r\n".repeat(1000));
        await waitUntil(() => socket.destroyed);
        expect(b.refusals("request")).toBe(1);
    });

    // Guards against: challenges that are computed for one connection without end.
    test("closes a link that begins its handshake twice", async () => {
        const b = await createMesh("b");
        const socket = new WebSocket(`ws://127.0.0.1:${b.port}`);
        const closed = new Promise(resolve => socket.once("close", resolve));
        await new Promise(resolve => socket.once("open", resolve));
        const hello = encodeFrame({
            kind: FrameKind.Hello,
            protocol: protocolVersion,
            vm: "x",
            incarnation: "x#1",
            nonce: "n",
        });
        socket.send(hello);
        socket.send(hello);
        await closed;
        expect(b.metrics.read("celerywind_peer_links_closed_total", { reason: "rejected-handshake" })).toBe(
            1,
        );
    });

    // Guards against: frames of up to 72 MB that are collected before their sender has proved the secret.
    test("closes a link that sends more than a handshake takes", async () => {
        const b = await createMesh("b");
        const socket = new WebSocket(`ws://127.0.0.1:${b.port}`);
        socket.on("error", () => undefined);
        const closed = new Promise(resolve => socket.once("close", resolve));
        await new Promise(resolve => socket.once("open", resolve));
        socket.send(Buffer.alloc(8_000_000));
        await closed;
        expect(b.refusals("bytes")).toBe(1);
    });
});
