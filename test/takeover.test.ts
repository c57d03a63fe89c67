/** Takeovers at the peak of a burst, in virtual time: what the new owner does with work, VMs and runs. */
import { describe, expect, test } from "vitest";
import { fencesPerTenure } from "../src/pool/ownership.js";
import { EventId } from "../src/process/events.js";
import { SiteLoad } from "../standin/site/load.js";
import {
    jobOf,
    type LoggedEvent,
    type StandinEntry,
    StandinSite,
    type StandinSiteOptions,
} from "../standin/site/site.js";

const lists = { version: 1, queues: [{ stretch: 1.6, objectiveMs: 600 }] };

/** Jobs of 8 tasks of 0.85 s on 6.2 cores, as the quick jobs of the customers. */
const quickJob = jobOf({ tasks: 8, needs: { cpu: 6200, memory: 100, accelerators: 0 }, estimateMs: 850 });

function liveEntries(site: StandinSite): readonly StandinEntry[] {
    return site.entries.filter(({ peers }) => peers.node.isAlive);
}

/** The owner with the highest fence among the entries that were not killed. */
function ownerOf(site: StandinSite): StandinEntry {
    return liveEntries(site).filter(({ core }) => core.domain.tenure !== undefined)
        .sort((a, b) => b.core.domain.tenure!.fence - a.core.domain.tenure!.fence)[0]!;
}

function linesOf({ log }: StandinEntry, event: EventId): readonly LoggedEvent[] {
    return log.filter(line => line.event === event);
}

/** A site under a load that uses `ratePerS` * 42 cores. */
async function startLoaded(ratePerS: number, options: StandinSiteOptions = {}) {
    const site = StandinSite.create({ entries: 5, vmsPerPool: 20, ...options });
    await site.start(lists);
    const load = SiteLoad.create(site, [
        { queue: "q", spec: quickJob, workMs: 850, ratePerS: () => ratePerS },
    ]);
    return { site, load };
}

describe("the phases of a takeover", () => {
    test("are logged once, in order, although the workers' answers and the backlog come much later", async () => {
        const { site, load } = await startLoaded(8);
        await load.run(2000);
        site.kill(ownerOf(site));
        await load.run(11_000);
        const [line, ...others] = linesOf(ownerOf(site), EventId.TakeoverObserved);
        expect(others).toEqual([]);
        const { suspectedMs, rowTakenMs, jobsLoadedMs, workersQueriedMs, firstStartMs, backlogClearedMs } =
            line!.fields as Record<string, number>;
        expect(suspectedMs).toBeGreaterThan(600);
        const phases = [rowTakenMs, jobsLoadedMs, workersQueriedMs, firstStartMs, backlogClearedMs];
        expect(phases.every(ms => typeof ms === "number")).toBe(true);
        expect(rowTakenMs).toBeLessThanOrEqual(jobsLoadedMs!);
        expect(jobsLoadedMs).toBeLessThan(firstStartMs!);
        expect(jobsLoadedMs).toBeLessThan(workersQueriedMs!);
        expect(jobsLoadedMs).toBeLessThanOrEqual(backlogClearedMs!);
    });

    test("that were reached are logged although the tenure ends before the others", async () => {
        const { site, load } = await startLoaded(8);
        await load.run(1000);
        site.rows.faults.unreadableTables.add("progress");
        site.kill(ownerOf(site));
        await load.run(2000);
        const owner = ownerOf(site);
        expect(linesOf(owner, EventId.TakeoverObserved)).toEqual([]);
        void owner.core.leave();
        await load.run(2000, { isPaused: true });
        const [line] = linesOf(owner, EventId.TakeoverObserved);
        expect(line!.fields.rowTakenMs).toBeTypeOf("number");
        expect(line!.fields.jobsLoadedMs).toBeUndefined();
    });
});

/** VMs that the entries have ordered into the spare pool since `from`. */
function parkedSince(site: StandinSite, from: number): readonly unknown[] {
    return site.entries
        .flatMap(entry => linesOf(entry, EventId.VmOrdered))
        .filter(({ at, fields }) => at >= from && fields.pool === "spare" && fields.result === "done")
        .map(({ fields }) => fields.vm);
}

const fleetRow = { table: "owner-state", part: "main", key: "fleet" };

