import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, mkdtempSync, rmSync, writeSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, describe, expect, onTestFinished, test } from "vitest";
import { createFifo, openWriter, waitForExit } from "./daemon-process.js";

const folder = mkdtempSync(join(tmpdir(), "celerywind-daemon-"));
const program = fileURLToPath(new URL("../src/celerywindd.ts", import.meta.url));

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe("celerywindd", () => {
    function startDaemon(...flags: string[]): ChildProcess {
        const child = spawn(process.execPath, ["--import", "tsx", program, ...flags], { stdio: "ignore" });
        onTestFinished(() => void child.kill("SIGKILL"));
        return child;
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
});
