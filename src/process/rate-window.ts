/** Counts events over the last second, to stay within a rate limit that another service enforces. */

const windowMs = 1000;

/** Sliding-window rate counter over one second. */
export class RateWindow {
    private timestamps: number[] = [];

    private constructor(private readonly perSecond: number) {}

    static create(perSecond: number): RateWindow {
        return new RateWindow(perSecond);
    }

    /** Number of further events that the limit permits at `now`, a monotonic time in milliseconds. */
    remaining(now: number): number {
        this.timestamps = this.timestamps.filter(timestamp => now - timestamp < windowMs);
        return Math.max(0, Math.floor(this.perSecond) - this.timestamps.length);
    }

    /** Records `count` events at `now`. */
    record(now: number, count: number): void {
        this.timestamps.push(...Array.from({ length: count }, () => now));
    }
}
