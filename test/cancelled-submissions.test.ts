/** Cancellations of jobs of which no acceptance is stored: what the caller was told binds what the store carries out later. */
import { describe, expect, test } from "vitest";
import { jobKey, refusalKey } from "../src/pool/job-rows.js";
import { Random } from "../src/process/random.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

const id = "0123456789abcdef";
const lists = { version: 1, queues: [{}] };
const submitter = { queue: "q", team: "team" };
const jobParts = 4;
/** Finished jobs and markers are kept for 180 s. */
const keptMs = 180_000;

async function createSite(): Promise<StandinSite> {
    const site = StandinSite.create({ jobParts });
    await site.start(lists);
    return site;
}

function submit(site: StandinSite, entry: StandinEntry, team = "team") {
    return site.submit(entry, id, jobOf({ tasks: 1, isService: true }), { team });
}

function cancel(site: StandinSite, entry: StandinEntry) {
    return site.runUntilSettled(entry.core.jobCalls.cancel(id, submitter, 3000));
}

/** Hands a job in whose row the store creates `lateMs` after it was sent, and does not say so. */
async function submitLate(site: StandinSite, entry: StandinEntry, lateMs: number): Promise<void> {
    site.rows.faults.delayedCommitShare = 1;
    site.rows.faults.commitDelayMs = lateMs;
    const { kind } = await site.runUntilSettled(submit(site, entry));
    site.rows.faults.delayedCommitShare = 0;
    expect(kind).toBe("uncertain");
}

function phaseOf(site: StandinSite, entry: StandinEntry): Promise<string> {
    return site.runUntilSettled(site.phaseOf(entry, id));
}

function aliveEntries(site: StandinSite): readonly StandinEntry[] {
    return site.entries.filter(({ peers }) => peers.node.isAlive);
}

describe("a job whose submission and cancellation came to no acceptance", () => {
    // Guards against: a write of the acceptance that the store carries out after the caller was told that there is no job (review/8).
    test.each([false, true])(
        "never runs, however late its row is written (owner dies: %s)",
        async ownerDies => {
            const site = await createSite();
            const [first, second] = site.entries as [StandinEntry, StandinEntry];
            await submitLate(site, first, 6000);
            expect((await cancel(site, second)).kind).toBe("absent");
            if (ownerDies) {
                site.kill(site.owner()!);
            }
            await site.timer.advance(15_000);
            const [alive] = aliveEntries(site);
            expect(await phaseOf(site, alive!)).toBe("absent");
            expect(site.checker.startCount).toBe(0);
        },
    );

    test("is refused truthfully when it is handed in again", async () => {
        const site = await createSite();
        const [first, second] = site.entries as [StandinEntry, StandinEntry];
        expect((await cancel(site, first)).kind).toBe("absent");
        expect((await cancel(site, second)).kind).toBe("absent");
        expect(await site.runUntilSettled(submit(site, second))).toMatchObject({
            kind: "refused",
            reason: "cancelled",
        });
        await site.timer.advance(5000);
        expect(site.checker.startCount).toBe(0);
    });

    // Guards against: the cancellation of one account that bars the id of another.
    test.each([false, true])(
        "does not bar the same id of another account (owner dies: %s)",
        async ownerDies => {
            const site = await createSite();
            const [first, second] = site.entries as [StandinEntry, StandinEntry];
            expect((await cancel(site, first)).kind).toBe("absent");
            await site.timer.advance(1000);
            if (ownerDies) {
                site.kill(site.owner()!);
            }
            const alive = second.peers.node.isAlive ? second : first;
            const { kind } = await site.runUntilSettled(submit(site, alive, "other"));
            expect(kind).toBe("accepted");
            await site.timer.advance(8000);
            expect(await phaseOf(site, alive)).toBe("running");
            await site.timer.advance(keptMs + 10_000);
            expect(await phaseOf(site, alive)).toBe("running");
            expect(site.checker.violations).toEqual([]);
        },
    );

    // Guards against: a store that grows with each cancellation of an id that nobody has used.
    test.each([0, 1])("leaves nothing in the store in the end, with %i deaths of owners", async deaths => {
        const site = await createSite();
        expect((await cancel(site, site.entries[0]!)).kind).toBe("absent");
        await site.timer.advance(1000);
        for (let i = 0; i < deaths; i++) {
            site.kill(site.owner()!);
            await site.timer.advance(5000);
        }
        expect(site.rows.find(jobKey(id, jobParts))).toBeDefined();
        await site.timer.advance(keptMs + 10_000);
        expect(site.rows.find(jobKey(id, jobParts))).toBeUndefined();
        expect(site.rows.find(refusalKey(id, jobParts))).toBeUndefined();
        const [alive] = aliveEntries(site);
        expect((await site.runUntilSettled(submit(site, alive!))).kind).toBe("accepted");
    });

    test("is told to be uncertain while the store does not answer, and never runs once it is told to be absent", async () => {
        const site = await createSite();
        const [first, second] = site.entries as [StandinEntry, StandinEntry];
        await submitLate(site, first, 6000);
        site.rows.faults.delayedCommitShare = 1;
        expect((await cancel(site, second)).kind).toBe("uncertain");
        site.rows.faults.delayedCommitShare = 0;
        const again = await cancel(site, second);
        expect(["absent", "cancelled"]).toContain(again.kind);
        await site.timer.advance(3000);
        const started = site.checker.startCount;
        await site.timer.advance(15_000);
        expect(site.checker.startCount).toBe(started);
        expect(["absent", "cancelled"]).toContain(await phaseOf(site, first));
    });
});

