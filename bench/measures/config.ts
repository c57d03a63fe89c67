/** How soon changes of lists and keys are in force everywhere, with the store up, slow and down. */
import type { Simulation } from "../../standin/simulation/simulation.js";
import { createFleet } from "../fleet.js";
import { type Measure } from "../measure.js";

const queue = { name: "q", pool: "atelier", timeoutMs: 1500, meanMs: 50 };
const teams = [{ name: "a", share: 1, limit: 64 }];
const limitMs = 10_000;
const stepMs = 10;

type Mood = "up" | "slow" | "down" | "cut";

/** Time until no entry starts work for a withdrawn key any more. */
async function withdrawal(entries: number, mood: Mood, seed: number): Promise<number> {
    const world = await createFleet({ seed, entries, workersPerPool: 4, queues: [queue], teams });
    await world.issueSpareKeys("a", 1);
    await world.advance(2000);
    setMood(world, mood);
    await world.advance(1000);
    const [key] = world.spareKeys;
    const startedAt = world.timer.now();
    void world.entries[0]!.core.versions.withdrawKey(key!.id);
    return timeUntil(world, startedAt, () => world.countAcceptingEntries(key!.text) === 0);
}

function setMood(world: Simulation, mood: Mood): void {
    world.platformConditions.isDown = mood === "down";
    world.platformConditions.latencyMs = mood === "slow" ? 2000 : 2;
    if (mood === "cut") {
        world.setIsolated(world.entries[1]!.vm, true);
    }
}

/** Time from the operator's request until every entry has the new lists. */
async function listsInForce(entries: number, seed: number): Promise<number> {
    const world = await createFleet({ seed, entries, workersPerPool: 4, queues: [queue], teams });
    const startedAt = world.timer.now();
    const { lists, listsRevision } = world.entries[0]!.core.versions.state;
    void world.entries[0]!.core.versions.applyLists({ ...lists }, listsRevision);
    const isInForce = (): boolean =>
        world.entries.every(({ core }) => core.versions.state.listsRevision > listsRevision);
    return timeUntil(world, startedAt, isInForce);
}

async function timeUntil(world: Simulation, startedAt: number, holds: () => boolean): Promise<number> {
    while (!holds() && world.timer.now() - startedAt < limitMs) {
        await world.advance(stepMs);
    }
    return world.timer.now() - startedAt;
}

/** A hundred operators apply lists at once: winners of each revision, and losers who were told so. */
async function race(seed: number) {
    const world = await createFleet({ seed, entries: 9, workersPerPool: 4, queues: [queue], teams });
    const { lists, listsRevision } = world.entries[0]!.core.versions.state;
    const applies = Array.from(
        { length: 100 },
        (_, at) => world.entries[at % 9]!.core.versions.applyLists({ ...lists }, listsRevision),
    );
    const results = await world.advanceUntilSettled(Promise.allSettled(applies));
    const winners = results.filter(result => result.status === "fulfilled").length;
    return { race_winners: winners, race_losers_told: results.length - winners };
}

/** Measures how configuration spreads. */
export const config: Measure = {
    name: "config",
    isVirtual: true,
    run: async ({ seed }) => ({
        withdrawn_store_up_ms: await withdrawal(9, "up", seed),
        withdrawn_store_slow_ms: await withdrawal(9, "slow", seed),
        withdrawn_store_down_ms: await withdrawal(9, "down", seed),
        withdrawn_one_cut_off_ms: await withdrawal(9, "cut", seed),
        lists_in_force_9_entries_ms: await listsInForce(9, seed),
        lists_in_force_40_entries_ms: await listsInForce(40, seed),
        ...await race(seed),
    }),
};
