import { describe, expect, test } from "vitest";
import type { StepSpec } from "../src/job/index.js";
import { jobKey } from "../src/pool/index.js";
import { EventId, Severity } from "../src/process/events.js";
import { jobOf, type StandinEntry, StandinSite, type StandinSiteOptions } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };

async function siteWith(options: StandinSiteOptions = {}): Promise<StandinSite> {
    const site = StandinSite.create(options);
    await site.start(lists);
    return site;
}

function ownerOf(site: StandinSite): StandinEntry {
    const owner = site.owner();
    expect(owner).toBeDefined();
    return owner!;
}

function otherThan(site: StandinSite, entry: StandinEntry): StandinEntry {
    return site.entries.find(other => other !== entry)!;
}

async function accepted(site: StandinSite, id: string, ...steps: Partial<StepSpec>[]): Promise<void> {
    const result = await site.runUntilSettled(site.submit(site.entries[0]!, id, jobOf(...steps)));
    expect(result.kind).toBe("accepted");
}

async function expectPhase(site: StandinSite, id: string, phase: string): Promise<void> {
    const entry = site.entries.find(({ timer }) => !timer.isPaused)!;
    expect(await site.runUntilSettled(site.phaseOf(entry, id))).toBe(phase);
    if (phase === "succeeded") {
        site.checker.recordSucceeded(id);
    }
    expect(site.checker.violations).toEqual([]);
}

describe("a site on a calm day", () => {
    test("runs the steps of a job in their order and shows its success", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 4 }, { tasks: 2, after: [0] });
        await site.timer.advance(200);
        await expectPhase(site, "j1", "running");
        await site.timer.advance(2000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(6);
    });

    test("starts a job within 60 ms of its acceptance", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 1 });
        await site.timer.advance(60);
        expect(site.checker.startCount).toBe(1);
    });

    test("takes a job that is submitted twice, at two entries, once", async () => {
        const site = await siteWith();
        const spec = jobOf({ tasks: 2 });
        const both = Promise.all(site.entries.slice(0, 2).map(entry => site.submit(entry, "j1", spec)));
        expect((await site.runUntilSettled(both)).map(({ kind }) => kind)).toEqual(["accepted", "accepted"]);
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(2);
    });

    test("ends a job as failed after as many failed runs of a task as its queue allows", async () => {
        const site = await siteWith();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({}), { failures: 9 }));
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "failed");
        expect(site.checker.startCount).toBe(3);
    });

    test("ends a job at once that no worker has room for", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { needs: { cpu: 64_000, memory: 1, accelerators: 0 } });
        await site.timer.advance(300);
        await expectPhase(site, "j1", "failed");
        expect(site.checker.startCount).toBe(0);
    });

    test("stops the runs of a cancelled job and starts none after", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 3 }, { tasks: 3, after: [0] });
        await site.timer.advance(200);
        const result = await site.runUntilSettled(
            otherThan(site, ownerOf(site)).core.desk.cancel("j1", 3000),
        );
        expect(result.kind).toBe("cancelled");
        site.checker.recordCancelled("j1");
        await site.timer.advance(6000);
        await expectPhase(site, "j1", "cancelled");
        expect(site.workers.flatMap(({ running }) => [...running])).toEqual([]);
    });

    test("forgets a job that has been final for long, in memory and in the store", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 2 });
        await accepted(site, "j2", { tasks: 1, isService: true });
        await site.timer.advance(150_000);
        await expectPhase(site, "j1", "succeeded");
        await site.timer.advance(60_000);
        expect(await site.runUntilSettled(site.phaseOf(site.entries[1]!, "j1"))).toBe("absent");
        expect(await site.runUntilSettled(site.phaseOf(site.entries[1]!, "j2"))).toBe("running");
        expect(ownerOf(site).core.domain.tenure?.jobs.entries.size).toBe(1);
        expect(site.rows.find(jobKey("j1"))).toBeUndefined();
        expect(site.rows.find({ table: "progress", part: "main", key: "j1" })).toBeUndefined();
        expect(site.rows.find({ table: "progress", part: "main", key: "j2" })).toBeDefined();
    });

    test("reads the store less than five times a second and entry while nothing happens", async () => {
        const site = await siteWith();
        await site.timer.advance(5000);
        const before = site.rows.callCount;
        await site.timer.advance(10_000);
        expect(site.rows.callCount - before).toBeLessThan(5 * 10 * site.entries.length);
    });

    test("keeps a team's running work within its cap", async () => {
        const site = StandinSite.create();
        await site.start({ ...lists, caps: { team: { cpu: 3000, memory: 0, accelerators: 0 } } });
        await accepted(site, "j1", { tasks: 8 });
        let most = 0;
        for (let i = 0; i < 100; i++) {
            await site.timer.advance(20);
            most = Math.max(most, site.workers.reduce((sum, { used }) => sum + used.cpu, 0));
        }
        expect(most).toBe(3000);
        await site.timer.advance(1000);
        await expectPhase(site, "j1", "succeeded");
    });
});

