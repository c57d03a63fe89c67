/** Registry of a domain's workers at its owner: the platform's roster combined with the workers' own responses. */
import type { StepSpec } from "../job/index.js";
import { addResources, noResources } from "../process/resources.js";
import { lastArrivalOf, OrderHistory, type OrderHistoryOptions } from "./crossing-orders.js";
import { LeaseClock } from "./lease.js";
import type { FenceRange } from "./ownership.js";
import type { ListedWorker } from "./ports.js";
import { lossesOf, type RunRecord } from "./records.js";
import { reservedResources, type WorkerShape, WorkerShapes } from "./worker-shapes.js";
import type { WorkerState } from "./worker-state.js";

export { reservedResources, type WorkerShape } from "./worker-shapes.js";
export * from "./worker-state.js";

/** Options of `WorkerRegistry.create`. */
export interface WorkerRegistryOptions {
    /** Monotonic time by which the leases granted by earlier owners have expired. */
    readonly inheritedLeasesUntil: number;
    /** Earlier bounds of workers that did not answer the previous owner, by worker id. */
    readonly boundWorkers?: ReadonlyMap<string, InheritedWorkerBound>;
    /** Monotonic times by which the leases of workers have expired that may last longer than those of others, by worker id. */
    readonly raisedUntil?: ReadonlyMap<string, number>;
    /** Fencing tokens for the orders to the workers; without an upper limit by default. */
    readonly fences?: FenceRange;
    /** What is known of the orders of earlier owners; there are none by default. */
    readonly earlierOrders?: OrderHistoryOptions;
}

/** Bound on the leases of one incarnation of a worker. */
export interface InheritedWorkerBound {
    readonly startedAtMs: number;
    /** Monotonic time by which all its leases have expired. */
    readonly until: number;
}

const unlimitedFences: FenceRange = { first: 1, last: Number.MAX_SAFE_INTEGER };

/** Identifies one run of a worker. */
type Incarnation = Pick<WorkerState, "id" | "startedAtMs">;

/** Workers of a domain and their reserved resources. */
export class WorkerRegistry {
    readonly byId = new Map<string, WorkerState>();
    readonly orders: OrderHistory;
    private readonly shapes = WorkerShapes.create();
    /** Monotonic time of the last reading of the inventory in this tenure, in milliseconds. */
    inventoryReadAt = -Infinity;
    /** Monotonic time at which the last roster was requested. */
    private lastRosterAt = -Infinity;
    private inheritedLeasesUntil: number;
    private readonly boundWorkers: ReadonlyMap<string, InheritedWorkerBound>;
    private readonly raisedUntil: ReadonlyMap<string, number>;
    private readonly lastFence: number;
    /** Fencing token of workers that are added: above those of all that were removed, which may be back under their ids. */
    private firstFence: number;
    /** Incarnations that stored bounds may name, whether the registry has them now or not. */
    private blockedIncarnations: ReadonlySet<string>;

    private constructor(
        {
            inheritedLeasesUntil,
            boundWorkers = new Map(),
            raisedUntil = new Map(),
            fences = unlimitedFences,
            earlierOrders,
        }: WorkerRegistryOptions,
    ) {
        this.orders = OrderHistory.create(earlierOrders);
        this.raisedUntil = raisedUntil;
        this.inheritedLeasesUntil = inheritedLeasesUntil;
        this.firstFence = fences.first;
        this.lastFence = fences.last;
        this.boundWorkers = boundWorkers;
        this.blockedIncarnations = new Set(
            [...boundWorkers].map(([id, { startedAtMs }]) => incarnationKey({ id, startedAtMs })),
        );
    }

    static create(options: WorkerRegistryOptions): WorkerRegistry {
        return new WorkerRegistry(options);
    }

    /**
     * Applies a roster that was requested at the monotonic time `requestedAt`; returns the workers that are new or have a new
     * incarnation.
     */
    update(list: readonly ListedWorker[], requestedAt: number): readonly WorkerState[] {
        this.shapes.record(list);
        const reportedAfter = this.lastRosterAt;
        this.lastRosterAt = requestedAt;
        const changed: WorkerState[] = [];
        const ids = new Set<string>();
        for (const listed of list) {
            ids.add(listed.id);
            const worker = this.byId.get(listed.id);
            if (worker === undefined) {
                changed.push(this.add(listed, { reportedAfter }));
            }
            else {
                if (
                    listed.report !== worker.listed.report || listed.startedAtMs !== worker.listed.startedAtMs
                ) {
                    worker.reportedAfter = reportedAfter;
                }
                worker.isListed = true;
                worker.listedAt = requestedAt;
                worker.listed = listed;
                if (this.updateIncarnation(worker, listed.startedAtMs)) {
                    changed.push(worker);
                }
            }
        }
        for (const worker of this.byId.values()) {
            worker.isListed &&= ids.has(worker.id);
        }
        return changed;
    }

