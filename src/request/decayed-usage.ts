/** Slot time used lately, by key: sums that fade with time, so that old use weighs less and less. */

/** Time constant by which use fades, in milliseconds. */
export const usageTimeConstantMs = 2000;

interface DecayedSum {
    readonly sum: number;
    readonly updatedAt: number;
}

/** Fading sums of slot time. */
export class DecayedUsage {
    private readonly sums = new Map<string, DecayedSum>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number): DecayedUsage {
        return new DecayedUsage(now);
    }

    /** Adds slot time in milliseconds; negative to correct an estimate. */
    add(key: string, ms: number): void {
        this.sums.set(key, { sum: this.get(key) + ms, updatedAt: this.now() });
    }

    /** Slot time of a key, faded to now, in milliseconds. */
    get(key: string): number {
        const faded = this.sums.get(key);
        return faded === undefined
            ? 0
            : faded.sum * Math.exp((faded.updatedAt - this.now()) / usageTimeConstantMs);
    }
}