describe("a change of owner", () => {
    test("after a kill takes less than 3 s and ends no run", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 4 }), { workMs: 4000 }),
        );
        await site.timer.advance(500);
        const owner = ownerOf(site);
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(3000);
        expect(ownerOf(site).core.domain.tenure?.isReady).toBe(true);
        await site.timer.advance(3000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(4);
    });

    test("at a planned stop is done within 300 ms and ends no run", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 4 }), { workMs: 2000 }),
        );
        await site.timer.advance(200);
        const owner = ownerOf(site);
        void owner.core.leave();
        await site.timer.advance(300);
        expect(ownerOf(site)).not.toBe(owner);
        await site.timer.advance(3000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(4);
    });

    test("at a planned stop is over within the grace although the store refuses a batch", async () => {
        const site = await siteWith();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({ tasks: 4 }), { workMs: 300 }));
        await site.timer.advance(250);
        site.rows.faults.isBusy = true;
        await site.timer.advance(300);
        const owner = ownerOf(site);
        let hasLeft = false;
        void owner.core.leave().then(() => {
            hasLeft = true;
        });
        await site.timer.advance(4000);
        expect(hasLeft).toBe(true);
        site.kill(owner);
        site.startEntry(owner.name);
        site.rows.faults.isBusy = false;
        await site.timer.advance(5000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(4);
    });

    test("keeps ends that came while nobody owned the domain", async () => {
        const site = await siteWith();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({ tasks: 6 }), { workMs: 600 }));
        await site.timer.advance(300);
        const owner = ownerOf(site);
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(6);
    });

    test("lets a job go on that was accepted right before all entries were killed", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 3 });
        const all = [...site.entries];
        all.forEach(entry => site.kill(entry));
        await site.timer.advance(1000);
        all.forEach(entry => site.startEntry(entry.name));
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("is at once when the owner's own VM starts its next life first", async () => {
        const site = await siteWith({ entries: 1 });
        const owner = ownerOf(site);
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(500);
        expect(ownerOf(site).core.domain.tenure?.isReady).toBe(true);
    });

    test("goes to the strongest VM that is left", async () => {
        const strengths = { "entry-1": 2, "entry-3": 4, "entry-4": 3 };
        const site = await siteWith({ entries: 5, strengths });
        await site.timer.advance(6000);
        expect(ownerOf(site).name).toBe("entry-3");
        const strongest = ownerOf(site);
        site.kill(strongest);
        await site.timer.advance(2000);
        const next = site.entries.find(entry =>
            entry !== strongest && entry.core.domain.tenure !== undefined
        );
        expect(next?.name).toBe("entry-4");
    });

    test("brings the domain back to a clearly stronger VM once it runs again, and ends no run", async () => {
        const site = await siteWith({ entries: 3, strengths: { "entry-2": 2 } });
        await site.timer.advance(6000);
        const strong = ownerOf(site);
        expect(strong.name).toBe("entry-2");
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 6 }), { workMs: 9000 }),
        );
        await site.timer.advance(300);
        site.kill(strong);
        await site.timer.advance(2000);
        expect(ownerOf(site).name).not.toBe("entry-2");
        site.startEntry("entry-2");
        await site.timer.advance(6000);
        expect(ownerOf(site).name).toBe("entry-2");
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(6);
    });

    test("leaves a paused owner without power", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 2 });
        await site.timer.advance(100);
        const owner = ownerOf(site);
        owner.timer.pause();
        await site.timer.advance(4000);
        expect(ownerOf(site)).not.toBe(owner);
        owner.timer.resume();
        await accepted(site, "j2", { tasks: 4 });
        await site.timer.advance(3000);
        await expectPhase(site, "j1", "succeeded");
        await expectPhase(site, "j2", "succeeded");
        expect(owner.core.domain.tenure).toBeUndefined();
    });

    test("is asked for by an owner that gets too little processor time", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 4 }), { workMs: 3000 }),
        );
        const owner = ownerOf(site);
        for (let i = 0; i < 20; i++) {
            owner.timer.pause();
            await site.timer.advance(150);
            owner.timer.resume();
            await site.timer.advance(10);
        }
        expect(ownerOf(site)).not.toBe(owner);
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(4);
    });

    test("is not asked for after a single pause", async () => {
        const site = await siteWith();
        const owner = ownerOf(site);
        owner.timer.pause();
        await site.timer.advance(500);
        owner.timer.resume();
        await site.timer.advance(3000);
        expect(ownerOf(site)).toBe(owner);
    });

    test("goes to an entry that reaches the store when the owner does not", async () => {
        const site = await siteWith();
        const owner = ownerOf(site);
        owner.storeFaults.isBusy = true;
        await site.timer.advance(3000);
        expect(ownerOf(site)).not.toBe(owner);
        const entry = ownerOf(site);
        expect((await site.runUntilSettled(site.submit(entry, "j1", jobOf({})))).kind).toBe("accepted");
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
    });

    test("between the storing of two ends that came in one answer runs neither task again", async () => {
        for (let offset = 0; offset < 40; offset += 4) {
            const site = await siteWith();
            const job = site.submit(site.entries[0]!, "j1", jobOf({ tasks: 6 }, { tasks: 1, after: [0] }));
            await site.runUntilSettled(job);
            const owner = ownerOf(site);
            for (let i = 0; i < 200 && !owner.log.some(({ event }) => event === EventId.RunEnded); i++) {
                await site.timer.advance(5);
            }
            await site.timer.advance(offset);
            owner.storeFaults.isBusy = true;
            await site.timer.advance(5000);
            await expectPhase(site, "j1", "succeeded");
            expect(site.checker.startCount).toBe(7);
        }
    });

    test("from a live owner leaves no lost run waiting longer than its lease", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 1, isService: true });
        await site.timer.advance(1000);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        const owner = ownerOf(site);
        owner.storeFaults.isBusy = true;
        worker.faults.isUnreachable = true;
        await site.timer.advance(6500);
        expect(ownerOf(site)).not.toBe(owner);
        const others = site.workers.filter(other => other !== worker);
        expect(others.flatMap(({ running }) => [...running.keys()])).toEqual(["j1.0.0.0"]);
        expect(site.checker.violations).toEqual([]);
    });

    test("does not happen while the store is down for all", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 2 }), { workMs: 4000 }),
        );
        await site.timer.advance(300);
        const owner = ownerOf(site);
        site.rows.faults.isUnresponsive = true;
        await site.timer.advance(6000);
        site.rows.faults.isUnresponsive = false;
        await site.timer.advance(3000);
        expect(ownerOf(site)).toBe(owner);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(2);
    });
});

