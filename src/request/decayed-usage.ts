/** Recently used slot time by key: sums with exponential decay. */

/** Time constant of the decay in milliseconds. */
export const usageTimeConstantMs = 2000;

interface DecayedSum {
    readonly sum: number;
    readonly updatedAt: number;
}

/** Exponentially decaying sums of slot time. */
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

    /** Slot time of a key, decayed to the current time, in milliseconds. */
    get(key: string): number {
        const decayed = this.sums.get(key);
        return decayed === undefined
            ? 0
            : decayed.sum * Math.exp((decayed.updatedAt - this.now()) / usageTimeConstantMs);
    }
}
