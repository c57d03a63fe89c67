/** HTTP client of the task protocol of workers. */
import { z } from "zod";
import type { Upstream } from "../connection/upstream/index.js";
import { type Job, taskIdOf } from "./job.js";
import { type TaskClient, TaskStartResult, TaskState, type TaskStatus } from "./task.js";

/** Options of `WorkerTaskClient.create`. */
export interface WorkerTaskClientOptions {
    readonly upstream: Upstream;
    /** Origin of a VM's task endpoint; undefined when the VM is not in the inventory. */
    readonly originOf: (vm: string) => string | undefined;
    readonly leaseMs: number;
    readonly timeoutMs?: number;
}

const statusSchema = z.object({
    state: z.enum(TaskState).exclude(["Unreachable"]),
    bootId: z.string(),
    result: z.string().optional(),
    resultType: z.string().optional(),
    reason: z.string().optional(),
});

const statusCreated = 201;
const statusUnavailable = 503;
const statusOtherBoot = 412;

/** Implements `TaskClient` over HTTP, one request per call. */
export class WorkerTaskClient implements TaskClient {
    private constructor(private readonly options: WorkerTaskClientOptions) {}

    static create(options: WorkerTaskClientOptions): WorkerTaskClient {
        return new WorkerTaskClient(options);
    }

    /** Starts this attempt on the job's worker, unless the worker has rebooted since the job was claimed for it. */
    async start(job: Job, payload: Buffer): Promise<TaskStartResult> {
        const { team, queue, contentType, idempotent, workerBoot: ifBootId } = job;
        const { leaseMs } = this.options;
        const task = {
            team,
            queue,
            contentType,
            idempotent,
            ifBootId,
            leaseMs,
            payload: payload.toString("base64"),
        };
        const response = await this.call(job, "PUT", "", JSON.stringify(task)).catch(() => undefined);
        switch (response?.status) {
            case statusCreated:
                return TaskStartResult.Started;
            case statusUnavailable:
            case statusOtherBoot:
                return TaskStartResult.Refused;
            case undefined:
            default:
                return TaskStartResult.Unknown;
        }
    }

    async renewLease(job: Job): Promise<TaskStatus> {
        return this.status(job, "GET", `?renew=${this.options.leaseMs}`);
    }

    async cancel(job: Job): Promise<TaskStatus> {
        return this.status(job, "DELETE", "");
    }

    async checkpoint(job: Job): Promise<Buffer | undefined> {
        const status = await this.status(job, "POST", "/checkpoint");
        return status.state === TaskState.Stopped ? status.result : undefined;
    }

    async forget(job: Job): Promise<void> {
        await this.call(job, "POST", "/forget").catch(() => undefined);
    }

    private async status(job: Job, method: "GET" | "DELETE" | "POST", suffix: string): Promise<TaskStatus> {
        try {
            const response = await this.call(job, method, suffix);
            const parsed = statusSchema.safeParse(JSON.parse(response?.body.toString() ?? ""));
            return parsed.success ? decodeStatus(parsed.data) : { state: TaskState.Unreachable };
        }
        catch {
            return { state: TaskState.Unreachable };
        }
    }

    private async call(job: Job, method: "GET" | "PUT" | "DELETE" | "POST", suffix: string, body?: string) {
        const origin = job.worker === undefined ? undefined : this.options.originOf(job.worker);
        if (origin === undefined) {
            return undefined;
        }
        const path = `/tasks/${encodeURIComponent(taskIdOf(job))}${suffix}`;
        return await this.options.upstream.call(origin, method, path, this.options.timeoutMs ?? 2000, body);
    }
}

function decodeStatus(data: z.output<typeof statusSchema>): TaskStatus {
    const { result, resultType, reason, state, bootId } = data;
    return {
        state,
        bootId,
        ...(result !== undefined && { result: Buffer.from(result, "base64") }),
        ...(resultType !== undefined && { resultType }),
        ...(reason !== undefined && { reason }),
    };
}
