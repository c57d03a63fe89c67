/** A small deployment on loopback: store, machines, workers, and entries as processes. */
import { mkdtempSync, rmSync } from "node:fs";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { Entry, freePorts } from "./entry.js";
import { addressOf, type Answer, type Call, call, type CallerResponse, serve } from "./http.js";
import { Link } from "./link.js";
import { Recorder } from "./recorder.js";
import { Store } from "./store.js";
import { type Amounts, type Gangs, type RunPlan, Worker } from "./worker.js";

/** Options of `Site.create`. */
export interface SiteOptions {
    /** Folder of the case, for `record.txt`. */
    readonly folder: string;
    readonly entries: number;
    readonly workers: number;
    /** Machines of the spare pool; none by default. */
    readonly spares?: number;
    /** Kind of a machine, the first label of its workers, by its number; "a" by default. */
    readonly kindOf?: (machine: number) => string;
    readonly planOf: (task: string, run: number) => RunPlan | undefined;
    /** Time by which a worker carries a start out late, without an answer; 0 by default. */
    readonly startDelayMs?: (worker: Worker, task: string, run: number) => number;
    /** Called with what an entry sends to the inventory, before it is forwarded. */
    readonly onInventoryCall?: (entry: string, text: string) => void;
}

/** A machine of the platform. */
interface Machine {
    readonly name: string;
    readonly number: number;
    pool: string;
    state: "up" | "moving" | "upkeep";
    worker: Worker | undefined;
}

/** Links of one entry. */
interface EntryLinks {
    readonly store: Link;
    readonly inventory: Link;
    readonly peers: Link;
}

interface Wave {
    readonly machines: readonly string[];
    readonly cap: number;
    readonly begun: Set<string>;
}

/** Bounds of the deployment, as on the pages for nfwc-wind. */
const bounds = {
    "hold-max-ms": 6000,
    "stop-ms": 200,
    "lease-ms": 3000,
    "notice-ms": 4500,
    "move-s": 1.5,
    "upkeep-s": 2,
    "grace-s": 6,
};
const heartbeatMs = 1500;
/** An entry is removed after three heartbeats of silence. */
const expiryMs = 4500;
const capacity: Amounts = { cpu: 32_000, "mem-mb": 131_072 };
const inventoryMs = 4;
const readyTimeoutMs = 20_000;
export const pool = "bench";
const sparePool = "spare";
export const callerHost = "jobs.example";
export const callerKey = "key-of-team-a";
/** Machines a rack. */
const rackSize = 4;

/** A deployment. */
export class Site {
    readonly recorder: Recorder;
    readonly store = new Store();
    readonly entries: Entry[] = [];
    readonly machines: Machine[] = [];
    /** Rules that were broken, with what was seen. */
    readonly breaches: string[] = [];
    private readonly links = new Map<string, EntryLinks>();
    private readonly gangs: Gangs = new Map();
    private readonly waves = new Map<number, Wave>();
    private readonly servers: Server[] = [];
    private readonly temporary = mkdtempSync(join(tmpdir(), "celerywind-review-"));
    private readonly subnet = `127.${20 + Math.floor(Math.random() * 200)}.${
        Math.floor(Math.random() * 250)
    }`;
    private nextWorker = 1;
    private readonly cutEntries = new Set<string>();
    private heartbeats: NodeJS.Timeout | undefined;

    private constructor(private readonly options: SiteOptions) {
        this.recorder = Recorder.create(join(options.folder, "record.txt"));
    }

    /** Starts a deployment and waits until all entries are ready. */
    static async start(options: SiteOptions, manifest: unknown): Promise<Site> {
        const site = new Site(options);
        try {
            await site.begin(manifest);
        }
        catch (err) {
            site.stop();
            throw err;
        }
        return site;
    }

    /** Writes a manifest; the store's answer is its acknowledgement, so it is in force at once or soon after. */
    configure(manifest: unknown): void {
        this.store.write("op", "config", manifest);
        const { version, routes } = manifest as { version: number; routes: readonly { name: string }[] };
        this.recorder.write("manifest", { version, routes: routes.map(({ name }) => name).join(",") });
    }

    /** Orders a wave of upkeep. */
    orderWave(wave: number, machines: readonly string[], seconds: number, cap: number): void {
        this.waves.set(wave, { machines, cap, begun: new Set() });
        this.store.write("op", `wave/${wave}`, { wave, machines, "duration-s": seconds, cap });
        this.recorder.write("wave", { wave, machines: machines.join(","), cap });
    }

    /** Whether the upkeep of all machines of a wave has begun. */
    isWaveDone(number: number): boolean {
        const wave = this.waves.get(number);
        return wave !== undefined && wave.begun.size === wave.machines.length;
    }

