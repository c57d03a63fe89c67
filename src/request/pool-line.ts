/** One pool at one entry: its waiting line, its workers, their standing, and whose turn it is. */
import type { Random } from "../process/random.js";
import type { SlotPolicyKind } from "../process/slots.js";
import { QueueClass } from "../version/schema.js";
import { FairLine, type Waiter } from "./fair.js";
import type { RemoteLoad } from "./load.js";
import { Outliers, Standing } from "./outlier.js";
import type { OwnLoad } from "./own-load.js";
import { type Candidate, pickWorker } from "./route.js";
import { ShareClock } from "./share-clock.js";
import type { PoolWorkers, Want, Worker } from "./slot.js";

/** Options of `PoolLine.create`. */
export interface PoolLineOptions {
    readonly now: () => number;
    readonly random: Random;
    readonly own: OwnLoad;
    readonly remote: RemoteLoad;
    readonly policy: SlotPolicyKind;
    readonly slotsPerWorker: number;
    readonly zone: string | undefined;
}

const deferredPart = 0.75;

/** The waiting line and the workers of one pool. */
export class PoolLine<W extends Waiter> {
    readonly line = FairLine.create<W>();
    readonly clock = ShareClock.create();
    private readonly outliers: Outliers;
    private readonly fullUntil = new Map<string, number>();
    private workers: readonly Worker[] = [];
    private mayEject = 0;

    private constructor(private readonly options: PoolLineOptions) {
        this.outliers = Outliers.create({ now: options.now });
    }

    static create<W extends Waiter>(options: PoolLineOptions): PoolLine<W> {
        return new PoolLine<W>(options);
    }

    /** Replaces the workers. */
    setWorkers({ workers, mayEject }: Omit<PoolWorkers, "pool">): void {
        this.workers = workers;
        this.mayEject = mayEject;
        this.outliers.retain(new Set(workers.map(worker => worker.vm)));
    }

    /** Number waiting of a team, both classes together. */
    waitingOf(team: string): number {
        return this.line.waitingOf(QueueClass.Interactive, team)
            + this.line.waitingOf(QueueClass.Deferred, team);
    }

    /** Workers that may get new work. */
    open(): readonly Worker[] {
        return this.workers.filter(worker => worker.isOpen);
    }

    /** Workers that are homed at other entries. */
    away(): readonly Worker[] {
        return this.workers.filter(worker => !worker.isHome);
    }

    /** The worker with this VM id. */
    workerOf(vm: string): Worker | undefined {
        return this.workers.find(worker => worker.vm === vm);
    }

    /** Slots that are free on the workers homed here, less the requests that wait for them. */
    freeHomeSlots(): number {
        const home = this.open().filter(worker => worker.isHome);
        return home.length * this.options.slotsPerWorker - this.usedOn(home) - this.line.size;
    }

    /** Slots that this entry can count on: its own use, or those of its home workers when that is less. */
    slotsHere(): number {
        const home = this.open().filter(worker => worker.isHome).length * this.options.slotsPerWorker;
        return Math.max(this.usedOn(this.workers), home, 1);
    }

    /** The worker for a request by the configured policy; undefined when no slot is free for it. */
    pick(want: Want): Worker | undefined {
        const { policy, random } = this.options;
        const usable = this.workers.filter(worker => this.isUsable(worker, want));
        const candidates = usable.map(worker => this.candidate(worker, want.class));
        const picked = pickWorker({ policy, candidates, random });
        return usable.find(worker => worker.vm === picked?.vm);
    }

    /** Records how a request ended on a worker; true when that caused the worker's ejection. */
    record(vm: string, isGood: boolean): boolean {
        return this.outliers.record(vm, isGood, this.mayEject);
    }

    /** Keeps requests off a worker that said it was full, until a monotonic time in milliseconds. */
    noteFull(vm: string, until: number): void {
        this.fullUntil.set(vm, until);
    }

    private usedOn(workers: readonly Worker[]): number {
        return workers.reduce((sum, worker) => sum + this.options.own.onWorker(worker.vm), 0);
    }

    private isUsable(worker: Worker, want: Want): boolean {
        const isFull = (this.fullUntil.get(worker.vm) ?? 0) > this.options.now();
        const isExcluded = want.exclude.includes(worker.vm);
        return worker.isOpen && !isFull && !isExcluded
            && this.outliers.standing(worker.vm) !== Standing.Ejected;
    }

    private candidate({ vm, isHome, zone }: Worker, queueClass: QueueClass): Candidate {
        const { slotsPerWorker, own, remote, zone: ownZone } = this.options;
        const isProbing = this.outliers.standing(vm) === Standing.Probing;
        const load = own.onWorker(vm) + remote.onWorker(vm);
        const isDeferred = queueClass === QueueClass.Deferred;
        const room = isDeferred ? Math.floor(slotsPerWorker * deferredPart) : slotsPerWorker;
        return { vm, load, capacity: isProbing ? 1 : room, isHome, isNear: zone === ownZone };
    }
}