describe("a cancellation that races the acceptance at another entry", () => {
    test.each([1, 2, 3, 4, 5, 6, 7, 8])("and its answers agree with what runs (seed %i)", async seed => {
        const random = Random.create(seed);
        const site = await createSite();
        const [first, second] = site.entries as [StandinEntry, StandinEntry];
        site.rows.faults.lostAnswerShare = 0.3;
        site.rows.faults.delayedCommitShare = 0.3;
        site.rows.faults.commitDelayMs = random.int(3000);
        const submitted = submit(site, first);
        await site.timer.advance(random.int(40));
        const { kind } = await cancel(site, second);
        const acceptance = await site.runUntilSettled(submitted);
        site.rows.faults.lostAnswerShare = 0;
        site.rows.faults.delayedCommitShare = 0;
        await site.timer.advance(6000);
        const started = site.checker.startCount;
        await site.timer.advance(8000);
        const phase = await phaseOf(site, first);
        switch (kind) {
            case "absent":
                expect(acceptance.kind).not.toBe("accepted");
                expect(phase).toBe("absent");
                expect(site.checker.startCount).toBe(0);
                break;
            case "cancelled":
                expect(phase).toBe("cancelled");
                expect(site.checker.startCount).toBe(started);
                break;
            case "refused":
            case "uncertain":
                expect(acceptance.kind === "accepted" && phase === "absent").toBe(false);
                break;
        }
    });
});

// Guards against: cancellations of jobs that are gone, which an owner remembers for ever.
test("an owner forgets cancellations of jobs that it does not know", async () => {
    const site = await createSite();
    const { tenure } = site.owner()!.core.domain;
    for (let i = 0; i < 100; i++) {
        tenure!.cancel(`unknown-${i}`);
    }
    expect(tenure!.unacceptedCount).toBe(100);
    await site.timer.advance(keptMs + 10_000);
    expect(tenure!.unacceptedCount).toBe(0);
});

describe("a cancellation that is disturbed at one of its steps", () => {
    /** What goes wrong while the cancellation is handled. */
    const disturbances = {
        "slow reads of jobs": (site: StandinSite) => void site.rows.readDelaysMs.set("jobs", 1500),
        "slow reads of markers": (site: StandinSite) => void site.rows.readDelaysMs.set("job-refusals", 1500),
        "lost answers": (site: StandinSite) => void (site.rows.faults.lostAnswerShare = 1),
        "a late write of the marker": (site: StandinSite) => void (site.rows.faults.delayedCommitShare = 1),
        "the death of the owner": (site: StandinSite) => site.kill(site.owner()!),
    };

    test.each(Object.keys(disturbances) as (keyof typeof disturbances)[])(
        "by %s binds what comes later once it is answered",
        async name => {
            const site = await createSite();
            const others = site.entries.filter(entry => entry !== site.owner());
            const [first, second] = others as [StandinEntry, StandinEntry];
            await submitLate(site, first, 6000);
            disturbances[name](site);
            const answer = second.core.jobCalls.cancel(id, submitter, 3000);
            await site.timer.advance(3500);
            site.rows.readDelaysMs.clear();
            site.rows.faults.lostAnswerShare = 0;
            site.rows.faults.delayedCommitShare = 0;
            const { kind } = await site.runUntilSettled(answer);
            const settled = kind === "absent" ? kind : (await cancel(site, second)).kind;
            expect(["absent", "cancelled"]).toContain(settled);
            await site.timer.advance(3000);
            const started = site.checker.startCount;
            await site.timer.advance(20_000);
            expect(site.checker.startCount).toBe(started);
            expect(["absent", "cancelled"]).toContain(await phaseOf(site, second));
            expect(site.checker.violations).toEqual([]);
        },
    );

    test("by the death of the entry that handles it leaves the job to the next cancellation", async () => {
        for (let diesAfterMs = 0; diesAfterMs < 40; diesAfterMs += 4) {
            const site = await createSite();
            const others = site.entries.filter(entry => entry !== site.owner());
            const [first, second] = others as [StandinEntry, StandinEntry];
            await submitLate(site, first, 6000);
            void second.core.jobCalls.cancel(id, submitter, 3000);
            await site.timer.advance(diesAfterMs);
            site.kill(second);
            expect((await cancel(site, first)).kind).toBe("absent");
            await site.timer.advance(15_000);
            expect(site.checker.startCount).toBe(0);
        }
    });
});
