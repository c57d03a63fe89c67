/** Jobs and sites whose progress outgrows what the store accepts in a row or in a call. */
import { describe, expect, test } from "vitest";
import {
    type AcceptedJob,
    decodePhase,
    decodeState,
    encodeSegment,
    encodeSegmentedState,
    encodeState,
    initialState,
    JobPhase,
    type JobState,
    segmentTasks,
    TaskPhase,
    withTask,
} from "../src/job/index.js";
import { Batch } from "../src/pool/batch.js";
import { JobProgress } from "../src/pool/job-progress.js";
import { Random } from "../src/process/random.js";
import { RefusalReason } from "../src/request/job-calls.js";
import { jobOf, type StandinEntry, StandinSite, type StandinSiteOptions } from "../standin/site/site.js";

/** Name of the domain of a site. */
const domainName = "main";
const small = { cpu: 100, memory: 10, accelerators: 0 };

async function createSite(options: StandinSiteOptions = {}): Promise<StandinSite> {
    const site = StandinSite.create({ vmsPerPool: 10, ...options });
    await site.start({ version: 1, queues: [{}] });
    return site;
}

function aliveEntry(site: StandinSite) {
    return site.entries.find(({ peers }) => peers.node.isAlive)!;
}

async function submit(site: StandinSite, id: string, spec = jobOf({}), workMs = 500): Promise<void> {
    const result = await site.runUntilSettled(site.submit(aliveEntry(site), id, spec, { workMs }));
    expect(result.kind).toBe("accepted");
}

async function phaseOf(site: StandinSite, id: string): Promise<string> {
    return site.runUntilSettled(site.phaseOf(aliveEntry(site), id));
}

/** Numbers of the segments of the job `large` that the store holds. */
function segmentRows(site: StandinSite): readonly number[] {
    return Array.from({ length: 100 }, (_, segment) => segment).filter(segment =>
        site.rows.find({ table: "progress-tasks", part: domainName, key: `large/${segment}` }) !== undefined
    );
}

function jobWith(tasks: number, isGang = false): AcceptedJob {
    return { id: "j1", queue: "q", team: "t", acceptedAtMs: 1, spec: jobOf({ tasks, isGang }) };
}

function withRuns(job: AcceptedJob, phases: readonly TaskPhase[]): JobState {
    const running: JobState = { ...initialState(job), phase: JobPhase.Running };
    return phases.reduce<JobState>(
        (state, phase, position) => withTask(state, position, { phase, run: 1 }),
        running,
    );
}

describe("a job of thousands of tasks", () => {
    // Guards against: progress that outgrows its row stops all work of the site (review/2).
    test("is done, as is a job that comes later, and a service keeps its leases", async () => {
        const site = await createSite();
        await submit(site, "service", jobOf({ tasks: 2, isService: true, needs: small }));
        await submit(site, "large", jobOf({ tasks: 2000, needs: small }), 5000);
        await site.timer.advance(5000);
        await submit(site, "small");
        await site.timer.advance(3000);
        expect(await phaseOf(site, "small")).toBe("succeeded");
        await site.timer.advance(15_000);
        expect(await phaseOf(site, "large")).toBe("succeeded");
        expect(site.rows.invalidCalls).toEqual([]);
        expect(site.checker.violations).toEqual([]);
        expect(site.checker.startCount).toBe(2003);
    });

    // Guards against: a new owner that loses, or runs again, tasks of a job that is stored in several rows.
    test.each([1000, 2500, 5500, 7000])("survives the death of its owner after %i ms", async deathMs => {
        const site = await createSite();
        await submit(site, "large", jobOf({ tasks: 1500, needs: small }), 3000);
        await site.timer.advance(deathMs);
        site.kill(site.owner()!);
        await site.timer.advance(35_000);
        expect(await phaseOf(site, "large")).toBe("succeeded");
        expect(site.rows.invalidCalls).toEqual([]);
        expect(site.checker.violations).toEqual([]);
    });

    // Guards against: each end of a run that writes the progress of the whole job.
    test("writes bytes in proportion to its tasks", async () => {
        const bytesFor = async (tasks: number): Promise<number> => {
            const site = await createSite({ vmsPerPool: 20 });
            await submit(site, "large", jobOf({ tasks, needs: small }), 500);
            await site.timer.advance(20_000);
            expect(await phaseOf(site, "large")).toBe("succeeded");
            return (site.rows.bytesWritten.get("progress") ?? 0)
                + (site.rows.bytesWritten.get("progress-tasks") ?? 0);
        };
        expect(await bytesFor(4000)).toBeLessThan(4 * 1.5 * await bytesFor(1000));
    });

    // Guards against: rows of a removed job that stay in the store.
    test("leaves no rows behind once it is removed", async () => {
        const site = await createSite();
        await submit(site, "large", jobOf({ tasks: 600, needs: small }));
        await site.timer.advance(5000);
        expect(await phaseOf(site, "large")).toBe("succeeded");
        expect(segmentRows(site)).toHaveLength(Math.ceil(600 / segmentTasks));
        await site.timer.advance(200_000);
        expect(segmentRows(site)).toEqual([]);
    });
});