    /** Entry that owns the domain by the store's row; undefined if there is none. */
    get owner(): Entry | undefined {
        const row = this.store.find("cluster", "main", "owner") as { entry?: string } | undefined;
        return this.entries.find(({ name }) => name === row?.entry);
    }

    /** Workers that are up. */
    get workers(): readonly Worker[] {
        return this.machines.flatMap(({ worker }) => worker ?? []);
    }

    /** Number of runs of a subtask that have ended as failed. */
    failuresOf(task: string): number {
        return this.workers.reduce((sum, worker) => sum + worker.failuresOf(task), 0);
    }

    /** Sends a caller's call to an entry and records it. */
    async call(
        entry: Entry,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body?: unknown,
    ): Promise<CallerResponse> {
        const sentAt = this.recorder.now;
        const response = await call({
            method,
            address: entry.front,
            path,
            host: callerHost,
            key: callerKey,
            ...(body !== undefined && { body }),
        });
        this.recorder.write("call", {
            entry: entry.name,
            method,
            path,
            status: response.status,
            body: JSON.stringify(response.body),
            ms: Math.round(this.recorder.now - sentAt),
        });
        return response;
    }

    /** Cuts an entry off from the store, the platform and the other entries for `ms`. */
    cutOff(entry: Entry, ms: number): void {
        this.recorder.write("cut begins", { entry: entry.name, ms });
        this.cutEntries.add(entry.name);
        const { store, inventory, peers } = this.links.get(entry.name)!;
        [store, inventory, peers].forEach(link => link.cut());
        setTimeout(() => {
            this.recorder.write("cut ends", { entry: entry.name });
            this.cutEntries.delete(entry.name);
            [inventory, store, peers].forEach(link => link.heal());
            this.links.forEach(links => links.peers.release());
        }, ms);
    }

    /** Ends all processes and servers. */
    stop(): void {
        clearInterval(this.heartbeats);
        this.entries.forEach(entry => entry.end());
        this.workers.forEach(worker => worker.close());
        this.links.forEach(({ store, inventory, peers }) =>
            [store, inventory, peers].forEach(link => link.close())
        );
        for (const server of this.servers) {
            server.closeAllConnections();
            server.close();
        }
        if (process.env["KEEP_LOGS"] === undefined) {
            rmSync(this.temporary, { recursive: true, force: true, maxRetries: 5 });
        }
        else {
            process.stdout.write(`logs: ${this.temporary}\n`);
        }
    }

    private async begin(manifest: unknown): Promise<void> {
        const host = `${this.subnet}.1`;
        const store = await serve(host, this.store.handle);
        const inventory = await serve(host, request => this.handleInventory(request));
        this.servers.push(store, inventory);
        const { workers, spares = 0, entries } = this.options;
        for (let number = 0; number < workers + spares; number++) {
            const machine: Machine = {
                name: `m-${number}`,
                number,
                pool: number < workers ? pool : sparePool,
                state: "up",
                worker: undefined,
            };
            this.machines.push(machine);
            await this.startWorker(machine);
        }
        this.heartbeats = setInterval(
            () => this.workers.forEach(worker => this.register(worker)),
            heartbeatMs,
        );
        this.configure(manifest);
        const plans = await Promise.all(Array.from({ length: entries }, async (_, number) => {
            const ip = `${this.subnet}.${10 + number}`;
            return { name: `edge-${number + 1}`, ip, ports: await freePorts(ip) };
        }));
        const links = await Promise.all(plans.map(async ({ name, ip, ports }) => ({
            store: await Link.open({ host, target: addressOf(store) }),
            inventory: await Link.open({
                host,
                target: addressOf(inventory),
                onData: data => this.options.onInventoryCall?.(name, data.toString("latin1")),
            }),
            peers: await Link.open({
                host,
                target: `${ip}:${ports.control}`,
                isCutFor: (from, to) =>
                    this.entries.some(entry =>
                        this.cutEntries.has(entry.name) && entry.hasConnection(from, to)
                    ),
            }),
        })));
        for (const [number, plan] of plans.entries()) {
            const own = links[number]!;
            this.links.set(plan.name, own);
            this.entries.push(Entry.create({
                ...plan,
                seeds: links.filter(other => other !== own).slice(0, 3).map(({ peers }) => peers.address),
                advertise: own.peers.address,
                folder: this.temporary,
                recorder: this.recorder,
                fields: {
                    platform: { address: own.store.address },
                    cloud: { address: spares > 0 ? own.inventory.address : "", "duty-per-s": 64 },
                    advice: "",
                    bounds,
                },
            }));
        }
        this.entries.forEach(entry => entry.start());
        await this.until(readyTimeoutMs, async () => {
            const responses = await Promise.all(
                this.entries.map(entry =>
                    call({ method: "GET", address: entry.ready, path: "/v1/readyz", host: "x", key: "" })
                ),
            );
            return responses.every(({ status }) => status === 200) && this.owner !== undefined;
        });
        this.recorder.write("ready", { owner: this.owner?.name });
    }

