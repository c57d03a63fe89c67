/** Starts of work that is late after a takeover, and the order in which a new owner queries the workers. */
import { describe, expect, test } from "vitest";
import { claimTask, initialState, TaskPhase } from "../src/job/index.js";
import { DurationEstimator } from "../src/pool/duration-estimator.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { planStarts } from "../src/pool/plan-starts.js";
import { LateWorkGate } from "../src/pool/scheduling/late-work.js";
import { queryOrder } from "../src/pool/scheduling/query-order.js";
import { WorkerRegistry } from "../src/pool/worker-registry.js";
import type { Directory } from "../src/version/directory.js";
import { jobOf, queueOf } from "../standin/site/site.js";

const nowMs = 100_000;
/** Time of acceptance of jobs that are late, and end of the backlog. */
const lateSince = nowMs - 2500;
const backlogUntilMs = nowMs - 1500;

const directory: Directory = {
    version: 1,
    queues: [queueOf({ stretch: 1.6, objectiveMs: 600 })],
    pools: new Map([["bench", { name: "bench", isSpare: false, guardsCapacity: true }]]),
    teams: new Map(),
    keys: new Map(),
};

const tasksOf = (cores: number, tasks: number) =>
    jobOf({ tasks, estimateMs: 1000, needs: { cpu: cores * 1000, memory: 1, accelerators: 0 } });

interface Load {
    /** Cores of each of the four tasks of a late job, of which one was started by the owner before. */
    readonly lateCores?: number;
    readonly lateSince?: number;
    /** Cores of each task, and number of tasks, of a job that arrived 100 ms ago and has been placed. */
    readonly running?: readonly [cores: number, tasks: number];
    /** The same for its second step, which begins when the first one ends. */
    readonly next?: readonly [cores: number, tasks: number];
    /** The same for a job that arrived 50 ms ago and waits. */
    readonly waiting?: readonly [cores: number, tasks: number];
}

/** Ids of the jobs of the starts planned on two workers of 32 cores each, with or without the gate. */
function startsOf(load: Load, isGated: boolean) {
    const { lateCores = 6, lateSince: since = lateSince, running, next, waiting } = load;
    const jobs = JobRegistry.create();
    const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
    workers.update(
        ["w-1", "w-2"].map(id => ({
            id,
            pool: "bench",
            address: id,
            zone: "z",
            labels: ["a", "r"],
            capacity: { cpu: 32_000, memory: 32_000, accelerators: 0 },
            isDraining: false,
            remainingMs: 0,
            startedAtMs: 1,
            report: 1,
        })),
        0,
    );
    for (const worker of workers.byId.values()) {
        worker.hasAcceptedFence = true;
        worker.isReachable = true;
    }
    const late = { id: "late", queue: "q", team: "", acceptedAtMs: since, spec: tasksOf(lateCores, 4) };
    jobs.restore(late, claimTask(late, initialState(late), 0, { worker: "w-1", workerStartedAt: 1 }), 0);
    if (running !== undefined) {
        const entry = jobs.accept({
            id: "running",
            queue: "q",
            team: "",
            acceptedAtMs: nowMs - 100,
            spec: {
                ...tasksOf(...running),
                steps: [
                    ...tasksOf(...running).steps,
                    ...next === undefined
                        ? []
                        : tasksOf(...next).steps.map(step => ({ ...step, after: [0] })),
                ],
            },
        });
        [...entry.state.tasks].forEach((task, at) =>
            task.phase === TaskPhase.Waiting && task.step === 0
            && jobs.claim(entry, at, `w-${1 + at % 2}`, 1, 0)
        );
    }
    if (waiting !== undefined) {
        const spec = tasksOf(...waiting);
        jobs.accept({ id: "waiting", queue: "q", team: "", acceptedAtMs: nowMs - 50, spec });
    }
    [...jobs.runs.values()].forEach(record => workers.addRun(record));
    const durations = DurationEstimator.create();
    const view = { jobs, directory, durations, wallMs: nowMs };
    const placements = planStarts({
        ...view,
        workers: workers.byId.values(),
        ticketsFor: () => undefined,
        now: 0,
        limit: 64,
        lateWork: isGated ? LateWorkGate.create({ ...view, backlogUntilMs }) : undefined,
    });
    return placements.map(({ entry }) => entry.job.id);
}

describe("late work of the backlog of a takeover", () => {
    test("does not take the room that arrivals of the next second need, although it was started before", () => {
        // The arrivals of a second need 10 times 6 of 64 cores for a second; 2 of their tasks and a late one run now.
        const load: Load = { running: [6, 2], next: [6, 8] };
        expect(startsOf(load, false)).toEqual(["late", "late", "late"]);
        expect(startsOf(load, true)).toEqual([]);
    });

    test("does not fill what is too little for a task that can still be on time", () => {
        const load: Load = { running: [9, 4], waiting: [20, 1], lateCores: 3 };
        expect(startsOf(load, false)).toEqual(["late", "late", "late"]);
        expect(startsOf(load, true)).toEqual([]);
    });

    test("uses what arrivals do not need", () => {
        expect(startsOf({}, true)).toEqual(["late", "late", "late"]);
        expect(startsOf({ waiting: [1, 2] }, true)).toEqual(["waiting", "waiting", "late", "late", "late"]);
    });

    test("is not limited if it arrived after the takeover or can still be on time", () => {
        const load: Load = { running: [9, 4], waiting: [20, 1], lateCores: 3 };
        expect(startsOf({ ...load, lateSince: nowMs - 1000 }, true)).toContain("late");
    });
});

describe("the workers of a new owner", () => {
    test("are queried in the order of where work waits, idle ones first", () => {
        const worker = (id: string, pool: string, runs: number) => ({
            id,
            listed: { pool } as never,
            runs: new Map(Array.from({ length: runs }, (_, i) => [`${i}`, {} as never])),
        });
        const workers = [
            worker("a1", "a", 0),
            worker("b1", "b", 2),
            worker("b2", "b", 0),
            worker("c", "c", 0),
        ];
        const order = queryOrder(workers, new Map([["a", 1000], ["b", 9000]]));
        expect(order.map(({ id }) => id)).toEqual(["b2", "b1", "a1", "c"]);
        expect(queryOrder(workers, new Map()).map(({ id }) => id)).toEqual(["a1", "b2", "c", "b1"]);
    });
});