describe("the first plan of VMs after a takeover", () => {
    /**
     * A site of VMs whose only load comes in pulses of one second with a pause between them, shorter than the window over which
     * demand is measured. Kills the owner in a pause, and returns the VMs parked until the next pulse.
     */
    async function parkedInPause(
        options: StandinSiteOptions,
        prepare: (site: StandinSite) => void = () => undefined,
        kills = 1,
    ) {
        const site = StandinSite.create({
            entries: 5,
            vmsPerPool: 20,
            spareVms: 4,
            managesVms: true,
            ...options,
        });
        await site.start(lists);
        const load = SiteLoad.create(site, [
            { queue: "q", spec: quickJob, workMs: 300, ratePerS: at => at % 1300 < 300 ? 20 : 0 },
        ]);
        // Ends 400 ms after the last task of a pulse.
        await load.run(4 * 1300 + 1000);
        const from = site.timer.now();
        for (let kill = 0; kill < kills; kill++) {
            site.kill(ownerOf(site));
            prepare(site);
            await load.run(kill < kills - 1 ? 1500 : 1150, { isPaused: true });
        }
        return { site, parked: parkedSince(site, from) };
    }

    test("parks no VM that the previous owner would have kept", async () => {
        const { site, parked } = await parkedInPause({ scheduling: { demandHandover: true } });
        expect(site.rows.find(fleetRow)).toBeDefined();
        expect(parked).toEqual([]);
        expect(site.checker.violations).toEqual([]);
    });

    test("parks what has no demand at that moment with the flag off, as before", async () => {
        const { site, parked } = await parkedInPause({});
        expect(site.rows.find(fleetRow)).toBeUndefined();
        expect(parked.length).toBeGreaterThan(0);
    });

    test("by a second owner, 1.5 s after the first, parks no VM either", async () => {
        const { site, parked } = await parkedInPause(
            { scheduling: { demandHandover: true } },
            () => undefined,
            2,
        );
        expect(ownerOf(site).core.domain.tenure?.fence).toBe(3 * fencesPerTenure);
        expect(parked).toEqual([]);
    });

    test("from a malformed state parks no VM before demand was measured for its window", async () => {
        const { site, parked } = await parkedInPause(
            { scheduling: { demandHandover: true } },
            ({ rows }) => rows.write(fleetRow, "?"),
        );
        const lines = linesOf(ownerOf(site), EventId.RowMalformed);
        expect(lines.map(({ fields }) => fields.key)).toEqual(["fleet"]);
        expect(parked).toEqual([]);
    });
});

describe("a takeover", () => {
    /** Kills the owner under load, lets the work end, and expects every accepted job to have succeeded. */
    async function expectSoundTakeover(
        { site, load }: Awaited<ReturnType<typeof startLoaded>>,
        disturb: (owner: StandinEntry) => Promise<void>,
    ): Promise<void> {
        await load.run(1500);
        const owner = ownerOf(site);
        await disturb(owner);
        await load.run(2500);
        await load.run(9000, { isPaused: true });
        expect(ownerOf(site)).not.toBe(owner);
        expect(load.jobs.length).toBeGreaterThan(10);
        expect(load.jobs.filter(({ doneAt }) => doneAt === undefined).map(({ id }) => id)).toEqual([]);
        expect(site.checker.violations).toEqual([]);
    }

    test.each([{}, { demandHandover: true }])(
        "with the store 30 times slower loses no job and starts none twice (%o)",
        async scheduling => {
            const loaded = await startLoaded(8, { scheduling });
            await expectSoundTakeover(loaded, async owner => {
                loaded.site.rows.faults.latencyFactor = 30;
                loaded.site.kill(owner);
                await loaded.load.run(2500);
                loaded.site.rows.faults.latencyFactor = 1;
            });
        },
    );

    test.each([300, 900, 2000])(
        "with the store silent for %i ms after the kill loses no job and starts none twice",
        async silentMs => {
            const loaded = await startLoaded(8, { scheduling: { demandHandover: true } });
            await expectSoundTakeover(loaded, async owner => {
                loaded.site.kill(owner);
                loaded.site.rows.faults.isUnresponsive = true;
                await loaded.load.run(silentMs, { isPaused: true });
                loaded.site.rows.faults.isUnresponsive = false;
            });
        },
    );

    test.each([900, 1500, 4000])(
        "from an owner that is paused for %i ms and resumed loses no job and starts none twice",
        async pauseMs => {
            const loaded = await startLoaded(8, { scheduling: { demandHandover: true } });
            await expectSoundTakeover(loaded, async owner => {
                owner.timer.pause();
                await loaded.load.run(pauseMs, { isPaused: true });
                owner.timer.resume();
            });
        },
    );

    test("starts new jobs on workers that have answered while most others do not", async () => {
        const { site, load } = await startLoaded(1, { scheduling: { demandHandover: true } });
        await load.run(1000);
        site.workers.slice(0, 15).forEach(worker => (worker.faults.isUnreachable = true));
        site.kill(ownerOf(site));
        const startsBefore = site.checker.startCount;
        await load.run(1200);
        expect(site.checker.startCount).toBeGreaterThan(startsBefore);
        expect(site.workers.slice(15).some(({ running }) => running.size > 0)).toBe(true);
    });

    test.each(Array.from({ length: 12 }, (_, i) => i + 1))(
        "and the next one 1.5 s later, with VMs that move, break no invariant (seed %i)",
        async seed => {
            const site = StandinSite.create({
                seed,
                entries: 6,
                pools: ["bench", "other"],
                vmsPerPool: 8,
                spareVms: 8,
                managesVms: true,
                scheduling: { demandHandover: true },
            });
            await site.start({
                version: 1,
                queues: [{ stretch: 1.6, objectiveMs: 600 }, { name: "o", pool: "other" }],
            });
            const rate = (turn: number) => (at: number) => (at + turn * 2000) % 4000 < 2000 ? 14 : 1;
            const load = SiteLoad.create(
                site,
                ["q", "o"].map((queue, turn) => ({
                    queue,
                    spec: quickJob,
                    workMs: 850,
                    ratePerS: rate(turn),
                })),
            );
            site.rows.faults.lostAnswerShare = 0.02;
            await load.run(2000 + 170 * seed);
            site.kill(ownerOf(site));
            await load.run(1500);
            site.kill(ownerOf(site));
            await load.run(2000);
            site.rows.faults.lostAnswerShare = 0;
            await load.run(14_000, { isPaused: true });
            expect(load.jobs.filter(({ doneAt }) => doneAt === undefined).map(({ id }) => id)).toEqual([]);
            expect(site.checker.violations).toEqual([]);
        },
    );
});
