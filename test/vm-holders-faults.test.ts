/** Changes of the owner in series, while VMs are moved and serviced and their orders wait on links. */
import { describe, expect, test } from "vitest";
import { Random } from "../src/process/random.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

const extraSeeds = Number(process.env["CELERYWIND_FAULT_SEEDS"] ?? 0);
const firstSeed = Number(process.env["CELERYWIND_FAULT_FIRST"] ?? 1000);
const allVms = Array.from({ length: 18 }, (_, i) => `vm-${i}`);

function restartLater(site: StandinSite, { name }: StandinEntry, ms: number): void {
    site.timer.after(ms, () => {
        site.kill(site.entries.find(other => other.name === name)!);
        site.startEntry(name);
    });
}

/** Harms the owner for up to some seconds. */
function harmOwner(site: StandinSite, owner: StandinEntry, random: Random): void {
    const ms = 300 + random.int(4000);
    switch (random.int(6)) {
        case 0:
            site.kill(owner);
            restartLater(site, owner, 1 + random.int(1000));
            return;
        case 1:
            void owner.core.leave();
            restartLater(site, owner, 700 + random.int(1000));
            return;
        case 2:
            owner.timer.pause();
            site.timer.after(ms, () => owner.timer.resume());
            return;
        case 3:
            owner.storeFaults.isBusy = true;
            site.timer.after(ms, () => void (owner.storeFaults.isBusy = false));
            return;
        case 4:
            owner.storeFaults.latencyFactor = 1 + random.int(400);
            site.timer.after(ms, () => void (owner.storeFaults.latencyFactor = 1));
            return;
        default:
            site.rows.faults.lostAnswerShare = 0.4;
            site.rows.faults.delayedCommitShare = 0.2;
            site.timer.after(ms, () => {
                site.rows.faults.lostAnswerShare = 0;
                site.rows.faults.delayedCommitShare = 0;
            });
    }
}

async function violationsOf(seed: number): Promise<readonly string[]> {
    const random = Random.create(seed);
    const site = StandinSite.create({
        seed,
        managesVms: true,
        vmsPerPool: 6,
        spareVms: 6,
        pools: ["bench", "atelier"],
        entries: 4,
    });
    await site.start({ version: 1, queues: [{}, { name: "q2", pool: "atelier" }] });
    for (let round = 0; round < 12; round++) {
        const live = site.entries.filter(({ core, peers, timer }) =>
            peers.node.isAlive && !timer.isPaused && core.lists.directory !== undefined
        );
        live.forEach(entry => void (entry.vmFaults.orderDelayMs = random.chance(0.3) ? random.int(1600) : 0));
        if (live.length > 0) {
            void site.submit(random.pick(live), `j${round}`, jobOf({ tasks: 40 }), { workMs: 300 })
                .catch(() => undefined);
        }
        const vms = allVms.filter(() => random.chance(0.5));
        site.orderWave({ wave: round + 1, vms, durationMs: 4000, cap: 1 + random.int(8) });
        await site.timer.advance(random.int(600));
        const owner = site.owner();
        if (owner !== undefined && owner.peers.node.isAlive) {
            harmOwner(site, owner, random);
        }
        await site.timer.advance(200 + random.int(2500));
    }
    await site.timer.advance(5000);
    expect(site.vmHolders.orders.length).toBeGreaterThan(10);
    return site.checker.violations.filter(violation => violation.includes("received"));
}

describe("no VM is ordered by two processes within the lease time, whatever happens to the owner,", () => {
    test.each(Array.from({ length: 10 }, (_, i) => 1 + i))("with seed %i", async seed => {
        expect(await violationsOf(seed)).toEqual([]);
    });

    test.runIf(extraSeeds > 0)("with additional seeds", async () => {
        const failures: string[] = [];
        for (let seed = firstSeed; seed < firstSeed + extraSeeds; seed++) {
            const violations = await violationsOf(seed);
            failures.push(...violations.map(violation => `seed ${seed}: ${violation}`));
        }
        expect(failures).toEqual([]);
    }, 600_000);
});