describe("a worker that is lost", () => {
    test("in the dark has its work started elsewhere once its leases have ended", async () => {
        const site = await siteWith();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({ tasks: 1, isService: true })));
        await site.timer.advance(1000);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        worker.faults.isUnreachable = true;
        await site.timer.advance(7000);
        const others = site.workers.filter(other => other !== worker);
        expect(others.flatMap(({ running }) => [...running.keys()])).toEqual(["j1.0.0.0"]);
        expect(site.checker.violations).toEqual([]);
    });

    test("and comes back with successes has them counted, also those of runs that were given up", async () => {
        const site = await siteWith({ vmsPerPool: 1 });
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 3 }), { workMs: 2000 }),
        );
        await site.timer.advance(500);
        const [worker] = site.workers;
        site.partition(worker!);
        await site.timer.advance(8000);
        expect(worker!.running.size).toBe(0);
        site.heal(worker!);
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(3);
    });

    test("and starts again under the same id has forgotten its runs, which start anew", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 2 }), { workMs: 2000 }),
        );
        await site.timer.advance(500);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        site.crash(worker, 300);
        await site.timer.advance(6000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("to its entries but runs on never runs a task beside another worker", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 3 }), { workMs: 3000 }),
        );
        await site.timer.advance(500);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        site.partition(worker);
        await site.timer.advance(2500);
        site.heal(worker);
        await site.timer.advance(8000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("leaves orders unanswered and carries them out late without a task running twice", async () => {
        const site = await siteWith();
        const [worker] = site.workers;
        worker!.faults.commandDelayMs = 3000;
        for (let i = 0; i < 6; i++) {
            await accepted(site, `j${i}`, { tasks: 3 });
        }
        await site.timer.advance(3000);
        worker!.faults.commandDelayMs = 0;
        await site.timer.advance(12_000);
        for (let i = 0; i < 6; i++) {
            await expectPhase(site, `j${i}`, "succeeded");
        }
    });

    test("leaves one order unanswered holds up its task for less than half a second", async () => {
        const site = await siteWith();
        const [worker] = site.workers;
        for (const each of site.workers) {
            each.faults.commandDelayMs = 5000;
        }
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({}), { workMs: 2000 }));
        await site.timer.advance(100);
        for (const each of site.workers) {
            each.faults.commandDelayMs = 0;
        }
        await site.timer.advance(600);
        expect(site.workers.flatMap(({ running }) => [...running.values()])).toEqual([2]);
        await site.timer.advance(6000);
        await expectPhase(site, "j1", "succeeded");
        expect(worker?.running.size).toBe(0);
    });

    test("makes no progress has its runs stopped and started elsewhere", async () => {
        const site = await siteWith();
        await accepted(site, "j1", { tasks: 1 });
        await site.timer.advance(100);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        worker.faults.isHung = true;
        await site.timer.advance(9000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("fails all it starts does not use up the attempts of a job", async () => {
        const site = await siteWith();
        site.workers[0]!.faults.failsAll = true;
        for (let i = 0; i < 8; i++) {
            await accepted(site, `j${i}`, { tasks: 4 });
        }
        await site.timer.advance(9000);
        for (let i = 0; i < 8; i++) {
            await expectPhase(site, `j${i}`, "succeeded");
        }
    });
});

describe("the store", () => {
    test("may lose the answers to half of all writes", async () => {
        const site = await siteWith({ seed: 7 });
        site.rows.faults.lostAnswerShare = 0.5;
        for (let i = 0; i < 5; i++) {
            const result = await site.runUntilSettled(
                site.submit(site.entries[i % 3]!, `j${i}`, jobOf({ tasks: 2 })),
            );
            expect(result.kind).not.toBe("refused");
        }
        await site.timer.advance(20_000);
        site.rows.faults.lostAnswerShare = 0;
        await site.timer.advance(4000);
        for (let i = 0; i < 5; i++) {
            await expectPhase(site, `j${i}`, "succeeded");
        }
    });

    test("may carry out a third of all writes seconds late", async () => {
        const site = await siteWith({ seed: 3 });
        site.rows.faults.delayedCommitShare = 0.3;
        const results = [];
        for (let i = 0; i < 5; i++) {
            results.push(
                await site.runUntilSettled(site.submit(site.entries[i % 3]!, `j${i}`, jobOf({ tasks: 2 }))),
            );
        }
        await site.timer.advance(25_000);
        site.rows.faults.delayedCommitShare = 0;
        await site.timer.advance(5000);
        for (const [i, { kind }] of results.entries()) {
            expect(kind).not.toBe("refused");
            await expectPhase(site, `j${i}`, "succeeded");
        }
    });

    test("that refuses an entry is reached by way of a peer", async () => {
        const site = await siteWith();
        const entry = otherThan(site, ownerOf(site));
        entry.storeFaults.isBusy = true;
        expect((await site.runUntilSettled(site.submit(entry, "j1", jobOf({})))).kind).toBe("accepted");
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
    });

    test("that is fifty times slower takes a burst of jobs within the callers' time", async () => {
        const site = await siteWith();
        site.rows.faults.latencyFactor = 50;
        const answers: Promise<{ readonly kind: string }>[] = [];
        for (let i = 0; i < 60; i++) {
            answers.push(site.submit(site.entries[i % 3]!, `burst-${i}`, jobOf({ tasks: 1 })));
            await site.timer.advance(50);
        }
        const results = await site.runUntilSettled(Promise.all(answers));
        expect(results.filter(({ kind }) => kind === "accepted").length).toBeGreaterThanOrEqual(54);
    });

    test("that refuses everyone makes an entry refuse, and the job never runs", async () => {
        const site = await siteWith();
        site.rows.faults.isBusy = true;
        const result = await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({})));
        expect(result).toMatchObject({ kind: "refused", retryAfterMs: 1000 });
        site.checker.recordRefused("j1");
        site.rows.faults.isBusy = false;
        await site.timer.advance(5000);
        expect(site.checker.violations).toEqual([]);
        expect(site.checker.startCount).toBe(0);
    });

    test("that forgets its history loses no job", async () => {
        const site = await siteWith();
        const entry = otherThan(site, ownerOf(site));
        // The hint to the owner is lost; only the store can tell of the job.
        site.net.cut(entry.name, ownerOf(site).name);
        const work = site.submit(entry, "j1", jobOf({}));
        await site.timer.advance(20);
        site.rows.compact();
        await site.runUntilSettled(work);
        site.rows.compact();
        await site.timer.advance(4000);
        const owner = ownerOf(site);
        expect(await site.runUntilSettled(site.phaseOf(owner, "j1"))).toBe("succeeded");
        expect(owner.log.some(({ event }) => event === EventId.StoreHistoryLost)).toBe(true);
    });
});

