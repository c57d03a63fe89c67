/**
 * Which VMs belong to which pool now: a pure decision from the pools' demand and the state of the VMs. Answers
 * queues that burst one after the other: VMs follow the demand, those that no pool needs are parked in the spare
 * pool, and VMs that are due for service are emptied and serviced while they are parked.
 */
import type { StepSpec } from "../job/index.js";
import { fitsInto, noResources, type Resources } from "../process/resources.js";
import { VmPhase } from "./ports.js";

/** A VM as the plan sees it. */
export interface VmSnapshot {
    readonly vm: string;
    readonly pool: string;
    readonly phase: VmPhase;
    readonly rack: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Runs on its worker. */
    readonly runs: number;
    /** Runs of services among them. */
    readonly serviceRuns: number;
    /** Whether it is to be emptied: nothing new is placed there. */
    readonly isCordoned: boolean;
    /** Whether it may be ordered; one that an earlier owner has just ordered is left alone for a while. */
    readonly isOrderable: boolean;
    /** Whether its worker is known and answers. */
    readonly isWorkerReady: boolean;
    /** Number of the wave that it is due in and not yet serviced for. */
    readonly dueWave: number | undefined;
}

/** What a pool needs. */
export interface PoolDemand {
    readonly pool: string;
    readonly isSpare: boolean;
    /** What could be used at once. */
    readonly resources: Resources;
    /** Steps that wait although no VM of the pool could run them, were it empty. */
    readonly unplaceableSteps: readonly StepSpec[];
    /** VMs that its services need because of their spread. */
    readonly minVms: number;
}

/** A wave that is not finished. */
export interface OpenWave {
    readonly wave: number;
    /** VMs that may be taken out now without exceeding the cap. */
    readonly availableSlots: number;
    /** Whether the time left hardly suffices. */
    readonly isUrgent: boolean;
    /** VMs in use that may be emptied for it at the same time. */
    readonly maxDraining: number;
}

/** An order that the platform carries out. */
export type VmOrder =
    | { readonly kind: "move"; readonly vm: string; readonly pool: string }
    | { readonly kind: "service"; readonly vm: string; readonly wave: number };

/** What is to be done with VMs. */
export type FleetAction =
    | VmOrder
    | { readonly kind: "cordon"; readonly vm: string; readonly why: CordonReason }
    | { readonly kind: "uncordon"; readonly vm: string };

/** Why a VM is emptied. */
export enum CordonReason {
    Surplus = "surplus",
    DueForMaintenance = "due-for-service",
}

/** What the plan is made from. */
export interface FleetPlanInput {
    readonly vms: readonly VmSnapshot[];
    readonly demands: readonly PoolDemand[];
    readonly waves: readonly OpenWave[];
    /** VMs beyond its computed need that a pool keeps. */
    readonly reserveVms: number;
    /** Fewest VMs that a pool keeps. */
    readonly minVms: number;
}

/** Share of a VM that can be filled in practice. */
const maxVmUtilization = 0.9;

/** Decides what to do with the VMs now. */
export function planFleet(view: FleetPlanInput): readonly FleetAction[] {
    return FleetPlanner.create(view).plan();
}

/** VMs of a size that a pool should have. */
export function desiredVmCount(
    need: PoolDemand,
    capacity: Resources,
    { reserveVms: reserve, minVms: least }: Pick<FleetPlanInput, "reserveVms" | "minVms">,
): number {
    const shares = [
        need.resources.cpu / Math.max(1, capacity.cpu),
        need.resources.memory / Math.max(1, capacity.memory),
        need.resources.accelerators / Math.max(1, capacity.accelerators),
    ];
    return Math.max(least, need.minVms, Math.ceil(Math.max(...shares) / maxVmUtilization) + reserve);
}

/** Whether a VM could run a task of a step, were it empty. */
export function canRunWhenEmpty(
    step: StepSpec,
    { capacity, labels }: Pick<VmSnapshot, "capacity" | "labels">,
): boolean {
    return fitsInto(step.needs, capacity) && (step.label === undefined || labels.includes(step.label));
}

