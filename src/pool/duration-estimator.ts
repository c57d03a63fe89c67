/** Run time estimates by queue. Callers' estimates are off by half or more; the queue's history corrects them. */

/** Weight of the newest run in the exponential moving average. */
const smoothingFactor = 0.05;
/** Estimate for a queue without history when the caller gave none. */
const defaultDurationMs = 1000;
/** Number of runs from which the average weighs as much as the caller's estimate. */
const fullWeightRuns = 10;

interface MovingAverage {
    ms: number;
    runs: number;
}

/** Estimates run times from callers' estimates and past runs. */
export class DurationEstimator {
    private readonly averages = new Map<string, MovingAverage>();

    static create(): DurationEstimator {
        return new DurationEstimator();
    }

    /** Adds a run that took `ms` milliseconds. */
    record(queue: string, ms: number): void {
        const average = this.averages.get(queue);
        if (average === undefined) {
            this.averages.set(queue, { ms, runs: 1 });
            return;
        }
        average.runs++;
        average.ms += (ms - average.ms) * Math.max(smoothingFactor, 1 / average.runs);
    }

    /** Expected duration of a run, in milliseconds: geometric mean of the caller's estimate and the average. */
    estimate(queue: string, estimateMs: number): number {
        const average = this.averages.get(queue);
        const estimate = estimateMs > 0 ? estimateMs : average?.ms ?? defaultDurationMs;
        if (average === undefined) {
            return estimate;
        }
        const weight = Math.min(1, average.runs / fullWeightRuns) / 2;
        return estimate ** (1 - weight) * average.ms ** weight;
    }
}
