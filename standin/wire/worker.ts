/** A worker that serves the platform protocol over HTTP. After a crash or a restart it keeps its id and address. */
import type { IncomingMessage, Server } from "node:http";
import { type HoldRequest, type HoldResult, type StartRequest, WorkerRefusal } from "../../src/pool/ports.js";
import type { StandinWorker } from "../site/worker.js";
import { addressOf, type Answer, type CallRecorder, serve } from "./http.js";

/** Options of `WireWorker.create`. */
export interface WireWorkerOptions {
    readonly id: string;
    /** Creates the next incarnation of the worker. */
    readonly createIncarnation: () => StandinWorker;
    readonly recordCall: CallRecorder;
}

const refusalReasons: Partial<Record<WorkerRefusal, string>> = {
    [WorkerRefusal.Fenced]: "fence",
    [WorkerRefusal.Superseded]: "old",
    [WorkerRefusal.LeaseExpired]: "late",
    [WorkerRefusal.NoCapacity]: "room",
};
const outcomeNames: Readonly<Record<string, string>> = {
    "gang-broken": "broken",
    "gang-incomplete": "alone",
};

/** A worker behind an HTTP server that outlives its incarnations. */
export class WireWorker {
    incarnation: StandinWorker;
    server!: Server;
    /** Address in the list of workers; a test may set it to that of a proxy that injects network faults. */
    listedAddress = "";
    /** Resumes the calls that wait for the next incarnation; undefined unless it is down for a restart. */
    private heldCalls: (() => void)[] | undefined;

    private constructor(private readonly options: WireWorkerOptions) {
        this.incarnation = options.createIncarnation();
    }

    static async create(options: WireWorkerOptions): Promise<WireWorker> {
        const worker = new WireWorker(options);
        worker.server = await serve({
            "POST /v1/run-start": (_, body, req) => worker.start(body, req),
            "POST /v1/run-stop": (_, body) => worker.stop(body),
            "POST /v1/hold": (_, body) => worker.hold(body),
            "POST /v1/pace": () => [200, worker.clockFields],
        }, options.recordCall);
        worker.listedAddress = addressOf(worker.server);
        return worker;
    }

    get id(): string {
        return this.options.id;
    }

    /** Whether it is down for a restart. */
    get isDown(): boolean {
        return this.heldCalls !== undefined;
    }

    /** Ends the incarnation and its runs; calls receive no response until `restart`. */
    crash(): void {
        this.incarnation.terminate();
        this.server.closeAllConnections();
        this.resumeCalls();
    }

    /**
     * Ends the incarnation and its runs without a trace: connections stay open, calls that wait there are never answered, and
     * those that arrive until `restart` wait for the next incarnation.
     */
    goDown(): void {
        this.incarnation.loseRuns();
        this.heldCalls ??= [];
    }

    /** Starts the next incarnation, which keeps no state of the one before and receives the calls that wait for it. */
    restart(): void {
        this.incarnation.terminate();
        this.incarnation = this.options.createIncarnation();
        this.resumeCalls();
    }

    private resumeCalls(): void {
        const held = this.heldCalls ?? [];
        this.heldCalls = undefined;
        held.forEach(resume => resume());
    }

    /** The incarnation that receives a call that has arrived, once it is not down; undefined if it has crashed. */
    private async receiver(): Promise<StandinWorker | undefined> {
        await new Promise<void>(resolve => {
            if (this.heldCalls === undefined) {
                resolve();
            }
            else {
                this.heldCalls.push(resolve);
            }
        });
        return this.incarnation.isAlive ? this.incarnation : undefined;
    }

    /** The row in the list of workers. */
    registrationRow(): unknown {
        const { incarnation } = this;
        const { capacity } = incarnation;
        const { labels, pool, report } = incarnation.listed;
        return {
            service: pool,
            address: this.listedAddress,
            zone: incarnation.zone,
            version: "v1",
            slots: 8,
            state: "ready",
            "cold-left-ms": 0,
            capacity: { cpu: capacity.cpu, "mem-mb": capacity.memory, gpu: 0 },
            labels,
            "clock-ms": incarnation.clockMs,
            sequence: report,
            born: incarnation.startedAtMs,
        };
    }

    private get clockFields() {
        return { "clock-ms": this.incarnation.clockMs };
    }

    private async start(body: Record<string, unknown>, req: IncomingMessage): Promise<Answer> {
        const incarnation = await this.receiver();
        if (incarnation === undefined) {
            return undefined;
        }
        if (req.headers["celerywind-target-instance"] !== this.id) {
            return [421, {}];
        }
        const request: StartRequest = {
            task: String(body["task"]),
            run: Number(body["run"]),
            fence: Number(body["fence"]),
            leaseUntil: Number(body["deadline-ms"]),
            payload: String(body["spec"]),
            saved: "",
        };
        const result = incarnation.start(request);
        return result.kind === "refused"
            ? [409, { ...this.clockFields, reason: refusalReasons[result.reason] }]
            : [200, this.clockFields];
    }

    private async stop(body: Record<string, unknown>): Promise<Answer> {
        const incarnation = await this.receiver();
        if (incarnation === undefined) {
            return undefined;
        }
        const { kind } = incarnation.stop(
            String(body["task"]),
            Number(body["run"]),
            Number(body["fence"]),
        );
        return kind === "failed" ? [409, { ...this.clockFields, reason: "fence" }] : [200, this.clockFields];
    }

    private async hold(body: Record<string, unknown>): Promise<Answer> {
        const incarnation = await this.receiver();
        if (incarnation === undefined) {
            return undefined;
        }
        const until = body["deadline-ms"];
        const request: HoldRequest = {
            fence: Number(body["fence"]),
            acknowledged: Number(body["ack-seq"]),
            waitMs: Number(body["wait-ms"] ?? 0),
            ...(until !== undefined && { leaseUntil: Number(until) }),
        };
        const result = await new Promise<HoldResult>(resolve => incarnation.hold(request, resolve));
        if (!incarnation.isAlive) {
            return undefined;
        }
        if (result.kind !== "held") {
            return [409, { "clock-ms": incarnation.clockMs, reason: "fence" }];
        }
        return [200, {
            "clock-ms": result.clockMs,
            born: result.startedAtMs,
            running: result.running.map(run => [run.task, run.run, run.saved, run.percent, run.reading]),
            ended: result.ended.map(
                end => [end.position, end.task, end.run, outcomeNames[end.outcome] ?? end.outcome, end.saved],
            ),
        }];
    }
}
