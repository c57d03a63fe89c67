/** Cancels all waiting jobs of a team in a queue, many jobs per transaction to keep the number of writes low. */
import { runFlow } from "../process/flow.js";
import type { Store, StoreFlow } from "../process/store.js";
import { cancelJob, cancelJobsAtomically, type JobRead, readJob, readReadyOfTeam } from "./job-store.js";
import { JobState, shardCount } from "./job.js";

const maxJobsPerTransaction = 25;

/** Selects the jobs to cancel. */
export interface BulkCancellation {
    readonly team: string;
    readonly queue: string;
}

/** Cancels the selected jobs that wait; resolves with the number cancelled. Jobs that run already are left alone. */
export async function cancelWaitingJobs(store: Store, cancellation: BulkCancellation): Promise<number> {
    const shards = Array.from({ length: shardCount }, (_, shard) => shard);
    const counts = await Promise.all(shards.map(shard => cancelInShard(store, shard, cancellation)));
    return counts.reduce((sum, count) => sum + count, 0);
}

async function cancelInShard(
    store: Store,
    shard: number,
    { team, queue }: BulkCancellation,
): Promise<number> {
    let cancelled = 0;
    const skipped = new Set<string>();
    for (;;) {
        const page = await perform(store, readReadyOfTeam(shard, team, maxJobsPerTransaction + skipped.size));
        const fresh = page.filter(ready => !skipped.has(ready.id));
        if (fresh.length === 0) {
            return cancelled;
        }
        const reads = await Promise.all(fresh.map(ready => perform(store, readJob(ready.id))));
        const chosen = reads.filter(read =>
            read !== undefined && isCancellable(read, queue)
        ) as readonly JobRead[];
        const others = fresh.filter(ready => !chosen.some(read => read.job.id === ready.id));
        others.forEach(ready => skipped.add(ready.id));
        cancelled += await cancelBatch(store, chosen);
    }
}

function isCancellable({ job }: JobRead, queue: string): boolean {
    return job.queue === queue && job.state === JobState.Waiting;
}

/** Cancels jobs in one transaction, or one by one if any of them has changed. Returns the number cancelled. */
async function cancelBatch(store: Store, reads: readonly JobRead[]): Promise<number> {
    if (reads.length === 0 || await perform(store, cancelJobsAtomically(reads))) {
        return reads.length;
    }
    const each = await Promise.all(reads.map(read => perform(store, cancelJob(read.job.id))));
    return each.filter(job => job?.state === JobState.Cancelled).length;
}

function perform<T>(store: Store, flow: StoreFlow<T>): Promise<T> {
    return runFlow(flow, effect => store.perform(effect));
}
