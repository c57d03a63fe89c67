/**
 * Limits the verdicts on the workers of one pool.
 *
 * Load pattern: a queue that fails everywhere, or a fault of many workers at once, would take most of a pool out of service.
 */
import { Verdict, type WorkerScore } from "./worker-score.js";

/** A worker of the pool that has a score. */
export interface LimitedRecord {
    readonly score: Pick<WorkerScore, "value">;
    /** Verdict that the score alone leads to. */
    readonly wanted: Verdict;
    /** Verdict until now. */
    readonly verdict: Verdict;
}

/** Share of a pool's workers that may be on trial or ejected at a time. */
export const maxOutShare = 0.25;
/** Smallest pool of which one worker may be. */
const minPoolForOne = 3;
/** Share of a pool's workers from which suspicion says more about the work than about the workers. */
const maxSuspectShare = 0.5;

/** Verdicts within the limits of a pool of `size` workers: none while most are suspected, and few out at a time. */
export function limitToPool<T extends LimitedRecord>(
    records: readonly T[],
    size: number,
): ReadonlyMap<T, Verdict> {
    const suspects = records.filter(({ wanted }) => wanted !== Verdict.Trusted);
    if (suspects.length > size * maxSuspectShare) {
        return new Map(records.map(record => [record, Verdict.Trusted]));
    }
    const maxOut = Math.max(size >= minPoolForOne ? 1 : 0, Math.floor(size * maxOutShare));
    const out = new Set(
        suspects.filter(({ wanted }) => isOut(wanted))
            .sort((a, b) =>
                Number(isOut(b.verdict)) - Number(isOut(a.verdict)) || b.score.value - a.score.value
            )
            .slice(0, maxOut),
    );
    return new Map(
        records.map(record => [
            record,
            isOut(record.wanted) && !out.has(record) ? Verdict.Reduced : record.wanted,
        ]),
    );
}

function isOut(verdict: Verdict): boolean {
    return verdict === Verdict.Trial || verdict === Verdict.Ejected;
}
