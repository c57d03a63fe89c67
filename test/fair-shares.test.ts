/** Weighted fair sharing: floods by some accounts, equal load, and changes of owner. */
import { describe, expect, test } from "vitest";
import { openSteps } from "../src/pool/open-steps.js";
import { maxPartBytes } from "../src/pool/owner-state.js";
import { planStarts, rankJobs, type StartPlanInput } from "../src/pool/plan-starts.js";
import type { JobEntry } from "../src/pool/records.js";
import { type OrderedJob, orderFairly, shortPools } from "../src/pool/scheduling/fair-order.js";
import { FairShares } from "../src/pool/scheduling/fair-shares.js";
import { TeamShareLimiter } from "../src/pool/team-share-limiter.js";
import { Urgency } from "../src/pool/urgency.js";
import { EventId } from "../src/process/events.js";
import { silentLog } from "../src/process/log.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import type { Directory, Queue } from "../src/version/directory.js";
import { jobOf, type StandinEntry, StandinSite } from "../standin/site/site.js";
import { accountsOf, mixOf, type MixOptions } from "./contention-mix.js";
import {
    replay,
    type ReplayJob,
    type ReplayOptions,
    type ReplayResult,
    serviceOf,
} from "./contention-replay.js";

const accounts = 20;
const seeds = [1, 2, 3, 4];
/** Arrivals that need about 1.1 and 1.3 times the capacity of these numbers of workers. */
const load = { accounts, quickPerS: 13, widePerS: 2.6, endMs: 20_000 };
const workerCounts = [38, 32];
const weight = 1.3 * (load.quickPerS + load.widePerS) / accounts;
const weights = Object.fromEntries(accountsOf(accounts).map(account => [account, weight]));
const isOther = ({ account }: ReplayJob): boolean => account !== "a0" && account !== "a1";

function run(
    mix: Partial<MixOptions> & Pick<MixOptions, "seed">,
    options: Partial<ReplayOptions> = {},
): Promise<readonly ReplayResult[]> {
    return replay({
        jobs: mixOf({ ...load, ...mix }),
        workers: 32,
        weights,
        fairShares: true,
        endMs: 26_000,
        ...options,
    });
}

const replays = new Map<string, Promise<readonly ReplayResult[]>>();

/** Mean over the seeds of the service of the jobs that fulfil a condition; equal replays are run once. */
async function meanService(
    mix: Partial<MixOptions>,
    options: Partial<ReplayOptions>,
    includes?: (job: ReplayJob) => boolean,
): Promise<number> {
    let sum = 0;
    for (const seed of seeds) {
        const key = JSON.stringify([seed, mix, options]);
        const results = replays.get(key) ?? run({ ...mix, seed }, options);
        replays.set(key, results);
        sum += serviceOf(await results, includes);
    }
    return sum / seeds.length;
}

describe("a flood by accounts that send six times their usual rate", () => {
    test.each([[38, 1], [38, 2], [32, 1], [32, 2]])(
        "on %i workers by %i of 20 accounts takes less than 2 % of the others' service",
        async (workers, floods) => {
            const calm = await meanService({}, { workers }, isOther);
            const flooded = await meanService({ floods }, { workers }, isOther);
            expect(flooded / calm).toBeGreaterThan(0.98);
        },
        60_000,
    );

    test("of large jobs within the guaranteed rate takes less than 2 % of the others' service", async () => {
        const enlarge = (jobs: readonly ReplayJob[], factor: number): readonly ReplayJob[] =>
            jobs.map(job => isOther(job) ? job : { ...job, tasks: job.tasks * factor });
        const service = async (factor: number, fairShares: boolean): Promise<number> => {
            let sum = 0;
            for (const seed of seeds) {
                const jobs = enlarge(mixOf({ ...load, seed }), factor);
                sum += serviceOf(await run({ seed }, { jobs, fairShares, workers: 38 }), isOther);
            }
            return sum / seeds.length;
        };
        expect(await service(4, true) / await service(1, true)).toBeGreaterThan(0.98);
    }, 60_000);
});

describe("accounts that send at their usual rates", () => {
    test.each(workerCounts)(
        "on %i workers earn at most 1 %% less than in the order without shares",
        async workers => {
            const present = await meanService({}, { workers, fairShares: false });
            expect(await meanService({}, { workers }) / present).toBeGreaterThan(0.99);
        },
        60_000,
    );

    test("without weights are served exactly as without shares", async () => {
        const options = { weights: {}, workers: 32 };
        expect(await run({ seed: 1 }, options)).toEqual(
            await run({ seed: 1 }, { ...options, fairShares: false }),
        );
    });
});

