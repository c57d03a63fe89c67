/** A small platform that speaks the users' protocol over HTTP on loopback: store, inventory of VMs, and workers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { readBody } from "../../src/connection/caller/body.js";
import type { JobSpec } from "../../src/job/index.js";
import { parseTaskName } from "../../src/job/index.js";
import { type HoldOrder, type HoldResult, type StartOrder, StartRefusal } from "../../src/pool/ports.js";
import { Random } from "../../src/process/random.js";
import { type RowStore, type StoredRow, TransactKind } from "../../src/process/rows.js";
import { SystemTimer } from "../../src/process/timer.js";
import { Checker } from "../site/checker.js";
import { StandinRows } from "../site/rows.js";
import { StandinWorker } from "../site/worker.js";

/** Options of `WirePlatform.create`. */
export interface WirePlatformOptions {
    readonly pool: string;
    readonly workers: number;
}

type Handler = (url: URL, body: Record<string, unknown>, req: IncomingMessage) => Promise<[number, unknown]>;

const host = "127.0.0.1";
const bodyLimit = 2 * 1024 * 1024;
const capacity = { cpu: 16_000, memory: 64_000, accelerators: 0 };
const heartbeatMs = 500;
const reasons: Partial<Record<StartRefusal, string>> = {
    [StartRefusal.Fenced]: "fence",
    [StartRefusal.Superseded]: "old",
    [StartRefusal.LeasePassed]: "late",
    [StartRefusal.NoRoom]: "room",
};

/** The platform. */
export class WirePlatform {
    readonly checker: Checker;
    readonly rows: StandinRows;
    /** Bodies of all calls, by path. */
    readonly calls: { readonly path: string; readonly body: Record<string, unknown> }[] = [];
    private readonly timer = SystemTimer.create();
    private readonly store: RowStore;
    private readonly servers: Server[] = [];
    private readonly workers: StandinWorker[] = [];
    private storeServer: Server | undefined;
    private heartbeat: () => void = () => undefined;

    private constructor(private readonly options: WirePlatformOptions) {
        this.checker = new Checker(this.timer);
        this.rows = StandinRows.create(this.timer, Random.create(1));
        this.store = this.rows.viewFor(this.timer);
    }

    static create(options: WirePlatformOptions): WirePlatform {
        return new WirePlatform(options);
    }

    /** Host and port of store and inventory. */
    get address(): string {
        return addressOf(this.storeServer!);
    }

    async start(): Promise<void> {
        this.storeServer = await this.serve({
            "POST /v1/rows-tx": (_, body) => this.transact(body),
            "GET /v1/rows-get": url => this.read(url),
            "GET /v1/rows-feed": url => this.feed(url),
            "GET /v1/machines": () => Promise.resolve([200, { machines: this.machines(), "next-token": "" }]),
            "POST /v1/machine-move": () => Promise.resolve([409, { reason: "busy" }]),
            "POST /v1/machine-upkeep": () => Promise.resolve([200, {}]),
        });
        for (let i = 0; i < this.options.workers; i++) {
            await this.startWorker(`w-${i}`);
        }
        this.heartbeat = this.timer.every(
            heartbeatMs,
            () => this.workers.forEach(worker => this.beat(worker)),
        );
    }

