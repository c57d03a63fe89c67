/** The table of a job's tasks, compared with a plain list, and its cost for jobs of many tasks. */
import { describe, expect, test } from "vitest";
import {
    type AcceptedJob,
    completeIfDone,
    decodeState,
    encodeSegment,
    encodeSegmentedState,
    initialState,
    isHeldTask,
    JobPhase,
    segmentTasks,
    TaskLayout,
    TaskPhase,
    TaskSet,
    type TaskState,
    TaskTable,
    withTask,
} from "../src/job/index.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { openPositions, openSteps, openTaskCount } from "../src/pool/open-steps.js";
import { Random } from "../src/process/random.js";
import { jobOf } from "../standin/site/site.js";

function jobWith(steps: readonly number[]): AcceptedJob {
    const spec = jobOf(...steps.map(tasks => ({ tasks })));
    return { id: "j", queue: "q", team: "", acceptedAtMs: 0, spec };
}

function randomChange(random: Random): Partial<TaskState> {
    const lost = (worker: string) => ({ worker, workerStartedAt: 1, isExplained: false });
    const run = 1 + random.int(3);
    const changes: readonly Partial<TaskState>[] = [
        { phase: TaskPhase.Claimed, run, worker: "w", workerStartedAt: 1 },
        {
            phase: TaskPhase.Done,
            run,
            worker: "",
            workerStartedAt: 0,
            failures: random.int(2),
            lostWorkers: [],
        },
        { phase: TaskPhase.Waiting, run, worker: "", workerStartedAt: 0, lostWorkers: [lost("a")] },
        { phase: TaskPhase.Waiting, run, worker: "", lostWorkers: ["a", "b", "c", "d"].map(lost) },
        { phase: TaskPhase.Waiting, run, worker: "", failures: random.int(3), lostWorkers: [] },
        { phase: TaskPhase.Failed, run, worker: "", workerStartedAt: 0 },
    ];
    return changes[random.int(changes.length)]!;
}

describe("a table of tasks", () => {
    test.each([1, 2, 3, 4, 5, 6])("agrees with a list of all tasks (seed %i)", seed => {
        const random = Random.create(seed);
        const sizes = Array.from(
            { length: 1 + random.int(5) },
            () => 1 + random.int(seed % 2 === 0 ? 9 : 300),
        );
        const { spec } = jobWith(sizes);
        let table = TaskTable.create(TaskLayout.of(spec), 1);
        let list = [...table];
        const isIn: Readonly<Record<TaskSet, (task: TaskState) => boolean>> = {
            [TaskSet.Open]: task =>
                task.phase === TaskPhase.Waiting && !isHeldTask(task, spec.steps[task.step]!),
            [TaskSet.Claimed]: ({ phase }) => phase === TaskPhase.Claimed,
            [TaskSet.Done]: ({ phase }) => phase === TaskPhase.Done,
            [TaskSet.Unfinished]: ({ phase }) => phase !== TaskPhase.Done,
            [TaskSet.Begun]: ({ run }) => run > 0,
            [TaskSet.WithLosses]: ({ lostWorkers }) => lostWorkers.length > 0,
            [TaskSet.WithFailures]: ({ phase, failures }) => phase === TaskPhase.Waiting && failures > 0,
        };
        for (let round = 0; round < 6; round++) {
            for (let i = 0; i < 120; i++) {
                const first = random.int(list.length);
                const change = randomChange(random);
                // Whole stretches, too, so that blocks become uniform.
                const last = random.chance(0.1) ? Math.min(list.length, first + 200) : first + 1;
                for (let position = first; position < last; position++) {
                    list[position] = { ...list[position]!, ...change };
                    table = table.with(position, list[position]!);
                }
            }
            expect([...table]).toEqual(list);
            for (const set of Object.values(TaskSet)) {
                const a = random.int(list.length);
                const b = a + random.int(list.length - a + 1);
                for (const [from, to] of [[0, list.length], [a, b]] as const) {
                    const expected = list.flatMap((task, at) =>
                        at >= from && at < to && isIn[set](task) ? [at] : []
                    );
                    expect([...table.positions(set, { from, to })]).toEqual(expected);
                    expect(table.count(set, { from, to })).toBe(expected.length);
                }
            }
            const begun = new Map([...table.positions(TaskSet.Begun)].map(at => [at, table.at(at)]));
            const occurrences = table.length / table.layout.tasksPerOccurrence;
            expect([...TaskTable.create(table.layout, occurrences, begun)]).toEqual(list);
            const grown = table.withOccurrence();
            const changed = new Set(grown.changedBlocks(table));
            expect(changed).toEqual(new Set());
            table = grown;
            list = [...table];
        }
    });

    test("names the blocks that have changed", () => {
        const state = initialState(jobWith([10_000]));
        const next = withTask(withTask(state, 70, { run: 1 }), 9000, { run: 1 });
        expect([...next.tasks.changedBlocks(state.tasks)]).toEqual([1, Math.floor(9000 / segmentTasks)]);
        expect([...next.tasks.changedBlocks(undefined)]).toEqual([1, Math.floor(9000 / segmentTasks)]);
    });
});

/** Shortest of several runs, in milliseconds. */
function shortestMs(work: () => void): number {
    return Math.min(...Array.from({ length: 9 }, () => {
        const startedAt = performance.now();
        work();
        return performance.now() - startedAt;
    }));
}

describe("a job of 640,000 tasks", () => {
    const large = jobWith(Array.from({ length: 64 }, () => 10_000));

    // Guards against: a submission whose tasks fill the heap of each owner before one of them has run (review/6).
    test("takes no more memory than a small one before its first run", () => {
        const before = process.memoryUsage().heapUsed;
        const states = Array.from({ length: 1000 }, () => initialState(large));
        const bytes = (process.memoryUsage().heapUsed - before) / states.length;
        expect(states.every(({ tasks }) => tasks.count(TaskSet.Open) === 640_000)).toBe(true);
        expect(bytes).toBeLessThan(5000);
    });

    test("is changed and looked through without a walk over its tasks", () => {
        const starts = 500;
        const startAll = (job: AcceptedJob): void => {
            const jobs = JobRegistry.create();
            const entry = jobs.accept(job);
            for (let i = 0; i < starts; i++) {
                const [open] = openSteps(entry);
                const [position] = openPositions(entry, open!);
                jobs.claim(entry, position!, "w", 1, 0);
            }
            expect(openTaskCount(entry)).toBe(entry.state.tasks.length - starts);
        };
        startAll(large);
        // A walk over all tasks, of some milliseconds, at each start would take seconds.
        expect(shortestMs(() => startAll(large))).toBeLessThan(starts);
    });

    test("takes no memory for stretches of tasks that are done in one run, and is read back", () => {
        const job = jobWith([30_000, 10]);
        const claimed = { phase: TaskPhase.Done, run: 1 };
        const done = new Map(
            [...initialState(job).tasks].map((task, position) => [position, { ...task, ...claimed }]),
        );
        const tasks = TaskTable.create(TaskLayout.of(job.spec), 1, done);
        const state = { ...initialState(job), phase: JobPhase.Running, tasks };
        expect(new Set(Array.from({ length: 400 }, (_, block) => tasks.blockAt(block))).size).toBe(1);
        expect(completeIfDone(job, state).phase).toBe(JobPhase.Succeeded);
        const count = Math.ceil(tasks.length / segmentTasks);
        const segments = Array.from({ length: count }, (_, i) => encodeSegment(state, i));
        expect(decodeState(job, encodeSegmentedState(state), segments)!.tasks.count(TaskSet.Done)).toBe(
            30_010,
        );
    });
});
