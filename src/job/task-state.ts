/** State of a task of a job. */
import type { StepSpec } from "./spec.js";
import { exceedsLossLimit, type WorkerLoss } from "./worker-loss.js";

/** Phase of a task. The numbers are stored. */
export enum TaskPhase {
    /** The task has no active run. */
    Waiting = 0,
    /** A run was recorded as assigned to a worker; it may or may not have started. */
    Claimed = 1,
    Done = 2,
    /** The task used up its attempts, or its run ended after the job became final. */
    Failed = 3,
}

/** State of a task and its latest run. */
export interface TaskState {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
    readonly phase: TaskPhase;
    /** Number of the latest run; 0 before the first. Run numbers never decrease. */
    readonly run: number;
    /** Worker of the claimed run; empty when no run is claimed. */
    readonly worker: string;
    /** Unix time at which that incarnation of the worker started, in milliseconds; 0 when no run is claimed. */
    readonly workerStartedAt: number;
    /** Number of runs that ended as failed. */
    readonly failures: number;
    /** Checkpoint from which the next run resumes; empty when there is none. */
    readonly checkpoint: string;
    /** Workers that were lost under runs of the task and have not been seen alive since. */
    readonly lostWorkers: readonly WorkerLoss[];
}

/**
 * Whether a waiting task is not started, since too many workers were lost under it, although not all of them are known to
 * have ended: it is given up once they are, and started once those that have answered are off its record.
 */
export function isHeldTask({ phase, lostWorkers }: TaskState, { isService }: StepSpec): boolean {
    return phase === TaskPhase.Waiting && lostWorkers.length > 0 && exceedsLossLimit(lostWorkers, isService);
}
