/** Workers in virtual time: requests and tasks on a fixed number of slots, with the faults of real ones. */
import {
    AttemptKind,
    type AttemptResult,
    type UpstreamRequest,
} from "../../src/connection/upstream/index.js";
import type { Random } from "../../src/process/random.js";
import type { Timer } from "../../src/process/timer.js";
import { type Job, taskIdOf } from "../../src/request/job.js";
import type { WorkerConnections } from "../../src/request/requests.js";
import { type TaskClient, TaskStartResult, TaskState, type TaskStatus } from "../../src/request/task.js";
import { Fault, type RunRecord } from "../worker.js";

/** Options of a virtual worker. */
export interface VirtualWorkerOptions {
    readonly vm: string;
    readonly timer: Timer;
    readonly random: Random;
    readonly slots?: number;
    /** Mean service time by queue, in milliseconds. */
    readonly meanMs: (queue: string) => number;
    /** Whether service times vary; constant otherwise. */
    readonly isVaried?: boolean;
}

type MutableRun = { -readonly [K in keyof RunRecord]: RunRecord[K] };

interface VirtualTask {
    state: Exclude<TaskState, TaskState.Unreachable>;
    leaseUntil: number;
    readonly run: MutableRun;
    readonly payload: Buffer;
    reason?: string;
}

const slowFactor = 10;
const poisonMark = '"poison":true';

/** One worker VM. */
export class VirtualWorker {
    fault = Fault.None;
    isUp = true;
    readonly runs: MutableRun[] = [];
    /** Requests that arrived when every slot was taken. */
    refusals = 0;
    private running = 0;
    private boots = 1;
    private readonly tasks = new Map<string, VirtualTask>();

    constructor(private readonly options: VirtualWorkerOptions) {}

    get bootId(): string {
        return `${this.options.vm}-boot-${this.boots}`;
    }

    get runningCount(): number {
        return this.running;
    }

    /** Goes down; what ran is lost. */
    crash(): void {
        this.isUp = false;
        this.running = 0;
        this.tasks.clear();
        const now = this.options.timer.now();
        this.runs.filter(run => run.endedAt === undefined).forEach(run => run.endedAt = now);
    }

    /** Comes back with a new boot id. */
    boot(): string {
        this.crash();
        this.boots++;
        this.isUp = true;
        return this.bootId;
    }

    /** Runs one request for `timeoutMs` at most; calls back with the answer, unless the worker never answers. */
    serve(req: UpstreamRequest, timeoutMs: number, answer: (result: AttemptResult) => void): void {
        const { timer } = this.options;
        if (this.running >= (this.options.slots ?? 8)) {
            this.refusals++;
            answer({ kind: AttemptKind.Refused, cause: "full" });
            return;
        }
        const run = this.begin(req.id, req.team, req.queue, false);
        const boot = this.boots;
        const neededMs = this.fault === Fault.FailFast ? 1 : this.duration(req.queue);
        const isCutShort = this.fault === Fault.Hang || neededMs > timeoutMs;
        timer.after(Math.min(neededMs, timeoutMs), () => {
            if (!this.isUp || boot !== this.boots) {
                return;
            }
            this.end(run);
            if (!isCutShort) {
                answer(this.resultOf(req));
            }
        });
    }

    /** Starts a task. */
    startTask(job: Job, payload: Buffer, leaseMs: number): TaskStartResult {
        const id = taskIdOf(job);
        if (job.workerBoot !== this.bootId) {
            return TaskStartResult.Refused;
        }
        const known = this.tasks.get(id);
        if (known !== undefined) {
            return known.state === TaskState.Tombstone ? TaskStartResult.Unknown : TaskStartResult.Started;
        }
        if (this.running >= (this.options.slots ?? 8)) {
            return TaskStartResult.Refused;
        }
        const run = this.begin(id, job.team, job.queue, true);
        const task: VirtualTask = {
            state: TaskState.Running,
            leaseUntil: this.options.timer.now() + leaseMs,
            run,
            payload,
        };
        this.tasks.set(id, task);
        this.options.timer.after(this.duration(job.queue), () => this.finishTask(id, task));
        return TaskStartResult.Started;
    }

    /** Answers about a task, after renewing its lease by `renewMs`. */
    askTask(job: Job, renewMs: number): TaskStatus {
        const task = this.tasks.get(taskIdOf(job));
        this.lapse();
        if (task?.state === TaskState.Running) {
            task.leaseUntil = this.options.timer.now() + renewMs;
        }
        return this.statusOf(task);
    }

    /** Stops a task, or forbids its start. */
    cancelTask(job: Job): TaskStatus {
        const id = taskIdOf(job);
        const task = this.tasks.get(id);
        if (task === undefined) {
            const run: MutableRun = { id, team: "", queue: "", startedAt: 0, endedAt: 0, isTask: true };
            this.tasks.set(id, { state: TaskState.Tombstone, leaseUntil: 0, run, payload: Buffer.alloc(0) });
        }
        else if (task.state === TaskState.Running) {
            this.stopTask(task, TaskState.Stopped);
        }
        return this.statusOf(this.tasks.get(id));
    }

    /** Forgets a task that has ended. */
    forgetTask(job: Job): void {
        const task = this.tasks.get(taskIdOf(job));
        if (task !== undefined && task.state !== TaskState.Running) {
            this.tasks.delete(taskIdOf(job));
        }
    }

