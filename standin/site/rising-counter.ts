/** Counters of stand-ins of which the platform's protocol promises that they rise, but neither a first value nor a step. */
import type { Random } from "../../src/process/random.js";
import { namedRandom } from "./named-random.js";

/** Options of `RisingCounter.create`. */
export interface RisingCounterOptions {
    readonly seed: number;
    /** Distinguishes the counters of one seed. */
    readonly name: string;
}

/** Limits of the values before the first one: beyond 32 bits, far beyond, and near zero. */
const originLimits = [2 ** 34, 2 ** 45, 10] as const;
const maxStep = 5;
/** Random numbers are integers of at most this many values; a larger one is composed of two. */
const wordSize = 2 ** 24;

/** A counter that starts anywhere and rises by uneven steps, by a seed of its own. */
export class RisingCounter {
    private constructor(private current: number, private readonly random: Random) {}

    static create({ seed, name }: RisingCounterOptions): RisingCounter {
        const random = namedRandom(seed, name);
        const limit = random.pick(originLimits);
        return new RisingCounter((random.int(wordSize) * wordSize + random.int(wordSize)) % limit, random);
    }

    /** The newest value; before the first call of `next` one that is not yet in use. */
    get value(): number {
        return this.current;
    }

    /** Raises the counter and returns its new value. */
    next(): number {
        this.current += 1 + this.random.int(maxStep);
        return this.current;
    }
}
