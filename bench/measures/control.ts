/** What control costs: store calls and peer traffic of an entry, at rest and under load, and writes a job. */
import type { Simulation } from "../../standin/simulation/simulation.js";
import { createFleet } from "../fleet.js";
import { startLoad } from "../flow.js";
import { type Figures, type Measure, round } from "../measure.js";

const pools = ["bench", "atelier", "studio", "bridal", "office"];
const queues = pools.map(pool => ({ name: `q-${pool}`, pool, timeoutMs: 2000, meanMs: 100 }));
const proofs = { name: "proofs", pool: "bridal", isDeferred: true, timeoutMs: 600_000, meanMs: 300 };
const teams = ["a", "b", "c", "d", "e", "f"].map(name => ({ name, share: 1, limit: 64 }));
const spanMs = 20_000;
const ratePerTeamAndQueue = 20;
const jobCount = 100;

interface Counters {
    readonly reads: number;
    readonly writes: number;
    readonly bytes: number;
    readonly messages: number;
}

function countersOf(world: Simulation): Counters {
    const sum = (pick: (entry: Simulation["entries"][number]) => number): number =>
        world.entries.reduce((total, entry) => total + pick(entry), 0);
    return {
        reads: sum(entry => entry.platform.calls.reads),
        writes: sum(entry => entry.platform.calls.writes),
        bytes: sum(entry => entry.peers.sent.bytes),
        messages: sum(entry => entry.peers.sent.messages),
    };
}

async function perEntry(world: Simulation, name: string): Promise<Figures> {
    const before = countersOf(world);
    await world.advance(spanMs);
    const after = countersOf(world);
    const per = (key: keyof Counters): number =>
        round((after[key] - before[key]) / world.entries.length / (spanMs / 1000));
    return {
        [`${name}_reads_per_s`]: per("reads"),
        [`${name}_writes_per_s`]: per("writes"),
        [`${name}_peer_bytes_per_s`]: per("bytes"),
        [`${name}_peer_messages_per_s`]: per("messages"),
    };
}

async function perJob(seed: number): Promise<number> {
    const world = await createFleet({
        seed,
        entries: 4,
        workersPerPool: 4,
        queues: [...queues, proofs],
        teams,
    });
    await world.advance(5000);
    const before = countersOf(world);
    for (let job = 0; job < jobCount; job++) {
        void world.submitJob(job, "a", "proofs");
        await world.advance(50);
    }
    await world.advance(10_000);
    return round((countersOf(world).writes - before.writes) / jobCount);
}

/** Measures the cost of control. */
export const control: Measure = {
    name: "control",
    isVirtual: true,
    run: async ({ seed }) => {
        const idle = await createFleet({ seed, entries: 9, workersPerPool: 8, queues, teams });
        await idle.advance(10_000);
        const atRest = await perEntry(idle, "idle");
        const sources = teams.flatMap(team =>
            queues.map(queue => ({
                team: team.name,
                queue: queue.name,
                rate: () => ratePerTeamAndQueue,
                peak: ratePerTeamAndQueue,
            }))
        );
        startLoad(idle, sources, spanMs + 8000, seed);
        await idle.advance(8000);
        return { ...atRest, ...await perEntry(idle, "loaded"), writes_per_job: await perJob(seed) };
    },
};
