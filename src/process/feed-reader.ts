/**
 * Reads the change feed of a table without waiting out a read that the store has dropped. Once an answer is overdue, the
 * feed is read again beside the open read and without a wait for changes, until the store answers one of them.
 */
import { PlatformError } from "./errors.js";
import type { FeedResult, RowStore } from "./rows.js";
import { type Timer, withTimeout } from "./timer.js";

/** Options of `FeedReader.create`. */
export interface FeedReaderOptions {
    readonly store: Pick<RowStore, "feed">;
    readonly timer: Timer;
    readonly table: string;
    /** Longest wait of the store for a change before it answers, in milliseconds. */
    readonly waitMs?: number;
}

/** What has arrived of the answer to a read of the feed. */
export interface ReadProgress {
    readonly receivedBytes: number;
    /** Time from the sending of the read to the first bytes of the answer, in milliseconds; undefined before they arrive. */
    readonly firstByteMs: number | undefined;
}

const defaultWaitMs = 1500;
/** Time after the end of its wait at which the answer to a read is overdue. */
const overdueMs = 500;

/** Reader of the change feed of one table. */
export class FeedReader {
    private readonly openReads = new Set<Promise<FeedResult>>();
    private sinceVersion = -1;
    private isStoreSilent = false;
    private latestProgress: ReadProgress = { receivedBytes: 0, firstByteMs: undefined };

    private constructor(private readonly options: FeedReaderOptions) {}

    static create(options: FeedReaderOptions): FeedReader {
        return new FeedReader(options);
    }

    /** Progress of the read that was sent last. */
    get progress(): ReadProgress {
        return this.latestProgress;
    }

    /** Number of reads that the store may still answer. */
    get openReadCount(): number {
        return this.openReads.size;
    }

    /**
     * Resolves with the changes since a version, or with none after the wait. Rejects with a `PlatformError` when the store
     * refuses the read or its answer is overdue; a later call may then be resolved by the late answer.
     */
    async next(sinceVersion: number): Promise<FeedResult> {
        const { timer, table, waitMs = defaultWaitMs } = this.options;
        if (sinceVersion !== this.sinceVersion) {
            this.sinceVersion = sinceVersion;
            this.openReads.clear();
        }
        const readWaitMs = this.isStoreSilent ? 0 : waitMs;
        const limitMs = readWaitMs + overdueMs;
        try {
            const result = await withTimeout(timer, limitMs, this.read(readWaitMs), () =>
                new PlatformError(
                    `the platform's store did not answer a read of the feed of "${table}" in ${limitMs} ms; check that it is up`,
                ));
            this.isStoreSilent = false;
            this.openReads.clear();
            return result;
        }
        catch (err) {
            this.isStoreSilent = true;
            throw err;
        }
    }

    /** Sends a read and settles like it, or resolves with the answer to an earlier one that arrives first. */
    private read(waitMs: number): Promise<FeedResult> {
        const { store, table, timer } = this.options;
        const sentAt = timer.now();
        this.latestProgress = { receivedBytes: 0, firstByteMs: undefined };
        const read = store.feed(table, this.sinceVersion, {
            waitMs,
            onData: receivedBytes => {
                const { firstByteMs = timer.now() - sentAt } = this.latestProgress;
                this.latestProgress = { receivedBytes, firstByteMs };
            },
        });
        // The caller has been told of each earlier read that it is overdue; its failure is no news.
        const earlierReads = [...this.openReads].map(earlier =>
            new Promise<FeedResult>(resolve => {
                earlier.then(resolve, () => undefined);
            })
        );
        const close = (): void => void this.openReads.delete(read);
        this.openReads.add(read);
        read.then(close, close);
        return Promise.race([read, ...earlierReads]);
    }
}
