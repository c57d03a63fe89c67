/** Load balancing: selects the worker for a request by the configured policy. Free of side effects. */
import type { Random } from "../process/random.js";
import { SlotPolicyKind } from "../process/slots.js";

/** A worker that is eligible for the next request. */
export interface Candidate {
    readonly vm: string;
    /** Known requests and tasks on the worker, counted by this entry or received by gossip. */
    readonly load: number;
    /** Maximum number of concurrent requests and tasks. */
    readonly capacity: number;
    /** Whether the worker is homed at this entry. */
    readonly isHome: boolean;
    /** Whether the worker is in this entry's availability zone. */
    readonly isSameZone: boolean;
}

/** Options of `pickWorker`. */
export interface PickWorkerOptions {
    readonly policy: SlotPolicyKind;
    readonly candidates: readonly Candidate[];
    readonly random: Random;
}

/** Selects a worker; undefined when no candidate is known to have a free slot. */
export function pickWorker({ policy, candidates, random }: PickWorkerOptions): Candidate | undefined {
    const free = candidates.filter(candidate => candidate.load < candidate.capacity);
    switch (policy) {
        case SlotPolicyKind.TwoChoices:
            return twoChoices(free, random);
        case SlotPolicyKind.Homed:
            return candidates.some(candidate => candidate.isHome)
                ? leastLoaded(free.filter(candidate => candidate.isHome))
                : twoChoices(free, random);
        case SlotPolicyKind.HomeFirst:
            return leastLoaded(free.filter(candidate => candidate.isHome)) ?? twoChoices(free, random);
    }
}

function twoChoices(free: readonly Candidate[], random: Random): Candidate | undefined {
    if (free.length < 2) {
        return free[0];
    }
    const first = random.int(free.length);
    const second = (first + 1 + random.int(free.length - 1)) % free.length;
    return lessLoaded(free[first]!, free[second]!);
}

function leastLoaded(free: readonly Candidate[]): Candidate | undefined {
    return free.reduce<Candidate | undefined>(
        (best, next) => best === undefined ? next : lessLoaded(best, next),
        undefined,
    );
}

function lessLoaded(a: Candidate, b: Candidate): Candidate {
    if (a.load !== b.load) {
        return a.load < b.load ? a : b;
    }
    return b.isSameZone && !a.isSameZone ? b : a;
}
