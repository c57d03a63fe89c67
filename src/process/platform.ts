/** The platform's interface: tables, objects, the list of VMs, and the actions on VMs. One adapter a service. */
import type { Row, Write } from "./store.js";

/** Life state of a VM in the platform's list, which lags behind the truth. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
    Failed = "failed",
}

/** One VM of the platform's list. */
export interface Vm {
    readonly id: string;
    readonly pool: string;
    readonly rack: string;
    readonly zone: string;
    /** Origin of the VM's HTTP server, such as `http://10.0.0.7:8080`; for an entry VM its peer link. */
    readonly address: string;
    readonly state: VmState;
    readonly bootId: string;
    /** Wall-clock time of the last boot, in milliseconds. */
    readonly bootedAt: number;
    readonly cores: number;
    readonly memoryGb: number;
    readonly accelerators: number;
    readonly draining: boolean;
}

/** A pool as the platform declares it. */
export interface PoolSpec {
    readonly name: string;
    /** Fewest VMs that must stay available. */
    readonly budget: number;
    /** Whether the pool lends VMs to others. */
    readonly spare: boolean;
}

/** The lagging list of VMs and pools. */
export interface VmList {
    readonly vms: readonly Vm[];
    readonly pools: readonly PoolSpec[];
}

/** A usage report of one VM; it lags. */
export interface Usage {
    readonly vm: string;
    readonly running: number;
}

/** Result of a transaction as the table service states it. */
export type TransactResult =
    | { readonly kind: "committed" }
    | { readonly kind: "conflict"; readonly keys: readonly string[] };

/** The platform. Every method rejects with a `PlatformError` when no sound answer arrives. */
export interface Platform {
    get(key: string): Promise<Row | undefined>;
    scan(prefix: string, after: string, limit: number): Promise<readonly Row[]>;
    transact(writes: readonly Write[]): Promise<TransactResult>;
    putObject(key: string, body: Buffer): Promise<void>;
    getObject(key: string): Promise<Buffer | undefined>;
    deleteObject(key: string): Promise<void>;
    listVms(): Promise<VmList>;
    listUsage(): Promise<readonly Usage[]>;
    drain(vm: string): Promise<void>;
    undrain(vm: string): Promise<void>;
    /** Reboots the VM if it still has the given boot id; resolves false when it has another. */
    reboot(vm: string, ifBootId: string): Promise<boolean>;
    moveVm(vm: string, pool: string): Promise<void>;
}

/** Name of the pool that holds the entry VMs in the platform's list. */
export const entryPoolName = "entry";