describe("a new owner that looks for progress without a job", () => {
    // Guards against: segments that are read after the jobs, and taken for left over although their job was accepted in between.
    test.each([1500, 2500])(
        "leaves that of a job accepted meanwhile, with a read of %i ms",
        async delayMs => {
            const site = await createSite();
            await submit(site, "small");
            await site.timer.advance(1000);
            site.rows.readDelaysMs.set("progress-tasks", delayMs);
            site.kill(site.owner()!);
            const isReady = ({ peers, core }: StandinEntry): boolean =>
                peers.node.isAlive && core.domain.tenure?.isReady === true;
            while (!site.entries.some(isReady)) {
                await site.timer.advance(10);
            }
            await submit(site, "large", jobOf({ tasks: 1500, needs: small }), 8000);
            await site.timer.advance(3500);
            const segments = segmentRows(site);
            expect(segments.length).toBeGreaterThan(5);
            expect(segments).toEqual(segments.map((_, number) => number));
            site.rows.readDelaysMs.clear();
            site.kill(site.owner()!);
            await site.timer.advance(25_000);
            expect(await phaseOf(site, "large")).toBe("succeeded");
            expect(site.checker.violations).toEqual([]);
            expect(site.checker.startCount).toBe(1501);
        },
    );

    test("removes what a job left that is gone", async () => {
        const site = await createSite();
        const left = { table: "progress-tasks", part: domainName, key: "gone/0" };
        site.rows.write(left, "{}");
        site.rows.write({ table: "progress", part: domainName, key: "gone" }, "{}");
        site.kill(site.owner()!);
        await site.timer.advance(10_000);
        await submit(site, "next");
        await site.timer.advance(3000);
        expect(site.rows.find(left)).toBeUndefined();
        expect(site.rows.find({ ...left, table: "progress", key: "gone" })).toBeUndefined();
    });
});

describe("a job whose progress the store does not accept", () => {
    // Guards against: a call that can never succeed is repeated, and all other work waits behind it.
    test("is suspended alone, and goes on once it is accepted", async () => {
        const site = await createSite();
        site.rows.rejects = ({ puts }) =>
            puts.some(({ table, key }) => table === "progress" && key === "bad")
                ? "rejected by the test"
                : undefined;
        await submit(site, "bad", jobOf({ tasks: 4 }));
        await submit(site, "good", jobOf({ tasks: 4 }));
        await site.timer.advance(3000);
        expect(await phaseOf(site, "good")).toBe("succeeded");
        expect(await phaseOf(site, "bad")).toBe("queued");
        site.rows.rejects = () => undefined;
        await site.timer.advance(20_000);
        expect(await phaseOf(site, "bad")).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });

    // Guards against: ends that are acknowledged although the store has not accepted them.
    test("has its ends kept by the workers until they are stored", async () => {
        const site = await createSite();
        await submit(site, "bad", jobOf({ tasks: 4 }), 2000);
        await site.timer.advance(500);
        site.rows.rejects = ({ puts }) =>
            puts.some(({ table, key }) => table === "progress" && key === "bad")
                ? "rejected by the test"
                : undefined;
        await site.timer.advance(4000);
        site.kill(site.owner()!);
        site.rows.rejects = () => undefined;
        await site.timer.advance(15_000);
        expect(await phaseOf(site, "bad")).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
        expect(site.checker.startCount).toBe(4);
    });
});

describe("a job that is larger than a row", () => {
    // Guards against: a job that can never be stored is refused only after its time limit, or as if it could come again.
    test("is refused at once", async () => {
        const site = await createSite();
        const spec = { ...jobOf({}), payload: "x".repeat(70_000) };
        const before = site.timer.now();
        const result = await site.runUntilSettled(site.submit(site.entries[0]!, "huge", spec));
        expect(result).toMatchObject({ kind: "refused", reason: RefusalReason.TooLarge });
        expect(site.timer.now() - before).toBeLessThan(50);
        expect(site.rows.invalidCalls).toEqual([]);
    });
});

