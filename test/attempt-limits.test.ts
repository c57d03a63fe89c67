/** Verdicts on jobs whose tasks fail, while the lists that tell their number of attempts change and owners come and go. */
import { describe, expect, test } from "vitest";
import { RunEnd } from "../src/job/index.js";
import { EventId } from "../src/process/events.js";
import { Random } from "../src/process/random.js";
import { jobOf, type StandinEntry, type StandinLists, StandinSite } from "../standin/site/site.js";

const workMs = 3000;

function listsOf(version: number, maxAttempts: number | undefined): StandinLists {
    const kept = { name: "kept", pathPrefix: "/kept/" };
    return { version, queues: maxAttempts === undefined ? [kept] : [{ maxAttempts }, kept] };
}

function aliveEntry(site: StandinSite): StandinEntry {
    return site.entries.find(({ peers }) => peers.node.isAlive)!;
}

async function submit(
    site: StandinSite,
    ...args: Parameters<StandinSite["submit"]> extends [unknown, ...infer R] ? R : never
) {
    const { kind } = await site.runUntilSettled(site.submit(aliveEntry(site), ...args));
    expect(kind).toBe("accepted");
}

function phaseOf(site: StandinSite, id: string): Promise<string> {
    return site.runUntilSettled(site.phaseOf(aliveEntry(site), id));
}

/** Advances time until the site has seen a number of starts. */
async function untilStarts(site: StandinSite, count: number): Promise<void> {
    for (let passed = 0; site.checker.startCount < count && passed < 60_000; passed += 20) {
        await site.timer.advance(20);
    }
    expect(site.checker.startCount).toBe(count);
}

enum OwnerChange {
    Killed = "killed",
    Stopped = "stopped",
    /** All entries are killed and started again. */
    AllKilled = "all entries killed",
}

async function changeOwner(site: StandinSite, change: OwnerChange): Promise<void> {
    const owner = site.owner()!;
    switch (change) {
        case OwnerChange.Killed:
            site.kill(owner);
            site.timer.after(100, () => void site.startEntry(owner.name));
            break;
        case OwnerChange.Stopped:
            await site.runUntilSettled(owner.core.leave());
            site.kill(owner);
            site.timer.after(100, () => void site.startEntry(owner.name));
            break;
        case OwnerChange.AllKilled: {
            const names = site.entries.filter(({ peers }) => peers.node.isAlive).map(({ name }) => name);
            site.entries.filter(({ peers }) => peers.node.isAlive).forEach(entry => site.kill(entry));
            names.forEach(name => site.timer.after(500, () => void site.startEntry(name)));
            break;
        }
    }
    await site.timer.advance(1500);
}

const seriesOfOwners = [
    [OwnerChange.Killed],
    [OwnerChange.Stopped],
    [OwnerChange.AllKilled],
    [OwnerChange.Killed, OwnerChange.Stopped, OwnerChange.Killed],
];

describe("a job whose queue is out of the lists while the owner changes", () => {
    const cases = seriesOfOwners.flatMap(changes => [2, 4, 5].map(maxAttempts => ({ changes, maxAttempts })));

    // Guards against: a job is failed for good after the default number of failures, which its queue exceeds (review/11).
    test.each(cases)(
        "is done in its last attempt: $changes, $maxAttempts attempts",
        async ({ changes, maxAttempts }) => {
            const site = StandinSite.create();
            await site.start(listsOf(1, maxAttempts));
            await submit(site, "j", jobOf({ tasks: 1 }), { workMs, failures: maxAttempts - 1 });
            await untilStarts(site, maxAttempts - 1);
            site.setLists(listsOf(2, undefined));
            for (const change of changes) {
                await changeOwner(site, change);
            }
            await site.timer.advance(workMs + 6000);
            expect(await phaseOf(site, "j")).toBe("running");
            site.setLists(listsOf(3, maxAttempts));
            await site.timer.advance(3 * workMs);
            expect(await phaseOf(site, "j")).toBe("succeeded");
            expect(site.checker.violations).toEqual([]);
        },
    );

    // Guards against: a start beyond the attempts of a queue that allows fewer than the default.
    test.each(cases)(
        "is started no more than it may: $changes, $maxAttempts attempts",
        async ({ changes, maxAttempts }) => {
            const site = StandinSite.create();
            await site.start(listsOf(1, maxAttempts));
            await submit(site, "j", jobOf({ tasks: 1 }), { workMs, failures: 9 });
            await untilStarts(site, maxAttempts);
            site.setLists(listsOf(2, undefined));
            for (const change of changes) {
                await changeOwner(site, change);
            }
            await site.timer.advance(workMs + 6000);
            site.setLists(listsOf(3, maxAttempts));
            await site.timer.advance(3 * workMs);
            expect(await phaseOf(site, "j")).toBe("failed");
            expect(site.checker.startCount).toBe(maxAttempts);
            expect(site.checker.violations).toEqual([]);
        },
    );
});

