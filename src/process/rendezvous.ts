/** Rendezvous hashing: which member of a set is responsible for a key. A hint against contention, never authority. */
import { createHash } from "node:crypto";

/** The member with the highest score for `key`; undefined for an empty set. */
export function responsibleFor(key: string, members: readonly string[]): string | undefined {
    return rankedFor(key, members, 1)[0];
}

/** The `count` members with the highest scores for `key`, best first. */
export function rankedFor(key: string, members: readonly string[], count: number): readonly string[] {
    return members
        .map(member => ({ member, score: scoreOf(key, member) }))
        .sort((a, b) => b.score - a.score || (a.member < b.member ? -1 : 1))
        .slice(0, count)
        .map(scored => scored.member);
}

function scoreOf(key: string, member: string): number {
    return createHash("sha1").update(key).update("\0").update(member).digest().readUInt32BE(0);
}
