import { describe, expect, test } from "vitest";
import { commitBatch, type LedgerEffect, type LedgerHead, takeOver } from "../src/pool/ledger.js";
import { Membership, type MembershipOptions } from "../src/pool/membership.js";
import { chainKey, ownerKey, shouldTakeOver, type TakeoverView } from "../src/pool/ownership.js";
import { rankCandidates } from "../src/pool/ranking.js";
import type { Flow } from "../src/process/flow.js";
import { runFlow } from "../src/process/flow.js";
import { Random } from "../src/process/random.js";
import {
    type RowTransaction,
    type StoredRow,
    type TransactionOutcome,
    TransactionStatus,
} from "../src/process/rows.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { StandinRowStore } from "../standin/site/rows.js";

const me = { entry: "e1", incarnation: "e1#1", fence: 2 };
const head: LedgerHead = { domain: "d", owner: me, ownerVersion: 5, chainVersion: 5, batch: 0 };

function ownerRow(entry: string, fence: number, version: number): StoredRow {
    const value = JSON.stringify({ entry, incarnation: `${entry}#1`, fence });
    return { ...ownerKey("d"), value, version, isRemoved: false };
}

/** Answers a flow's transactions from a script, and its reads with a row. */
function play<T>(flow: Flow<LedgerEffect, T>, outcomes: TransactionOutcome[], row?: StoredRow): Promise<T> {
    return runFlow(flow, effect =>
        Promise.resolve(
            effect.kind === "transact" ? outcomes.shift() : effect.kind === "read-owner" ? row : undefined,
        ));
}

describe("a takeover", () => {
    const candidate = { entry: "e2", incarnation: "e2#1", suspectFence: 2 };
    const committed: TransactionOutcome = { kind: TransactionStatus.Committed, version: 9 };

    test("replaces the owner that was suspected", async () => {
        const result = await play(takeOver("d", candidate), [committed], ownerRow("e1", 2, 5));
        expect(result).toMatchObject({ kind: "taken", head: { owner: { fence: 3 }, ownerVersion: 9 } });
    });

    test("leaves an owner alone that took over in the meantime", async () => {
        expect(await play(takeOver("d", candidate), [committed], ownerRow("e3", 3, 7))).toEqual({
            kind: "lost",
        });
    });

    test("takes a domain that was given up in the meantime", async () => {
        const result = await play(takeOver("d", candidate), [committed], ownerRow("", 3, 7));
        expect(result).toMatchObject({ kind: "taken", head: { owner: { fence: 4 } } });
    });
});

describe("a batch of progress", () => {
    const unknown: TransactionOutcome = { kind: TransactionStatus.Unknown, reason: "timeout" };
    const chainRow = (incarnation: string, batch: number): StoredRow => ({
        ...chainKey("d"),
        value: JSON.stringify({ incarnation, batch }),
        version: 8,
        isRemoved: false,
    });

    test("whose answer was lost is known to be stored by the mark in the chain row", async () => {
        const conflict: TransactionOutcome = {
            kind: TransactionStatus.Conflict,
            rows: [chainRow("e1#1", 1)],
        };
        const result = await play(commitBatch(head, []), [unknown, conflict]);
        expect(result).toMatchObject({ kind: "committed", head: { chainVersion: 8, batch: 1 } });
    });

    test("is refused once another entry has taken over", async () => {
        const conflict: TransactionOutcome = {
            kind: TransactionStatus.Conflict,
            rows: [chainRow("e2#1", 0)],
        };
        expect(await play(commitBatch(head, []), [conflict])).toEqual({ kind: "superseded" });
    });

    test("that is carried out late cannot overwrite a later one", async () => {
        const timer = VirtualTimer.create();
        const rows = StandinRowStore.create(timer, Random.create(1));
        const store = rows.clientFor(timer);
        const perform = (effect: LedgerEffect): Promise<unknown> =>
            effect.kind === "transact" ? store.transact(effect.tx) : Promise.resolve(undefined);
        const settle = async <T>(work: Promise<T>): Promise<T> => {
            await timer.advance(20_000);
            return work;
        };
        const taken = await settle(runFlow(takeOver("d", { ...me, suspectFence: 0 }), perform));
        const first = taken.kind === "taken" ? taken.head : head;
        const key = { table: "progress", part: "d", key: "j" };
        let late: RowTransaction | undefined;
        const flow = commitBatch(first, [{ ...key, value: "old" }]);
        const result = await settle(runFlow(flow, effect => {
            if (effect.kind === "transact" && late === undefined) {
                late = effect.tx;
                return Promise.resolve(unknown);
            }
            return perform(effect);
        }));
        const second = result.kind === "committed" ? result.head : first;
        await settle(runFlow(commitBatch(second, [{ ...key, value: "new" }]), perform));
        expect(await settle(store.transact(late!))).toMatchObject({ kind: TransactionStatus.Conflict });
        expect(rows.find(key)?.value).toBe("new");
    });
});

describe("an entry takes a domain over", () => {
    const view: TakeoverView = {
        self: "e2",
        owner: me,
        hasOwnerEnded: false,
        ownerSilentMs: 0,
        ownerStoreAgeMs: 0,
        storeAgeMs: 0,
        rank: 0,
        isStopping: false,
    };

    test.each([
        ["not while the owner is heard and reaches the store", {}, false],
        ["when the owner is silent", { ownerSilentMs: 700 }, true],
        ["later when others go first", { ownerSilentMs: 700, rank: 2 }, false],
        ["when the owner does not reach the store", { ownerStoreAgeMs: 900 }, true],
        ["not when it does not reach the store itself", { ownerSilentMs: 5000, storeAgeMs: 2000 }, false],
        ["not while it stops", { ownerSilentMs: 5000, isStopping: true }, false],
        ["at once when the owner's process has ended", { hasOwnerEnded: true, ownerSilentMs: 1 }, true],
        ["at once when the domain was given up", { owner: { ...me, entry: "" }, ownerSilentMs: 1 }, true],
        ["at once when its own earlier life was the owner", { self: "e1", hasOwnerEnded: true }, true],
    ])("%s", (_, change, expected) => {
        expect(shouldTakeOver({ ...view, ...change })).toBe(expected);
    });
});

describe("members", () => {
    test("that have not registered count as strong as this entry, so that names decide until they have", () => {
        const peers = { on: () => undefined };
        const members = Membership.create(
            { entry: "e1", strength: 3, peers } as unknown as MembershipOptions,
        );
        expect(
            rankCandidates([members.rankedEntry("e1"), members.rankedEntry("e0")]).map(({ entry }) => entry),
        ).toEqual([
            "e0",
            "e1",
        ]);
    });
});
