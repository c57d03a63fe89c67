/**
 * A stand-in worker: serves queue requests, runs tasks under leases, and injects the failures of real workers on
 * demand. It records every run, so that tests can check the product's guarantees.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { SystemTimer, type Timer } from "../src/process/timer.js";
import { readBody, sendResponse } from "./http.js";

/** Fault that the worker injects. */
export enum Fault {
    None = "none",
    /** Fails requests with status 500 within 1 ms, and tasks at the end of their service time. */
    FailFast = "black-hole",
    /** Takes ten times the service time. */
    Slow = "slow",
    /** Accepts requests and never responds. */
    Hang = "hang",
    /** Resets the connection instead of responding. */
    Reset = "reset",
    /** Sends a `content-length` that exceeds the body, and closes the connection. */
    Truncate = "truncate",
}

/** One request or task that the worker has started. */
export interface RunRecord {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    /** Monotonic time in milliseconds, as `endedAt`; `endedAt` is undefined while it runs. */
    readonly startedAt: number;
    readonly endedAt: number | undefined;
    readonly isTask: boolean;
}

/** Options of `StandinWorker.create`. */
export interface WorkerOptions {
    readonly vm: string;
    readonly slots?: number;
    /** Service time by queue, in milliseconds; 20 by default. */
    readonly serviceMs?: (queue: string) => number;
    readonly rebootMs?: number;
    readonly timer?: Timer;
}

interface Task {
    state: "running" | "done" | "failed" | "lapsed" | "stopped" | "tombstone";
    readonly payload: string;
    readonly record: MutableRecord;
    leaseUntil: number;
    leaseMs: number;
    cancel: () => void;
    result?: string;
    reason?: string;
}

type MutableRecord = { -readonly [K in keyof RunRecord]: RunRecord[K] };

interface TaskBody {
    readonly team: string;
    readonly queue: string;
    readonly leaseMs: number;
    readonly payload: string;
    readonly ifBootId?: string;
}

const slowFactor = 10;
const leaseCheckIntervalMs = 250;

/** A worker on its own VM. */
export class StandinWorker {
    fault = Fault.None;
    readonly records: MutableRecord[] = [];
    private readonly tasks = new Map<string, Task>();
    private readonly sockets = new Set<Socket>();
    private server: Server | undefined;
    private running = 0;
    private bootCount = 1;
    private isUp = true;
    private port = 0;
    private readonly timer: Timer;

    private constructor(private readonly options: WorkerOptions) {
        this.timer = options.timer ?? SystemTimer.create();
    }

    static create(options: WorkerOptions): StandinWorker {
        return new StandinWorker(options);
    }

    /** Boot id of the current boot. */
    get bootId(): string {
        return `${this.options.vm}-boot-${this.bootCount}`;
    }

    /** Number of requests and tasks in progress. */
    get runningCount(): number {
        return this.running;
    }

    /** Origin of the HTTP server. */
    get origin(): string {
        return `http://127.0.0.1:${this.port}`;
    }

    /** Starts to listen on a port of 127.0.0.1; 0 picks a free one. */
    async start(port = 0): Promise<void> {
        this.server = createServer((req, res) => void this.handle(req, res).catch(() => res.destroy()));
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise<void>(resolve => this.server!.listen(port, "127.0.0.1", resolve));
        this.port = (this.server.address() as AddressInfo).port;
        this.timer.every(leaseCheckIntervalMs, () => this.expireLeases());
    }

