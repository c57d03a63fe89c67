import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { type AddressInfo, createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, afterEach, describe, expect, test } from "vitest";
import { createPlatformEntry } from "../platform/entry.js";
import { HttpPlatform } from "../src/connection/platform/http.js";
import { Entry } from "../src/entry.js";
import { ListenError } from "../src/process/errors.js";
import { EventId } from "../src/process/events.js";
import { silentLog } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { Random } from "../src/process/random.js";
import { parseSettings } from "../src/process/settings.js";
import { parseSiteSettings } from "../src/process/site-settings.js";
import { SystemTimer } from "../src/process/timer.js";
import { freePorts } from "../standin/free-ports.js";
import { narragansett, scaleShop } from "../standin/shops.js";
import { Site } from "../standin/site.js";
import { WirePlatform } from "../standin/wire/platform.js";

const folder = mkdtempSync(join(tmpdir(), "celerywind-listening-"));
const servers: Server[] = [];
const secret = "0123456789abcdef";
/** A daemon that has not ended after this time lives on. */
const exitLimitMs = 20_000;

afterEach(async () => {
    await Promise.all(servers.splice(0).map(server => new Promise(resolve => server.close(resolve))));
});

afterAll(() => rmSync(folder, { recursive: true, force: true }));

/** Listens on a port of 127.0.0.1; 0 picks a free one. Rejects when the port is taken. */
async function holdPort(port = 0): Promise<number> {
    const server = createServer(socket => socket.destroy());
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    servers.push(server);
    return (server.address() as AddressInfo).port;
}

interface Ended {
    readonly exit: string;
    readonly stdout: string;
    readonly stderr: string;
}

/**
 * Runs a program until it ends; one that lives on is killed, and its exit is "alive". It gets SIGTERM when it writes
 * `stopAt`.
 */
function run(
    program: string,
    args: readonly string[],
    env: Record<string, string> = {},
    stopAt?: string,
): Promise<Ended> {
    const path = fileURLToPath(new URL(`../${program}`, import.meta.url));
    const child = spawn(process.execPath, ["--import", "tsx", path, ...args], {
        env: { PATH: process.env["PATH"], ...env },
        stdio: ["ignore", "pipe", "pipe"],
    });
    let stdout = "";
    let stderr = "";
    let isAlive = false;
    let isStopped = false;
    child.stdout.on("data", data => stdout += String(data));
    child.stderr.on("data", data => {
        stderr += String(data);
        if (!isStopped && stopAt !== undefined && stderr.includes(stopAt)) {
            isStopped = true;
            child.kill("SIGTERM");
        }
    });
    const killTimer = setTimeout(() => {
        isAlive = true;
        child.kill("SIGKILL");
    }, exitLimitMs);
    return new Promise(resolve =>
        child.once("close", (code, signal) => {
            clearTimeout(killTimer);
            resolve({ exit: isAlive ? "alive" : String(code ?? signal), stdout, stderr });
        })
    );
}

function writeSettings(name: string, settings: unknown): string {
    const file = join(folder, `${name}.jsonc`);
    writeFileSync(file, JSON.stringify(settings));
    return file;
}

/** The log line that says why a daemon could not listen. */
function listenFailureIn(log: string): { readonly err: string } | undefined {
    const lines = log.split("\n").filter(line => line.startsWith("{"));
    return lines.map(line => JSON.parse(line) as { event: number; err: string }).find(({ event }) =>
        event === Number(EventId.ListenFailed)
    );
}

/** Settings of a daemon of a site; `taken` is the port of the listener `name`, and the others are free. */
function siteSettingsWith(name: string, taken: number, store = "127.0.0.1:1") {
    const address = (listener: string): string => `127.0.0.1:${listener === name ? taken : 0}`;
    return {
        entry: "e",
        callers: address("callers"),
        readiness: address("readiness"),
        metrics: address("metrics"),
        peers: { listen: address("peers"), secret },
        store,
    };
}

function settingsWith(name: string, taken: number, url = "http://127.0.0.1:1") {
    const listener = (other: string) => ({ port: other === name ? taken : 0 });
    return {
        vm: "e",
        zone: "z",
        callers: listener("callers"),
        operators: listener("operators"),
        peers: { ...listener("peers"), secret },
        platform: { kind: "http" as const, url },
    };
}