    private resultOf(req: UpstreamRequest): AttemptResult {
        switch (this.fault) {
            case Fault.FailFast:
                return { kind: AttemptKind.Whole, status: 500, headers: {}, body: Buffer.from("failed") };
            case Fault.Reset:
            case Fault.Truncate:
                return { kind: AttemptKind.Broken, cause: this.fault };
            case Fault.None:
            case Fault.Slow:
            case Fault.Hang:
                return {
                    kind: AttemptKind.Whole,
                    status: 200,
                    headers: {},
                    body: Buffer.from(`${req.id}|${req.body.toString()}`),
                };
        }
    }

    private finishTask(id: string, task: VirtualTask): void {
        this.lapse();
        if (this.tasks.get(id) !== task || task.state !== TaskState.Running) {
            return;
        }
        this.end(task.run);
        const isFailed = this.fault === Fault.FailFast || task.payload.includes(poisonMark);
        task.state = isFailed ? TaskState.Failed : TaskState.Done;
        task.reason = "the task failed";
    }

    private lapse(): void {
        const now = this.options.timer.now();
        [...this.tasks.values()]
            .filter(task => task.state === TaskState.Running && task.leaseUntil < now)
            .forEach(task => this.stopTask(task, TaskState.LeaseExpired));
    }

    private stopTask(task: VirtualTask, state: TaskState.Stopped | TaskState.LeaseExpired): void {
        task.state = state;
        this.end(task.run);
    }

    private statusOf(task: VirtualTask | undefined): TaskStatus {
        const { bootId } = this;
        if (task === undefined) {
            return { state: TaskState.Absent, bootId };
        }
        const isEnded = task.state === TaskState.Done || task.state === TaskState.Stopped;
        return {
            state: task.state,
            bootId,
            reason: task.reason ?? "",
            ...(isEnded && { result: task.payload }),
        };
    }

    private duration(queue: string): number {
        const { meanMs, random, isVaried = true } = this.options;
        const mean = this.fault === Fault.Slow ? meanMs(queue) * slowFactor : meanMs(queue);
        return isVaried ? Math.max(1, mean * (0.5 + random.fraction())) : mean;
    }

    private begin(id: string, team: string, queue: string, isTask: boolean): MutableRun {
        const run: MutableRun = {
            id,
            team,
            queue,
            startedAt: this.options.timer.now(),
            endedAt: undefined,
            isTask,
        };
        this.runs.push(run);
        this.running++;
        return run;
    }

    private end(run: MutableRun): void {
        if (run.endedAt === undefined) {
            run.endedAt = this.options.timer.now();
            this.running = Math.max(0, this.running - 1);
        }
    }
}

/** How one entry reaches the workers. */
export interface WayToWorkers {
    /** Timer of the entry's process. */
    readonly timer: Timer;
    /** Timer of the network, which goes on while the process is paused. */
    readonly net: Timer;
    readonly latencyMs: number;
    readonly workerAt: (origin: string) => VirtualWorker | undefined;
    /** Whether packets between this entry and a worker are lost without either noticing. */
    readonly isSilent: (origin: string) => boolean;
}

/** Requests of one entry to virtual workers. */
export class VirtualWorkers implements WorkerConnections {
    constructor(private readonly way: WayToWorkers) {}

    send(origin: string, req: UpstreamRequest, timeoutMs: number): Promise<AttemptResult> {
        const { timer, net, latencyMs, workerAt, isSilent } = this.way;
        return new Promise(settle => {
            const resolve = (result: AttemptResult): void => void timer.after(0, () => settle(result));
            timer.after(timeoutMs, () => resolve({ kind: AttemptKind.TimedOut, cause: "no answer in time" }));
            net.after(latencyMs, () => {
                const worker = workerAt(origin);
                if (worker?.isUp !== true) {
                    resolve({ kind: AttemptKind.NotSent, cause: "connection refused" });
                    return;
                }
                if (isSilent(origin)) {
                    return;
                }
                worker.serve(
                    req,
                    timeoutMs,
                    result => net.after(latencyMs, () => !isSilent(origin) && resolve(result)),
                );
            });
        });
    }

    retain(): void {
        return;
    }

    close(): Promise<void> {
        return Promise.resolve();
    }
}

/** Task calls of one entry to virtual workers. */
export class VirtualTasks implements TaskClient {
    constructor(
        private readonly way: WayToWorkers,
        private readonly originOf: (vm: string) => string | undefined,
        private readonly leaseMs: number,
    ) {}

    start(job: Job, payload: Buffer): Promise<TaskStartResult> {
        return this.call(
            job,
            worker => worker.startTask(job, payload, this.leaseMs),
            TaskStartResult.Unknown,
        );
    }

    renewLease(job: Job): Promise<TaskStatus> {
        return this.call<TaskStatus>(job, worker => worker.askTask(job, this.leaseMs), {
            state: TaskState.Unreachable,
        });
    }

    cancel(job: Job): Promise<TaskStatus> {
        return this.call<TaskStatus>(job, worker => worker.cancelTask(job), { state: TaskState.Unreachable });
    }

    async checkpoint(job: Job): Promise<Buffer | undefined> {
        const status = await this.cancel(job);
        return status.state === TaskState.Stopped ? status.result : undefined;
    }

    forget(job: Job): Promise<void> {
        return this.call(job, worker => worker.forgetTask(job), undefined);
    }

    private call<T>(job: Job, act: (worker: VirtualWorker) => T, lost: T): Promise<T> {
        const { timer, net, latencyMs, workerAt, isSilent } = this.way;
        const origin = this.originOf(job.worker ?? "") ?? "";
        return new Promise(resolve => {
            net.after(latencyMs, () => {
                const worker = workerAt(origin);
                if (worker?.isUp !== true || isSilent(origin)) {
                    timer.after(latencyMs, () => resolve(lost));
                    return;
                }
                const value = act(worker);
                timer.after(latencyMs, () => resolve(value));
            });
        });
    }
}
