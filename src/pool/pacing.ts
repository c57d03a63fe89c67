/**
 * How fast best-effort runs may work beside services with a tail target. Answers bursts of load on a service, which
 * raise its tail within a second: what disturbs it is throttled at once and let go again step by step.
 */
import { type RunRecord, StartStatus } from "./job-book.js";

/** A run whose pace is to change. */
export interface PaceChange {
    readonly record: RunRecord;
    /** Share of full speed, in percent. */
    readonly percent: number;
}

/** Share of its target from which a tail counts as near it. */
const throttleThreshold = 0.8;
/** Share of its target below which there is room to let best-effort work go faster. */
const recoveryThreshold = 0.55;
/** Step by which throttled runs are let go, in percent. */
const recoveryStepPercent = 10;
const fullPacePercent = 100;

/** Decides the paces of the best-effort runs on one worker. */
export function planPaceChanges(records: readonly RunRecord[]): readonly PaceChange[] {
    const strain = Math.max(0, ...records.map(tailLatencyRatio));
    const changes: PaceChange[] = [];
    for (const record of records) {
        if (record.step.isBestEffort && record.start === StartStatus.Confirmed) {
            const percent = nextPace(record.pace, strain);
            if (percent !== record.pace) {
                changes.push({ record, percent });
            }
        }
    }
    return changes;
}

function tailLatencyRatio({ step, reading, start }: RunRecord): number {
    const counts = step.tailTargetMs > 0 && !step.isBestEffort && start === StartStatus.Confirmed;
    return counts ? reading / step.tailTargetMs : 0;
}

function nextPace(pace: number, strain: number): number {
    if (strain >= 1) {
        return 0;
    }
    if (strain >= throttleThreshold) {
        return Math.floor(pace / 2);
    }
    return strain < recoveryThreshold ? Math.min(fullPacePercent, pace + recoveryStepPercent) : pace;
}
