/** Accepted jobs of accounts whose limits, and of queues whose settings, change for a time. */
import { describe, expect, test } from "vitest";
import type { StepSpec } from "../src/job/index.js";
import { KnownLists } from "../src/pool/known-lists.js";
import { isWithinTeamLimit } from "../src/pool/team-limits.js";
import { TeamUsage } from "../src/pool/team-usage.js";
import { jobOf, type StandinLists, StandinSite, stepOf } from "../standin/site/site.js";

const largeNeeds = { cpu: 4000, memory: 1, accelerators: 0 };

function listsOf(version: number, cpu: number | undefined, queues: StandinLists["queues"] = [{}]) {
    const cap = cpu === undefined ? undefined : { cpu, memory: 0, accelerators: 0 };
    return { version, queues, ...(cap === undefined ? { teams: [] } : { caps: { team: cap } }) };
}

async function createSite(cpu: number): Promise<StandinSite> {
    const site = StandinSite.create();
    await site.start(listsOf(1, cpu));
    return site;
}

async function submit(
    site: StandinSite,
    id: string,
    step: Partial<StepSpec>,
    options: { workMs?: number; failures?: number; team?: string } = {},
) {
    const { kind } = await site.runUntilSettled(site.submit(aliveEntry(site), id, jobOf(step), options));
    expect(kind).toBe("accepted");
}

function aliveEntry(site: StandinSite) {
    return site.entries.find(({ peers }) => peers.node.isAlive)!;
}

function phaseOf(site: StandinSite, id: string): Promise<string> {
    return site.runUntilSettled(site.phaseOf(aliveEntry(site), id));
}

/** Advances time and returns the most processor time that tasks had reserved meanwhile, in thousandths of a core. */
async function mostCpuWhile(site: StandinSite, ms: number): Promise<number> {
    let most = 0;
    for (let passed = 0; passed < ms; passed += 20) {
        await site.timer.advance(20);
        most = Math.max(most, site.workers.reduce((sum, { used }) => sum + used.cpu, 0));
    }
    return most;
}

describe("jobs that wait while the limit of their account is below what one task needs", () => {
    // Guards against: an accepted job is failed for good by a limit that was lowered for some seconds (review/7).
    test.each([0, 1])("are done once the limit is back, with %i deaths of owners meanwhile", async deaths => {
        const site = await createSite(12_000);
        for (const id of ["j1", "j2", "j3"]) {
            await submit(site, id, { tasks: 3, needs: largeNeeds }, { workMs: 6000 });
        }
        await site.timer.advance(500);
        site.setLists(listsOf(2, 3000));
        await site.timer.advance(2000);
        if (deaths > 0) {
            site.kill(site.owner()!);
        }
        await site.timer.advance(6000);
        site.setLists(listsOf(3, 12_000));
        await site.timer.advance(40_000);
        expect([await phaseOf(site, "j1"), await phaseOf(site, "j2"), await phaseOf(site, "j3")]).toEqual([
            "succeeded",
            "succeeded",
            "succeeded",
        ]);
        expect(site.checker.violations).toEqual([]);
    });

    // Guards against: work that waits for as long as a limit stays low, although the limit lets one task exceed it.
    test("are started one task at a time while the limit stays", async () => {
        const site = await createSite(12_000);
        await submit(site, "j1", { tasks: 3, needs: largeNeeds }, { workMs: 300 });
        site.setLists(listsOf(2, 3000));
        await site.timer.advance(1000);
        await submit(site, "j2", { tasks: 3, needs: largeNeeds }, { workMs: 300 });
        expect(await mostCpuWhile(site, 4000)).toBe(4000);
        expect([await phaseOf(site, "j1"), await phaseOf(site, "j2")]).toEqual(["succeeded", "succeeded"]);
    });

    test("are started if they are gangs only once the limit lets them", async () => {
        const site = await createSite(12_000);
        await submit(site, "j1", { tasks: 3, needs: largeNeeds }, { workMs: 3000 });
        await submit(site, "g", { tasks: 3, needs: largeNeeds, isGang: true }, { workMs: 300 });
        await site.timer.advance(500);
        site.setLists(listsOf(2, 3000));
        await site.timer.advance(8000);
        expect([await phaseOf(site, "j1"), await phaseOf(site, "g")]).toEqual(["succeeded", "queued"]);
        site.setLists(listsOf(3, 12_000));
        await site.timer.advance(3000);
        expect(await phaseOf(site, "g")).toBe("succeeded");
    });
});

test("a task that does not fit beside the services of its account is started", async () => {
    const site = await createSite(12_000);
    await submit(site, "s", { tasks: 1, isService: true, needs: { ...largeNeeds, cpu: 5000 } });
    await submit(site, "j", { tasks: 2, needs: { ...largeNeeds, cpu: 10_000 } }, { workMs: 300 });
    expect(await mostCpuWhile(site, 3000)).toBe(15_000);
    expect(await phaseOf(site, "j")).toBe("succeeded");
});