describe("progress in segments", () => {
    const phases = Array.from({ length: 200 }, (_, i) => i % 3 === 0 ? TaskPhase.Done : TaskPhase.Claimed);

    function segmentsOf(state: JobState): readonly string[] {
        const count = Math.ceil(state.tasks.length / segmentTasks);
        return Array.from({ length: count }, (_, i) => encodeSegment(state, i));
    }

    test("is read as it was written, as is progress in one row", () => {
        const job = jobWith(200);
        const state = withRuns(job, phases);
        expect(decodeState(job, encodeSegmentedState(state), segmentsOf(state))).toEqual(state);
        expect(decodeState(job, encodeState(state))).toEqual(state);
    });

    // Guards against: an owner of an earlier version takes the tasks in segments for tasks that never ran.
    test("has a row that names a task which the job does not have", () => {
        const head = JSON.parse(encodeSegmentedState(withRuns(jobWith(200), phases))) as Record<
            string,
            unknown
        >;
        delete head["g"];
        expect(decodeState(jobWith(200), JSON.stringify(head))).toBeUndefined();
        expect(decodePhase(JSON.stringify(head))).toBe(JobPhase.Running);
    });

    // Guards against: a gang of which only some members were stored as done before the owner died.
    test("completes a gang of which a part was stored as done", () => {
        const job = jobWith(100, true);
        const before = withRuns(job, Array.from({ length: 100 }, () => TaskPhase.Claimed));
        const after = withRuns(job, Array.from({ length: 100 }, () => TaskPhase.Done));
        const read = decodeState(job, encodeSegmentedState(after), [
            segmentsOf(after)[0]!,
            segmentsOf(before)[1]!,
        ]);
        expect([...read!.tasks].every(({ phase }) => phase === TaskPhase.Done)).toBe(true);
    });

    test("is written in full once, and then where it has changed", () => {
        const job = jobWith(1000);
        const progress = JobProgress.create();
        const write = (state: JobState): readonly string[] => {
            const batch = Batch.create();
            expect(progress.addChanges(state, { domain: "d", job: "j1", batch, onInvalid: () => undefined }))
                .toBe(true);
            return batch.items.flatMap(({ puts }) => puts.map(({ key }) => key));
        };
        const state = withRuns(job, Array.from({ length: 1000 }, () => TaskPhase.Claimed));
        expect(write(state)).toHaveLength(1 + Math.ceil(1000 / segmentTasks));
        expect(write(withTask(state, 70, { phase: TaskPhase.Done }))).toEqual(["j1/1"]);
    });

    // Guards against: a reader that finds the job's row without tasks beside segments that are not all there.
    test("replaces the only row in one transaction, again if the store has not accepted the first", () => {
        const state = withRuns(jobWith(1000), Array.from({ length: 1000 }, () => TaskPhase.Claimed));
        const progress = JobProgress.create();
        const itemsOf = () => {
            const batch = Batch.create();
            progress.addChanges(state, { domain: "d", job: "j1", batch, onInvalid: () => undefined });
            return batch.items;
        };
        expect(itemsOf()).toHaveLength(1);
        progress.forget();
        const again = itemsOf();
        expect(again).toHaveLength(1);
        again[0]!.onStored?.();
        progress.forget();
        expect(itemsOf()).toHaveLength(1 + Math.ceil(1000 / segmentTasks));
    });

    // Guards against: a checkpoint without a stated limit makes a row too large.
    test("leaves out checkpoints that would make a row too large", () => {
        const job = jobWith(segmentTasks);
        const state = withRuns(job, Array.from({ length: segmentTasks }, () => TaskPhase.Waiting));
        let large = state;
        for (let position = 0; position < segmentTasks; position++) {
            large = withTask(large, position, { checkpoint: "x".repeat(5000) });
        }
        expect(encodeSegment(large, 0).length).toBeLessThan(65_536);
    });
});

describe("a job of thousands of tasks beside faults", () => {
    // Plays the path of segments with deaths of owners, slow reads, lost answers and late writes, at times of their own.
    test.each([1, 2, 3, 4, 5, 6])("is done once, whatever fails meanwhile (seed %i)", async seed => {
        const random = Random.create(seed);
        const site = await createSite({ seed, entries: 5 });
        await submit(site, "large", jobOf({ tasks: 1200, needs: small }), 1500);
        for (let i = 0; i < 3; i++) {
            site.rows.readDelaysMs.set("progress-tasks", random.int(1200));
            site.rows.readDelaysMs.set("progress", random.int(600));
            site.rows.faults.lostAnswerShare = random.chance(0.5) ? 0.2 : 0;
            site.rows.faults.delayedCommitShare = random.chance(0.5) ? 0.2 : 0;
            site.rows.faults.commitDelayMs = 1000 + random.int(2000);
            await site.timer.advance(200 + random.int(2500));
            const owner = site.owner();
            if (owner?.peers.node.isAlive === true && i < 2) {
                site.kill(owner);
            }
            await site.timer.advance(random.int(3000));
        }
        site.rows.readDelaysMs.clear();
        site.rows.faults.lostAnswerShare = 0;
        site.rows.faults.delayedCommitShare = 0;
        await site.timer.advance(40_000);
        expect(await phaseOf(site, "large")).toBe("succeeded");
        expect(site.checker.violations).toEqual([]);
    });
});
