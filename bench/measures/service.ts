/** Policies for servicing VMs on both shops' sizes: buffer cost, roll-out time, VM moves and requests not answered. */
import { type CostWeights, MaintenancePolicy } from "../../src/process/maintenance-planner.js";
import { CallOutcome } from "../../standin/history.js";
import { atlas, narragansett, type Shop } from "../../standin/shops.js";
import { Simulation } from "../../standin/simulation/simulation.js";
import { listsOf } from "../fleet.js";
import { type Source, startLoad } from "../flow.js";
import { type Figures, type Measure, round } from "../measure.js";

const meanMs = 500;
const timeoutMs = 2500;
const burstMs = 6000;
const burstOverload = 1.05;
const burstFactor = 5;
const quietFactor = 1 / 20;
const rebootMs = 4000;
const longestMs = 400_000;
const stepMs = 1000;
const duePart = 3;
const entries = 4;
const teams = ["a", "b", "c"];

/** What each shop minds, as its letter says: the first closeness to share, the second buffer and roll-out time. */
const weightsOf: ReadonlyMap<string, CostWeights> = new Map([
    [narragansett.exampleFolder, { closeness: 4, bufferCost: 1, rollOutTime: 1, vmMoves: 1 }],
    [atlas.exampleFolder, { closeness: 2, bufferCost: 3, rollOutTime: 3, vmMoves: 1 }],
]);

function sourcesOf(shop: Shop): readonly Source[] {
    const span = burstMs * shop.pools.length;
    return shop.pools.flatMap(({ name, workers }, at) => {
        const burst = workers * 8 * 1000 / meanMs * burstOverload;
        const rate = (atMs: number): number => {
            const isBurst = Math.floor(atMs % span / burstMs) === at;
            return (isBurst ? burst : burst / burstFactor * quietFactor) / teams.length;
        };
        return teams.map(team => ({ team, queue: `q-${name}`, rate, peak: burst / teams.length }));
    });
}

async function measurePolicy(shop: Shop, policy: MaintenancePolicy, seed: number): Promise<Figures> {
    const queues = shop.pools.map(({ name }) => ({ name: `q-${name}`, pool: name, timeoutMs, meanMs }));
    const world = Simulation.create({
        seed,
        entries,
        pools: shop.pools,
        lists: listsOf(queues, teams.map(name => ({ name, share: 1, limit: 300 }))),
        meanServiceMs: () => meanMs,
        rebootMs,
        isMaintenanceDue: vm => Number(vm.split("-").at(-1)) % duePart === 0,
        settings: { servicing: policy, weights: weightsOf.get(shop.exampleFolder)! },
    });
    const due = [...world.workers.keys()].filter(vm => Number(vm.split("-").at(-1)) % duePart === 0);
    await world.start();
    const startedAt = world.timer.now();
    startLoad(world, sourcesOf(shop), longestMs, seed);
    let outMs = 0;
    const isServiced = (vm: string): boolean => (world.drains.get(vm)?.until ?? Infinity) !== Infinity;
    while (!due.every(isServiced) && world.timer.now() - startedAt < longestMs) {
        await world.advance(stepMs);
        outMs += stepMs
            * world.embedded.currentVms().filter(vm => vm.draining || vm.state !== "live" as typeof vm.state)
                .length;
    }
    const rollOutMs = world.timer.now() - startedAt;
    const moves = world.entries.reduce(
        (sum, entry) => sum + entry.metrics.read("celerywind_vm_moves_total"),
        0,
    );
    const late = world.calls.filter(call => call.outcome !== CallOutcome.Answered).length;
    return {
        serviced: due.filter(isServiced).length,
        roll_out_s: round(rollOutMs / 1000),
        vm_moves: moves,
        buffer_vm_s: round(outMs / 1000),
        not_answered_part: round(late / world.calls.length),
    };
}

/** Compares the policies at both shops. */
export const service: Measure = {
    name: "service",
    isVirtual: true,
    run: async ({ seed }) => {
        const figures: Record<string, number> = {};
        for (const shop of [narragansett, atlas]) {
            for (const policy of Object.values(MaintenancePolicy)) {
                const measured = await measurePolicy(shop, policy, seed);
                Object.entries(measured).forEach(([name, value]) =>
                    figures[`${shop.exampleFolder}/${policy}/${name}`] = value
                );
            }
        }
        return figures;
    },
};
