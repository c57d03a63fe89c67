import { describe, expect, test } from "vitest";
import type { LeaseBounds } from "../src/pool/lease-bounds.js";
import { commitBatch, type LedgerEffect, type LedgerHead, takeOver } from "../src/pool/ledger.js";
import { Membership, type MembershipOptions } from "../src/pool/membership.js";
import {
    chainKey,
    fencesPerTenure,
    ownerKey,
    shouldTakeOver,
    type TakeoverView,
} from "../src/pool/ownership.js";
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

const owner = { entry: "e1", incarnation: "e1#1", fence: 2 };
const head: LedgerHead = { domain: "d", owner, ownerVersion: 5, chainVersion: 5, batch: 0 };

const noBounds = (fence: number): LeaseBounds => ({ fence, owners: [], workers: [] });

function ownerRow(entry: string, fence: number, version: number): StoredRow {
    const value = JSON.stringify({ entry, incarnation: `${entry}#1`, fence });
    return { ...ownerKey("d"), value, version, isRemoved: false };
}

/** Runs a flow whose transactions return the given outcomes in order, and whose reads return the owner `row`. */
function runScripted<T>(
    flow: Flow<LedgerEffect, T>,
    outcomes: TransactionOutcome[],
    row?: StoredRow,
): Promise<T> {
    return runFlow(flow, effect =>
        Promise.resolve(
            effect.kind === "transact"
                ? outcomes.shift()
                : effect.kind === "read-ownership"
                ? { owner: row }
                : undefined,
        ));
}

describe("taking over a domain", () => {
    const candidate = {
        entry: "e2",
        incarnation: "e2#1",
        suspectFence: 2,
        inheritBounds: noBounds,
    };
    const committed: TransactionOutcome = { kind: TransactionStatus.Committed, version: 9 };

    test("replaces the suspected owner", async () => {
        const result = await runScripted(takeOver("d", candidate), [committed], ownerRow("e1", 2, 5));
        expect(result).toMatchObject({
            kind: "taken",
            head: { owner: { fence: 2 + fencesPerTenure }, ownerVersion: 9 },
        });
    });

    test("fails if another entry has taken over in the meantime", async () => {
        expect(await runScripted(takeOver("d", candidate), [committed], ownerRow("e3", 3, 7))).toEqual({
            kind: "lost",
        });
    });

    test("succeeds if the domain was released in the meantime", async () => {
        const result = await runScripted(takeOver("d", candidate), [committed], ownerRow("", 3, 7));
        expect(result).toMatchObject({ kind: "taken", head: { owner: { fence: 3 + fencesPerTenure } } });
    });
});

describe("a batch of progress writes", () => {
    const unknown: TransactionOutcome = { kind: TransactionStatus.Unknown, reason: "timeout" };
    const chainRow = (incarnation: string, batch: number): StoredRow => ({
        ...chainKey("d"),
        value: JSON.stringify({ incarnation, batch }),
        version: 8,
        isRemoved: false,
    });

    test("with a lost response is recognized as committed by the batch number in the chain row", async () => {
        const conflict: TransactionOutcome = {
            kind: TransactionStatus.Conflict,
            rows: [chainRow("e1#1", 1)],
        };
        const result = await runScripted(commitBatch(head, []), [unknown, conflict]);
        expect(result).toMatchObject({ kind: "committed", head: { chainVersion: 8, batch: 1 } });
    });

    test("is rejected once another entry has taken over", async () => {
        const conflict: TransactionOutcome = {
            kind: TransactionStatus.Conflict,
            rows: [chainRow("e2#1", 0)],
        };
        expect(await runScripted(commitBatch(head, []), [conflict])).toEqual({ kind: "superseded" });
    });

    test("that is executed late cannot overwrite a later one", async () => {
        const timer = VirtualTimer.create();
        const rows = StandinRowStore.create(timer, Random.create(1));
        const store = rows.clientFor(timer);
        const perform = (effect: LedgerEffect): Promise<unknown> =>
            effect.kind === "transact" ? store.transact(effect.tx) : Promise.resolve({});
        const advanceUntilSettled = async <T>(promise: Promise<T>): Promise<T> => {
            await timer.advance(20_000);
            return promise;
        };
        const taken = await advanceUntilSettled(
            runFlow(
                takeOver("d", {
                    ...owner,
                    suspectFence: 0,
                    inheritBounds: noBounds,
                }),
                perform,
            ),
        );
        const initialHead = taken.kind === "taken" ? taken.head : head;
        const progressKey = { table: "progress", part: "d", key: "j" };
        let delayedTransaction: RowTransaction | undefined;
        const flow = commitBatch(initialHead, [{ ...progressKey, value: "old" }]);
        const result = await advanceUntilSettled(runFlow(flow, effect => {
            if (effect.kind === "transact" && delayedTransaction === undefined) {
                delayedTransaction = effect.tx;
                return Promise.resolve(unknown);
            }
            return perform(effect);
        }));
        const headAfterFirstBatch = result.kind === "committed" ? result.head : initialHead;
        await advanceUntilSettled(
            runFlow(commitBatch(headAfterFirstBatch, [{ ...progressKey, value: "new" }]), perform),
        );
        expect(await advanceUntilSettled(store.transact(delayedTransaction!))).toMatchObject({
            kind: TransactionStatus.Conflict,
        });
        expect(rows.find(progressKey)?.value).toBe("new");
    });
});

describe("an entry starts a takeover", () => {
    const baseView: TakeoverView = {
        self: "e2",
        owner,
        hasOwnerEnded: false,
        ownerSilentMs: 0,
        ownerStoreAgeMs: 0,
        storeAgeMs: 0,
        rank: 0,
        isStopping: false,
    };

    test.each([
        ["not while the owner sends heartbeats and reaches the store", {}, false],
        ["when the owner has stopped sending heartbeats", { ownerSilentMs: 700 }, true],
        ["later when other candidates rank higher", { ownerSilentMs: 700, rank: 2 }, false],
        ["when the owner does not reach the store", { ownerStoreAgeMs: 900 }, true],
        [
            "not when the candidate itself does not reach the store",
            { ownerSilentMs: 5000, storeAgeMs: 2000 },
            false,
        ],
        ["not while the candidate is stopping", { ownerSilentMs: 5000, isStopping: true }, false],
        ["at once when the owner's process has ended", { hasOwnerEnded: true, ownerSilentMs: 1 }, true],
        ["at once when the domain was released", { owner: { ...owner, entry: "" }, ownerSilentMs: 1 }, true],
        [
            "at once when its own previous incarnation was the owner",
            { self: "e1", hasOwnerEnded: true },
            true,
        ],
    ])("%s", (_, overrides, expected) => {
        expect(shouldTakeOver({ ...baseView, ...overrides })).toBe(expected);
    });
});

describe("membership", () => {
    test("ranks unregistered entries with the strength of this entry, so that names decide until they register", () => {
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
