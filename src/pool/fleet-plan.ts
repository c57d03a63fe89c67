/**
 * Which VMs belong to which pool now: a pure decision from the pools' demand and the state of the VMs. Answers
 * queues that burst one after the other: VMs follow the demand, those that no pool needs are parked in the spare
 * pool, and VMs that are due for service are emptied and serviced while they are parked.
 */
import type { StepSpec } from "../job/index.js";
import { fitsInto, noResources, type Resources } from "../process/resources.js";
import { VmPhase } from "./ports.js";

/** A VM as the plan sees it. */
export interface PlannedVm {
    readonly vm: string;
    readonly pool: string;
    readonly phase: VmPhase;
    readonly rack: string;
    readonly capacity: Resources;
    readonly labels: readonly string[];
    /** Runs on its worker. */
    readonly runs: number;
    /** Runs of services among them. */
    readonly services: number;
    /** Whether it is to be emptied: nothing new is placed there. */
    readonly isCordoned: boolean;
    /** Whether it may be ordered; one that an earlier owner has just ordered is left alone for a while. */
    readonly isFree: boolean;
    /** Whether its worker is known and answers. */
    readonly isUsable: boolean;
    /** Number of the wave that it is due in and not yet serviced for. */
    readonly dueWave: number | undefined;
}

/** What a pool needs. */
export interface PoolNeed {
    readonly pool: string;
    readonly isSpare: boolean;
    /** What could be used at once. */
    readonly needs: Resources;
    /** Steps that wait although no VM of the pool could run them, were it empty. */
    readonly stranded: readonly StepSpec[];
    /** VMs that its services need because of their spread. */
    readonly spread: number;
}

/** A wave that is not finished. */
export interface OpenWave {
    readonly wave: number;
    /** VMs that may be taken out now without exceeding the cap. */
    readonly free: number;
    /** Whether the time left hardly suffices. */
    readonly isUrgent: boolean;
    /** VMs in use that may be emptied for it at the same time. */
    readonly emptyAtOnce: number;
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
    DueForService = "due-for-service",
}

/** What the plan is made from. */
export interface FleetView {
    readonly vms: readonly PlannedVm[];
    readonly needs: readonly PoolNeed[];
    readonly waves: readonly OpenWave[];
    /** VMs beyond its computed need that a pool keeps. */
    readonly reserve: number;
    /** Fewest VMs that a pool keeps. */
    readonly least: number;
}

/** Share of a VM that can be filled in practice. */
const fillable = 0.9;

/** Decides what to do with the VMs now. */
export function planFleet(view: FleetView): readonly FleetAction[] {
    return FleetPlanner.create(view).plan();
}

/** VMs of a size that a pool should have. */
export function wantedVms(
    need: PoolNeed,
    capacity: Resources,
    { reserve, least }: Pick<FleetView, "reserve" | "least">,
): number {
    const shares = [
        need.needs.cpu / Math.max(1, capacity.cpu),
        need.needs.memory / Math.max(1, capacity.memory),
        need.needs.accelerators / Math.max(1, capacity.accelerators),
    ];
    return Math.max(least, need.spread, Math.ceil(Math.max(...shares) / fillable) + reserve);
}

/** Whether a VM could run a task of a step, were it empty. */
export function couldRun(
    step: StepSpec,
    { capacity, labels }: Pick<PlannedVm, "capacity" | "labels">,
): boolean {
    return fitsInto(step.needs, capacity) && (step.label === undefined || labels.includes(step.label));
}

class FleetPlanner {
    private readonly actions: FleetAction[] = [];
    private readonly spare: string | undefined;
    private readonly cordoned: Set<string>;
    private readonly taken = new Set<string>();

    private constructor(private readonly view: FleetView) {
        this.spare = view.needs.find(({ isSpare }) => isSpare)?.pool;
        this.cordoned = new Set(view.vms.filter(({ isCordoned }) => isCordoned).map(({ vm }) => vm));
    }

    static create(view: FleetView): FleetPlanner {
        return new FleetPlanner(view);
    }

    plan(): readonly FleetAction[] {
        this.serviceIdle(({ isUrgent }) => isUrgent);
        this.emptyDue();
        const active = this.view.needs.filter(({ isSpare }) => !isSpare);
        const deficits = active.map(need => ({ need, missing: this.missing(need) }));
        active.forEach(need => this.rescue(need));
        for (const { need, missing } of deficits.sort((a, b) => b.missing - a.missing)) {
            this.fill(need.pool, missing);
        }
        this.serviceIdle(({ isUrgent }) => !isUrgent);
        for (const { need, missing } of deficits) {
            this.shed(need.pool, -missing);
        }
        this.park();
        return this.actions;
    }

    /** Takes parked and idle VMs out for the service that they are due for; pools in need go first. */
    private serviceIdle(isMeant: (wave: OpenWave) => boolean): void {
        for (const { wave, free } of this.view.waves.filter(isMeant)) {
            const due = this.view.vms
                .filter(vm => vm.dueWave === wave && vm.phase === VmPhase.Up && vm.runs === 0 && vm.isFree)
                .filter(vm => (vm.pool === this.spare || this.cordoned.has(vm.vm)) && !this.taken.has(vm.vm))
                .sort((a, b) => Number(b.pool === this.spare) - Number(a.pool === this.spare));
            for (const { vm } of due.slice(0, free)) {
                this.taken.add(vm);
                this.actions.push({ kind: "service", vm, wave });
            }
        }
    }

