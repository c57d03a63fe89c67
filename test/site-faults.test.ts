import { describe, expect, test } from "vitest";
import type { JobSpec } from "../src/job/index.js";
import { Random } from "../src/process/random.js";
import { TransactionFault } from "../standin/site/rows.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };

/** Submits a job as a client does, with retries at other entries; false when eight attempts brought no acceptance. */
async function submitUntilAccepted(
    site: StandinSite,
    id: string,
    spec: JobSpec,
    workMs: number,
): Promise<boolean> {
    for (let i = 0; i < 8; i++) {
        const available = site.entries.filter(({ timer, core }) =>
            !timer.isPaused && core.lists.directory !== undefined
        );
        const entry = available[i % Math.max(1, available.length)];
        if (entry !== undefined) {
            const submission = site.runUntilSettled(site.submit(entry, id, spec, { workMs }), 4000);
            // An entry that is killed does not answer; the client retries at another one.
            const result = await submission.catch(() => undefined);
            if (result?.kind === "accepted") {
                return true;
            }
        }
        await site.timer.advance(300);
    }
    return false;
}

/** Kills an entry, unless it has ended already, and starts it again 700 ms later. */
function killAndRestart(site: StandinSite, entry: StandinEntry): void {
    if (site.entries.includes(entry)) {
        site.kill(entry);
        site.timer.after(700, () => void site.startEntry(entry.name));
    }
}

/** Expects that all jobs succeeded and that no guarantee was violated; `context` is shown with a failure. */
async function expectAllSucceeded(site: StandinSite, ids: readonly string[], context: string): Promise<void> {
    const entry = site.entries.find(({ timer }) => !timer.isPaused)!;
    for (const id of ids) {
        const phase = await site.runUntilSettled(site.phaseOf(entry, id));
        expect(`${context}: ${id} ${phase}`).toBe(`${context}: ${id} succeeded`);
        site.checker.recordSucceeded(id);
    }
    expect(site.checker.violations.map(breach => `${context}: ${breach}`)).toEqual([]);
}

describe("a fault in any one store transaction of two jobs", () => {
    /** Runs two jobs with a fault in the transaction of the given number, and returns the number of transactions. */
    async function runWithFault(
        transactionNumber: number,
        fault: TransactionFault | undefined,
    ): Promise<number> {
        const site = StandinSite.create({ entries: 3 });
        if (fault !== undefined) {
            site.rows.transactionFaults.set(transactionNumber, fault);
        }
        site.rows.onKillSender = sender => {
            const entry = site.entries.find(({ timer }) => timer === sender);
            if (entry !== undefined) {
                killAndRestart(site, entry);
            }
        };
        await site.start(lists);
        const ids = ["j1", "j2"];
        for (const id of ids) {
            expect(await submitUntilAccepted(site, id, jobOf({ tasks: 3 }, { tasks: 2, after: [0] }), 200))
                .toBe(true);
        }
        await site.timer.advance(16_000);
        await expectAllSucceeded(site, ids, `fault ${fault} at transaction ${transactionNumber}`);
        return site.rows.transactionCount;
    }

    test.each(Object.values(TransactionFault))(
        "of kind %s runs no task twice and loses no job",
        async fault => {
            const transactions = await runWithFault(0, undefined);
            expect(transactions).toBeGreaterThan(10);
            for (let transactionNumber = 1; transactionNumber <= transactions; transactionNumber++) {
                await runWithFault(transactionNumber, fault);
            }
        },
    );
});

describe("mixed faults", () => {
    /** Injects a random fault and returns a function that removes it. */
    function injectFault(site: StandinSite, random: Random): () => void {
        const entry = random.pick(site.entries);
        const worker = random.pick(site.workers);
        switch (random.int(9)) {
            case 0:
                killAndRestart(site, entry);
                return () => undefined;
            case 1:
                entry.timer.pause();
                return () => entry.timer.resume();
            case 2:
                entry.storeFaults.isBusy = true;
                return () => {
                    entry.storeFaults.isBusy = false;
                };
            case 3:
                site.rows.faults.lostAnswerShare = 0.4;
                return () => {
                    site.rows.faults.lostAnswerShare = 0;
                };
            case 4:
                site.rows.faults.delayedCommitShare = 0.3;
                return () => {
                    site.rows.faults.delayedCommitShare = 0;
                };
            case 5:
                site.crash(worker, 500 + random.int(2000));
                return () => undefined;
            case 6:
                site.partition(worker);
                return () => site.heal(worker);
            case 7:
                worker.faults.commandDelayMs = 1000 + random.int(4000);
                return () => {
                    worker.faults.commandDelayMs = 0;
                };
            default:
                site.rows.compact();
                return () => undefined;
        }
    }

    async function runSeed(seed: number): Promise<void> {
        const random = Random.create(seed);
        const site = StandinSite.create({ seed, entries: 4, vmsPerPool: 5 });
        await site.start(lists);
        const acceptedIds: string[] = [];
        for (let round = 0; round < 6; round++) {
            const undo = injectFault(site, random);
            const undoSecond = random.chance(0.5) ? injectFault(site, random) : () => undefined;
            for (let i = 0; i < 2; i++) {
                const id = `j${round}-${i}`;
                const spec = jobOf({ tasks: 1 + random.int(5) }, { tasks: 1 + random.int(3), after: [0] });
                if (await submitUntilAccepted(site, id, spec, 200 + random.int(800))) {
                    acceptedIds.push(id);
                }
            }
            await site.timer.advance(500 + random.int(2500));
            undo();
            undoSecond();
            await site.timer.advance(200 + random.int(600));
        }
        site.entries.filter(({ timer }) => timer.isPaused).forEach(({ timer }) => timer.resume());
        await site.timer.advance(25_000);
        await expectAllSucceeded(site, acceptedIds, `seed ${seed}`);
    }

    test.each(Array.from({ length: 12 }, (_, i) => 1 + i))(
        "with seed %i violate no guarantee",
        seed => runSeed(seed),
    );

    const extraSeeds = Number(process.env["CELERYWIND_FAULT_SEEDS"] ?? 0);
    const firstSeed = Number(process.env["CELERYWIND_FAULT_FIRST"] ?? 1000);

    test.runIf(extraSeeds > 0)("with additional seeds violate no guarantee", async () => {
        const failures: string[] = [];
        for (let seed = firstSeed; seed < firstSeed + extraSeeds; seed++) {
            await runSeed(seed).catch((err: unknown) => void failures.push(String(err).split("\n")[0]!));
        }
        expect(failures).toEqual([]);
    });
});
