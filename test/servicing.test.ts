import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { listsOf } from "../bench/fleet.js";
import type { FleetView } from "../src/process/fleet.js";
import { nextVms } from "../src/process/maintenance.js";
import { noMembers } from "../src/process/members.js";
import { decideMove, ServiceMove, ServicePolicy } from "../src/process/planner.js";
import { VmState } from "../src/process/platform.js";
import { emptyPoolRow } from "../src/process/pool-rows.js";
import { responsibleFor } from "../src/process/rendezvous.js";
import { JobState } from "../src/request/job.js";
import { Simulation, type SimulationOptions } from "../standin/simulation/simulation.js";
import { vm } from "./builders.js";

const queues = [
    { name: "preview", pool: "atelier", timeoutMs: 2000, meanMs: 50 },
    { name: "proof", pool: "bridal", isDeferred: true, timeoutMs: 600_000, meanMs: 20_000 },
];

async function createWorld(differences: Partial<SimulationOptions> = {}): Promise<Simulation> {
    const world = Simulation.create({
        seed: 1,
        entries: 3,
        pools: [{ name: "atelier", workers: 4, budget: 3 }, { name: "bridal", workers: 4, budget: 2 }],
        lists: listsOf(queues, [{ name: "benches", share: 1, limit: 60 }]),
        meanServiceMs: queue => queues.find(each => each.name === queue)!.meanMs,
        isMaintenanceDue: each => each.startsWith("atelier"),
        rebootMs: 2000,
        ...differences,
    });
    await world.start();
    return world;
}

/** Advances and returns the lowest number of VMs of a pool that were available by plan. */
async function lowestAvailable(world: Simulation, pool: string, ms: number): Promise<number> {
    let lowest = Infinity;
    for (let at = 0; at < ms; at += 50) {
        await world.advance(50);
        const vms = world.embedded.vmsNow().filter(each => each.pool === pool);
        lowest = Math.min(lowest, vms.filter(each => each.state === VmState.Live && !each.draining).length);
    }
    return lowest;
}

const entryVms = (world: Simulation): readonly string[] => world.entries.map(entry => entry.vm);
const isServiced = (world: Simulation, id: string): boolean =>
    world.workers.get(id)!.bootId !== `${id}-boot-1`;
const atelier = ["atelier-0", "atelier-1", "atelier-2", "atelier-3"];

