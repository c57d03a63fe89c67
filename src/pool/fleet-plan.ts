/**
 * Plans which VMs belong to which pool now, from the pools' demand and the state of the VMs. Pure. Queues burst one
 * after the other, so VMs follow the demand. VMs that no pool needs are moved to the spare pool, and VMs due for
 * maintenance are drained and maintained while they are there.
 */
import type { StepSpec } from "../job/index.js";
import { fitsInto, noResources, type Resources } from "../process/resources.js";
import {
    CordonReason,
    type FleetAction,
    type FleetPlanInput,
    type OpenWave,
    type PoolDemand,
    type VmSnapshot,
} from "./fleet-view.js";
import { VmPhase } from "./ports.js";
import { vmToVacate } from "./scheduling/service-moves.js";
import { packedBalance, type VmBalance } from "./scheduling/vm-balance.js";

export {
    CordonReason,
    type FleetAction,
    type FleetPlanInput,
    type OpenWave,
    type PoolDemand,
    type VmOrder,
    type VmSnapshot,
} from "./fleet-view.js";

/** VMs in use that are drained for a wave at once even if fewer were enough. */
const minDraining = 2;
/** Share of a VM's capacity that can be used in practice. */
const maxVmUtilization = 0.9;
/**
 * Time for which a drained VM without runs waits for another pool that needs it, if VMs are packed, in milliseconds. A move costs as
 * much as 1.2 VM-seconds in a pool; waiting for that long saved fewer moves than it cost VM-seconds.
 */
const parkAfterIdleMs = 300;

/** Plans the actions on the VMs. */
export function planFleet(view: FleetPlanInput): readonly FleetAction[] {
    return FleetPlanner.create(view).plan();
}

/**
 * Pools with demand of which evacuations leave no VM that could take work, nor any elsewhere that could join them. Their work
 * waits until a zone is restored or a VM of another zone is free.
 */
export function poolsWithoutRoom(
    { vms, demands }: Pick<FleetPlanInput, "vms" | "demands">,
): readonly string[] {
    const sparePool = demands.find(({ isSpare }) => isSpare)?.pool;
    const usable = vms.filter(({ phase, isZoneEvacuated }) =>
        isZoneEvacuated !== true && phase !== VmPhase.Down
    );
    const hasEvacuatedVms = vms.some(({ isZoneEvacuated }) => isZoneEvacuated === true);
    const canJoin = usable.some(({ pool }) => pool === sparePool);
    return demands
        .filter(({ pool, isSpare, resources }) =>
            hasEvacuatedVms && !isSpare && !canJoin && (resources.cpu > 0 || resources.memory > 0)
            && !usable.some(vm => vm.pool === pool)
        )
        .map(({ pool }) => pool);
}

/** Number of VMs of the given capacity that a pool should have. */
export function desiredVmCount(
    demand: PoolDemand,
    capacity: Resources,
    { reserveVms, minVms }: Pick<FleetPlanInput, "reserveVms" | "minVms">,
): number {
    const shares = [
        demand.resources.cpu / Math.max(1, capacity.cpu),
        demand.resources.memory / Math.max(1, capacity.memory),
        demand.resources.accelerators / Math.max(1, capacity.accelerators),
    ];
    return Math.max(minVms, demand.minVms, Math.ceil(Math.max(...shares) / maxVmUtilization) + reserveVms);
}

/** Whether a VM could run a task of a step if it were empty. */
export function canRunWhenEmpty(
    step: StepSpec,
    { capacity, labels }: Pick<VmSnapshot, "capacity" | "labels">,
): boolean {
    return fitsInto(step.needs, capacity) && (step.label === undefined || labels.includes(step.label));
}

interface PoolDeficit extends VmBalance {
    readonly demand: PoolDemand;
}

class FleetPlanner {
    private readonly actions: FleetAction[] = [];
    private readonly sparePool: string | undefined;
    private readonly cordonedVms: Set<string>;
    private readonly orderedVms = new Set<string>();
    private readonly isPacked: boolean;

    private constructor(private readonly view: FleetPlanInput) {
        this.sparePool = view.demands.find(({ isSpare }) => isSpare)?.pool;
        this.isPacked = view.demands.some(({ vms }) => vms !== undefined);
        this.cordonedVms = new Set(view.vms.filter(({ isCordoned }) => isCordoned).map(({ vm }) => vm));
    }

    static create(view: FleetPlanInput): FleetPlanner {
        return new FleetPlanner(view);
    }

    plan(): readonly FleetAction[] {
        this.maintainIdleVms(({ isUrgent }) => isUrgent);
        this.drainEvacuatedZones();
        this.drainDueVms();
        const active = this.view.demands.filter(({ isSpare }) => !isSpare);
        const deficits = active.map(demand => ({ demand, ...this.deficitOf(demand) }));
        if (this.isPacked) {
            // Surplus VMs that are idle then go to another pool in the same plan, and not through the spare pool.
            deficits.forEach(deficit => this.releaseVms(deficit));
        }
        active.forEach(demand => this.addVmsForUnplaceableSteps(demand));
        for (const { demand, missing } of deficits.sort((a, b) => b.missing - a.missing)) {
            this.fillDeficit(demand.pool, missing);
        }
        this.maintainIdleVms(({ isUrgent }) => !isUrgent);
        if (!this.isPacked) {
            deficits.forEach(deficit => this.releaseVms(deficit));
        }
        this.parkDrainedVms();
        return this.actions;
    }

