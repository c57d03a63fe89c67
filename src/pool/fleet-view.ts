/** Input and output of the plan of VMs: the state of VMs, the demand of pools, waves of maintenance, and actions. */
import type { StepSpec } from "../job/index.js";
import type { Resources } from "../process/resources.js";
import type { VmPhase } from "./ports.js";
import type { VmContents } from "./scheduling/vm-contents.js";
import type { VmDemand } from "./scheduling/vm-demand.js";

/** State of a VM as input of the plan. */
export interface VmSnapshot {
    readonly vm: string;
    readonly pool: string;
    readonly phase: VmPhase;
    readonly rack: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Number of runs on its worker. */
    readonly runs: number;
    /** Number of runs of services among them. */
    readonly serviceRuns: number;
    /** Whether the VM is being drained: no new run is placed there. */
    readonly isCordoned: boolean;
    /** Whether the VM may be ordered; false for a while after an order of an earlier owner. */
    readonly isOrderable: boolean;
    /** Whether its worker has accepted the owner's fence and is reachable. */
    readonly isWorkerReady: boolean;
    /** Number of the wave in which it is due for maintenance; undefined if there is none. */
    readonly dueWave: number | undefined;
    /** Whether operators allow no new work in its availability zone; false by default. */
    readonly isZoneEvacuated?: boolean;
    /** Whether it is kept for a large job, so that it is no surplus. */
    readonly isReserved?: boolean;
    /** What it holds; known only if VMs are packed and its worker is listed. */
    readonly contents?: VmContents;
}

/** Demand of a pool. */
export interface PoolDemand {
    readonly pool: string;
    readonly isSpare: boolean;
    /** Resources that its jobs could use concurrently. */
    readonly resources: Resources;
    /** Waiting steps that no VM of the pool could run even if it were empty. */
    readonly unplaceableSteps: readonly StepSpec[];
    /** Fewest VMs on which its services can run, given their limits of tasks per worker. */
    readonly minVms: number;
    /** VMs that it needs by bin packing; without it, they are counted from `resources`. */
    readonly vms?: VmDemand;
}

/** An unfinished maintenance wave. */
export interface OpenWave {
    readonly wave: number;
    /** Its VMs, which may belong to other waves as well; only those that are due for it by default. */
    readonly members?: ReadonlySet<string>;
    /** VMs that may enter maintenance now without exceeding the wave's cap. */
    readonly availableSlots: number;
    /** Whether the remaining time may not suffice. */
    readonly isUrgent: boolean;
    /** VMs in use that may be drained for it at the same time. */
    readonly maxDraining: number;
    /** Share of the VMs in use that has to be drained at the same time, but for a few; all of them by default. */
    readonly drainShare?: number;
}

/** An order to the platform. */
export type VmOrder =
    | { readonly kind: "move"; readonly vm: string; readonly pool: string }
    | { readonly kind: "service"; readonly vm: string; readonly wave: number };

/** An action of the plan. */
export type FleetAction =
    | VmOrder
    | { readonly kind: "cordon"; readonly vm: string; readonly why: CordonReason }
    | { readonly kind: "uncordon"; readonly vm: string };

/** Why a VM is drained. */
export enum CordonReason {
    Surplus = "surplus",
    DueForMaintenance = "due-for-service",
    ZoneEvacuated = "zone-evacuated",
    ServicesMove = "services-move",
}

/** Input of `planFleet`. */
export interface FleetPlanInput {
    readonly vms: readonly VmSnapshot[];
    readonly demands: readonly PoolDemand[];
    readonly waves: readonly OpenWave[];
    /** VMs that a pool keeps beyond its computed demand. */
    readonly reserveVms: number;
    /** Least number of VMs of a pool. */
    readonly minVms: number;
    /** Whether pools keep the VMs that they do not demand, since their demand was observed for too short a time. */
    readonly keepsSurplus?: boolean;
}
