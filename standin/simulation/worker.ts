/** Simulated workers in virtual time, which run requests and tasks on a fixed number of slots, with fault injection. */
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

/** Options of `VirtualWorker`. */
export interface VirtualWorkerOptions {
    readonly vm: string;
    readonly timer: Timer;
    readonly random: Random;
    readonly slots?: number;
    /** Mean service time by queue, in milliseconds. */
    readonly meanServiceMs: (queue: string) => number;
    /** Whether service times vary from 0.5 to 1.5 times the mean; they are constant otherwise. True by default. */
    readonly hasVariedServiceTimes?: boolean;
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
/** Payloads that contain this text make their task fail. */
const poisonMarker = '"poison":true';

/** A simulated worker VM. */
export class VirtualWorker {
    fault = Fault.None;
    isUp = true;
    readonly runs: MutableRun[] = [];
    /** Number of requests refused because every slot was in use. */
    refusedCount = 0;
    private running = 0;
    private bootCount = 1;
    private readonly tasks = new Map<string, VirtualTask>();

    constructor(private readonly options: VirtualWorkerOptions) {}

    get bootId(): string {
        return `${this.options.vm}-boot-${this.bootCount}`;
    }

    get runningCount(): number {
        return this.running;
    }

    /** Goes down and ends all runs; tasks and their results are lost. */
    crash(): void {
        this.isUp = false;
        this.running = 0;
        this.tasks.clear();
        const now = this.options.timer.now();
        this.runs.filter(run => run.endedAt === undefined).forEach(run => run.endedAt = now);
    }

    /** Ends all runs and tasks, as a crash does, and comes up with a new boot id, which it returns. */
    reboot(): string {
        this.crash();
        this.bootCount++;
        this.isUp = true;
        return this.bootId;
    }

    /**
     * Runs a request for at most `timeoutMs` milliseconds and passes the result to `answer`. There is no answer if the
     * time runs out, the worker hangs or it goes down meanwhile.
     */
    serveRequest(req: UpstreamRequest, timeoutMs: number, answer: (result: AttemptResult) => void): void {
        const { timer } = this.options;
        if (this.running >= (this.options.slots ?? 8)) {
            this.refusedCount++;
            answer({ kind: AttemptKind.Refused, cause: "full" });
            return;
        }
        const run = this.startRun(req.id, req.team, req.queue, false);
        const bootAtStart = this.bootCount;
        const neededMs = this.fault === Fault.FailFast ? 1 : this.serviceTimeMs(req.queue);
        const isUnanswered = this.fault === Fault.Hang || neededMs > timeoutMs;
        timer.after(Math.min(neededMs, timeoutMs), () => {
            if (!this.isUp || bootAtStart !== this.bootCount) {
                return;
            }
            this.endRun(run);
            if (!isUnanswered) {
                answer(this.attemptResult(req));
            }
        });
    }

    /**
     * Starts a task. Repeated calls for the same task do not start it again. A task of another boot of the worker, or
     * one that finds every slot in use, is refused.
     */
    startTask(job: Job, payload: Buffer, leaseMs: number): TaskStartResult {
        const id = taskIdOf(job);
        if (job.workerBoot !== this.bootId) {
            return TaskStartResult.Refused;
        }
        const existing = this.tasks.get(id);
        if (existing !== undefined) {
            return existing.state === TaskState.Tombstone ? TaskStartResult.Unknown : TaskStartResult.Started;
        }
        if (this.running >= (this.options.slots ?? 8)) {
            return TaskStartResult.Refused;
        }
        const run = this.startRun(id, job.team, job.queue, true);
        const task: VirtualTask = {
            state: TaskState.Running,
            leaseUntil: this.options.timer.now() + leaseMs,
            run,
            payload,
        };
        this.tasks.set(id, task);
        this.options.timer.after(this.serviceTimeMs(job.queue), () => this.finishTask(id, task));
        return TaskStartResult.Started;
    }

    /** Sets the lease of a running task to end in `renewMs` milliseconds, and returns the task's status. */
    renewTask(job: Job, renewMs: number): TaskStatus {
        const task = this.tasks.get(taskIdOf(job));
        this.expireLeases();
        if (task?.state === TaskState.Running) {
            task.leaseUntil = this.options.timer.now() + renewMs;
        }
        return this.taskStatus(task);
    }

    /** Stops a task; a task that has not started leaves a tombstone, which prevents a later start. */
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
        return this.taskStatus(this.tasks.get(id));
    }

    /** Deletes a task unless it is running. */
    removeTask(job: Job): void {
        const task = this.tasks.get(taskIdOf(job));
        if (task !== undefined && task.state !== TaskState.Running) {
            this.tasks.delete(taskIdOf(job));
        }
    }

