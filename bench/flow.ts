/** Open-loop load on a virtual fleet, at rates that may change with time. */
import { Random } from "../src/process/random.js";
import type { Simulation } from "../standin/simulation/simulation.js";

/** Load of one team on one queue. */
export interface Source {
    readonly team: string;
    readonly queue: string;
    /** Requests a second at a virtual time since the load began, in milliseconds. */
    readonly rate: (atMs: number) => number;
    /** Sends to the first so many entries only; to all when left out. */
    readonly entries?: number;
    /** Highest rate at any time. */
    readonly peak: number;
}

const entryRange = 1000;

/** Starts the sources; each request goes to a random entry. They stop by themselves after `forMs`. */
export function startLoad(world: Simulation, sources: readonly Source[], forMs: number, seed: number): void {
    const startedAt = world.timer.now();
    sources.forEach(({ team, queue, rate, peak, entries = entryRange }, at) => {
        const random = Random.create(seed * 131 + at);
        const next = (): void => {
            const atMs = world.timer.now() - startedAt;
            if (atMs >= forMs) {
                return;
            }
            if (random.chance(rate(atMs) / peak)) {
                void world.sendRequest(random.int(entries), team, queue);
            }
            world.timer.after(random.exponential(1000 / peak), next);
        };
        world.timer.after(random.exponential(1000 / peak), next);
    });
}

/** Runs the sources for `forMs` and lets the outcomes come in for `tailMs`. */
export async function runLoad(
    world: Simulation,
    sources: readonly Source[],
    forMs: number,
    seed: number,
    tailMs = 5000,
): Promise<void> {
    startLoad(world, sources, forMs, seed);
    await world.advance(forMs + tailMs);
}
