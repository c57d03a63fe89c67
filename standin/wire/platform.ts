/** A small platform that serves the platform protocol over HTTP on loopback: store, VM inventory, and workers. */
import type { Server } from "node:http";
import type { JobSpec } from "../../src/job/index.js";
import { parseTaskName } from "../../src/job/index.js";
import { Random } from "../../src/process/random.js";
import type { RowStore } from "../../src/process/rows.js";
import { type Cancel, SystemTimer } from "../../src/process/timer.js";
import { InvariantChecker } from "../site/checker.js";
import { type ClockOrigin, seededOrigins } from "../site/clock-origins.js";
import { RisingCounter } from "../site/rising-counter.js";
import { noRowStoreFaults, type RowStoreFaults, StandinRowStore } from "../site/rows.js";
import { GangTracker, StandinWorker, type TaskProfile } from "../site/worker.js";
import { addressOf, type Answer, closeServer, type Routes, serve } from "./http.js";
import { rowRoutes } from "./row-calls.js";
import { WireWorker } from "./worker.js";

/** Options of `WirePlatform.create`. */
export interface WirePlatformOptions {
    readonly pool: string;
    readonly workers: number;
    /** Seed of the random choice of store calls that fail when a share of them is to fail. */
    readonly seed?: number;
    /** Availability zones of the workers, in turn; one by default. */
    readonly zones?: readonly string[];
}

interface Wave {
    readonly machines: readonly string[];
    readonly cap: number;
    readonly done: Set<string>;
}

const capacity = { cpu: 16_000, memory: 64_000, accelerators: 0 };
const heartbeatIntervalMs = 500;
/** Time without heartbeats after which a worker is removed from the list. */
const registrationExpiryMs = 1500;
/** Time that the maintenance of a VM takes. */
const vmMaintenanceMs = 500;
const defaultWorkMs = 100;

/** A platform with one worker on each VM. */
export class WirePlatform {
    readonly checker: InvariantChecker;
    readonly rows: StandinRowStore;
    /** Bodies of all calls, by path. */
    readonly calls: { readonly path: string; readonly body: Record<string, unknown> }[] = [];
    readonly workers: WireWorker[] = [];
    private readonly timer = SystemTimer.create();
    private readonly servers: Server[] = [];
    private readonly taskProfiles = new Map<string, Partial<TaskProfile>>();
    private readonly waves = new Map<number, Wave>();
    private readonly inMaintenance = new Set<string>();
    /** Incarnations created so far, by worker id. */
    private readonly incarnations = new Map<string, number>();
    private readonly clockOrigins: ClockOrigin;
    /** What the store's clock shows when that of this process shows zero, in milliseconds. */
    private readonly storeClockOriginMs: number;
    private storeAddress = "";
    private stopHeartbeats: Cancel = () => undefined;

    private constructor(private readonly options: WirePlatformOptions) {
        this.checker = new InvariantChecker(this.timer);
        const seed = options.seed ?? 1;
        this.rows = StandinRowStore.create(this.timer, Random.create(seed), seed);
        this.rows.readOnlyTables.add("op").add("servers");
        this.clockOrigins = seededOrigins(seed);
        this.storeClockOriginMs = this.clockOrigins("store", 0);
    }

    static create(options: WirePlatformOptions): WirePlatform {
        return new WirePlatform(options);
    }

    /** Host and port of the store and the inventory. */
    get address(): string {
        return this.storeAddress;
    }

    async start(): Promise<void> {
        this.storeAddress = await this.openStore(noRowStoreFaults());
        for (let i = 0; i < this.options.workers; i++) {
            const id = `w-${i}`;
            const worker = await WireWorker.create({
                id,
                createIncarnation: () => this.createIncarnation(id, i),
                recordCall: (path, body) => this.calls.push({ path, body }),
            });
            this.servers.push(worker.server);
            this.workers.push(worker);
            this.sendHeartbeat(worker);
        }
        this.stopHeartbeats = this.timer.every(
            heartbeatIntervalMs,
            () => this.workers.forEach(worker => this.sendHeartbeat(worker)),
        );
    }

    async stop(): Promise<void> {
        this.stopHeartbeats();
        await Promise.all(this.servers.map(closeServer));
    }

    /** Opens a further server for the store and the inventory, with its own faults; returns its host and port. */
    async openStore(faults: RowStoreFaults): Promise<string> {
        const server = await serve(
            this.routesOf(this.rows.clientFor(this.timer, faults), faults),
            (path, body) => this.calls.push({ path, body }),
        );
        this.servers.push(server);
        return addressOf(server);
    }

    /** Writes a row to the operator table, with the value as JSON. */
    writeOperatorRow(key: string, value: unknown): void {
        this.rows.write({ table: "op", part: "", key }, JSON.stringify(value));
    }

    /** Evacuates an availability zone; the row is stored, and so acknowledged, at once. */
    evacuate(zone: string): void {
        this.writeOperatorRow(`evacuate/${zone}`, {});
        this.checker.recordEvacuated(zone);
    }

    /** Takes the evacuation of a zone back. */
    restore(zone: string): void {
        this.checker.recordRestored(zone);
        this.rows.remove({ table: "op", part: "", key: `evacuate/${zone}` });
    }

    /** Orders the maintenance of VMs, of which at most `cap` may be out of service at once. */
    orderWave(wave: number, machines: readonly string[], seconds: number, cap: number): void {
        this.waves.set(wave, { machines, cap, done: new Set() });
        this.writeOperatorRow(`wave/${wave}`, { wave, machines, "duration-s": seconds, cap });
    }

