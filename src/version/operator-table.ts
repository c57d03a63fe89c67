/** Table of the lists that operators set and the maintenance waves that they order. */
import type { StoredRow } from "../process/rows.js";

/** A maintenance wave: a set of VMs to be serviced within a time limit. */
export interface MaintenanceWave {
    /** Number that identifies the wave. */
    readonly wave: number;
    readonly vms: readonly string[];
    /** Time within which all VMs of the wave are to be serviced, in milliseconds. */
    readonly durationMs: number;
    /** Maximum number of VMs of the wave that may be out of service at once. */
    readonly cap: number;
}

/** Changes made by operators. */
export interface OperatorUpdate {
    /** Text of the newest lists; undefined when they have not changed. */
    readonly lists?: string;
    /** Waves that were ordered or changed. */
    readonly waves: readonly MaintenanceWave[];
}

/** Table of the platform in which operators keep the lists and order waves. */
export interface OperatorTable {
    readonly name: string;
    /** Decodes rows of the table, in the order of their versions. */
    decode(rows: readonly StoredRow[]): OperatorUpdate;
}
