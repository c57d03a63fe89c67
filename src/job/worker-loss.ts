/** Workers that were lost under a task, and whether the task may be what ends them. */

/** One incarnation of a worker. */
export interface WorkerIncarnation {
    readonly worker: string;
    /** Unix time at which this incarnation started, in milliseconds. */
    readonly workerStartedAt: number;
}

/** A worker that was lost under a task. */
export interface WorkerLoss extends WorkerIncarnation {
    /** Whether its end was expected, or another task was given up for it or is the likelier cause. */
    readonly isExplained: boolean;
}

/** Whether a task may end the worker that starts it. */
export enum Suspicion {
    None = 0,
    Suspect = 1,
    /** One more lost worker makes the task be given up. */
    LastChance = 2,
}

/** Number of lost workers at which a task is given up. */
interface LossLimit {
    readonly unexplained: number;
    /** Explained ones included, which are no proof that the task ends no workers. Also the most starts that may end one. */
    readonly total: number;
}

const jobLimit: LossLimit = { unexplained: 3, total: 5 };
/** Higher for tasks of services, which run on after others have started beside them. */
const serviceLimit: LossLimit = { unexplained: 4, total: 5 };

/** Whether so many workers were lost under a task that it is not started again. */
export function exceedsLossLimit(losses: readonly WorkerLoss[], isService: boolean): boolean {
    const { unexplained, total } = isService ? serviceLimit : jobLimit;
    return countUnexplained(losses) >= unexplained || losses.length >= total;
}

/** Suspicion that the losses of a task raise against it. */
export function suspicionOf(losses: readonly WorkerLoss[], isService: boolean): Suspicion {
    if (losses.length === 0) {
        return Suspicion.None;
    }
    const next: WorkerLoss = { worker: "", workerStartedAt: 0, isExplained: false };
    if (exceedsLossLimit([...losses, next], isService)) {
        return Suspicion.LastChance;
    }
    return countUnexplained(losses) > 0 ? Suspicion.Suspect : Suspicion.None;
}

/** Whether two incarnations are the same. */
export function isSameIncarnation(a: WorkerIncarnation, b: WorkerIncarnation): boolean {
    return a.worker === b.worker && a.workerStartedAt === b.workerStartedAt;
}

function countUnexplained(losses: readonly WorkerLoss[]): number {
    return losses.filter(({ isExplained }) => !isExplained).length;
}
