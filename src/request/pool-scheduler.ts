/** One pool at one entry: its waiting line, its workers, their standing, and whose turn it is. */
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

/** Options of `PoolLine.create`. */
export interface PoolSchedulerOptions {
    readonly now: () => number;
    readonly random: Random;
    readonly localLoad: LocalLoad;
    readonly remoteLoad: RemoteLoad;
    readonly policy: SlotPolicyKind;
    readonly slotsPerWorker: number;
    readonly zone: string | undefined;
}

const deferredSlotFraction = 0.75;

/** The waiting line and the workers of one pool. */
export class PoolScheduler<W extends Waiter> {
    readonly queue = FairQueue.create<W>();
    readonly virtualClock = VirtualClock.create();
    private readonly outliers: OutlierDetector;
    private readonly fullUntil = new Map<string, number>();
    private workers: readonly Worker[] = [];
    private maxEjected = 0;

    private constructor(private readonly options: PoolSchedulerOptions) {
        this.outliers = OutlierDetector.create({ now: options.now });
    }

    static create<W extends Waiter>(options: PoolSchedulerOptions): PoolScheduler<W> {
        return new PoolScheduler<W>(options);
    }

    /** Replaces the workers. */
    setWorkers({ workers, maxEjected: maxEjected }: Omit<PoolWorkers, "pool">): void {
        this.workers = workers;
        this.maxEjected = maxEjected;
        this.outliers.retain(new Set(workers.map(worker => worker.vm)));
    }

    /** Number waiting of a team, both classes together. */
    waitingOf(team: string): number {
        return this.queue.waitingOf(QueueClass.Interactive, team)
            + this.queue.waitingOf(QueueClass.Deferred, team);
    }

    /** Workers that may get new work. */
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

    /** Slots that are free on the workers homed here, less the requests that wait for them. */
    freeHomeSlots(): number {
        const home = this.openWorkers().filter(worker => worker.isHome);
        return home.length * this.options.slotsPerWorker - this.slotsInUseOn(home) - this.queue.size;
    }

    /** Slots that this entry can count on: its own use, or those of its home workers when that is less. */
    localSlots(): number {
        const home = this.openWorkers().filter(worker => worker.isHome).length * this.options.slotsPerWorker;
        return Math.max(this.slotsInUseOn(this.workers), home, 1);
    }

    /** The worker for a request by the configured policy; undefined when no slot is free for it. */
    pickFor(want: SlotRequest): Worker | undefined {
        const { policy, random } = this.options;
        const usable = this.workers.filter(worker => this.canServe(worker, want));
        const candidates = usable.map(worker => this.toCandidate(worker, want.class));
        const picked = pickWorker({ policy, candidates, random });
        return usable.find(worker => worker.vm === picked?.vm);
    }

    /** Records how a request ended on a worker; true when that caused the worker's ejection. */
    record(vm: string, isGood: boolean): boolean {
        return this.outliers.record(vm, isGood, this.maxEjected);
    }

    /** Keeps requests off a worker that said it was full, until a monotonic time in milliseconds. */
    markFull(vm: string, until: number): void {
        this.fullUntil.set(vm, until);
    }

    private slotsInUseOn(workers: readonly Worker[]): number {
        return workers.reduce((sum, worker) => sum + this.options.localLoad.onWorker(worker.vm), 0);
    }

    private canServe(worker: Worker, want: SlotRequest): boolean {
        const isFull = (this.fullUntil.get(worker.vm) ?? 0) > this.options.now();
        const isExcluded = want.exclude.includes(worker.vm);
        return worker.isOpen && !isFull && !isExcluded
            && this.outliers.stateOf(worker.vm) !== EjectionState.Ejected;
    }

    private toCandidate({ vm, isHome, zone }: Worker, queueClass: QueueClass): Candidate {
        const { slotsPerWorker, localLoad: own, remoteLoad: remote, zone: ownZone } = this.options;
        const isProbing = this.outliers.stateOf(vm) === EjectionState.Probing;
        const load = own.onWorker(vm) + remote.onWorker(vm);
        const isDeferred = queueClass === QueueClass.Deferred;
        const room = isDeferred ? Math.floor(slotsPerWorker * deferredSlotFraction) : slotsPerWorker;
        return { vm, load, capacity: isProbing ? 1 : room, isHome, isSameZone: zone === ownZone };
    }
}
