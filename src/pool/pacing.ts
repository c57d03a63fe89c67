/**
 * How fast best-effort runs may work beside services with a tail target. Answers bursts of load on a service, which
 * raise its tail within a second: what disturbs it is throttled at once and let go again step by step.
 */
import { type RunRecord, StartStatus } from "./job-registry.js";

/** A run whose pace is to change. */
export interface PaceChange {
    readonly record: RunRecord;
    /** Share of full speed, in percent. */
    readonly percent: number;
}

/** Share of its target from which a tail counts as near it. */
const nearTarget = 0.8;
/** Share of its target below which there is room to let best-effort work go faster. */
const farFromTarget = 0.55;
/** Step by which throttled runs are let go, in percent. */
const recoveryStep = 10;
const fullPace = 100;

/** Decides the paces of the best-effort runs on one worker. */
export function decidePaces(records: readonly RunRecord[]): readonly PaceChange[] {
    const strain = Math.max(0, ...records.map(strainOf));
    const changes: PaceChange[] = [];
    for (const record of records) {
        if (record.step.isBestEffort && record.start === StartStatus.Confirmed) {
            const percent = nextPace(record.pacePercent, strain);
            if (percent !== record.pacePercent) {
                changes.push({ record, percent });
            }
        }
    }
    return changes;
}

function strainOf({ step, lastReading: reading, start }: RunRecord): number {
    const counts = step.tailTargetMs > 0 && !step.isBestEffort && start === StartStatus.Confirmed;
    return counts ? reading / step.tailTargetMs : 0;
}

function nextPace(pace: number, strain: number): number {
    if (strain >= 1) {
        return 0;
    }
    if (strain >= nearTarget) {
        return Math.floor(pace / 2);
    }
    return strain < farFromTarget ? Math.min(fullPace, pace + recoveryStep) : pace;
}
