import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { listsOf } from "../bench/fleet.js";
import type { FleetView } from "../src/process/fleet.js";
import { decideAction, MaintenanceAction, MaintenancePolicy } from "../src/process/maintenance-planner.js";
import { selectDueVms } from "../src/process/maintenance.js";
import { emptyMemberView } from "../src/process/members.js";
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

async function createWorld(overrides: Partial<SimulationOptions> = {}): Promise<Simulation> {
    const world = Simulation.create({
        seed: 1,
        entries: 3,
        pools: [{ name: "atelier", workers: 4, budget: 3 }, { name: "bridal", workers: 4, budget: 2 }],
        lists: listsOf(queues, [{ name: "benches", share: 1, limit: 60 }]),
        meanServiceMs: queue => queues.find(each => each.name === queue)!.meanMs,
        isMaintenanceDue: id => id.startsWith("atelier"),
        rebootMs: 2000,
        ...overrides,
    });
    await world.start();
    return world;
}

/** Advances the virtual time by `ms` and returns the lowest number of VMs of the pool that were live and not draining. */
async function minAvailable(world: Simulation, pool: string, ms: number): Promise<number> {
    let minimum = Infinity;
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
        await world.advance(50);
        const vms = world.embedded.currentVms().filter(each => each.pool === pool);
        minimum = Math.min(minimum, vms.filter(each => each.state === VmState.Live && !each.draining).length);
    }
    return minimum;
}

const entryVms = (world: Simulation): readonly string[] => world.entries.map(entry => entry.vm);
/** Whether a VM has another boot id than the one that it started with. */
const hasRebooted = (world: Simulation, id: string): boolean =>
    world.workers.get(id)!.bootId !== `${id}-boot-1`;
const atelier = ["atelier-0", "atelier-1", "atelier-2", "atelier-3"];