    /**
     * Empties VMs in use that are due for service, as many as the wave lets out at once. Those with most services go
     * first: their tasks leave one after the other, as their steps' budgets allow, which takes longest.
     */
    private emptyDue(): void {
        for (const { wave, free, emptyAtOnce } of this.view.waves) {
            const due = this.view.vms.filter(vm =>
                vm.dueWave === wave && vm.phase === VmPhase.Up && vm.pool !== this.spare
                && !this.taken.has(vm.vm)
            );
            const leaving = due.filter(({ vm }) => this.cordoned.has(vm)).length;
            const staying = due.filter(({ vm }) => !this.cordoned.has(vm))
                .sort((a, b) => b.services - a.services || a.runs - b.runs);
            const room = Math.max(0, Math.min(free, emptyAtOnce) - leaving);
            staying.slice(0, room).forEach(({ vm }) => this.cordon(vm, CordonReason.DueForService));
        }
    }

    private missing(need: PoolNeed): number {
        const mine = this.membersOf(need.pool);
        const capacity = mine.concat(this.view.vms)[0]?.capacity ?? noResources;
        const present = mine.filter(vm => this.counts(vm)).length;
        return wantedVms(need, capacity, this.view) - present;
    }

    private membersOf(pool: string): readonly PlannedVm[] {
        return this.view.vms.filter(vm => vm.pool === pool && vm.phase !== VmPhase.Down);
    }

    private counts({ vm, phase }: PlannedVm): boolean {
        return !this.cordoned.has(vm) && !this.taken.has(vm) && phase !== VmPhase.InService;
    }

    /** Brings VMs into a pool that needs them. */
    private fill(pool: string, missing: number): void {
        let left = missing;
        for (const vm of this.membersOf(pool)) {
            if (left > 0 && this.cordoned.has(vm.vm) && !this.isLeavingForService(vm)) {
                this.uncordon(vm.vm);
                left--;
            }
        }
        while (left > 0) {
            const vm = this.bestFor(pool);
            if (vm === undefined) {
                return;
            }
            this.taken.add(vm.vm);
            this.actions.push({ kind: "move", vm: vm.vm, pool });
            left--;
        }
    }

    /** Brings a VM for each kind of step that no VM of the pool can run. */
    private rescue({ pool, stranded }: PoolNeed): void {
        for (const step of stranded) {
            const vm = this.bestFor(pool, candidate => couldRun(step, candidate));
            if (vm !== undefined) {
                this.taken.add(vm.vm);
                this.actions.push({ kind: "move", vm: vm.vm, pool });
            }
        }
    }

    /** The VM to bring into a pool: parked or idle elsewhere, rather serviced already, of a rack that it has few of. */
    private bestFor(pool: string, isFit: (vm: PlannedVm) => boolean = () => true): PlannedVm | undefined {
        const racks = new Map<string, number>();
        for (const { rack } of this.membersOf(pool)) {
            racks.set(rack, (racks.get(rack) ?? 0) + 1);
        }
        const free = this.view.vms.filter(vm =>
            isFit(vm) && vm.isFree && vm.phase === VmPhase.Up && vm.pool !== pool && vm.runs === 0
            && !this.taken.has(vm.vm)
            && (vm.pool === this.spare || this.cordoned.has(vm.vm))
        );
        return free.sort((a, b) =>
            Number(a.dueWave !== undefined) - Number(b.dueWave !== undefined)
            || (racks.get(a.rack) ?? 0) - (racks.get(b.rack) ?? 0)
        )[0];
    }

    /** Empties VMs that a pool does not need. */
    private shed(pool: string, surplus: number): void {
        if (surplus <= 0 || this.spare === undefined) {
            return;
        }
        const idlest = this.membersOf(pool)
            .filter(vm => this.counts(vm) && vm.phase === VmPhase.Up && vm.services === 0 && vm.isUsable)
            .sort((a, b) =>
                Number(a.dueWave === undefined) - Number(b.dueWave === undefined) || a.runs - b.runs
            );
        idlest.slice(0, surplus).forEach(({ vm }) => this.cordon(vm, CordonReason.Surplus));
    }

    /** Parks VMs that have been emptied. */
    private park(): void {
        const { spare } = this;
        if (spare === undefined) {
            return;
        }
        for (const vm of this.view.vms) {
            const isEmptied = vm.isCordoned && vm.isFree && vm.runs === 0 && vm.phase === VmPhase.Up;
            if (isEmptied && vm.pool !== spare && !this.taken.has(vm.vm) && this.cordoned.has(vm.vm)) {
                this.taken.add(vm.vm);
                this.actions.push({ kind: "move", vm: vm.vm, pool: spare });
            }
        }
    }

    private isLeavingForService({ dueWave }: PlannedVm): boolean {
        return dueWave !== undefined
            && this.view.waves.some(({ wave, emptyAtOnce }) => wave === dueWave && emptyAtOnce > 0);
    }

    private cordon(vm: string, why: CordonReason): void {
        this.cordoned.add(vm);
        this.actions.push({ kind: "cordon", vm, why });
    }

    private uncordon(vm: string): void {
        this.cordoned.delete(vm);
        this.actions.push({ kind: "uncordon", vm });
    }
}