    /** Records shapes of workers, or of VMs that could become workers. */
    recordShapes(shapes: readonly WorkerShape[]): void {
        this.shapes.record(shapes);
    }

    /** Records the shapes of the VMs of all pools, the spare one included, as read at the monotonic time `readAt`. */
    recordInventory(vms: readonly WorkerShape[], readAt: number): void {
        this.shapes.record(vms);
        this.inventoryReadAt = readAt;
    }

    /** Number of different shapes that have been recorded. */
    get shapeCount(): number {
        return this.shapes.count;
    }

    /** Whether any recorded shape could run a task of the step on an empty worker. */
    couldEverRun(step: StepSpec): boolean {
        return this.shapes.couldEverRun(step);
    }

    /**
     * Records a worker's incarnation; resets its state and returns true if it is a later one. `correctIncarnation` is for an earlier
     * one that the list shows, `restartIncarnation` for an unknown one.
     */
    updateIncarnation(worker: WorkerState, startedAtMs: number): boolean {
        if (startedAtMs <= worker.startedAtMs) {
            return false;
        }
        // A row alone does not show that the earlier incarnation has ended, so its leases are waited for, too.
        const inheritedUntil = this.inheritedBoundOf({ id: worker.id, startedAtMs });
        const lease = LeaseClock.create(inheritedUntil, worker.lease.latestEnd());
        this.beginIncarnation(worker, startedAtMs, lease);
        return true;
    }

    /**
     * Replaces a worker's incarnation by the earlier one that has answered a request sent at `sentAt`, if the list of workers read
     * before shows the same; returns whether it did. The wall clock of its VM was set back before it started, or another row named
     * a later start. Leases may last until `leasesUntil`. All times but the incarnation's are monotonic.
     */
    correctIncarnation(
        worker: WorkerState,
        startedAtMs: number,
        { sentAt, leasesUntil }: { readonly sentAt: number; readonly leasesUntil: number },
    ): boolean {
        if (!worker.isListed || worker.listed.startedAtMs !== startedAtMs || sentAt < this.lastRosterAt) {
            return false;
        }
        // The incarnation that was known until now may be the later one, whose row or answer has come too early.
        const latestEnd = Math.max(worker.lease.latestEnd(), leasesUntil);
        this.beginIncarnation(worker, startedAtMs, LeaseClock.create(-Infinity, latestEnd));
        return true;
    }

    /**
     * Treats a worker's incarnation as one that has accepted no fencing token, since another one has answered an order for it.
     * Leases may last until the monotonic time `leasesUntil`.
     */
    restartIncarnation(worker: WorkerState, leasesUntil: number): void {
        const latestEnd = Math.max(worker.lease.latestEnd(), leasesUntil);
        this.beginIncarnation(worker, worker.startedAtMs, LeaseClock.create(-Infinity, latestEnd));
    }

    private beginIncarnation(worker: WorkerState, startedAtMs: number, lease: LeaseClock): void {
        worker.formerOrdersUntil = lastArrivalOf(worker);
        worker.startedAtMs = startedAtMs;
        worker.lease = lease;
        worker.fence = this.nextFence(worker.fence);
        worker.isLeaseBlocked = this.blockedIncarnations.has(incarnationKey(worker));
        worker.hasAcceptedFence = false;
        worker.reportRequestedAt = -Infinity;
        worker.reportClockMs = 0;
        worker.appliedPosition = 0;
        worker.storedPosition = 0;
        worker.acknowledgedPosition = 0;
        worker.consecutiveFailures = 0;
        worker.slowdownFactor = 1;
    }

    /** The worker of a run; adds a placeholder if no roster has contained it. */
    workerOf(record: RunRecord): WorkerState {
        return this.byId.get(record.worker) ?? this.add(placeholderFor(record), { isListed: false });
    }

    /** Adds a run to its worker and reserves its resources. A run of a later incarnation shows that there is one. */
    addRun(record: RunRecord): void {
        const worker = this.workerOf(record);
        this.updateIncarnation(worker, record.workerIncarnation);
        worker.runs.set(record.name, record);
        if (lossesOf(record).length > 0) {
            worker.runsAfterLosses.add(record);
        }
        worker.reserved = addResources(worker.reserved, reservedResources(record));
    }

