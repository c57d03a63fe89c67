/** The workers of each pool as routing needs them, derived from the fleet view. */
import type { FleetView } from "./fleet.js";
import { entryPoolName, type Vm, VmState } from "./platform.js";
import { assignEvenly } from "./rendezvous.js";

/** A worker VM with its effective pool and whether it may get new work. */
export interface WorkerVm {
    readonly vm: Vm;
    readonly pool: string;
    readonly acceptsWork: boolean;
    /** VM id of the entry that the worker is homed at. */
    readonly home: string | undefined;
}

/** Pool of a VM: the row of a moved VM goes before the platform's list. */
export function effectivePoolOf(view: FleetView, vm: Vm): string {
    return view.vmRows.get(vm.id)?.pool ?? vm.pool;
}

/** Whether a VM is fit for new work and counts as available. */
export function isAvailable(view: FleetView, vm: Vm): boolean {
    const permit = view.poolRows.get(effectivePoolOf(view, vm))?.permits[vm.id];
    return vm.state === VmState.Live && !vm.draining && permit === undefined;
}

/** All worker VMs, by pool. */
export function workersByPool(view: FleetView): ReadonlyMap<string, readonly WorkerVm[]> {
    const entries = view.members.live.map(member => member.vm);
    const pools = new Map<string, WorkerVm[]>(view.pools.map(pool => [pool.name, []]));
    for (const vm of view.vms.filter(other => other.pool !== entryPoolName)) {
        const pool = effectivePoolOf(view, vm);
        const worker = { vm, pool, acceptsWork: isAvailable(view, vm), home: undefined };
        pools.set(pool, [...(pools.get(pool) ?? []), worker]);
    }
    return new Map([...pools].map(([pool, workers]) => [pool, assignHomes(pool, workers, entries)]));
}

/** Homes of one pool's workers, with the workers and entries that they were dealt for. */
interface HomeAssignment {
    readonly key: string;
    readonly homes: ReadonlyMap<string, string>;
}

const homeAssignments = new Map<string, HomeAssignment>();

/** Deals out homes again only when the pool's open workers or the entries have changed. */
function homesByWorker(
    pool: string,
    open: readonly string[],
    entries: readonly string[],
): ReadonlyMap<string, string> {
    const key = `${open.join(" ")}|${entries.join(" ")}`;
    const known = homeAssignments.get(pool);
    if (known?.key === key) {
        return known.homes;
    }
    const homes = assignEvenly(open, entries);
    homeAssignments.set(pool, { key, homes });
    return homes;
}

/** Homes open workers evenly at the entries, pool by pool; closed ones get no new work and need no home. */
function assignHomes(
    pool: string,
    workers: readonly WorkerVm[],
    entries: readonly string[],
): readonly WorkerVm[] {
    const open = workers.filter(worker => worker.acceptsWork).map(worker => worker.vm.id);
    const homes = homesByWorker(pool, open, entries);
    return workers.map(worker => ({ ...worker, home: homes.get(worker.vm.id) }));
}

/** Fewest available VMs a pool must keep. */
export function minAvailableOf(view: FleetView, pool: string): number {
    return view.pools.find(spec => spec.name === pool)?.budget ?? 0;
}
