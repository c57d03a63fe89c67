/**
 * Which entry should own a domain: a pure order of candidates. Answers sites whose entry VMs differ: the owner of a
 * large site needs a strong VM when a queue bursts, and a weak one would be too slow just then.
 */

/** An entry that could own the domain. */
export interface RankedEntry {
    readonly entry: string;
    /** Memory of its VM in units of `strengthUnitMb`: VMs with more of it have more processor time, too. */
    readonly strength: number;
}

/** Unit of strength, in megabytes: VMs of one kind report slightly different amounts of memory. */
export const strengthUnitMb = 64;
/** Factor of strength from which a change of owner is worth its pause. */
const minHandOverRatio = 1.5;

/** Strength of a VM with an amount of memory. */
export function strengthOfMemory(memoryBytes: number): number {
    return Math.round(memoryBytes / (strengthUnitMb * 1024 * 1024));
}

/** Candidates in the order in which they take over: the strongest first, then by name. */
export function rankCandidates(candidates: readonly RankedEntry[]): readonly RankedEntry[] {
    return [...candidates].sort((a, b) => b.strength - a.strength || (a.entry < b.entry ? -1 : 1));
}

/** The candidate to which an owner should hand over, if one is clearly stronger. */
export function findStrongerCandidate(
    owner: RankedEntry,
    others: readonly RankedEntry[],
): RankedEntry | undefined {
    const [first] = rankCandidates(others);
    return first !== undefined && first.strength >= owner.strength * minHandOverRatio ? first : undefined;
}
