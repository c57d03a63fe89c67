/** Bad and leaving workers: what callers see of them, and when they get their last request. */
import { VmState } from "../../src/process/platform.js";
import { CallOutcome } from "../../standin/history.js";
import { Fault } from "../../standin/worker.js";
import { createFleet } from "../fleet.js";
import { runLoad, startLoad } from "../flow.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";

const safe = { name: "safe", pool: "atelier", timeoutMs: 1500, meanMs: 60 };
const exact = { name: "exact", pool: "atelier", isIdempotent: false, timeoutMs: 1500, meanMs: 60 };
const teams = [{ name: "a", share: 1, limit: 128 }];
const entries = 4;
const workersPerPool = 8;
const rate = workersPerPool * 8 * 1000 / safe.meanMs * 0.2;
const spanMs = 15_000;

/** Part of requests answered well while one of eight workers has a fault. */
async function withFault(fault: Fault, seed: number): Promise<Figures> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [safe, exact], teams });
    world.workers.get("atelier-0")!.fault = fault;
    const sources = [safe, exact].map(queue => ({
        team: "a",
        queue: queue.name,
        rate: () => rate,
        peak: rate,
    }));
    await runLoad(world, sources, spanMs, seed);
    const part = (queue: string): number => {
        const calls = world.calls.filter(call => call.queue === queue);
        return round(
            calls.filter(call => call.outcome === CallOutcome.Answered && call.reason === "200").length
                / calls.length,
        );
    };
    const p99 = quantile(world.calls.map(call => call.durationMs), 0.99);
    return {
        [`${fault}_safe`]: part("safe"),
        [`${fault}_exact`]: part("exact"),
        [`${fault}_p99_ms`]: round(p99),
    };
}

/** Time from the platform's list showing a leaving worker to its last new request. */
async function leaving(seed: number): Promise<number> {
    const world = await createFleet({ seed, entries, workersPerPool, queues: [safe], teams });
    startLoad(world, [{ team: "a", queue: "safe", rate: () => rate, peak: rate }], spanMs, seed);
    await world.advance(5000);
    const listedAt = world.timer.now();
    const vm = world.embedded.currentVms().find(other => other.id === "atelier-3")!;
    world.embedded.putVm({ ...vm, state: VmState.Leaving });
    await world.advance(10_000);
    const starts = world.workers.get("atelier-3")!.runs.map(run => run.startedAt);
    return Math.max(0, Math.max(...starts) - listedAt);
}

/** Measures bad and leaving workers. */
export const workers: Measure = {
    name: "workers",
    isVirtual: true,
    run: async ({ seed }) => {
        const figures: Record<string, number> = {};
        for (const fault of [Fault.FailFast, Fault.Slow, Fault.Hang, Fault.Reset, Fault.Truncate]) {
            Object.assign(figures, await withFault(fault, seed));
        }
        return { ...figures, leaving_last_request_ms: round(await leaving(seed)) };
    },
};
