/**
 * Whether an incarnation of a worker has ended, as far as the list of workers and the worker's own answers tell. Silence
 * alone does not tell: the worker may be cut off, or the store may not have taken its reports.
 */
import type { WorkerIncarnation } from "../job/index.js";
import type { Timer } from "../process/timer.js";
import type { WorkerRegistry } from "./worker-registry.js";

/** What is known of an incarnation of a worker. */
export enum Liveness {
    /** It has answered, or reported to the list, since its calls were found to be unanswered. */
    Alive = "alive",
    /** A later incarnation has taken its place, or the list has dropped it. */
    Ended = "ended",
    Unknown = "unknown",
}

/** Options of `WorkerLiveness.create`. */
export interface WorkerLivenessOptions {
    readonly workers: WorkerRegistry;
    readonly store: { readonly failedAt?: number };
    readonly timer: Timer;
}

/** Time within which entries are back in the list that expired while the store was unavailable. */
const listRecoveryMs = 2500;

/** Judges the incarnations of a domain's workers during one tenure. */
export class WorkerLiveness {
    private rosterReadAt = -Infinity;

    private constructor(private readonly options: WorkerLivenessOptions) {}

    static create(options: WorkerLivenessOptions): WorkerLiveness {
        return new WorkerLiveness(options);
    }

    /** Records a reading of the list that was requested at the monotonic time `requestedAt`. */
    recordRoster(requestedAt: number): void {
        this.rosterReadAt = requestedAt;
    }

    /** Whether a worker that is missing from the list, as last read, does not exist. */
    get isListComplete(): boolean {
        const { failedAt = -Infinity } = this.options.store;
        return this.rosterReadAt > -Infinity && this.rosterReadAt >= failedAt + listRecoveryMs;
    }

    /** Time since the last reading of the list, in milliseconds; infinite before the first. */
    get listAgeMs(): number {
        return this.options.timer.now() - this.rosterReadAt;
    }

    /** What is known now of an incarnation. */
    of({ worker: id, workerStartedAt }: WorkerIncarnation): Liveness {
        const worker = this.options.workers.byId.get(id);
        if (worker !== undefined && worker.startedAtMs > workerStartedAt) {
            return Liveness.Ended;
        }
        if (worker?.isListed !== true) {
            return this.isListComplete ? Liveness.Ended : Liveness.Unknown;
        }
        return worker.isReachable || worker.reportedAfter > worker.unreachableAt
            ? Liveness.Alive
            : Liveness.Unknown;
    }
}
