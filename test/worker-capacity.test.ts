import { expect, test } from "vitest";
import type { Resources } from "../src/process/resources.js";
import { jobOf, rosterTable, StandinSite } from "../standin/site/site.js";

const capacity: Resources = { cpu: 16_000, memory: 64_000, accelerators: 0 };
const shrunk: Resources = { ...capacity, cpu: 4000 };

/** A site of unguarded workers, with more work than fits: jobs of four tasks on 2 cores each, for 1.2 s. */
async function createBusySite(
    seed = 1,
): Promise<{ site: StandinSite; submit: (count: number) => Promise<void> }> {
    const site = StandinSite.create({ seed, guardsCapacity: false, capacity, vmsPerPool: 3 });
    await site.start({ version: 1, queues: [{}] });
    let submitted = 0;
    const submit = async (count: number): Promise<void> => {
        for (let i = 0; i < count; i++) {
            const ready = site.entries.filter(({ core, peers }) =>
                peers.node.isAlive && core.lists.directory !== undefined
            );
            const entry = ready[submitted % ready.length]!;
            const step = { tasks: 4, needs: { cpu: 2000, memory: 100, accelerators: 0 } };
            void site.submit(entry, `j${submitted++}`, jobOf(step), { workMs: 1200 });
            await site.timer.advance(250);
        }
    };
    await submit(8);
    return { site, submit };
}

test("a worker that shrinks and grows while it runs gets no more than fits", async () => {
    const { site, submit } = await createBusySite();
    for (let round = 0; round < 4; round++) {
        site.workers.forEach(worker => worker.setCapacity(round % 2 === 0 ? shrunk : capacity));
        await submit(30);
    }
    expect(site.checker.violations).toEqual([]);
    await site.timer.advance(60_000);
    expect(site.checker.successes.length).toBe(128 * 4);
});

test("a worker that shrinks while the list of workers cannot be read gets no more than fits", async () => {
    const { site, submit } = await createBusySite();
    site.rows.faults.unreadableTables.add(rosterTable);
    site.workers.forEach(worker => worker.setCapacity(shrunk));
    await submit(40);
    expect(site.checker.violations).toEqual([]);
    site.rows.faults.unreadableTables.clear();
    await site.timer.advance(60_000);
    expect(site.checker.violations).toEqual([]);
    expect(site.checker.successes.length).toBe(48 * 4);
});

test("a worker that shrinks while it does not report gets no more than fits", async () => {
    const { site, submit } = await createBusySite();
    for (const worker of site.workers) {
        worker.faults.isReportStale = true;
        worker.setCapacity(shrunk);
    }
    await submit(40);
    expect(site.checker.violations).toEqual([]);
    site.workers.forEach(worker => {
        worker.faults.isReportStale = false;
    });
    await site.timer.advance(60_000);
    expect(site.checker.violations).toEqual([]);
    expect(site.checker.successes.length).toBe(48 * 4);
});

test("a worker that was out of reach gets no more than fits beside what it still runs", async () => {
    const { site, submit } = await createBusySite();
    for (const outageMs of [3700, 4000, 4500, 5500]) {
        const worker = site.workers[0]!;
        site.partition(worker);
        await submit(Math.round(outageMs / 250));
        site.heal(worker);
        await submit(16);
    }
    expect(site.checker.violations).toEqual([]);
});

test("a change of owner while workers shrink brings none over its capacity", async () => {
    const { site, submit } = await createBusySite();
    for (let round = 0; round < 4; round++) {
        site.workers.forEach(worker => worker.setCapacity(round % 2 === 0 ? shrunk : capacity));
        const owner = site.owner()!;
        site.kill(owner);
        await submit(6);
        site.startEntry(owner.name);
        await submit(14);
    }
    expect(site.checker.violations).toEqual([]);
    await site.timer.advance(90_000);
    expect(site.checker.violations).toEqual([]);
});
