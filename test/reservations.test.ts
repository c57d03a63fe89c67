/** Reservations of workers for large jobs that find no room. */
import { describe, expect, test } from "vitest";
import { DurationEstimator } from "../src/pool/duration-estimator.js";
import { planFleet, type VmSnapshot } from "../src/pool/fleet-plan.js";
import { VmPhase } from "../src/pool/ports.js";
import { Reservations } from "../src/pool/scheduling/reservations.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";
import { mixOf } from "./contention-mix.js";
import {
    replay,
    type ReplayJob,
    type ReplayOptions,
    type ReplayOwner,
    serviceOf,
} from "./contention-replay.js";

const sizeOf = (job: ReplayJob): number => job.steps * job.tasks * job.cpu * job.runMs;

/** Service of a queue's jobs, and of its largest tenth and the fifth below it relative to that; the mean of three seeds. */
async function serviceBySize(workers: number, reservations: boolean) {
    const sums = { quick: [0, 0, 0], wide: [0, 0, 0] };
    const seeds = [1, 2, 3];
    for (const seed of seeds) {
        const results = await replay({
            jobs: mixOf({
                seed,
                accounts: 20,
                quickPerS: 13,
                widePerS: 2.6,
                endMs: 20_000,
                isEitherWideOrLarge: true,
            }),
            workers,
            reservations,
            longTaskChance: 0,
            endMs: 26_000,
        });
        for (const queue of ["quick", "wide"] as const) {
            const ofQueue = results.filter(({ job }) => job.queue === queue)
                .toSorted((a, b) => sizeOf(b.job) - sizeOf(a.job));
            const tenth = ofQueue.length / 10;
            const all = serviceOf(ofQueue);
            const parts = [
                all,
                serviceOf(ofQueue.slice(0, tenth)) / all,
                serviceOf(ofQueue.slice(tenth, 3 * tenth)) / all,
            ];
            parts.forEach((part, at) => sums[queue][at]! += part / seeds.length);
        }
    }
    return sums;
}

describe("in a pool that is short of capacity", () => {
    test.each([32, 27, 23])(
        "the largest tenth of each queue and the fifth below it are served 0.8 times as often as the queue (%i workers)",
        async workers => {
            const { quick, wide } = await serviceBySize(workers, true);
            expect(Math.min(...quick.slice(1))).toBeGreaterThan(0.8);
            expect(Math.min(...wide.slice(1))).toBeGreaterThan(0.8);
        },
        60_000,
    );

    test("they are served less often without reservations", async () => {
        const { wide } = await serviceBySize(23, false);
        expect(wide[1]).toBeLessThan(0.8);
        expect(wide[2]).toBeLessThan(0.8);
    }, 60_000);
});

describe("a reservation", () => {
    const job = (id: string, at: number, shape: Partial<ReplayJob>): ReplayJob => ({
        id,
        account: "a",
        queue: "quick",
        at,
        steps: 1,
        tasks: 1,
        cpu: 16_000,
        memory: 100,
        runMs: 1000,
        isFlood: false,
        ...shape,
    });
    /** Small tasks that occupy two workers all the time, and a task that needs a whole one. */
    const jobs = [
        ...Array.from({ length: 300 }, (_, i) => job(`s${i}`, i * 20, {})),
        job("large", 1500, { cpu: 64_000, queue: "wide", runMs: 2000 }),
        ...Array.from({ length: 12 }, (_, i) => job(`w${i}`, i * 20, { queue: "wide", tasks: 1 })),
    ];
    const queueSettings = { reservations: true, workers: 2, jobs, longTaskChance: 0, endMs: 9000 };

    async function largeTook(options: Partial<ReplayOptions>): Promise<number> {
        const results = await replay({ ...queueSettings, ...options });
        return results.find(({ job: { id } }) => id === "large")!.tookMs ?? Infinity;
    }

    test("lets a task that needs a whole worker start once the runs there have ended, or little later", async () => {
        expect(await largeTook({})).toBeLessThan(1000 + 2000 + 0.1 * 2000 + 100);
        expect(await largeTook({ reservations: false })).toBeGreaterThan(4000);
    });

    test("is held by one job on at most three tenths of a pool's workers", async () => {
        let most = 0;
        const holdersOf = ({ jobs: { activeEntries }, reservations }: ReplayOwner) =>
            [...activeEntries].filter(entry => reservations!.of(entry).length > 0);
        await replay({
            jobs: mixOf({ seed: 1, accounts: 20, quickPerS: 13, widePerS: 2.6, endMs: 8000 }),
            workers: 20,
            reservations: true,
            endMs: 8000,
            onPlan: owner => {
                const holders = holdersOf(owner);
                expect(holders.length).toBeLessThanOrEqual(1);
                most = Math.max(most, ...holders.map(entry => owner.reservations!.of(entry).length));
            },
        });
        expect(most).toBeGreaterThan(0);
        expect(most).toBeLessThanOrEqual(6);
    });

    test("ends with its worker and its job, and is planned anew", async () => {
        const reserved: string[] = [];
        let lost = "";
        let isCancelled = false;
        await replay({
            ...queueSettings,
            endMs: 3000,
            onPlan: ({ jobs: registry, workers, reservations }, ms) => {
                const entry = registry.entries.get("large");
                const held = entry === undefined ? [] : reservations!.of(entry);
                if (isCancelled) {
                    expect([...workers.byId.keys()].filter(id => reservations!.isReserved(id))).toEqual([]);
                }
                if (held.length > 0 && lost === "") {
                    lost = held[0]!.worker;
                    workers.byId.get(lost)!.isCordoned = true;
                }
                else if (held.length > 0) {
                    reserved.push(held[0]!.worker);
                }
                if (ms === 2400 && entry !== undefined && reserved.length > 0) {
                    registry.cancel(entry, ms);
                    isCancelled = true;
                }
            },
        });
        expect(lost).not.toBe("");
        expect(new Set(reserved).size).toBe(1);
        expect(reserved).not.toContain(lost);
    });

    test("does not exist without unplaced jobs, and keeps no worker from any task", () => {
        const reservations = Reservations.create();
        const durations = DurationEstimator.create();
        reservations.renew({
            considered: [],
            unplaced: [],
            workersOf: () => [],
            durations,
            now: 0,
            wallMs: 0,
        });
        expect(reservations.isReserved("w0")).toBe(false);
    });

    test("keeps its VM from being drained as surplus", () => {
        const capacity = { cpu: 8000, memory: 16_000, accelerators: 0 };
        const vmOf = (vm: string, isReserved: boolean): VmSnapshot => ({
            vm,
            pool: "bench",
            phase: VmPhase.Up,
            rack: "r",
            capacity,
            labels: [],
            runs: isReserved ? 0 : 2,
            serviceRuns: 0,
            isCordoned: false,
            isOrderable: true,
            isWorkerReady: true,
            dueWave: undefined,
            isReserved,
        });
        const demandOf = (pool: string, cpu: number, isSpare: boolean) => ({
            pool,
            isSpare,
            resources: { cpu, memory: 0, accelerators: 0 },
            unplaceableSteps: [],
            minVms: 0,
        });
        const plan = (isReserved: boolean) =>
            planFleet({
                vms: [vmOf("kept", isReserved), vmOf("other", false), vmOf("third", false)],
                demands: [demandOf("bench", 7000, false), demandOf("spare", 0, true)],
                waves: [],
                reserveVms: 0,
                minVms: 1,
            });
        expect(plan(false)).toContainEqual({ kind: "cordon", vm: "kept", why: "surplus" });
        expect(plan(true)).not.toContainEqual({ kind: "cordon", vm: "kept", why: "surplus" });
    });
});

