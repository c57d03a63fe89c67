/** Random numbers for one value of a stand-in, apart from those of the site, so that they change none of its other decisions. */
import { Random } from "../../src/process/random.js";

/** A generator for the value `name` under a seed. */
export function namedRandom(seed: number, name: string): Random {
    const hash = [...name].reduce((sum, char) => Math.imul(sum, 31) + char.charCodeAt(0) | 0, seed);
    return Random.createFromSmallSeed(hash);
}