describe("an account", () => {
    const jobsOf = (account: string, count: number, from: number, everyMs: number): readonly ReplayJob[] =>
        Array.from({ length: count }, (_, i) => ({
            id: `${account}-${i}`,
            account,
            queue: "quick",
            at: from + i * everyMs,
            steps: 1,
            tasks: 8,
            cpu: 8000,
            memory: 1000,
            runMs: 1000,
            isFlood: false,
        }));

    test("that is alone uses all capacity", async () => {
        const jobs = jobsOf("a0", 200, 0, 10);
        const busiest: number[] = [];
        await run({ seed: 1 }, {
            jobs,
            workers: 8,
            endMs: 3000,
            onPlan: ({ jobs: { runs } }) => void busiest.push(runs.size),
        });
        expect(Math.max(...busiest)).toBe(64);
    });

    test("that returns has its share back within the duration of one task", async () => {
        const jobs = [...jobsOf("a0", 400, 0, 20), ...jobsOf("a1", 100, 5000, 20)];
        let atWork = 0;
        await run({ seed: 1 }, {
            jobs,
            workers: 8,
            endMs: 6200,
            weights: { a0: 1, a1: 1 },
            onPlan: ({ jobs: { runs } }, ms) => {
                atWork = ms < 6150
                    ? atWork
                    : [...runs.values()].filter(({ entry }) => entry.job.team === "a1").length;
            },
        });
        expect(atWork).toBeGreaterThanOrEqual(32);
    });

    test("whose weight is raised in the middle of a flood gets more, and the others keep their order", async () => {
        const jobs = [...jobsOf("a0", 400, 0, 20), ...jobsOf("a1", 400, 0, 20)];
        const served = async (raised: number): Promise<number> => {
            const results = await run({ seed: 1 }, {
                jobs,
                workers: 8,
                endMs: 9000,
                weightsAt: ms => ({ a0: ms < 4000 ? 1 : raised, a1: 1 }),
            });
            return results.filter(({ job, tookMs }) => job.account === "a0" && tookMs !== undefined).length;
        };
        expect(await served(4)).toBeGreaterThan(1.2 * await served(1));
    });
});

describe("five changes of owner in 20 s during a flood by two accounts", () => {
    const kills = [5000, 9000, 12_000, 15_000, 19_000];

    /** Fraction of the capacity used since the first kill that the flooding accounts used. */
    async function floodersPart(inherits: "nothing" | "state" | "everything"): Promise<number> {
        let flooders = 0;
        let all = 0;
        for (const seed of seeds) {
            await run({ seed, floods: 2, floodToMs: load.endMs }, {
                kills,
                inherits,
                endMs: 24_000,
                onPlan: ({ jobs: { runs } }, ms) => {
                    for (const { entry, step } of ms < kills[0]! ? [] : runs.values()) {
                        all += step.needs.cpu;
                        flooders += ["a0", "a1"].includes(entry.job.team) ? step.needs.cpu : 0;
                    }
                },
            });
        }
        return flooders / all;
    }

    test(
        "give these accounts less than 5 % more capacity, of which they get more if nothing is inherited",
        async () => {
            const uninterrupted = await floodersPart("everything");
            expect(await floodersPart("state") / uninterrupted).toBeLessThan(1.05);
            expect(await floodersPart("nothing") / uninterrupted).toBeGreaterThan(1.05);
        },
        120_000,
    );

    test("take less than 2 % of the others' service beyond the time without an owner", async () => {
        const service = (inherits: ReplayOptions["inherits"]) =>
            meanService({ floods: 2 }, { kills, inherits: inherits! }, isOther);
        expect(await service("state") / await service("everything")).toBeGreaterThan(0.98);
    }, 60_000);
});

describe("the stored state", () => {
    const directory: Directory = {
        version: 1,
        queues: [],
        pools: new Map(),
        teams: new Map([["a", { name: "a", weight: 2, cap: { cpu: 0, memory: 0, accelerators: 0 } }]]),
        keys: new Map(),
    };
    const create = (timer: VirtualTimer) => {
        const limiter = TeamShareLimiter.create(timer, () => directory);
        const fairShares = FairShares.create({ timer, log: silentLog, directory: () => directory, limiter });
        return { limiter, fairShares };
    };

    test("leaves an emptied bucket empty for the next owner, but for what time refills", async () => {
        const timer = VirtualTimer.create();
        const { limiter, fairShares } = create(timer);
        expect([1, 2, 3, 4, 5].map(() => limiter.chargeJob("a"))).toEqual([false, false, false, false, true]);
        const next = create(timer);
        const text = fairShares.encode()!;
        expect(fairShares.encode()).toBeUndefined();
        await timer.advance(500);
        expect(next.fairShares.restore(text, 500)).toBe(true);
        next.fairShares.chargeInherited([], timer.wall());
        expect([1, 2].map(() => next.limiter.chargeJob("a"))).toEqual([false, true]);
    });

    test.each(["", "[]", "[[],[],[[1,2]]]", '[[["a",null]],[],[]]', "[[],[]]", "{}"])(
        "%s is refused as malformed",
        text => {
            expect(create(VirtualTimer.create()).fairShares.restore(text, 0)).toBe(false);
        },
    );

    test("of thousands of accounts fits into a row", () => {
        const { limiter, fairShares } = create(VirtualTimer.create());
        limiter.restore(Array.from({ length: 5000 }, (_, i) => [`account-${i}`, i]), 0);
        const text = fairShares.encode()!;
        expect(Buffer.byteLength(text)).toBeLessThanOrEqual(maxPartBytes);
        expect(text).toContain("account-0");
    });
});

