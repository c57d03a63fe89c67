/** Stored rows of pools and VMs: the disruption permits of each pool, and the current pool of each moved VM. */
import { type Row, scanAllRows, type StoreFlow, StorePriority } from "./store.js";

/** Phase of the maintenance of a VM. */
export enum PermitPhase {
    /** Entries send no new work to the VM, and running work completes. */
    Draining = "draining",
    /** The VM is drained. The request to reboot it is repeated until the VM is seen to restart. */
    Rebooting = "rebooting",
}

/** Disruption permit: allows taking one VM out of service. */
export interface Permit {
    readonly id: string;
    readonly vm: string;
    readonly rack: string;
    readonly phase: PermitPhase;
    /** Boot id of the VM when the permit was taken. The reboot is conditional on it, so that it happens only once. */
    readonly bootId: string;
    /** Wall-clock time, in milliseconds. */
    readonly takenAt: number;
}

/** Value of a pool's row. */
export interface PoolRow {
    /** Permits by VM id. */
    readonly permits: Readonly<Record<string, Permit>>;
    /** Number of moves of VMs into or out of the pool so far; an absent field means 0. */
    readonly moves?: number;
}

/** A pool without permits. */
export const emptyPoolRow: PoolRow = { permits: {} };

/** Value of a moved VM's row. */
export interface VmRow {
    readonly pool: string;
    /** Pool that the VM belongs to when it is not lent. */
    readonly home?: string;
}

const poolRowPrefix = "fleet/pool/";
const vmRowPrefix = "fleet/vm/";

export function poolRowKey(pool: string): string {
    return poolRowPrefix + pool;
}

export function vmRowKey(vm: string): string {
    return vmRowPrefix + vm;
}

/** Reads all rows of members, pools and moved VMs. */
export function* readFleetRows(): StoreFlow<readonly Row[]> {
    return yield* scanAllRows({ prefix: "fleet/", priority: StorePriority.Claim });
}

/** The pool rows among `rows`, by pool. */
export function poolRowsOf(rows: readonly Row[]): ReadonlyMap<string, PoolRow> {
    return valuesWithPrefix<PoolRow>(rows, poolRowPrefix);
}

/** The rows of moved VMs among `rows`, by VM id. */
export function vmRowsOf(rows: readonly Row[]): ReadonlyMap<string, VmRow> {
    return valuesWithPrefix<VmRow>(rows, vmRowPrefix);
}

function valuesWithPrefix<T>(rows: readonly Row[], prefix: string): ReadonlyMap<string, T> {
    const matching = rows.filter(row => row.key.startsWith(prefix));
    return new Map(matching.map(row => [row.key.slice(prefix.length), row.value as T]));
}
