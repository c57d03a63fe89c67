/**
 * Ranks the entries that could own a domain, by the size of their VMs. Needed at sites whose entry VMs differ: when a
 * queue bursts, the owner of a large site needs a large VM, and a small one is too slow.
 */

/** An entry that could own the domain. */
export interface RankedEntry {
    readonly entry: string;
    /** Memory of its VM in units of `strengthUnitMb`; VMs with more memory also have more CPU. */
    readonly strength: number;
}

/** Unit of strength, in megabytes. Coarse, because VMs of one type report slightly different amounts of memory. */
export const strengthUnitMb = 64;
/** Strength ratio from which a handover is worth the pause it causes. */
const minHandOverRatio = 1.5;

/** Strength of a VM with this much memory. */
export function strengthOfMemory(memoryBytes: number): number {
    return Math.round(memoryBytes / (strengthUnitMb * 1024 * 1024));
}

/** Sorts candidates in takeover order: strongest first, ties by name. */
export function rankCandidates(candidates: readonly RankedEntry[]): readonly RankedEntry[] {
    return [...candidates].sort((a, b) => b.strength - a.strength || (a.entry < b.entry ? -1 : 1));
}

/** Returns the strongest candidate if its strength justifies a handover from `owner`; otherwise undefined. */
export function findStrongerCandidate(
    owner: RankedEntry,
    others: readonly RankedEntry[],
): RankedEntry | undefined {
    const [strongest] = rankCandidates(others);
    return strongest !== undefined && strongest.strength >= owner.strength * minHandOverRatio
        ? strongest
        : undefined;
}
