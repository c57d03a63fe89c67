/** A worker (PROTOCOL.md, "Running subtasks"). A crash ends its life; the next one may have the same id. */
import type { Server } from "node:http";
import { addressOf, type Answer, type Call, serve } from "./http.js";
import type { Recorder } from "./recorder.js";

/** Amounts of processor (in thousandths of a core) and memory. */
export interface Amounts {
    readonly cpu: number;
    readonly "mem-mb": number;
}

/** What a run of a subtask does. */
export interface RunPlan {
    readonly needs: Amounts;
    readonly workMs: number;
    readonly how: "done" | "failed";
    /** Name and size of its gang. */
    readonly gang?: { readonly name: string; readonly size: number };
}

/** Tells what a run of a subtask does; undefined if nobody submitted it. */
export type Planner = (task: string, run: number) => RunPlan | undefined;

/** Members of gangs that are present on all workers, by the gang's name and run. */
export type Gangs = Map<string, Set<Run>>;

interface Run {
    readonly task: string;
    readonly run: number;
    readonly plan: RunPlan;
    workedMs: number;
    waitedMs: number;
    isBroken: boolean;
    stopAt: number;
}

interface Life {
    readonly born: number;
    readonly startedAt: number;
    fence: number;
    leaseUntil: number;
    readonly runs: Map<string, Run>;
    readonly forbidden: Map<string, number>;
    ended: { readonly position: number; readonly task: string; readonly run: number; readonly how: string }[];
    nextEnd: number;
    readonly holds: Set<() => void>;
}

/** Options of `Worker.start`. */
export interface WorkerOptions {
    readonly id: string;
    readonly machine: string;
    readonly host: string;
    readonly service: string;
    readonly zone: string;
    readonly labels: readonly string[];
    readonly capacity: Amounts;
    readonly planOf: Planner;
    readonly gangs: Gangs;
    readonly recorder: Recorder;
    /** Called when a run has started. */
    readonly onRunStarted: (worker: Worker, task: string, run: number) => void;
    /** Time after which the start of a run is carried out, without an answer; 0 for one that is answered at once. */
    readonly startDelayMs: (worker: Worker, task: string, run: number) => number;
}

const tickMs = 20;
/** Age of the workers at the start of a deployment. */
const firstAgeMs = 480_000;
const holdMaxMs = 6000;
const gangMs = 3000;
const stopMs = 60;
const maxEnds = 500;
const maxWaitMs = 2000;

/** A worker behind a server. */
export class Worker {
    life: Life | undefined;
    sequence = 0;
    isDraining = false;
    /** Whether its reports do not reach the store, or the next one is not due yet. */
    isSilent = false;
    /** Whether it is cut off from the entries: no call reaches it, and no answer leaves it. */
    isCutOff = false;
    private readonly failures = new Map<string, number>();
    private server: Server | undefined;
    private readonly ticker: NodeJS.Timeout;

    private constructor(readonly options: WorkerOptions) {
        this.ticker = setInterval(() => this.tick(), tickMs);
    }

    /** Starts a worker. */
    static async start(options: WorkerOptions): Promise<Worker> {
        const worker = new Worker(options);
        await worker.begin(firstAgeMs);
        return worker;
    }

    /** Begins the next life, which has lasted for `ageMs`. */
    async begin(ageMs = 0): Promise<void> {
        const { host } = this.options;
        this.server ??= await serve(host, call => this.handle(call));
        this.sequence = 0;
        this.life = {
            born: Date.now() - ageMs,
            startedAt: performance.now() - ageMs,
            fence: 0,
            leaseUntil: 0,
            runs: new Map(),
            forbidden: new Map(),
            ended: [],
            nextEnd: 1,
            holds: new Set(),
        };
    }

    /** Loses its power: all that runs is gone, and no call is answered until the next life. */
    loseLife(): void {
        const { life } = this;
        this.life = undefined;
        life?.runs.forEach(run => this.leaveGang(run, false));
        life?.runs.forEach(({ task, run }) =>
            this.options.recorder.write("run lost", { task, run, on: this.id })
        );
    }

    /** Ends the worker for good. */
    close(): void {
        clearInterval(this.ticker);
        this.loseLife();
        this.server?.closeAllConnections();
        this.server?.close();
    }

    get id(): string {
        return this.options.id;
    }