    async stop(): Promise<void> {
        this.heartbeat();
        await Promise.all(this.servers.map(server => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(resolve));
        }));
    }

    /** Writes as the operator does. */
    operate(key: string, value: unknown): void {
        this.rows.write({ table: "op", part: "", key }, JSON.stringify(value));
    }

    /** What the operator reads of a wave. */
    statusOf(wave: number): string | undefined {
        return this.rows.find({ table: "status", part: "", key: `wave/${wave}` })?.value;
    }

    /** Tells the workers what a submitted job's tasks need. */
    expect(id: string, spec: JobSpec): void {
        this.checker.specs.set(id, spec);
    }

    private async startWorker(id: string): Promise<void> {
        const facts = (task: string) => {
            const name = parseTaskName(task);
            const step = name === undefined ? undefined : this.checker.specs.get(name.job)?.steps[name.step];
            return step === undefined
                ? undefined
                : { needs: step.needs, workMs: 100, failures: 0, isService: step.isService };
        };
        const worker = new StandinWorker(
            this.timer,
            id,
            this.options.pool,
            `m-${id}`,
            "r1",
            capacity,
            facts,
            this.checker,
        );
        this.workers.push(worker);
        const server = await this.serve({
            "POST /v1/run-start": (_, body, req) => this.startRun(worker, body, req),
            "POST /v1/run-stop": (_, body) => {
                worker.stop(String(body["task"]), Number(body["run"]), Number(body["fence"]));
                return Promise.resolve([200, { "clock-ms": worker.clockMs }]);
            },
            "POST /v1/hold": (_, body) => this.hold(worker, body),
            "POST /v1/pace": () => Promise.resolve([200, { "clock-ms": worker.clockMs }]),
        });
        this.addresses.set(id, addressOf(server));
        this.beat(worker);
    }

    private readonly addresses = new Map<string, string>();

    private beat(worker: StandinWorker): void {
        const { listed } = worker;
        const value = {
            service: listed.pool,
            address: this.addresses.get(worker.id),
            zone: "z",
            version: "v1",
            slots: 8,
            state: "ready",
            "cold-left-ms": 0,
            capacity: { cpu: capacity.cpu, "mem-mb": capacity.memory, gpu: 0 },
            labels: listed.labels,
            "clock-ms": worker.clockMs,
            sequence: listed.report,
            born: worker.born,
        };
        this.rows.write({ table: "servers", part: "", key: worker.id }, JSON.stringify(value));
    }

    private startRun(
        worker: StandinWorker,
        body: Record<string, unknown>,
        req: IncomingMessage,
    ): Promise<[number, unknown]> {
        if (req.headers["celerywind-target-instance"] !== worker.id) {
            return Promise.resolve([421, {}]);
        }
        const order: StartOrder = {
            task: String(body["task"]),
            run: Number(body["run"]),
            fence: Number(body["fence"]),
            leaseUntil: Number(body["deadline-ms"]),
            payload: String(body["spec"]),
            saved: "",
        };
        const result = worker.start(order);
        const clock = { "clock-ms": worker.clockMs };
        return Promise.resolve(
            result.kind === "refused" ? [409, { ...clock, reason: reasons[result.reason] }] : [200, clock],
        );
    }

    private async hold(worker: StandinWorker, body: Record<string, unknown>): Promise<[number, unknown]> {
        const until = body["deadline-ms"];
        const order: HoldOrder = {
            fence: Number(body["fence"]),
            acknowledged: Number(body["ack-seq"]),
            waitMs: Number(body["wait-ms"] ?? 0),
            ...(until !== undefined && { leaseUntil: Number(until) }),
        };
        const result = await new Promise<HoldResult>(resolve => worker.hold(order, resolve));
        if (result.kind !== "held") {
            return [409, { "clock-ms": worker.clockMs, reason: "fence" }];
        }
        const names = { "gang-broken": "broken", "gang-incomplete": "alone" } as Record<string, string>;
        return [200, {
            "clock-ms": result.clockMs,
            born: result.born,
            running: result.running.map(run => [run.task, run.run, run.saved, run.percent, run.reading]),
            ended: result.ended.map(
                end => [end.position, end.task, end.run, names[end.how] ?? end.how, end.saved],
            ),
        }];
    }

    private machines(): unknown[] {
        return this.workers.map(worker => ({
            machine: worker.vm,
            pool: worker.pool,
            state: "up",
            zone: "z",
            labels: ["a", worker.rack],
            capacity: { cpu: capacity.cpu, "mem-mb": capacity.memory, gpu: 0 },
            id: worker.id,
        }));
    }

    private async transact(body: Record<string, unknown>): Promise<[number, unknown]> {
        type Sent = { table: string; part: string; key: string; value?: string; "schema-version"?: number };
        const list = (name: string): Sent[] => body[name] as Sent[];
        const key = ({ table, part, key: name }: Sent) => ({ table, part, key: name });
        const outcome = await this.store.transact({
            conditions: list("expected-rev").map(row => ({
                ...key(row),
                version: row["schema-version"] ?? 0,
            })),
            puts: list("put").map(row => ({
                ...key(row),
                value: Buffer.from(row.value ?? "", "base64").toString(),
            })),
            removals: list("remove").map(key),
        });
        switch (outcome.kind) {
            case TransactKind.Committed:
                return [200, { "schema-version": outcome.version, "now-ms": 1 }];
            case TransactKind.Conflict:
                return [412, { rows: outcome.rows.map(encodeRow), "schema-version": 1, "now-ms": 1 }];
            case TransactKind.Refused:
            case TransactKind.Unknown:
                return [503, {}];
        }
    }

    private async read(url: URL): Promise<[number, unknown]> {
        const from = url.searchParams.get("from") ?? "";
        const to = url.searchParams.get("to") ?? undefined;
        const limit = Number(url.searchParams.get("limit") ?? 500);
        const table = url.searchParams.get("table") ?? "";
        const part = url.searchParams.get("part") ?? "";
        const page = await this.store.read({ table, part, from, limit, ...(to !== undefined && { to }) });
        return [200, {
            rows: page.rows.map(encodeRow),
            "has-more": page.hasMore,
            "schema-version": page.version,
        }];
    }

    private async feed(url: URL): Promise<[number, unknown]> {
        const number = (name: string): number => Number(url.searchParams.get(name));
        const result = await this.store.feed(
            url.searchParams.get("table") ?? "",
            number("after"),
            number("wait-ms"),
        );
        return result.kind === "history-lost"
            ? [410, {}]
            : [200, { rows: result.rows.map(encodeRow), "schema-version": result.version }];
    }

    private async serve(routes: Readonly<Record<string, Handler>>): Promise<Server> {
        const server = createServer((req, res) => void this.answer(routes, req, res));
        this.servers.push(server);
        await new Promise<void>(resolve => server.listen(0, host, resolve));
        return server;
    }

    private async answer(
        routes: Readonly<Record<string, Handler>>,
        req: IncomingMessage,
        res: ServerResponse,
    ): Promise<void> {
        const url = new URL(req.url ?? "/", "http://x");
        const text = (await readBody(req, bodyLimit))?.toString() ?? "";
        const body = text === "" ? {} : JSON.parse(text) as Record<string, unknown>;
        this.calls.push({ path: url.pathname, body });
        const handler = routes[`${req.method} ${url.pathname}`];
        const [status, answer] = handler === undefined ? [404, {}] : await handler(url, body, req);
        res.writeHead(status, { "content-type": "application/json" });
        res.end(JSON.stringify(answer));
    }
}

function encodeRow(row: StoredRow): unknown {
    const { table, part, key, value, version, isRemoved } = row;
    const fields = { table, part, key, "schema-version": version };
    return isRemoved
        ? { ...fields, tombstone: true }
        : { ...fields, value: Buffer.from(value).toString("base64") };
}

function addressOf(server: Server): string {
    return `${host}:${(server.address() as AddressInfo).port}`;
}
