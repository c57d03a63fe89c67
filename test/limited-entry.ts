/**
 * An entry of the built product in a process of its own, with a smaller heap than the deploy file gives it, beside the
 * stand-in platform on loopback. A process that ends is not started again.
 */
import { type ChildProcess, execFileSync, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Client } from "undici";
import { deployedNodeArgs } from "../bench/deployed-site.js";
import { encodeJob, idOf } from "../soak/jobs.js";
import type { JobSpec } from "../src/job/index.js";
import { freePorts } from "../standin/free-ports.js";
import { jobOf } from "../standin/site/site.js";
import { WirePlatform } from "../standin/wire/platform.js";

/** Heap limit of the process, in megabytes. */
export const heapMb = 64;
/**
 * The smallest machine has 250 MB, of which the deploy file gives 160 MB to the heap. The other 90 MB are for code,
 * stacks, buffers and all else outside the heap; the bound leaves the same to a process whose heap is smaller.
 */
export const maxResidentMb = heapMb + 250 - 160;
/** A listener holds 2,000 connections; 200 are for files, the other listeners, store, workers and peers. */
export const maxDescriptors = 2000 + 200;

export const host = "jobs.example";
export const pathPrefix = "/keyed/";
export const key = "k-ordinary";
/** Path prefix of a route whose calls need no key. */
export const anonymousPathPrefix = "/open/";

const ordinaryJob = jobOf({ tasks: 1, needs: { cpu: 100, memory: 10, accelerators: 0 }, estimateMs: 50 });
const statusOk = 200;
const address = "127.0.0.1";
const pool = "p";
const readyTimeoutMs = 20_000;
const pollMs = 50;
const sampleMs = 25;
const attemptTimeoutMs = 2000;
/** Time after which an ordinary call counts as never answered; an idle entry needs some milliseconds. */
const answerTimeoutMs = 4000;
const quietWindowMs = 250;
/** Clock ticks (of 10 ms) in a window below which the process counts as quiet; at rest it uses one or two. */
const quietTicks = 8;
const quietWindows = 2;
const settleTimeoutMs = 5000;
const keptOutputLength = 2000;

/** Names of the listeners of an entry. */
export type ListenerName = "callers" | "readiness" | "metrics" | "peers";

/** Builds the daemon into a temporary folder. */
export function buildDaemon(): { readonly program: string; readonly remove: () => void } {
    const folder = mkdtempSync(join(tmpdir(), "celerywind-limited-"));
    const program = join(folder, "celerywind-site.js");
    execFileSync(process.execPath, [
        fileURLToPath(new URL("../deploy/bundle/build.mjs", import.meta.url)),
        program,
    ]);
    return { program, remove: () => rmSync(folder, { recursive: true, force: true }) };
}

/** An entry whose resident memory and open descriptors are watched. */
export class LimitedEntry {
    /** Code or signal with which the process ended, and the last line that it wrote; undefined while it runs. */
    end: string | undefined;
    /** Largest resident memory so far, in megabytes. */
    peakResidentMb = 0;
    /** Largest number of open descriptors seen so far. */
    peakDescriptors = 0;
    private output = "";
    private nextNumber = 1;
    private readonly sampling = setInterval(() => this.sample(), sampleMs);

    private constructor(
        readonly ports: Readonly<Record<ListenerName, number>>,
        private readonly platform: WirePlatform,
        private readonly folder: string,
        private readonly child: ChildProcess,
    ) {
        const keep = (data: Buffer): void => {
            this.output = (this.output + data.toString()).slice(-keptOutputLength);
        };
        child.stdout!.on("data", keep);
        child.stderr!.on("data", keep);
        child.once("exit", (code, signal) => this.end = `ended with ${code ?? signal}`);
    }