    /**
     * Orders maintenance for due VMs that are idle, those of evacuated zones and in the spare pool first. Waves that are not urgent are
     * handled after the pools with a deficit have been given VMs.
     */
    private maintainIdleVms(selects: (wave: OpenWave) => boolean): void {
        for (const { wave, members, availableSlots } of this.view.waves.filter(selects)) {
            const planned = this.actions.filter(action =>
                action.kind === "service" && members?.has(action.vm) === true
            ).length;
            const due = this.view.vms
                .filter(vm =>
                    vm.dueWave === wave && vm.phase === VmPhase.Up && vm.runs === 0 && vm.isOrderable
                )
                .filter(vm =>
                    (vm.pool === this.sparePool || this.cordonedVms.has(vm.vm)) && !this.orderedVms.has(vm.vm)
                )
                .sort((a, b) =>
                    Number(b.isZoneEvacuated === true) - Number(a.isZoneEvacuated === true)
                    || Number(b.pool === this.sparePool) - Number(a.pool === this.sparePool)
                );
            for (const { vm } of due.slice(0, Math.max(0, availableSlots - planned))) {
                this.orderedVms.add(vm);
                this.actions.push({ kind: "service", vm, wave });
            }
        }
    }

    /**
     * Drains due VMs in use, as many at once as the wave allows. VMs with the most service runs go first: disruption
     * budgets make their tasks leave one after the other, so these VMs take longest to drain.
     */
    private drainDueVms(): void {
        for (const { wave, availableSlots, maxDraining, drainShare = 1 } of this.view.waves) {
            const due = this.view.vms.filter(vm =>
                vm.dueWave === wave && vm.phase === VmPhase.Up && vm.pool !== this.sparePool
                && !this.orderedVms.has(vm.vm)
            );
            const leaving = due.filter(({ vm }) => this.cordonedVms.has(vm)).length;
            const staying = due.filter(({ vm }) => !this.cordonedVms.has(vm))
                .sort((a, b) => b.serviceRuns - a.serviceRuns || a.runs - b.runs);
            const wanted = Math.max(minDraining, Math.ceil(due.length * drainShare));
            const room = Math.max(0, Math.min(availableSlots, maxDraining, wanted) - leaving);
            staying.slice(0, room).forEach(({ vm }) => this.cordon(vm, CordonReason.DueForMaintenance));
        }
    }

    /**
     * Drains the VMs in use of evacuated zones, all at once.
     *
     * Load pattern: a zone's share of every pool leaves within a moment. Its VMs count as capacity no more, so the pools order
     * VMs of the other zones in the same plan, while what runs there ends by itself.
     */
    private drainEvacuatedZones(): void {
        this.view.vms
            .filter(vm =>
                vm.isZoneEvacuated === true && vm.pool !== this.sparePool && vm.phase === VmPhase.Up
                && !this.cordonedVms.has(vm.vm) && !this.orderedVms.has(vm.vm)
            )
            .forEach(({ vm }) => this.cordon(vm, CordonReason.ZoneEvacuated));
    }

    private deficitOf(demand: PoolDemand): VmBalance {
        const poolVms = this.vmsInPool(demand.pool);
        const present = poolVms.filter(vm => this.countsAsCapacity(vm)).length;
        if (demand.vms !== undefined) {
            const joined = poolVms.filter(vm => this.isInUse(vm)).length;
            const least = Math.max(this.view.minVms, demand.minVms);
            return packedBalance(demand.vms, { present, joined, least });
        }
        const capacity = poolVms.concat(this.view.vms)[0]?.capacity ?? noResources;
        const missing = desiredVmCount(demand, capacity, this.view) - present;
        return { missing, surplus: -missing };
    }

    private vmsInPool(pool: string): readonly VmSnapshot[] {
        return this.view.vms.filter(vm => vm.pool === pool && vm.phase !== VmPhase.Down);
    }

    private countsAsCapacity({ vm, phase, isZoneEvacuated }: VmSnapshot): boolean {
        return isZoneEvacuated !== true && !this.cordonedVms.has(vm) && !this.orderedVms.has(vm)
            && phase !== VmPhase.InMaintenance;
    }

    /** Whether a VM has joined its pool and new runs are placed there. */
    private isInUse(vm: VmSnapshot): boolean {
        return this.countsAsCapacity(vm) && vm.phase === VmPhase.Up && vm.isWorkerReady;
    }

