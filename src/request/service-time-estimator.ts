/**
 * Estimates service times by key from an exponentially weighted mean and mean deviation. They give the expected wait,
 * and the latest start at which a request can still meet its deadline.
 */

const smoothingFactor = 0.05;
const upperEstimateDeviations = 2;

interface Estimate {
    readonly meanMs: number;
    /** Exponentially weighted mean of the absolute deviation. */
    readonly deviationMs: number;
}

/** Moving estimates of durations; `initialMs` is the mean of a key without records. */
export class ServiceTimeEstimator {
    private readonly estimates = new Map<string, Estimate>();

    private constructor(private readonly initialMs: number) {}

    static create(initialMs = 50): ServiceTimeEstimator {
        return new ServiceTimeEstimator(initialMs);
    }

    record(key: string, ms: number): void {
        const old = this.estimates.get(key) ?? { meanMs: ms, deviationMs: 0 };
        const meanMs = old.meanMs + smoothingFactor * (ms - old.meanMs);
        const deviationMs = old.deviationMs + smoothingFactor * (Math.abs(ms - old.meanMs) - old.deviationMs);
        this.estimates.set(key, { meanMs, deviationMs });
    }

    /** Mean duration of a key in milliseconds. */
    meanMs(key: string): number {
        return this.estimates.get(key)?.meanMs ?? this.initialMs;
    }

    /** Duration in milliseconds that most runs of a key stay below; 0 while the key has no records. */
    upperEstimateMs(key: string): number {
        const estimate = this.estimates.get(key);
        return estimate === undefined ? 0 : estimate.meanMs + upperEstimateDeviations * estimate.deviationMs;
    }
}
