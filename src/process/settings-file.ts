/** Reads settings files. */
import { constants, openSync } from "node:fs";
import { readFile, stat } from "node:fs/promises";
import { Socket } from "node:net";
import { text } from "node:stream/consumers";

/** Reads the text of a settings file. A FIFO is read to the end of its first writer, which may be awaited for any time. */
export async function readSettingsFile(path: string): Promise<string> {
    return await isFifo(path) ? readFifo(path) : readFile(path, "utf8");
}

async function isFifo(path: string): Promise<boolean> {
    try {
        return (await stat(path)).isFIFO();
    }
    catch {
        return false;
    }
}

/** Waits without a thread of the pool: the process cannot exit while one of them is blocked. */
function readFifo(path: string): Promise<string> {
    const fd = openSync(path, constants.O_RDONLY | constants.O_NONBLOCK);
    return text(new Socket({ fd, readable: true, writable: false }));
}