    /** Removes a run from its worker and releases its resources. */
    removeRun(record: RunRecord): void {
        const worker = this.workerOf(record);
        worker.runsAfterLosses.delete(record);
        if (worker.runs.delete(record.name)) {
            worker.reserved = worker.runs.size === 0
                ? noResources
                : addResources(worker.reserved, reservedResources(record), -1);
        }
    }

    /** Lowers the bound on the leases of earlier owners to the monotonic time `until`. */
    limitInheritedLeases(until: number): void {
        this.inheritedLeasesUntil = Math.min(this.inheritedLeasesUntil, until);
        this.byId.forEach(worker => worker.lease.tightenInheritedBound(until));
    }

    /** Grants the workers no leases from now on. */
    blockLeases(workers: readonly WorkerState[]): void {
        this.blockedIncarnations = new Set([...this.blockedIncarnations, ...workers.map(incarnationKey)]);
        this.applyLeaseBlocks();
    }

    /** Lets all workers but these have leases again. */
    unblockLeasesExcept(workers: readonly WorkerState[]): void {
        this.blockedIncarnations = new Set(workers.map(incarnationKey));
        this.applyLeaseBlocks();
    }

    /** Removes a worker that is no longer listed and has no runs. */
    remove(worker: WorkerState): void {
        this.byId.delete(worker.id);
        this.orders.recordRemoved(worker, this.lastRosterAt);
        this.firstFence = Math.max(this.firstFence, this.nextFence(worker.fence));
    }

    /** The token after one; the last one is used on, by orders that then are bound by their leases alone. */
    private nextFence(fence: number): number {
        return Math.min(fence + 1, this.lastFence);
    }

    private applyLeaseBlocks(): void {
        for (const worker of this.byId.values()) {
            worker.isLeaseBlocked = this.blockedIncarnations.has(incarnationKey(worker));
        }
    }

    /** Monotonic time by which the leases of earlier owners on a worker's incarnation have expired. */
    private inheritedBoundOf({ id, startedAtMs }: Incarnation): number {
        const bound = this.boundWorkers.get(id);
        return bound?.startedAtMs === startedAtMs
            ? Math.min(bound.until, this.inheritedLeasesUntil)
            : this.inheritedLeasesUntil;
    }

    private add(
        listed: ListedWorker,
        { isListed = true, reportedAfter = -Infinity }: { isListed?: boolean; reportedAfter?: number },
    ): WorkerState {
        const worker: WorkerState = {
            id: listed.id,
            listed,
            isListed,
            listedAt: isListed ? this.lastRosterAt : -Infinity,
            reportedAfter,
            hasOrphans: false,
            startedAtMs: listed.startedAtMs,
            uncertainUntil: -Infinity,
            leaseSentAt: -Infinity,
            formerOrdersUntil: this.orders.removedOrdersUntil(listed.id),
            acknowledgedPosition: 0,
            fence: this.firstFence,
            lease: LeaseClock.create(this.inheritedBoundOf(listed), this.raisedUntil.get(listed.id)),
            isLeaseBlocked: this.blockedIncarnations.has(incarnationKey(listed)),
            hasAcceptedFence: false,
            isQueried: false,
            lastHoldAt: -Infinity,
            reportRequestedAt: -Infinity,
            reportClockMs: 0,
            fencedClockMs: 0,
            isReachable: false,
            unreachableAt: this.lastRosterAt,
            hadNewRuns: true,
            isExpectedToEnd: false,
            appliedPosition: 0,
            storedPosition: 0,
            runs: new Map(),
            runsAfterLosses: new Set(),
            reserved: noResources,
            isCordoned: false,
            isMaintenanceDue: false,
            backoffUntil: -Infinity,
            consecutiveFailures: 0,
            slowdownFactor: 1,
        };
        this.byId.set(worker.id, worker);
        return worker;
    }
}

function incarnationKey({ id, startedAtMs }: Incarnation): string {
    return `${id}@${startedAtMs}`;
}

function placeholderFor({ worker, workerIncarnation: born }: RunRecord): ListedWorker {
    return {
        id: worker,
        pool: "",
        address: "",
        zone: "",
        labels: [],
        capacity: noResources,
        isDraining: false,
        remainingMs: 0,
        startedAtMs: born,
        report: 0,
    };
}
