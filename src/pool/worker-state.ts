/** State of a worker at the owner of its domain, and what follows from it. */
import { addResources, type Resources } from "../process/resources.js";
import type { LeaseClock } from "./lease.js";
import type { ListedWorker } from "./ports.js";
import { isTested, type RunRecord } from "./records.js";

/** The owner's state of a worker. */
export interface WorkerState {
    readonly id: string;
    /** Latest roster entry. */
    listed: ListedWorker;
    /** Whether the latest roster contains the worker. */
    isListed: boolean;
    /** Monotonic time at which the last roster that contained it was requested, in milliseconds. */
    listedAt: number;
    /** Monotonic time after which the worker wrote its latest roster entry. */
    reportedAfter: number;
    /** Whether its latest response listed runs that are not accounted for. */
    hasOrphans: boolean;
    /** Unix time in milliseconds at which the latest known incarnation started. */
    startedAtMs: number;
    lease: LeaseClock;
    /**
     * Monotonic time by which the leases have ended that unanswered starts may have set at an incarnation that is not known, in
     * milliseconds; -Infinity once an incarnation has accepted a higher fence than theirs.
     */
    uncertainUntil: number;
    /** Monotonic time at which the last order with a lease was sent, to any incarnation, in milliseconds. */
    leaseSentAt: number;
    /** Monotonic time until which this owner's orders for former incarnations may arrive, in milliseconds; -Infinity if it sent none. */
    formerOrdersUntil: number;
    /** Highest position that an answered hold request has acknowledged to this incarnation. */
    acknowledgedPosition: number;
    /** Fencing token of the orders to this incarnation, above that of all orders to its former ones. */
    fence: number;
    /** Whether stored bounds promise the next owner that this incarnation is granted no lease. */
    isLeaseBlocked: boolean;
    /** Whether this incarnation has accepted this owner's fence and reported its runs. */
    hasAcceptedFence: boolean;
    /** Whether its first query by this owner was answered or has failed. */
    isQueried: boolean;
    /** Monotonic time of the last successful hold response. */
    lastHoldAt: number;
    /** Monotonic time at which the latest report of its runs was requested. */
    reportRequestedAt: number;
    /** Its clock in the latest report, and in the first one under this owner's fence. */
    reportClockMs: number;
    fencedClockMs: number;
    /** Whether the last request was answered. */
    isReachable: boolean;
    /** Monotonic time at which it was found not to be reachable, in milliseconds; -Infinity once that incarnation has answered. */
    unreachableAt: number;
    /** Whether it had runs then that may just have begun. */
    hadNewRuns: boolean;
    /** Whether it was draining, or its VM being drained, when it was last reached, or an order has taken its VM away since. */
    isExpectedToEnd: boolean;
    /** Last applied position in its list of ended runs. */
    appliedPosition: number;
    /** Last position whose end is stored. The worker may discard ends up to it. */
    storedPosition: number;
    /** Runs that may exist on the worker, by task name. */
    readonly runs: Map<string, RunRecord>;
    /** Those of them under whose tasks other workers had been lost when they were claimed. */
    readonly runsAfterLosses: Set<RunRecord>;
    /** Resources reserved by these runs. */
    reserved: Resources;
    /** Whether its VM is being drained: no new run is placed there. */
    isCordoned: boolean;
    /** Whether its VM is due for maintenance in an open wave, so that services would soon have to move. */
    isMaintenanceDue: boolean;
    /** Monotonic time until which no new run is placed there. */
    backoffUntil: number;
    /** Failed runs of different tasks since the last success. */
    consecutiveFailures: number;
    /** Moving average of the ratio of actual to expected run duration. */
    slowdownFactor: number;
}

const slowdownSmoothing = 0.2;
const noRack = "";

/** Records that the present incarnation of a worker has accepted this owner's fence. */
export function markReachable(worker: WorkerState): void {
    if (worker.hasAcceptedFence) {
        worker.unreachableAt = -Infinity;
    }
    worker.hasAcceptedFence = true;
    worker.isReachable = true;
}

/** Records that a worker has not answered by the monotonic time `now`, and whether its end was expected then. */
export function markUnreachable(worker: WorkerState, now: number): void {
    if (worker.isReachable) {
        worker.isReachable = false;
        worker.unreachableAt = now;
        worker.hadNewRuns = [...worker.runs.values()].some(record => !isTested(record, worker.lastHoldAt));
        worker.isExpectedToEnd ||= worker.isCordoned || worker.listed.isDraining;
    }
}

/** Updates a worker's slowdown factor with the actual and expected duration of a run. */
export function updateSlowdown(worker: WorkerState, ms: number, expectedMs: number): void {
    worker.slowdownFactor += (ms / Math.max(1, expectedMs) - worker.slowdownFactor) * slowdownSmoothing;
}

/** Longest time between the moments at which workers were found lost that were lost together: a hold request and its time limit. */
const lostTogetherMs = 2000;

/** Other workers of a worker's rack that were lost at about the same time, but for those that were expected to end. */
export function lostTogetherWith(
    worker: WorkerState,
    workers: Iterable<WorkerState>,
): readonly WorkerState[] {
    const rack = rackLabel(worker);
    return [...workers].filter(other =>
        other !== worker && !other.isExpectedToEnd && rackLabel(other) === rack
        && other.unreachableAt > -Infinity
        && Math.abs(other.unreachableAt - worker.unreachableAt) <= lostTogetherMs
    );
}

/** Rack of a worker: its second label, after the label of its kind. */
export function rackLabel({ listed }: WorkerState): string {
    return listed.labels[1] ?? noRack;
}

/** Age of a worker's report up to which its capacity is relied on. A smaller one may count a heartbeat and 3 s after. */
const maxReportAgeMs = 3500;

/** Whether nothing but the runs on record can use a worker's capacity, and that is as last reported. */
export function isCapacityKnown({ reportedAfter, hasOrphans }: WorkerState, now: number): boolean {
    return !hasOrphans && now - reportedAfter <= maxReportAgeMs;
}

/** Free resources of a worker after all claimed runs. */
export function freeResources({ listed, reserved }: WorkerState): Resources {
    return addResources(listed.capacity, reserved, -1);
}
