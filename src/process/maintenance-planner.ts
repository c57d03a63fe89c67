/**
 * Decides the next maintenance step of a pool with a VM that is due: take the VM out of service, lend the pool a spare
 * VM first, or wait.
 */

/** When to take a VM that is due out of service. */
export enum MaintenancePolicy {
    /** As soon as the pool has more than its minimum of available VMs. */
    InPlace = "in-place",
    /** After lending the pool a VM of a spare pool, if one can be lent. */
    SpareFirst = "spare-first",
    /** When the utilization of the pool is low, or the VM has waited for that too long. */
    Trough = "trough",
    /** Whenever that has the lowest cost by the weights of the settings. */
    LowestCost = "weighed",
}

/** Weights of the costs that `MaintenancePolicy.LowestCost` compares; from the settings. */
export interface CostWeights {
    /** Weight of the overload of the pool while a VM is out of service. */
    readonly closeness: number;
    /** Weight of the use of a spare VM. */
    readonly bufferCost: number;
    /** Weight of the time until the VM is maintained. */
    readonly rollOutTime: number;
    /** Weight of a move of a VM between pools. */
    readonly vmMoves: number;
}

/** State of a pool with a VM that is due. */
export interface MaintenanceInput {
    /** Number of available VMs. */
    readonly available: number;
    /** Minimum number of available VMs. */
    readonly minAvailable: number;
    /** Slots in use, as a fraction of the slots of the available VMs. */
    readonly utilization: number;
    /** Recent peak of `utilization`. */
    readonly peakUtilization: number;
    /** Number of VMs that spare pools can lend. */
    readonly lendableVms: number;
    /** Number of VMs that are lent to the pool. */
    readonly borrowedVms: number;
    /** Time for which a VM has been due, in milliseconds. */
    readonly waitedMs: number;
}

/** Next maintenance step of a pool with a VM that is due. */
export enum MaintenanceAction {
    TakeOut = "take-out",
    Lend = "lend",
    Wait = "wait",
}

/** Utilization below which a VM is taken out without waiting further. */
const troughUtilization = 0.5;
/** Time after which a VM is taken out at any utilization. */
const maxTroughWaitMs = 30 * 60_000;
/** Time in which the cost of waiting, before its weight, grows by `waitCost`. */
const waitCostUnitMs = 10_000;
/** Utilization above which the excess counts as a loss to callers. */
const overloadUtilization = 0.95;
const vmMoveCost = 0.25;
const spareVmCost = 0.2;
const waitCost = 0.15;
const overloadCost = 1;

/** Decides the next step. It never takes a VM out of a pool at or below its minimum of available VMs. */
export function decideAction(
    policy: MaintenancePolicy,
    input: MaintenanceInput,
    weights: CostWeights,
): MaintenanceAction {
    const isAboveMinimum = input.available > input.minAvailable;
    const canLend = input.lendableVms > 0 && input.borrowedVms === 0;
    if (!isAboveMinimum) {
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

/** Compares the loss to callers while a VM is out of service with the costs of lending one and of waiting. */
function cheapestAction(input: MaintenanceInput, weights: CostWeights, canLend: boolean): MaintenanceAction {
    const { available, utilization, peakUtilization, borrowedVms, waitedMs } = input;
    const remainingShare = Math.max(1, available - 1) / available;
    const lossNow = overloadOf(utilization / remainingShare);
    const lossAtPeak = borrowedVms > 0 ? 0 : overloadOf(peakUtilization / remainingShare);
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

/** Excess of a utilization over `overloadUtilization`. */
function overloadOf(utilization: number): number {
    return Math.max(0, utilization - overloadUtilization);
}
