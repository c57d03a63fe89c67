/**
 * How many VMs a pool lacks and how many it can release, from its demand by bin packing. Pure.
 *
 * Load pattern: during the ramp of a burst most VMs of a pool are still joining. They count for what is expected, but a joined
 * VM is not released for them while work is waiting.
 */
import type { VmDemand } from "./vm-demand.js";

/** VMs that a pool lacks, and VMs that it does not need; a negative number counts as none. */
export interface VmBalance {
    readonly missing: number;
    readonly surplus: number;
}

/** VMs of a pool. */
export interface PoolVmCounts {
    /** VMs that are not drained, those that are joining included. */
    readonly present: number;
    /** VMs among them that take work. */
    readonly joined: number;
    /** Least number of VMs of the pool. */
    readonly least: number;
}

/** Compares the demand of a pool with its VMs. */
export function packedBalance(demand: VmDemand, { present, joined, least }: PoolVmCounts): VmBalance {
    return {
        missing: Math.max(least, demand.ordered) - present,
        surplus: Math.min(present - Math.max(least, demand.kept), joined - Math.max(least, demand.present)),
    };
}