    /**
     * Cuts a worker off from all entries and the store for `ms`; `crashAfterMs` after that it crashes, and it is back under its id
     * `downMs` later.
     */
    async cutOffWorker(
        worker: Worker,
        { ms, crashAfterMs, downMs }: Readonly<Record<"ms" | "crashAfterMs" | "downMs", number>>,
    ): Promise<void> {
        this.recorder.write("cut begins", { worker: worker.id, ms });
        worker.isCutOff = true;
        worker.isSilent = true;
        const expiry = setTimeout(() => this.store.remove("servers", worker.id), expiryMs);
        setTimeout(() => {
            this.recorder.write("cut ends", { worker: worker.id });
            clearTimeout(expiry);
            worker.isCutOff = false;
            worker.isSilent = false;
            this.register(worker);
        }, ms);
        await pause(crashAfterMs);
        await this.restart(worker, downMs, ms);
    }

    /** Crashes a worker silently; it is back under its id after `downMs`, and reports to the store `silentMs` after that. */
    async restart(worker: Worker, downMs: number, silentMs: number): Promise<void> {
        this.recorder.write("worker crashes", { worker: worker.id, downMs });
        worker.loseLife();
        await pause(downMs);
        await worker.begin();
        this.recorder.write("worker is back", { worker: worker.id });
        worker.isSilent = true;
        await pause(silentMs);
        worker.isSilent = false;
        this.register(worker);
    }

    /**
     * Takes a machine away `noticeMs` after its worker has reported that it drains; another one of the same kind comes `laterMs`
     * after that.
     */
    async takeAway(name: string, noticeMs: number, laterMs: number): Promise<void> {
        const machine = this.machines.find(one => one.name === name)!;
        const { worker } = machine;
        this.recorder.write("notice", { machine: name, noticeMs });
        if (worker !== undefined) {
            worker.isDraining = true;
            this.register(worker);
        }
        await pause(noticeMs);
        this.machines.splice(this.machines.indexOf(machine), 1);
        worker?.close();
        if (worker !== undefined) {
            this.store.remove("servers", worker.id);
        }
        this.recorder.write("machine is gone", { machine: name });
        setTimeout(() => {
            const next: Machine = { ...machine, name: `${name}-next`, worker: undefined };
            this.machines.push(next);
            this.recorder.write("machine comes", { machine: next.name });
            void this.startWorker(next);
        }, laterMs);
    }

    /** Waits until `isTrue`; rejects after `ms`. */
    async until(ms: number, isTrue: () => Promise<boolean> | boolean): Promise<void> {
        const deadline = performance.now() + ms;
        while (!await isTrue()) {
            if (performance.now() > deadline) {
                throw new Error("the site did not get ready, or what was waited for did not happen");
            }
            await pause(50);
        }
    }

    private async startWorker(machine: Machine): Promise<void> {
        if (machine.pool === sparePool) {
            return;
        }
        const { planOf } = this.options;
        const worker = await Worker.start({
            id: `w-${this.nextWorker++}`,
            machine: machine.name,
            host: `${this.subnet}.${100 + machine.number}`,
            service: machine.pool,
            zone: "zone-a",
            labels: this.labelsOf(machine),
            capacity,
            planOf,
            gangs: this.gangs,
            recorder: this.recorder,
            onRunStarted: (started, task, run) => this.checkRun(started, task, run),
            startDelayMs: this.options.startDelayMs ?? (() => 0),
        });
        machine.worker = worker;
        this.register(worker);
    }

    /** Notes a run that starts while another one of its subtask runs on a worker that is up. */
    private checkRun(worker: Worker, task: string, run: number): void {
        const others = this.workers.filter(other => other !== worker && other.running.includes(task));
        if (others.length > 0) {
            const where = others.map(({ id }) => id).join();
            this.breaches.push(
                `TWICE: run ${run} of ${task} starts on ${worker.id} while one runs on ${where}`,
            );
        }
    }

    private labelsOf({ number }: Machine): readonly string[] {
        return [this.options.kindOf?.(number) ?? "a", `rack-${Math.floor(number / rackSize)}`];
    }

    private register(worker: Worker): void {
        if (worker.life !== undefined && !worker.isSilent) {
            this.store.write("servers", worker.id, worker.registration());
        }
    }

