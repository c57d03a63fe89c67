/**
 * Attributes the loss of a worker to the runs that were on it.
 *
 * Load pattern: racks, zones and links fail with all of their workers while starts are on their way to them, and a task may
 * end each worker that starts it. Only a run that has begun can have ended its worker, and of several workers that were lost
 * together no run is the likeliest cause.
 */

/** What the loss of a worker tells of the task of a run. */
export enum LossAttribution {
    /** Nothing: the worker lives, or others were lost with it before the run is known to have begun. */
    None = "none",
    /** The task may be the cause; there are others that are as likely. */
    Possible = "possible",
    /** The task is the likeliest cause. */
    Likely = "likely",
}

/** Another worker of the same rack that was lost at about the same time. */
export interface LostNeighbour {
    /** Whether it had runs that may just have begun, any of which may have ended it. */
    readonly hadNewRuns: boolean;
}

/** Evidence on a run whose worker is lost. */
export interface LossEvidence {
    /** Whether it had begun: its start was answered, the worker has listed it, or an earlier owner has claimed it. */
    readonly hasBegun: boolean;
    /** Whether the worker was expected to end, or another run is the likelier cause. */
    readonly hasLikelierCause: boolean;
    readonly isWorkerAlive: boolean;
    readonly neighbours: readonly LostNeighbour[];
}

/** Attributes the loss of a worker to a run on it. */
export function attributeLoss({
    hasBegun,
    hasLikelierCause,
    isWorkerAlive,
    neighbours,
}: LossEvidence): LossAttribution {
    if (isWorkerAlive) {
        return LossAttribution.None;
    }
    const isShared = hasCommonCause(neighbours);
    if (!hasBegun) {
        return isShared ? LossAttribution.None : LossAttribution.Possible;
    }
    return hasLikelierCause || isShared ? LossAttribution.Possible : LossAttribution.Likely;
}

/** Whether workers were lost together for a cause that they share: tasks end two at a time by chance, more hardly ever. */
function hasCommonCause(neighbours: readonly LostNeighbour[]): boolean {
    return neighbours.length > 1 || neighbours.some(({ hadNewRuns }) => !hadNewRuns);
}
