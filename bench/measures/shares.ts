/** Closeness to share: how far the worst team is from its share of a full pool, over windows of ten seconds. */
import type { Simulation } from "../../standin/simulation/simulation.js";
import { createFleet } from "../fleet.js";
import { runLoad, type Source, startLoad } from "../flow.js";
import { type Figures, type Measure, round } from "../measure.js";

const queue = { name: "q", pool: "atelier", timeoutMs: 2000, meanMs: 100 };
const teams = [
    { name: "a", share: 1, limit: 64 },
    { name: "b", share: 1, limit: 64 },
    { name: "c", share: 2, limit: 64 },
    { name: "d", share: 3, limit: 64 },
    { name: "e", share: 4, limit: 64 },
    { name: "f", share: 5, limit: 64 },
];
const entries = 8;
const workersPerPool = 8;
const capacity = workersPerPool * 8 * 1000 / queue.meanMs;
const settleMs = 6000;
const windowMs = 10_000;
const floodFactor = 100;

function source(team: string, rate: number): Source {
    return { team, queue: queue.name, rate: () => rate, peak: rate };
}

/** Largest relative distance of any team's part of the slot time from its share, among the teams that saturate. */
export function worstDistance(
    world: Simulation,
    from: number,
    to: number,
    saturating: readonly string[],
): number {
    const used = new Map<string, number>();
    for (const run of [...world.workers.values()].flatMap(worker => worker.runs)) {
        const overlap = Math.min(to, run.endedAt ?? to) - Math.max(from, run.startedAt);
        used.set(run.team, (used.get(run.team) ?? 0) + Math.max(0, overlap));
    }
    const listed = teams.filter(team => saturating.includes(team.name));
    const shares = listed.reduce((sum, team) => sum + team.share, 0);
    const total = listed.reduce((sum, team) => sum + (used.get(team.name) ?? 0), 0);
    return Math.max(
        ...listed.map(team => Math.abs((used.get(team.name) ?? 0) / total / (team.share / shares) - 1)),
    );
}

/** All teams saturate; those named in `uneven` reach only half of the entries. */
async function allSaturate(seed: number, uneven: readonly string[]): Promise<number> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [queue], teams });
    const start = world.timer.now();
    const sources = teams.map(({ name }) => {
        const even = source(name, capacity / 2);
        return uneven.includes(name) ? { ...even, entries: entries / 2 } : even;
    });
    await runLoad(world, sources, settleMs + windowMs, seed, 0);
    return worstDistance(world, start + settleMs, start + settleMs + windowMs, teams.map(team => team.name));
}

/** One small team floods with a hundred times what the others ask, which is their share of the pool each. */
async function oneFloods(seed: number): Promise<Figures> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [queue], teams });
    const start = world.timer.now();
    const modest = teams.slice(1).map(team => source(team.name, capacity * team.share / 16 * 0.8));
    const flood = source("a", capacity / 16 * floodFactor / 5);
    await runLoad(world, [...modest, flood], settleMs + windowMs, seed, 3000);
    const others = world.calls.filter(call => call.team !== "a");
    const answered = others.filter(call => call.outcome === "answered" as typeof call.outcome);
    return {
        flooded_others_answered: round(answered.length / others.length),
        flood_ms: world.timer.now() - start,
    };
}

/** An idle team returns: time until it runs its share. */
async function idleReturns(seed: number): Promise<number> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [queue], teams });
    const others = teams.slice(0, 5).map(team => source(team.name, capacity / 2));
    startLoad(world, others, 30_000, seed);
    await world.advance(settleMs);
    const returnedAt = world.timer.now();
    startLoad(world, [source("f", capacity / 2)], 20_000, seed + 1);
    const fair = 64 * 5 / 16 * 0.9;
    while (world.timer.now() - returnedAt < 15_000) {
        await world.advance(50);
        const now = world.timer.now();
        const runs = [...world.workers.values()].flatMap(worker => worker.runs);
        const running = runs.filter(run =>
            run.team === "f" && run.startedAt <= now && (run.endedAt ?? Infinity) > now
        ).length;
        if (running >= fair) {
            break;
        }
    }
    return world.timer.now() - returnedAt;
}

/** Measures closeness to share. */
export const shares: Measure = {
    name: "shares",
    isVirtual: true,
    run: async ({ seed }) => ({
        worst_distance_all_saturate: round(await allSaturate(seed, [])),
        worst_distance_uneven_entries: round(await allSaturate(seed, ["a", "b", "c"])),
        ...await oneFloods(seed),
        idle_team_back_at_share_ms: await idleReturns(seed),
    }),
};
