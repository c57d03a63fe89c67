/**
 * How many starts go into the next batch of progress.
 *
 * Load pattern: a burst while the store answers slowly. A start is sent once its record is stored, and one batch is in flight at
 * a time, so a fixed number of starts a batch becomes a limit on starts a second: 64 at 12 ms are 5,000 a second, at 300 ms
 * 213, while a quick queue's burst asks for 500.
 */

/** Most starts in a batch that the store answers in its usual time: more would delay storing the ends of other runs. */
export const usualStartsPerBatch = 64;
/** Duration of a batch up to which its size is not raised, in milliseconds. */
const usualBatchMs = 25;
/**
 * Most starts in one batch, however slow the store is: an owner that is slow itself sees long batches, too, and would claim more than it
 * can send soon.
 */
const maxStartsPerBatch = 160;
/** Weight of the latest batch in the mean, which follows a store that slows down within two batches. */
const latestWeight = 0.5;

/** Least time, and multiple of the mean duration, after which the answer to a batch is overdue. */
const minOverdueMs = 500;
const overdueFactor = 3;

/** Follows how long batches take, and derives how many starts the next one may hold. */
export class BatchSize {
    private meanMs = usualBatchMs;

    static create(): BatchSize {
        return new BatchSize();
    }

    /** Records the duration of a stored batch, in milliseconds. */
    record(batchMs: number): void {
        this.meanMs += (batchMs - this.meanMs) * latestWeight;
    }

    /** Time after which the answer to a batch is overdue, in milliseconds. */
    get overdueMs(): number {
        return Math.max(minOverdueMs, this.meanMs * overdueFactor);
    }

    /** Most starts in the next batch. */
    get maxStarts(): number {
        const factor = Math.max(1, this.meanMs / usualBatchMs);
        return Math.min(maxStartsPerBatch, Math.round(usualStartsPerBatch * factor));
    }
}