class FleetPlanner {
    private readonly actions: FleetAction[] = [];
    private readonly sparePool: string | undefined;
    private readonly cordonedVms: Set<string>;
    private readonly orderedVms = new Set<string>();

    private constructor(private readonly view: FleetPlanInput) {
        this.sparePool = view.demands.find(({ isSpare }) => isSpare)?.pool;
        this.cordonedVms = new Set(view.vms.filter(({ isCordoned }) => isCordoned).map(({ vm }) => vm));
    }

    static create(view: FleetPlanInput): FleetPlanner {
        return new FleetPlanner(view);
    }

    plan(): readonly FleetAction[] {
        this.maintainIdleVms(({ isUrgent }) => isUrgent);
        this.drainDueVms();
        const active = this.view.demands.filter(({ isSpare }) => !isSpare);
        const deficits = active.map(need => ({ need, missing: this.deficitOf(need) }));
        active.forEach(need => this.addVmsForUnplaceableSteps(need));
        for (const { need, missing } of deficits.sort((a, b) => b.missing - a.missing)) {
            this.fillDeficit(need.pool, missing);
        }
        this.maintainIdleVms(({ isUrgent }) => !isUrgent);
        for (const { need, missing } of deficits) {
            this.drainSurplus(need.pool, -missing);
        }
        this.parkDrainedVms();
        return this.actions;
    }

    /** Takes parked and idle VMs out for the service that they are due for; pools in need go first. */
    private maintainIdleVms(isMeant: (wave: OpenWave) => boolean): void {
        for (const { wave, availableSlots: free } of this.view.waves.filter(isMeant)) {
            const due = this.view.vms
                .filter(vm =>
                    vm.dueWave === wave && vm.phase === VmPhase.Up && vm.runs === 0 && vm.isOrderable
                )
                .filter(vm =>
                    (vm.pool === this.sparePool || this.cordonedVms.has(vm.vm)) && !this.orderedVms.has(vm.vm)
                )
                .sort((a, b) => Number(b.pool === this.sparePool) - Number(a.pool === this.sparePool));
            for (const { vm } of due.slice(0, free)) {
                this.orderedVms.add(vm);
                this.actions.push({ kind: "service", vm, wave });
            }
        }
    }

    /**
     * Empties VMs in use that are due for service, as many as the wave lets out at once. Those with most services go
     * first: their tasks leave one after the other, as their steps' budgets allow, which takes longest.
     */
    private drainDueVms(): void {
        for (const { wave, availableSlots: free, maxDraining: emptyAtOnce } of this.view.waves) {
            const due = this.view.vms.filter(vm =>
                vm.dueWave === wave && vm.phase === VmPhase.Up && vm.pool !== this.sparePool
                && !this.orderedVms.has(vm.vm)
            );
            const leaving = due.filter(({ vm }) => this.cordonedVms.has(vm)).length;
            const staying = due.filter(({ vm }) => !this.cordonedVms.has(vm))
                .sort((a, b) => b.serviceRuns - a.serviceRuns || a.runs - b.runs);
            const room = Math.max(0, Math.min(free, emptyAtOnce) - leaving);
            staying.slice(0, room).forEach(({ vm }) => this.cordon(vm, CordonReason.DueForMaintenance));
        }
    }

    private deficitOf(need: PoolDemand): number {
        const mine = this.vmsInPool(need.pool);
        const capacity = mine.concat(this.view.vms)[0]?.capacity ?? noResources;
        const present = mine.filter(vm => this.countsAsCapacity(vm)).length;
        return desiredVmCount(need, capacity, this.view) - present;
    }

    private vmsInPool(pool: string): readonly VmSnapshot[] {
        return this.view.vms.filter(vm => vm.pool === pool && vm.phase !== VmPhase.Down);
    }

    private countsAsCapacity({ vm, phase }: VmSnapshot): boolean {
        return !this.cordonedVms.has(vm) && !this.orderedVms.has(vm) && phase !== VmPhase.InMaintenance;
    }

