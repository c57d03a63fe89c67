/** Run time estimates by queue. Callers' estimates are off by half or more; the queue's history corrects them. */
import type { RunTimeDistributions } from "./scheduling/run-time-distributions.js";

/** Weight of the newest run in the exponential moving average. */
const smoothingFactor = 0.05;
/** Estimate for a queue without history when the caller gave none. */
const defaultDurationMs = 1000;
/** Number of runs from which the average weighs as much as the caller's estimate. */
const fullWeightRuns = 10;
/** Share of the runs that take no longer than `upperEstimate`. Three of 100 tasks take many times as long as the rest. */
const upperQuantile = 0.9;

interface MovingAverage {
    ms: number;
    runs: number;
}

/** Estimates run times from callers' estimates and past runs: from moving averages, or from distributions if there are any. */
export class DurationEstimator {
    private readonly averages = new Map<string, MovingAverage>();

    private constructor(private readonly distributions: RunTimeDistributions | undefined) {}

    /** Creates an estimator that uses the given distributions; by default, one that uses moving averages. */
    static create(distributions?: RunTimeDistributions): DurationEstimator {
        return new DurationEstimator(distributions);
    }

    /** Adds a run that took `ms` milliseconds and whose caller estimated `estimateMs`, or 0 if there is no estimate. */
    record(queue: string, ms: number, estimateMs = 0): void {
        if (this.distributions !== undefined) {
            this.distributions.record(queue, ms, estimateMs);
            return;
        }
        const average = this.averages.get(queue);
        if (average === undefined) {
            this.averages.set(queue, { ms, runs: 1 });
            return;
        }
        average.runs++;
        average.ms += (ms - average.ms) * Math.max(smoothingFactor, 1 / average.runs);
    }

    /**
     * Expected duration of a run, in milliseconds: the median of the queue's distribution, or the geometric mean of the caller's
     * estimate and the average.
     */
    estimate(queue: string, estimateMs: number): number {
        if (this.distributions !== undefined) {
            return this.distributions.quantile(queue, estimateMs, 0.5, defaultDurationMs);
        }
        const average = this.averages.get(queue);
        const estimate = estimateMs > 0 ? estimateMs : average?.ms ?? defaultDurationMs;
        if (average === undefined) {
            return estimate;
        }
        const weight = Math.min(1, average.runs / fullWeightRuns) / 2;
        return estimate ** (1 - weight) * average.ms ** weight;
    }

    /** Duration in milliseconds that nine of ten runs do not exceed; without distributions, the expected one. */
    upperEstimate(queue: string, estimateMs: number): number {
        return this.distributions?.quantile(queue, estimateMs, upperQuantile, defaultDurationMs)
            ?? this.estimate(queue, estimateMs);
    }

    /** Expected remaining time in milliseconds of a run that has been at work for `elapsedMs`. */
    remaining(queue: string, estimateMs: number, elapsedMs: number): number {
        return this.distributions?.remaining(queue, estimateMs, elapsedMs, defaultDurationMs)
            ?? Math.max(0, this.estimate(queue, estimateMs) - elapsedMs);
    }
}