describe("servicing", () => {
    test("takes every due VM through drain and reboot without breaking the pool's budget", async () => {
        const world = await createWorld();
        expect(await lowestAvailable(world, "atelier", 60_000)).toBe(3);
        expect(atelier.every(id => isServiced(world, id))).toBe(true);
    });

    test("cuts no request and starts none on a VM that is being drained", async () => {
        const world = await createWorld();
        const calls: Promise<unknown>[] = [];
        for (let call = 0; call < 1500; call++) {
            calls.push(world.sendRequest(call, "benches", "preview"));
            await world.advance(20);
        }
        await world.advanceUntilSettled(Promise.all(calls));
        expect(world.calls.filter(call => call.reason !== "200")).toEqual([]);
        for (const [id, drain] of world.drains) {
            const starts = world.workers.get(id)!.runs.map(run => run.startedAt);
            expect(starts.filter(at => at > drain.from + 2000 && at < drain.until)).toEqual([]);
        }
    });

    test("moves deferred tasks off a VM by checkpoint, and they finish elsewhere", async () => {
        const world = await createWorld({ isMaintenanceDue: id => id === "bridal-1" });
        const submitted = Array.from({ length: 16 }, (_, at) => world.submitJob(at, "benches", "proof"));
        const ids = await world.advanceUntilSettled(Promise.all(submitted));
        await world.advance(90_000);
        expect(isServiced(world, "bridal-1")).toBe(true);
        const states = await Promise.all(ids.map(async id => (await world.readJob(id!))?.state));
        expect(states.every(state => state === JobState.Done)).toBe(true);
    });

    test("goes on when the entry that drives it ends at any step", async () => {
        for (const afterMs of [500, 2000, 4000, 6000]) {
            const world = await createWorld({ entries: 4, isMaintenanceDue: id => id === "atelier-0" });
            await world.advance(afterMs);
            world.killEntry(world.entries[0]!.vm);
            world.killEntry(world.entries[0]!.vm);
            await world.advance(120_000);
            expect(isServiced(world, "atelier-0"), `after ${afterMs} ms`).toBe(true);
            const [row] = [...world.entries[0]!.core.fleet.view.poolRows.values()];
            expect(row?.permits).toEqual({});
        }
    });

    test("does not reboot a VM while a frozen entry has not acknowledged", async () => {
        const world = await createWorld({ isMaintenanceDue: () => false });
        const responsible = world.entries.findIndex(entry =>
            entry.vm === responsibleFor("pool-atelier", entryVms(world))
        );
        world.pauseEntry(world.entries[(responsible + 1) % 3]!.vm, 10_000);
        world.makeMaintenanceDue("atelier-0");
        await world.advance(9000);
        expect(world.drains.has("atelier-0")).toBe(true);
        expect(isServiced(world, "atelier-0")).toBe(false);
        await world.advance(20_000);
        expect(isServiced(world, "atelier-0")).toBe(true);
    });

    test("halts a wave while a VM of the pool is down, and goes on by itself when it is back", async () => {
        const world = await createWorld({
            isMaintenanceDue: () => false,
            pools: [{ name: "atelier", workers: 4, budget: 1 }],
        });
        world.crashWorker("atelier-3", 20_000);
        await world.advance(2000);
        atelier.slice(0, 3).forEach(id => world.makeMaintenanceDue(id));
        await world.advance(15_000);
        expect(atelier.filter(id => world.drains.has(id))).toEqual([]);
        await world.advance(60_000);
        expect(atelier.every(id => isServiced(world, id))).toBe(true);
    });

    test("lends a spare VM to a pool at its budget, takes it back, and every VM is in one pool throughout", async () => {
        const world = await createWorld({
            pools: [{ name: "atelier", workers: 4, budget: 4 }, {
                name: "bridal",
                workers: 4,
                budget: 2,
                spare: true,
            }],
            isMaintenanceDue: id => id === "atelier-0",
        });
        let lent = 0;
        for (let at = 0; at < 60_000; at += 100) {
            await world.advance(100);
            const vms = world.embedded.vmsNow().filter(each => each.pool !== "entry");
            expect(vms).toHaveLength(8);
            lent = Math.max(lent, vms.filter(each => each.pool === "atelier").length - 4);
        }
        expect(lent).toBe(1);
        expect(isServiced(world, "atelier-0")).toBe(true);
        expect(world.embedded.vmsNow().filter(each => each.pool === "bridal")).toHaveLength(4);
    });

    test("tells the platform of a move again when the entry ended between the transaction and the call", async () => {
        const world = await createWorld({
            entries: 4,
            pools: [{ name: "atelier", workers: 4, budget: 4 }, {
                name: "bridal",
                workers: 4,
                budget: 2,
                spare: true,
            }],
            isMaintenanceDue: id => id === "atelier-0",
        });
        let hasKilled = false;
        for (const { vm: entry, platformConditions: mood } of world.entries) {
            mood.losesAnswer = about => {
                const isMove = about.startsWith("fleet/vm/") && !hasKilled
                    && world.embedded.rowsUnder("fleet/vm/").length > 0;
                if (isMove) {
                    hasKilled = true;
                    world.killEntry(entry);
                }
                return isMove;
            };
        }
        await world.advance(150_000);
        expect(hasKilled).toBe(true);
        expect(isServiced(world, "atelier-0")).toBe(true);
        expect(world.embedded.vmsNow().filter(each => each.pool === "atelier")).toHaveLength(4);
    });

    test("never chooses more VMs than the budget leaves, nor from two racks at once", () => {
        const state = fc.constantFrom(VmState.Live, VmState.Leaving, VmState.Failed);
        const each = fc.record({
            rack: fc.constantFrom("r1", "r2", "r3"),
            state,
            upDays: fc.integer({ min: 0, max: 60 }),
        });
        fc.assert(
            fc.property(
                fc.array(each, { maxLength: 12 }),
                fc.integer({ min: 0, max: 8 }),
                (drawn, budget) => {
                    const dayMs = 86_400_000;
                    const vms = drawn.map(({ rack, state: vmState, upDays }, at) =>
                        vm(`vm-${at}`, { rack, state: vmState, bootedAt: -upDays * dayMs })
                    );
                    const pools = [{ name: "atelier", budget, spare: false }];
                    const view: FleetView = {
                        members: noMembers,
                        vms,
                        pools,
                        poolRows: new Map(),
                        vmRows: new Map(),
                    };
                    const options = {
                        pool: "atelier",
                        view,
                        now: 0,
                        periodMs: 28 * dayMs,
                        nextId: () => "1",
                    };
                    const chosen = nextVms(options, emptyPoolRow);
                    const live = vms.filter(other => other.state === VmState.Live).length;
                    const isWithinBudget = chosen.length === 0 || live - chosen.length >= budget;
                    return isWithinBudget && new Set(chosen.map(other => other.rack)).size <= 1;
                },
            ),
            { seed: 5, numRuns: 500 },
        );
    });
});

describe("the planner", () => {
    const calm = {
        available: 8,
        budget: 6,
        useNow: 0.2,
        usePeak: 0.4,
        lendable: 1,
        borrowed: 0,
        waitedMs: 0,
    };
    const weights = { closeness: 1, bufferCost: 1, rollOutTime: 1, vmMoves: 1 };

    test("never takes a VM out of a pool at its budget, whatever the policy", () => {
        for (const policy of Object.values(ServicePolicy)) {
            expect(decideMove(policy, { ...calm, available: 6 }, weights)).not.toBe(ServiceMove.TakeOut);
        }
    });

    test("takes a VM out at once in a calm pool", () => {
        expect(decideMove(ServicePolicy.Weighed, calm, weights)).toBe(ServiceMove.TakeOut);
    });

    test("waits for a trough during a burst, but not for ever", () => {
        const burst = { ...calm, useNow: 1.1, lendable: 0 };
        expect(decideMove(ServicePolicy.Trough, burst, weights)).toBe(ServiceMove.Wait);
        expect(decideMove(ServicePolicy.Trough, { ...burst, waitedMs: 3_600_000 }, weights)).toBe(
            ServiceMove.TakeOut,
        );
    });
});
