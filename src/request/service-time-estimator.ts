/** Learned run times by key: moving mean and deviation, for estimated waits and for starts that would be too late. */

const smoothingFactor = 0.05;
const upperEstimateDeviations = 2;

interface Estimate {
    readonly meanMs: number;
    /** Mean absolute deviation from the mean. */
    readonly deviationMs: number;
}

/** Moving estimates of durations by key. */
export class ServiceTimeEstimator {
    private readonly estimates = new Map<string, Estimate>();

    private constructor(private readonly initialMs: number) {}

    static create(initialMs = 50): ServiceTimeEstimator {
        return new ServiceTimeEstimator(initialMs);
    }

    /** Records a duration in milliseconds. */
    record(key: string, ms: number): void {
        const old = this.estimates.get(key) ?? { meanMs: ms, deviationMs: 0 };
        const meanMs = old.meanMs + smoothingFactor * (ms - old.meanMs);
        const deviationMs = old.deviationMs + smoothingFactor * (Math.abs(ms - old.meanMs) - old.deviationMs);
        this.estimates.set(key, { meanMs, deviationMs });
    }

    /** The mean of a key in milliseconds. */
    meanMs(key: string): number {
        return this.estimates.get(key)?.meanMs ?? this.initialMs;
    }

    /** A duration in milliseconds that most runs of a key stay below; 0 while nothing was recorded. */
    upperEstimateMs(key: string): number {
        const estimate = this.estimates.get(key);
        return estimate === undefined ? 0 : estimate.meanMs + upperEstimateDeviations * estimate.deviationMs;
    }
}
