/** What the parts of a tenure share: its options, its books, and the right to give orders. */
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { RowStore } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { Directory, Queue } from "../version/directory.js";
import type { AdviceCache } from "./advice-cache.js";
import type { DurationEstimator } from "./duration-estimator.js";
import type { JobBook, JobEntry } from "./job-book.js";
import type { LedgerHead } from "./ledger.js";
import type { Adviser, Roster, WorkerClient, WorkerTarget } from "./ports.js";
import type { WorkerRegistry, WorkerState } from "./worker-registry.js";

/** Durations that govern a tenure, in milliseconds. */
export interface TenureTimes {
    /** Length of the leases on workers. */
    readonly leaseMs: number;
    /** Longest wait of a hold for an end. */
    readonly holdWaitMs: number;
    /** Time without confirmed ownership after which nothing is ordered any more. */
    readonly trustMs: number;
    /** Period of reading the list of workers. */
    readonly rosterMs: number;
    /** How long final jobs stay known. */
    readonly keepFinalMs: number;
}

/** Options of `Tenure.create`. */
export interface TenureOptions {
    readonly head: LedgerHead;
    /** Whether the earlier owner is certain to have ended or to have given the domain up. */
    readonly isPreviousGone: boolean;
    readonly store: RowStore;
    readonly roster: Roster;
    readonly calls: WorkerClient;
    readonly adviser: Adviser;
    readonly directory: () => Directory | undefined;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly times: TenureTimes;
    /** Called once when the tenure has ended without being asked to. */
    readonly onSuperseded: () => void;
}

/** A tenure as its parts see it. */
export interface TenureContext {
    readonly options: TenureOptions;
    readonly jobs: JobBook;
    readonly workers: WorkerRegistry;
    readonly durations: DurationEstimator;
    readonly advice: AdviceCache;
    readonly fence: number;
    /** False once nothing may be ordered any more. */
    readonly isActive: boolean;
    /** Whether stored jobs have been read. */
    readonly isReady: boolean;
    /** Whether orders may be given now. */
    mayOrder(): boolean;
    /** Asks the store whether this entry is still the owner. */
    confirm(): Promise<boolean>;
    /** Asks for a round of placing and storing. */
    pump(): void;
}

/** Pause before something that failed is tried again, in milliseconds. */
export const retryMs = 150;
/** Pause in placing work on a worker that is suspected of failing everything or of making no progress. */
export const suspectAvoidMs = 2500;

/** Where orders for a worker go. */
export function targetOf(worker: WorkerState): WorkerTarget {
    return { worker: worker.id, address: worker.listed.address };
}

/** The queue of a job; undefined once it was removed from the lists. */
export function queueOf({ options }: TenureContext, entry: JobEntry): Queue | undefined {
    return options.directory()?.queues.find(({ name }) => name === entry.job.queue);
}
