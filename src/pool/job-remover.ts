/** Removes jobs from the store that have been final for longer than the retention period. */
import { type RowKey, TransactionStatus } from "../process/rows.js";
import { jobPart, removeTransaction } from "./job-rows.js";
import type { JobEntry } from "./records.js";
import type { TenureContext } from "./tenure-context.js";

/** Most jobs of one part that are removed at once; a transaction holds two rows for each. */
const maxJobsPerPart = 45;

/** Removes expired jobs. */
export class JobRemover {
    constructor(
        private readonly ctx: TenureContext,
        /** Schedules the removal of rows with a job's progress. */
        private readonly removeProgress: (keys: readonly RowKey[]) => void,
        private readonly domain: string,
    ) {}

    /**
     * Removes jobs that have been final for longer than `keepFinalMs`: first their acceptance rows, then their progress
     * rows. In the opposite order, the next owner would take a job without progress for a new one.
     */
    async removeExpired(): Promise<void> {
        const { jobs, options } = this.ctx;
        const { timer, times, store, jobParts } = options;
        const before = timer.now() - times.keepFinalMs;
        const expired = [...jobs.entries.values()]
            .filter(({ finalAt, runCount, isDirty }) =>
                finalAt !== undefined && finalAt < before && runCount === 0 && !isDirty
            );
        if (!this.ctx.isReady || !this.ctx.mayOrder()) {
            return;
        }
        const byPart = new Map<string, JobEntry[]>();
        for (const entry of expired) {
            const part = jobPart(entry.job.id, jobParts);
            const entries = byPart.get(part) ?? [];
            if (entries.length < maxJobsPerPart) {
                byPart.set(part, [...entries, entry]);
            }
        }
        await Promise.all([...byPart.values()].map(async entries => {
            const outcome = await store.transact(
                removeTransaction(entries.map(({ job }) => job.id), jobParts),
            );
            if (outcome.kind === TransactionStatus.Committed && this.ctx.isActive) {
                for (const entry of entries) {
                    jobs.remove(entry);
                    this.removeProgress(entry.progress.rowKeys(this.domain, entry.job.id));
                }
                this.ctx.requestRound();
            }
        }));
    }
}