describe("lists", () => {
    test("reach an entry that the store refuses by way of its peers within a second", async () => {
        const site = await siteWith();
        const entry = otherThan(site, ownerOf(site));
        entry.storeFaults.isBusy = true;
        await site.timer.advance(500);
        site.setLists({ version: 2, queues: [{ name: "q2", pathPrefix: "/q2/" }] });
        await site.timer.advance(1000);
        expect(entry.core.lists.directory?.version).toBe(2);
    });

    test("never go back", async () => {
        const site = await siteWith();
        site.setLists({ version: 5, queues: [{}] });
        await site.timer.advance(500);
        site.setLists({ version: 4, queues: [] });
        await site.timer.advance(500);
        expect(site.entries.map(({ core }) => core.lists.directory?.version)).toEqual([5, 5, 5]);
    });

    test("decide which keys are good, on every entry", async () => {
        const site = StandinSite.create();
        await site.start({ version: 1, queues: [{ isOpen: false }], keys: { k1: "team" } });
        const { desk } = site.entries[2]!.core;
        expect(desk.findQueueByAddress("h", "/q/1", "k1").kind).toBe("queue");
        expect(desk.findQueueByAddress("h", "/q/1", "k2").kind).toBe("bad-key");
        expect(desk.findQueueByAddress("h", "/other/1", "k1").kind).toBe("no-queue");
        site.setLists({ version: 2, queues: [{ isOpen: false }], keys: {} });
        await site.timer.advance(200);
        expect(desk.findQueueByAddress("h", "/q/1", "k1").kind).toBe("bad-key");
    });
});

