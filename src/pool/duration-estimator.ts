/** Learned run times by queue. Callers' estimates are off by half or more; a queue's own history corrects them. */

/** Weight of the newest run in the moving average. */
const smoothingFactor = 0.05;
/** Assumed for a queue without history when the caller gave no estimate, in milliseconds. */
const defaultDurationMs = 1000;
/** Runs after which the average is trusted as much as the estimate. */
const fullWeightRuns = 10;

interface MovingAverage {
    ms: number;
    runs: number;
}

/** Run times seen so far. */
export class DurationEstimator {
    private readonly averages = new Map<string, MovingAverage>();

    static create(): DurationEstimator {
        return new DurationEstimator();
    }

    /** Notes that a run took `ms` milliseconds. */
    record(queue: string, ms: number): void {
        const average = this.averages.get(queue);
        if (average === undefined) {
            this.averages.set(queue, { ms, runs: 1 });
            return;
        }
        average.runs++;
        average.ms += (ms - average.ms) * Math.max(smoothingFactor, 1 / average.runs);
    }

    /** Expected duration of a run, in milliseconds: the geometric mean of the estimate and what was learned. */
    estimate(queue: string, estimateMs: number): number {
        const average = this.averages.get(queue);
        const estimate = estimateMs > 0 ? estimateMs : average?.ms ?? defaultDurationMs;
        if (average === undefined) {
            return estimate;
        }
        const trust = Math.min(1, average.runs / fullWeightRuns) / 2;
        return estimate ** (1 - trust) * average.ms ** trust;
    }
}
