/** Table of the lists that operators set, the maintenance waves that they order, and the zones that they evacuate. */
import type { RowRange, StoredRow } from "../process/rows.js";
import type { ZoneChange } from "./zone-evacuations.js";

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
    /** Zones that were evacuated or restored. */
    readonly zones: readonly ZoneChange[];
}

/** Table of the platform in which operators keep the lists and order waves. */
export interface OperatorTable {
    readonly name: string;
    /** Range of the keys of the rows about zones. */
    readonly zoneRange: Pick<RowRange, "from" | "to">;
    /** Decodes rows of the table, in the order of their versions. */
    decode(rows: readonly StoredRow[]): OperatorUpdate;
}