    /** Number of runs of a subtask that have ended here as failed. */
    failuresOf(task: string): number {
        return this.failures.get(task) ?? 0;
    }

    /** Subtasks that run here. */
    get running(): readonly string[] {
        return [...this.life?.runs.keys() ?? []];
    }

    /** Its entry in the store. */
    registration() {
        const { service, zone, labels, capacity } = this.options;
        return {
            service,
            address: this.server === undefined ? "" : addressOf(this.server),
            zone,
            version: "v1",
            slots: 8,
            state: this.isDraining ? "draining" : "ready",
            "cold-left-ms": 0,
            capacity: { ...capacity, gpu: 0 },
            labels,
            "clock-ms": this.clockMs,
            sequence: ++this.sequence,
            born: this.life?.born ?? 0,
        };
    }

    private get clockMs(): number {
        return this.life === undefined ? 0 : Math.floor(performance.now() - this.life.startedAt);
    }

    private async handle(call: Call): Promise<Answer> {
        const answer = this.isCutOff ? undefined : await this.respond(call);
        return this.isCutOff ? undefined : answer;
    }

    private respond(call: Call): Promise<Answer> | Answer {
        const { life } = this;
        if (life === undefined) {
            return undefined;
        }
        if (call.headers["celerywind-target-instance"] !== this.id) {
            return { status: 421, body: {} };
        }
        switch (call.url.pathname) {
            case "/v1/run-start":
                return this.receiveStart(life, call.body);
            case "/v1/run-stop":
                return this.stop(life, call.body);
            case "/v1/hold":
                return this.hold(life, call.body);
            case "/v1/pace":
                return this.answer(200);
            default:
                return { status: 404, body: {} };
        }
    }

    private answer(status: number, fields: Record<string, unknown> = {}): Answer {
        return { status, body: { "clock-ms": this.clockMs, born: this.life?.born ?? 0, ...fields } };
    }

    /** Whether an order's fence is the highest yet, which is kept. */
    private accepts(life: Life, body: Record<string, unknown>): boolean {
        const fence = Number(body["fence"] ?? 0);
        if (fence < life.fence) {
            return false;
        }
        life.fence = fence;
        return true;
    }

    private extendLease(life: Life, until: unknown): void {
        if (until !== undefined) {
            life.leaseUntil = Math.max(life.leaseUntil, Math.min(Number(until), this.clockMs + holdMaxMs));
        }
    }

    private receiveStart(life: Life, body: Record<string, unknown>): Answer {
        const [task, run] = [String(body["task"]), Number(body["run"])];
        const delayMs = this.options.startDelayMs(this, task, run);
        if (delayMs === 0) {
            return this.start(life, body);
        }
        this.options.recorder.write("start is held up", { task, run, on: this.id, delayMs });
        setTimeout(() => {
            if (this.life !== undefined) {
                this.options.recorder.write("start arrives late", { task, run, on: this.id });
                this.start(this.life, body);
            }
        }, delayMs);
        return undefined;
    }

    private start(life: Life, body: Record<string, unknown>): Answer {
        const [task, run] = [String(body["task"]), Number(body["run"])];
        if (!this.accepts(life, body)) {
            return this.answer(409, { reason: "fence" });
        }
        if (Number(body["deadline-ms"]) <= this.clockMs) {
            return this.answer(409, { reason: "late" });
        }
        this.extendLease(life, body["deadline-ms"]);
        const present = life.runs.get(task);
        if (present?.run === run) {
            return this.answer(200);
        }
        if (present !== undefined || run <= (life.forbidden.get(task) ?? 0)) {
            return this.answer(409, { reason: "old" });
        }
        const plan = this.options.planOf(task, run);
        if (plan === undefined) {
            return this.answer(400);
        }
        if (!this.hasRoom(life, plan.needs)) {
            return this.answer(409, { reason: "room" });
        }
        const started: Run = { task, run, plan, workedMs: 0, waitedMs: 0, isBroken: false, stopAt: Infinity };
        life.runs.set(task, started);
        this.joinGang(started);
        this.options.recorder.write("run starts", { task, run, on: this.id, fence: body["fence"] });
        this.options.onRunStarted(this, task, run);
        return this.answer(200);
    }

