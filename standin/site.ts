/** A whole site in one process: a stand-in platform, workers and entries, over real loopback sockets. */
import { readFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { EmbeddedPlatform, HttpPlatform } from "../src/connection/platform/index.js";
import { Entry } from "../src/entry.js";
import { type Log, silentLog } from "../src/process/log.js";
import { entryPoolName, type Vm, VmState } from "../src/process/platform.js";
import { Random } from "../src/process/random.js";
import { parseSettings, type SettingsInput } from "../src/process/settings.js";
import { SystemTimer } from "../src/process/timer.js";
import type { DrainPeriod } from "./history.js";
import { StandinPlatform } from "./platform.js";
import type { Shop } from "./shops.js";
import { StandinWorker } from "./worker.js";

/** Options of `Site.create`. */
export interface SiteOptions {
    readonly shop: Shop;
    readonly entries: number;
    readonly seed: number;
    readonly log?: Log;
    /** Settings that differ from the defaults, for every entry. */
    readonly settings?: Partial<SettingsInput>;
    /** VM ids that are due for service at once. */
    readonly dueVms?: readonly string[];
    readonly rebootMs?: number;
}

/** An entry with the addresses it listens on. */
export interface SiteEntry {
    readonly entry: Entry;
    readonly vm: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
}

const dayMs = 86_400_000;
const workersPerRack = 4;
const demoPeerSecret = "a-secret-for-the-demonstration-only";

/** A running site. */
export class Site {
    readonly timer = SystemTimer.create();
    readonly workers = new Map<string, StandinWorker>();
    readonly platform: StandinPlatform;
    readonly embedded: EmbeddedPlatform;
    entries: readonly SiteEntry[] = [];
    /** When VMs were told to drain, and when they were open again, by VM id. */
    readonly drains = new Map<string, DrainPeriod>();

    private constructor(private readonly options: SiteOptions) {
        this.embedded = EmbeddedPlatform.create({
            restart: vm => this.workers.get(vm.id)!.reboot(),
            usage: vm => Promise.resolve(this.workers.get(vm.id)?.runningCount ?? 0),
        });
        this.recordDrains();
        this.platform = StandinPlatform.create(this.embedded);
    }

    static create(options: SiteOptions): Site {
        return new Site(options);
    }

    /** Starts the platform, the workers and the entries, and applies the shop's lists. */
    async start(): Promise<void> {
        await this.platform.start();
        await this.startWorkers();
        const count = this.options.entries;
        this.entries = await Promise.all(Array.from({ length: count }, (_, at) => this.startEntry(at)));
        await this.waitUntil(() => this.entries.every(({ entry }) => entry.core.fleet.live.length === count));
        await this.applyLists();
        await this.waitUntil(() => this.entries.every(({ entry }) => entry.notReady() === undefined));
        await this.waitUntil(() =>
            this.entries.every(({ entry }) => entry.mesh.connected().length === count - 1)
        );
    }

    /** Stops the entries as planned, then everything else. */
    async stop(): Promise<void> {
        await Promise.all(this.entries.map(({ entry }) => entry.stop()));
        await Promise.all([...this.workers.values()].map(worker => worker.stop()));
        await this.platform.stop();
    }

    /** Starts one more entry. */
    async startEntry(at: number): Promise<SiteEntry> {
        const vm = `entry-${at}`;
        const { zones } = this.options.shop;
        const zone = zones[at % zones.length]!;
        const [callers, operators, peers] = await freePorts(3);
        const settings = parseSettings(
            "site",
            JSON.stringify({
                vm,
                zone,
                callers: { port: callers },
                operators: { port: operators },
                peers: { port: peers, secret: demoPeerSecret },
                platform: { kind: "http", url: this.platform.url },
                ...this.options.settings,
            }),
        );
        this.embedded.putVm(this.createVm(vm, entryPoolName, at, `http://127.0.0.1:${peers}`, `${vm}-boot`));
        const entry = Entry.create({
            settings,
            platform: HttpPlatform.create({ url: this.platform.url }),
            timer: this.timer,
            random: Random.create(this.options.seed * 1000 + at),
            log: this.options.log ?? silentLog,
        });
        await entry.start();
        const urlOf = (port: number | undefined): string => `http://127.0.0.1:${port}`;
        return { entry, vm, callerUrl: urlOf(callers), operatorUrl: urlOf(operators) };
    }

    /** Replaces an entry: a new one on another VM starts, the balancer learns of it, and the old one stops as planned. */
    async replaceEntry(at: number): Promise<void> {
        const old = this.entries[at]!;
        const next = await this.startEntry(this.entries.length + at);
        await this.waitUntil(() => next.entry.notReady() === undefined);
        this.entries = this.entries.map(entry => entry === old ? next : entry);
        await old.entry.stop();
        this.embedded.dropVm(old.vm);
    }

    /** Calls the operator interface of an entry. */
    async callOperator(
        method: "GET" | "POST" | "DELETE",
        path: string,
        value?: unknown,
        at = 0,
    ): Promise<unknown> {
        const body = value === undefined ? {} : { body: JSON.stringify(value) };
        const res = await request(`${this.entries[at]!.operatorUrl}${path}`, { method, ...body });
        const answer = await res.body.json();
        if (res.statusCode >= 300) {
            throw new Error(`${method} ${path}: ${res.statusCode} ${JSON.stringify(answer)}`);
        }
        return answer;
    }

    /** Gives a key to a team. */
    async issueKey(team: string): Promise<{ readonly id: string; readonly text: string }> {
        return await this.callOperator("POST", "/v1/keys", { team }) as { id: string; text: string };
    }

    /** Waits until a condition holds; gives up after some seconds. */
    async waitUntil(holds: () => boolean, limitMs = 15_000): Promise<void> {
        const end = this.timer.now() + limitMs;
        while (!holds()) {
            if (this.timer.now() > end) {
                throw new Error("the site did not reach the expected state in time");
            }
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    private recordDrains(): void {
        const drain = this.embedded.drain.bind(this.embedded);
        const undrain = this.embedded.undrain.bind(this.embedded);
        this.embedded.drain = vm => {
            this.drains.set(vm, this.drains.get(vm) ?? { from: this.timer.now(), until: Infinity });
            return drain(vm);
        };
        this.embedded.undrain = vm => {
            this.drains.set(vm, { from: this.drains.get(vm)?.from ?? 0, until: this.timer.now() });
            return undrain(vm);
        };
    }

    private async applyLists(): Promise<void> {
        const files = await Promise.all(["plans", "teams"].map(async list => {
            const file = new URL(
                `../examples/${this.options.shop.exampleFolder}/${list}.jsonc`,
                import.meta.url,
            );
            return { file: `${list}.jsonc`, text: await readFile(file, "utf8") };
        }));
        await this.callOperator("POST", "/v1/lists/apply", {
            plans: files[0],
            teams: files[1],
            listsRevision: 0,
        });
    }

    private async startWorkers(): Promise<void> {
        const { shop, rebootMs = 300 } = this.options;
        const serviceMs = (queue: string): number =>
            shop.loads.find(load => load.queue === queue)?.serviceMs ?? 20;
        let at = 0;
        for (const { name, workers, budget, spare } of shop.pools) {
            this.embedded.putPool({ name, budget, spare });
            for (let index = 0; index < workers; index++) {
                const vm = `${name}-${index}`;
                const worker = StandinWorker.create({ vm, serviceMs, rebootMs });
                await worker.start();
                this.workers.set(vm, worker);
                this.embedded.putVm(this.createVm(vm, name, at++, worker.origin, worker.bootId));
            }
        }
    }

    private createVm(id: string, pool: string, at: number, address: string, bootId: string): Vm {
        const { shop, dueVms: due = [] } = this.options;
        return {
            id,
            pool,
            address,
            bootId,
            rack: `rack-${Math.floor(at / workersPerRack)}`,
            zone: shop.zones[Math.floor(at / workersPerRack) % shop.zones.length]!,
            state: VmState.Live,
            bootedAt: Date.now() - (due.includes(id) ? 60 * dayMs : dayMs),
            cores: shop.cores,
            memoryGb: shop.memoryGb,
            accelerators: 0,
            draining: false,
        };
    }
}

/** Finds free ports on 127.0.0.1. */
export async function freePorts(count: number): Promise<readonly number[]> {
    const servers = Array.from({ length: count }, () => createServer());
    await Promise.all(
        servers.map(server => new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))),
    );
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}
