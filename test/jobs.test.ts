import { describe, expect, test } from "vitest";
import { listsOf } from "../bench/fleet.js";
import { type Job, JobState } from "../src/request/job.js";
import { Fault } from "../standin/worker.js";
import { World } from "../standin/world/world.js";

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
        world.workers.get("bridal-0")!.fault = Fault.BlackHole;
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