    private hasRoom(life: Life, needs: Amounts): boolean {
        const { capacity } = this.options;
        const used = (name: "cpu" | "mem-mb"): number =>
            [...life.runs.values()].reduce((sum, { plan }) => sum + plan.needs[name], needs[name]);
        return used("cpu") <= capacity.cpu && used("mem-mb") <= capacity["mem-mb"];
    }

    private stop(life: Life, body: Record<string, unknown>): Answer {
        const [task, run] = [String(body["task"]), Number(body["run"])];
        if (!this.accepts(life, body)) {
            return this.answer(409, { reason: "fence" });
        }
        life.forbidden.set(task, Math.max(run, life.forbidden.get(task) ?? 0));
        const present = life.runs.get(task);
        if (present !== undefined && present.run <= run) {
            present.stopAt = Math.min(present.stopAt, performance.now() + stopMs);
        }
        return this.answer(200);
    }

    private async hold(life: Life, body: Record<string, unknown>): Promise<Answer> {
        if (!this.accepts(life, body)) {
            return this.answer(409, { reason: "fence" });
        }
        this.extendLease(life, body["deadline-ms"]);
        const acknowledged = Number(body["ack-seq"] ?? 0);
        life.ended = life.ended.filter(({ position }) => position > acknowledged);
        const waitMs = Math.min(maxWaitMs, Number(body["wait-ms"] ?? 0));
        if (life.ended.length === 0 && waitMs > 0) {
            await new Promise<void>(resolve => {
                const wake = (): void => {
                    clearTimeout(timer);
                    life.holds.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, waitMs);
                life.holds.add(wake);
            });
        }
        if (life !== this.life) {
            return undefined;
        }
        return this.answer(200, {
            running: [...life.runs.values()].map((
                { task, run, plan, workedMs },
            ) => [task, run, "", Math.floor(100 * Math.min(1, workedMs / plan.workMs)), plan.needs.cpu]),
            ended: life.ended.slice(0, maxEnds).map((
                { position, task, run, how },
            ) => [position, task, run, how, ""]),
        });
    }

    private tick(): void {
        const { life } = this;
        if (life === undefined) {
            return;
        }
        const hasLapsed = this.clockMs >= life.leaseUntil;
        for (const run of [...life.runs.values()]) {
            const isWaiting = this.isGangIncomplete(run);
            run.workedMs += isWaiting ? 0 : tickMs;
            run.waitedMs += isWaiting ? tickMs : 0;
            const how = hasLapsed ? "lapsed" : outcomeOf(run);
            if (how !== undefined && life.runs.get(run.task) === run) {
                this.endRun(life, run, how);
            }
        }
    }

    private endRun(life: Life, run: Run, how: string): void {
        const { task, run: number } = run;
        this.leaveGang(run, how === "done");
        if (how === "failed") {
            this.failures.set(task, this.failuresOf(task) + 1);
        }
        life.runs.delete(task);
        life.forbidden.set(task, Math.max(number, life.forbidden.get(task) ?? 0));
        life.ended.push({ position: life.nextEnd++, task, run: number, how });
        this.options.recorder.write("run ends", { task, run: number, on: this.id, how });
        [...life.holds].forEach(wake => wake());
    }

    private gangKey({ run, plan: { gang } }: Run): string {
        return `${gang?.name}/${run}`;
    }

    private joinGang(run: Run): void {
        if (run.plan.gang !== undefined) {
            const key = this.gangKey(run);
            this.options.gangs.set(key, (this.options.gangs.get(key) ?? new Set()).add(run));
        }
    }

    private isGangIncomplete(run: Run): boolean {
        const { gang } = run.plan;
        return gang !== undefined && run.workedMs === 0
            && (this.options.gangs.get(this.gangKey(run))?.size ?? 0) < gang.size;
    }

    private leaveGang(run: Run, isDone: boolean): void {
        const members = this.options.gangs.get(this.gangKey(run));
        members?.delete(run);
        if (!isDone) {
            members?.forEach(member => {
                member.isBroken = true;
            });
        }
    }
}

function outcomeOf({ plan, workedMs, waitedMs, isBroken, stopAt }: Run): string | undefined {
    if (isBroken) {
        return "broken";
    }
    if (waitedMs >= gangMs) {
        return "alone";
    }
    if (performance.now() >= stopAt) {
        return "stopped";
    }
    return workedMs >= plan.workMs ? plan.how : undefined;
}
