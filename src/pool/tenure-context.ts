/** State shared by the parts of a tenure: its options, its registries, and its permission to send orders. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { RowStore } from "../process/rows.js";
import type { SchedulingSettings } from "../process/site-settings.js";
import { sleep, type Timer } from "../process/timer.js";
import type { Directory, Queue } from "../version/directory.js";
import type { AdviceCache } from "./advice-cache.js";
import type { AttemptLimits } from "./attempt-limits.js";
import type { DurationEstimator } from "./duration-estimator.js";
import type { JobRegistry } from "./job-registry.js";
import type { KnownLists } from "./known-lists.js";
import type { LeaseBounds } from "./lease-bounds.js";
import type { LedgerHead } from "./ledger.js";
import type { Adviser, EvacuatedZones, Roster, WorkerClient, WorkerTarget } from "./ports.js";
import type { JobEntry, RunRecord } from "./records.js";
import type { FairShares } from "./scheduling/fair-shares.js";
import type { Reservations } from "./scheduling/reservations.js";
import type { OwnerSuspicion, TakeoverPhases } from "./takeover-phases.js";
import type { TenureClock } from "./tenure-clock.js";
import type { WorkerLiveness } from "./worker-liveness.js";
import type { WorkerOutliers } from "./worker-outliers.js";
import type { WorkerRegistry, WorkerState } from "./worker-registry.js";

/** Durations that govern a tenure, in milliseconds. */
export interface TenureTimes {
    /** Duration of the leases on workers. */
    readonly leaseMs: number;
    /** Longest duration of a lease that workers accept. */
    readonly longestLeaseMs: number;
    /** Longest time for which a worker keeps a hold request open while no run ends. */
    readonly holdWaitMs: number;
    /** Time after the last confirmation of ownership during which orders may be sent. */
    readonly trustMs: number;
    /** Longest time that a run takes to end after its worker has received the order to stop it. */
    readonly longestStopMs: number;
    /** Period of fetching the list of workers. */
    readonly rosterMs: number;
    /** Retention period of final jobs. */
    readonly keepFinalMs: number;
}

/** Options of `Tenure.create`. */
export interface TenureOptions {
    readonly head: LedgerHead;
    /** Bounds on leases of earlier owners, as stored with the takeover. */
    readonly leaseBounds: LeaseBounds;
    /** Whether earlier owners may have sent orders; true by default. */
    readonly hasPredecessor?: boolean;
    /** The suspicion that led to the takeover. */
    readonly suspicion?: OwnerSuspicion;
    /** `failedAt`: monotonic time at which it last failed, in milliseconds; it has not failed if that is absent. */
    readonly store: RowStore & { readonly failedAt?: number };
    readonly roster: Roster;
    readonly calls: WorkerClient;
    readonly adviser: Adviser;
    readonly directory: () => Directory | undefined;
    readonly zones: EvacuatedZones;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly times: TenureTimes;
    readonly scheduling: SchedulingSettings;
    /** Number of parts of the store that hold the accepted jobs. */
    readonly jobParts: number;
    /** Called once if the tenure ends because another entry has taken the domain over. */
    readonly onSuperseded: () => void;
}

/** View of a tenure for its parts. A tenure is the period for which one entry owns a domain. */
export interface TenureContext {
    readonly options: TenureOptions;
    readonly jobs: JobRegistry;
    readonly workers: WorkerRegistry;
    readonly liveness: WorkerLiveness;
    /** Clock for the age of jobs. */
    readonly clock: TenureClock;
    readonly durations: DurationEstimator;
    readonly advice: AdviceCache;
    /** Duration of the phases of the takeover that began the tenure. */
    readonly phases: TakeoverPhases;
    /** Shares of the accounts; undefined if they are off. */
    readonly fairShares: FairShares | undefined;
    /** Outlier detection; undefined while `outlierDetection` is off. */
    readonly outliers: WorkerOutliers | undefined;
    /** How often the tasks of each queue may fail. */
    readonly attemptLimits: AttemptLimits;
    /** The lists, with what earlier versions said of entries that are left out now. */
    readonly knownLists: KnownLists;
    /** Workers kept for large jobs; undefined if there are no reservations. */
    readonly reservations: Reservations | undefined;
    readonly fence: number;
    /** Time since the takeover, in milliseconds. */
    readonly ageMs: number;
    /** Runs on workers that do not answer. They count as lost once the workers' leases have ended. */
    readonly runsAwaitingLeaseEnd: readonly RunRecord[];
    /** False once the tenure has ended, after which no orders may be sent. */
    readonly isActive: boolean;
    /** Whether the stored jobs have been loaded. */
    readonly isReady: boolean;
    /** Whether orders may be sent now. */
    mayOrder(): boolean;
    /** Checks with the store whether this entry is still the owner. */
    confirm(): Promise<boolean>;
    /** Requests a round, which places tasks and stores progress. */
    requestRound(): void;
}

/** Delay before a failed operation is retried, in milliseconds. */
export const retryDelayMs = 150;
/** Pause in placing work on a worker suspected of failing all runs or making no progress, in milliseconds. */
export const suspectWorkerPauseMs = 2500;

/** Target for orders to a worker. */
export function targetOf(worker: WorkerState): WorkerTarget {
    return { worker: worker.id, address: worker.listed.address };
}

/** The queue of a job; undefined if it was removed from the lists. */
export function queueOf({ options }: TenureContext, entry: JobEntry): Queue | undefined {
    return options.directory()?.queues.find(({ name }) => name === entry.job.queue);
}

/**
 * Repeats a read that the first start has to wait for, until it is answered or the tenure ends: the zones, since this
 * entry's feed of them may be late, and what the previous owner has learned.
 */
export async function readUntilAnswered(
    ctx: Pick<TenureContext, "isActive" | "options">,
    source: string,
    read: () => Promise<void>,
): Promise<void> {
    const { log, timer } = ctx.options;
    while (ctx.isActive) {
        try {
            return await read();
        }
        catch (err) {
            log.write(Severity.Warn, EventId.StoreUnavailable, { source, err: messageOf(err) });
            await sleep(timer, retryDelayMs);
        }
    }
}
