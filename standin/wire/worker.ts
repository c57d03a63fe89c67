/** A worker that speaks the users' protocol; it lives on after a crash under the same id and address. */
import type { IncomingMessage, Server } from "node:http";
import { type HoldRequest, type HoldResult, type StartRequest, WorkerRefusal } from "../../src/pool/ports.js";
import type { StandinWorker } from "../site/worker.js";
import { addressOf, type Answer, type CallRecorder, serve } from "./http.js";

/** Options of `WireWorker.create`. */
export interface WireWorkerOptions {
    readonly id: string;
    /** Begins a life of the worker. */
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

/** A worker behind its address. */
export class WireWorker {
    incarnation: StandinWorker;
    server!: Server;
    /** Address that the list of workers shows; it may lead through a link that can be harmed. */
    listedAddress = "";

    private constructor(private readonly options: WireWorkerOptions) {
        this.incarnation = options.createIncarnation();
    }

    static async create(options: WireWorkerOptions): Promise<WireWorker> {
        const worker = new WireWorker(options);
        worker.server = await serve({
            "POST /v1/run-start": (_, body, req) => worker.start(body, req),
            "POST /v1/run-stop": (_, body) => worker.stop(body),
            "POST /v1/hold": (_, body) => worker.hold(body),
            "POST /v1/pace": () => [200, worker.clock],
        }, options.recordCall);
        worker.listedAddress = addressOf(worker.server);
        return worker;
    }

    get id(): string {
        return this.options.id;
    }

    /** Ends the life and all that runs in it; calls are not answered until `revive`. */
    crash(): void {
        this.incarnation.terminate();
        this.server.closeAllConnections();
    }

    /** Begins the next life, which knows nothing of the one before. */
    restart(): void {
        this.incarnation.terminate();
        this.incarnation = this.options.createIncarnation();
    }

    /** Its entry in the list of workers. */
    registrationRow(): unknown {
        const { incarnation: life } = this;
        const { capacity } = life;
        const { labels, pool, report } = life.listed;
        return {
            service: pool,
            address: this.listedAddress,
            zone: "z",
            version: "v1",
            slots: 8,
            state: "ready",
            "cold-left-ms": 0,
            capacity: { cpu: capacity.cpu, "mem-mb": capacity.memory, gpu: 0 },
            labels,
            "clock-ms": life.clockMs,
            sequence: report,
            born: life.startedAtMs,
        };
    }

    private get clock() {
        return { "clock-ms": this.incarnation.clockMs };
    }

    private start(body: Record<string, unknown>, req: IncomingMessage): Answer {
        const { incarnation: life } = this;
        if (!life.isAlive) {
            return undefined;
        }
        if (req.headers["celerywind-target-instance"] !== this.id) {
            return [421, {}];
        }
        const order: StartRequest = {
            task: String(body["task"]),
            run: Number(body["run"]),
            fence: Number(body["fence"]),
            leaseUntil: Number(body["deadline-ms"]),
            payload: String(body["spec"]),
            saved: "",
        };
        const result = life.start(order);
        return result.kind === "refused"
            ? [409, { ...this.clock, reason: refusalReasons[result.reason] }]
            : [200, this.clock];
    }

    private stop(body: Record<string, unknown>): Answer {
        if (!this.incarnation.isAlive) {
            return undefined;
        }
        const { kind } = this.incarnation.stop(
            String(body["task"]),
            Number(body["run"]),
            Number(body["fence"]),
        );
        return kind === "failed" ? [409, { ...this.clock, reason: "fence" }] : [200, this.clock];
    }

    private async hold(body: Record<string, unknown>): Promise<Answer> {
        const { incarnation: life } = this;
        if (!life.isAlive) {
            return undefined;
        }
        const until = body["deadline-ms"];
        const order: HoldRequest = {
            fence: Number(body["fence"]),
            acknowledged: Number(body["ack-seq"]),
            waitMs: Number(body["wait-ms"] ?? 0),
            ...(until !== undefined && { leaseUntil: Number(until) }),
        };
        const result = await new Promise<HoldResult>(resolve => life.hold(order, resolve));
        if (!life.isAlive) {
            return undefined;
        }
        if (result.kind !== "held") {
            return [409, { "clock-ms": life.clockMs, reason: "fence" }];
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
