import { describe, expect, test } from "vitest";
import { decodeState, encodeState, initialState, type StepSpec, withTask } from "../src/job/index.js";
import { Random } from "../src/process/random.js";
import { jobOf, type StandinEntry, StandinSite, type StandinSiteOptions } from "../standin/site/site.js";

const deadlyTask = "deadly.0.0.0";

async function createSite(options: StandinSiteOptions = {}): Promise<StandinSite> {
    const site = StandinSite.create({ vmsPerPool: 6, ...options });
    site.deadlyTasks.add(deadlyTask);
    await site.start({ version: 1, queues: [{}] });
    return site;
}

async function submit(site: StandinSite, id: string, workMs: number, ...steps: Partial<StepSpec>[]) {
    const entry = site.entries.find(({ peers }) => peers.node.isAlive)!;
    const result = await site.runUntilSettled(site.submit(entry, id, jobOf(...steps), { workMs }));
    expect(result.kind).toBe("accepted");
}

async function phaseOf(site: StandinSite, id: string): Promise<string> {
    const entry = site.entries.find(({ peers }) => peers.node.isAlive)!;
    return site.runUntilSettled(site.phaseOf(entry, id));
}

/** Advances time until a number of workers have crashed under a task; fails after `limitMs`. */
async function untilCrashes(site: StandinSite, task: string, count: number, limitMs = 30_000): Promise<void> {
    for (let ms = 0; site.checker.crashesUnder(task) < count && ms < limitMs; ms += 20) {
        await site.timer.advance(20);
    }
    expect(site.checker.crashesUnder(task)).toBeGreaterThanOrEqual(count);
}

/** What happens after each crash. */
const disturbances: Readonly<Record<string, (site: StandinSite, owner: StandinEntry) => Promise<void>>> = {
    "nothing else happens": () => Promise.resolve(),
    "the owner is killed": async (site, owner) => {
        site.kill(owner);
        await site.timer.advance(1500);
        site.startEntry(owner.name);
    },
    "the owner is killed before it has seen the crash": async (site, owner) => {
        site.kill(owner);
        await site.timer.advance(10);
        site.startEntry(owner.name);
    },
    "the owner stops as planned": async (site, owner) => {
        await site.runUntilSettled(owner.core.leave());
        site.kill(owner);
        site.startEntry(owner.name);
    },
    "the store is silent for 4 s": async site => {
        site.rows.faults.isUnresponsive = true;
        await site.timer.advance(4000);
        site.rows.faults.isUnresponsive = false;
    },
    "all entries are killed": async site => {
        const names = site.entries.map(({ name }) => name);
        site.entries.forEach(entry => site.kill(entry));
        await site.timer.advance(700);
        names.forEach(name => site.startEntry(name));
    },
};

describe("a task that crashes each worker that starts it", () => {
    test.each(Object.entries(disturbances))("is given up in time when %s", async (_, disturb) => {
        const site = await createSite();
        await submit(site, "deadly", 500, {});
        for (let crash = 1; crash <= 3; crash++) {
            await untilCrashes(site, deadlyTask, crash);
            await disturb(site, site.owner() ?? site.entries[0]!);
        }
        await site.timer.advance(25_000);
        expect(site.checker.violations).toEqual([]);
        expect(await phaseOf(site, "deadly")).toBe("failed");
    });

    test("is given up in time when the VMs of the workers that it ends are being drained", async () => {
        const site = await createSite();
        await submit(site, "deadly", 500, {});
        for (let ms = 0; ms < 40_000; ms += 5) {
            for (const worker of site.owner()?.core.domain.tenure?.workers.byId.values() ?? []) {
                worker.isCordoned ||= worker.runs.has(deadlyTask);
            }
            await site.timer.advance(5);
        }
        expect(site.checker.violations).toEqual([]);
        expect(await phaseOf(site, "deadly")).toBe("failed");
    });

    test("is given up in time when it is part of a service, whose other tasks go on", async () => {
        const site = await createSite();
        await submit(site, "deadly", 500, { tasks: 3, isService: true });
        await site.timer.advance(40_000);
        expect(site.checker.violations).toEqual([]);
        expect(await phaseOf(site, "deadly")).toBe("running");
        expect(site.workers.flatMap(({ running }) => [...running.keys()]).sort()).toEqual([
            "deadly.0.0.1",
            "deadly.0.0.2",
        ]);
    });

    test("fails no other job", async () => {
        const site = await createSite({ vmsPerPool: 4 });
        for (let i = 0; i < 3; i++) {
            await submit(site, `service-${i}`, 500, { tasks: 4, isService: true });
        }
        await site.timer.advance(2000);
        await submit(site, "deadly", 500, {});
        for (let i = 0; i < 12; i++) {
            await submit(site, `short-${i}`, 1500, { tasks: 6 });
            await site.timer.advance(1500);
        }
        await site.timer.advance(20_000);
        expect(site.checker.violations).toEqual([]);
        expect(await phaseOf(site, "deadly")).toBe("failed");
        for (let i = 0; i < 12; i++) {
            expect(await phaseOf(site, `short-${i}`)).toBe("succeeded");
        }
        for (let i = 0; i < 3; i++) {
            expect(await phaseOf(site, `service-${i}`)).toBe("running");
        }
    });
});