    /** Starts the platform and the entry; resolves once the entry is ready. */
    static async start(program: string): Promise<LimitedEntry> {
        const platform = WirePlatform.create({ pool, workers: 1 });
        await platform.start();
        platform.writeOperatorRow("config", lists);
        const folder = mkdtempSync(join(tmpdir(), "celerywind-limited-"));
        const [callers, readiness, metrics, peers] = await freePorts(4);
        const ports = { callers: callers!, readiness: readiness!, metrics: metrics!, peers: peers! };
        const file = join(folder, "settings.jsonc");
        writeFileSync(file, JSON.stringify(settingsOf(ports, platform.address)));
        const child = spawn(process.execPath, [...limitedNodeArgs(), program], {
            env: { CELERYWIND_SETTINGS: file, PATH: process.env["PATH"] },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const entry = new LimitedEntry(ports, platform, folder, child);
        await entry.waitUntilReady();
        return entry;
    }

    /** Ends the process, if it still runs, and the platform. */
    async stop(): Promise<void> {
        clearInterval(this.sampling);
        if (this.end === undefined) {
            const exited = new Promise(resolve => this.child.once("exit", resolve));
            this.child.kill("SIGKILL");
            await exited;
        }
        await this.platform.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }

    /** Waits until the process has worked off what it was sent, or has ended, or is still busy after some seconds. */
    async settle(): Promise<void> {
        const deadline = performance.now() + settleTimeoutMs;
        let before = { ticks: this.usedTicks(), descriptors: this.peakDescriptors };
        let quietCount = 0;
        while (this.end === undefined && performance.now() < deadline && quietCount < quietWindows) {
            await pause(quietWindowMs);
            this.sample();
            const now = { ticks: this.usedTicks(), descriptors: this.peakDescriptors };
            const isQuiet = now.ticks - before.ticks < quietTicks && now.descriptors === before.descriptors;
            quietCount = isQuiet ? quietCount + 1 : 0;
            before = now;
        }
    }

    /**
     * Submits a job of one task on a connection of its own, again and again as clients of the platform do, until it is
     * accepted; returns the last status, 0 if there was no answer.
     */
    async submit(): Promise<number> {
        const id = this.expectJob(ordinaryJob);
        const headers = { host, authorization: `Bearer ${key}` };
        const body = encodeJob(ordinaryJob);
        return this.retry(() => this.call("callers", "POST", pathPrefix + id, headers, body));
    }

    /** Tells the platform of a job that will be submitted, and returns its id. */
    expectJob(job: JobSpec): string {
        const id = idOf(this.nextNumber++);
        this.platform.expectJob(id, job);
        return id;
    }

    /** Asks a listener for a path until it answers with 200; returns the last status, 0 if there was no answer. */
    async get(listener: ListenerName, path: string): Promise<number> {
        return this.retry(() => this.call(listener, "GET", path, { host: address }));
    }

    private async retry(call: () => Promise<number>): Promise<number> {
        const deadline = performance.now() + answerTimeoutMs;
        for (;;) {
            const status = await call();
            if (status === statusOk || this.end !== undefined || performance.now() > deadline) {
                return status;
            }
            await pause(pollMs);
        }
    }

    private async call(
        listener: ListenerName,
        method: "POST" | "GET",
        path: string,
        headers: Record<string, string>,
        body?: string,
    ): Promise<number> {
        const client = new Client(`http://${address}:${this.ports[listener]}`, {
            headersTimeout: attemptTimeoutMs,
            bodyTimeout: attemptTimeoutMs,
        });
        try {
            const answer = await client.request({
                method,
                path,
                headers,
                ...(body !== undefined && { body }),
            });
            await answer.body.dump();
            return answer.statusCode;
        }
        catch {
            // The entry closed the connection, did not answer in time, or has ended; the caller sees it by the status.
            return 0;
        }
        finally {
            await client.destroy();
        }
    }

    private async waitUntilReady(): Promise<void> {
        const deadline = performance.now() + readyTimeoutMs;
        while (await this.call("readiness", "GET", "/v1/readyz", { host: address }) !== statusOk) {
            if (this.end !== undefined || performance.now() > deadline) {
                await this.stop();
                throw new Error(`the entry did not get ready: ${this.end ?? ""} ${this.output}`);
            }
            await pause(pollMs);
        }
    }

    private sample(): void {
        try {
            const status = readFileSync(`/proc/${this.child.pid}/status`, "utf8");
            const residentKb = Number(/^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0);
            this.peakResidentMb = Math.max(this.peakResidentMb, Math.round(residentKb / 1024));
            const descriptors = readdirSync(`/proc/${this.child.pid}/fd`).length;
            this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
        }
        catch {
            // The process has ended, which `end` tells.
        }
    }

    /** Processor time of the process so far, in clock ticks. */
    private usedTicks(): number {
        try {
            const stat = readFileSync(`/proc/${this.child.pid}/stat`, "utf8");
            const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
            return Number(fields[11]) + Number(fields[12]);
        }
        catch {
            return 0;
        }
    }
}

const lists = {
    version: 1,
    routes: [
        { name: "r0", host, "path-prefix": pathPrefix, service: pool },
        { name: "r1", host, "path-prefix": anonymousPathPrefix, service: pool, anonymous: true },
    ],
    services: [{ name: pool, "admission-check": true }],
    tenants: [{ name: "t", "api-keys": [key], weight: 1 }],
};

/** Options of the runtime in the deploy file's command, with a lower heap limit. */
function limitedNodeArgs(): readonly string[] {
    return deployedNodeArgs().map(arg =>
        arg.startsWith("--max-old-space-size=") ? `--max-old-space-size=${heapMb}` : arg
    );
}

function settingsOf(ports: Readonly<Record<ListenerName, number>>, platformAddress: string): unknown {
    return {
        entry: "e0",
        callers: `${address}:${ports.callers}`,
        readiness: `${address}:${ports.readiness}`,
        metrics: `${address}:${ports.metrics}`,
        peers: { listen: `${address}:${ports.peers}`, secret: "0123456789abcdef", seeds: [] },
        store: platformAddress,
        inventory: platformAddress,
    };
}
