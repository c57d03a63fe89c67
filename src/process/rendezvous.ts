/** Rendezvous hashing: which member of a set is responsible for a key. A hint against contention, never authority. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** The member with the highest score for `key`; undefined for an empty set. */
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

/** The `count` members with the highest scores for `key`, best first. */
export function rankedFor(key: string, members: readonly string[], count: number): readonly string[] {
    return members
        .map(member => ({ member, score: scoreOf(key, member) }))
        .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
        .slice(0, count)
        .map(scored => scored.member);
}

/**
 * Assigns every key to one member so that the members' counts differ by one at most. Each key goes to its best member
 * that still has room, keys in order of their own hash, so that few keys move when a member comes or goes.
 */
export function assignEvenly(
    keys: readonly string[],
    members: readonly string[],
): ReadonlyMap<string, string> {
    const evenPart = Math.floor(keys.length / Math.max(1, members.length));
    const room = new Map(members.map(member => [member, evenPart]));
    const assigned = new Map<string, string>();
    const ordered = keys
        .map(key => ({ key, score: scoreOf(key, "") }))
        .sort((a, b) => a.score - b.score || (a.key < b.key ? -1 : 1));
    for (const [at, { key }] of ordered.entries()) {
        if (at === evenPart * members.length) {
            members.forEach(member => room.set(member, 1));
        }
        const member = rankedFor(key, members, members.length).find(ranked => room.get(ranked)! > 0);
        if (member !== undefined) {
            room.set(member, room.get(member)! - 1);
            assigned.set(key, member);
        }
    }
    return assigned;
}

function scoreOf(key: string, member: string): number {
    return hasher.h32(`${key}\u0000${member}`);
}
