/** The task interface of workers as the job logic sees it. */

/** What a worker says about a task. */
export enum TaskState {
    Running = "running",
    Done = "done",
    Failed = "failed",
    /** The worker never started it, and does not know it. */
    Absent = "absent",
    /** The worker stopped it because its lease was not renewed. */
    Lapsed = "lapsed",
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
export enum TaskStart {
    Started = "started",
    /** The worker will not start it. */
    Refused = "refused",
    /** It may have started. */
    Unknown = "unknown",
}