describe("VM maintenance", () => {
    test("drains and reboots every due VM without violating the pool's budget", async () => {
        const world = await createWorld();
        expect(await minAvailable(world, "atelier", 60_000)).toBe(3);
        expect(atelier.every(id => hasRebooted(world, id))).toBe(true);
    });

    test("interrupts no request and starts none on a draining VM", async () => {
        const world = await createWorld();
        const calls: Promise<unknown>[] = [];
        for (let index = 0; index < 1500; index++) {
            calls.push(world.sendRequest(index, "benches", "preview"));
            await world.advance(20);
        }
        await world.advanceUntilSettled(Promise.all(calls));
        expect(world.calls.filter(call => call.reason !== "200")).toEqual([]);
        for (const [id, drain] of world.drains) {
            const startTimes = world.workers.get(id)!.runs.map(run => run.startedAt);
            expect(startTimes.filter(startedAt => startedAt > drain.from + 2000 && startedAt < drain.until))
                .toEqual([]);
        }
    });

    test("checkpoints the deferred tasks of a VM, which finish on other VMs", async () => {
        const world = await createWorld({ isMaintenanceDue: id => id === "bridal-1" });
        const submitted = Array.from(
            { length: 16 },
            (_, index) => world.submitJob(index, "benches", "proof"),
        );
        const ids = await world.advanceUntilSettled(Promise.all(submitted));
        await world.advance(90_000);
        expect(hasRebooted(world, "bridal-1")).toBe(true);
        const states = await Promise.all(ids.map(async id => (await world.readJob(id!))?.state));
        expect(states.every(state => state === JobState.Done)).toBe(true);
    });

    test("continues when the entry that performs it is killed at any step", async () => {
        for (const afterMs of [500, 2000, 4000, 6000]) {
            const world = await createWorld({ entries: 4, isMaintenanceDue: id => id === "atelier-0" });
            await world.advance(afterMs);
            world.killEntry(world.entries[0]!.vm);
            world.killEntry(world.entries[0]!.vm);
            await world.advance(120_000);
            expect(hasRebooted(world, "atelier-0"), `after ${afterMs} ms`).toBe(true);
            const [row] = [...world.entries[0]!.core.fleet.view.poolRows.values()];
            expect(row?.permits).toEqual({});
        }
    });

    test("does not reboot a VM while a paused entry has not acknowledged the drain", async () => {
        const world = await createWorld({ isMaintenanceDue: () => false });
        const drivingIndex = world.entries.findIndex(entry =>
            entry.vm === responsibleFor("pool-atelier", entryVms(world))
        );
        world.pauseEntry(world.entries[(drivingIndex + 1) % 3]!.vm, 10_000);
        world.makeMaintenanceDue("atelier-0");
        await world.advance(9000);
        expect(world.drains.has("atelier-0")).toBe(true);
        expect(hasRebooted(world, "atelier-0")).toBe(false);
        await world.advance(20_000);
        expect(hasRebooted(world, "atelier-0")).toBe(true);
    });

    test("halts a wave while a VM of the pool is down, and resumes by itself when the VM is back", async () => {
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
        expect(atelier.every(id => hasRebooted(world, id))).toBe(true);
    });

    test("lends a spare VM to a pool at its budget and takes it back, with every VM in exactly one pool throughout", async () => {
        const world = await createWorld({
            pools: [{ name: "atelier", workers: 4, budget: 4 }, {
                name: "bridal",
                workers: 4,
                budget: 2,
                spare: true,
            }],
            isMaintenanceDue: id => id === "atelier-0",
        });
        let borrowed = 0;
        for (let elapsedMs = 0; elapsedMs < 60_000; elapsedMs += 100) {
            await world.advance(100);
            const vms = world.embedded.currentVms().filter(each => each.pool !== "entry");
            expect(vms).toHaveLength(8);
            borrowed = Math.max(borrowed, vms.filter(each => each.pool === "atelier").length - 4);
        }
        expect(borrowed).toBe(1);
        expect(hasRebooted(world, "atelier-0")).toBe(true);
        expect(world.embedded.currentVms().filter(each => each.pool === "bridal")).toHaveLength(4);
    });

    test("repeats the platform call for a VM move when the entry ended between the transaction and the call", async () => {
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
            mood.losesAnswer = key => {
                const isMove = key.startsWith("fleet/vm/") && !hasKilled
                    && world.embedded.rowsWithPrefix("fleet/vm/").length > 0;
                if (isMove) {
                    hasKilled = true;
                    world.killEntry(entry);
                }
                return isMove;
            };
        }
        await world.advance(150_000);
        expect(hasKilled).toBe(true);
        expect(hasRebooted(world, "atelier-0")).toBe(true);
        expect(world.embedded.currentVms().filter(each => each.pool === "atelier")).toHaveLength(4);
    });

    test("never selects more VMs than the budget allows, nor VMs of two racks at once", () => {
        const state = fc.constantFrom(VmState.Live, VmState.Leaving, VmState.Failed);
        const arbitraryVm = fc.record({
            rack: fc.constantFrom("r1", "r2", "r3"),
            state,
            upDays: fc.integer({ min: 0, max: 60 }),
        });
        fc.assert(
            fc.property(
                fc.array(arbitraryVm, { maxLength: 12 }),
                fc.integer({ min: 0, max: 8 }),
                (records, budget) => {
                    const dayMs = 86_400_000;
                    const vms = records.map(({ rack, state: vmState, upDays }, index) =>
                        vm(`vm-${index}`, { rack, state: vmState, bootedAt: -upDays * dayMs })
                    );
                    const pools = [{ name: "atelier", budget, spare: false }];
                    const view: FleetView = {
                        members: emptyMemberView,
                        vms,
                        pools,
                        poolRows: new Map(),
                        vmRows: new Map(),
                    };
                    const options = {
                        pool: "atelier",
                        view,
                        now: 0,
                        maxUptimeMs: 28 * dayMs,
                        createPermitId: () => "1",
                    };
                    const chosen = selectDueVms(options, emptyPoolRow);
                    const live = vms.filter(other => other.state === VmState.Live).length;
                    const isWithinBudget = chosen.length === 0 || live - chosen.length >= budget;
                    return isWithinBudget && new Set(chosen.map(other => other.rack)).size <= 1;
                },
            ),
            { seed: 5, numRuns: 500 },
        );
    });
});

describe("the maintenance planner", () => {
    const lightLoad = {
        available: 8,
        minAvailable: 6,
        utilization: 0.2,
        peakUtilization: 0.4,
        lendableVms: 1,
        borrowedVms: 0,
        waitedMs: 0,
    };
    const weights = { closeness: 1, bufferCost: 1, rollOutTime: 1, vmMoves: 1 };

    test("never takes a VM out of a pool at its budget, under any policy", () => {
        for (const policy of Object.values(MaintenancePolicy)) {
            expect(decideAction(policy, { ...lightLoad, available: 6 }, weights)).not.toBe(
                MaintenanceAction.TakeOut,
            );
        }
    });

    test("takes a VM out at once under light load", () => {
        expect(decideAction(MaintenancePolicy.LowestCost, lightLoad, weights)).toBe(
            MaintenanceAction.TakeOut,
        );
    });

    test("waits for lower load during a burst, up to a time limit", () => {
        const burst = { ...lightLoad, utilization: 1.1, lendableVms: 0 };
        expect(decideAction(MaintenancePolicy.Trough, burst, weights)).toBe(MaintenanceAction.Wait);
        expect(decideAction(MaintenancePolicy.Trough, { ...burst, waitedMs: 3_600_000 }, weights)).toBe(
            MaintenanceAction.TakeOut,
        );
    });
});
