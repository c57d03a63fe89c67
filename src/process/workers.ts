/** The workers of each pool as routing needs them, derived from the fleet view. */
import type { FleetView } from "./fleet.js";
import { entryPool, type Vm, VmState } from "./platform.js";
import { responsibleFor } from "./rendezvous.js";

/** A worker VM with its effective pool and whether it may get new work. */
export interface WorkerVm {
    readonly vm: Vm;
    readonly pool: string;
    readonly isOpen: boolean;
    /** VM id of the entry that the worker is homed at. */
    readonly home: string | undefined;
}

/** Pool of a VM: the row of a moved VM goes before the platform's list. */
export function poolOf(view: FleetView, vm: Vm): string {
    return view.vmRows.get(vm.id)?.pool ?? vm.pool;
}

/** Whether a VM is fit for new work and counts as available. */
export function isAvailable(view: FleetView, vm: Vm): boolean {
    const permit = view.poolRows.get(poolOf(view, vm))?.permits[vm.id];
    return vm.state === VmState.Live && !vm.draining && permit === undefined;
}

/** All worker VMs, by pool. */
export function workersByPool(view: FleetView): ReadonlyMap<string, readonly WorkerVm[]> {
    const entries = view.members.live.map(member => member.vm);
    const pools = new Map<string, WorkerVm[]>(view.pools.map(pool => [pool.name, []]));
    for (const vm of view.vms.filter(other => other.pool !== entryPool)) {
        const pool = poolOf(view, vm);
        const worker = { vm, pool, isOpen: isAvailable(view, vm), home: responsibleFor(vm.id, entries) };
        pools.set(pool, [...(pools.get(pool) ?? []), worker]);
    }
    return pools;
}

/** Fewest available VMs a pool must keep. */
export function budgetOf(view: FleetView, pool: string): number {
    return view.pools.find(spec => spec.name === pool)?.budget ?? 0;
}
