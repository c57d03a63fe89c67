/** Jobs that no worker can run, and jobs of which an owner does not know yet whether one can. */
import { describe, expect, test } from "vitest";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

/** A site whose spare VMs alone are of the kind `b`. */
async function createSite(): Promise<StandinSite> {
    const site = StandinSite.create({ vmsPerPool: 4, spareVms: 4, spareKind: "b", managesVms: true });
    await site.start({ version: 1, queues: [{}] });
    await site.timer.advance(2000);
    return site;
}

async function submit(site: StandinSite, id: string, label: string): Promise<void> {
    const result = await site.runUntilSettled(
        site.submit(aliveEntry(site), id, jobOf({ tasks: 2, label }), { workMs: 500 }),
    );
    expect(result.kind).toBe("accepted");
}

function aliveEntry(site: StandinSite): StandinEntry {
    return site.entries.find(({ peers }) => peers.node.isAlive)!;
}

async function phaseOf(site: StandinSite, id: string): Promise<string> {
    return site.runUntilSettled(site.phaseOf(aliveEntry(site), id));
}

describe("a job that waits for a VM of the spare pool", () => {
    // Guards against: a new owner fails for good what no worker that it has heard of so far could run (review/3).
    test.each([0, 6000])(
        "is done although its owner dies, and the inventory is silent for %i ms",
        async silentMs => {
            const site = await createSite();
            await submit(site, "j1", "b");
            await site.timer.advance(300);
            site.kill(site.owner()!);
            site.entries.forEach(({ vmFaults }) => vmFaults.isInventorySilent = silentMs > 0);
            await site.timer.advance(silentMs);
            site.entries.forEach(({ vmFaults }) => vmFaults.isInventorySilent = false);
            await site.timer.advance(15_000);
            expect(await phaseOf(site, "j1")).toBe("succeeded");
            expect(site.checker.violations).toEqual([]);
        },
    );

    // Guards against: a list of workers that is partly filled after the store's return taken for all of them.
    test("is done although its owner dies while the store is silent", async () => {
        const site = await createSite();
        await submit(site, "j1", "b");
        site.kill(site.owner()!);
        site.rows.faults.isUnresponsive = true;
        await site.timer.advance(5000);
        site.rows.faults.isUnresponsive = false;
        await site.timer.advance(20_000);
        expect(await phaseOf(site, "j1")).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });
});

describe("a job that no worker or VM can run", () => {
    test("is failed within half a second", async () => {
        const site = await createSite();
        await submit(site, "j1", "no-such-kind");
        await site.timer.advance(500);
        expect(await phaseOf(site, "j1")).toBe("failed");
    });

    // Guards against: a verdict that waits for a complete view for ever.
    test("is failed within 3 s of the reading of a complete list after a change of owner", async () => {
        const site = await createSite();
        site.kill(site.owner()!);
        await submit(site, "j1", "no-such-kind");
        for (let ms = 0; site.owner() === undefined; ms += 10) {
            expect(ms).toBeLessThan(10_000);
            await site.timer.advance(10);
        }
        await site.timer.advance(3500);
        expect(await phaseOf(site, "j1")).toBe("failed");
    });
});
