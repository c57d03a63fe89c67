/** Fleets in virtual time in the shape of the shops, for measurements. */
import type { SettingsInput } from "../src/process/settings.js";
import { type Lists, parseLists } from "../src/version/schema.js";
import { Simulation, type SimulationOptions } from "../standin/simulation/simulation.js";

/** A queue of a measured fleet. */
export interface BenchQueue {
    readonly name: string;
    readonly pool: string;
    readonly isDeferred?: boolean;
    readonly isIdempotent?: boolean;
    readonly timeoutMs: number;
    readonly meanMs: number;
}

/** A team of a measured fleet, on a plan of its own. */
export interface BenchTeam {
    readonly name: string;
    readonly share: number;
    readonly limit: number;
}

/** Options of `createFleet`. */
export interface FleetOptions {
    readonly seed: number;
    readonly entries: number;
    readonly workersPerPool: number;
    readonly queues: readonly BenchQueue[];
    readonly teams: readonly BenchTeam[];
    readonly budget?: number;
    readonly settings?: Partial<SettingsInput>;
    readonly world?: Partial<SimulationOptions>;
}

/** Lists that give every team every queue. */
export function listsOf(queues: readonly BenchQueue[], teams: readonly BenchTeam[]): Lists {
    const listed = queues.map(({ name, pool, isDeferred = false, isIdempotent = true, timeoutMs }) =>
        [name, {
            service: pool,
            class: isDeferred ? "deferred" : "interactive",
            idempotent: isIdempotent,
            timeoutMs,
        }] as const
    );
    const names = queues.map(queue => queue.name);
    const plans = teams.map(({ name, share, limit }) => [name, { queues: names, share, limit }] as const);
    const members = teams.map(({ name }) => [name, { customer: name, plan: name }] as const);
    return parseLists(
        {
            file: "plans",
            text: JSON.stringify({ queues: Object.fromEntries(listed), plans: Object.fromEntries(plans) }),
        },
        { file: "teams", text: JSON.stringify({ teams: Object.fromEntries(members) }) },
    );
}

/** A started fleet. */
export async function createFleet(options: FleetOptions): Promise<Simulation> {
    const { seed, entries, workersPerPool, queues, teams, budget = 0, settings = {}, world: extra = {} } =
        options;
    const pools = [...new Set(queues.map(queue => queue.pool))];
    const means = new Map(queues.map(queue => [queue.name, queue.meanMs]));
    const world = Simulation.create({
        seed,
        entries,
        pools: pools.map(name => ({ name, workers: workersPerPool, budget })),
        lists: listsOf(queues, teams),
        meanServiceMs: queue => means.get(queue) ?? 50,
        settings,
        ...extra,
    });
    await world.start();
    return world;
}
