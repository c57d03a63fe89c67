import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { closeSync, mkdtempSync, readFileSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { createServer, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { afterAll, beforeAll, describe, expect, onTestFinished, test } from "vitest";
import { EntryProcess, handlesSignals } from "../soak/entry-process.js";
import { judgeCalls } from "../soak/judge.js";
import { Link, LinkMode } from "../soak/link.js";
import { host, listenAnywhere } from "../soak/loopback.js";
import { type Fault, FaultKind, planFaults } from "../soak/plan.js";
import { playRound, roundFolder } from "../soak/round.js";
import { planEvacuations, zones } from "../soak/zones.js";
import { createFifo, endOf, openWriter, waitForExit, waitUntil } from "./daemon-process.js";

const folder = mkdtempSync(join(tmpdir(), "celerywind-soak-"));
const program = join(folder, "celerywind-site.js");

beforeAll(() => {
    const build = fileURLToPath(new URL("../deploy/bundle/build.mjs", import.meta.url));
    execFileSync(process.execPath, [build, program]);
});

afterAll(() => rmSync(folder, { recursive: true, force: true }));

function isStopped({ pid }: { readonly pid?: number | undefined }): boolean {
    return /^State:\s*T/m.test(readFileSync(`/proc/${pid}/status`, "utf8"));
}

describe("the built daemon", () => {
    const signalGapMs = 100;
    const settings = JSON.stringify({
        entry: "e",
        callers: "127.0.0.1:0",
        readiness: "127.0.0.1:0",
        metrics: "127.0.0.1:0",
        peers: { listen: "127.0.0.1:0", secret: "0123456789abcdef" },
        store: "127.0.0.1:1",
    });

    function startDaemon(file: string): ChildProcess {
        const child = spawn(process.execPath, [program], {
            env: { CELERYWIND_SETTINGS: file },
            stdio: "ignore",
        });
        onTestFinished(() => void child.kill("SIGKILL"));
        return child;
    }

    test("survives a SIGHUP, and exits with code 0 on a SIGTERM, that arrive before it has read its settings", async () => {
        const file = createFifo(folder, "settings.jsonc");
        const child = startDaemon(file);
        const exited = waitForExit(child);
        const writer = await openWriter(child, file);
        child.kill("SIGHUP");
        await pause(signalGapMs);
        expect(endOf(child)).toBeUndefined();
        // Stopped, it cannot act on the SIGTERM before the settings are there as well.
        child.kill("SIGSTOP");
        await waitUntil(child, () => isStopped(child));
        child.kill("SIGTERM");
        writeSync(writer, settings);
        closeSync(writer);
        child.kill("SIGCONT");
        expect(await exited).toBe("0");
    });

    test("exits with code 0 on a SIGTERM while it waits for its settings", async () => {
        const file = createFifo(folder, "silent.jsonc");
        const child = startDaemon(file);
        const exited = waitForExit(child);
        const writer = await openWriter(child, file);
        child.kill("SIGHUP");
        await pause(signalGapMs);
        expect(endOf(child)).toBeUndefined();
        child.kill("SIGTERM");
        expect(await exited).toBe("0");
        closeSync(writer);
    });

    test("exits with code 0 on a SIGTERM that arrives as soon as it handles signals, without ever getting settings", async () => {
        const child = startDaemon(createFifo(folder, "unwritten.jsonc"));
        const exited = waitForExit(child);
        await waitUntil(child, () => handlesSignals(child));
        child.kill("SIGHUP");
        child.kill("SIGTERM");
        expect(await exited).toBe("0");
    });
});

describe("an entry as a process", () => {
    test("may end by a SIGTERM that was sent before it handled signals, while it stood still for longer than that counts", async () => {
        const source = join(folder, "still.mjs");
        writeFileSync(source, "setInterval(() => undefined, 1000);");
        const ends: string[] = [];
        const entry = EntryProcess.create({
            name: "still",
            program: source,
            folder,
            ports: { callers: 1, readiness: 1, metrics: 1, peers: 1 },
            advertise: "",
            store: "",
            inventory: "",
            onBadEnd: text => ends.push(text),
            onOwnEnd: text => ends.push(text),
        });
        entry.start();
        onTestFinished(() => entry.end());
        entry.pause();
        // Of two signals that are pending, SIGTERM would be delivered first.
        while (!isStopped(entry)) {
            await pause(10);
        }
        entry.term();
        await pause(2500);
        expect(entry.lifetime).toBe(1);
        const ended = entry.ended();
        entry.resume();
        await ended;
        expect(ends).toEqual([]);
    });
});

describe("a link", () => {
    async function createEchoLink(): Promise<{ link: Link; close: () => void; open: () => Promise<Socket> }> {
        const { connect } = await import("node:net");
        const server = createServer(socket => socket.on("error", () => undefined).pipe(socket));
        const link = await Link.create(await listenAnywhere(server));
        return {
            link,
            close: () => {
                link.close();
                server.close();
            },
            open: () =>
                new Promise(resolve => {
                    const socket: Socket = connect({ port: link.port, host }, () => resolve(socket));
                    socket.on("error", () => resolve(socket));
                }),
        };
    }

    /** Sends a text and resolves with the first data received, "closed", or "nothing" after `withinMs`. */
    function exchange(socket: Socket, text: string, withinMs: number): Promise<string> {
        return new Promise(resolve => {
            setTimeout(() => resolve("nothing"), withinMs);
            if (socket.destroyed) {
                resolve("closed");
            }
            socket.once("data", data => resolve(data.toString()));
            socket.once("close", () => resolve("closed"));
            socket.write(text);
        });
    }

    test("forwards bytes in both directions, also when delayed", async () => {
        const { link, open, close } = await createEchoLink();
        const socket = await open();
        expect(await exchange(socket, "a", 200)).toBe("a");
        link.set(LinkMode.Delayed);
        expect(await exchange(socket, "b", 100)).toBe("nothing");
        expect(await exchange(socket, "c", 2000)).toMatch(/b|bc/);
        close();
    });

    test("that was silent stays so on its old connections and forwards new ones once it is reopened", async () => {
        const { link, open, close } = await createEchoLink();
        const socket = await open();
        link.set(LinkMode.Silent);
        link.set(LinkMode.Open);
        expect(await exchange(socket, "a", 200)).toBe("nothing");
        expect(await exchange(await open(), "b", 2000)).toBe("b");
        close();
    });

    test("that is reset closes its connections", async () => {
        const { link, open, close } = await createEchoLink();
        const socket = await open();
        const closed = new Promise(resolve => socket.resume().once("close", resolve));
        link.set(LinkMode.Reset);
        await closed;
        expect(await exchange(await open(), "b", 2000)).toBe("closed");
        close();
    });
});

describe("the faults of a round", () => {
    test("are the same for the same seed, and differ between adjacent seeds", () => {
        const plan = (seed: number) =>
            planFaults({ seed, lengthMs: 15_000, meanGapMs: 900, isPlannedOnly: false });
        expect(plan(1)).toEqual(plan(1));
        const firstFaultTimes = [1, 2, 3, 4].map(seed => plan(seed)[0]!.atMs);
        expect(new Set(firstFaultTimes).size).toBe(4);
        expect([1, 2, 3, 4].every(seed => plan(seed).length > 5)).toBe(true);
    });

    // Guards against: a restart whose cut outlasts the traffic, or one in a round whose calls are judged without excuse.
    test("restart workers under their ids within the traffic, but not among planned work", () => {
        const lengthMs = 15_000;
        const seeds = Array.from({ length: 100 }, (_, seed) => seed);
        const restartsOf = (isPlannedOnly: boolean) =>
            seeds.map(seed =>
                planFaults({ seed, lengthMs, meanGapMs: 900, isPlannedOnly })
                    .filter(({ kind }) => kind === FaultKind.WorkersRestart)
            );
        expect(restartsOf(true).flat()).toEqual([]);
        const plans = restartsOf(false);
        expect(plans.filter(plan => plan.length > 0).length).toBeGreaterThan(70);
        for (const { atMs, forMs, restart } of plans.flat()) {
            expect(atMs + forMs).toBeLessThan(lengthMs);
            expect(forMs).toBeGreaterThanOrEqual(restart!.downMs + restart!.cutAfterMs + 4000);
        }
    });
});

describe("the evacuations of a round", () => {
    test("are the same for the same seed, last long enough to be checked, and never overlap or outlast the traffic", () => {
        const lengthMs = 15_000;
        const seeds = Array.from({ length: 100 }, (_, seed) => seed);
        expect(planEvacuations(1, lengthMs)).toEqual(planEvacuations(1, lengthMs));
        const plans = seeds.map(seed => planEvacuations(seed, lengthMs));
        expect(plans.filter(plan => plan.length > 0).length).toBeGreaterThan(90);
        for (const plan of plans) {
            expect(plan.every(({ forMs }) => forMs >= 6500)).toBe(true);
            const ends = plan.map(({ atMs, forMs }) => atMs + forMs);
            expect(ends.every((end, at) => end <= (plan[at + 1]?.atMs ?? lengthMs))).toBe(true);
        }
        expect(new Set(plans.flat().map(({ zone }) => zone))).toEqual(new Set(zones));
    });
});

describe("calls of a round", () => {
    const call = { entry: "e0", method: "GET", job: "j", sentAt: 10_000 };
    const judgeCall = (
        endedAt: number,
        result: { status: number } | undefined,
        faults: readonly Fault[] = [],
    ) => judgeCalls({
        records: [{
            ...call,
            endedAt,
            result: result === undefined
                ? { kind: "broken", reason: "reset" }
                : { kind: "answer", ...result, body: {} },
        }],
        faults,
        startedAt: 0,
        acceptedAt: new Map([["j", 5000]]),
    });
    const killFault: Fault = { kind: FaultKind.Kill, atMs: 8000, forMs: 100, at: 0, link: LinkMode.Open };

    test("must not break off without a fault, nor around a planned one", () => {
        expect(judgeCall(10_500, undefined)).toHaveLength(1);
        expect(judgeCall(10_500, undefined, [{ ...killFault, kind: FaultKind.Term }])).toHaveLength(1);
        expect(judgeCall(10_500, undefined, [killFault])).toEqual([]);
        expect(judgeCall(10_100, undefined)).toEqual([]);
    });

    test("must not be answered late without a fault", () => {
        expect(judgeCall(14_000, { status: 200 })).toHaveLength(1);
        expect(judgeCall(14_000, { status: 200 }, [killFault])).toEqual([]);
    });

    test("must never report an accepted job as gone", () => {
        expect(judgeCall(10_100, { status: 410 }, [killFault])).toHaveLength(1);
    });
});

describe("a round of the soak", () => {
    /** Plays a round with another program in place of the daemon; `readyMs` is the time that it has to get ready. */
    async function playWith(name: string, source: string, readyMs?: number) {
        const standin = join(folder, `${name}.mjs`);
        writeFileSync(standin, source);
        const startedAt = performance.now();
        const result = await playRound({
            seed: 3,
            program: standin,
            folder: join(folder, name),
            entries: 1,
            lengthMs: 3000,
            jobsPerSecond: 4,
            ...(readyMs !== undefined && { readyMs }),
        });
        return { ...result, tookMs: performance.now() - startedAt };
    }

    test("fails early and names the entry and the reason when a process ends by itself", async () => {
        const { breaches, calls, tookMs } = await playWith(
            "ends",
            "console.log('starting'); console.error('no room for it'); process.exitCode = 1;",
        );
        expect(breaches).toEqual([expect.stringMatching(/e0 ended by itself with 1: no room for it$/)]);
        expect(calls).toBeLessThan(10);
        expect(tookMs).toBeLessThan(10_000);
    });

    test("fails early and names the entry and the last answer when an entry does not get ready", async () => {
        const { breaches, calls, tookMs } = await playWith(
            "waits",
            "setInterval(() => undefined, 1000);",
            1000,
        );
        expect(breaches).toEqual([
            expect.stringMatching(/e0 was not ready after 1000 ms; its last answer: broken: .+/),
        ]);
        expect(calls).toBeLessThan(10);
        expect(tookMs).toBeLessThan(10_000);
    });

    test("keeps the promises under the faults of its seed", async () => {
        const seed = 3;
        const result = await playRound({
            seed,
            program,
            folder: roundFolder(folder, seed),
            lengthMs: 6000,
            jobsPerSecond: 4,
        });
        expect(result.breaches).toEqual([]);
        expect(result.starts).toBeGreaterThan(10);
    }, 60_000);
});
