import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, mkdtempSync, rmSync, writeFileSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { afterAll, describe, expect, onTestFinished, test } from "vitest";
import { EventId } from "../src/process/events.js";
import { createFifo, openWriter, waitForExit, waitUntil } from "./daemon-process.js";

const folder = mkdtempSync(join(tmpdir(), "celerywind-daemon-"));
const program = fileURLToPath(new URL("../src/celerywindd.ts", import.meta.url));

const settings = {
    vm: "e",
    zone: "z",
    callers: { host: "127.0.0.1", port: 0 },
    operators: { host: "127.0.0.1", port: 0 },
    peers: { host: "127.0.0.1", port: 0, secret: "0123456789abcdef" },
    platform: { kind: "http", url: "http://127.0.0.1:1" },
};

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe("celerywindd", () => {
    function startDaemon(...flags: string[]): ChildProcess {
        const child = spawn(process.execPath, ["--import", "tsx", program, ...flags], {
            stdio: ["ignore", "ignore", "pipe"],
        });
        onTestFinished(() => void child.kill("SIGKILL"));
        return child;
    }

    /** Numbers of the log events written so far, which grow until `closed` resolves. */
    function collectEvents(child: ChildProcess): { events: readonly number[]; closed: Promise<unknown> } {
        const events: number[] = [];
        const lines = createInterface({ input: child.stderr! });
        lines.on("line", line => events.push((JSON.parse(line) as { event: number }).event));
        return { events, closed: once(lines, "close") };
    }

    test.each(["SIGTERM", "SIGINT"] as const)(
        "exits with code 0 on a %s while it waits for its settings",
        async signal => {
            const file = createFifo(folder, `${signal}.jsonc`);
            const child = startDaemon("--settings", file);
            const exited = waitForExit(child);
            const writer = await openWriter(child, file);
            child.kill(signal);
            expect(await exited).toBe("0");
            closeSync(writer);
        },
    );

    test("that only checks its settings does not report them as valid when a signal ends it", async () => {
        const file = createFifo(folder, "check.jsonc");
        const child = startDaemon("--settings", file, "--check");
        const exited = waitForExit(child);
        const writer = await openWriter(child, file);
        child.kill("SIGTERM");
        expect(await exited).toBe("SIGTERM");
        closeSync(writer);
    });

    test("reads its settings from a FIFO and rejects wrong ones with code 2", async () => {
        const file = createFifo(folder, "wrong.jsonc");
        const child = startDaemon("--settings", file);
        const exited = waitForExit(child);
        const writer = await openWriter(child, file);
        writeSync(writer, "{}");
        closeSync(writer);
        expect(await exited).toBe("2");
    });

    test("completes its planned stop on a SIGTERM before it exits with code 0", async () => {
        const file = join(folder, "running.jsonc");
        writeFileSync(file, JSON.stringify(settings));
        const child = startDaemon("--settings", file);
        const exited = waitForExit(child);
        const { events, closed } = collectEvents(child);
        await waitUntil(child, () => events.includes(EventId.EntryReady));
        child.kill("SIGTERM");
        expect(await exited).toBe("0");
        await closed;
        expect(events.slice(events.indexOf(EventId.EntryReady))).toEqual(
            expect.arrayContaining([EventId.EntryStopping, EventId.EntryStopped]),
        );
    });
});
