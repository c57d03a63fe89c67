/**
 * Which runs are stopped so that a maintenance wave ends in time.
 *
 * Load pattern: a wave over half of the VMs beside a full load in which a few tasks take many times as long as the rest. A VM
 * that is drained for the wave waits for the last of its runs, which may end seconds after the wave should have.
 */
import type { StepSpec } from "../../job/index.js";

/** A run on a VM that is being drained for a wave. */
export interface DrainedRun {
    readonly step: Pick<StepSpec, "isService" | "savesProgress" | "isGang">;
    /** Time for which it has been at work, in milliseconds. */
    readonly ageMs: number;
    /** Progress as last reported, in percent. */
    readonly progressPercent: number;
}

/** Time that is left for a VM of the wave. */
export interface WaveDeadline {
    /** Time until the wave should have ended, in milliseconds. */
    readonly timeLeftMs: number;
    /** Duration of a VM's maintenance, in milliseconds. */
    readonly maintenanceMs: number;
}

/** Time for the stop of a run, the report of its end and the order for its VM, in milliseconds. */
const stopOverheadMs = 1500;
/**
 * Time before the latest stop from which a run that saves its progress is stopped if it will not end by itself. It loses no
 * more than the work since its last checkpoint, and its VM does not compete with the last ones for the wave's cap.
 */
const earlyStopMs = 4000;

/** Whether a run should be stopped now for its VM to be maintained in time. Services leave by their disruption budget. */
export function shouldStopForWave(
    { step, ageMs, progressPercent }: DrainedRun,
    { timeLeftMs, maintenanceMs }: WaveDeadline,
): boolean {
    const untilLatestStopMs = timeLeftMs - maintenanceMs - stopOverheadMs;
    if (step.isService || step.isGang) {
        return false;
    }
    return untilLatestStopMs <= 0
        || step.savesProgress && untilLatestStopMs <= earlyStopMs
            && remainingMs(ageMs, progressPercent) > untilLatestStopMs;
}

/** Expected time until a run ends, at the speed of its progress until now; infinite without progress. */
function remainingMs(ageMs: number, progressPercent: number): number {
    return progressPercent <= 0 ? Infinity : ageMs * (100 - progressPercent) / progressPercent;
}
