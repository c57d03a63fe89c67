import { readdir, readFile } from "node:fs/promises";
import { describe, expect, test } from "vitest";
import { EventId } from "../src/process/events.js";
import { parseSettings } from "../src/process/settings.js";
import { parseLists } from "../src/version/schema.js";

const readRepositoryFile = (path: string): Promise<string> =>
    readFile(new URL(`../${path}`, import.meta.url), "utf8");

describe("the operator documentation", () => {
    test("lists every log event with its number and name, and no other", async () => {
        const page = await readRepositoryFile("docs/EVENTS.md");
        const documented = [...page.matchAll(/^\| (\d{4}) \| (\w+) \|/gm)].map(([, number, name]) =>
            `${number} ${name}`
        );
        const declared = Object.entries(EventId)
            .filter(([, number]) => typeof number === "number")
            .map(([name, number]) => `${number} ${name}`);
        expect(documented.sort()).toEqual(declared.sort());
    });

    test("names the scheduling parts that the deployment's settings switch on", async () => {
        const settings = await readRepositoryFile("deploy/settings.jsonc");
        const [, flags = ""] = /^\s*"scheduling": \{([^}]*)\}/m.exec(settings) ?? [];
        const switchedOn = [...flags.matchAll(/"(\w+)": true/g)].map(([, flag]) => flag);
        const page = await readRepositoryFile("docs/OPERATIONS.md");
        const [, documented] = /^On in `deploy\/settings\.jsonc`: (.*)\.$/m.exec(page) ?? [];
        expect(documented).toBe(switchedOn.join(", ") || "none");
    });

    test("lists every metric, and no other", async () => {
        const page = await readRepositoryFile("docs/METRICS.md");
        const listed = [...page.matchAll(/^\| (celerywind_\w+) \|/gm)].map(([, name]) => name);
        const folders = await Promise.all(["src", "platform"].map(async folder => {
            const files = await readdir(new URL(`../${folder}`, import.meta.url), { recursive: true });
            return files.filter(file => file.endsWith(".ts")).map(file => `${folder}/${file}`);
        }));
        const sources = await Promise.all(folders.flat().map(file => readRepositoryFile(file)));
        const used = sources.flatMap(source =>
            [...source.matchAll(/"(celerywind_\w+)"/g)].map(([, name]) => name)
        );
        expect([...new Set(listed)].sort()).toEqual([...new Set(used)].sort());
    });
});

describe("the examples", () => {
    test.each(["narragansett", "atlas"])("of lists for %s are valid", async site => {
        const [plans, teams] = await Promise.all(["plans", "teams"].map(async list => {
            const file = `examples/${site}/${list}.jsonc`;
            return { file, text: await readRepositoryFile(file) };
        }));
        expect(Object.keys(parseLists(plans!, teams!).teams)).toHaveLength(6);
    });

    test("of settings are valid", async () => {
        expect(
            parseSettings("examples/celerywind.jsonc", await readRepositoryFile("examples/celerywind.jsonc"))
                .vm,
        ).toBe(
            "entry-0",
        );
    });
});

describe("invalid settings", () => {
    const baseSettings = {
        vm: "entry-0",
        zone: "z",
        callers: { port: 1 },
        operators: { port: 2 },
        peers: { port: 3, secret: "0123456789abcdef" },
        platform: { kind: "embedded" },
    };

    test.each([
        [{ callers: { port: 70_000 } }, /callers\.port: found 70000; give a port number from 0 to 65535/],
        [{ operators: { port: "80" } }, /operators\.port: found "80"; give a port number from 0 to 65535/],
        [{ peers: { port: 3, secret: "short" } }, /peers\.secret: found "short"; give the shared secret/],
        [{ platform: { kind: "other" } }, /platform.*; give a platform with kind/],
        [{ zone: undefined }, /zone: found nothing; give this VM's availability zone/],
        [{ colour: "red" }, /colour/],
    ])("%o are rejected with the path, the value found and the remedy", (difference, message) => {
        expect(() => parseSettings("s.jsonc", JSON.stringify({ ...baseSettings, ...difference }))).toThrow(
            message,
        );
    });
});
