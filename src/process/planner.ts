/** Whether to take a VM out of a pool now, to lend the pool a spare one first, or to wait: a pure decision by weights. */

/** Ways to begin the service of a VM. */
export enum ServicePolicy {
    /** Take it out as soon as the budget allows. */
    InPlace = "in-place",
    /** Lend the pool a VM of the spare pool first. */
    SpareFirst = "spare-first",
    /** Take it out when the pool is in a trough between bursts. */
    Trough = "trough",
    /** Choose by the weights of the settings each time. */
    Weighed = "weighed",
}

/** How much the operator minds each cost; from the settings. */
export interface Weights {
    readonly closeness: number;
    readonly bufferCost: number;
    readonly rollOutTime: number;
    readonly vmMoves: number;
}

/** What is known about a pool when the next VM is due. */
export interface PoolOutlook {
    /** VMs that may work now. */
    readonly available: number;
    readonly budget: number;
    /** Slots in use now, as a part of the slots of the available VMs. */
    readonly useNow: number;
    /** Highest such part within the last bursts. */
    readonly usePeak: number;
    /** VMs that the spare pool could lend. */
    readonly lendable: number;
    /** VMs that were lent to the pool and are still there. */
    readonly borrowed: number;
    /** Time for which the next VM has been due, in milliseconds. */
    readonly waitedMs: number;
}

/** What to do next in a pool with a VM that is due. */
export enum ServiceMove {
    TakeOut = "take-out",
    Lend = "lend",
    Wait = "wait",
}

const troughUse = 0.5;
const longestWaitMs = 30 * 60_000;
const waitStepMs = 10_000;
const crowdedUse = 0.95;
const moveCost = 0.25;
const lendCost = 0.2;
const waitCost = 0.15;
const lossCost = 1;

/** The next move. Never takes a VM out of a pool that is at its budget. */
export function decideMove(policy: ServicePolicy, outlook: PoolOutlook, weights: Weights): ServiceMove {
    const hasRoom = outlook.available > outlook.budget;
    const canLend = outlook.lendable > 0 && outlook.borrowed === 0;
    if (!hasRoom) {
        return canLend ? ServiceMove.Lend : ServiceMove.Wait;
    }
    switch (policy) {
        case ServicePolicy.InPlace:
            return ServiceMove.TakeOut;
        case ServicePolicy.SpareFirst:
            return canLend ? ServiceMove.Lend : ServiceMove.TakeOut;
        case ServicePolicy.Trough:
            return isTrough(outlook) ? ServiceMove.TakeOut : ServiceMove.Wait;
        case ServicePolicy.Weighed:
            return cheapest(outlook, weights, canLend);
    }
}

function isTrough({ useNow, waitedMs }: PoolOutlook): boolean {
    return useNow < troughUse || waitedMs > longestWaitMs;
}

/** Compares what callers lose while a VM is out with the cost of lending one and of waiting for a trough. */
function cheapest(outlook: PoolOutlook, weights: Weights, canLend: boolean): ServiceMove {
    const { available, useNow, usePeak, borrowed, waitedMs } = outlook;
    const withoutOne = Math.max(1, available - 1) / available;
    const lossNow = crowding(useNow / withoutOne);
    const lossAtPeak = borrowed > 0 ? 0 : crowding(usePeak / withoutOne);
    const takeOut = weights.closeness * lossCost * (lossNow + lossAtPeak);
    const lend = weights.vmMoves * moveCost + weights.bufferCost * lendCost;
    const wait = weights.rollOutTime * waitCost * (1 + waitedMs / waitStepMs)
        + weights.closeness * lossCost * lossAtPeak;
    if (canLend && lend < takeOut && lend <= wait) {
        return ServiceMove.Lend;
    }
    return wait < takeOut && !isTrough(outlook) ? ServiceMove.Wait : ServiceMove.TakeOut;
}

/** How far a pool's use is above what it can hold with some ease. */
function crowding(use: number): number {
    return Math.max(0, use - crowdedUse);
}
