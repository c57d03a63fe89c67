/** Learned run times: a moving mean a key, used for estimated waits and for holding the slots of fast failures. */

const smoothing = 0.05;

/** Moving means of durations by key. */
export class ServiceTimes {
    private readonly means = new Map<string, number>();

    private constructor(private readonly initialMs: number) {}

    static create(initialMs = 50): ServiceTimes {
        return new ServiceTimes(initialMs);
    }

    /** Records a duration in milliseconds. */
    record(key: string, ms: number): void {
        const mean = this.means.get(key);
        this.means.set(key, mean === undefined ? ms : mean + smoothing * (ms - mean));
    }

    /** The mean of a key in milliseconds. */
    mean(key: string): number {
        return this.means.get(key) ?? this.initialMs;
    }
}
