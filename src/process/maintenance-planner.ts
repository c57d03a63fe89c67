/** Whether to take a VM out of a pool now, to lend the pool a spare one first, or to wait: a pure decision by weights. */

/** Ways to begin the service of a VM. */
export enum MaintenancePolicy {
    /** Take it out as soon as the budget allows. */
    InPlace = "in-place",
    /** Lend the pool a VM of the spare pool first. */
    SpareFirst = "spare-first",
    /** Take it out when the pool is in a trough between bursts. */
    Trough = "trough",
    /** Choose by the weights of the settings each time. */
    LowestCost = "weighed",
}

/** How much the operator minds each cost; from the settings. */
export interface CostWeights {
    readonly closeness: number;
    readonly bufferCost: number;
    readonly rollOutTime: number;
    readonly vmMoves: number;
}

/** What is known about a pool when the next VM is due. */
export interface MaintenanceInput {
    /** VMs that may work now. */
    readonly available: number;
    readonly minAvailable: number;
    /** Slots in use now, as a part of the slots of the available VMs. */
    readonly utilization: number;
    /** Highest such part within the last bursts. */
    readonly peakUtilization: number;
    /** VMs that the spare pool could lend. */
    readonly lendableVms: number;
    /** VMs that were lent to the pool and are still there. */
    readonly borrowedVms: number;
    /** Time for which the next VM has been due, in milliseconds. */
    readonly waitedMs: number;
}

/** What to do next in a pool with a VM that is due. */
export enum MaintenanceAction {
    TakeOut = "take-out",
    Lend = "lend",
    Wait = "wait",
}

const troughUtilization = 0.5;
const maxTroughWaitMs = 30 * 60_000;
const waitCostUnitMs = 10_000;
const overloadUtilization = 0.95;
const vmMoveCost = 0.25;
const spareVmCost = 0.2;
const waitCost = 0.15;
const overloadCost = 1;

/** The next move. Never takes a VM out of a pool that is at its budget. */
export function decideAction(
    policy: MaintenancePolicy,
    input: MaintenanceInput,
    weights: CostWeights,
): MaintenanceAction {
    const hasRoom = input.available > input.minAvailable;
    const canLend = input.lendableVms > 0 && input.borrowedVms === 0;
    if (!hasRoom) {
        return canLend ? MaintenanceAction.Lend : MaintenanceAction.Wait;
    }
    switch (policy) {
        case MaintenancePolicy.InPlace:
            return MaintenanceAction.TakeOut;
        case MaintenancePolicy.SpareFirst:
            return canLend ? MaintenanceAction.Lend : MaintenanceAction.TakeOut;
        case MaintenancePolicy.Trough:
            return isTroughOrWaitExpired(input) ? MaintenanceAction.TakeOut : MaintenanceAction.Wait;
        case MaintenancePolicy.LowestCost:
            return cheapestAction(input, weights, canLend);
    }
}

function isTroughOrWaitExpired({ utilization, waitedMs }: MaintenanceInput): boolean {
    return utilization < troughUtilization || waitedMs > maxTroughWaitMs;
}

/** Compares what callers lose while a VM is out with the cost of lending one and of waiting for a trough. */
function cheapestAction(input: MaintenanceInput, weights: CostWeights, canLend: boolean): MaintenanceAction {
    const { available, utilization, peakUtilization, borrowedVms, waitedMs } = input;
    const withoutOne = Math.max(1, available - 1) / available;
    const lossNow = overloadOf(utilization / withoutOne);
    const lossAtPeak = borrowedVms > 0 ? 0 : overloadOf(peakUtilization / withoutOne);
    const takeOut = weights.closeness * overloadCost * (lossNow + lossAtPeak);
    const lend = weights.vmMoves * vmMoveCost + weights.bufferCost * spareVmCost;
    const wait = weights.rollOutTime * waitCost * (1 + waitedMs / waitCostUnitMs)
        + weights.closeness * overloadCost * lossAtPeak;
    if (canLend && lend < takeOut && lend <= wait) {
        return MaintenanceAction.Lend;
    }
    return wait < takeOut && !isTroughOrWaitExpired(input)
        ? MaintenanceAction.Wait
        : MaintenanceAction.TakeOut;
}

/** How far a pool's use is above what it can hold with some ease. */
function overloadOf(use: number): number {
    return Math.max(0, use - overloadUtilization);
}