describe("tasks that crash their workers, among others, on a site with changes of owner and of the store", () => {
    const seeds = Number(process.env["CRASH_SEEDS"] ?? "8");
    const firstSeed = Number(process.env["CRASH_FIRST_SEED"] ?? "1");
    test.each(Array.from({ length: seeds }, (_, i) => firstSeed + i))(
        "keep their budget, seed %i",
        async seed => {
            const random = Random.create(seed);
            const site = await createSite({ seed, vmsPerPool: 5 });
            const deadlyJobs = Array.from({ length: 1 + random.int(4) }, (_, i) => `d${i}`);
            deadlyJobs.forEach(id => site.deadlyTasks.add(`${id}.0.0.${random.int(2)}`));
            const others = Array.from({ length: 10 }, (_, i) => `o${i}`);
            const disturb = Object.values(disturbances);
            await submit(site, "service", 500, { tasks: 4, isService: true });
            await site.timer.advance(500);
            for (const [i, id] of others.entries()) {
                const deadly = deadlyJobs[i];
                if (deadly !== undefined) {
                    await submit(site, deadly, 400 + random.int(1500), { tasks: 2 });
                }
                await submit(site, id, 300 + random.int(2500), { tasks: 1 + random.int(5) });
                await site.timer.advance(random.int(2500));
                if (random.chance(0.35)) {
                    await disturb[random.int(disturb.length)]!(site, site.owner() ?? site.entries[0]!);
                    await site.timer.advance(2500);
                }
            }
            await site.timer.advance(60_000);
            expect(site.checker.violations).toEqual([]);
            for (const id of deadlyJobs) {
                expect(await phaseOf(site, id)).toBe("failed");
            }
            for (const id of others) {
                expect(await phaseOf(site, id)).toBe("succeeded");
            }
            expect(await phaseOf(site, "service")).toBe("running");
        },
    );
});

describe("the stored progress of a job", () => {
    test("keeps the workers that were lost under its tasks", () => {
        const job = { id: "j1", queue: "q", team: "t", acceptedAtMs: 1, spec: jobOf({ tasks: 2 }) };
        const lost = { worker: "w-1", workerStartedAt: 5, isExplained: false };
        const state = withTask(initialState(job), 1, {
            run: 1,
            lostWorkers: [lost, { ...lost, isExplained: true }],
        });
        expect(decodeState(job, encodeState(state))).toEqual(state);
    });
});

describe("a task whose workers are lost for other causes", () => {
    test("succeeds after two crashes", async () => {
        const site = await createSite();
        await submit(site, "j1", 2500, {});
        for (let crash = 1; crash <= 2; crash++) {
            await site.timer.advance(400);
            for (let ms = 0; site.checker.crashesUnder("j1.0.0.0") < crash && ms < 10_000; ms += 20) {
                const worker = site.workers.find(({ running }) => running.has("j1.0.0.0"));
                if (worker !== undefined) {
                    site.crash(worker, 3000);
                }
                await site.timer.advance(20);
            }
        }
        await site.timer.advance(12_000);
        expect(await phaseOf(site, "j1")).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });

    test("succeeds although four workers in a row were only out of reach", async () => {
        const site = await createSite();
        await submit(site, "j1", 12_000, {});
        for (let i = 0; i < 4; i++) {
            await site.timer.advance(400);
            let worker = site.workers.find(({ running }) => running.has("j1.0.0.0"));
            for (let ms = 0; worker === undefined && ms < 10_000; ms += 20) {
                await site.timer.advance(20);
                worker = site.workers.find(({ running }) => running.has("j1.0.0.0"));
            }
            site.partition(worker!);
            await site.timer.advance(5500);
            site.heal(worker!);
        }
        await site.timer.advance(24_000);
        expect(await phaseOf(site, "j1")).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });
});
