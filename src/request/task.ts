/** The task interface of workers as the job logic sees it. */

import type { Job } from "./job.js";

/** What a worker says about a task. */
export enum TaskState {
    Running = "running",
    Done = "done",
    Failed = "failed",
    /** The worker never started it, and does not know it. */
    Absent = "absent",
    /** The worker stopped it because its lease was not renewed. */
    LeaseExpired = "lapsed",
    /** The worker stopped it because it was told to. */
    Stopped = "stopped",
    /** It is forbidden to start, because it was cancelled first. */
    Tombstone = "tombstone",
    /** No sound answer arrived. */
    Unreachable = "unreachable",
}

/** A worker's answer about a task. */
export type TaskStatus =
    | { readonly state: TaskState.Unreachable }
    | {
        readonly state: Exclude<TaskState, TaskState.Unreachable>;
        /** Boot of the worker that answers; another boot knows nothing of earlier tasks. */
        readonly bootId: string;
        readonly result?: Buffer;
        readonly resultType?: string;
        readonly reason?: string;
    };

/** Result of asking a worker to start a task. */
export enum TaskStartResult {
    Started = "started",
    /** The worker will not start it. */
    Refused = "refused",
    /** It may have started. */
    Unknown = "unknown",
}

/** Calls on workers about one attempt of a job. */
export interface TaskClient {
    /** Asks the job's worker to start this attempt. */
    start(job: Job, payload: Buffer): Promise<TaskStartResult>;
    /** Asks about a task and renews its lease. */
    renewLease(job: Job): Promise<TaskStatus>;
    /** Stops a task, or forbids its start when it has not started. */
    cancel(job: Job): Promise<TaskStatus>;
    /** Stops a task and returns its state so far; undefined when the worker could not. */
    checkpoint(job: Job): Promise<Buffer | undefined>;
    /** Tells the worker that the result is stored and the task can be forgotten. */
    forget(job: Job): Promise<void>;
}
