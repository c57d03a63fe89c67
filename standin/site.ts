/** A complete site in one process: a stand-in platform, workers and entries, connected by loopback sockets. */
import { readFile } from "node:fs/promises";
import { request } from "undici";
import { EmbeddedPlatform, HttpPlatform } from "../src/connection/platform/index.js";
import { Entry } from "../src/entry.js";
import { type Log, silentLog } from "../src/process/log.js";
import { entryPoolName, type Vm, VmState } from "../src/process/platform.js";
import { Random } from "../src/process/random.js";
import { parseSettings, type SettingsInput } from "../src/process/settings.js";
import { SystemTimer } from "../src/process/timer.js";
import { freePorts } from "./free-ports.js";
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
    /** Settings of every entry that differ from the defaults. */
    readonly settings?: Partial<SettingsInput>;
    /** Ids of VMs that are due for maintenance from the start. */
    readonly dueVms?: readonly string[];
    readonly rebootMs?: number;
}

/** An entry and the base URLs of its interfaces. */
export interface SiteEntry {
    readonly entry: Entry;
    readonly vm: string;
    readonly callerUrl: string;
    readonly operatorUrl: string;
}

const dayMs = 86_400_000;
const workersPerRack = 4;
const demoPeerSecret = "a-secret-for-the-demonstration-only";

/** A site with entries, workers and a platform. */
export class Site {
    readonly timer = SystemTimer.create();
    readonly workers = new Map<string, StandinWorker>();
    readonly platform: StandinPlatform;
    readonly embedded: EmbeddedPlatform;
    entries: readonly SiteEntry[] = [];
    /** Drain period of each VM that was drained, by VM id. */
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

    /**
     * Starts the platform, the workers and the entries, applies the shop's lists, and waits until all entries are ready
     * and connected to each other.
     */
    async start(): Promise<void> {
        await this.platform.start();
        await this.startWorkers();
        const count = this.options.entries;
        this.entries = await Promise.all(Array.from({ length: count }, (_, index) => this.startEntry(index)));
        await this.waitUntil(() => this.entries.every(({ entry }) => entry.core.fleet.live.length === count));
        await this.applyLists();
        await this.waitUntil(() => this.entries.every(({ entry }) => entry.notReadyReason() === undefined));
        await this.waitUntil(() =>
            this.entries.every(({ entry }) => entry.mesh.connected().length === count - 1)
        );
    }

    /** Stops the entries gracefully, then the workers and the platform. */
    async stop(): Promise<void> {
        await Promise.all(this.entries.map(({ entry }) => entry.stop()));
        await Promise.all([...this.workers.values()].map(worker => worker.stop()));
        await this.platform.stop();
    }

    /** Starts an entry on the VM `entry-<index>`. */
    async startEntry(index: number): Promise<SiteEntry> {
        const vm = `entry-${index}`;
        const { zones } = this.options.shop;
        const zone = zones[index % zones.length]!;
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
        this.embedded.putVm(
            this.createVm(vm, entryPoolName, index, `http://127.0.0.1:${peers}`, `${vm}-boot`),
        );
        const entry = Entry.create({
            settings,
            platform: HttpPlatform.create({ url: this.platform.url }),
            timer: this.timer,
            random: Random.create(this.options.seed * 1000 + index),
            log: this.options.log ?? silentLog,
        });
        await entry.start();
        const urlOf = (port: number | undefined): string => `http://127.0.0.1:${port}`;
        return { entry, vm, callerUrl: urlOf(callers), operatorUrl: urlOf(operators) };
    }

    /**
     * Replaces an entry by one on another VM: directs load to the new one when it is ready, then stops the old
     * gracefully.
     */
    async replaceEntry(index: number): Promise<void> {
        const old = this.entries[index]!;
        const next = await this.startEntry(this.entries.length + index);
        await this.waitUntil(() => next.entry.notReadyReason() === undefined);
        this.entries = this.entries.map(entry => entry === old ? next : entry);
        await old.entry.stop();
        this.embedded.removeVm(old.vm);
    }

    /** Calls the operator interface of an entry; throws unless the status is below 300. */
    async callOperator(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        value?: unknown,
        entryIndex = 0,
    ): Promise<unknown> {
        const body = value === undefined ? {} : { body: JSON.stringify(value) };
        const res = await request(`${this.entries[entryIndex]!.operatorUrl}${path}`, { method, ...body });
        const answer = await res.body.json();
        if (res.statusCode >= 300) {
            throw new Error(`${method} ${path} returned status ${res.statusCode}: ${JSON.stringify(answer)}`);
        }
        return answer;
    }

    /** Issues a key to a team. */
    async issueKey(team: string): Promise<{ readonly id: string; readonly text: string }> {
        return await this.callOperator("POST", "/v1/keys", { team }) as { id: string; text: string };
    }

    /** Polls until a condition holds; throws after `limitMs` milliseconds. */
    async waitUntil(condition: () => boolean, limitMs = 15_000): Promise<void> {
        const end = this.timer.now() + limitMs;
        while (!condition()) {
            if (this.timer.now() > end) {
                throw new Error(`the site did not reach the expected state within ${limitMs} ms`);
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
        let vmIndex = 0;
        for (const { name, workers, budget, spare } of shop.pools) {
            this.embedded.putPool({ name, budget, spare });
            for (let index = 0; index < workers; index++) {
                const vm = `${name}-${index}`;
                const worker = StandinWorker.create({ vm, serviceMs, rebootMs });
                await worker.start();
                this.workers.set(vm, worker);
                this.embedded.putVm(this.createVm(vm, name, vmIndex++, worker.origin, worker.bootId));
            }
        }
    }

    private createVm(id: string, pool: string, index: number, address: string, bootId: string): Vm {
        const { shop, dueVms = [] } = this.options;
        return {
            id,
            pool,
            address,
            bootId,
            rack: `rack-${Math.floor(index / workersPerRack)}`,
            zone: shop.zones[Math.floor(index / workersPerRack) % shop.zones.length]!,
            state: VmState.Live,
            bootedAt: Date.now() - (dueVms.includes(id) ? 60 * dayMs : dayMs),
            cores: shop.cores,
            memoryGb: shop.memoryGb,
            accelerators: 0,
            draining: false,
        };
    }
}
