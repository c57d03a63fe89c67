/** Goodput, urgent starts and retries when more is asked than the pool can do. */
import { CallOutcome } from "../../standin/history.js";
import { Fault } from "../../standin/worker.js";
import { createFleet } from "../fleet.js";
import { runLoad, startLoad } from "../flow.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";

const queue = { name: "q", pool: "atelier", timeoutMs: 1500, meanMs: 100 };
const teams = [{ name: "a", share: 1, limit: 64 }, { name: "b", share: 1, limit: 64 }];
const entries = 4;
const workersPerPool = 4;
const capacity = workersPerPool * 8 * 1000 / queue.meanMs;
const spanMs = 12_000;
const warmUpMs = 3000;

/** Answers a second while the load lasts, as a part of what the pool can do. */
async function goodputAt(factor: number, seed: number): Promise<number> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [queue], teams });
    const rate = capacity * factor / teams.length;
    const sources = teams.map(team => ({ team: team.name, queue: queue.name, rate: () => rate, peak: rate }));
    const start = world.timer.now();
    await runLoad(world, sources, warmUpMs + spanMs, seed, 0);
    const runs = [...world.workers.values()].flatMap(worker => worker.runs);
    const inSpan = (at: number | undefined): boolean => at !== undefined && at > start + warmUpMs;
    const answered = new Set(
        world.calls.filter(call => call.outcome === CallOutcome.Answered).map(call => call.id),
    );
    return runs.filter(run => inSpan(run.endedAt) && answered.has(run.id)).length
        / (capacity * spanMs / 1000);
}

/** Time from call to start of interactive requests while the pool is full of deferred work, in milliseconds. */
async function urgentStarts(seed: number): Promise<Figures> {
    const deferred = { name: "d", pool: "atelier", isDeferred: true, timeoutMs: 600_000, meanMs: 5000 };
    const world = await createFleet({ seed, entries, workersPerPool, queues: [queue, deferred], teams });
    for (let job = 0; job < 200; job++) {
        void world.submitJob(job, "a", "d");
    }
    await world.advance(8000);
    const rate = capacity / 10;
    await runLoad(world, [{ team: "b", queue: "q", rate: () => rate, peak: rate }], spanMs, seed);
    const running = [...world.workers.values()].flatMap(worker => worker.runs);
    const startOf = new Map(running.map(run => [run.id, run.startedAt]));
    const endOf = new Map(running.map(run => [run.id, run.endedAt ?? 0]));
    const answered = world.calls.filter(call => call.outcome === CallOutcome.Answered);
    const waits = answered.map(call => call.durationMs - (endOf.get(call.id)! - startOf.get(call.id)!));
    return {
        urgent_start_p99_ms: round(quantile(waits, 0.99)),
        urgent_answered: round(answered.length / world.calls.length),
        deferred_running: running.filter(run => run.isTask && run.endedAt === undefined).length,
    };
}

/** Attempts for each request while half of the workers fail everything. */
async function halfFail(seed: number): Promise<Figures> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [queue], teams });
    [...world.workers.values()].slice(0, workersPerPool / 2).forEach(worker => worker.fault = Fault.FailFast);
    const rate = capacity * 0.3 / teams.length;
    const sources = teams.map(team => ({ team: team.name, queue: queue.name, rate: () => rate, peak: rate }));
    startLoad(world, sources, spanMs, seed);
    await world.advance(spanMs + 3000);
    const runs = [...world.workers.values()].reduce((sum, worker) => sum + worker.runs.length, 0);
    const good =
        world.calls.filter(call => call.outcome === CallOutcome.Answered && call.reason === "200").length;
    return {
        half_fail_attempts_per_request: round(runs / world.calls.length),
        half_fail_answered: round(good / world.calls.length),
    };
}

/** Measures behaviour under overload and mass failure. */
export const overload: Measure = {
    name: "overload",
    isVirtual: true,
    run: async ({ seed }) => ({
        goodput_at_1x: round(await goodputAt(1, seed)),
        goodput_at_5x: round(await goodputAt(5, seed)),
        goodput_at_20x: round(await goodputAt(20, seed)),
        ...await urgentStarts(seed),
        ...await halfFail(seed),
    }),
};
