/**
 * Scheduling state of one pool on one entry: its wait queue, its workers, their outlier detection, and the virtual
 * clock.
 */
import type { Random } from "../process/random.js";
import type { SlotPolicyKind } from "../process/slots.js";
import { QueueClass } from "../version/schema.js";
import { FairQueue, type Waiter } from "./fair-queue.js";
import type { RemoteLoad } from "./load.js";
import type { LocalLoad } from "./local-load.js";
import { EjectionState, OutlierDetector } from "./outlier-detector.js";
import { type Candidate, pickWorker } from "./pick-worker.js";
import type { PoolWorkers, SlotRequest, Worker } from "./slot.js";
import { VirtualClock } from "./virtual-clock.js";

/** Options of `PoolScheduler.create`. */
export interface PoolSchedulerOptions {
    /** Monotonic clock in milliseconds. */
    readonly now: () => number;
    readonly random: Random;
    readonly localLoad: LocalLoad;
    readonly remoteLoad: RemoteLoad;
    readonly policy: SlotPolicyKind;
    readonly slotsPerWorker: number;
    readonly zone: string | undefined;
}

/** Part of a worker's slots that deferred work may fill; the rest stays free for interactive work. */
const deferredSlotFraction = 0.75;

/** Wait queue and workers of one pool. */
export class PoolScheduler<W extends Waiter> {
    readonly waitQueue = FairQueue.create<W>();
    readonly virtualClock = VirtualClock.create();
    private readonly outlierDetector: OutlierDetector;
    private readonly fullUntil = new Map<string, number>();
    private workers: readonly Worker[] = [];
    private maxEjected = 0;

    private constructor(private readonly options: PoolSchedulerOptions) {
        this.outlierDetector = OutlierDetector.create({ now: options.now });
    }

    static create<W extends Waiter>(options: PoolSchedulerOptions): PoolScheduler<W> {
        return new PoolScheduler<W>(options);
    }

    setWorkers({ workers, maxEjected }: Omit<PoolWorkers, "pool">): void {
        this.workers = workers;
        this.maxEjected = maxEjected;
        this.outlierDetector.retain(new Set(workers.map(worker => worker.vm)));
    }

    /** Number of waiters of a team in both classes. */
    waitingOf(team: string): number {
        return this.waitQueue.waitingOf(QueueClass.Interactive, team)
            + this.waitQueue.waitingOf(QueueClass.Deferred, team);
    }

    /** Workers that accept new work. */
    openWorkers(): readonly Worker[] {
        return this.workers.filter(worker => worker.isOpen);
    }

    /** Workers that are homed at other entries. */
    workersHomedElsewhere(): readonly Worker[] {
        return this.workers.filter(worker => !worker.isHome);
    }

    /** The worker with this VM id. */
    workerOf(vm: string): Worker | undefined {
        return this.workers.find(worker => worker.vm === vm);
    }

    /** Free slots on the workers homed at this entry, less the requests that wait for them; negative when more wait. */
    freeHomeSlots(): number {
        const home = this.openWorkers().filter(worker => worker.isHome);
        return home.length * this.options.slotsPerWorker - this.slotsInUseOn(home) - this.waitQueue.size;
    }

    /**
     * Slots that this entry can expect to use: those in use or those of its home workers, whichever is more; at least
     * 1.
     */
    localSlots(): number {
        const home = this.openWorkers().filter(worker => worker.isHome).length * this.options.slotsPerWorker;
        return Math.max(this.slotsInUseOn(this.workers), home, 1);
    }

    /** Selects the worker for a request by the configured policy; undefined when no slot is free for it. */
    pickFor(request: SlotRequest): Worker | undefined {
        const { policy, random } = this.options;
        const usable = this.workers.filter(worker => this.canServe(worker, request));
        const candidates = usable.map(worker => this.toCandidate(worker, request.class));
        const picked = pickWorker({ policy, candidates, random });
        return usable.find(worker => worker.vm === picked?.vm);
    }

    /** Records the result of a request on a worker; true when it caused the ejection of the worker. */
    record(vm: string, isSuccess: boolean): boolean {
        return this.outlierDetector.record(vm, isSuccess, this.maxEjected);
    }

    /** Sends no requests to a worker that reported itself full until `until`, a monotonic time in milliseconds. */
    markFull(vm: string, until: number): void {
        this.fullUntil.set(vm, until);
    }

    private slotsInUseOn(workers: readonly Worker[]): number {
        return workers.reduce((sum, worker) => sum + this.options.localLoad.onWorker(worker.vm), 0);
    }

    private canServe(worker: Worker, request: SlotRequest): boolean {
        const isFull = (this.fullUntil.get(worker.vm) ?? 0) > this.options.now();
        const isExcluded = request.exclude.includes(worker.vm);
        return worker.isOpen && !isFull && !isExcluded
            && this.outlierDetector.stateOf(worker.vm) !== EjectionState.Ejected;
    }

    private toCandidate({ vm, isHome, zone }: Worker, queueClass: QueueClass): Candidate {
        const { slotsPerWorker, localLoad, remoteLoad, zone: ownZone } = this.options;
        const isProbing = this.outlierDetector.stateOf(vm) === EjectionState.Probing;
        const load = localLoad.onWorker(vm) + remoteLoad.onWorker(vm);
        const isDeferred = queueClass === QueueClass.Deferred;
        const room = isDeferred ? Math.floor(slotsPerWorker * deferredSlotFraction) : slotsPerWorker;
        return { vm, load, capacity: isProbing ? 1 : room, isHome, isSameZone: zone === ownZone };
    }
}
