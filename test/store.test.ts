import { describe, expect, test } from "vitest";
import { EmbeddedPlatform } from "../src/connection/platform/index.js";
import {
    commit,
    CommitOutcome,
    getRow,
    putWrite,
    type StoreEffect,
    StoreEffectKind,
    StorePriority,
} from "../src/process/store.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { normalConditions, VirtualPlatform } from "../standin/simulation/platform.js";
import { runStore, storeOver } from "./builders.js";

function create() {
    const timer = VirtualTimer.create();
    const inner = EmbeddedPlatform.create();
    const mood = normalConditions();
    const platform = new VirtualPlatform(inner, timer, [mood]);
    return { timer, inner, mood, platform, store: storeOver(platform, timer) };
}

async function settle<T>(timer: VirtualTimer, work: Promise<T>): Promise<T> {
    let isDone = false;
    const marked = work.finally(() => isDone = true);
    marked.catch(() => undefined);
    while (!isDone) {
        await timer.advance(20);
    }
    return marked;
}

const write = (key: string, version: number, value: unknown): StoreEffect => ({
    kind: StoreEffectKind.Commit,
    priority: StorePriority.Claim,
    writes: [putWrite(key, version === 0 ? undefined : { key, version, value: undefined }, value)],
});

describe("store client", () => {
    test("knows that its write took effect although the answer was lost", async () => {
        const { timer, mood, store, platform } = create();
        let lost = 1;
        mood.losesAnswer = () => lost-- > 0;
        expect(await settle(timer, store.perform(write("a", 0, 1)))).toBe(CommitOutcome.Committed);
        expect(platform.calls.writes).toBe(2);
    });

    test("knows that another's write took its place although the answer was lost", async () => {
        const { timer, mood, store, inner } = create();
        let lost = 1;
        mood.losesAnswer = () => lost-- > 0;
        await settle(timer, storeOver(inner, timer, 2).perform(write("a", 0, "other")));
        expect(await settle(timer, store.perform(write("a", 0, "mine")))).toBe(CommitOutcome.Conflict);
    });

    test("knows its write even when another write came on top before it looked", async () => {
        const { timer, mood, store, inner } = create();
        const other = storeOver(inner, timer, 2);
        let isFirst = true;
        mood.losesAnswer = () => {
            const loses = isFirst;
            isFirst = false;
            return loses;
        };
        const mine = store.perform(write("a", 0, "mine"));
        await timer.advance(3);
        const row = await settle(timer, runStore(other, getRow("a", StorePriority.Claim)));
        await settle(timer, runStore(other, commit([putWrite("a", row, "other")], StorePriority.Claim)));
        expect(await settle(timer, mine)).toBe(CommitOutcome.Committed);
    });

    test("says unknown while the platform stays away after a write was sent", async () => {
        const { timer, mood, store } = create();
        mood.losesAnswer = () => true;
        expect(await settle(timer, store.perform(write("a", 0, 1)))).toBe(CommitOutcome.Unknown);
    });

    test("opens the breaker on a dead platform, sends few calls, and closes it again", async () => {
        const { timer, mood, store, platform } = create();
        mood.isDown = true;
        for (let call = 0; call < 200; call++) {
            store.perform({ kind: StoreEffectKind.Get, priority: StorePriority.Claim, key: "a" }).catch(() =>
                undefined
            );
            await timer.advance(50);
        }
        expect(platform.calls.reads).toBeLessThan(40);
        mood.isDown = false;
        await timer.advance(3000);
        const read = store.perform({ kind: StoreEffectKind.Get, priority: StorePriority.Claim, key: "a" });
        await expect(settle(timer, read)).resolves.toBeUndefined();
    });

    test("serves important calls first when its budget is short, and stays within it", async () => {
        const { timer, store, platform } = create();
        store.setRate(10);
        const order: StorePriority[] = [];
        const get = (priority: StorePriority): void => {
            void store.perform({ kind: StoreEffectKind.Get, priority, key: "a" }).then(() =>
                order.push(priority)
            );
        };
        for (let call = 0; call < 230; call++) {
            get(StorePriority.Background);
        }
        get(StorePriority.Lists);
        await timer.advance(1000);
        expect(order.indexOf(StorePriority.Lists)).toBeLessThan(205);
        expect(platform.calls.reads).toBeLessThanOrEqual(211);
    });
});
