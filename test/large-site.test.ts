/** Sites of dozens to hundreds of entries in virtual time: what an entry does at rest, and what holds under faults. */
import { describe, expect, test } from "vitest";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";

const zones = ["z0", "z1", "z2", "z3", "z4", "z5"];
const lists = { version: 1, queues: [{}], keys: { key: "team" } };

async function createLargeSite(entries: number, seed = 1): Promise<StandinSite> {
    const strongCount = Math.ceil(entries / 5);
    const names = Array.from({ length: entries }, (_, i) => `entry-${i}`);
    const site = StandinSite.create({
        entries,
        seed,
        vmsPerPool: 8,
        strengths: Object.fromEntries(names.map((name, i) => [name, i < strongCount ? 9 : 4])),
        zones: Object.fromEntries(names.map((name, i) => [name, zones[i % zones.length]!])),
    });
    await site.start(lists);
    await site.timer.advance(6000);
    return site;
}

function aliveEntries(site: StandinSite): readonly StandinEntry[] {
    return site.entries.filter(({ peers }) => peers.node.isAlive);
}

function median(values: readonly number[]): number {
    return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)]!;
}

/** Messages and pings that the middle entry sends a second at rest. */
async function backgroundOf(entries: number): Promise<number> {
    const site = await createLargeSite(entries);
    const sentBefore = site.entries.map(({ peers: { sent } }) => sent.messages + sent.pings);
    const seconds = 5;
    await site.timer.advance(seconds * 1000);
    return median(
        site.entries.map(({ peers: { sent } }, i) => (sent.messages + sent.pings - sentBefore[i]!) / seconds),
    );
}

describe("an entry at rest", () => {
    test("sends as much at 97 entries as at 9, within a factor of 1.3", async () => {
        const small = await backgroundOf(9);
        expect(await backgroundOf(44)).toBeLessThanOrEqual(1.3 * small);
        expect(await backgroundOf(97)).toBeLessThanOrEqual(1.3 * small);
    }, 60_000);
});

describe("a site of 97 entries", () => {
    test("has an owner that places work within 3 s of a kill, and every entry knows it", async () => {
        const site = await createLargeSite(97);
        const owner = site.owner()!;
        site.kill(owner);
        await site.timer.advance(1500);
        const next = aliveEntries(site).find(({ core }) => core.domain.tenure !== undefined)!;
        expect(next.core.domain.tenure?.isReady).toBe(true);
        const entry = aliveEntries(site).at(-1)!;
        const startsBefore = site.checker.startCount;
        await site.runUntilSettled(site.submit(entry, "j1", jobOf({})));
        await site.timer.advance(500);
        expect(site.checker.startCount).toBe(startsBefore + 1);
        await site.timer.advance(1000);
        const known = aliveEntries(site).map(({ core }) => core.domain.ownerEntry);
        expect(new Set(known)).toEqual(new Set([next.name]));
        expect(await site.runUntilSettled(site.phaseOf(entry, "j1"))).toBe("succeeded");
    }, 60_000);

    test("has an owner within 3 s of the loss of the owner and all strong entries", async () => {
        const site = await createLargeSite(97);
        site.entries.slice(0, 20).forEach(entry => site.kill(entry));
        await site.timer.advance(3000);
        const owners = aliveEntries(site).filter(({ core }) => core.domain.tenure !== undefined);
        expect(owners).toHaveLength(1);
        expect(owners[0]!.core.domain.tenure?.isReady).toBe(true);
    }, 60_000);

    test(
        "tells entries that the store refuses of new lists, and of a change of owner, within 4 s",
        async () => {
            const site = await createLargeSite(97);
            const refused = site.entries.filter((entry, i) => i % 3 === 0 && entry !== site.owner());
            refused.forEach(({ storeFaults }) => {
                storeFaults.isBusy = true;
            });
            await site.timer.advance(3000);
            site.setLists({ ...lists, version: 2, keys: { other: "team" } });
            site.kill(site.owner()!);
            await site.timer.advance(4000);
            const next = aliveEntries(site).find(({ core }) => core.domain.tenure !== undefined)!;
            for (const { core } of aliveEntries(site)) {
                expect(core.lists.directory?.keys.has("key")).toBe(false);
                expect(core.domain.ownerEntry).toBe(next.name);
            }
        },
        60_000,
    );

    test(
        "never uses a withdrawn key again at an entry that restarts while the store refuses it",
        async () => {
            const site = await createLargeSite(44);
            const refused = site.entries.filter((entry, i) => i % 3 === 0 && entry !== site.owner());
            refused.forEach(({ storeFaults }) => {
                storeFaults.isBusy = true;
            });
            site.setLists({ ...lists, version: 2, keys: { other: "team" } });
            await site.timer.advance(4000);
            for (const { name } of refused.slice(0, 5)) {
                site.kill(site.entries.find(entry => entry.name === name)!);
                const restarted = site.startEntry(name);
                restarted.storeFaults.isBusy = true;
                for (let ms = 0; ms < 3000; ms += 100) {
                    await site.timer.advance(100);
                    expect(restarted.core.lists.directory?.version ?? 2).toBe(2);
                }
                expect(restarted.core.lists.directory?.version).toBe(2);
            }
        },
        60_000,
    );

    test(
        "is served again within 3 s of the restart of all processes, which left and joined at once",
        async () => {
            const site = await createLargeSite(97);
            const names = site.entries.map(({ name }) => name);
            await site.runUntilSettled(site.submit(site.entries[5]!, "j1", jobOf({}), { workMs: 9000 }));
            [...site.entries].forEach(entry => site.kill(entry));
            await site.timer.advance(500);
            names.forEach(name => site.startEntry(name));
            await site.timer.advance(3000);
            expect(aliveEntries(site).filter(({ core }) => core.domain.tenure?.isReady === true))
                .toHaveLength(1);
            expect(aliveEntries(site).filter(({ core }) => core.domain.ownerEntry === "")).toEqual([]);
        },
        60_000,
    );
});
