/** A table service that remembers when it last answered. */
import type { Metrics } from "../process/metrics.js";
import type {
    FeedResult,
    RowPage,
    RowRange,
    RowStore,
    RowTransaction,
    TransactionOutcome,
} from "../process/rows.js";
import { TransactionStatus } from "../process/rows.js";
import type { Timer } from "../process/timer.js";

/** Options of `ContactStore.create`. */
export interface ContactStoreOptions {
    readonly store: RowStore;
    readonly timer: Timer;
    readonly metrics: Metrics;
}

/** Passes calls on, counts them, and notes their success. */
export class ContactStore implements RowStore {
    private answeredAt = -Infinity;

    private constructor(private readonly options: ContactStoreOptions) {}

    static create(options: ContactStoreOptions): ContactStore {
        return new ContactStore(options);
    }

    /** Milliseconds since the store last gave a sound answer; infinite before the first. */
    get ageMs(): number {
        return this.options.timer.now() - this.answeredAt;
    }

    async transact(tx: RowTransaction): Promise<TransactionOutcome> {
        const startedAt = this.options.timer.now();
        const outcome = await this.options.store.transact(tx);
        const { metrics, timer } = this.options;
        metrics.count("celerywind_store_transactions_total", { outcome: outcome.kind });
        metrics.observe("celerywind_store_ms", timer.now() - startedAt, { call: "transact" });
        if (outcome.kind === TransactionStatus.Committed || outcome.kind === TransactionStatus.Conflict) {
            this.note();
        }
        return outcome;
    }

    read(range: RowRange): Promise<RowPage> {
        return this.call("read", () => this.options.store.read(range));
    }

    feed(table: string, sinceVersion: number, waitMs: number): Promise<FeedResult> {
        return this.call("feed", () => this.options.store.feed(table, sinceVersion, waitMs));
    }

    private async call<T>(call: string, perform: () => Promise<T>): Promise<T> {
        const { metrics } = this.options;
        metrics.count("celerywind_store_reads_total", { call });
        try {
            const answer = await perform();
            this.note();
            return answer;
        }
        catch (err) {
            metrics.count("celerywind_store_read_failures_total", { call });
            throw err;
        }
    }

    private note(): void {
        this.answeredAt = this.options.timer.now();
    }
}
