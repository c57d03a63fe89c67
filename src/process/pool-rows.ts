/** Rows that celerywind keeps about pools and VMs: disruption permits of each pool, and the pool of each moved VM. */
import { type Row, scanAllRows, type StoreFlow, StorePriority } from "./store.js";

/** How far the servicing of a VM has come. */
export enum PermitPhase {
    /** Entries stop sending and finish what runs. */
    Draining = "draining",
    /** The platform was told to reboot it. */
    Rebooting = "rebooting",
}

/** Leave to take one VM out of service. */
export interface Permit {
    readonly id: string;
    readonly vm: string;
    readonly rack: string;
    readonly phase: PermitPhase;
    /** Boot id at the time the permit was taken; the reboot is conditional on it. */
    readonly bootId: string;
    /** Wall-clock time, in milliseconds. */
    readonly takenAt: number;
}

/** Value of a pool's row. */
export interface PoolRow {
    /** Permits by VM id. */
    readonly permits: Readonly<Record<string, Permit>>;
    /** Number of VMs that were moved into or out of the pool so far. */
    readonly moves?: number;
}

/** A pool without permits. */
export const emptyPoolRow: PoolRow = { permits: {} };

/** Value of a moved VM's row. */
export interface VmRow {
    readonly pool: string;
    /** Pool that the VM returns to, while it is lent. */
    readonly home?: string;
}

const poolRowPrefix = "fleet/pool/";
const vmRowPrefix = "fleet/vm/";

/** Key of a pool's row. */
export function poolRowKey(pool: string): string {
    return poolRowPrefix + pool;
}

/** Key of a VM's row. */
export function vmRowKey(vm: string): string {
    return vmRowPrefix + vm;
}

/** Reads the rows of all members, pools and moved VMs. */
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
    const under = rows.filter(row => row.key.startsWith(prefix));
    return new Map(under.map(row => [row.key.slice(prefix.length), row.value as T]));
}
