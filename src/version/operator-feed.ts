/** Feed of the lists that operators set and the maintenance waves that they order. */

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
    /** Store version up to which the update is complete. */
    readonly version: number;
    /** Text of the newest lists; undefined when they have not changed. */
    readonly lists?: string;
    /** Waves that were ordered or changed. */
    readonly waves: readonly MaintenanceWave[];
}

/** Source of operator updates. */
export interface OperatorFeed {
    /**
     * Resolves with the complete lists and waves, or with a version with the changes since then, for which it waits a
     * limited time. Rejects when the source cannot be read.
     */
    next(sinceVersion: number | undefined): Promise<OperatorUpdate>;
}