describe("a site with reservations", () => {
    const needs = { cpu: 8000, memory: 100, accelerators: 0 };
    const lists = { version: 1, queues: [{ objectiveMs: 6000 }], keys: { key: "holder" }, teams: ["others"] };
    const ownerOf = (site: StandinSite): StandinEntry =>
        site.entries.find(({ core, peers }) => peers.node.isAlive && core.domain.tenure !== undefined)!;

    /** A site whose two workers are kept busy by small jobs, in which a job waits that needs a whole worker. */
    async function startContended(reservations: boolean) {
        const site = StandinSite.create({ entries: 4, vmsPerPool: 2, scheduling: { reservations } });
        await site.start(lists);
        const ids: string[] = [];
        const submitFor = async (ms: number, prefix: string): Promise<void> => {
            for (let at = 0; at < ms; at += 25) {
                const entry = site.entries.find(({ peers, core }) =>
                    peers.node.isAlive && core.lists.directory !== undefined
                )!;
                const isLarge = prefix === "a" && at === 1500;
                const id = isLarge ? "large" : `${prefix}${at}`;
                const cpu = isLarge ? 32_000 : 8000;
                void site.submit(entry, id, jobOf({ needs: { ...needs, cpu }, estimateMs: 500 }), {
                    team: isLarge ? "holder" : "others",
                }).then(({ kind }) => kind === "accepted" && ids.push(id)).catch(() => undefined);
                await site.timer.advance(25);
            }
        };
        await submitFor(1550, "a");
        return { site, ids, submitFor };
    }

    test("explains a job's reservation, and starts it although its owner is killed and its key withdrawn", async () => {
        const { site, ids, submitFor } = await startContended(true);
        const owner = ownerOf(site);
        let explained: readonly string[] = [];
        for (let ms = 0; ms < 1000 && explained.length === 0; ms += 20) {
            await site.timer.advance(20);
            const job = await site.runUntilSettled(owner.core.domain.ownerClient.explain("large"));
            explained = job?.reservations ?? [];
        }
        expect(explained).toHaveLength(1);
        site.setLists({ ...lists, version: 2, keys: {} });
        site.kill(owner);
        await submitFor(6000, "b");
        expect(await site.runUntilSettled(site.phaseOf(ownerOf(site), "large"))).toBe("succeeded");
        await site.timer.advance(20_000);
        for (const id of ids) {
            expect(`${id} ${await site.runUntilSettled(site.phaseOf(ownerOf(site), id))}`).toBe(
                `${id} succeeded`,
            );
        }
        expect(site.checker.violations).toEqual([]);
    });

    test("has none with the flag off", async () => {
        const { site } = await startContended(false);
        const owner = ownerOf(site);
        expect(owner.core.domain.tenure!.reservations).toBeUndefined();
        const explained = await site.runUntilSettled(owner.core.domain.ownerClient.explain("large"));
        expect(explained!.reservations).toEqual([]);
    });
});