    /** Brings VMs into a pool that needs them. */
    private fillDeficit(pool: string, missing: number): void {
        let left = missing;
        for (const vm of this.vmsInPool(pool)) {
            if (left > 0 && this.cordonedVms.has(vm.vm) && !this.isDrainingForMaintenance(vm)) {
                this.uncordon(vm.vm);
                left--;
            }
        }
        while (left > 0) {
            const vm = this.pickVmFor(pool);
            if (vm === undefined) {
                return;
            }
            this.orderedVms.add(vm.vm);
            this.actions.push({ kind: "move", vm: vm.vm, pool });
            left--;
        }
    }

    /** Brings a VM for each kind of step that no VM of the pool can run. */
    private addVmsForUnplaceableSteps({ pool, unplaceableSteps: stranded }: PoolDemand): void {
        for (const step of stranded) {
            const vm = this.pickVmFor(pool, candidate => canRunWhenEmpty(step, candidate));
            if (vm !== undefined) {
                this.orderedVms.add(vm.vm);
                this.actions.push({ kind: "move", vm: vm.vm, pool });
            }
        }
    }

    /** The VM to bring into a pool: parked or idle elsewhere, rather serviced already, of a rack that it has few of. */
    private pickVmFor(pool: string, isFit: (vm: VmSnapshot) => boolean = () => true): VmSnapshot | undefined {
        const racks = new Map<string, number>();
        for (const { rack } of this.vmsInPool(pool)) {
            racks.set(rack, (racks.get(rack) ?? 0) + 1);
        }
        const free = this.view.vms.filter(vm =>
            isFit(vm) && vm.isOrderable && vm.phase === VmPhase.Up && vm.pool !== pool && vm.runs === 0
            && !this.orderedVms.has(vm.vm)
            && (vm.pool === this.sparePool || this.cordonedVms.has(vm.vm))
        );
        return free.sort((a, b) =>
            Number(a.dueWave !== undefined) - Number(b.dueWave !== undefined)
            || (racks.get(a.rack) ?? 0) - (racks.get(b.rack) ?? 0)
        )[0];
    }

    /** Empties VMs that a pool does not need. */
    private drainSurplus(pool: string, surplus: number): void {
        if (surplus <= 0 || this.sparePool === undefined) {
            return;
        }
        const idlest = this.vmsInPool(pool)
            .filter(vm =>
                this.countsAsCapacity(vm) && vm.phase === VmPhase.Up && vm.serviceRuns === 0
                && vm.isWorkerReady
            )
            .sort((a, b) =>
                Number(a.dueWave === undefined) - Number(b.dueWave === undefined) || a.runs - b.runs
            );
        idlest.slice(0, surplus).forEach(({ vm }) => this.cordon(vm, CordonReason.Surplus));
    }

    /** Parks VMs that have been emptied. */
    private parkDrainedVms(): void {
        const { sparePool: spare } = this;
        if (spare === undefined) {
            return;
        }
        for (const vm of this.view.vms) {
            const isEmptied = vm.isCordoned && vm.isOrderable && vm.runs === 0 && vm.phase === VmPhase.Up;
            if (
                isEmptied && vm.pool !== spare && !this.orderedVms.has(vm.vm) && this.cordonedVms.has(vm.vm)
            ) {
                this.orderedVms.add(vm.vm);
                this.actions.push({ kind: "move", vm: vm.vm, pool: spare });
            }
        }
    }

    private isDrainingForMaintenance({ dueWave }: VmSnapshot): boolean {
        return dueWave !== undefined
            && this.view.waves.some(({ wave, maxDraining: emptyAtOnce }) =>
                wave === dueWave && emptyAtOnce > 0
            );
    }

    private cordon(vm: string, why: CordonReason): void {
        this.cordonedVms.add(vm);
        this.actions.push({ kind: "cordon", vm, why });
    }

    private uncordon(vm: string): void {
        this.cordonedVms.delete(vm);
        this.actions.push({ kind: "uncordon", vm });
    }
}