describe("a site", () => {
    const lists = { version: 1, queues: [{}], weights: { flooder: 2, other: 2 } };
    const needs = { cpu: 8000, memory: 100, accelerators: 0 };

    function ownerOf(site: StandinSite): StandinEntry {
        return site.entries.find(({ core, peers }) =>
            peers.node.isAlive && core.domain.tenure !== undefined
        )!;
    }

    async function startSite(fairShares: boolean): Promise<StandinSite> {
        const site = StandinSite.create({ entries: 8, vmsPerPool: 2, scheduling: { fairShares } });
        await site.start(lists);
        return site;
    }

    /** Submits jobs for `ms` milliseconds, four of five by the flooder; returns those that were accepted. */
    async function flood(site: StandinSite, ms: number, prefix: string): Promise<readonly string[]> {
        const ids: string[] = [];
        for (let at = 0; at < ms; at += 100) {
            const team = at % 500 === 0 ? "other" : "flooder";
            const id = `${prefix}-${team}-${at}`;
            const entries = site.entries.filter(({ core, peers }) =>
                peers.node.isAlive && core.lists.directory !== undefined
            );
            void site.submit(entries[ids.length % entries.length]!, id, jobOf({ tasks: 2, needs }), { team })
                .then(({ kind }) => kind === "accepted" && ids.push(id))
                .catch(() => undefined);
            await site.timer.advance(100);
        }
        return ids;
    }

    test("with the flag off stores no state of shares and inherits no mark", async () => {
        const site = await startSite(false);
        await flood(site, 3000, "x");
        expect(ownerOf(site).core.domain.tenure!.fairShares).toBeUndefined();
        expect(site.rows.find({ table: "owner-state", part: "main", key: "fair-shares" })).toBeUndefined();
        site.kill(ownerOf(site));
        await site.timer.advance(3000);
        const { jobs } = ownerOf(site).core.domain.tenure!;
        expect([...jobs.entries.values()].filter(({ exceedsTeamShare }) => exceedsTeamShare)).toEqual([]);
        expect(site.entries.flatMap(({ log }) => log).some(({ event }) => event === EventId.SharesInherited))
            .toBe(false);
    });

    test("whose owner is killed five times in 20 s keeps the flooder's jobs beyond its share", async () => {
        const site = await startSite(true);
        const ids = [...await flood(site, 4000, "x")];
        const beyondShare = (): ReadonlySet<string> =>
            new Set(
                [...ownerOf(site).core.domain.tenure!.jobs.activeEntries]
                    .filter(({ exceedsTeamShare }) => exceedsTeamShare).map(({ job }) => job.id),
            );
        for (const round of [1, 2, 3, 4, 5]) {
            const before = beyondShare();
            expect(before.size).toBeGreaterThan(3);
            site.kill(ownerOf(site));
            ids.push(...await flood(site, 4000, `r${round}`));
            const after = beyondShare();
            const active = new Set(
                [...ownerOf(site).core.domain.tenure!.jobs.activeEntries].map(({ job }) => job.id),
            );
            const kept = [...before].filter(id => active.has(id));
            // The owner charges jobs as it learns of them, and the next one as they were accepted, which may swap two of them.
            expect(kept.filter(id => !after.has(id)).length).toBeLessThanOrEqual(2);
            expect(kept.length).toBeGreaterThan(3);
        }
        const inherited = site.entries.flatMap(({ log }) => log)
            .filter(({ event, fields }) =>
                event === EventId.SharesInherited && fields["isRestored"] === true
            );
        expect(inherited.length).toBeGreaterThanOrEqual(5);
        await site.timer.advance(60_000);
        for (const id of ids) {
            const entry = ownerOf(site);
            expect(`${id} ${await site.runUntilSettled(site.phaseOf(entry, id))}`).toBe(`${id} succeeded`);
        }
        expect(site.checker.violations).toEqual([]);
    }, 60_000);

    test("whose store does not answer while shares are due starts nothing, and goes on with them afterwards", async () => {
        const site = await startSite(true);
        const before = await flood(site, 2000, "x");
        site.rows.faults.isUnresponsive = true;
        const runs = (): readonly string[] => site.workers.flatMap(({ running }) => [...running.keys()]);
        const atWork = new Set(runs());
        await site.timer.advance(3000);
        expect(runs().filter(name => !atWork.has(name))).toEqual([]);
        site.rows.faults.isUnresponsive = false;
        await site.timer.advance(20_000);
        const entry = ownerOf(site);
        for (const id of before) {
            expect(`${id} ${await site.runUntilSettled(site.phaseOf(entry, id))}`).toBe(`${id} succeeded`);
        }
        expect(site.checker.violations).toEqual([]);
    });

    test("explains behind which accounts a job of the flooder waits", async () => {
        const site = await startSite(true);
        await flood(site, 4000, "x");
        const owner = ownerOf(site);
        const { jobs } = owner.core.domain.tenure!;
        const waiting = [...jobs.activeEntries].findLast(entry =>
            entry.job.team === "flooder" && openSteps(entry).length > 0
        )!;
        const other = site.submit(owner, "late-other", jobOf({ tasks: 8, needs }), { team: "other" });
        await site.timer.advance(100);
        await other;
        const explained = await site.runUntilSettled(owner.core.domain.ownerClient.explain(waiting.job.id));
        expect(explained?.accountsAhead).toEqual(["other"]);
    });
});

