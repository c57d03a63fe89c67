/** Slot time used lately, by key: sums that fade with time, so that old use weighs less and less. */

/** Time constant by which use fades, in milliseconds. */
export const usageFadeMs = 2000;

interface Faded {
    readonly sum: number;
    readonly at: number;
}

/** Fading sums of slot time. */
export class UsageBook {
    private readonly sums = new Map<string, Faded>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number): UsageBook {
        return new UsageBook(now);
    }

    /** Adds slot time in milliseconds; negative to correct an estimate. */
    add(key: string, ms: number): void {
        this.sums.set(key, { sum: this.of(key) + ms, at: this.now() });
    }

    /** Slot time of a key, faded to now, in milliseconds. */
    of(key: string): number {
        const faded = this.sums.get(key);
        return faded === undefined ? 0 : faded.sum * Math.exp((faded.at - this.now()) / usageFadeMs);
    }
}
