/**
 * A small deployment on loopback: the stand-in platform with its workers, and entries as processes of their own, started with
 * the command and the settings template of the deploy file.
 */
import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { freePorts } from "../../standin/free-ports.js";
import { WirePlatform, type WirePlatformOptions } from "../../standin/wire/platform.js";
import { render } from "./template.js";

/** The repository, in which the deploy file starts the program. */
export const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Bounds of `sites/nfwc-wind.toml` that the settings template or a check uses. */
export const bounds = {
    "contact-ms": 3000,
    "ack-ms": 4000,
    "config-ms": 2000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "hold-max-ms": 6000,
    "stop-ms": 200,
    "lease-ms": 3000,
    "notice-ms": 4500,
    "move-s": 1.5,
    "upkeep-s": 2,
    "grace-s": 6,
} as const;

const metricsPort = 7001;
const readyTimeoutMs = 20_000;
const readyPollMs = 100;
const restartDelayMs = 500;
const host = "127.0.0.1";

/** One entry process. */
export interface Entry {
    readonly name: string;
    /** Address for callers. */
    readonly front: string;
    readonly ready: string;
    /** Addresses that its settings name for the store and for the inventory. */
    readonly store: string;
    readonly cloud: string;
    child: ChildProcess;
    /** How often its process ended without having been asked to, and how. */
    readonly ownEnds: string[];
}

/** Options of `Site.start`. */
export interface SiteOptions extends WirePlatformOptions {
    readonly entries: number;
    /** The first manifest. */
    readonly manifest: unknown;
    /** Rewrites the addresses of the platform as one entry sees them, for a proxy. */
    readonly addressesFor?: (name: string, address: string) => Promise<{ store: string; cloud: string }>;
}

/** A running deployment. */
export class Site {
    readonly entries: Entry[] = [];
    private isEnding = false;

    private constructor(readonly platform: WirePlatform, private readonly folder: string) {}

    /** Starts the platform and the entries; resolves when all entries are ready. */
    static async start(options: SiteOptions): Promise<Site> {
        const platform = WirePlatform.create(options);
        const site = new Site(platform, mkdtempSync(join(tmpdir(), "celerywind-review-")));
        // Nothing outlives the script, however it ends.
        process.once("exit", () => site.killEntries());
        process.once("SIGTERM", () => process.exit(2));
        process.once("SIGINT", () => process.exit(2));
        await platform.start();
        platform.writeOperatorRow("config", options.manifest);
        const net = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const ports = await freePorts(3);
        for (let i = 0; i < options.entries; i++) {
            site.entries.push(await site.startEntry(i, `${net}.${10 + i}`, ports, options));
        }
        for (const entry of site.entries) {
            await site.untilReady(entry);
        }
        return site;
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    async end(): Promise<void> {
        this.isEnding = true;
        for (const { child } of this.entries) {
            if (typeof child.exitCode !== "number" && typeof child.signalCode !== "string") {
                const closed = new Promise(resolve => child.once("exit", resolve));
                child.kill("SIGKILL");
                await closed;
            }
        }
        await this.platform.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }

    private killEntries(): void {
        this.isEnding = true;
        this.entries.forEach(({ child }) => child.kill("SIGKILL"));
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Entries that ended by themselves. */
    get ownEnds(): readonly string[] {
        return this.entries.flatMap(({ name, ownEnds }) => ownEnds.map(end => `${name}: ${end}`));
    }

    /** Log lines of an entry that contain a text. */
    logLines(entry: Entry, text: string): readonly string[] {
        return readFileSync(join(this.folder, `${entry.name}.log`), "utf8").split("\n").filter(line =>
            line.includes(text)
        );
    }

    private async startEntry(
        number: number,
        ip: string,
        [front, ready, control]: readonly number[],
        options: SiteOptions,
    ): Promise<Entry> {
        const name = `edge-${number}`;
        await checkFree(ip, metricsPort);
        const plain = { store: this.platform.address, cloud: this.platform.address };
        const { store, cloud } = await options.addressesFor?.(name, this.platform.address) ?? plain;
        const fields = {
            node: name,
            zone: "z",
            ip,
            listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}`, control: `${ip}:${control}` },
            "seed-addrs": [0, 1, 2].slice(0, options.entries).map(i =>
                `${ip.slice(0, ip.lastIndexOf("."))}.${10 + i}:${control}`
            ),
            platform: { address: store },
            cloud: { address: cloud, "duty-per-s": 64 },
            advice: "",
            bounds,
        };
        const file = join(this.folder, `${name}.jsonc`);
        mkdirSync(this.folder, { recursive: true });
        writeFileSync(file, render(readFileSync(join(root, "deploy/settings.jsonc"), "utf8"), fields));
        const entry: Entry = {
            name,
            front: `${ip}:${front}`,
            ready: `${ip}:${ready}`,
            store,
            cloud,
            child: this.spawn(file, name),
            ownEnds: [],
        };
        this.restartWhenEnded(entry, file);
        return entry;
    }

    private spawn(file: string, name: string): ChildProcess {
        const [program, ...args] = deployCommand();
        const child = spawn(program === "node" ? process.execPath : program!, args, {
            cwd: root,
            env: { CELERYWIND_SETTINGS: file, PATH: process.env["PATH"] },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const log = createWriteStream(join(this.folder, `${name}.log`), { flags: "a" });
        child.stdout.pipe(log, { end: false });
        child.stderr.pipe(log, { end: false });
        return child;
    }

    /** Starts a process that has ended again after a short delay, as the platform does. */
    private restartWhenEnded(entry: Entry, file: string): void {
        entry.child.once("exit", (code, signal) => {
            if (this.isEnding) {
                return;
            }
            entry.ownEnds.push(String(code ?? signal));
            setTimeout(() => {
                if (!this.isEnding) {
                    entry.child = this.spawn(file, entry.name);
                    this.restartWhenEnded(entry, file);
                }
            }, restartDelayMs);
        });
    }

    private async untilReady(entry: Entry): Promise<void> {
        const deadline = performance.now() + readyTimeoutMs;
        while (performance.now() < deadline && entry.ownEnds.length === 0) {
            const isReady = await fetch(`http://${entry.ready}/v1/readyz`).then(
                res => res.status === 200,
                () => false,
            );
            if (isReady) {
                return;
            }
            await pause(readyPollMs);
        }
        throw new Error(`${entry.name} did not get ready (${entry.ownEnds[0] ?? "it runs"})`);
    }
}

/** The words of the command with which the deploy file starts an entry. */
function deployCommand(): readonly string[] {
    const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const command = /^run = "(.*)"$/m.exec(text)?.[1];
    if (command === undefined) {
        throw new Error("deploy/system.toml has no command");
    }
    return command.split(" ");
}

async function checkFree(ip: string, port: number): Promise<void> {
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, ip, resolve);
    });
    await new Promise(resolve => server.close(resolve));
}

/** Address on the host of the stand-in platform. */
export function localAddress(port: number): string {
    return `${host}:${port}`;
}
