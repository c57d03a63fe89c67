import { describe, expect, test } from "vitest";
import { PlatformError } from "../src/process/errors.js";
import { FeedReader } from "../src/process/feed-reader.js";
import type { FeedReadOptions, FeedResult } from "../src/process/rows.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { SharedLink } from "../standin/simulation/shared-link.js";
import { StandinSite } from "../standin/site/site.js";

/** Bandwidth of a link of 7 Mbit/s. */
const narrowLinkBytesPerMs = 875;
const waitMs = 1500;
/** Time after which a read is overdue if nothing has arrived. */
const limitMs = waitMs + 500;

/** A reader of a store whose answers of `answerBytes` share one link. */
function createReader(answerBytes: number) {
    const timer = VirtualTimer.create();
    const link = SharedLink.create(timer, narrowLinkBytesPerMs);
    const reads: number[] = [];
    const feed = async (_: string, since: number, options: FeedReadOptions): Promise<FeedResult> => {
        reads.push(timer.now());
        await link.transfer(answerBytes, options);
        return { kind: "changes", rows: [], version: since + 1 };
    };
    return { timer, link, reads, reader: FeedReader.create({ store: { feed }, timer, table: "op", waitMs }) };
}

describe("an answer of the feed that arrives for longer than the limit of a read", () => {
    test("is waited for, and not read again beside it", async () => {
        const answerBytes = 2 * limitMs * narrowLinkBytesPerMs;
        const { timer, link, reads, reader } = createReader(answerBytes);
        const answer = reader.next(1);
        await timer.advance(2 * limitMs + 100);
        expect(await answer).toMatchObject({ version: 2 });
        expect(reads).toHaveLength(1);
        expect(link.deliveredBytes).toBe(answerBytes);
    });

    test("is read again once no more of it arrives", async () => {
        const { timer, link, reads, reader } = createReader(2 * limitMs * narrowLinkBytesPerMs);
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(limitMs);
        link.isCut = true;
        await timer.advance(limitMs);
        expect(await first).toBeInstanceOf(PlatformError);
        const second = reader.next(1);
        expect(reads).toHaveLength(2);
        link.isCut = false;
        await timer.advance(3 * limitMs);
        expect(await second).toMatchObject({ version: 2 });
    });

    test("has the link to itself once it arrives beside a later read", async () => {
        const answerBytes = 400_000;
        const { timer, link, reads, reader } = createReader(answerBytes);
        link.isCut = true;
        const first = reader.next(1).catch((err: unknown) => err);
        await timer.advance(limitMs + 10);
        expect(await first).toBeInstanceOf(PlatformError);
        const second = reader.next(1);
        link.isCut = false;
        await timer.advance(answerBytes / narrowLinkBytesPerMs + 100);
        expect(await second).toMatchObject({ version: 2 });
        expect(reads).toHaveLength(2);
        expect(link.deliveredBytes).toBeLessThan(1.1 * answerBytes);
    });
});

describe("lists that change again soon after they have arrived", () => {
    test("are in force within 3 s on entries whose link is nearly full with one transfer at a time", async () => {
        const names = Array.from({ length: 12 }, (_, i) => `entry-${i}`);
        // The first entries have wide links and announce each version while the others still receive it.
        const linkBytesPerMs = Object.fromEntries(names.slice(4).map(name => [name, narrowLinkBytesPerMs]));
        const site = StandinSite.create({ entries: names.length, linkBytesPerMs });
        await site.start({ version: 1, queues: [{}] });
        const routes = Array.from({ length: 3600 }, (_, i) => ({ name: `queue-${i}`, pathPrefix: `/${i}/` }));
        const staleEntries: string[] = [];
        for (let version = 2; version <= 10; version++) {
            site.setLists({ version, queues: [{}, ...routes] });
            await site.timer.advance(1500);
            staleEntries.push(
                ...site.entries.filter(({ core }) => core.lists.directory!.version < version - 1).map(
                    ({ name }) => `${name} at version ${version}`,
                ),
            );
        }
        expect(staleEntries).toEqual([]);
    });
});
