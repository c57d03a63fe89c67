import { describe, expect, test } from "vitest";
import type { StepSpec } from "../src/job/index.js";
import { jobKey } from "../src/pool/index.js";
import { fencesPerTenure } from "../src/pool/ownership.js";
import { EventId, Severity } from "../src/process/events.js";
import { jobOf, type StandinEntry, StandinSite, type StandinSiteOptions } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };
const submitter = { queue: "q", team: "team" };

async function createSite(options: StandinSiteOptions = {}): Promise<StandinSite> {
    const site = StandinSite.create(options);
    await site.start(lists);
    return site;
}

function ownerOf(site: StandinSite): StandinEntry {
    const owner = site.owner();
    expect(owner).toBeDefined();
    return owner!;
}

function anotherEntry(site: StandinSite, entry: StandinEntry): StandinEntry {
    return site.entries.find(other => other !== entry)!;
}

/** Submits a job to the first entry and expects its acceptance. */
async function submitAccepted(site: StandinSite, id: string, ...steps: Partial<StepSpec>[]): Promise<void> {
    const result = await site.runUntilSettled(site.submit(site.entries[0]!, id, jobOf(...steps)));
    expect(result.kind).toBe("accepted");
}

/** Expects that a job is in the given phase and that no guarantee was violated so far. */
async function expectPhase(site: StandinSite, id: string, phase: string): Promise<void> {
    const entry = site.entries.find(({ timer }) => !timer.isPaused)!;
    expect(await site.runUntilSettled(site.phaseOf(entry, id))).toBe(phase);
    if (phase === "succeeded") {
        site.checker.recordSucceeded(id);
    }
    expect(site.checker.violations).toEqual([]);
}

describe("a site without faults", () => {
    test("runs the steps of a job in order and reports its success", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 4 }, { tasks: 2, after: [0] });
        await site.timer.advance(200);
        await expectPhase(site, "j1", "running");
        await site.timer.advance(2000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(6);
    });

    test("starts a job within 60 ms of its acceptance", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 1 });
        await site.timer.advance(60);
        expect(site.checker.startCount).toBe(1);
    });

    test("accepts a job that is submitted at two entries and runs it once", async () => {
        const site = await createSite();
        const spec = jobOf({ tasks: 2 });
        const submissions = Promise.all(
            site.entries.slice(0, 2).map(entry => site.submit(entry, "j1", spec)),
        );
        expect((await site.runUntilSettled(submissions)).map(({ kind }) => kind)).toEqual([
            "accepted",
            "accepted",
        ]);
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(2);
    });

    test("fails a job after as many failed runs of a task as its queue allows", async () => {
        const site = await createSite();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({}), { failures: 9 }));
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "failed");
        expect(site.checker.startCount).toBe(3);
    });

    test("fails a job at once that needs more than any worker's capacity", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { needs: { cpu: 64_000, memory: 1, accelerators: 0 } });
        await site.timer.advance(300);
        await expectPhase(site, "j1", "failed");
        expect(site.checker.startCount).toBe(0);
    });

    test("stops the runs of a cancelled job and starts no more", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 3 }, { tasks: 3, after: [0] });
        await site.timer.advance(200);
        const result = await site.runUntilSettled(
            anotherEntry(site, ownerOf(site)).core.jobCalls.cancel("j1", submitter, 3000),
        );
        expect(result.kind).toBe("cancelled");
        site.checker.recordCancelled("j1");
        await site.timer.advance(6000);
        await expectPhase(site, "j1", "cancelled");
        expect(site.workers.flatMap(({ running }) => [...running])).toEqual([]);
    });

    test("removes a job from memory and from the store after its retention period", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 2 });
        await submitAccepted(site, "j2", { tasks: 1, isService: true });
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

    test("calls the store less than five times per second and entry when idle", async () => {
        const site = await createSite();
        await site.timer.advance(5000);
        const callsBefore = site.rows.callCount;
        await site.timer.advance(10_000);
        expect(site.rows.callCount - callsBefore).toBeLessThan(5 * 10 * site.entries.length);
    });

    test("keeps a team's running tasks within its resource cap", async () => {
        const site = StandinSite.create();
        await site.start({ ...lists, caps: { team: { cpu: 3000, memory: 0, accelerators: 0 } } });
        await submitAccepted(site, "j1", { tasks: 8 });
        let maxCpu = 0;
        for (let i = 0; i < 100; i++) {
            await site.timer.advance(20);
            maxCpu = Math.max(maxCpu, site.workers.reduce((sum, { used }) => sum + used.cpu, 0));
        }
        expect(maxCpu).toBe(3000);
        await site.timer.advance(1000);
        await expectPhase(site, "j1", "succeeded");
    });
});

