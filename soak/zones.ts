/** Evacuations of availability zones in a round, drawn from its seed. They are planned work: no call is excused for them. */
import { Random } from "../src/process/random.js";

/** An evacuation that is taken back within the round. */
export interface Evacuation {
    readonly zone: string;
    /** Start since the beginning of the traffic, in milliseconds. */
    readonly atMs: number;
    readonly forMs: number;
}

/** Zones of the workers, in turn. */
export const zones: readonly string[] = ["a", "b", "c"];

/** Added to a round's seed, so that its faults stay those of earlier versions. */
const seedOffset = 3;
const meanGapMs = 2000;
/** Longer than the 5 s within which tasks may still start, so that each evacuation is checked. */
const shortestMs = 6500;
const meanExtraMs = 2000;

/** Evacuations in order of their start; at any time at most one zone is evacuated, and none after `lengthMs`. */
export function planEvacuations(seed: number, lengthMs: number): readonly Evacuation[] {
    const random = Random.createFromSmallSeed(seed + seedOffset);
    const evacuations: Evacuation[] = [];
    let at = random.exponential(meanGapMs);
    while (at + shortestMs <= lengthMs) {
        const forMs = Math.floor(Math.min(lengthMs - at, shortestMs + random.exponential(meanExtraMs)));
        evacuations.push({ zone: random.pick(zones), atMs: Math.floor(at), forMs });
        at += forMs + random.exponential(meanGapMs);
    }
    return evacuations;
}