// Guards against: an account without an entry in the lists taken for one without a limit.
test("an account that a version of the lists leaves out keeps the limit that it had", async () => {
    const site = await createSite(4000);
    await submit(site, "j", { tasks: 6, needs: largeNeeds }, { workMs: 1000 });
    await site.timer.advance(300);
    site.setLists(listsOf(2, undefined));
    expect(await mostCpuWhile(site, 8000)).toBe(4000);
    expect(await phaseOf(site, "j")).toBe("succeeded");
});

describe("an account that the lists leave out while the owner changes", () => {
    const killOwner = async (site: StandinSite): Promise<void> => {
        site.kill(
            site.entries.find(({ peers, core }) => peers.node.isAlive && core.domain.tenure !== undefined)!,
        );
        await site.timer.advance(100);
    };

    // Guards against: a new owner that takes an account without an entry in its lists for one without a limit.
    test.each([1, 2])(
        "keeps its limit through %i changes, and has all of it once it is back",
        async changes => {
            const site = StandinSite.create({ entries: 4 });
            await site.start(listsOf(1, 12_000));
            await submit(site, "j", { tasks: 24, needs: largeNeeds }, { workMs: 1000 });
            await site.timer.advance(300);
            site.setLists(listsOf(2, undefined));
            await site.timer.advance(100);
            for (let i = 0; i < changes; i++) {
                await killOwner(site);
                expect(await mostCpuWhile(site, 3000)).toBeLessThanOrEqual(12_000);
            }
            site.setLists(listsOf(3, 12_000));
            await site.timer.advance(1000);
            expect(await mostCpuWhile(site, 2000)).toBe(12_000);
            await site.timer.advance(20_000);
            expect(await phaseOf(site, "j")).toBe("succeeded");
            expect(site.checker.violations).toEqual([]);
        },
    );

    // Guards against: accepted work that waits for as long as its account is gone.
    test("runs one task at a time if nothing of it ran at the takeover, else as much as ran then", () => {
        const known = KnownLists.create();
        const usage = TeamUsage.create();
        usage.add("running", stepOf({ needs: largeNeeds }), 3);
        known.recordInherited(usage);
        const mayStart = (team: string, cpu: number): boolean => {
            const used = { ...largeNeeds, cpu };
            const none = { cpu: 0, memory: 0, accelerators: 0 };
            const request = {
                usage: cpu === 0 ? none : used,
                serviceUsage: none,
                needs: largeNeeds,
                tasks: 1,
            };
            return isWithinTeamLimit(request, known.limitOf(team));
        };
        expect([0, 4000, 8000, 12_000].map(cpu => mayStart("running", cpu))).toEqual([
            true,
            true,
            true,
            false,
        ]);
        expect([0, 4000].map(cpu => mayStart("idle", cpu))).toEqual([true, false]);
    });

    test("does not limit jobs without an account", async () => {
        const site = StandinSite.create();
        await site.start(listsOf(1, undefined));
        await submit(site, "j", { tasks: 8, needs: largeNeeds }, { workMs: 1000, team: "" });
        await killOwner(site);
        await submit(site, "k", { tasks: 8, needs: largeNeeds }, { workMs: 1000, team: "" });
        expect(await mostCpuWhile(site, 4000)).toBeGreaterThan(20_000);
    });
});

// Guards against: a default number of attempts that fails a job for good while the lists leave its queue out.
test("a queue that a version of the lists leaves out keeps its number of attempts", async () => {
    const site = StandinSite.create();
    await site.start(listsOf(1, 12_000, [{ maxAttempts: 5 }]));
    await submit(site, "j", { tasks: 1 }, { workMs: 4000, failures: 4 });
    while (site.checker.startCount < 3) {
        await site.timer.advance(50);
    }
    // The third run fails halfway through its work, while the queue is gone.
    site.setLists(listsOf(2, 12_000, []));
    await site.timer.advance(4000);
    site.setLists(listsOf(3, 12_000, [{ maxAttempts: 5 }]));
    await site.timer.advance(15_000);
    expect(await phaseOf(site, "j")).toBe("succeeded");
});

describe("the limit of an account", () => {
    const limit = { cpu: 12_000, memory: 0, accelerators: 0 };
    const none = { cpu: 0, memory: 0, accelerators: 0 };
    const cpuOf = (cpu: number) => ({ ...none, cpu });

    test.each([
        { usage: 8000, services: 0, needs: 4000, tasks: 1, expected: true },
        { usage: 9000, services: 0, needs: 4000, tasks: 1, expected: false },
        // Other work that ends leaves room within the limit.
        { usage: 5000, services: 0, needs: 10_000, tasks: 1, expected: false },
        { usage: 5000, services: 5000, needs: 10_000, tasks: 1, expected: true },
        { usage: 6000, services: 6000, needs: 10_000, tasks: 1, expected: false },
        { usage: 0, services: 0, needs: 13_000, tasks: 1, expected: true },
        { usage: 0, services: 0, needs: 5000, tasks: 3, expected: true },
        { usage: 0, services: 0, needs: 5000, tasks: 4, expected: false },
        { usage: 6000, services: 0, needs: 13_000, tasks: 1, expected: false },
    ])("%o", ({ usage, services, needs, tasks, expected }) => {
        const request = { usage: cpuOf(usage), serviceUsage: cpuOf(services), needs: cpuOf(needs), tasks };
        expect(isWithinTeamLimit(request, limit)).toBe(expected);
    });
});
