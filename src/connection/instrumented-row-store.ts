/** Table service client that counts and times its calls, and records when the service last answered. */
import type { Metrics } from "../process/metrics.js";
import type {
    FeedReadOptions,
    FeedResult,
    RowPage,
    RowRange,
    RowStore,
    RowTransaction,
    TransactionOutcome,
} from "../process/rows.js";
import { TransactionStatus } from "../process/rows.js";
import type { Timer } from "../process/timer.js";

/** Options of `InstrumentedRowStore.create`. */
export interface InstrumentedRowStoreOptions {
    readonly store: RowStore;
    readonly timer: Timer;
    readonly metrics: Metrics;
}

/** Forwards calls to a row store, with metrics, and records the time of the last success. */
export class InstrumentedRowStore implements RowStore {
    private lastSuccessAt = -Infinity;
    private lastFailureAt = -Infinity;

    private constructor(private readonly options: InstrumentedRowStoreOptions) {}

    static create(options: InstrumentedRowStoreOptions): InstrumentedRowStore {
        return new InstrumentedRowStore(options);
    }

    /** Milliseconds since the last valid answer of the store; infinite before the first. */
    get ageMs(): number {
        return this.options.timer.now() - this.lastSuccessAt;
    }

    /** Monotonic time of the last failure other than a conflict, in milliseconds; -Infinity if there was none. */
    get failedAt(): number {
        return this.lastFailureAt;
    }

    /** Whether the last call that ended failed, other than by a conflict. */
    get isFailing(): boolean {
        return this.lastFailureAt > this.lastSuccessAt;
    }

    async transact(tx: RowTransaction): Promise<TransactionOutcome> {
        const startedAt = this.options.timer.now();
        const outcome = await this.options.store.transact(tx);
        const { metrics, timer } = this.options;
        metrics.count("celerywind_store_transactions_total", { outcome: outcome.kind });
        metrics.observe("celerywind_store_ms", timer.now() - startedAt, { call: "transact" });
        switch (outcome.kind) {
            case TransactionStatus.Committed:
            case TransactionStatus.Conflict:
            case TransactionStatus.Invalid:
                this.recordSuccess();
                break;
            case TransactionStatus.Refused:
            case TransactionStatus.Unknown:
                this.lastFailureAt = timer.now();
        }
        return outcome;
    }

    read(range: RowRange): Promise<RowPage> {
        return this.instrumentedRead("read", () => this.options.store.read(range));
    }

    feed(table: string, sinceVersion: number, options: FeedReadOptions): Promise<FeedResult> {
        return this.instrumentedRead(
            "feed",
            () => this.options.store.feed(table, sinceVersion, options),
            options.signal,
        );
    }

    /** A read that was given up through `signal` says nothing about the store and does not count as a failure. */
    private async instrumentedRead<T>(
        call: string,
        perform: () => Promise<T>,
        signal?: AbortSignal,
    ): Promise<T> {
        const { metrics } = this.options;
        metrics.count("celerywind_store_reads_total", { call });
        try {
            const answer = await perform();
            this.recordSuccess();
            return answer;
        }
        catch (err) {
            if (signal?.aborted !== true) {
                metrics.count("celerywind_store_read_failures_total", { call });
                this.lastFailureAt = this.options.timer.now();
            }
            throw err;
        }
    }

    private recordSuccess(): void {
        this.lastSuccessAt = this.options.timer.now();
    }
}
