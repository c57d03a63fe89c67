import { describe, expect, test } from "vitest";
import { listsOf } from "../bench/fleet.js";
import { EmbeddedPlatform } from "../src/connection/platform/index.js";
import { WriteKind } from "../src/process/store.js";
import { SystemTimer } from "../src/process/timer.js";
import { type Job, jobIdOf, jobKey, JobState, readyKey } from "../src/request/job.js";
import { ReadyBuffers } from "../src/request/ready-buffers.js";
import { Fault } from "../standin/worker.js";
import { World } from "../standin/world/world.js";
import { runStore, storeOver } from "./builders.js";

const queues = [
    { name: "proof", pool: "bridal", isDeferred: true, isIdempotent: true, timeoutMs: 600_000, meanMs: 800 },
    { name: "order", pool: "bridal", isDeferred: true, isIdempotent: false, timeoutMs: 600_000, meanMs: 800 },
];
const teams = [{ name: "benches", share: 1, limit: 40 }];

async function createWorld(seed = 1, entries = 3, workers = 4): Promise<World> {
    const world = World.create({
        seed,
        entries,
        pools: [{ name: "bridal", workers, budget: 1 }],
        lists: listsOf(queues, teams),
        meanMs: () => 800,
    });
    await world.start();
    return world;
}

const runsOf = (world: World, id: string): number =>
    [...world.workers.values()].flatMap(worker => worker.runs).filter(run => run.id.startsWith(id)).length;

async function untilEnded(world: World, id: string, limitMs = 200_000): Promise<Job> {
    for (let ms = 0; ms < limitMs; ms += 500) {
        const job = await world.readJob(id);
        if (job !== undefined && job.state !== JobState.Waiting && job.state !== JobState.Running) {
            return job;
        }
        await world.advance(500);
    }
    throw new Error(`job ${id} did not end`);
}

const isAboutJobs = (about: string): boolean => /^(job|ready|active)\//.test(about);

interface Struck {
    readonly world: World;
    readonly id: string | undefined;
    readonly calls: number;
}

/** Counts the store calls about jobs that one job costs, and runs `strike` at the `at`th of them. */
async function strikeAt(
    at: number,
    queue: string,
    strike: (world: World, vm: string) => void,
): Promise<Struck> {
    const world = await createWorld(at);
    let calls = 0;
    for (const { vm, mood } of world.entries) {
        mood.losesAnswer = about => {
            const isStruck = isAboutJobs(about) && calls++ === at;
            if (isStruck) {
                strike(world, vm);
            }
            return isStruck;
        };
    }
    const submitted = world.submit(0, "benches", queue, "{}", "the-key");
    await world.advance(4000);
    return { world, calls, id: await world.settle(submitted, 10_000).catch(() => undefined) };
}

