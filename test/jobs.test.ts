import { describe, expect, test } from "vitest";
import { listsOf } from "../bench/fleet.js";
import { EmbeddedPlatform } from "../src/connection/platform/index.js";
import { WriteKind } from "../src/process/store.js";
import { SystemTimer } from "../src/process/timer.js";
import { type Job, jobIdOf, jobKey, JobState, readyKey } from "../src/request/job.js";
import { ReadyBuffers } from "../src/request/ready-buffers.js";
import { Simulation } from "../standin/simulation/simulation.js";
import { Fault } from "../standin/worker.js";
import { createStoreClient, runStore } from "./builders.js";

const queues = [
    { name: "proof", pool: "bridal", isDeferred: true, isIdempotent: true, timeoutMs: 600_000, meanMs: 800 },
    { name: "order", pool: "bridal", isDeferred: true, isIdempotent: false, timeoutMs: 600_000, meanMs: 800 },
];
const teams = [{ name: "benches", share: 1, limit: 40 }];

async function createWorld(seed = 1, entries = 3, workers = 4): Promise<Simulation> {
    const world = Simulation.create({
        seed,
        entries,
        pools: [{ name: "bridal", workers, budget: 1 }],
        lists: listsOf(queues, teams),
        meanServiceMs: () => 800,
    });
    await world.start();
    return world;
}

/** Number of times that workers ran a job. */
const runCountOf = (world: Simulation, id: string): number =>
    [...world.workers.values()].flatMap(worker => worker.runs).filter(run => run.id.startsWith(id)).length;

async function waitUntilEnded(world: Simulation, id: string, limitMs = 200_000): Promise<Job> {
    for (let ms = 0; ms < limitMs; ms += 500) {
        const job = await world.readJob(id);
        if (job !== undefined && job.state !== JobState.Waiting && job.state !== JobState.Running) {
            return job;
        }
        await world.advance(500);
    }
    throw new Error(`job ${id} did not end`);
}

/** Whether a store call, given by its key, is on rows of jobs. */
const isJobRowKey = (key: string): boolean => /^(job|ready|active)\//.test(key);

interface InjectionResult {
    readonly world: Simulation;
    readonly id: string | undefined;
    readonly calls: number;
}

/**
 * Submits a job and counts the store calls on job rows. Calls `inject` at the call with the index `callIndex`, whose
 * response is lost. `callIndex` is also the seed. `id` of the result is undefined if the submission failed or did not
 * settle within 10 s.
 */
async function injectAtStoreCall(
    callIndex: number,
    queue: string,
    inject: (world: Simulation, vm: string) => void,
): Promise<InjectionResult> {
    const world = await createWorld(callIndex);
    let calls = 0;
    for (const { vm, platformConditions: mood } of world.entries) {
        mood.losesAnswer = key => {
            const isTargetCall = isJobRowKey(key) && calls++ === callIndex;
            if (isTargetCall) {
                inject(world, vm);
            }
            return isTargetCall;
        };
    }
    const submitted = world.submitJob(0, "benches", queue, "{}", "the-key");
    await world.advance(4000);
    return { world, calls, id: await world.advanceUntilSettled(submitted, 10_000).catch(() => undefined) };
}

