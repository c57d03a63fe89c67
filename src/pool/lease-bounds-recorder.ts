/**
 * Keeps the stored lease bounds of a tenure current: the earlier owners that may still renew leases, and the workers that
 * do not answer.
 *
 * A worker with runs goes through these states: it answers and its leases are renewed; it does not answer, and for
 * `recordAfterMs` nothing is stored; it is named in the row, and blocked from the moment the row is built; it answers again,
 * still blocked; a row without it is stored, and its leases are renewed again.
 */
import type { RowPut } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import {
    type EarlierOwner,
    type LeaseBounds,
    leaseBoundsRow,
    longestRemainingMs,
    type RaisedLeaseBound,
    type WorkerLeaseBound,
} from "./lease-bounds.js";
import { type LeaseDurations, maxLeaseDurationMs } from "./lease.js";
import { StartStatus } from "./records.js";
import { recordStartUncertain } from "./run-leases.js";
import type { WorkerRegistry, WorkerState } from "./worker-registry.js";

/** Options of `LeaseBoundsRecorder.create`. */
export interface LeaseBoundsRecorderOptions {
    readonly domain: string;
    readonly fence: number;
    /** Bounds stored with the takeover. */
    readonly inherited: LeaseBounds;
    readonly workers: WorkerRegistry;
    readonly timer: Timer;
    readonly times: LeaseDurations;
}

/** Period of storing bounds while there are any; each row lowers the wait of a next owner by this time. */
const recordPeriodMs = 500;
/** Time without an answer from which a worker is named, so that a single failed call does not cost it a lease. */
const recordAfterMs = 500;

interface ActiveOwner extends EarlierOwner {
    /** Monotonic time by which all its leases have expired. */
    readonly until: number;
}

/** Records the lease bounds of one tenure. Rows are stored one at a time: `takeRow`, the write, `confirmStored`. */
export class LeaseBoundsRecorder {
    private owners: readonly ActiveOwner[];
    private readonly inheritedWorkers: readonly (WorkerLeaseBound & { readonly until: number })[];
    private readonly startedAt: number;
    private recordedAt: number;
    /** Whether the row last taken names any owner or worker; if so, one without them must follow. */
    private hasNamedAny: boolean;
    /** Monotonic time up to which the row last taken raises the bound of a worker, in milliseconds, by its id. */
    private raisedUntil: ReadonlyMap<string, number> = new Map();
    private readonly unreachableSince = new Map<WorkerState, number>();
    private namedWorkers: readonly WorkerState[] = [];

    private constructor(private readonly options: LeaseBoundsRecorderOptions) {
        const { inherited, timer } = options;
        const now = timer.now();
        this.owners = inherited.owners.map(owner => ({ ...owner, until: now + owner.remainingMs }));
        this.inheritedWorkers = inherited.workers.map(worker => ({
            ...worker,
            until: now + worker.remainingMs,
        }));
        this.startedAt = now;
        this.recordedAt = now;
        // A row of an entry that records no raised bounds has to be replaced, too.
        this.hasNamedAny = inherited.owners.length > 0 || inherited.workers.length > 0
            || inherited.raised === undefined;
    }

    static create(options: LeaseBoundsRecorderOptions): LeaseBoundsRecorder {
        return new LeaseBoundsRecorder(options);
    }

    /** Earlier owners that may still renew leases. */
    get earlierOwners(): readonly EarlierOwner[] {
        return this.activeOwners(this.options.timer.now());
    }

    /** Removes an earlier owner that grants no more leases, and lowers the workers' bounds; false if it was not known. */
    removeOwner(fence: number): boolean {
        const owners = this.owners.filter(owner => owner.fence !== fence);
        if (owners.length === this.owners.length) {
            return false;
        }
        this.owners = owners;
        const { workers, timer, times, inherited: { raised } } = this.options;
        workers.limitInheritedLeases(
            timer.now() + longestRemainingMs({ owners: this.activeOwners(timer.now()), raised }, times),
        );
        return true;
    }

    /** Builds the row to store with the next batch, and blocks the workers it names; undefined if none is due. */
    takeRow(): RowPut | undefined {
        const now = this.options.timer.now();
        this.updateUnreachable(now);
        const bounded = [...this.unreachableSince]
            .filter(([worker, since]) => worker.isLeaseBlocked || now - since >= recordAfterMs)
            .map(([worker]) => worker);
        const owners = this.activeOwners(now);
        const raised = this.raisedBounds(now);
        const hasBounds = bounded.length > 0 || owners.length > 0 || raised.length > 0;
        // The claims of this batch must not be stored without the longer bounds that they are under.
        const isRaisedFurther = raised.some(({ worker, remainingMs }) =>
            now + remainingMs > (this.raisedUntil.get(worker) ?? -Infinity)
        );
        const isPeriodOver = now - this.recordedAt >= recordPeriodMs;
        const isPeriodic = isPeriodOver && (hasBounds || this.hasNamedAny);
        if (!this.hasBlockedWorkerAnswered() && !isRaisedFurther && !isPeriodic) {
            return undefined;
        }
        this.raisedUntil = new Map(raised.map(({ worker, remainingMs }) => [worker, now + remainingMs]));
        this.recordedAt = now;
        this.hasNamedAny = hasBounds;
        this.options.workers.blockLeases(bounded);
        this.namedWorkers = bounded;
        return this.rowOf(owners, { workers: bounded.map(worker => boundOf(worker, now)), raised }, now);
    }

