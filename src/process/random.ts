/** Seeded pseudo-random numbers, so that every decision can be reproduced. */
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Number of distinct values of `fraction`. */
const fractionSteps = 0x1000000;
/** Odd multiplier that distributes small numbers over 32 bits: about 2^32 / golden ratio, as in Fibonacci hashing. */
const seedMultiplier = 0x9e3779b1;

/** A sequence of random values that is fully determined by its seed. */
export class Random {
    private constructor(private readonly source: ReturnType<typeof xoroshiro128plus>) {}

    static create(seed: number): Random {
        return new Random(xoroshiro128plus(seed));
    }

    /**
     * Creates a generator from one of a series of small seeds. Unlike with `create`, the first values for consecutive
     * seeds are unrelated.
     */
    static createFromSmallSeed(seed: number): Random {
        return Random.create(Math.imul(seed, seedMultiplier));
    }

    /** A uniformly distributed integer from 0 up to but not including `below`. */
    int(below: number): number {
        return uniformInt(this.source, 0, below - 1);
    }

    /** A uniformly distributed number from 0 up to but not including 1. */
    fraction(): number {
        return this.int(fractionSteps) / fractionSteps;
    }

    /** True with the given probability. */
    chance(probability: number): boolean {
        return this.fraction() < probability;
    }

    /** One element of a non-empty list. */
    pick<T>(list: readonly T[]): T {
        return list[this.int(list.length)]!;
    }

    /** An exponentially distributed value with the given mean. */
    exponential(mean: number): number {
        return -mean * Math.log(1 - this.fraction());
    }
}
