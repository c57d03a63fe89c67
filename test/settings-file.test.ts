import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { open } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, describe, expect, test } from "vitest";
import { readSettingsFile } from "../src/process/settings-file.js";

const folder = mkdtempSync(join(tmpdir(), "celerywind-settings-"));

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe("a settings file", () => {
    test("is read whole", async () => {
        const file = join(folder, "regular.jsonc");
        writeFileSync(file, "{ } // é");
        expect(await readSettingsFile(file)).toBe("{ } // é");
    });

    test("that is a FIFO is read until its writer closes it", async () => {
        const file = join(folder, "fifo.jsonc");
        execFileSync("mkfifo", [file]);
        const text = readSettingsFile(file);
        const writer = await open(file, "w");
        const bytes = Buffer.from("{ } // é");
        // The second part begins inside a character.
        await writer.write(bytes.subarray(0, -1));
        expect(await Promise.race([text, new Promise(resolve => setTimeout(resolve, 50, "waiting"))])).toBe(
            "waiting",
        );
        await writer.write(bytes.subarray(-1));
        await writer.close();
        expect(await text).toBe("{ } // é");
    });

    test("that is missing is named in the error", async () => {
        const file = join(folder, "missing.jsonc");
        await expect(readSettingsFile(file)).rejects.toThrow(file);
    });
});
