/** The task protocol of workers: states of a task, and the client interface that the job logic uses. */

import type { Job } from "./job.js";

/** State of a task as its worker reports it. */
export enum TaskState {
    Running = "running",
    Done = "done",
    Failed = "failed",
    /** The worker has no record of it: it never started there. */
    Absent = "absent",
    /** The worker stopped it because its lease was not renewed. */
    LeaseExpired = "lapsed",
    /** The worker stopped it on request: by a cancellation or a checkpoint. */
    Stopped = "stopped",
    /** Cancelled before it started; a late start request has no effect. */
    Tombstone = "tombstone",
    /** No valid response arrived. Set by the client, never reported by a worker. */
    Unreachable = "unreachable",
}

/** A worker's report on a task. */
export type TaskStatus =
    | { readonly state: TaskState.Unreachable }
    | {
        readonly state: Exclude<TaskState, TaskState.Unreachable>;
        /** Boot id of the responding worker; tasks do not survive a reboot. */
        readonly bootId: string;
        readonly result?: Buffer;
        readonly resultType?: string;
        readonly reason?: string;
    };

/** Result of a start request. */
export enum TaskStartResult {
    Started = "started",
    /** The worker did not start it and will not. */
    Refused = "refused",
    /** No conclusive response: it may have started. */
    Unknown = "unknown",
}

/** Client of the task protocol. Each call is about the current attempt of a job, on the worker it was claimed for. */
export interface TaskClient {
    /** Starts this attempt on the job's worker. */
    start(job: Job, payload: Buffer): Promise<TaskStartResult>;
    /** Renews the lease of a task and returns its status. */
    renewLease(job: Job): Promise<TaskStatus>;
    /** Stops a task, or leaves a tombstone that prevents a later start. */
    cancel(job: Job): Promise<TaskStatus>;
    /** Stops a task and returns its checkpoint; undefined when the worker could not take one. */
    checkpoint(job: Job): Promise<Buffer | undefined>;
    /** Lets the worker discard a task whose end is stored. */
    forget(job: Job): Promise<void>;
}