    /** Called once the row last taken is stored: workers that it does not name may be granted leases again. */
    confirmStored(): void {
        this.options.workers.unblockLeasesExcept(this.namedWorkers);
    }

    /** The row to store when the tenure has ended. Before `areRunsLoaded` it keeps the inherited bounds of workers. */
    lastRow(areRunsLoaded: boolean): RowPut {
        const now = this.options.timer.now();
        this.recordStartsInFlight();
        this.updateUnreachable(now);
        const owners = this.activeOwners(now);
        const workers = areRunsLoaded
            ? [...this.unreachableSince.keys()].map(worker => boundOf(worker, now))
            : this.inheritedWorkers.map(({ until, ...bound }) => ({
                ...bound,
                remainingMs: Math.max(0, until - now),
            }));
        const raised = areRunsLoaded
            ? this.raisedBounds(now)
            : this.options.inherited.raised?.map(({ worker, remainingMs }) => ({
                worker,
                remainingMs: Math.max(0, this.startedAt + remainingMs - now),
            }));
        return this.rowOf(owners, { workers, raised }, now);
    }

    /** Records the starts whose answers come too late for this tenure as uncertain. */
    private recordStartsInFlight(): void {
        const { workers, times } = this.options;
        for (const worker of workers.byId.values()) {
            [...worker.runs.values()].filter(({ start }) => start === StartStatus.Sent)
                .forEach(record => recordStartUncertain(record, worker, times));
        }
    }

    /**
     * Workers with runs whose leases may last longer than a usual one. The bound of an earlier owner does not stand in for theirs: the
     * next owner may learn that it has ended.
     */
    private raisedBounds(now: number): readonly RaisedLeaseBound[] {
        const { workers, times } = this.options;
        const usualMs = maxLeaseDurationMs(times.leaseMs);
        return [...workers.byId.values()]
            .filter(worker => worker.runs.size > 0)
            .map(worker => ({
                worker: worker.id,
                remainingMs: Math.max(
                    worker.lease.raisedUntil,
                    worker.uncertainUntil,
                    this.unknownBoundOf(worker),
                ) - now,
            }))
            .filter(({ remainingMs }) => remainingMs > usualMs);
    }

    /** Bound on the leases of a worker that has not answered, if it is not known which bounds earlier owners had raised. */
    private unknownBoundOf({ hasAcceptedFence }: WorkerState): number {
        const { inherited, times } = this.options;
        return inherited.raised === undefined && !hasAcceptedFence
            ? this.startedAt + maxLeaseDurationMs(times.longestLeaseMs)
            : -Infinity;
    }

    private updateUnreachable(now: number): void {
        for (const worker of this.options.workers.byId.values()) {
            if (worker.isReachable || worker.runs.size === 0) {
                this.unreachableSince.delete(worker);
            }
            else if (!this.unreachableSince.has(worker)) {
                this.unreachableSince.set(worker, now);
            }
        }
        for (const worker of this.unreachableSince.keys()) {
            if (this.options.workers.byId.get(worker.id) !== worker) {
                this.unreachableSince.delete(worker);
            }
        }
    }

    private hasBlockedWorkerAnswered(): boolean {
        return [...this.options.workers.byId.values()].some(worker =>
            worker.isLeaseBlocked && worker.isReachable
        );
    }

    private activeOwners(now: number): readonly ActiveOwner[] {
        return this.owners.filter(({ until }) => until > now);
    }

    private rowOf(
        owners: readonly ActiveOwner[],
        bounds: Pick<LeaseBounds, "workers" | "raised">,
        now: number,
    ): RowPut {
        return leaseBoundsRow(this.options.domain, {
            ...bounds,
            fence: this.options.fence,
            owners: owners.map(owner => ({ ...owner, remainingMs: owner.until - now })),
        });
    }
}

function boundOf({ id, startedAtMs, lease, uncertainUntil }: WorkerState, now: number): WorkerLeaseBound {
    const until = Math.max(lease.latestEnd(), uncertainUntil);
    return { worker: id, startedAtMs, remainingMs: Math.max(0, until - now) };
}
