/** Interface of the platform: rows, objects, the list of VMs, and actions on VMs. Each service has one adapter. */
import type { Row, Write } from "./store.js";

/** Lifecycle state of a VM in the platform's list, which lags behind the actual state. */
export enum VmState {
    Live = "live",
    Leaving = "leaving",
    Failed = "failed",
}

/** A VM in the platform's list. */
export interface Vm {
    readonly id: string;
    readonly pool: string;
    readonly rack: string;
    readonly zone: string;
    /** Origin of the VM's HTTP server, such as `http://10.0.0.7:8080`; for an entry VM, the address for peer links. */
    readonly address: string;
    readonly state: VmState;
    readonly bootId: string;
    /** Unix time of the last boot, in milliseconds. */
    readonly bootedAt: number;
    readonly cores: number;
    readonly memoryGb: number;
    readonly accelerators: number;
    readonly draining: boolean;
}

/** A pool as the platform declares it. */
export interface PoolSpec {
    readonly name: string;
    /** Minimum number of VMs that must stay available. */
    readonly budget: number;
    /** Whether the pool is a spare pool, which lends its VMs to other pools. */
    readonly spare: boolean;
}

/** List of VMs and pools. It lags behind the actual state. */
export interface VmList {
    readonly vms: readonly Vm[];
    readonly pools: readonly PoolSpec[];
}

/** Usage report of one VM. It lags behind the actual state. */
export interface Usage {
    readonly vm: string;
    readonly running: number;
}

/** Result of a transaction as reported by the table service; a conflict lists the keys of the rows that had changed. */
export type TransactResult =
    | { readonly kind: "committed" }
    | { readonly kind: "conflict"; readonly keys: readonly string[] };

/** Client of the platform. Every method rejects with a `PlatformError` when no valid answer arrives. */
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
    /** Reboots the VM if its boot id is still `ifBootId`; resolves with false when it is another. */
    reboot(vm: string, ifBootId: string): Promise<boolean>;
    moveVm(vm: string, pool: string): Promise<void>;
}

/** Name of the pool that holds the entry VMs in the platform's list. */
export const entryPoolName = "entry";