describe("VMs", () => {
    test("that no pool needs are parked, and come back with the work", async () => {
        const site = await siteWith({
            managesVms: true,
            vmsPerPool: 6,
            spareVms: 2,
            pools: ["bench", "atelier"],
        });
        await site.timer.advance(6000);
        expect(parked(site)).toBeGreaterThanOrEqual(8);
        const gone = ownerOf(site).log.filter(({ event }) => event === EventId.WorkerUnreachable);
        expect(gone.map(({ severity }) => severity)).not.toContain(Severity.Warn);
        for (let i = 0; i < 6; i++) {
            const job = site.submit(site.entries[0]!, `j${i}`, jobOf({ tasks: 24 }), { workMs: 2500 });
            await site.runUntilSettled(job);
        }
        await site.timer.advance(2500);
        expect(site.workers.filter(({ pool }) => pool === "bench").length).toBeGreaterThanOrEqual(6);
        await site.timer.advance(9000);
        for (let i = 0; i < 6; i++) {
            await expectPhase(site, `j${i}`, "succeeded");
        }
        expect(parked(site)).toBeGreaterThanOrEqual(8);
    });
});

describe("VMs, when the owner changes in the middle of a burst", () => {
    const options = { keepsVms: true, vmsPerPool: 6, spareVms: 6, pools: ["bench", "atelier"] };
    const inBench = (site: StandinSite) =>
        Array.from({ length: 18 }, (_, i) => site.poolOf(`vm-${i}`)).filter(pool => pool === "bench").length;

    async function burst(site: StandinSite, jobs: number): Promise<void> {
        for (let i = 0; i < jobs; i++) {
            const entry = site.entries.find(({ storeFaults }) => !storeFaults.isBusy)!;
            await site.runUntilSettled(site.submit(entry, `b${i}`, jobOf({ tasks: 24 }), { workMs: 2500 }));
        }
    }

    test("that were not ordered lately come at once, although the first owner may live on", async () => {
        const site = await siteWith(options);
        await site.timer.advance(8000);
        const first = ownerOf(site);
        first.storeFaults.isBusy = true;
        for (let i = 0; i < 60 && site.owner() === first; i++) {
            await site.timer.advance(50);
        }
        const takenAt = site.timer.now();
        await burst(site, 6);
        while (inBench(site) < 6 && site.timer.now() < takenAt + 5000) {
            await site.timer.advance(50);
        }
        expect(inBench(site)).toBeGreaterThanOrEqual(6);
        expect(site.timer.now() - takenAt).toBeLessThan(1500);
        expect(site.checker.violations).toEqual([]);
    });

    test("that the first owner has just ordered are left alone by the next", async () => {
        for (const afterMs of [10, 200, 700, 1500]) {
            const site = await siteWith(options);
            await site.timer.advance(8000);
            const before = inBench(site);
            await burst(site, 3);
            for (let i = 0; i < 200 && inBench(site) === before; i++) {
                await site.timer.advance(10);
            }
            await site.timer.advance(afterMs);
            ownerOf(site).storeFaults.isBusy = true;
            await site.timer.advance(8000);
            expect(site.checker.violations).toEqual([]);
        }
    });
});