describe("a plan of starts without shares", () => {
    test("takes the jobs in the order of urgency and least work, whatever their accounts have used", async () => {
        let compared = 0;
        await run({ seed: 3, floods: 2 }, {
            fairShares: false,
            endMs: 8000,
            planInput: ({ jobs, workers, directory, durations }) => {
                const view: StartPlanInput = {
                    jobs,
                    workers: workers.byId.values(),
                    directory,
                    durations,
                    ticketsFor: () => undefined,
                    now: 0,
                    wallMs: 6000,
                    limit: 1000,
                };
                const positions = new Map(rankJobs(view).map(({ entry }, at) => [entry, at]));
                const order = planStarts(view).map(({ entry }) => positions.get(entry)!);
                expect(order).toEqual(order.toSorted((a, b) => a - b));
                compared += order.length;
                return {};
            },
        });
        expect(compared).toBeGreaterThan(1000);
    });
});

describe("the order by shares", () => {
    /** Reads of sort keys for each job that is ordered, with jobs of all accounts waiting in four pools. */
    function keyReadsPerJob(jobCount: number, accountCount: number): number {
        let reads = 0;
        const jobs = Array.from({ length: jobCount }, (_, i): OrderedJob => {
            const round = Math.floor(i / accountCount);
            const urgencyByTime = 1 + i % 3;
            const estimate = {
                urgency: round % 8 < 4 ? Urgency.BeyondShare : urgencyByTime,
                urgencyByTime,
                objectiveAtMs: 0,
                remainingMs: 0,
                remainingWork: i * 31 % 97,
            };
            return {
                entry: { job: { team: `account-${i % accountCount}`, acceptedAtMs: i } } as JobEntry,
                queue: { pool: `pool-${round % 4}` } as Queue,
                priority: 0,
                get estimate() {
                    reads++;
                    return estimate;
                },
            };
        });
        const ordered = [
            ...orderFairly({ ranked: jobs, isShort: () => true, excessOf: account => account.length % 3 }),
        ];
        expect(new Set(ordered).size).toBe(jobCount);
        return reads / jobCount;
    }

    test("does not occupy an owner the longer for each job, the more jobs and accounts wait", () => {
        expect(keyReadsPerJob(4000, 31) / keyReadsPerJob(1000, 31)).toBeLessThan(1.3);
        expect(keyReadsPerJob(4000, 248) / keyReadsPerJob(4000, 31)).toBeLessThan(2);
    });

    test("looks no further into a pool's backlog once the pool is known to be short", () => {
        let reads = 0;
        const entry = {
            get openSteps() {
                reads++;
                return [{ needs: { cpu: 1000, memory: 0, accelerators: 0 }, count: 1 }];
            },
        } as unknown as JobEntry;
        const jobs = Array.from({ length: 1000 }, (_, i) => ({
            entry,
            queue: { pool: i % 2 === 0 ? "full" : "roomy" } as Queue,
        })) as unknown as OrderedJob[];
        const freeOf = (pool: string) => ({ cpu: pool === "full" ? 5500 : 1e9, memory: 1, accelerators: 0 });
        expect([...shortPools(jobs, freeOf)]).toEqual(["full"]);
        expect(reads).toBe(500 + 6);
    });
});
