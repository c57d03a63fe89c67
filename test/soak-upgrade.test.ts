import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterAll, describe, expect, test } from "vitest";
import { DoneWatch } from "../soak/done-watch.js";
import { OwnerWatch, type WatchedCall } from "../soak/owner-watch.js";
import { FaultKind, FaultTarget } from "../soak/plan.js";
import { playRound, roundFolder } from "../soak/round.js";
import { Build, misunderstandingsIn, planUpgrade } from "../soak/upgrade.js";
import { RunEnd } from "../src/job/index.js";
import { tables } from "../src/pool/ownership.js";
import { InvariantChecker } from "../standin/site/checker.js";
import { WirePlatform } from "../standin/wire/platform.js";

const folder = mkdtempSync(join(tmpdir(), "celerywind-soak-upgrade-"));

afterAll(() => rmSync(folder, { recursive: true, force: true }));

describe("the plan of an upgrade", () => {
    const lengthMs = 40_000;

    test("is the same for the same seed, and hands the ownership over often and in each way", () => {
        const plans = [1, 2, 3, 4, 5, 6].map(seed => planUpgrade({ seed, lengthMs, isPlannedOnly: false }));
        expect(planUpgrade({ seed: 1, lengthMs, isPlannedOnly: false })).toEqual(plans[0]);
        for (const plan of plans) {
            expect(plan.filter(({ target }) => target === FaultTarget.OwnerBuild).length).toBeGreaterThan(5);
        }
        const kinds = new Set(
            plans.flat().filter(({ target }) => target === FaultTarget.OwnerBuild).map(({ kind }) => kind),
        );
        expect(kinds).toEqual(new Set([FaultKind.Kill, FaultKind.Term, FaultKind.Pause]));
        expect(plans.flat().some(({ kind }) => kind === FaultKind.WorkerCrash)).toBe(true);
        expect(plans.flat().some(({ target }) => target === FaultTarget.Switched)).toBe(true);
        expect(plans.flat().some(({ kind }) => kind === FaultKind.StoreLost)).toBe(true);
    });

    test("only stops entries in planned rounds, whose calls have no excuse", () => {
        const plan = planUpgrade({ seed: 4, lengthMs, isPlannedOnly: true });
        expect(new Set(plan.map(({ kind }) => kind))).toEqual(new Set([FaultKind.Term]));
    });
});