describe("a wave of VM service", () => {
    const vms = Array.from({ length: 6 }, (_, i) => `vm-${i}`);

    test("is done in its time and within its cap while a service keeps its disruption budget", async () => {
        const site = await siteWith({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
        const service = { tasks: 4, isService: true, perWorker: 2, disruptionBudget: 1 };
        await accepted(site, "s1", service);
        await site.timer.advance(3000);
        site.orderWave({ wave: 1, vms, durationMs: 20_000, cap: 2 });
        let least = Infinity;
        for (let i = 0; i < 400; i++) {
            await site.timer.advance(50);
            least = Math.min(least, site.workers.reduce((sum, { running }) => sum + running.size, 0));
        }
        expect([...site.maintainedVms.get(1) ?? []].sort()).toEqual(vms);
        expect(site.isWaveFinished(1)).toBe(true);
        expect(site.maxVmsInMaintenance).toBeLessThanOrEqual(2);
        expect(least).toBeGreaterThanOrEqual(3);
        expect(site.checker.violations).toEqual([]);
    });

    test("keeps its cap when the owner hands over right after it has taken VMs out", async () => {
        const site = await siteWith({ managesVms: true, vmsPerPool: 6, spareVms: 4 });
        await site.timer.advance(3000);
        site.orderWave({
            wave: 1,
            vms: [...vms, "vm-6", "vm-7", "vm-8", "vm-9"],
            durationMs: 20_000,
            cap: 3,
        });
        for (let i = 0; i < 40 && site.maxVmsInMaintenance === 0; i++) {
            await site.timer.advance(10);
        }
        void ownerOf(site).core.leave();
        await site.timer.advance(15_000);
        expect(site.maxVmsInMaintenance).toBe(3);
        expect(site.isWaveFinished(1)).toBe(true);
    });

    test("is announced although the store could not be read when it was first seen", async () => {
        const site = await siteWith({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
        await site.timer.advance(3000);
        const owner = ownerOf(site);
        site.orderWave({ wave: 1, vms, durationMs: 30_000, cap: 1 });
        for (let i = 0; i < 100 && !owner.log.some(({ event }) => event === EventId.WaveSeen); i++) {
            await site.timer.advance(5);
        }
        site.rows.faults.isBusy = true;
        await site.timer.advance(400);
        site.rows.faults.isBusy = false;
        await site.timer.advance(1100);
        expect(ownerOf(site)).toBe(owner);
        expect(site.isWaveAnnounced(1)).toBe(true);
        expect(site.isWaveFinished(1)).toBe(false);
    });

    test("that is finished is never shown as running again, also by the next owner", async () => {
        const site = await siteWith({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
        await site.timer.advance(3000);
        site.orderWave({ wave: 1, vms: vms.slice(0, 2), durationMs: 30_000, cap: 2 });
        for (let i = 0; i < 400 && !site.isWaveFinished(1); i++) {
            await site.timer.advance(50);
        }
        expect(site.isWaveFinished(1)).toBe(true);
        const owner = ownerOf(site);
        site.kill(owner);
        site.startEntry(owner.name);
        for (let i = 0; i < 600; i++) {
            await site.timer.advance(10);
            expect(site.isWaveFinished(1)).toBe(true);
        }
    });

    test("is finished by the next owner when the first is killed in its midst", async () => {
        const site = await siteWith({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
        await site.timer.advance(3000);
        site.orderWave({ wave: 1, vms, durationMs: 30_000, cap: 2 });
        await site.timer.advance(3000);
        site.kill(ownerOf(site));
        await site.timer.advance(20_000);
        expect([...site.maintainedVms.get(1) ?? []].sort()).toEqual(vms);
        expect(site.isWaveFinished(1)).toBe(true);
        expect(site.maxVmsInMaintenance).toBeLessThanOrEqual(2);
    });
});

function parked(site: StandinSite): number {
    return Array.from({ length: 14 }, (_, i) => site.poolOf(`vm-${i}`)).filter(pool => pool === "spare")
        .length;
}
