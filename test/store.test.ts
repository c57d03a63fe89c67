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
import { createStoreClient, runStore } from "./builders.js";

function createFixture() {
    const timer = VirtualTimer.create();
    const inner = EmbeddedPlatform.create();
    const mood = normalConditions();
    const platform = new VirtualPlatform(inner, timer, [mood]);
    return { timer, inner, mood, platform, store: createStoreClient(platform, timer) };
}

/** Advances the virtual time in steps of 20 ms until the work has settled. */
async function runToCompletion<T>(timer: VirtualTimer, work: Promise<T>): Promise<T> {
    let isDone = false;
    const tracked = work.finally(() => isDone = true);
    tracked.catch(() => undefined);
    while (!isDone) {
        await timer.advance(20);
    }
    return tracked;
}

const commitEffect = (key: string, version: number, value: unknown): StoreEffect => ({
    kind: StoreEffectKind.Commit,
    priority: StorePriority.Claim,
    writes: [putWrite(key, version === 0 ? undefined : { key, version, value: undefined }, value)],
});

describe("store client", () => {
    test("reports a write as committed although the response was lost", async () => {
        const { timer, mood, store, platform } = createFixture();
        let answersToLose = 1;
        mood.losesAnswer = () => answersToLose-- > 0;
        expect(await runToCompletion(timer, store.perform(commitEffect("a", 0, 1)))).toBe(
            CommitOutcome.Committed,
        );
        expect(platform.calls.writes).toBe(2);
    });

    test("reports a conflict with another client's write although the response was lost", async () => {
        const { timer, mood, store, inner } = createFixture();
        let answersToLose = 1;
        mood.losesAnswer = () => answersToLose-- > 0;
        await runToCompletion(
            timer,
            createStoreClient(inner, timer, 2).perform(commitEffect("a", 0, "other")),
        );
        expect(await runToCompletion(timer, store.perform(commitEffect("a", 0, "mine")))).toBe(
            CommitOutcome.Conflict,
        );
    });

    test("reports a write as committed even when another write follows before the check", async () => {
        const { timer, mood, store, inner } = createFixture();
        const otherStore = createStoreClient(inner, timer, 2);
        let isFirst = true;
        mood.losesAnswer = () => {
            const isLost = isFirst;
            isFirst = false;
            return isLost;
        };
        const ownCommit = store.perform(commitEffect("a", 0, "mine"));
        await timer.advance(3);
        const row = await runToCompletion(timer, runStore(otherStore, getRow("a", StorePriority.Claim)));
        await runToCompletion(
            timer,
            runStore(otherStore, commit([putWrite("a", row, "other")], StorePriority.Claim)),
        );
        expect(await runToCompletion(timer, ownCommit)).toBe(CommitOutcome.Committed);
    });

    test("reports an unknown outcome while the platform stays unavailable after a write was sent", async () => {
        const { timer, mood, store } = createFixture();
        mood.losesAnswer = () => true;
        expect(await runToCompletion(timer, store.perform(commitEffect("a", 0, 1)))).toBe(
            CommitOutcome.Unknown,
        );
    });

    test("opens the circuit breaker while the platform is down, sends few calls, and closes it after recovery", async () => {
        const { timer, mood, store, platform } = createFixture();
        mood.isDown = true;
        for (let index = 0; index < 200; index++) {
            store.perform({ kind: StoreEffectKind.Get, priority: StorePriority.Claim, key: "a" }).catch(() =>
                undefined
            );
            await timer.advance(50);
        }
        expect(platform.calls.reads).toBeLessThan(40);
        mood.isDown = false;
        await timer.advance(3000);
        const read = store.perform({ kind: StoreEffectKind.Get, priority: StorePriority.Claim, key: "a" });
        await expect(runToCompletion(timer, read)).resolves.toBeUndefined();
    });

    test("serves high-priority calls first when it reaches its rate limit, and stays within the limit", async () => {
        const { timer, store, platform } = createFixture();
        store.setRate(10);
        const order: StorePriority[] = [];
        const get = (priority: StorePriority): void => {
            void store.perform({ kind: StoreEffectKind.Get, priority, key: "a" }).then(() =>
                order.push(priority)
            );
        };
        for (let index = 0; index < 230; index++) {
            get(StorePriority.Background);
        }
        get(StorePriority.Lists);
        await timer.advance(1000);
        expect(order.indexOf(StorePriority.Lists)).toBeLessThan(205);
        expect(platform.calls.reads).toBeLessThanOrEqual(211);
    });
});
