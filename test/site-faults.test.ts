import { describe, expect, test } from "vitest";
import type { JobSpec } from "../src/job/index.js";
import { Random } from "../src/process/random.js";
import { TransactionFault } from "../standin/site/rows.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };
const extraSeeds = Number(process.env["CELERYWIND_FAULT_SEEDS"] ?? 0);
const firstSeed = Number(process.env["CELERYWIND_FAULT_FIRST"] ?? 1000);

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

describe("changes of owner in series, while workers crash or are cut off from some entries,", () => {
    /** Longest time in calm without a task of a service: 6 s after its last run, and 3 s. */
    const serviceRestartBoundMs = 9000;

    function restartLater(site: StandinSite, { name }: StandinEntry): void {
        site.timer.after(700, () => {
            const entry = site.entries.find(other => other.name === name)!;
            site.kill(entry);
            site.startEntry(name);
        });
    }

    /** Cuts an entry off from the store and from its peers for `ms`. */
    function isolate(site: StandinSite, entry: StandinEntry, ms: number): void {
        const others = site.entries.filter(({ name }) => name !== entry.name).map(({ name }) => name);
        entry.storeFaults.isUnresponsive = true;
        others.forEach(name => site.net.partition(entry.name, name));
        site.timer.after(ms, () => {
            entry.storeFaults.isUnresponsive = false;
            others.forEach(name => site.net.heal(entry.name, name));
        });
    }

    /** The latest owner; an isolated one may not know yet that it has been replaced. */
    function latestOwner(site: StandinSite): StandinEntry | undefined {
        return site.entries
            .filter(({ core, peers }) => peers.node.isAlive && core.domain.tenure !== undefined)
            .sort((a, b) => b.core.domain.tenure!.fence - a.core.domain.tenure!.fence)[0];
    }

    function changeOwner(site: StandinSite, random: Random): void {
        const owner = latestOwner(site);
        if (owner === undefined) {
            return;
        }
        switch (random.int(3)) {
            case 0:
                site.kill(owner);
                restartLater(site, owner);
                return;
            case 1:
                void owner.core.leave();
                restartLater(site, owner);
                return;
            default:
                isolate(site, owner, 1000 + random.int(7000));
        }
    }

    function harmWorker(site: StandinSite, random: Random): void {
        const worker = random.pick(site.workers);
        switch (random.int(3)) {
            case 0:
                site.crash(worker, 1000 + random.int(9000));
                return;
            case 1:
                site.partition(worker);
                break;
            default:
                site.partitionExceptFrom(worker, latestOwner(site) ?? random.pick(site.entries));
        }
        site.timer.after(500 + random.int(9000), () => site.heal(worker));
    }

    async function runSeed(seed: number): Promise<void> {
        const random = Random.create(seed);
        const site = StandinSite.create({ seed, entries: 5, vmsPerPool: 6 });
        await site.start(lists);
        const spec = jobOf({ tasks: 3, isService: true, perWorker: 1 });
        expect(await submitUntilAccepted(site, "service", spec, 1000)).toBe(true);
        for (let round = 0; round < 14; round++) {
            if (random.chance(0.6)) {
                harmWorker(site, random);
            }
            changeOwner(site, random);
            await site.timer.advance(300 + random.int(random.chance(0.5) ? 1000 : 4000));
        }
        await site.timer.advance(10_000 + serviceRestartBoundMs);
        const running = site.workers.flatMap(worker => [...worker.running.keys()]);
        expect({ seed, running: running.sort(), violations: site.checker.violations }).toEqual({
            seed,
            running: ["service.0.0.0", "service.0.0.1", "service.0.0.2"],
            violations: [],
        });
    }

    // Seed 1000 ran a task twice when a third owner forgot the leases of the first.
    test.each([...Array.from({ length: 12 }, (_, i) => 1 + i), 1000])(
        "with seed %i run no task of a service twice and lose none",
        seed => runSeed(seed),
    );

    test.runIf(extraSeeds > 0)(
        "with additional seeds run no task of a service twice and lose none",
        async () => {
            const failures: string[] = [];
            for (let seed = firstSeed; seed < firstSeed + extraSeeds; seed++) {
                await runSeed(seed).catch((err: unknown) =>
                    void failures.push(`seed ${seed}: ${String(err)}`)
                );
            }
            expect(failures).toEqual([]);
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

    test.runIf(extraSeeds > 0)("with additional seeds violate no guarantee", async () => {
        const failures: string[] = [];
        for (let seed = firstSeed; seed < firstSeed + extraSeeds; seed++) {
            await runSeed(seed).catch((err: unknown) => void failures.push(String(err).split("\n")[0]!));
        }
        expect(failures).toEqual([]);
    });
});
