/** Stops the runs that keep cordoned VMs from being moved or maintained. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Timer } from "../process/timer.js";
import { evictableRuns, hasRoomElsewhere } from "./eviction.js";
import type { EvacuatedZones, InventoryVm } from "./ports.js";
import { StopReason } from "./records.js";
import { shouldStopForWave } from "./scheduling/wave-eviction.js";
import type { Tenure } from "./tenure.js";
import type { WaveTracker } from "./wave-tracker.js";
import type { WorkerState } from "./worker-registry.js";

/** Options of `VmDrainer.create`. */
export interface VmDrainerOptions {
    readonly tenure: Tenure;
    readonly zones: EvacuatedZones;
    readonly waveTracker: WaveTracker;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Duration of a VM's maintenance, in milliseconds. */
    readonly maintenanceMs: number;
    /** Whether VMs are drained because others have room for what runs on them (`vmPacking`). */
    readonly isPacking: boolean;
}

/** A cordoned VM with its worker. */
export interface CordonedVm {
    readonly entry: InventoryVm;
    readonly worker: WorkerState;
}

/** Drains cordoned VMs. */
export class VmDrainer {
    private constructor(private readonly options: VmDrainerOptions) {}

    static create(options: VmDrainerOptions): VmDrainer {
        return new VmDrainer(options);
    }

    /** Stops what may be stopped now on these VMs. */
    drain(vms: readonly CordonedVm[]): void {
        const now = this.options.timer.now();
        for (const vm of vms) {
            vm.worker.isCordoned = true;
            this.evictServices(vm, now);
            this.stopRunsForWave(vm, now);
        }
    }

    /**
     * Stops runs of services as fast as their disruption budgets allow. In an evacuated zone, only those that can start
     * elsewhere: there the alternative is to run on, not to be ended by an order for the VM. The same holds if VMs are packed,
     * for VMs that are not due for maintenance.
     */
    private evictServices({ entry, worker }: CordonedVm, now: number): void {
        const { tenure, zones, isPacking } = this.options;
        const isZoneEvacuated = (zone: string): boolean => zones.isEvacuated(zone);
        const isOptional = isZoneEvacuated(entry.zone) || isPacking && !worker.isMaintenanceDue;
        for (const record of evictableRuns(tenure, worker)) {
            if (!isOptional || hasRoomElsewhere(tenure.workers, record, { isZoneEvacuated, now })) {
                tenure.runController.stop(record, StopReason.VmLeaving);
            }
        }
    }

    /** Stops runs without which the VM would not be maintained before the end of its wave. */
    private stopRunsForWave({ entry, worker }: CordonedVm, now: number): void {
        const { tenure, maintenanceMs, log, metrics, waveTracker } = this.options;
        const wave = waveTracker.dueWave(entry.vm);
        if (wave === undefined || !worker.isReachable) {
            return;
        }
        const timeLeftMs = waveTracker.timeLeftMs(wave, now);
        for (const record of worker.runs.values()) {
            const { step, startedAt, progressPercent, stopReason } = record;
            const run = { step, ageMs: now - startedAt, progressPercent };
            if (stopReason === undefined && shouldStopForWave(run, { timeLeftMs, maintenanceMs })) {
                tenure.runController.stop(record, StopReason.VmLeaving);
                metrics.count("celerywind_runs_stopped_for_waves_total");
                log.write(Severity.Info, EventId.RunStoppedForWave, {
                    task: record.name,
                    run: record.run,
                    vm: entry.vm,
                    wave,
                    timeLeftMs: Math.round(timeLeftMs),
                    ageMs: Math.round(run.ageMs),
                    percent: progressPercent,
                    savesProgress: step.savesProgress,
                });
            }
        }
    }
}
