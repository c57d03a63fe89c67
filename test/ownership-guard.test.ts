import { describe, expect, test } from "vitest";
import { OrderBar, OwnershipGuard } from "../src/pool/ownership-guard.js";
import { chainKey, ownerKey } from "../src/pool/ownership.js";
import { Random } from "../src/process/random.js";
import type { RowStore, TransactionOutcome } from "../src/process/rows.js";
import { siteSettingsSchema } from "../src/process/site-settings.js";
import type { Timer } from "../src/process/timer.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { StandinRowStore } from "../standin/site/rows.js";

const domain = "main";
const owner = { entry: "e0", incarnation: "e0#1", fence: 1 };

describe("the permission to send orders", () => {
    test("is not given by an answer whose request was sent before the process was suspended", async () => {
        const clock = VirtualTimer.create();
        let suspendedMs = 0;
        const timer: Timer = {
            now: () => clock.now(),
            wall: () => clock.wall() + suspendedMs,
            after: (ms, fn) => clock.after(ms, fn),
            every: (ms, fn) => clock.every(ms, fn),
        };
        const rows = StandinRowStore.create(clock, Random.create(1));
        rows.write(ownerKey(domain), JSON.stringify(owner));
        rows.write(chainKey(domain), "{}");
        const client = rows.clientFor(clock);
        let release: (() => void) | undefined;
        const store: RowStore = {
            // The store does not answer reads; the answer to a write is held back.
            read: () => new Promise(() => undefined),
            feed: (table, since, options) => client.feed(table, since, options),
            transact: async (tx): Promise<TransactionOutcome> => {
                const outcome = await client.transact(tx);
                await new Promise<void>(resolve => {
                    release = resolve;
                });
                return outcome;
            },
        };
        const { times, bounds } = siteSettingsSchema.parse({
            entry: "e0",
            zone: "",
            callers: "x:1",
            readiness: "x:2",
            metrics: "x:3",
            peers: { listen: "x:4", secret: "0123456789abcdef" },
            store: "x:5",
        });
        const guard = OwnershipGuard.create({
            head: {
                domain,
                owner,
                ownerVersion: rows.find(ownerKey(domain))!.version,
                chainVersion: rows.find(chainKey(domain))!.version,
                batch: 0,
            },
            store,
            timer,
            log: { write: () => undefined },
            times: {
                ...times,
                longestLeaseMs: bounds.longestLeaseMs,
                longestStopMs: bounds.longestStopMs,
            },
            onSuperseded: () => undefined,
        });
        const put = guard.putIfOwner({ table: "vm-orders", part: domain, key: "recent", value: "{}" }, 0);
        await clock.advance(100);
        // The monotonic clock stands still while the process is suspended; another entry may have taken over.
        suspendedMs = 60_000;
        expect(guard.mayOrder()).toBe(false);
        release!();
        await put;
        expect(guard.orderBar(1000)).toBe(OrderBar.Unconfirmed);
    });
});
