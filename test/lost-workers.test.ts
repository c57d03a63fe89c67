/** What the loss of a worker tells of the tasks that were started on it. */
import { describe, expect, test } from "vitest";
import { attributeLoss, LossAttribution, type LossEvidence } from "../src/pool/loss-attribution.js";
import { StartStatus } from "../src/pool/records.js";
import { lostTogetherWith } from "../src/pool/worker-state.js";
import { jobOf, StandinSite } from "../standin/site/site.js";
import type { StandinWorker } from "../standin/site/worker.js";

const task = "j1.0.0.0";

async function createSite(vmsPerPool = 12): Promise<StandinSite> {
    const site = StandinSite.create({ vmsPerPool });
    await site.start({ version: 1, queues: [{}] });
    return site;
}

async function submit(site: StandinSite, workMs: number): Promise<void> {
    const result = await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({}), { workMs }));
    expect(result.kind).toBe("accepted");
}

/** Advances time until a condition holds or the job has ended, by steps of 5 ms. */
async function until(site: StandinSite, holds: () => boolean): Promise<void> {
    const hasEnded = (): boolean =>
        site.owner()?.core.domain.tenure?.jobs.entries.get("j1")?.finalAt !== undefined;
    for (let ms = 0; !holds() && !hasEnded(); ms += 5) {
        expect(ms).toBeLessThan(30_000);
        await site.timer.advance(5);
    }
}

/** The run of the task as its owner has it on record. */
function recordOf(site: StandinSite) {
    return site.owner()?.core.domain.tenure?.jobs.runs.get(task);
}

function rackOf(site: StandinSite, id: string): readonly StandinWorker[] {
    const rack = site.workers.find(worker => worker.id === id)?.rack;
    return site.workers.filter(worker => worker.rack === rack);
}

async function phaseOf(site: StandinSite): Promise<string> {
    return site.runUntilSettled(site.phaseOf(site.entries[0]!, "j1"));
}

describe("a task whose workers are lost for causes of their own", () => {
    // Guards against: a start request without an answer counted as a worker that the task had ended (review/4).
    test("is not given up for start requests that dark racks never answered", async () => {
        const site = await createSite();
        const leaseEnd = (id: string): number =>
            site.owner()!.core.domain.tenure!.workers.byId.get(id)?.lease.latestEnd() ?? -Infinity;
        rackOf(site, site.workers[0]!.id).forEach(worker => site.darken(worker, 5400));
        await submit(site, 500);
        for (let dark = 1; dark < 4; dark++) {
            await until(site, () => recordOf(site) !== undefined);
            const worker = recordOf(site)?.worker ?? "";
            await until(site, () => site.timer.now() >= leaseEnd(worker) - 50);
            const reachable = [...site.owner()!.core.domain.tenure!.workers.byId.values()]
                .find(({ id, isReachable }) => id !== worker && isReachable);
            rackOf(site, reachable!.id).forEach(other => site.darken(other, 5400));
            await until(site, () => recordOf(site)?.worker !== worker);
        }
        await site.timer.advance(10_000);
        expect(await phaseOf(site)).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });

    // Guards against: each of several workers that were lost together counted as one that the task had ended.
    test("is not given up for four racks that were lost under its runs", async () => {
        const site = await createSite();
        await submit(site, 20_000);
        for (let lost = 0; lost < 4; lost++) {
            await until(site, () => recordOf(site)?.start === StartStatus.Confirmed);
            const worker = recordOf(site)?.worker ?? "";
            await site.timer.advance(200);
            rackOf(site, worker).forEach(other => site.darken(other, 60_000));
            await until(site, () => recordOf(site)?.worker !== worker);
        }
        await site.timer.advance(25_000);
        expect(await phaseOf(site)).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });

    // Guards against: a worker that sends heartbeats and answers no call counted as one that the task had ended.
    test("is not given up for workers that are alive and out of reach", async () => {
        const site = await createSite();
        await submit(site, 12_000);
        for (let cut = 0; cut < 4; cut++) {
            await until(site, () => recordOf(site)?.start === StartStatus.Confirmed);
            const worker = recordOf(site)?.worker ?? "";
            await site.timer.advance(200);
            site.workers.filter(({ id }) => id === worker).forEach(lost => site.partition(lost));
            await until(site, () => recordOf(site)?.worker !== worker);
        }
        await site.timer.advance(15_000);
        expect(await phaseOf(site)).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });

    // Guards against: a task that is held for ever, since the workers in question turned out to be alive, but do not answer.
    test("is started again once the workers that it waits for report to the list", async () => {
        const site = await createSite();
        await submit(site, 12_000);
        const cut: StandinWorker[] = [];
        for (let i = 0; i < 3; i++) {
            await until(site, () => recordOf(site)?.start === StartStatus.Confirmed);
            const worker = site.workers.find(({ id }) => id === recordOf(site)?.worker)!;
            cut.push(worker);
            site.partition(worker);
            worker.faults.isReportStale = true;
            await until(site, () => recordOf(site)?.worker !== worker.id);
        }
        expect(recordOf(site)).toBeUndefined();
        cut.forEach(({ faults }) => faults.isReportStale = false);
        await site.timer.advance(15_000);
        expect(await phaseOf(site)).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });
});

describe("the loss of a worker", () => {
    const evidence: LossEvidence = {
        hasBegun: true,
        hasLikelierCause: false,
        isWorkerAlive: false,
        neighbours: [],
    };
    const idle = { hadNewRuns: false };
    const busy = { hadNewRuns: true };

    test.each([
        ["a run that had begun, alone", {}, LossAttribution.Likely],
        ["a run beside a likelier cause", { hasLikelierCause: true }, LossAttribution.Possible],
        [
            "a run, with a neighbour that had started nothing",
            { neighbours: [idle] },
            LossAttribution.Possible,
        ],
        ["a run, with a neighbour that had new runs, too", { neighbours: [busy] }, LossAttribution.Likely],
        ["a run, with most of the rack", { neighbours: [busy, busy] }, LossAttribution.Possible],
        ["a start without an answer, alone", { hasBegun: false }, LossAttribution.Possible],
        // Guards against: a task that ends its workers before they answer, beside another, is started six times (BUDGET).
        [
            "a start without an answer, with a neighbour that had new runs",
            { hasBegun: false, neighbours: [busy] },
            LossAttribution.Possible,
        ],
        [
            "a start without an answer, with most of the rack",
            { hasBegun: false, neighbours: [busy, busy] },
            LossAttribution.None,
        ],
        ["a run on a worker that is alive", { isWorkerAlive: true }, LossAttribution.None],
    ])("under %s", (_, change, expected) => {
        expect(attributeLoss({ ...evidence, ...change })).toBe(expected);
    });

    // Guards against: workers of VMs that were drained to be moved counted as lost together with one that a task has ended.
    test("counts no neighbour that was expected to end", async () => {
        const site = await createSite();
        const { byId } = site.owner()!.core.domain.tenure!.workers;
        const [lost, drained] = rackOf(site, site.workers[0]!.id).map(({ id }) => byId.get(id)!);
        drained!.isCordoned = true;
        rackOf(site, lost!.id).forEach(worker => site.crash(worker, 60_000));
        await site.timer.advance(3000);
        expect([lost!.isReachable, drained!.isReachable]).toEqual([false, false]);
        expect(lostTogetherWith(lost!, [lost!, drained!])).toEqual([]);
        expect(lostTogetherWith(drained!, [lost!, drained!])).toEqual([lost]);
    });
});
