/** Routing policies under the shops' bursts: each queue in turn at five times its mean, then at a twentieth. */
import { SlotPolicyKind } from "../../src/process/slots.js";
import { CallOutcome } from "../../standin/history.js";
import type { Simulation } from "../../standin/simulation/simulation.js";
import { type BenchQueue, createFleet } from "../fleet.js";
import { runLoad, type Source } from "../flow.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";

const pools = ["bench", "atelier", "studio", "bridal", "office"];
const teams = ["thames", "bellevue", "weddings", "benches", "committee", "planner"];
const entries = 8;
const workersPerPool = 8;
const slots = 8;
const meanMs = 200;
const burstMs = 6000;
const burstOverload = 1.3;
const burstFactor = 5;
const quietFactor = 1 / 20;
const spanMs = burstMs * pools.length;

const queues: readonly BenchQueue[] = pools.map(pool => ({
    name: `q-${pool}`,
    pool,
    timeoutMs: 2000,
    meanMs,
}));

/** Requests a second that a pool can answer. */
const capacity = workersPerPool * slots * 1000 / meanMs;

/** Load of every queue, bursting in turn. */
export function burstingSources(): readonly Source[] {
    const burstRate = capacity * burstOverload;
    return queues.flatMap((queue, at) =>
        teams.map(team => ({
            team,
            queue: queue.name,
            peak: burstRate / teams.length,
            rate: (atMs: number) => {
                const isBurst = Math.floor(atMs / burstMs) % pools.length === at;
                return (isBurst ? burstRate : burstRate / burstFactor * quietFactor) / teams.length;
            },
        }))
    );
}

async function measurePolicy(policy: SlotPolicyKind, seed: number): Promise<Figures> {
    const world = await createFleet({
        seed,
        entries,
        workersPerPool,
        queues,
        teams: teams.map(name => ({ name, share: 1, limit: 200 })),
        settings: { slots: { policy } },
    });
    const before = world.entries.map(entry => ({ ...entry.peers.sent }));
    await runLoad(world, burstingSources(), spanMs, seed);
    return figuresOf(world, before.reduce((sum, sent) => sum + sent.messages, 0));
}

function figuresOf(world: Simulation, messagesBefore: number): Figures {
    const answered = world.calls.filter(call => call.outcome === CallOutcome.Answered);
    const refusals = [...world.workers.values()].reduce((sum, worker) => sum + worker.refusedCount, 0);
    const messages = world.entries.reduce((sum, entry) => sum + entry.peers.sent.messages, 0)
        - messagesBefore;
    const waits = answered.map(call => call.durationMs);
    return {
        asked: world.calls.length,
        answered: answered.length,
        goodput_of_capacity: round(
            answered.length / (capacity * spanMs / 1000 * (1 + quietFactor * 4 / burstFactor)),
        ),
        full_workers_hit: refusals,
        p50_ms: round(quantile(waits, 0.5)),
        p99_ms: round(quantile(waits, 0.99)),
        messages_per_request: round(messages / world.calls.length),
        unknown: world.calls.filter(call => call.outcome === CallOutcome.Unknown).length,
    };
}

/** Compares the policies on the same load. */
export const routing: Measure = {
    name: "routing",
    isVirtual: true,
    run: async ({ seed }) => {
        const figures: Record<string, number> = {};
        for (const policy of Object.values(SlotPolicyKind)) {
            const measured = await measurePolicy(policy, seed);
            Object.entries(measured).forEach(([name, value]) => figures[`${policy}/${name}`] = value);
        }
        return figures;
    },
};