describe("an accepted job", () => {
    test("costs three writes, and its result is what the task returned", async () => {
        const world = await createWorld();
        const id = (await world.settle(world.submit(1, "benches", "proof", "payload")))!;
        const job = await untilEnded(world, id);
        expect(job.state).toBe(JobState.Done);
        expect(job.result).toMatchObject({ base64: Buffer.from("payload").toString("base64") });
        expect(runsOf(world, id)).toBe(1);
    });

    test("submitted twice with one key runs once", async () => {
        const world = await createWorld();
        const ids = await world.settle(
            Promise.all([0, 1, 2].map(at => world.submit(at, "benches", "order", "{}", "one"))),
        );
        expect(new Set(ids).size).toBe(1);
        await untilEnded(world, ids[0]!);
        await world.advance(5000);
        expect(runsOf(world, ids[0]!)).toBe(1);
    });

    test.each(["proof", "order"])("ends well whichever store call loses its answer (%s)", async queue => {
        const { calls } = await strikeAt(-1, queue, () => undefined);
        for (let at = 0; at < calls; at++) {
            const { world, id } = await strikeAt(at, queue, () => undefined);
            expect(id, `call ${at}`).toBeDefined();
            expect((await untilEnded(world, id!)).state, `call ${at}`).toBe(JobState.Done);
            expect(runsOf(world, id!), `call ${at}`).toBe(1);
        }
    });

    test.each(["proof", "order"])("ends well whichever store call its entry crashes at (%s)", async queue => {
        const { calls } = await strikeAt(-1, queue, () => undefined);
        for (let at = 0; at < calls; at++) {
            const { world } = await strikeAt(at, queue, (inner, vm) => inner.kill(vm));
            const again = world.submit(1, "benches", queue, "{}", "the-key");
            const id = (await world.settle(again))!;
            const job = await untilEnded(world, id);
            expect(job.state, `call ${at}`).toBe(JobState.Done);
            expect(runsOf(world, id), `call ${at}`).toBe(1);
        }
    });

    test("is run again when its worker is lost, if it is idempotent", async () => {
        const world = await createWorld();
        const id = (await world.settle(world.submit(0, "benches", "proof")))!;
        await world.advance(400);
        const running = [...world.workers].find(([, worker]) => worker.runningCount > 0)![0];
        world.crashWorker(running, 4000);
        expect((await untilEnded(world, id)).state).toBe(JobState.Done);
        expect(runsOf(world, id)).toBe(2);
    });

    test("ends uncertain, never twice run, when its worker is lost and it is not idempotent", async () => {
        const world = await createWorld();
        const id = (await world.settle(world.submit(0, "benches", "order")))!;
        await world.advance(400);
        const running = [...world.workers].find(([, worker]) => worker.runningCount > 0)![0];
        world.crashWorker(running, 4000);
        const job = await untilEnded(world, id);
        expect(job.state).toBe(JobState.Uncertain);
        expect(job.reason).toMatch(/worker was lost/);
        expect(runsOf(world, id)).toBe(1);
    });

    test("that fails on workers of several racks ends failed with its reason", async () => {
        const world = await createWorld(1, 3, 12);
        const id = (await world.settle(world.submit(0, "benches", "proof", '{"poison":true}')))!;
        const job = await untilEnded(world, id);
        expect(job.state).toBe(JobState.Failed);
        expect(new Set(job.failures.map(failure => failure.rack)).size).toBe(3);
    });

    test("goes on elsewhere when one worker fails everything", async () => {
        const world = await createWorld();
        world.workers.get("bridal-0")!.fault = Fault.FailFast;
        const submitted = Array.from({ length: 20 }, (_, at) => world.submit(at, "benches", "proof"));
        const ids = await world.settle(Promise.all(submitted));
        for (const id of ids) {
            expect((await untilEnded(world, id!)).state).toBe(JobState.Done);
        }
    });

    test("is accepted again as the same job while the store comes and goes", async () => {
        const world = await createWorld();
        world.mood.isDown = true;
        await world.advance(6000);
        const refused = await world.settle(world.submit(0, "benches", "order", "{}", "k"));
        expect(refused).toBeUndefined();
        world.mood.isDown = false;
        await world.advance(4000);
        const id = (await world.settle(world.submit(1, "benches", "order", "{}", "k")))!;
        expect((await untilEnded(world, id)).state).toBe(JobState.Done);
        expect(runsOf(world, id)).toBe(1);
    });

    test("is run by another entry when its own reaches the store but no peer, and holds no grant", async () => {
        const world = World.create({
            seed: 1,
            entries: 4,
            pools: [{ name: "bridal", workers: 4, budget: 1 }],
            lists: listsOf(queues, [{ name: "benches", share: 1, limit: 1 }]),
            meanMs: () => 200,
        });
        await world.start();
        const alone = world.entries.find(entry => entry.core.grants.usable("benches") === 0)!;
        world.entries.filter(entry => entry !== alone).forEach(entry => world.net.cut(alone.vm, entry.vm));
        const submitted = Array.from({ length: 16 }, (_, at) => world.submit(at, "benches", "proof"));
        const ids = (await world.settle(Promise.all(submitted))).filter(id => id !== undefined);
        expect(ids.length).toBeGreaterThan(8);
        for (const id of ids) {
            expect((await untilEnded(world, id)).state).toBe(JobState.Done);
        }
    });

    test("among ten thousand that wait is cancelled with them, in few transactions", async () => {
        const world = await createWorld(1, 3, 1);
        const count = 10_000;
        for (let at = 0; at < count; at++) {
            const id = jobIdOf("benches", `k-${at}`);
            const draft = { id, team: "benches", acceptedAt: 1_700_000_000_000 + at };
            const job = {
                ...draft,
                queue: "proof",
                pool: "bridal",
                state: JobState.Waiting,
                cancelAsked: false,
                failures: [],
                attempt: 0,
            };
            await world.inner.transact([
                { kind: WriteKind.Put, key: jobKey(id), ifVersion: 0, value: { value: job, tokens: [] } },
                {
                    kind: WriteKind.Put,
                    key: readyKey(draft),
                    ifVersion: 0,
                    value: { value: { id, pool: "none" }, tokens: [] },
                },
            ]);
        }
        const { core, platform } = world.entries[0]!;
        const before = platform.calls.writes;
        const cancelled = await world.settle(
            core.jobs.cancelAll({ team: "benches", queue: "proof" }),
            120_000,
        );
        expect(cancelled).toBeGreaterThan(count - 100);
        expect(platform.calls.writes - before).toBeLessThan(count / 10);
        expect(world.inner.rowsUnder("ready/").length).toBe(0);
    });

    test("does not wait behind a hundred thousand jobs of another team, nor are those held in memory", async () => {
        const platform = EmbeddedPlatform.create();
        for (let at = 0; at < 100_000; at++) {
            const key = `ready/03/flood/${String(at).padStart(14, "0")}-${at}`;
            await platform.transact([{
                kind: WriteKind.Put,
                key,
                ifVersion: 0,
                value: { value: { id: `f${at}`, pool: "p" }, tokens: [] },
            }]);
        }
        const small = { value: { id: "small", pool: "p" }, tokens: [] };
        await platform.transact([{
            kind: WriteKind.Put,
            key: "ready/03/small/00000000000001-small",
            ifVersion: 0,
            value: small,
        }]);
        const lines = ReadyBuffers.create();
        const store = storeOver(platform, SystemTimer.create());
        await runStore(store, lines.refill(3));
        expect(lines.size).toBeLessThan(50);
        const first = [lines.next(() => false), lines.next(() => false)].map(ready => ready?.team);
        expect(first.sort()).toEqual(["flood", "small"]);
    });

    test("whose cancellation was asked for is stopped by an entry that adopts it without having heard of it", async () => {
        const world = World.create({
            seed: 1,
            entries: 2,
            pools: [{ name: "bridal", workers: 4, budget: 1 }],
            lists: listsOf(queues, teams),
            meanMs: () => 30_000,
        });
        await world.start();
        const id = (await world.settle(world.submit(0, "benches", "proof")))!;
        await world.advance(1500);
        const holder = world.entries.find(entry => entry.core.jobs.runningCount > 0)!;
        const other = world.entries.find(entry => entry !== holder)!;
        world.kill(holder.vm);
        await world.settle(other.core.jobs.cancel(id));
        world.kill(other.vm);
        world.addEntry("late");
        expect((await untilEnded(world, id)).state).toBe(JobState.Cancelled);
        expect(runsOf(world, id)).toBe(1);
    });

    test("that waits is cancelled at once, and one that runs is stopped", async () => {
        const world = await createWorld(1, 3, 1);
        const submitted = Array.from({ length: 12 }, (_, at) => world.submit(at, "benches", "proof"));
        const ids = await world.settle(Promise.all(submitted));
        await world.advance(300);
        const entry = world.entries[0]!;
        await world.settle(Promise.all(ids.map(id => entry.core.jobs.cancel(id!))));
        await world.advance(5000);
        const states = await Promise.all(ids.map(id => world.readJob(id!)));
        expect(states.every(job => job?.state === JobState.Cancelled || job?.state === JobState.Done)).toBe(
            true,
        );
        expect(states.filter(job => job?.state === JobState.Cancelled).length).toBeGreaterThanOrEqual(6);
    });
});
