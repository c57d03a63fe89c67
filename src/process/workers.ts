/** Derives from the fleet view the workers of each pool for routing, with their availability and home entries. */
import type { FleetView } from "./fleet.js";
import { entryPoolName, type Vm, VmState } from "./platform.js";
import { assignEvenly } from "./rendezvous.js";

/** A worker VM as routing uses it. */
export interface WorkerVm {
    readonly vm: Vm;
    /** Effective pool, see `effectivePoolOf`. */
    readonly pool: string;
    /** Whether the worker may receive new work. */
    readonly acceptsWork: boolean;
    /** VM id of the entry that the worker is assigned to; undefined if it accepts no work. */
    readonly home: string | undefined;
}

/** Pool of a VM; the row of a moved VM takes precedence over the platform's list. */
export function effectivePoolOf(view: FleetView, vm: Vm): string {
    return view.vmRows.get(vm.id)?.pool ?? vm.pool;
}

/** Whether a VM is live, not draining and without a permit, as the platform counts it for the disruption budget. */
export function isAvailable(view: FleetView, vm: Vm): boolean {
    const permit = view.poolRows.get(effectivePoolOf(view, vm))?.permits[vm.id];
    return vm.state === VmState.Live && !vm.draining && permit === undefined;
}

/** Whether operators have evacuated the zone of a VM. */
export function isEvacuated(view: FleetView, vm: Pick<Vm, "zone">): boolean {
    return view.evacuatedZones?.has(vm.zone) === true;
}

/** Whether the VM with this id is listed in a zone that operators have evacuated. */
export function isInEvacuatedZone(view: FleetView, id: string): boolean {
    return view.vms.some(vm => vm.id === id && isEvacuated(view, vm));
}

/** Whether a VM may be assigned work: it is available, and its zone is not evacuated. */
export function mayServe(view: FleetView, vm: Vm): boolean {
    return isAvailable(view, vm) && !isEvacuated(view, vm);
}

/** All worker VMs by effective pool; a listed pool without workers has an empty array. */
export function workersByPool(view: FleetView): ReadonlyMap<string, readonly WorkerVm[]> {
    const entries = view.members.live.map(member => member.vm);
    const pools = new Map<string, WorkerVm[]>(view.pools.map(pool => [pool.name, []]));
    for (const vm of view.vms.filter(listed => listed.pool !== entryPoolName)) {
        const pool = effectivePoolOf(view, vm);
        const worker = { vm, pool, acceptsWork: mayServe(view, vm), home: undefined };
        pools.set(pool, [...(pools.get(pool) ?? []), worker]);
    }
    return new Map([...pools].map(([pool, workers]) => [pool, assignHomes(pool, workers, entries)]));
}

/** Cached home entries of one pool's workers; `key` identifies the workers and entries that they were computed for. */
interface HomeAssignment {
    readonly key: string;
    readonly homes: ReadonlyMap<string, string>;
}

const homeAssignments = new Map<string, HomeAssignment>();

/** Home entry of each available worker, recomputed only when the pool's available workers or the entries change. */
function homesByWorker(
    pool: string,
    available: readonly string[],
    entries: readonly string[],
): ReadonlyMap<string, string> {
    const key = `${available.join(" ")}|${entries.join(" ")}`;
    const cached = homeAssignments.get(pool);
    if (cached?.key === key) {
        return cached.homes;
    }
    const homes = assignEvenly(available, entries);
    homeAssignments.set(pool, { key, homes });
    return homes;
}

/** Assigns a pool's available workers evenly to the entries. The others receive no new work and get no home. */
function assignHomes(
    pool: string,
    workers: readonly WorkerVm[],
    entries: readonly string[],
): readonly WorkerVm[] {
    const available = workers.filter(worker => worker.acceptsWork).map(worker => worker.vm.id);
    const homes = homesByWorker(pool, available, entries);
    return workers.map(worker => ({ ...worker, home: homes.get(worker.vm.id) }));
}

/** Minimum number of available VMs of a pool, its disruption budget; 0 if the platform does not list the pool. */
export function minAvailableOf(view: FleetView, pool: string): number {
    return view.pools.find(spec => spec.name === pool)?.budget ?? 0;
}
