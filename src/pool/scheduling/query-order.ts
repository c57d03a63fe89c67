/**
 * The order in which a new owner queries the workers. Pure.
 *
 * Load pattern: a takeover at the peak of a burst, with hundreds of workers of which nothing may be started before they
 * have answered. Work waits in one pool, and the answers of the others can come later.
 */
import type { WorkerState } from "../worker-registry.js";

/** What the order depends on. */
export type QueriedWorker = Pick<WorkerState, "listed" | "runs">;

/**
 * Workers of the pools with the most waiting work first; within a pool, those with the fewest runs on record, which are
 * the likeliest to have room. `waitingByPool`: processor need of the waiting tasks, in thousandths of a core.
 */
export function queryOrder<T extends QueriedWorker>(
    workers: Iterable<T>,
    waitingByPool: ReadonlyMap<string, number>,
): readonly T[] {
    const waitingFor = ({ listed }: T): number => waitingByPool.get(listed.pool) ?? 0;
    return [...workers].sort((a, b) => waitingFor(b) - waitingFor(a) || a.runs.size - b.runs.size);
}