describe("a change of owner", () => {
    test("after a kill takes less than 3 s and interrupts no run", async () => {
        const site = await createSite();
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

    test("at a planned stop completes within 300 ms and interrupts no run", async () => {
        const site = await createSite();
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

    test("at a planned stop ends within the grace period although the store refuses a batch", async () => {
        const site = await createSite();
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

    test("at a planned stop ends by its deadline although the store is silent, and repeats no run", async () => {
        const site = await createSite();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({ tasks: 4 }), { workMs: 300 }));
        await site.timer.advance(250);
        site.rows.faults.isUnresponsive = true;
        await site.timer.advance(300);
        const owner = ownerOf(site);
        let hasLeft = false;
        void owner.core.leave(owner.timer.now() + 2000).then(() => {
            hasLeft = true;
        });
        await site.timer.advance(2000);
        expect(hasLeft).toBe(true);
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(1000);
        site.rows.faults.isUnresponsive = false;
        await site.timer.advance(8000);
        expect(ownerOf(site).core.domain.tenure?.isReady).toBe(true);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(4);
    });

    test("that an entry begins while it is stopping leaves no tenure behind", async () => {
        for (let killedForMs = 690; killedForMs <= 740; killedForMs += 2) {
            const site = await createSite();
            const owner = ownerOf(site);
            site.kill(owner);
            await site.timer.advance(killedForMs);
            const others = site.entries.filter(entry => entry !== owner);
            await site.runUntilSettled(Promise.all(others.map(({ core }) => core.leave())));
            await site.timer.advance(100);
            expect(others.filter(({ core }) => core.domain.tenure !== undefined)).toEqual([]);
        }
    });

    test("keeps the results of runs that ended while the domain had no owner", async () => {
        const site = await createSite();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({ tasks: 6 }), { workMs: 600 }));
        await site.timer.advance(300);
        const owner = ownerOf(site);
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(6);
    });

    test("continues a job that was accepted right before all entries were killed", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 3 });
        const allEntries = [...site.entries];
        allEntries.forEach(entry => site.kill(entry));
        await site.timer.advance(1000);
        allEntries.forEach(entry => site.startEntry(entry.name));
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("is immediate when the owner's entry restarts first", async () => {
        const site = await createSite({ entries: 1 });
        const owner = ownerOf(site);
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(500);
        expect(ownerOf(site).core.domain.tenure?.isReady).toBe(true);
    });

    test("goes to the remaining entry of the highest strength", async () => {
        const strengths = { "entry-1": 2, "entry-3": 4, "entry-4": 3 };
        const site = await createSite({ entries: 5, strengths });
        await site.timer.advance(6000);
        expect(ownerOf(site).name).toBe("entry-3");
        const strongest = ownerOf(site);
        site.kill(strongest);
        await site.timer.advance(2000);
        const nextOwner = site.entries.find(entry =>
            entry !== strongest && entry.core.domain.tenure !== undefined
        );
        expect(nextOwner?.name).toBe("entry-4");
    });

    test("returns the domain to a clearly stronger entry after its restart and interrupts no run", async () => {
        const site = await createSite({ entries: 3, strengths: { "entry-2": 2 } });
        await site.timer.advance(6000);
        const strongOwner = ownerOf(site);
        expect(strongOwner.name).toBe("entry-2");
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 6 }), { workMs: 9000 }),
        );
        await site.timer.advance(300);
        site.kill(strongOwner);
        await site.timer.advance(2000);
        expect(ownerOf(site).name).not.toBe("entry-2");
        site.startEntry("entry-2");
        await site.timer.advance(6000);
        expect(ownerOf(site).name).toBe("entry-2");
        await site.timer.advance(4000);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(6);
    });

    test("fences an owner that was paused", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 2 });
        await site.timer.advance(100);
        const owner = ownerOf(site);
        owner.timer.pause();
        await site.timer.advance(4000);
        expect(ownerOf(site)).not.toBe(owner);
        owner.timer.resume();
        await submitAccepted(site, "j2", { tasks: 4 });
        await site.timer.advance(3000);
        await expectPhase(site, "j1", "succeeded");
        await expectPhase(site, "j2", "succeeded");
        expect(owner.core.domain.tenure).toBeUndefined();
    });

    test("is requested by an owner that gets too little CPU time", async () => {
        const site = await createSite();
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

    /** The entry that owns the domain, not counting those that were killed. */
    function liveOwnerOf(site: StandinSite): StandinEntry | undefined {
        return site.entries.find(({ core, peers }) => peers.node.isAlive && core.domain.tenure !== undefined);
    }

    /** Plays 9.6 s in which each owner lags for `busyMs` after its takeover; returns the fences of the owners. */
    async function playWithBusyOwners(site: StandinSite, busyMs: number): Promise<readonly number[]> {
        const tenureStarts = new Map<number, number>();
        for (let i = 0; i < 60; i++) {
            const owner = liveOwnerOf(site);
            const fence = owner?.core.domain.tenure?.fence ?? 0;
            const startedAt = tenureStarts.get(fence) ?? site.timer.now();
            if (owner !== undefined) {
                tenureStarts.set(fence, startedAt);
                if (site.timer.now() - startedAt < busyMs) {
                    owner.timer.pause();
                }
            }
            await site.timer.advance(150);
            owner?.timer.resume();
            await site.timer.advance(10);
        }
        return [...tenureStarts.keys()];
    }

    // Each new owner was busy with the load of the takeover, released the domain as slow, and the next one loaded it again.
    test("is not requested by a new owner that is busy for the first two seconds of its tenure", async () => {
        const site = await createSite({ entries: 4 });
        await submitAccepted(site, "j1", { tasks: 4 });
        site.kill(ownerOf(site));
        const fences = await playWithBusyOwners(site, 2000);
        expect(fences).toEqual([2 * fencesPerTenure]);
        expect(await site.runUntilSettled(site.phaseOf(liveOwnerOf(site)!, "j1"))).toBe("succeeded");
    });

    // A burst made each owner slow in turn, and each handover added to the work that waited.
    test("is requested once, not again and again, when the load makes every owner slow", async () => {
        const site = await createSite({ entries: 4 });
        expect(await playWithBusyOwners(site, Infinity)).toHaveLength(2);
    });

    test("is not requested after a single pause", async () => {
        const site = await createSite();
        const owner = ownerOf(site);
        owner.timer.pause();
        await site.timer.advance(500);
        owner.timer.resume();
        await site.timer.advance(3000);
        expect(ownerOf(site)).toBe(owner);
    });

    test("goes to an entry that can reach the store when the owner cannot", async () => {
        const site = await createSite();
        const owner = ownerOf(site);
        owner.storeFaults.isBusy = true;
        await site.timer.advance(3000);
        expect(ownerOf(site)).not.toBe(owner);
        const newOwner = ownerOf(site);
        expect((await site.runUntilSettled(site.submit(newOwner, "j1", jobOf({})))).kind).toBe("accepted");
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
    });

    test("between the commits of two run results from one response runs neither task again", async () => {
        for (let offsetMs = 0; offsetMs < 40; offsetMs += 4) {
            const site = await createSite();
            const job = site.submit(site.entries[0]!, "j1", jobOf({ tasks: 6 }, { tasks: 1, after: [0] }));
            await site.runUntilSettled(job);
            const owner = ownerOf(site);
            for (let i = 0; i < 200 && !owner.log.some(({ event }) => event === EventId.RunEnded); i++) {
                await site.timer.advance(5);
            }
            await site.timer.advance(offsetMs);
            owner.storeFaults.isBusy = true;
            await site.timer.advance(5000);
            await expectPhase(site, "j1", "succeeded");
            expect(site.checker.startCount).toBe(7);
        }
    });

    test("from a live owner delays the restart of a lost run no longer than its lease", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 1, isService: true });
        await site.timer.advance(1000);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        const owner = ownerOf(site);
        owner.storeFaults.isBusy = true;
        worker.faults.isUnreachable = true;
        await site.timer.advance(6500);
        expect(ownerOf(site)).not.toBe(owner);
        const otherWorkers = site.workers.filter(other => other !== worker);
        expect(otherWorkers.flatMap(({ running }) => [...running.keys()])).toEqual(["j1.0.0.0"]);
        expect(site.checker.violations).toEqual([]);
    });

    /** Longest time in calm without a task of a service: 6 s after its last run, and 3 s. */
    const serviceRestartBoundMs = 9000;

    /** Crashes the worker of a service for good and returns the time, in milliseconds, until its task runs elsewhere. */
    async function measureServiceRestart(
        site: StandinSite,
        changeOwner: (owner: StandinEntry) => void,
        intervalMs: number,
    ): Promise<number> {
        await submitAccepted(site, "j1", { tasks: 1, isService: true });
        await site.timer.advance(1000);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        site.crash(worker, Infinity);
        const crashedAt = site.timer.now();
        const isRunning = () => site.workers.some(({ running }) => running.size > 0);
        for (let ms = 0; !isRunning() && ms < 3 * serviceRestartBoundMs; ms += 50) {
            const owner = liveOwnerOf(site);
            if (ms % intervalMs === 0 && owner !== undefined) {
                changeOwner(owner);
            }
            await site.timer.advance(50);
        }
        expect(site.checker.violations).toEqual([]);
        return site.timer.now() - crashedAt;
    }

    function restartLater(site: StandinSite, entry: StandinEntry): void {
        site.timer.after(700, () => {
            site.kill(entry);
            site.startEntry(entry.name);
        });
    }

    // Each new owner waited anew for the leases of workers that do not answer.
    test("by a planned stop every 3 s does not keep a service from a dead worker waiting", async () => {
        const site = await createSite({ entries: 4 });
        const leave = (owner: StandinEntry): void => {
            void owner.core.leave();
            restartLater(site, owner);
        };
        expect(await measureServiceRestart(site, leave, 3000)).toBeLessThan(serviceRestartBoundMs);
    });

    // The incident of nfwc-wind: an owner that is gone for good, then owners that are killed one after the other.
    test("by a kill every 4 s does not keep a service from a dead worker waiting", async () => {
        const site = await createSite({ entries: 4 });
        const kill = (owner: StandinEntry): void => {
            site.kill(owner);
            restartLater(site, owner);
        };
        expect(await measureServiceRestart(site, kill, 4000)).toBeLessThan(serviceRestartBoundMs);
    });

    // The third owner counted only the second one's leases, and started a task that the first still had running.
    test("twice in a row starts no task that the first owner, cut off from the store, keeps running", async () => {
        const site = await createSite({ entries: 4 });
        await submitAccepted(site, "j1", { tasks: 1, isService: true });
        await site.timer.advance(1000);
        const firstOwner = ownerOf(site);
        site.partitionExceptFrom(site.workers.find(({ running }) => running.size > 0)!, firstOwner);
        firstOwner.storeFaults.isUnresponsive = true;
        site.entries.filter(entry => entry !== firstOwner)
            .forEach(({ name }) => site.net.partition(firstOwner.name, name));
        const nextOwner = () =>
            site.entries.find(entry => entry !== firstOwner && entry.core.domain.tenure?.isReady === true);
        for (let i = 0; i < 100 && nextOwner() === undefined; i++) {
            await site.timer.advance(50);
        }
        void nextOwner()!.core.leave();
        await site.timer.advance(12_000);
        expect(site.checker.violations).toEqual([]);
    });

    /** Longest time in calm for which a task of a service may be missing: 3 s, and the 4 s before them. */
    const calmServiceRestartMs = 7000;

    /** Kills the owner for good, the worker of a service `delayMs` later, and returns the time until its task runs again. */
    async function measureRestartAfterLastingKill(delayMs: number): Promise<number> {
        const site = await createSite({ entries: 4 });
        await submitAccepted(site, "j1", { tasks: 1, isService: true });
        await site.timer.advance(1000);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        site.kill(ownerOf(site));
        await site.timer.advance(delayMs);
        site.crash(worker, Infinity);
        const crashedAt = site.timer.now();
        const isRunning = () => site.workers.some(({ running }) => running.size > 0);
        while (!isRunning() && site.timer.now() - crashedAt < 2 * calmServiceRestartMs) {
            await site.timer.advance(50);
        }
        expect(site.checker.violations).toEqual([]);
        return site.timer.now() - crashedAt;
    }

    // The new owner went on waiting for leases of the earlier one, though the worker had accepted a higher fence.
    test("does not delay the restart of a service whose worker answered the new owner and then died", async () => {
        expect(await measureRestartAfterLastingKill(1500)).toBeLessThan(calmServiceRestartMs);
    });

    test("does not delay the restart of a service whose worker died with an owner that never returns", async () => {
        expect(await measureRestartAfterLastingKill(0)).toBeLessThan(calmServiceRestartMs);
    });

    test("lets a run go on whose worker was out of reach for less than its lease", async () => {
        for (const outageMs of [300, 900, 1500, 2100]) {
            const site = await createSite();
            await submitAccepted(site, "j1", { tasks: 1, isService: true });
            await site.timer.advance(1000);
            const worker = site.workers.find(({ running }) => running.size > 0)!;
            site.partition(worker);
            await site.timer.advance(outageMs / 2);
            void ownerOf(site).core.leave();
            await site.timer.advance(outageMs / 2);
            site.heal(worker);
            await site.timer.advance(8000);
            expect([...worker.running.keys()]).toEqual(["j1.0.0.0"]);
            expect(site.checker.startCount).toBe(1);
        }
    });

    test("does not happen while the store is down for all entries", async () => {
        const site = await createSite();
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

describe("a worker that", () => {
    test("is unreachable has its tasks restarted on other workers once its leases have expired", async () => {
        const site = await createSite();
        await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({ tasks: 1, isService: true })));
        await site.timer.advance(1000);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        worker.faults.isUnreachable = true;
        await site.timer.advance(7000);
        const otherWorkers = site.workers.filter(other => other !== worker);
        expect(otherWorkers.flatMap(({ running }) => [...running.keys()])).toEqual(["j1.0.0.0"]);
        expect(site.checker.violations).toEqual([]);
    });

    test("reconnects has its successful runs counted, including those that were given up", async () => {
        const site = await createSite({ vmsPerPool: 1 });
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

    test("restarts under the same id has lost its runs, which are started again", async () => {
        const site = await createSite();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "j1", jobOf({ tasks: 2 }), { workMs: 2000 }),
        );
        await site.timer.advance(500);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        site.crash(worker, 300);
        await site.timer.advance(6000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("is disconnected but keeps running never runs a task concurrently with another worker", async () => {
        const site = await createSite();
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

    test("executes orders late without a response runs no task twice", async () => {
        const site = await createSite();
        const [worker] = site.workers;
        worker!.faults.commandDelayMs = 3000;
        for (let i = 0; i < 6; i++) {
            await submitAccepted(site, `j${i}`, { tasks: 3 });
        }
        await site.timer.advance(3000);
        worker!.faults.commandDelayMs = 0;
        await site.timer.advance(12_000);
        for (let i = 0; i < 6; i++) {
            await expectPhase(site, `j${i}`, "succeeded");
        }
    });

    test("does not answer one order delays its task by less than half a second", async () => {
        const site = await createSite();
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

    test("makes no progress has its runs stopped and restarted on other workers", async () => {
        const site = await createSite();
        await submitAccepted(site, "j1", { tasks: 1 });
        await site.timer.advance(100);
        const worker = site.workers.find(({ running }) => running.size > 0)!;
        worker.faults.isHung = true;
        await site.timer.advance(9000);
        await expectPhase(site, "j1", "succeeded");
    });

    test("fails every run does not use up the attempts of a job", async () => {
        const site = await createSite();
        site.workers[0]!.faults.failsAll = true;
        for (let i = 0; i < 8; i++) {
            await submitAccepted(site, `j${i}`, { tasks: 4 });
        }
        await site.timer.advance(9000);
        for (let i = 0; i < 8; i++) {
            await expectPhase(site, `j${i}`, "succeeded");
        }
    });
});

describe("the store", () => {
    test("may lose the responses to half of all writes", async () => {
        const site = await createSite({ seed: 7 });
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

    test("may apply 30 percent of all writes seconds late", async () => {
        const site = await createSite({ seed: 3 });
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

    test("that refuses an entry is reached through a peer", async () => {
        const site = await createSite();
        const entry = anotherEntry(site, ownerOf(site));
        entry.storeFaults.isBusy = true;
        expect((await site.runUntilSettled(site.submit(entry, "j1", jobOf({})))).kind).toBe("accepted");
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
    });

    test("that leaves an entry without answers is reached through a peer, in a second", async () => {
        const site = await createSite();
        const entry = anotherEntry(site, ownerOf(site));
        entry.storeFaults.isUnresponsive = true;
        const submission = site.submit(entry, "j1", jobOf({}));
        expect((await site.runUntilSettled(submission, 1000)).kind).toBe("accepted");
        await site.timer.advance(1500);
        await expectPhase(site, "j1", "succeeded");
        expect(site.checker.startCount).toBe(1);
    });

    test("that is fifty times slower accepts a burst of jobs within the callers' timeout", async () => {
        const site = await createSite();
        site.rows.faults.latencyFactor = 50;
        const submissions: Promise<{ readonly kind: string }>[] = [];
        for (let i = 0; i < 60; i++) {
            submissions.push(site.submit(site.entries[i % 3]!, `burst-${i}`, jobOf({ tasks: 1 })));
            await site.timer.advance(50);
        }
        const results = await site.runUntilSettled(Promise.all(submissions));
        expect(results.filter(({ kind }) => kind === "accepted").length).toBeGreaterThanOrEqual(54);
    });

    test("that refuses all calls makes an entry refuse the job, which never runs", async () => {
        const site = await createSite();
        site.rows.faults.isBusy = true;
        const result = await site.runUntilSettled(site.submit(site.entries[0]!, "j1", jobOf({})));
        expect(result).toMatchObject({ kind: "refused", retryAfterMs: 1000 });
        site.checker.recordRefused("j1");
        site.rows.faults.isBusy = false;
        await site.timer.advance(5000);
        expect(site.checker.violations).toEqual([]);
        expect(site.checker.startCount).toBe(0);
    });

    test("that has compacted its history loses no job", async () => {
        const site = await createSite();
        const entry = anotherEntry(site, ownerOf(site));
        // The notice to the owner is lost, so the owner can find the job only in the store.
        site.net.partition(entry.name, ownerOf(site).name);
        const submission = site.submit(entry, "j1", jobOf({}));
        await site.timer.advance(20);
        site.rows.compact();
        await site.runUntilSettled(submission);
        site.rows.compact();
        await site.timer.advance(4000);
        const owner = ownerOf(site);
        expect(await site.runUntilSettled(site.phaseOf(owner, "j1"))).toBe("succeeded");
        expect(owner.log.some(({ event }) => event === EventId.StoreHistoryLost)).toBe(true);
    });
});

describe("a cancellation", () => {
    test("that the owner finds only in the feed stops the runs within 3 s of the return of a silent store", async () => {
        for (let outageMs = 3000; outageMs < 5600; outageMs += 200) {
            const site = await createSite();
            const entry = anotherEntry(site, ownerOf(site));
            await submitAccepted(site, "j1", { tasks: 2, isService: true });
            await site.timer.advance(1000);
            site.rows.faults.isUnresponsive = true;
            await site.timer.advance(outageMs);
            site.rows.faults.isUnresponsive = false;
            await site.timer.advance(50);
            site.net.partition(entry.name, ownerOf(site).name);
            const cancelled = await site.runUntilSettled(entry.core.jobCalls.cancel("j1", submitter, 3000));
            expect(cancelled.kind).toBe("cancelled");
            await site.timer.advance(2800);
            expect(
                site.workers.flatMap(({ running }) => [...running.keys()]),
                `store silent for ${outageMs} ms`,
            ).toEqual([]);
        }
    });
});

describe("lists", () => {
    test("reach an entry that the store refuses through its peers within a second", async () => {
        const site = await createSite();
        const entry = anotherEntry(site, ownerOf(site));
        entry.storeFaults.isBusy = true;
        await site.timer.advance(500);
        site.setLists({ version: 2, queues: [{ name: "q2", pathPrefix: "/q2/" }] });
        await site.timer.advance(1000);
        expect(entry.core.lists.directory?.version).toBe(2);
    });

    test("never revert to an older version", async () => {
        const site = await createSite();
        site.setLists({ version: 5, queues: [{}] });
        await site.timer.advance(500);
        site.setLists({ version: 4, queues: [] });
        await site.timer.advance(500);
        expect(site.entries.map(({ core }) => core.lists.directory?.version)).toEqual([5, 5, 5]);
    });

    test("that could not be read are logged with the reads that failed and for how long", async () => {
        const site = await createSite({ entries: 1 });
        const [entry] = site.entries;
        entry!.storeFaults.isBusy = true;
        await site.timer.advance(5000);
        entry!.storeFaults.isBusy = false;
        await site.timer.advance(3000);
        const fieldsOf = (event: EventId) =>
            entry!.log.filter(line => line.event === event && line.fields["source"] === "lists")
                .map(({ fields }) => fields);
        expect(fieldsOf(EventId.StoreUnavailable)).toEqual([
            expect.objectContaining({ readMs: expect.any(Number) as number }),
        ]);
        const [recovered] = fieldsOf(EventId.StoreRecovered);
        expect(recovered!["failedReads"]).toBeGreaterThan(5);
        expect(recovered!["lostMs"]).toBeGreaterThan(2500);
    });

    test.each([1, 7])("reach a site of size %i within 3 s of the return of a silent store", async entries => {
        for (let outageMs = 6000; outageMs < 12_000; outageMs += 400) {
            const site = await createSite({ entries });
            // The change puts the reads of all entries into step.
            site.setLists({ version: 2, queues: [{}] });
            await site.timer.advance(500);
            site.rows.faults.isUnresponsive = true;
            await site.timer.advance(outageMs);
            site.rows.faults.isUnresponsive = false;
            await site.timer.advance(500);
            site.setLists({ version: 3, queues: [{}, { name: "added" }] });
            await site.timer.advance(2500);
            expect(
                site.entries.map(({ core }) => core.lists.directory?.version),
                `store silent for ${outageMs} ms`,
            ).toEqual(Array(entries).fill(3));
        }
    });

    test("determine which keys are valid, on every entry", async () => {
        const site = StandinSite.create();
        await site.start({ version: 1, queues: [{ isOpen: false }], keys: { k1: "team" } });
        const { jobCalls: desk } = site.entries[2]!.core;
        expect(desk.findQueueByAddress("h", "/q/1", "k1").kind).toBe("queue");
        expect(desk.findQueueByAddress("h", "/q/1", "k2").kind).toBe("bad-key");
        expect(desk.findQueueByAddress("h", "/other/1", "k1").kind).toBe("no-queue");
        site.setLists({ version: 2, queues: [{ isOpen: false }], keys: {} });
        await site.timer.advance(200);
        expect(desk.findQueueByAddress("h", "/q/1", "k1").kind).toBe("bad-key");
    });
});

describe("VMs", () => {
    test("that no pool needs move to the spare pool and return under load", async () => {
        const site = await createSite({
            managesVms: true,
            vmsPerPool: 6,
            spareVms: 2,
            pools: ["bench", "atelier"],
        });
        await site.timer.advance(6000);
        expect(countSpareVms(site)).toBeGreaterThanOrEqual(8);
        const unreachableEvents = ownerOf(site).log.filter(({ event }) =>
            event === EventId.WorkerUnreachable
        );
        expect(unreachableEvents.map(({ severity }) => severity)).not.toContain(Severity.Warn);
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
        expect(countSpareVms(site)).toBeGreaterThanOrEqual(8);
    });
});

describe("VMs, when the owner changes during a burst", () => {
    const options = { managesVms: true, vmsPerPool: 6, spareVms: 6, pools: ["bench", "atelier"] };
    const countBenchVms = (site: StandinSite) =>
        Array.from({ length: 18 }, (_, i) => site.poolOf(`vm-${i}`)).filter(pool => pool === "bench").length;

    async function submitBurst(site: StandinSite, jobs: number): Promise<void> {
        for (let i = 0; i < jobs; i++) {
            const entry = site.entries.find(({ storeFaults }) => !storeFaults.isBusy)!;
            await site.runUntilSettled(site.submit(entry, `b${i}`, jobOf({ tasks: 24 }), { workMs: 2500 }));
        }
    }

    test("that were not ordered recently are moved at once, although the first owner may still run", async () => {
        const site = await createSite(options);
        await site.timer.advance(8000);
        const firstOwner = ownerOf(site);
        firstOwner.storeFaults.isBusy = true;
        for (let i = 0; i < 60 && site.owner() === firstOwner; i++) {
            await site.timer.advance(50);
        }
        const takeoverAt = site.timer.now();
        await submitBurst(site, 6);
        while (countBenchVms(site) < 6 && site.timer.now() < takeoverAt + 5000) {
            await site.timer.advance(50);
        }
        expect(countBenchVms(site)).toBeGreaterThanOrEqual(6);
        expect(site.timer.now() - takeoverAt).toBeLessThan(1500);
        expect(site.checker.violations).toEqual([]);
    });

    test("that the first owner has just ordered are not moved by the next", async () => {
        for (const afterMs of [10, 200, 700, 1500]) {
            const site = await createSite(options);
            await site.timer.advance(8000);
            const benchVmsBefore = countBenchVms(site);
            await submitBurst(site, 3);
            for (let i = 0; i < 200 && countBenchVms(site) === benchVmsBefore; i++) {
                await site.timer.advance(10);
            }
            await site.timer.advance(afterMs);
            ownerOf(site).storeFaults.isBusy = true;
            await site.timer.advance(8000);
            expect(site.checker.violations).toEqual([]);
        }
    });
});

describe("a wave of VM maintenance", () => {
    const vms = Array.from({ length: 6 }, (_, i) => `vm-${i}`);

    test("completes within its duration and its cap while a service keeps its disruption budget", async () => {
        const site = await createSite({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
        const service = { tasks: 4, isService: true, perWorker: 2, disruptionBudget: 1 };
        await submitAccepted(site, "s1", service);
        await site.timer.advance(3000);
        site.orderWave({ wave: 1, vms, durationMs: 20_000, cap: 2 });
        let minRunning = Infinity;
        for (let i = 0; i < 400; i++) {
            await site.timer.advance(50);
            minRunning = Math.min(
                minRunning,
                site.workers.reduce((sum, { running }) => sum + running.size, 0),
            );
        }
        expect([...site.maintainedVms.get(1) ?? []].sort()).toEqual(vms);
        expect(site.isWaveFinished(1)).toBe(true);
        expect(site.maxVmsInMaintenance).toBeLessThanOrEqual(2);
        expect(minRunning).toBeGreaterThanOrEqual(3);
        expect(site.checker.violations).toEqual([]);
    });

    test("keeps its cap when the owner hands over right after it has taken VMs out of service", async () => {
        const site = await createSite({ managesVms: true, vmsPerPool: 6, spareVms: 4 });
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

    test("is announced although the store became unavailable right after the owner had seen it", async () => {
        const site = await createSite({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
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

    test("that is finished is never reported as running again, not even by the next owner", async () => {
        const site = await createSite({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
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

    test("is completed by the next owner when the first is killed during it", async () => {
        const site = await createSite({ managesVms: true, vmsPerPool: 6, spareVms: 2 });
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

function countSpareVms(site: StandinSite): number {
    return Array.from({ length: 14 }, (_, i) => site.poolOf(`vm-${i}`)).filter(pool => pool === "spare")
        .length;
}