    /** Stops listening and closes every connection. */
    async stop(): Promise<void> {
        this.isUp = false;
        this.sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => this.server?.close(resolve));
    }

    /** Crashes, and after `rebootMs` (300 by default) accepts requests again under a new boot id, which it returns. */
    async reboot(): Promise<string> {
        this.crash();
        await new Promise(resolve => setTimeout(resolve, this.options.rebootMs ?? 300));
        this.bootCount++;
        this.isUp = true;
        return this.bootId;
    }

    /** Drops all connections, requests and tasks without notice. */
    crash(): void {
        this.isUp = false;
        this.tasks.forEach(task => task.cancel());
        this.tasks.clear();
        this.running = 0;
        this.sockets.forEach(socket => socket.destroy());
    }

    private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        if (!this.isUp) {
            res.destroy();
            return;
        }
        const url = new URL(req.url ?? "/", "http://worker");
        const [, kind = "", id = "", action = ""] = url.pathname.split("/").map(decodeURIComponent);
        const body = await readBody(req);
        switch (kind) {
            case "queues":
                return this.serveRequest(id, req, res, body);
            case "tasks":
                return this.serveTask(id, action, url, req, res, body);
            case "fault":
                this.fault = Object.values(Fault).find(fault => String(fault) === id) ?? Fault.None;
                return sendResponse(res, 200, { fault: this.fault });
            case "reboot":
                res.once("close", () => void this.reboot());
                res.setHeader("connection", "close");
                return sendResponse(res, 202, { running: this.running, bootId: this.bootId });
            case "usage":
                return sendResponse(res, 200, { running: this.running, bootId: this.bootId });
            default:
                return sendResponse(res, 404, {});
        }
    }

    private serveRequest(queue: string, req: IncomingMessage, res: ServerResponse, body: Buffer): void {
        if (this.running >= (this.options.slots ?? 8)) {
            sendRefusal(res, "full");
            return;
        }
        const id = String(req.headers["celerywind-request-id"]);
        const record = this.beginRecord(id, String(req.headers["celerywind-team"]), queue, false);
        const boot = this.bootCount;
        const ms = this.durationOf(queue);
        const finish = (): void => {
            if (boot === this.bootCount && this.isUp) {
                this.endRecord(record);
                this.respond(res, { id, queue, worker: this.options.vm, echo: body.toString("base64") });
            }
        };
        const timeoutMs = Number(req.headers["celerywind-timeout-ms"] ?? Infinity);
        res.once("close", () => this.endRecord(record));
        if (ms === 0) {
            finish();
        }
        else if (this.fault === Fault.Hang || ms > timeoutMs) {
            this.timer.after(timeoutMs, () => this.endRecord(record));
        }
        else {
            this.timer.after(this.fault === Fault.FailFast ? 1 : ms, finish);
        }
    }

    private respond(res: ServerResponse, value: unknown): void {
        const text = JSON.stringify(value);
        switch (this.fault) {
            case Fault.FailFast:
                sendResponse(res, 500, { error: "failed" });
                break;
            case Fault.Reset:
                res.socket?.resetAndDestroy();
                break;
            case Fault.Truncate:
                res.writeHead(200, {
                    "content-type": "application/json",
                    "content-length": text.length + 100,
                });
                res.write(text, () => res.destroy());
                break;
            case Fault.None:
            case Fault.Slow:
            case Fault.Hang:
                res.writeHead(200, {
                    "content-type": "application/json",
                    "content-length": Buffer.byteLength(text),
                });
                res.end(text);
                break;
        }
    }

    private serveTask(
        id: string,
        action: string,
        url: URL,
        req: IncomingMessage,
        res: ServerResponse,
        body: Buffer,
    ): void {
        switch (`${req.method} ${action}`) {
            case "PUT ":
                return this.startTask(id, res, JSON.parse(body.toString()) as TaskBody);
            case "GET ":
                this.renewLease(id, Number(url.searchParams.get("renew") ?? 0));
                return this.sendStatus(res, id);
            case "DELETE ":
                return this.cancelTask(id, res);
            case "POST checkpoint":
                return this.checkpointTask(id, res);
            case "POST forget":
                this.forgetTask(id);
                return sendResponse(res, 200, {});
            default:
                return sendResponse(res, 404, {});
        }
    }

    private startTask(
        id: string,
        res: ServerResponse,
        { team, queue, leaseMs, payload, ifBootId }: TaskBody,
    ): void {
        if (ifBootId !== undefined && ifBootId !== this.bootId) {
            sendResponse(res, 412, { bootId: this.bootId });
            return;
        }
        const existing = this.tasks.get(id);
        if (existing !== undefined) {
            sendResponse(res, existing.state === "tombstone" ? 409 : 201, {});
            return;
        }
        if (this.running >= (this.options.slots ?? 8)) {
            sendRefusal(res, "full");
            return;
        }
        const record = this.beginRecord(id, team, queue, true);
        const cancel = this.timer.after(this.durationOf(queue), () => this.finishTask(id));
        const leaseUntil = this.timer.now() + leaseMs;
        this.tasks.set(id, { state: "running", payload, record, leaseUntil, leaseMs, cancel });
        sendResponse(res, 201, { bootId: this.bootId });
    }

    private finishTask(id: string): void {
        const task = this.tasks.get(id);
        if (task?.state !== "running") {
            return;
        }
        this.endRecord(task.record);
        if (this.fault === Fault.FailFast || isPoisonPayload(task.payload)) {
            Object.assign(task, { state: "failed", reason: "the task failed" });
        }
        else {
            Object.assign(task, { state: "done", result: task.payload });
        }
    }

    private cancelTask(id: string, res: ServerResponse): void {
        const task = this.tasks.get(id);
        if (task === undefined) {
            const record: MutableRecord = { id, team: "", queue: "", startedAt: 0, endedAt: 0, isTask: true };
            const tombstone: Task = {
                state: "tombstone",
                payload: "",
                record,
                leaseUntil: 0,
                leaseMs: 0,
                cancel: () => undefined,
            };
            this.tasks.set(id, tombstone);
        }
        else if (task.state === "running") {
            this.stopTask(task, "stopped");
        }
        this.sendStatus(res, id);
    }

    private checkpointTask(id: string, res: ServerResponse): void {
        const task = this.tasks.get(id);
        if (task?.state === "running") {
            this.stopTask(task, "stopped");
            task.result = task.payload;
        }
        this.sendStatus(res, id);
    }

    private forgetTask(id: string): void {
        const task = this.tasks.get(id);
        if (task !== undefined && task.state !== "running") {
            this.tasks.delete(id);
        }
    }

    private stopTask(task: Task, state: "stopped" | "lapsed"): void {
        task.cancel();
        task.state = state;
        this.endRecord(task.record);
    }

    private renewLease(id: string, ms: number): void {
        const task = this.tasks.get(id);
        if (task !== undefined && ms > 0) {
            task.leaseUntil = this.timer.now() + ms;
        }
    }

    private expireLeases(): void {
        const now = this.timer.now();
        [...this.tasks.values()]
            .filter(task => task.state === "running" && task.leaseUntil < now)
            .forEach(task => this.stopTask(task, "lapsed"));
    }

    private sendStatus(res: ServerResponse, id: string): void {
        const task = this.tasks.get(id);
        const { bootId } = this;
        const { result, reason } = task ?? {};
        sendResponse(res, 200, { bootId, state: task?.state ?? "absent", result, reason });
    }

    private durationOf(queue: string): number {
        const ms = (this.options.serviceMs ?? (() => 20))(queue);
        return this.fault === Fault.Slow ? ms * slowFactor : ms;
    }

    private beginRecord(id: string, team: string, queue: string, isTask: boolean): MutableRecord {
        const record: MutableRecord = {
            id,
            team,
            queue,
            startedAt: this.timer.now(),
            endedAt: undefined,
            isTask,
        };
        this.records.push(record);
        this.running++;
        return record;
    }

    private endRecord(record: MutableRecord): void {
        if (record.endedAt === undefined) {
            record.endedAt = this.timer.now();
            this.running = Math.max(0, this.running - 1);
        }
    }
}

function isPoisonPayload(payload: string): boolean {
    return Buffer.from(payload, "base64").toString().includes('"poison":true');
}

function sendRefusal(res: ServerResponse, reason: string): void {
    res.setHeader("celerywind-outcome", "not-run");
    res.setHeader("celerywind-reason", reason);
    sendResponse(res, 503, { reason });
}
