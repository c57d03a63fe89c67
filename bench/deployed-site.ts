/** Entries as processes of their own, with the options of the deploy file, beside the stand-in platform on loopback. */
import { execFileSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { EntryProcess } from "../soak/entry-process.js";
import { encodeJob, idOf, listsOf } from "../soak/jobs.js";
import type { JobSpec } from "../src/job/index.js";
import { freePorts } from "../standin/free-ports.js";
import { WirePlatform } from "../standin/wire/platform.js";

const host = "jobs.example";
const pool = "bench";
const callLimitMs = 3000;
const readyTimeoutMs = 20_000;
const pollMs = 50;

/** Options of `DeployedSite.start`. */
export interface DeployedSiteOptions {
    readonly entries: number;
    readonly workers: number;
}

/** An entry of the site. */
interface DeployedEntry {
    readonly process: EntryProcess;
    readonly callers: string;
    readonly readiness: string;
}

/** A site whose entries run the built daemon with the heap that the deploy file gives them. */
export class DeployedSite {
    /** Processes that ended without having been asked to, and how. */
    readonly ownEnds: string[] = [];
    /** Monotonic time of the first start of each job, in milliseconds. */
    private readonly firstStarts = new Map<string, number>();
    private readonly entries: DeployedEntry[] = [];
    private nextEntry = 0;

    private constructor(readonly platform: WirePlatform, private readonly folder: string) {}

    /** Builds the daemon, and starts the platform and the entries; resolves once all of them are ready. */
    static async start(options: DeployedSiteOptions): Promise<DeployedSite> {
        const site = await DeployedSite.create(options);
        await site.startEntries();
        return site;
    }

    /** Builds the daemon and starts the platform; `startEntries` starts the entries. */
    static async create({ entries, workers }: DeployedSiteOptions): Promise<DeployedSite> {
        const platform = WirePlatform.create({ pool, workers });
        const site = new DeployedSite(platform, mkdtempSync(join(tmpdir(), "celerywind-deployed-")));
        const program = join(site.folder, "celerywind-site.js");
        execFileSync(process.execPath, [repositoryPath("deploy/bundle/build.mjs"), program]);
        await platform.start();
        platform.writeOperatorRow("config", listsOf(3));
        site.watchStarts();
        for (let i = 0; i < entries; i++) {
            await site.addEntry(`e${i}`, program);
        }
        return site;
    }

    /** Starts the entries that do not run; resolves once all are ready. */
    async startEntries(): Promise<void> {
        this.entries.filter(({ process }) => !process.isRunning).forEach(({ process }) => process.start());
        const deadline = performance.now() + readyTimeoutMs;
        for (const { readiness, process } of this.entries) {
            while (!await isReady(readiness)) {
                if (performance.now() > deadline) {
                    throw new Error(`${process.name} did not get ready within ${readyTimeoutMs} ms`);
                }
                await pause(pollMs);
            }
        }
    }

    /** Kills all entries, which start again by themselves. */
    killEntries(): void {
        this.entries.forEach(({ process }) => process.kill());
    }

    /** Ends all processes that were started. */
    async end(): Promise<void> {
        await Promise.all(this.entries.map(({ process }) => process.end()));
        await this.platform.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Hands a job in at the next entry in turn; returns the status of the answer, 0 if there was none. */
    async submit(number: number, spec: JobSpec, workMs: number): Promise<number> {
        const id = idOf(number);
        this.platform.expectJob(id, spec, { workMs });
        return (await this.call("POST", id, encodeJob(spec))).status;
    }

    async cancel(number: number): Promise<number> {
        return (await this.call("DELETE", idOf(number))).status;
    }

    /** State of a job as shown to callers; undefined without an answer. */
    async stateOf(number: number): Promise<string | undefined> {
        return (await this.call("GET", idOf(number))).state;
    }

    /** Monotonic time of the first start of a job, in milliseconds; undefined before. */
    startedAt(number: number): number | undefined {
        return this.firstStarts.get(idOf(number));
    }

    /** Waits until a condition holds; false if it does not within `limitMs`. */
    async waitUntil(condition: () => boolean | Promise<boolean>, limitMs: number): Promise<boolean> {
        const deadline = performance.now() + limitMs;
        while (!await condition()) {
            if (performance.now() > deadline) {
                return false;
            }
            await pause(pollMs);
        }
        return true;
    }

    private async addEntry(name: string, program: string): Promise<void> {
        const [callers, readiness, metrics, peers] = await freePorts(4);
        const process = EntryProcess.create({
            name,
            program,
            nodeArgs: deployedNodeArgs(),
            folder: this.folder,
            ports: { callers: callers!, readiness: readiness!, metrics: metrics!, peers: peers! },
            advertise: `127.0.0.1:${peers}`,
            store: this.platform.address,
            inventory: this.platform.address,
            onBadEnd: text => this.ownEnds.push(text),
            onOwnEnd: text => this.ownEnds.push(text),
        });
        this.entries.push({
            process,
            callers: `http://127.0.0.1:${callers}`,
            readiness: `http://127.0.0.1:${readiness}/v1/readyz`,
        });
    }

    private watchStarts(): void {
        const { checker } = this.platform;
        const onRunStarted = checker.onRunStarted.bind(checker);
        checker.onRunStarted = (worker, order) => {
            const id = order.task.split(".", 1)[0]!;
            if (!this.firstStarts.has(id)) {
                this.firstStarts.set(id, performance.now());
            }
            onRunStarted(worker, order);
        };
    }

    private async call(
        method: "POST" | "GET" | "DELETE",
        id: string,
        body?: string,
    ): Promise<{ readonly status: number; readonly state?: string }> {
        const { callers } = this.entries[this.nextEntry++ % this.entries.length]!;
        try {
            const { statusCode, body: answer } = await request(`${callers}/open/${id}`, {
                method,
                headers: { host, "celerywind-deadline-ms": String(callLimitMs) },
                ...(body !== undefined && { body }),
                headersTimeout: 2 * callLimitMs,
            });
            return { ...await answer.json() as { state?: string }, status: statusCode };
        }
        catch {
            // The entry may have ended, which the caller of this method sees by the status.
            return { status: 0 };
        }
    }
}

/** Options of the runtime in the deploy file's command. */
export function deployedNodeArgs(): readonly string[] {
    const text = readFileSync(repositoryPath("deploy/system.toml"), "utf8");
    const command = /^run = "node (.*) \S+"$/m.exec(text)?.[1];
    if (command === undefined) {
        throw new Error("deploy/system.toml has no command that starts node");
    }
    return command.split(" ");
}

async function isReady(url: string): Promise<boolean> {
    try {
        const { statusCode, body } = await request(url);
        await body.dump();
        return statusCode === 200;
    }
    catch {
        // It does not listen yet.
        return false;
    }
}

function repositoryPath(path: string): string {
    return fileURLToPath(new URL(`../${path}`, import.meta.url));
}