describe("the number of attempts with which a queue returns to the lists", () => {
    // Guards against: a verdict by the number of a version before, and a start beyond the number in force.
    test.each([
        { before: 4, after: 2, failures: 9, phase: "failed", starts: 2 },
        { before: 2, after: 4, failures: 3, phase: "succeeded", starts: 4 },
        { before: 2, after: 4, failures: 9, phase: "failed", starts: 4 },
    ])("decides: $before before, $after after", async ({ before, after, failures, phase, starts }) => {
        const site = StandinSite.create();
        await site.start(listsOf(1, before));
        await submit(site, "j", jobOf({ tasks: 1 }), { workMs, failures });
        await untilStarts(site, 2);
        site.setLists(listsOf(2, undefined));
        await site.timer.advance(workMs);
        site.setLists(listsOf(3, after));
        await site.timer.advance(4 * workMs);
        expect(await phaseOf(site, "j")).toBe(phase);
        expect(site.checker.startCount).toBe(starts);
    });
});

// Guards against: a run that was claimed by earlier lists is started although those in force allow no more.
test("a number of attempts that is lowered between claim and start holds for the start", async () => {
    const site = StandinSite.create();
    await site.start(listsOf(1, 4));
    await submit(site, "j", jobOf({ tasks: 1 }), { workMs, failures: 9 });
    await untilStarts(site, 2);
    const owner = site.owner()!;
    const claims = (): number => owner.log.filter(({ event }) => event === EventId.RunClaimed).length;
    // A batch of progress takes 0.6 s, and the lists reach the owner through a peer.
    site.rows.faults.latencyFactor = 50;
    while (claims() < 3) {
        await site.timer.advance(5);
    }
    site.rows.faults.latencyFactor = 1;
    site.setLists(listsOf(2, 2));
    await site.timer.advance(3 * workMs);
    expect(await phaseOf(site, "j")).toBe("failed");
    expect(site.checker.startCount).toBe(2);
});

// Guards against: an order of versions and owners that no test above has thought of.
test.each([1, 2, 3, 4, 5, 6, 7, 8])("random lists and owners change no verdict, seed %i", async seed => {
    const random = Random.create(seed);
    const maxAttempts = 1 + random.int(6);
    const failures = random.int(8);
    const site = StandinSite.create({ seed, entries: 4 });
    const failedEnds = new Map<string, number>();
    const excessStarts: string[] = [];
    const { checker } = site;
    const [onRunStarted, onRunEnded] = [checker.onRunStarted.bind(checker), checker.onRunEnded.bind(checker)];
    checker.onRunEnded = (worker, task, run, outcome) => {
        failedEnds.set(task, (failedEnds.get(task) ?? 0) + (outcome === RunEnd.Failed ? 1 : 0));
        onRunEnded(worker, task, run, outcome);
    };
    checker.onRunStarted = (worker, request) => {
        if ((failedEnds.get(request.task) ?? 0) >= maxAttempts) {
            excessStarts.push(`${request.task} run ${request.run}`);
        }
        onRunStarted(worker, request);
    };
    await site.start(listsOf(1, maxAttempts));
    const spec = jobOf({ tasks: 1 + random.int(3), isGang: random.chance(0.25) });
    await submit(site, "j", spec, { workMs: 400 + random.int(1500), failures });
    let isListed = true;
    for (let i = 0; i < 50; i++) {
        if (random.chance(0.2)) {
            isListed = !isListed;
            site.setLists(listsOf(2 + i, isListed ? maxAttempts : undefined));
        }
        if (random.chance(0.15)) {
            const alive = site.entries.filter(({ peers }) => peers.node.isAlive);
            const lost = random.chance(0.2)
                ? alive
                : alive.filter(({ core }) => core.domain.tenure !== undefined);
            for (const entry of lost) {
                site.kill(entry);
                site.timer.after(200 + random.int(1500), () => void site.startEntry(entry.name));
            }
        }
        await site.timer.advance(500);
    }
    site.setLists(listsOf(100, maxAttempts));
    await site.timer.advance(40_000);
    const isExhausted = Math.max(0, ...failedEnds.values()) >= maxAttempts;
    expect(await phaseOf(site, "j")).toBe(isExhausted ? "failed" : "succeeded");
    expect(excessStarts).toEqual([]);
});

describe("a gang", () => {
    // Guards against: one member that may not be started again, while the others are.
    test("is judged as a whole once its queue is back", async () => {
        const site = StandinSite.create();
        await site.start(listsOf(1, 2));
        await submit(site, "g", jobOf({ tasks: 2, isGang: true }), { workMs, failures: 9 });
        await untilStarts(site, 4);
        site.setLists(listsOf(2, undefined));
        await changeOwner(site, OwnerChange.Killed);
        await site.timer.advance(workMs + 6000);
        expect(await phaseOf(site, "g")).toBe("running");
        site.setLists(listsOf(3, 2));
        await site.timer.advance(3 * workMs);
        expect(await phaseOf(site, "g")).toBe("failed");
        expect(site.checker.violations).toEqual([]);
    });
});
