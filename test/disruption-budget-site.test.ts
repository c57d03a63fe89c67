import { describe, expect, test } from "vitest";
import { StopReason } from "../src/pool/records.js";
import { Random } from "../src/process/random.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

const vms = Array.from({ length: 8 }, (_, i) => `vm-${i}`);
const tasks = 5;

async function createSite(options: Parameters<typeof StandinSite.create>[0]): Promise<StandinSite> {
    const site = StandinSite.create({ entries: 4, vmsPerPool: 8, ...options });
    await site.start({ version: 1, queues: [{}] });
    return site;
}

async function submit(site: StandinSite, id: string, perWorker = 0): Promise<void> {
    const service = jobOf({ tasks, isService: true, disruptionBudget: 1, perWorker });
    await site.runUntilSettled(site.submit(site.entries[0]!, id, service));
}

function ownerOf(site: StandinSite): StandinEntry {
    const owner = site.owner();
    if (owner === undefined) {
        throw new Error("no entry owns the domain");
    }
    return owner;
}

function tasksAtWork(site: StandinSite): number {
    return site.workers.reduce(
        (sum, worker) => sum + [...worker.running.keys()].filter(task => worker.isAtWork(task)).length,
        0,
    );
}

/** Advances time until a run at work is ended; throws if none is within 20 s. */
async function advanceUntilEnd(site: StandinSite): Promise<void> {
    let before = 0;
    for (let i = 0; i < 4000; i++) {
        await site.timer.advance(5);
        const atWork = tasksAtWork(site);
        if (atWork < before) {
            return;
        }
        before = atWork;
    }
    throw new Error("no run at work was ended within 20 s");
}

describe("the disruption budget of a service", () => {
    test.each([11, 20, 34, 39, 84, 90, 118, 138, 140, 142])(
        "counts a task that is still stopping by an order of the owner before (seed %i)",
        async seed => {
            const random = Random.create(seed);
            const site = await createSite({ seed, managesVms: true, spareVms: 4, stopDurationMs: 900 });
            for (let i = 0; i < 6; i++) {
                await submit(site, `s${i}`, Math.floor(2 * random.fraction()));
            }
            await site.timer.advance(3000);
            site.orderWave({ wave: 1, vms, durationMs: 18_000, cap: 2 + Math.floor(3 * random.fraction()) });
            for (let stops = 1 + Math.floor(8 * random.fraction()); stops > 0; stops--) {
                await advanceUntilEnd(site);
            }
            void ownerOf(site).core.leave();
            await site.timer.advance(25_000);
            expect(site.checker.violations).toEqual([]);
            expect(site.isWaveFinished(1)).toBe(true);
        },
    );

    test.each([300, 600, 1000])(
        "is kept by tasks whose starts got no answer, with their workers out of reach for %i ms",
        async cutMs => {
            const site = await createSite({ stopDurationMs: 200 });
            site.workers.forEach(worker => {
                worker.faults.losesAnswers = true;
            });
            await submit(site, "s0");
            while (site.checker.startCount < tasks) {
                await site.timer.advance(5);
            }
            site.workers.forEach(worker => {
                worker.faults.losesAnswers = false;
                worker.faults.isUnreachable = true;
            });
            await site.timer.advance(cutMs);
            site.workers.forEach(worker => {
                worker.faults.isUnreachable = false;
            });
            await site.timer.advance(3000);
            expect(site.checker.violations).toEqual([]);
            expect(tasksAtWork(site)).toBe(tasks);
            expect(site.checker.startCount).toBe(tasks);
        },
    );

    test("is asked for again before a stop that got no answer is repeated", async () => {
        const site = await createSite({ vmsPerPool: tasks });
        await submit(site, "s0", 1);
        await site.timer.advance(3000);
        const { runController, jobs } = ownerOf(site).core.domain.tenure!;
        const [silent, draining] = site.workers;
        silent!.faults.isUnreachable = true;
        const [task] = silent!.running.keys();
        runController.stop(jobs.runs.get(task!)!, StopReason.VmLeaving);
        draining!.isDraining = true;
        await site.timer.advance(1000);
        silent!.faults.isUnreachable = false;
        await site.timer.advance(5000);
        expect(site.checker.violations).toEqual([]);
        expect(tasksAtWork(site)).toBe(tasks - 1);
    });
});
