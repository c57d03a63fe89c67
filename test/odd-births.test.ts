import { describe, expect, test, vi } from "vitest";
import { PlatformRoster } from "../platform/roster.js";
import { RowRefusals } from "../src/process/row-refusals.js";
import { jobOf, StandinSite } from "../standin/site/site.js";
import { workerRowOf } from "./odd-rows.js";

const table = "servers";
const msPerDay = 86_400_000;

/** A site whose workers are listed by rows, in which the first one's start is later than it was. */
async function createSite(laterMs: () => number, vmsPerPool = 2): Promise<StandinSite> {
    const site = StandinSite.create({
        vmsPerPool,
        entries: 2,
        createRoster: ({ store, log, metrics }) =>
            PlatformRoster.create({ store, refusals: RowRefusals.create({ log, metrics }) }),
    });
    const writeRows = (): void => {
        for (const [i, { id, pool, startedAtMs, zone }] of site.workers.entries()) {
            const born = startedAtMs + (i === 0 ? laterMs() : 0);
            const sequence = Math.round(site.timer.now());
            site.rows.write(
                { table, part: "", key: id },
                workerRowOf({ service: pool, zone, born, sequence }),
            );
        }
    };
    writeRows();
    site.timer.every(500, writeRows);
    await site.start({ version: 1, queues: [{}] });
    return site;
}

/** Asks for a run on each of both workers; returns whether the job has succeeded after 5 s. */
async function runsOnBoth(site: StandinSite, id: string): Promise<boolean> {
    const [entry] = site.entries;
    const atOnce = { tasks: 2, perWorker: 1, isGang: true };
    await site.runUntilSettled(site.submit(entry!, id, jobOf(atOnce)));
    await site.timer.advance(5000);
    return await site.runUntilSettled(site.phaseOf(entry!, id)) === "succeeded";
}

describe("a row that gives a worker a later start than its true one", () => {
    test("costs no run, and once it is corrected the worker is used again", async () => {
        let laterMs = 0;
        const site = await createSite(() => laterMs);
        const [entry] = site.entries;
        const long = jobOf({ tasks: 2, perWorker: 1, estimateMs: 20_000 });
        await site.runUntilSettled(site.submit(entry!, "long", long, { workMs: 20_000 }));
        await site.timer.advance(3000);
        laterMs = msPerDay;
        await site.timer.advance(1000);
        laterMs = 0;
        await site.timer.advance(3000);
        expect(await runsOnBoth(site, "j")).toBe(true);
        await site.timer.advance(20_000);
        expect(await site.runUntilSettled(site.phaseOf(entry!, "long"))).toBe("succeeded");
        expect(site.checker.startCount).toBe(4);
        expect(site.checker.violations).toEqual([]);
    });

    test("does not have its runs given up before their leases have ended, if it cannot be reached then", async () => {
        let laterMs = 0;
        const site = await createSite(() => laterMs, 3);
        const [entry] = site.entries;
        const long = jobOf({
            tasks: 3,
            estimateMs: 20_000,
            needs: { cpu: 12_000, memory: 100, accelerators: 0 },
        });
        await site.runUntilSettled(site.submit(entry!, "long", long, { workMs: 20_000 }));
        await site.timer.advance(3000);
        laterMs = msPerDay;
        await site.timer.advance(1000);
        site.workers[0]!.faults.isUnreachable = true;
        await site.timer.advance(2000);
        laterMs = 0;
        site.workers[0]!.faults.isUnreachable = false;
        await site.timer.advance(30_000);
        expect(site.checker.violations).toEqual([]);
        expect(await site.runUntilSettled(site.phaseOf(entry!, "long"))).toBe("succeeded");
    });

    test("does not have the worker asked again without a pause", async () => {
        let laterMs = 0;
        const site = await createSite(() => laterMs);
        await site.timer.advance(1000);
        laterMs = msPerDay;
        await site.timer.advance(1000);
        const hold = vi.spyOn(site.workers[0]!, "hold");
        await site.timer.advance(5000);
        expect(hold.mock.calls.length).toBeLessThan(50);
    });
});

describe("a worker that starts again after the wall clock of its VM was set back", () => {
    test("is used, and its earlier run is started again", async () => {
        const site = await createSite(() => 0);
        const [entry] = site.entries;
        const long = jobOf({ tasks: 2, perWorker: 1, estimateMs: 4000 });
        await site.runUntilSettled(site.submit(entry!, "long", long, { workMs: 4000 }));
        await site.timer.advance(2000);
        const wall = vi.spyOn(site.timer, "wall").mockImplementation(() => Date.UTC(2025, 0, 1));
        const [worker] = site.workers;
        site.crash(worker!, 0);
        await site.timer.advance(0);
        wall.mockRestore();
        expect(site.workers[0]!.startedAtMs).toBeLessThan(worker!.startedAtMs);
        await site.timer.advance(10_000);
        expect(await site.runUntilSettled(site.phaseOf(entry!, "long"))).toBe("succeeded");
        expect(await runsOnBoth(site, "j")).toBe(true);
        expect(site.checker.violations).toEqual([]);
    });
});
