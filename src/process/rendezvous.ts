/**
 * Rendezvous hashing: which member of a set is responsible for a key. The result only reduces contention; entries may
 * disagree on it, so it grants no exclusive right.
 */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Member with the highest score for `key`; undefined for an empty set. */
export function responsibleFor(key: string, members: readonly string[]): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const member of members) {
        const score = scoreOf(key, member);
        if (score > bestScore || (score === bestScore && best !== undefined && member < best)) {
            best = member;
            bestScore = score;
        }
    }
    return best;
}

/** The `count` members with the highest scores for `key`, in descending order. */
export function rankedFor(key: string, members: readonly string[], count: number): readonly string[] {
    return members
        .map(member => ({ member, score: scoreOf(key, member) }))
        .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
        .slice(0, count)
        .map(scored => scored.member);
}

/**
 * Assigns each key to one member so that the numbers of keys per member differ by at most one. The keys are processed
 * in the order of their own hash, and each goes to its highest-scoring member with remaining capacity, so that few keys
 * move when a member joins or leaves.
 */
export function assignEvenly(
    keys: readonly string[],
    members: readonly string[],
): ReadonlyMap<string, string> {
    const minKeysPerMember = Math.floor(keys.length / Math.max(1, members.length));
    const capacity = new Map(members.map(member => [member, minKeysPerMember]));
    const assigned = new Map<string, string>();
    const ordered = keys
        .map(key => ({ key, score: scoreOf(key, "") }))
        .sort((a, b) => a.score - b.score || (a.key < b.key ? -1 : 1));
    for (const [position, { key }] of ordered.entries()) {
        if (position === minKeysPerMember * members.length) {
            members.forEach(member => capacity.set(member, 1));
        }
        const member = rankedFor(key, members, members.length).find(ranked => capacity.get(ranked)! > 0);
        if (member !== undefined) {
            capacity.set(member, capacity.get(member)! - 1);
            assigned.set(key, member);
        }
    }
    return assigned;
}

function scoreOf(key: string, member: string): number {
    return hasher.h32(`${key}\u0000${member}`);
}
