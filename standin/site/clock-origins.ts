/** What the clocks of stand-in workers show when their incarnations start. The platform only says that they start anew. */
import { namedRandom } from "./named-random.js";

/** Value of an incarnation's clock at its start, in milliseconds. `startedAtMs` is the Unix time of the start. */
export type ClockOrigin = (worker: string, startedAtMs: number) => number;

/** Clocks of all incarnations start at zero. */
export const zeroOrigin: ClockOrigin = () => 0;

/** Each incarnation's clock starts an hour before that of the one before, far above zero. */
export function fallingOrigins(): ClockOrigin {
    const startsLeft = new Map<string, number>();
    return worker => {
        const left = startsLeft.get(worker) ?? maxFallingStarts;
        startsLeft.set(worker, left - 1);
        return left * hourMs;
    };
}

const hourMs = 3600_000;
const maxFallingStarts = 24;
const longestOriginMs = 2 * hourMs;
/** Largest distance of origins that lie near each other: longer than any lease. */
const nearMs = 10_000;

/**
 * Origins anywhere between zero and two hours, by a seed: some near zero, some near those of the worker's other incarnations,
 * others anywhere.
 */
export function seededOrigins(seed: number): ClockOrigin {
    return (worker, startedAtMs) => {
        const ofWorker = namedRandom(seed, worker).int(longestOriginMs);
        const random = namedRandom(seed, `${worker}@${startedAtMs}`);
        switch (random.int(4)) {
            case 0:
                return random.int(nearMs);
            case 1:
                return Math.max(0, ofWorker + random.int(2 * nearMs) - nearMs);
            default:
                return random.int(longestOriginMs);
        }
    };
}