describe("the watch of owners", () => {
    /** A site of an old and a new entry whose owner row and lease bounds are set by hand, seen every 20 ms. */
    function createWatch() {
        const rows = new Map<string, string>();
        const running = { lifetime: 1 as number | undefined, isPaused: false, isStopping: false };
        const entries = [
            { ...running, name: "e0", build: "old" },
            { ...running, name: "e1", build: "new" },
        ];
        const store = { isHarmed: false };
        const watch = OwnerWatch.create({
            find: ({ table, key }) => rows.get(`${table}/${key}`),
            entries,
            isStoreHarmed: () => store.isHarmed,
        });
        const calls: WatchedCall[] = [];
        let now = 0;
        const pass = (ms = 20): void => {
            for (const end = now + ms; now < end;) {
                watch.observe(now += 20, calls);
            }
        };
        return {
            old: entries[0]!,
            store,
            pass,
            own: (entry: string, fence: number, bounds = { fence } as Record<string, unknown>): void => {
                rows.set(`${tables.cluster}/owner`, JSON.stringify({ entry, incarnation: "i", fence }));
                rows.set(
                    `${tables.leases}/bounds`,
                    JSON.stringify({ owners: [], workers: [], ...bounds }),
                );
                pass();
            },
            order: (fence: number | undefined): void => {
                calls.push({ path: "/v1/hold", body: { fence } });
                pass();
            },
            breaches: () => watch.breaches(0).filter(text => !text.includes("never passed")),
            allBreaches: () => watch.breaches(0),
            summary: () => watch.summary(0),
        };
    }

    test("allows fencing tokens of one, of a range, released rows and further fields of the lease bounds", () => {
        const site = createWatch();
        site.own("e0", 1);
        site.order(1);
        site.own("e1", 4096, { fence: 4096, further: 7 });
        site.order(2);
        site.order(4096);
        site.own("", 4096);
        site.own("e0", 4097);
        site.order(4097);
        expect(site.allBreaches()).toEqual([]);
        expect(site.summary().at(-1)).toMatch(/3 owners \(from old to new 1, from new to old 1\).*further/);
        expect(site.summary()[1]).toContain("2 orders, tokens 2 to 4096");
    });

    test("reports a round in which the ownership does not pass both ways, since it shows nothing", () => {
        const site = createWatch();
        site.own("e0", 1);
        site.own("e1", 2);
        expect(site.allBreaches()).toEqual(["the ownership never passed from new to old"]);
    });

    test.each([
        ["falls", 4096, 2, /falls from 4096 to 2/],
        ["is used by two owners", 4096, 4096, /e1 owns with fence 4096, as e0 did/],
    ])("reports a fence that %s", (_, first, second, text) => {
        const site = createWatch();
        site.own("e0", first);
        site.own("e1", second);
        expect(site.breaches()).toEqual([expect.stringMatching(text)]);
    });

    test("reports lease bounds of another fence than the owner row's, which the next owner would not use", () => {
        const site = createWatch();
        site.own("e1", 4096, { fence: 1 });
        expect(site.breaches()).toEqual([
            expect.stringMatching(/bounds are of fence 1, the owner row is of 4096/),
        ]);
    });

    test("reports rows that cannot be read", () => {
        const site = createWatch();
        site.own("e0", 0.5);
        site.own("e0", 1, { fence: "1" });
        expect(site.breaches()).toEqual([
            expect.stringMatching(/owner row cannot be read/),
            expect.stringMatching(/lease bounds beside fence 1 cannot be read/),
        ]);
    });

    test("reports an owner that is replaced again and again while its process runs, as one whose heartbeats are refused", () => {
        const site = createWatch();
        site.own("e0", 1);
        site.old.isStopping = true;
        site.pass();
        site.own("e1", 2);
        site.old.isStopping = false;
        site.own("e0", 3);
        site.own("e1", 4);
        site.store.isHarmed = true;
        site.pass();
        site.store.isHarmed = false;
        site.own("e0", 5);
        site.pass();
        expect(site.allBreaches()).toEqual([]);
        site.own("e1", 6);
        expect(site.allBreaches()).toEqual([
            "the owner was replaced 3 times while its process ran undisturbed",
        ]);
        expect(site.summary()[5]).toContain("e1 (new) owns with fence 6, unprompted");
    });

    test.each([4097, 0, undefined])("reports an order with the fence %s, which no owner has", fence => {
        const site = createWatch();
        site.own("e1", 4096);
        site.order(fence);
        expect(site.breaches()).toEqual([expect.stringMatching(/which no owner row has reached/)]);
    });

    test("reports an order with the fence of an owner whose process has ended, once delayed ones have arrived", () => {
        const site = createWatch();
        site.own("e0", 1);
        site.old.lifetime = undefined;
        site.own("e1", 4096);
        site.order(1);
        expect(site.breaches()).toEqual([]);
        site.old.lifetime = 2;
        site.pass(1200);
        site.order(4096);
        expect(site.breaches()).toEqual([]);
        site.order(1);
        expect(site.breaches()).toEqual([expect.stringMatching(/fence 1 of e0, whose process has ended/)]);
    });

    test.each([
        ["has ended", (site: ReturnType<typeof createWatch>) => void (site.old.lifetime = undefined)],
        ["was started again", (site: ReturnType<typeof createWatch>) => void (site.old.lifetime = 2)],
        ["stands still", (site: ReturnType<typeof createWatch>) => void (site.old.isPaused = true)],
        ["has released the site", (site: ReturnType<typeof createWatch>) => site.own("", 1)],
    ])("reports more than 5 s in which nobody replaces an owner that %s", (_, end) => {
        const site = createWatch();
        site.own("e0", 1);
        site.pass(6000);
        end(site);
        site.pass(4800);
        expect(site.breaches()).toEqual([]);
        site.pass(2000);
        expect(site.breaches()).toEqual([
            expect.stringMatching(/no running process has owned the site for 5000 ms/),
        ]);
    });
});

