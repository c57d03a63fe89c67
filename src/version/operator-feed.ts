/** What operators tell the fleet: their lists and the waves of VM service they ask for. */

/** A wave of VM service. */
export interface MaintenanceWave {
    readonly wave: number;
    readonly vms: readonly string[];
    /** Time within which all are to be serviced, in milliseconds. */
    readonly durationMs: number;
    /** Most VMs of the wave that may be out of service at once. */
    readonly cap: number;
}

/** News from operators. */
export interface OperatorUpdate {
    /** Version of the store up to which this is complete. */
    readonly version: number;
    /** Text of the newest lists, when they are among the news. */
    readonly lists?: string;
    readonly waves: readonly MaintenanceWave[];
}

/** Source of news; rejects when it cannot be read. */
export interface OperatorFeed {
    /** Everything, or with a version only what has changed since; waits a while for a change. */
    next(sinceVersion: number | undefined): Promise<OperatorUpdate>;
}
