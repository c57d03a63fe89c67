/**
 * Speed limits of best-effort runs that share a worker with a service with a tail latency target. A burst of load
 * raises the service's tail latency within a second, so the runs beside it are throttled at once and sped up
 * gradually.
 */
import { type RunRecord, StartStatus } from "./records.js";

/** A change of a run's speed limit. */
export interface PaceChange {
    readonly record: RunRecord;
    /** Share of full speed, in percent. */
    readonly percent: number;
}

/** Ratio of tail latency to target from which best-effort runs are slowed. */
const throttleThreshold = 0.8;
/** Ratio of tail latency to target below which best-effort runs are sped up. */
const recoveryThreshold = 0.55;
/** Increase of a throttled run's speed limit at each check. */
const recoveryStepPercent = 10;
const fullPacePercent = 100;

/** Computes the speed limits of best-effort runs on one worker; returns those that change. */
export function planPaceChanges(records: readonly RunRecord[]): readonly PaceChange[] {
    const latencyRatio = Math.max(0, ...records.map(tailLatencyRatio));
    const changes: PaceChange[] = [];
    for (const record of records) {
        if (record.step.isBestEffort && record.start === StartStatus.Confirmed) {
            const percent = nextPacePercent(record.pacePercent, latencyRatio);
            if (percent !== record.pacePercent) {
                changes.push({ record, percent });
            }
        }
    }
    return changes;
}

function tailLatencyRatio({ step, lastReading: reading, start }: RunRecord): number {
    const counts = step.tailTargetMs > 0 && !step.isBestEffort && start === StartStatus.Confirmed;
    return counts ? reading / step.tailTargetMs : 0;
}

function nextPacePercent(pace: number, latencyRatio: number): number {
    if (latencyRatio >= 1) {
        return 0;
    }
    if (latencyRatio >= throttleThreshold) {
        return Math.floor(pace / 2);
    }
    return latencyRatio < recoveryThreshold ? Math.min(fullPacePercent, pace + recoveryStepPercent) : pace;
}
