/** Counts events over the last second, to stay within a rate that someone else enforces. */

const windowMs = 1000;

/** A sliding window of one second. */
export class RateWindow {
    private timestamps: number[] = [];

    private constructor(private readonly perSecond: number) {}

    static create(perSecond: number): RateWindow {
        return new RateWindow(perSecond);
    }

    /** How many more events the second up to `now` (monotonic, in milliseconds) has room for. */
    remaining(now: number): number {
        this.timestamps = this.timestamps.filter(at => now - at < windowMs);
        return Math.max(0, Math.floor(this.perSecond) - this.timestamps.length);
    }

    /** Notes events. */
    record(now: number, count: number): void {
        this.timestamps.push(...Array.from({ length: count }, () => now));
    }
}