    private async handleInventory({ method, url, body }: Call): Promise<Answer> {
        await pause(inventoryMs);
        switch (`${method} ${url.pathname}`) {
            case "GET /v1/machines":
                return { status: 200, body: { machines: this.machines.map(one => this.describe(one)) } };
            case "POST /v1/machine-move":
                return this.move(String(body["machine"]), String(body["pool"]));
            case "POST /v1/machine-upkeep":
                return this.upkeep(String(body["machine"]), Number(body["wave"]));
            default:
                return { status: 404, body: {} };
        }
    }

    private describe(machine: Machine) {
        const { name, pool: ofPool, state, worker } = machine;
        return {
            machine: name,
            pool: ofPool,
            state,
            zone: "zone-a",
            labels: this.labelsOf(machine),
            capacity: { ...capacity, gpu: 0 },
            ...(worker !== undefined && { id: worker.id }),
        };
    }

    private move(name: string, to: string): Answer {
        const machine = this.machines.find(one => one.name === name);
        if (machine === undefined || ![pool, sparePool].includes(to)) {
            return { status: 400, body: {} };
        }
        if (machine.state !== "up") {
            return { status: 409, body: { reason: "busy" } };
        }
        if (machine.pool === to) {
            return { status: 200, body: {} };
        }
        this.recorder.write("move", { machine: name, to });
        this.takeOut(machine, "moving", bounds["move-s"] * 1000, to);
        return { status: 200, body: {} };
    }

    private upkeep(name: string, number: number): Answer {
        const machine = this.machines.find(one => one.name === name);
        const wave = this.waves.get(number);
        if (machine === undefined) {
            return { status: 400, body: {} };
        }
        if (wave?.machines.includes(name) !== true) {
            return { status: 409, body: { reason: "wave" } };
        }
        if (wave.begun.has(name)) {
            return { status: 200, body: {} };
        }
        if (machine.state !== "up") {
            return { status: 409, body: { reason: "busy" } };
        }
        const down = this.machines.filter(one => one.state === "upkeep" && wave.machines.includes(one.name));
        this.recorder.write("upkeep begins", {
            machine: name,
            wave: number,
            down: down.length,
            cap: wave.cap,
        });
        if (down.length >= wave.cap) {
            this.breaches.push(
                `LIMIT: the upkeep of ${name} begins while ${down.map(one => one.name).join()} of its wave `
                    + `are down, with cap ${wave.cap}`,
            );
        }
        wave.begun.add(name);
        this.takeOut(machine, "upkeep", bounds["upkeep-s"] * 1000, machine.pool);
        return { status: 200, body: {} };
    }

    private takeOut(machine: Machine, state: "moving" | "upkeep", ms: number, to: string): void {
        const { worker } = machine;
        worker?.close();
        if (worker !== undefined) {
            setTimeout(() => this.store.remove("servers", worker.id), expiryMs);
        }
        machine.worker = undefined;
        machine.state = state;
        machine.pool = to;
        setTimeout(() => {
            machine.state = "up";
            this.recorder.write("machine is up", { machine: machine.name, pool: to });
            void this.startWorker(machine);
        }, ms);
    }
}

/** A route of a manifest. */
export function route(name: string, prefix: string, maxAttempts = 4) {
    return {
        name,
        host: callerHost,
        "path-prefix": prefix,
        type: "non_idempotent",
        "timeout-ms": 3000,
        "target-latency-ms": 600,
        priority: 0,
        service: pool,
        "max-attempts": maxAttempts,
        stretch: 1.6,
        anonymous: false,
    };
}

/** A manifest with one account. */
export function manifestOf(version: number, routes: readonly unknown[]) {
    return {
        version,
        routes,
        services: [{ name: pool, "admission-check": true }, { name: sparePool, headroom: true }],
        tenants: [{
            name: "team-a",
            "api-keys": [callerKey],
            weight: 10,
            cap: { cpu: 0, "mem-mb": 0, gpu: 0 },
        }],
        limits: {},
    };
}

/** Longest time of a case; one that takes longer could not run. */
const longestMs = 110_000;

/** Plays a case: exits with 1 if a rule was broken, 0 if it held, 2 if the case could not run. */
export async function play(run: (isTroubled: boolean) => Promise<readonly string[]>): Promise<never> {
    const giveUp = (err: unknown): never => {
        process.stderr.write(`${String(err)}\n`);
        process.exit(2);
    };
    process.on("uncaughtException", giveUp);
    process.on("unhandledRejection", giveUp);
    process.on("SIGTERM", giveUp);
    process.on("SIGINT", giveUp);
    setTimeout(() => giveUp("the case took too long"), longestMs);
    try {
        const breaches = await run(process.env["TROUBLE"] !== "0");
        breaches.forEach(breach => process.stdout.write(`${breach}\n`));
        process.exit(breaches.length > 0 ? 1 : 0);
    }
    catch (err) {
        return giveUp(err);
    }
}