describe("an accepted job", () => {
    test("runs once and ends with the result that its task returned", async () => {
        const world = await createWorld();
        const id = (await world.advanceUntilSettled(world.submitJob(1, "benches", "proof", "payload")))!;
        const job = await waitUntilEnded(world, id);
        expect(job.state).toBe(JobState.Done);
        expect(job.result).toMatchObject({ base64: Buffer.from("payload").toString("base64") });
        expect(runCountOf(world, id)).toBe(1);
    });

    test("submitted several times with one idempotency key runs once", async () => {
        const world = await createWorld();
        const ids = await world.advanceUntilSettled(
            Promise.all([0, 1, 2].map(at => world.submitJob(at, "benches", "order", "{}", "one"))),
        );
        expect(new Set(ids).size).toBe(1);
        await waitUntilEnded(world, ids[0]!);
        await world.advance(5000);
        expect(runCountOf(world, ids[0]!)).toBe(1);
    });

    test.each(["proof", "order"])(
        "succeeds and runs once, whichever store call loses its response (%s)",
        async queue => {
            const { calls } = await injectAtStoreCall(-1, queue, () => undefined);
            for (let at = 0; at < calls; at++) {
                const { world, id } = await injectAtStoreCall(at, queue, () => undefined);
                expect(id, `call ${at}`).toBeDefined();
                expect((await waitUntilEnded(world, id!)).state, `call ${at}`).toBe(JobState.Done);
                expect(runCountOf(world, id!), `call ${at}`).toBe(1);
            }
        },
    );

    test.each(["proof", "order"])(
        "succeeds and runs once, whichever store call its entry crashes at (%s)",
        async queue => {
            const { calls } = await injectAtStoreCall(-1, queue, () => undefined);
            for (let at = 0; at < calls; at++) {
                const { world } = await injectAtStoreCall(at, queue, (inner, vm) => inner.killEntry(vm));
                const resubmitted = world.submitJob(1, "benches", queue, "{}", "the-key");
                const id = (await world.advanceUntilSettled(resubmitted))!;
                const job = await waitUntilEnded(world, id);
                expect(job.state, `call ${at}`).toBe(JobState.Done);
                expect(runCountOf(world, id), `call ${at}`).toBe(1);
            }
        },
    );

    test("is run again when its worker is lost, if it is idempotent", async () => {
        const world = await createWorld();
        const id = (await world.advanceUntilSettled(world.submitJob(0, "benches", "proof")))!;
        await world.advance(400);
        const busyWorker = [...world.workers].find(([, worker]) => worker.runningCount > 0)![0];
        world.crashWorker(busyWorker, 4000);
        expect((await waitUntilEnded(world, id)).state).toBe(JobState.Done);
        expect(runCountOf(world, id)).toBe(2);
    });

    test("ends as uncertain and is not run again when its worker is lost, if it is not idempotent", async () => {
        const world = await createWorld();
        const id = (await world.advanceUntilSettled(world.submitJob(0, "benches", "order")))!;
        await world.advance(400);
        const busyWorker = [...world.workers].find(([, worker]) => worker.runningCount > 0)![0];
        world.crashWorker(busyWorker, 4000);
        const job = await waitUntilEnded(world, id);
        expect(job.state).toBe(JobState.Uncertain);
        expect(job.reason).toMatch(/worker was lost/);
        expect(runCountOf(world, id)).toBe(1);
    });

    test("that fails on workers of three racks ends as failed, with its failures recorded", async () => {
        const world = await createWorld(1, 3, 12);
        const id =
            (await world.advanceUntilSettled(world.submitJob(0, "benches", "proof", '{"poison":true}')))!;
        const job = await waitUntilEnded(world, id);
        expect(job.state).toBe(JobState.Failed);
        expect(new Set(job.failures.map(failure => failure.rack)).size).toBe(3);
    });

    test("succeeds on another worker when one worker fails every task", async () => {
        const world = await createWorld();
        world.workers.get("bridal-0")!.fault = Fault.FailFast;
        const submitted = Array.from({ length: 20 }, (_, at) => world.submitJob(at, "benches", "proof"));
        const ids = await world.advanceUntilSettled(Promise.all(submitted));
        for (const id of ids) {
            expect((await waitUntilEnded(world, id!)).state).toBe(JobState.Done);
        }
    });

    test("that was refused during a store outage is accepted with the same key afterwards, and runs once", async () => {
        const world = await createWorld();
        world.platformConditions.isDown = true;
        await world.advance(6000);
        const refused = await world.advanceUntilSettled(world.submitJob(0, "benches", "order", "{}", "k"));
        expect(refused).toBeUndefined();
        world.platformConditions.isDown = false;
        await world.advance(4000);
        const id = (await world.advanceUntilSettled(world.submitJob(1, "benches", "order", "{}", "k")))!;
        expect((await waitUntilEnded(world, id)).state).toBe(JobState.Done);
        expect(runCountOf(world, id)).toBe(1);
    });

    test("is run by another entry when its own holds no grant and reaches the store but no peer", async () => {
        const world = Simulation.create({
            seed: 1,
            entries: 4,
            pools: [{ name: "bridal", workers: 4, budget: 1 }],
            lists: listsOf(queues, [{ name: "benches", share: 1, limit: 1 }]),
            meanServiceMs: () => 200,
        });
        await world.start();
        const isolatedEntry = world.entries.find(entry => entry.core.grants.usable("benches") === 0)!;
        world.entries.filter(entry => entry !== isolatedEntry).forEach(entry =>
            world.network.partition(isolatedEntry.vm, entry.vm)
        );
        const submitted = Array.from({ length: 16 }, (_, at) => world.submitJob(at, "benches", "proof"));
        const ids = (await world.advanceUntilSettled(Promise.all(submitted))).filter(id => id !== undefined);
        expect(ids.length).toBeGreaterThan(8);
        for (const id of ids) {
            expect((await waitUntilEnded(world, id)).state).toBe(JobState.Done);
        }
    });

    test("among ten thousand waiting jobs is cancelled in bulk, with less than one write per ten jobs", async () => {
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
            await world.embedded.transact([
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
        const cancelled = await world.advanceUntilSettled(
            core.jobs.cancelAll({ team: "benches", queue: "proof" }),
            120_000,
        );
        expect(cancelled).toBeGreaterThan(count - 100);
        expect(platform.calls.writes - before).toBeLessThan(count / 10);
        expect(world.embedded.rowsWithPrefix("ready/").length).toBe(0);
    });

    test("does not wait behind a hundred thousand jobs of another team, of which fewer than 50 are held in memory", async () => {
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
        const buffers = ReadyBuffers.create();
        const store = createStoreClient(platform, SystemTimer.create());
        await runStore(store, buffers.refill(3));
        expect(buffers.size).toBeLessThan(50);
        const first = [buffers.next(() => false), buffers.next(() => false)].map(ready => ready?.team);
        expect(first.sort()).toEqual(["flood", "small"]);
    });

    test("with a stored cancellation is cancelled by an entry that recovers it without having received the request", async () => {
        const world = Simulation.create({
            seed: 1,
            entries: 2,
            pools: [{ name: "bridal", workers: 4, budget: 1 }],
            lists: listsOf(queues, teams),
            meanServiceMs: () => 30_000,
        });
        await world.start();
        const id = (await world.advanceUntilSettled(world.submitJob(0, "benches", "proof")))!;
        await world.advance(1500);
        const holder = world.entries.find(entry => entry.core.jobs.runningCount > 0)!;
        const other = world.entries.find(entry => entry !== holder)!;
        world.killEntry(holder.vm);
        await world.advanceUntilSettled(other.core.jobs.cancel(id));
        world.killEntry(other.vm);
        world.addEntry("late");
        expect((await waitUntilEnded(world, id)).state).toBe(JobState.Cancelled);
        expect(runCountOf(world, id)).toBe(1);
    });

    test("is cancelled at once while it waits, and stopped while it runs", async () => {
        const world = await createWorld(1, 3, 1);
        const submitted = Array.from({ length: 12 }, (_, at) => world.submitJob(at, "benches", "proof"));
        const ids = await world.advanceUntilSettled(Promise.all(submitted));
        await world.advance(300);
        const entry = world.entries[0]!;
        await world.advanceUntilSettled(Promise.all(ids.map(id => entry.core.jobs.cancel(id!))));
        await world.advance(5000);
        const states = await Promise.all(ids.map(id => world.readJob(id!)));
        expect(states.every(job => job?.state === JobState.Cancelled || job?.state === JobState.Done)).toBe(
            true,
        );
        expect(states.filter(job => job?.state === JobState.Cancelled).length).toBeGreaterThanOrEqual(6);
    });
});