describe("a daemon of a site", () => {
    test.each(["callers", "readiness", "metrics", "peers"])(
        "whose port of %s is taken ends with code 1 and names address, cause and remedy",
        async name => {
            const port = await holdPort();
            const file = writeSettings(`site-${name}`, siteSettingsWith(name, port));
            const { exit, stdout } = await run("platform/main.ts", [], { CELERYWIND_SETTINGS: file });
            expect(exit).toBe("1");
            const message = new RegExp(
                `${name}.* 127\\.0\\.0\\.1:${port}.*EADDRINUSE.*; end .*or set another`,
            );
            expect(listenFailureIn(stdout)?.err).toMatch(message);
        },
    );

    test.each(["127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:http"])(
        "whose settings give callers the address %s ends with code 2",
        async callers => {
            const settings = { ...siteSettingsWith("", 0), callers };
            const file = writeSettings("site-port", settings);
            const { exit, stderr } = await run("platform/main.ts", [], { CELERYWIND_SETTINGS: file });
            expect(exit).toBe("2");
            expect(stderr).toContain(`callers: found "${callers}"; give `);
        },
    );
});

describe("celerywindd", () => {
    test.each(["callers", "operators", "peers"])(
        "whose port of %s is taken ends with code 1 and names address, cause and remedy",
        async name => {
            const port = await holdPort();
            const settings = { ...settingsWith(name, port), platform: { kind: "embedded" } };
            const file = writeSettings(name, settings);
            const { exit, stderr } = await run("src/celerywindd.ts", ["--settings", file]);
            expect(exit).toBe("1");
            const message = new RegExp(
                `${name}.* 127\\.0\\.0\\.1:${port}.*EADDRINUSE.*; end .*or set another`,
            );
            expect(listenFailureIn(stderr)?.err).toMatch(message);
        },
    );
});

describe("celerywindd", () => {
    test("that gets SIGTERM stops as planned, and only then ends with code 0", async () => {
        const settings = { ...settingsWith("", 0), platform: { kind: "embedded" } };
        const file = writeSettings("stops", settings);
        const { exit, stderr } = await run("src/celerywindd.ts", ["--settings", file], {}, "EntryReady");
        expect(exit).toBe("0");
        expect(stderr).toMatch(/"EntryStopping"[^]*"EntryStopped"/);
    });
});

describe("an entry that cannot listen", () => {
    test.each(["callers", "readiness", "metrics", "peers"])(
        "for %s on its site closes its other listeners and does not join the members",
        async name => {
            const platform = WirePlatform.create({ pool: "bench", workers: 1 });
            await platform.start();
            const names = ["callers", "readiness", "metrics", "peers"];
            const free = await freePorts(names.length);
            const [callers, readiness, metrics, listen] = free.map(port => `127.0.0.1:${port}`);
            await holdPort(free[names.indexOf(name)]);
            const peers = { listen, secret };
            const settings = { entry: "e", callers, readiness, metrics, peers, store: platform.address };
            const entry = createPlatformEntry({
                settings: parseSiteSettings("s", JSON.stringify(settings)),
                incarnation: "e#1",
                timer: SystemTimer.create(),
                metrics: Metrics.create(),
                log: silentLog,
            });
            await expect(entry.start()).rejects.toBeInstanceOf(ListenError);
            await Promise.all(free.filter((_, i) => names[i] !== name).map(port => holdPort(port)));
            expect(platform.calls).toEqual([]);
            await platform.stop();
        },
    );

    test("for callers closes its other listeners and leaves the members", async () => {
        const site = Site.create({ shop: scaleShop(narragansett, 2), entries: 1, seed: 1 });
        await site.start();
        const [callers, operators, peers] = await freePorts(3);
        await holdPort(callers);
        const settings = {
            ...settingsWith("", 0, site.platform.url),
            callers: { port: callers },
            operators: { port: operators },
            peers: { port: peers, secret },
        };
        const entry = Entry.create({
            settings: parseSettings("s", JSON.stringify(settings)),
            platform: HttpPlatform.create({ url: site.platform.url }),
            timer: site.timer,
            random: Random.create(1),
            log: silentLog,
        });
        await expect(entry.start()).rejects.toBeInstanceOf(ListenError);
        await Promise.all([operators, peers].map(port => holdPort(port)));
        await site.waitUntil(() => site.entries[0]!.entry.core.fleet.live.length === 1);
        await site.stop();
    });
});

describe("a stand-in", () => {
    test.each([
        ["standin/worker-main.ts", "65536"],
        ["standin/worker-main.ts", "http"],
        ["standin/platform-main.ts", "65536"],
        ["standin/platform-main.ts", ""],
    ])("(%s) refuses --port %o with code 2", async (program, port) => {
        const { exit, stderr } = await run(program, ["--port", port]);
        expect(exit).toBe("2");
        expect(stderr).toContain(`--port: found "${port}"; give a port number from 0 to 65535`);
    });
});