    /** Status of a wave in the table that operators read; undefined if none is written. */
    waveStatusOf(wave: number): string | undefined {
        return this.rows.find({ table: "status", part: "", key: `wave/${wave}` })?.value;
    }

    /** Sets the resource needs and the behaviour of the tasks of a job, before it is submitted. */
    expectJob(id: string, spec: JobSpec, profile: Partial<TaskProfile> = {}): void {
        this.checker.specs.set(id, spec);
        this.taskProfiles.set(id, profile);
    }

    private createIncarnation(id: string, number: number): StandinWorker {
        const profileOf = (task: string): TaskProfile | undefined => {
            const name = parseTaskName(task);
            const step = name === undefined ? undefined : this.checker.specs.get(name.job)?.steps[name.step];
            return step === undefined ? undefined : {
                needs: step.needs,
                workMs: defaultWorkMs,
                failures: 0,
                isService: step.isService,
                ...this.taskProfiles.get(name!.job),
            };
        };
        const { timer, options: { pool, zones = ["z"] }, checker } = this;
        const incarnation = (this.incarnations.get(id) ?? 0) + 1;
        this.incarnations.set(id, incarnation);
        // By the number of the incarnation, since the time of its start differs from play to play.
        const clockOrigin = () => this.clockOrigins(id, incarnation);
        const worker = new StandinWorker(
            timer,
            id,
            pool,
            `m-${id}`,
            "r1",
            capacity,
            profileOf,
            checker,
            new GangTracker(),
            clockOrigin,
        );
        worker.reports = RisingCounter.create({ seed: this.options.seed ?? 1, name: `${id}#${incarnation}` });
        worker.zone = zones[number % zones.length]!;
        return worker;
    }

    /** Writes the row of a worker that is alive to the list of workers. */
    sendHeartbeat(worker: WireWorker): void {
        if (worker.incarnation.isAlive && !worker.isDown) {
            this.rows.write(
                { table: "servers", part: "", key: worker.id },
                JSON.stringify(worker.registrationRow()),
            );
        }
    }

    /** Crashes a worker; its row is removed after `registrationExpiryMs` unless it has restarted by then. */
    crash(worker: WireWorker): void {
        this.checker.recordCrash(worker.incarnation);
        this.terminate(worker);
    }

    private terminate(worker: WireWorker): void {
        worker.crash();
        this.timer.after(registrationExpiryMs, () => {
            if (!worker.incarnation.isAlive) {
                this.rows.remove({ table: "servers", part: "", key: worker.id });
            }
        });
    }

    /** Starts the next incarnation of a worker and sends a heartbeat. */
    restart(worker: WireWorker): void {
        worker.restart();
        this.sendHeartbeat(worker);
    }

    /**
     * Restarts a worker under its id after `downMs`. Calls that arrive meanwhile are delivered to the new incarnation, which the
     * list shows from its first heartbeat on.
     */
    restartSilently(worker: WireWorker, downMs: number): void {
        if (!worker.incarnation.isAlive || worker.isDown) {
            return;
        }
        this.checker.recordCrash(worker.incarnation);
        worker.goDown();
        this.timer.after(downMs, () => {
            if (worker.isDown) {
                worker.restart();
            }
        });
    }

    private maintainVm(body: Record<string, unknown>): Answer {
        const machine = String(body["machine"]);
        const wave = this.waves.get(Number(body["wave"]));
        const worker = this.workers.find(({ incarnation }) => incarnation.vm === machine);
        if (worker === undefined) {
            return [400, {}];
        }
        if (wave?.machines.includes(machine) !== true) {
            return [409, { reason: "wave" }];
        }
        if (wave.done.has(machine)) {
            return [200, {}];
        }
        if (!worker.incarnation.isAlive) {
            return [409, { reason: "busy" }];
        }
        wave.done.add(machine);
        this.inMaintenance.add(machine);
        const out = [...this.inMaintenance].filter(vm => wave.machines.includes(vm)).length;
        if (out > wave.cap) {
            this.checker.reportViolation(`${out} VMs of a wave with cap ${wave.cap} are out of service`);
        }
        this.terminate(worker);
        this.timer.after(vmMaintenanceMs, () => {
            this.inMaintenance.delete(machine);
            this.restart(worker);
        });
        return [200, {}];
    }

    private listMachines(): unknown[] {
        return this.workers.map(({ incarnation }) => ({
            machine: incarnation.vm,
            pool: incarnation.pool,
            state: incarnation.isAlive ? "up" : this.inMaintenance.has(incarnation.vm) ? "upkeep" : "down",
            zone: incarnation.zone,
            labels: ["a", incarnation.rack],
            capacity: { cpu: capacity.cpu, "mem-mb": capacity.memory, gpu: 0 },
            id: incarnation.id,
        }));
    }

    private routesOf(store: RowStore, faults: RowStoreFaults): Routes {
        const ifAvailable = (answer: () => Answer): Answer => {
            if (faults.isUnresponsive) {
                return undefined;
            }
            return faults.isBusy ? [503, {}] : answer();
        };
        return {
            ...rowRoutes(store, () => ({
                "schema-version": this.rows.version,
                "now-ms": this.storeClockOriginMs + Math.floor(this.timer.now()),
            })),
            "GET /v1/machines": () =>
                ifAvailable(() => [200, { machines: this.listMachines(), "next-token": "" }]),
            "POST /v1/machine-move": () => ifAvailable(() => [409, { reason: "busy" }]),
            "POST /v1/machine-upkeep": (_, body) => ifAvailable(() => this.maintainVm(body)),
        };
    }
}