    /** Adds VMs to a pool that needs them: uncordons its own, then moves others. */
    private fillDeficit(pool: string, missing: number): void {
        let left = missing;
        for (const vm of this.vmsInPool(pool)) {
            const isUsable = vm.isZoneEvacuated !== true && !this.isDrainingForMaintenance(vm);
            if (left > 0 && this.cordonedVms.has(vm.vm) && isUsable) {
                this.uncordon(vm.vm);
                left--;
            }
        }
        this.candidatesFor(pool).slice(0, Math.max(0, left)).forEach(vm => this.move(vm, pool));
    }

    private move({ vm }: VmSnapshot, pool: string): void {
        this.orderedVms.add(vm);
        this.actions.push({ kind: "move", vm, pool });
    }

    /** Moves a suitable VM into a pool for each step that none of its VMs can run. */
    private addVmsForUnplaceableSteps({ pool, unplaceableSteps }: PoolDemand): void {
        for (const step of unplaceableSteps) {
            const vm = this.candidatesFor(pool).find(candidate => canRunWhenEmpty(step, candidate));
            if (vm !== undefined) {
                this.move(vm, pool);
            }
        }
    }

    /**
     * The VMs that may be moved into a pool, the best first: idle ones of the spare pool and cordoned ones. VMs not due
     * for maintenance are preferred, then racks of which the pool has the fewest VMs.
     */
    private candidatesFor(pool: string): readonly VmSnapshot[] {
        const racks = new Map<string, number>();
        for (const { rack } of this.vmsInPool(pool)) {
            racks.set(rack, (racks.get(rack) ?? 0) + 1);
        }
        const candidates = this.view.vms.filter(vm =>
            vm.isOrderable && vm.phase === VmPhase.Up && vm.pool !== pool && vm.runs === 0
            && vm.isZoneEvacuated !== true
            && !this.orderedVms.has(vm.vm)
            && (vm.pool === this.sparePool || this.cordonedVms.has(vm.vm))
        );
        return candidates.sort((a, b) =>
            Number(a.dueWave !== undefined) - Number(b.dueWave !== undefined)
            || (this.isPacked ? Number(a.pool === this.sparePool) - Number(b.pool === this.sparePool) : 0)
            || (racks.get(a.rack) ?? 0) - (racks.get(b.rack) ?? 0)
        );
    }

    /** Drains VMs that a pool does not demand, and one that it keeps for services which fit on others. */
    private releaseVms({ demand, missing, surplus }: PoolDeficit): void {
        this.drainSurplus(demand.pool, surplus);
        if (this.isPacked && missing <= 0) {
            this.vacateServiceVm(demand);
        }
    }

    /** Drains VMs that a pool does not demand. */
    private drainSurplus(pool: string, surplus: number): void {
        if (surplus <= 0 || this.sparePool === undefined || this.view.keepsSurplus === true) {
            return;
        }
        const candidates = this.vmsInPool(pool)
            .filter(vm => this.isInUse(vm) && vm.serviceRuns === 0 && vm.isReserved !== true)
            .sort((a, b) =>
                Number(a.dueWave === undefined) - Number(b.dueWave === undefined)
                || (a.contents?.emptyInMs ?? 0) - (b.contents?.emptyInMs ?? 0) || a.runs - b.runs
            );
        candidates.slice(0, surplus).forEach(({ vm }) => this.cordon(vm, CordonReason.Surplus));
    }

    /** Drains a VM that is kept in a pool for services that fit on others, one at a time. */
    private vacateServiceVm({ pool, minVms }: PoolDemand): void {
        const poolVms = this.vmsInPool(pool);
        const isVacating = poolVms.some(({ vm, serviceRuns }) => this.cordonedVms.has(vm) && serviceRuns > 0);
        const vms = poolVms.filter(vm => this.isInUse(vm));
        if (this.sparePool === undefined || isVacating || vms.length <= Math.max(this.view.minVms, minVms)) {
            return;
        }
        const vacated = vmToVacate(
            vms.flatMap(({ contents, ...vm }) => contents === undefined ? [] : [{ ...vm, contents }]),
        );
        if (vacated !== undefined) {
            this.cordon(vacated.vm, CordonReason.ServicesMove);
        }
    }

    /** Moves drained VMs to the spare pool. */
    private parkDrainedVms(): void {
        const { sparePool } = this;
        if (sparePool === undefined) {
            return;
        }
        for (const vm of this.view.vms) {
            const isDrained = vm.isCordoned && vm.isOrderable && vm.runs === 0 && vm.phase === VmPhase.Up;
            if (
                isDrained && vm.pool !== sparePool && !this.orderedVms.has(vm.vm)
                && this.cordonedVms.has(vm.vm) && (vm.contents?.idleMs ?? Infinity) >= parkAfterIdleMs
            ) {
                this.orderedVms.add(vm.vm);
                this.actions.push({ kind: "move", vm: vm.vm, pool: sparePool });
            }
        }
    }

    private isDrainingForMaintenance({ dueWave }: VmSnapshot): boolean {
        return dueWave !== undefined
            && this.view.waves.some(({ wave, maxDraining }) => wave === dueWave && maxDraining > 0);
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
