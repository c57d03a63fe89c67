/** Queues whose placement policy allows only some workers of a pool. */
import { describe, expect, test } from "vitest";
import { jobOf, StandinSite } from "../standin/site/site.js";

async function createSite(workers: number, allowed: readonly number[]): Promise<StandinSite> {
    const site = StandinSite.create({ vmsPerPool: workers });
    const ids = new Set(allowed.map(number => site.workers[number - 1]!.id));
    site.adviser.allows = (_, worker) => ids.has(worker);
    await site.start({ version: 1, queues: [{ needsAdvice: true }] });
    return site;
}

async function submit(site: StandinSite, id: string, spec = jobOf({}), workMs = 500): Promise<void> {
    const result = await site.runUntilSettled(site.submit(site.entries[0]!, id, spec, { workMs }));
    expect(result.kind).toBe("accepted");
}

async function phaseOf(site: StandinSite, id: string): Promise<string> {
    return site.runUntilSettled(site.phaseOf(site.entries[0]!, id));
}

describe("a queue whose policy allows few workers of a large pool", () => {
    // Guards against: requests for advice that name the same first workers for ever (review/5).
    test.each([[40, 37], [120, 97], [390, 390]])(
        "starts its tasks in a pool of %i workers of which the one allowed is number %i",
        async (workers, allowed) => {
            const site = await createSite(workers, [allowed]);
            await submit(site, "a");
            await site.timer.advance(5000);
            expect(await phaseOf(site, "a")).toBe("succeeded");
            expect(site.adviser.refusals).toEqual([]);
        },
    );

    // Guards against: the same, after the loss of the only allowed worker among the first ones.
    test("goes on after the loss of an allowed worker", async () => {
        const site = await createSite(40, [3, 37, 38]);
        await submit(site, "a");
        await site.timer.advance(2000);
        expect(await phaseOf(site, "a")).toBe("succeeded");
        site.darken(site.workers[2]!, 60_000);
        await site.timer.advance(8000);
        await submit(site, "b");
        await site.timer.advance(6000);
        expect(await phaseOf(site, "b")).toBe("succeeded");
    });

    // Guards against: tickets for workers without room keep a task from those that have it.
    test("uses allowed workers beyond those that are full", async () => {
        const site = await createSite(60, Array.from({ length: 60 }, (_, i) => i + 1));
        await submit(
            site,
            "a",
            jobOf({ tasks: 60, needs: { cpu: 32_000, memory: 100, accelerators: 0 } }),
            20_000,
        );
        await site.timer.advance(4000);
        const running = site.workers.filter(worker => worker.running.size > 0);
        expect(running).toHaveLength(60);
    });

    // Guards against: workers that are asked about again whenever a ticket has expired.
    test("asks about each worker once a step, and renews tickets of those that may run it alone", async () => {
        const site = await createSite(40, [35]);
        await submit(
            site,
            "a",
            jobOf({ tasks: 4, needs: { cpu: 32_000, memory: 100, accelerators: 0 } }),
            3000,
        );
        await site.timer.advance(16_000);
        expect(await phaseOf(site, "a")).toBe("succeeded");
        const denied = site.adviser.calls.flatMap(({ workers }) => workers)
            .filter(worker => worker !== site.workers[34]!.id);
        expect(denied).toHaveLength(39);
        expect(new Set(denied).size).toBe(39);
        const others = site.adviser.calls.slice(2);
        expect(others.every(({ workers }) => workers.length === 1)).toBe(true);
    });

    // Guards against: advice on steps that have ended is kept for ever.
    test("forgets the advice on steps that have ended", async () => {
        const site = await createSite(4, [1]);
        for (let i = 0; i < 10; i++) {
            await submit(site, `j${i}`);
            await site.timer.advance(500);
        }
        await site.timer.advance(40_000);
        expect(site.owner()!.core.domain.tenure!.advice).toMatchObject({ size: 0 });
    });

    // Guards against: steps that no worker may run keep the adviser from the others.
    test("does not wait behind steps that no worker may run", async () => {
        const site = await createSite(60, []);
        const last = site.workers[59]!.id;
        site.adviser.allows = (step, worker) => step.startsWith("b") && worker === last;
        for (let i = 0; i < 30; i++) {
            await submit(site, `a${i}`);
        }
        await site.timer.advance(5000);
        await submit(site, "b");
        await site.timer.advance(5000);
        expect(await phaseOf(site, "b")).toBe("succeeded");
    });
});