async function createDoneWatch() {
    const platform = WirePlatform.create({ pool: "bench", workers: 1 });
    const checker = new InvariantChecker({ now: () => 0 } as never);
    const watch = DoneWatch.create(checker);
    await platform.start();
    const { incarnation } = platform.workers[0]!;
    await platform.stop();
    watch.recordDone(incarnation, "t", 1000);
    return { watch, checker, incarnation };
}

describe("the watch of done tasks", () => {
    const harm = { worker: "w-0", fromMs: 1500, untilMs: 2000 };

    test("reports a start after done, also before the end is stored", async () => {
        const { watch } = await createDoneWatch();
        watch.recordStart("other", 3000);
        expect(watch.breaches([], 0)).toEqual([]);
        watch.recordStart("t", 3000);
        expect(watch.breaches([], 0)).toEqual(["3000 ms: t starts 2000 ms after it was done on w-0"]);
        expect(watch.breaches([{ ...harm, worker: "w-1" }, { ...harm, fromMs: 3500, untilMs: 4000 }], 0))
            .toHaveLength(1);
    });

    test("excuses one whose worker cannot report the end, since it ended or was cut off", async () => {
        const { watch, incarnation } = await createDoneWatch();
        watch.recordStart("t", 3000);
        expect(watch.breaches([harm], 0)).toEqual([]);
        incarnation.terminate();
        watch.recordStart("t", 4000);
        expect(watch.breaches([harm], 0)).toEqual([]);
        expect(watch.breaches([], 0)).toHaveLength(1);
    });
});

describe("the summary of done tasks", () => {
    test("names the starts after an end that an owner had acknowledged, with the times of both", async () => {
        const { watch, checker, incarnation } = await createDoneWatch();
        watch.recordStart("t", 3000);
        expect(watch.summary(0)).toHaveLength(1);
        checker.onEndAcknowledged(incarnation, "t", 1, RunEnd.Done);
        watch.recordStart("t", 4000);
        expect(watch.summary(0)).toEqual([
            expect.stringMatching(/^4000 ms: t starts; done on w-0 at 1000 ms, acknowledged at \d+ ms$/),
            expect.stringMatching(/^1 tasks done; 2 starts after done/),
        ]);
    });
});

test("logs are searched for what an entry could not use of another's rows and messages", () => {
    const file = join(folder, "e0.log");
    const refused = '{"event":2103,"message":"RowRefused"}';
    writeFileSync(file, `{"event":2008,"message":"OwnerSeen"}\n${refused}\nnot a line of the log\n`);
    expect(misunderstandingsIn(file)).toEqual([refused]);
});

describe("a round with two builds", () => {
    test(
        "passes the ownership both ways and keeps the promises, with the same program as both builds",
        async () => {
            const program = join(folder, "celerywind-site.js");
            const build = fileURLToPath(new URL("../deploy/bundle/build.mjs", import.meta.url));
            execFileSync(process.execPath, [build, program]);
            const seed = 1;
            const result = await playRound({
                seed,
                program,
                oldProgram: program,
                folder: roundFolder(folder, seed),
                entries: 4,
                lengthMs: 14_000,
                jobsPerSecond: 2,
            });
            expect(result.breaches).toEqual([]);
            expect(result.starts).toBeGreaterThan(10);
            expect(result.owners.some(line => line.includes(`(${Build.Old})`))).toBe(true);
        },
        90_000,
    );
});