    private attemptResult(req: UpstreamRequest): AttemptResult {
        switch (this.fault) {
            case Fault.FailFast:
                return { kind: AttemptKind.Completed, status: 500, headers: {}, body: Buffer.from("failed") };
            case Fault.Reset:
            case Fault.Truncate:
                return { kind: AttemptKind.Interrupted, cause: this.fault };
            case Fault.None:
            case Fault.Slow:
            case Fault.Hang:
                return {
                    kind: AttemptKind.Completed,
                    status: 200,
                    headers: {},
                    body: Buffer.from(`${req.id}|${req.body.toString()}`),
                };
        }
    }

    private finishTask(id: string, task: VirtualTask): void {
        this.expireLeases();
        if (this.tasks.get(id) !== task || task.state !== TaskState.Running) {
            return;
        }
        this.endRun(task.run);
        const isFailed = this.fault === Fault.FailFast || task.payload.includes(poisonMarker);
        task.state = isFailed ? TaskState.Failed : TaskState.Done;
        task.reason = "the task failed";
    }

    private expireLeases(): void {
        const now = this.options.timer.now();
        [...this.tasks.values()]
            .filter(task => task.state === TaskState.Running && task.leaseUntil < now)
            .forEach(task => this.stopTask(task, TaskState.LeaseExpired));
    }

    private stopTask(task: VirtualTask, state: TaskState.Stopped | TaskState.LeaseExpired): void {
        task.state = state;
        this.endRun(task.run);
    }

    private taskStatus(task: VirtualTask | undefined): TaskStatus {
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

    private serviceTimeMs(queue: string): number {
        const { meanServiceMs, random, hasVariedServiceTimes = true } = this.options;
        const meanMs = this.fault === Fault.Slow ? meanServiceMs(queue) * slowFactor : meanServiceMs(queue);
        return hasVariedServiceTimes ? Math.max(1, meanMs * (0.5 + random.fraction())) : meanMs;
    }

    private startRun(id: string, team: string, queue: string, isTask: boolean): MutableRun {
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

    private endRun(run: MutableRun): void {
        if (run.endedAt === undefined) {
            run.endedAt = this.options.timer.now();
            this.running = Math.max(0, this.running - 1);
        }
    }
}

/** The simulated network between one entry and the workers. */
export interface WorkerLink {
    /** Timer of the entry's process. */
    readonly timer: Timer;
    /** Timer of the network, which keeps running while the process is paused. */
    readonly networkTimer: Timer;
    readonly latencyMs: number;
    readonly workerAt: (origin: string) => VirtualWorker | undefined;
    /** Whether all packets between this entry and a worker are dropped, without an error on either side. */
    readonly isLosingPackets: (origin: string) => boolean;
}

/** Connections of one entry to the simulated workers, for requests. */
export class VirtualWorkerConnections implements WorkerConnections {
    constructor(private readonly link: WorkerLink) {}

    send(origin: string, req: UpstreamRequest, timeoutMs: number): Promise<AttemptResult> {
        const { timer, networkTimer, latencyMs, workerAt, isLosingPackets } = this.link;
        return new Promise(settle => {
            const resolve = (result: AttemptResult): void => void timer.after(0, () => settle(result));
            timer.after(timeoutMs, () => resolve({ kind: AttemptKind.TimedOut, cause: "no answer in time" }));
            networkTimer.after(latencyMs, () => {
                const worker = workerAt(origin);
                if (worker?.isUp !== true) {
                    resolve({ kind: AttemptKind.NotSent, cause: "connection refused" });
                    return;
                }
                if (isLosingPackets(origin)) {
                    return;
                }
                worker.serveRequest(
                    req,
                    timeoutMs,
                    result =>
                        networkTimer.after(latencyMs, () => !isLosingPackets(origin) && resolve(result)),
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

/** Client of one entry for tasks on the simulated workers. */
export class VirtualTaskClient implements TaskClient {
    constructor(
        private readonly link: WorkerLink,
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
        return this.call<TaskStatus>(job, worker => worker.renewTask(job, this.leaseMs), {
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
        return this.call(job, worker => worker.removeTask(job), undefined);
    }

    private call<T>(job: Job, action: (worker: VirtualWorker) => T, ifUnreachable: T): Promise<T> {
        const { timer, networkTimer, latencyMs, workerAt, isLosingPackets } = this.link;
        const origin = this.originOf(job.worker ?? "") ?? "";
        return new Promise(resolve => {
            networkTimer.after(latencyMs, () => {
                const worker = workerAt(origin);
                if (worker?.isUp !== true || isLosingPackets(origin)) {
                    timer.after(latencyMs, () => resolve(ifUnreachable));
                    return;
                }
                const value = action(worker);
                timer.after(latencyMs, () => resolve(value));
            });
        });
    }
}
