/** A daemon as a child process that reads its settings from a FIFO. */
import { type ChildProcess, execFileSync } from "node:child_process";
import { constants, openSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { expect } from "vitest";

const pollMs = 1;

/** Creates a FIFO for the settings: its reader waits until a writer has closed its end. */
export function createFifo(folder: string, name: string): string {
    const file = join(folder, name);
    execFileSync("mkfifo", [file]);
    return file;
}

/** Waits until `isReached`; fails if the process ends before. */
export async function waitUntil(child: ChildProcess, isReached: () => boolean): Promise<void> {
    while (!isReached()) {
        expect(endOf(child)).toBeUndefined();
        await pause(pollMs);
    }
}

/** Waits until the daemon has opened the FIFO, and returns the writer's end. */
export async function openWriter(child: ChildProcess, file: string): Promise<number> {
    let writer: number | undefined;
    await waitUntil(child, () => (writer = tryOpenWriter(file)) !== undefined);
    return writer!;
}

/** Returns undefined while the FIFO has no reader. */
function tryOpenWriter(file: string): number | undefined {
    try {
        return openSync(file, constants.O_WRONLY | constants.O_NONBLOCK);
    }
    catch (err) {
        if ((err as NodeJS.ErrnoException).code === "ENXIO") {
            return undefined;
        }
        throw err;
    }
}

/** Exit code or signal; undefined while the process runs. */
export function endOf(child: ChildProcess): number | string | undefined {
    return child.exitCode ?? child.signalCode ?? undefined;
}

/** Resolves with the exit code or the signal. */
export function waitForExit(child: ChildProcess): Promise<string> {
    return new Promise(resolve => child.once("exit", (code, signal) => resolve(String(code ?? signal))));
}
