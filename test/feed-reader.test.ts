import { describe, expect, test } from "vitest";
import { InstrumentedRowStore } from "../src/connection/instrumented-row-store.js";
import { PlatformError } from "../src/process/errors.js";
import { FeedReader } from "../src/process/feed-reader.js";
import { Metrics } from "../src/process/metrics.js";
import type { FeedReadOptions, FeedResult, RowStore } from "../src/process/rows.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";

interface Read {
    readonly at: number;
    readonly waitMs: number;
    readonly resolve: (result: FeedResult) => void;
    readonly reject: (err: Error) => void;
}

const waitMs = 1000;
const unusedStore: RowStore = {
    transact: () => Promise.reject(new Error("not used")),
    read: () => Promise.reject(new Error("not used")),
    feed: () => Promise.reject(new Error("not used")),
};

function changesAt(version: number): FeedResult {
    return { kind: "changes", rows: [], version };
}

/** A reader of a store whose answers the test gives. */
function createReader() {
    const timer = VirtualTimer.create();
    const reads: Read[] = [];
    const feed = (_: string, __: number, { waitMs: readWaitMs }: FeedReadOptions): Promise<FeedResult> =>
        new Promise((resolve, reject) =>
            reads.push({ at: timer.now(), waitMs: readWaitMs, resolve, reject })
        );
    return { timer, reads, reader: FeedReader.create({ store: { feed }, timer, table: "op", waitMs }) };
}

describe("a reader of a feed", () => {
    test("reads without a wait beside a read whose answer is overdue", async () => {
        const { timer, reads, reader } = createReader();
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(waitMs + 600);
        expect(await first).toBeInstanceOf(PlatformError);
        const second = reader.next(1);
        expect(reads.map(read => read.waitMs)).toEqual([waitMs, 0]);
        reads[1]!.resolve(changesAt(2));
        expect(await second).toEqual(changesAt(2));
        void reader.next(2).catch(() => undefined);
        expect(reads[2]!.waitMs).toBe(waitMs);
    });

    test("takes the answer to an overdue read of the same version", async () => {
        const { timer, reads, reader } = createReader();
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(waitMs + 600);
        await first;
        const second = reader.next(1);
        reads[0]!.resolve(changesAt(3));
        expect(await second).toEqual(changesAt(3));
    });

    test("ignores the answer to an overdue read of another version", async () => {
        const { timer, reads, reader } = createReader();
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(waitMs + 600);
        await first;
        const second = reader.next(5);
        reads[0]!.resolve(changesAt(3));
        await timer.advance(0);
        reads[1]!.resolve(changesAt(6));
        expect(await second).toEqual(changesAt(6));
    });

    test("reports a refused read at once, also while an earlier one is open", async () => {
        const { timer, reads, reader } = createReader();
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(waitMs + 600);
        await first;
        const second = reader.next(1);
        reads[1]!.reject(new PlatformError("refused"));
        await expect(second).rejects.toThrow("refused");
        expect(timer.now()).toBe(reads[1]!.at);
    });

    test("that gives up other reads once one is answered does not take the store as failing", async () => {
        const timer = VirtualTimer.create();
        const reads: FeedReadOptions[] = [];
        const answers: ((result: FeedResult) => void)[] = [];
        const feed = (_: string, __: number, options: FeedReadOptions): Promise<FeedResult> =>
            new Promise((resolve, reject) => {
                reads.push(options);
                answers.push(resolve);
                const err: Error = new PlatformError("given up");
                options.signal?.addEventListener("abort", () => reject(err));
            });
        const metrics = Metrics.create();
        const store = InstrumentedRowStore.create({ store: { ...unusedStore, feed }, timer, metrics });
        const reader = FeedReader.create({ store, timer, table: "op", waitMs });
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(waitMs + 600);
        await first;
        const second = reader.next(1);
        answers[1]!(changesAt(2));
        expect(await second).toEqual(changesAt(2));
        await timer.advance(0);
        expect(reads[0]!.signal!.aborted).toBe(true);
        expect(store.isFailing).toBe(false);
        expect(metrics.read("celerywind_store_read_failures_total", { call: "feed" })).toBe(0);
    });
});
