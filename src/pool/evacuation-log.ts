/** Logs which evacuated zones an owner starts nothing in: one line for each zone and order, not one for each task. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { JobRegistry } from "./job-registry.js";
import type { EvacuatedZones } from "./ports.js";
import type { WorkerState } from "./worker-registry.js";

/** Options of `EvacuationLog.create`. */
export interface EvacuationLogOptions {
    readonly zones: EvacuatedZones;
    readonly log: Log;
}

/** Log of the zones in which a tenure starts nothing. */
export class EvacuationLog {
    /** Version of the last order that was logged, by zone. */
    private readonly logged = new Map<string, number>();

    private constructor(private readonly options: EvacuationLogOptions) {}

    static create(options: EvacuationLogOptions): EvacuationLog {
        return new EvacuationLog(options);
    }

    /** Logs the orders that keep work off workers now and were not logged before. */
    report(workers: Iterable<WorkerState>, jobs: Pick<JobRegistry, "openTaskCount">): void {
        const { zones, log } = this.options;
        for (const { zone, version, ageMs } of zones.orders) {
            const waitingTasks = this.logged.get(zone) === version ? 0 : jobs.openTaskCount;
            if (waitingTasks > 0) {
                this.logged.set(zone, version);
                const inZone = [...workers].filter(({ listed }) => listed.zone === zone);
                log.write(Severity.Info, EventId.StartsPrevented, {
                    zone,
                    version,
                    ageMs: Math.round(ageMs),
                    workers: inZone.length,
                    waitingTasks,
                });
            }
        }
    }
}
