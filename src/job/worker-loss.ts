/** Workers that were lost under a task, and whether the task may be what ends them. */

/** One incarnation of a worker. */
export interface WorkerIncarnation {
    readonly worker: string;
    /** Unix time at which this incarnation started, in milliseconds. */
    readonly workerStartedAt: number;
}

/** A worker that was lost under a task. */
export interface WorkerLoss extends WorkerIncarnation {
    /** Whether another task has failed its job for ending this worker, or is the likelier cause. */
    readonly isExplained: boolean;
}

/** Whether a task may end the worker that starts it. */
export enum Suspicion {
    None = 0,
    Suspect = 1,
    /** One more lost worker fails the job. */
    LastChance = 2,
}

/** Number of unexplained losses at which a task fails its job. */
const maxUnexplainedLosses = 3;
/** The same with the explained losses, which are no proof that the task ends no workers. */
const maxLosses = 5;

/** Whether so many workers were lost under a task that it may not be started again. */
export function exceedsLossLimit(losses: readonly WorkerLoss[]): boolean {
    return countUnexplained(losses) >= maxUnexplainedLosses || losses.length >= maxLosses;
}

/** Suspicion that the losses of a task raise against it. */
export function suspicionOf(losses: readonly WorkerLoss[]): Suspicion {
    const unexplained = countUnexplained(losses);
    if (unexplained >= maxUnexplainedLosses - 1 || losses.length >= maxLosses - 1) {
        return Suspicion.LastChance;
    }
    return unexplained > 0 ? Suspicion.Suspect : Suspicion.None;
}

/** Whether two incarnations are the same. */
export function isSameIncarnation(a: WorkerIncarnation, b: WorkerIncarnation): boolean {
    return a.worker === b.worker && a.workerStartedAt === b.workerStartedAt;
}

function countUnexplained(losses: readonly WorkerLoss[]): number {
    return losses.filter(({ isExplained }) => !isExplained).length;
}
