/**
 * Reads the change feed of a table without waiting out a read that the store has dropped. Once the answer to a read is
 * overdue, the feed is read again beside it and without a wait for changes, until the store answers one of the reads. An
 * answer of which bytes keep arriving is not overdue, however long it is: another read would only share the link with it.
 *
 * Load pattern: rows that are larger than the link of a small VM carries within the time limit of a read, and that
 * change again while they are transferred.
 */
import { PlatformError } from "./errors.js";
import type { FeedReadOptions, FeedResult, RowStore } from "./rows.js";
import type { Cancel, Timer } from "./timer.js";

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
/** Time after the end of its wait at which an answer of which nothing has arrived is overdue. */
const overdueMs = 500;
/** Time without further bytes after which an answer that has begun is overdue. */
const stallMs = 1000;

/** Reader of the change feed of one table. */
export class FeedReader {
    private readonly openReads = new Set<OpenRead>();
    private sinceVersion = -1;
    private isStoreSilent = false;
    private latestRead: OpenRead | undefined;

    private constructor(private readonly options: FeedReaderOptions) {}

    static create(options: FeedReaderOptions): FeedReader {
        return new FeedReader(options);
    }

    /** Progress of the latest read of which bytes have arrived, or else of the one that was sent last. */
    get progress(): ReadProgress {
        return this.latestRead?.progress ?? { receivedBytes: 0, firstByteMs: undefined };
    }

    /** Number of reads that the store may still answer. */
    get openReadCount(): number {
        return this.openReads.size;
    }

    /** Time for which the answer to a read has been arriving, in milliseconds; undefined if none is. */
    get arrivingMs(): number | undefined {
        return this.arrivingRead()?.arrivingMs;
    }

    /**
     * Resolves with the changes since a version, or with none after the wait. Rejects with a `PlatformError` when the store
     * refuses the read or its answer is overdue; a later call may then be resolved by the late answer.
     */
    async next(sinceVersion: number): Promise<FeedResult> {
        if (sinceVersion !== this.sinceVersion) {
            this.sinceVersion = sinceVersion;
            this.cancelReads();
        }
        try {
            const result = await this.firstAnswer();
            this.isStoreSilent = false;
            this.cancelReads();
            return result;
        }
        catch (err) {
            this.isStoreSilent = true;
            throw err;
        }
    }

    /** Waits for an answer that is arriving, or sends a read, and settles with the first answer to any open read. */
    private firstAnswer(): Promise<FeedResult> {
        const awaited = this.arrivingRead() ?? this.send();
        return new Promise((resolve, reject) => {
            const settle = (read: OpenRead): void => {
                read.result.then(
                    result => {
                        cancel();
                        resolve(result);
                    },
                    (err: Error) => {
                        // The caller has been told of each earlier read that it is overdue; its failure is no news.
                        if (!read.isCancelled && (read === awaited || read === this.latestRead)) {
                            cancel();
                            reject(err);
                        }
                    },
                );
            };
            const cancel = this.watch(reject);
            this.openReads.forEach(settle);
        });
    }

    /** Calls `onOverdue` once no open read can be expected to be answered soon; returns how to stop watching. */
    private watch(onOverdue: (err: Error) => void): Cancel {
        const { timer, table } = this.options;
        let cancel: Cancel = () => undefined;
        const check = (): void => {
            const leftMs = Math.max(...[...this.openReads].map(read => read.overdueAt)) - timer.now();
            if (leftMs > 0) {
                cancel = timer.after(leftMs, check);
            }
            else {
                onOverdue(
                    new PlatformError(
                        `the answer of the platform's store to a read of the feed of "${table}" is overdue; `
                            + "check that it is up and that this VM's link is not full",
                    ),
                );
            }
        };
        check();
        return () => cancel();
    }

    private arrivingRead(): OpenRead | undefined {
        return [...this.openReads].find(read => read.arrivingMs !== undefined);
    }

    private send(): OpenRead {
        const { store, table, timer, waitMs = defaultWaitMs } = this.options;
        const { sinceVersion } = this;
        const read = OpenRead.send({
            timer,
            waitMs: this.isStoreSilent ? 0 : waitMs,
            feed: options => store.feed(table, sinceVersion, options),
            onArrival: arrived => this.prefer(arrived),
        });
        this.openReads.add(read);
        this.latestRead = read;
        const close = (): void => void this.openReads.delete(read);
        read.result.then(close, close);
        return read;
    }

    /** Ends the other reads once bytes of one answer arrive, so that it has the link to itself. */
    private prefer(read: OpenRead): void {
        if (this.openReads.has(read)) {
            this.latestRead = read;
            this.openReads.forEach(other => {
                if (other !== read) {
                    this.openReads.delete(other);
                    other.cancel();
                }
            });
        }
    }

    private cancelReads(): void {
        this.openReads.forEach(read => read.cancel());
        this.openReads.clear();
    }
}

/** Options of `OpenRead.send`. */
interface OpenReadOptions {
    readonly timer: Timer;
    readonly waitMs: number;
    readonly feed: (options: FeedReadOptions) => Promise<FeedResult>;
    /** Called whenever bytes of the answer have arrived. */
    readonly onArrival: (read: OpenRead) => void;
}

/** A read that the store may still answer. */
class OpenRead {
    readonly result: Promise<FeedResult>;
    private readonly aborter = new AbortController();
    private readonly sentAt: number;
    private firstByteAt: number | undefined;
    private lastByteAt: number | undefined;
    private receivedBytes = 0;

    private constructor(private readonly options: OpenReadOptions) {
        const { timer, waitMs, feed, onArrival } = options;
        this.sentAt = timer.now();
        this.result = feed({
            waitMs,
            signal: this.aborter.signal,
            onData: receivedBytes => {
                this.receivedBytes = receivedBytes;
                this.lastByteAt = timer.now();
                this.firstByteAt ??= this.lastByteAt;
                onArrival(this);
            },
        });
    }

    static send(options: OpenReadOptions): OpenRead {
        return new OpenRead(options);
    }

    get progress(): ReadProgress {
        const { receivedBytes, firstByteAt, sentAt } = this;
        return { receivedBytes, firstByteMs: firstByteAt === undefined ? undefined : firstByteAt - sentAt };
    }

    get isCancelled(): boolean {
        return this.aborter.signal.aborted;
    }

    /** Monotonic time from which the answer is overdue, in milliseconds. */
    get overdueAt(): number {
        return this.lastByteAt === undefined
            ? this.sentAt + this.options.waitMs + overdueMs
            : this.lastByteAt + stallMs;
    }

    /** Time for which the answer has been arriving, in milliseconds; undefined if it has not begun or has stalled. */
    get arrivingMs(): number | undefined {
        const now = this.options.timer.now();
        return this.firstByteAt === undefined || now >= this.overdueAt ? undefined : now - this.firstByteAt;
    }

    cancel(): void {
        this.aborter.abort();
    }
}
