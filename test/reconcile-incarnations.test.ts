/** What a worker's answer tells of runs that were meant for another incarnation of it, or do not fit one answer. */
import { describe, expect, test } from "vitest";
import { claimTask, initialState, RunEnd } from "../src/job/index.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { isAcceptingRuns } from "../src/pool/plan-starts.js";
import type { ListedWorker } from "../src/pool/ports.js";
import { maxEndsPerResponse, reconcile } from "../src/pool/reconcile.js";
import { type RunRecord, StartStatus } from "../src/pool/records.js";
import { WorkerRegistry } from "../src/pool/worker-registry.js";
import { jobOf } from "../standin/site/site.js";

const formerMs = 10;
const presentMs = 20;

function listed(startedAtMs: number): ListedWorker {
    return {
        id: "w-1",
        pool: "bench",
        address: "w-1",
        zone: "z",
        labels: [],
        capacity: { cpu: 4000, memory: 4000, accelerators: 0 },
        isDraining: false,
        remainingMs: 0,
        startedAtMs,
        report: 1,
    };
}

/** Claimed runs of tasks that were meant for the former incarnation. */
function recordsOf(tasks: number, start: StartStatus): ReadonlyMap<string, RunRecord> {
    const jobs = JobRegistry.create();
    const job = { id: "j", queue: "q", team: "t", acceptedAtMs: 0, spec: jobOf({ tasks }) };
    let state = initialState(job);
    for (let position = 0; position < tasks; position++) {
        state = claimTask(job, state, position, { worker: "w-1", workerStartedAt: formerMs });
    }
    jobs.restore(job, state, 0);
    jobs.runs.forEach(record => record.start = start);
    return jobs.runs;
}

const answer = {
    startedAtMs: presentMs,
    fence: 2,
    running: [],
    lastPosition: 0,
    sentAt: 100,
    appliedCount: 0,
};

describe("an end that the present incarnation of a worker lists", () => {
    // Guards against: an attempt that is not counted, and a worker that counts as lost, for a run that it has failed (BUDGET).
    test.each([StartStatus.Confirmed, StartStatus.Inherited, StartStatus.Uncertain])(
        "is that of a run on record for the former one (%s)",
        start => {
            const records = recordsOf(1, start);
            const [record] = records.values();
            const ended = [{
                position: 1,
                task: record!.name,
                run: record!.run,
                outcome: RunEnd.Failed,
                saved: "",
            }] as const;
            const found = reconcile({ ...answer, ended, records });
            expect(found.ended).toEqual([{ record, outcome: RunEnd.Failed, saved: "" }]);
            expect(found.lateSuccesses).toEqual([]);
        },
    );
});

describe("a run that a full page of ends does not name", () => {
    // Guards against: a run whose end is on the next page counts as lost while all ends of this one are applied already (TWICE).
    test("is not taken as lost when all ends of the page have been applied before", () => {
        const records = recordsOf(1, StartStatus.Confirmed);
        const found = reconcile({
            ...answer,
            startedAtMs: formerMs,
            ended: [],
            appliedCount: maxEndsPerResponse,
            records,
        });
        expect(found.ended).toEqual([]);
    });
});

describe("a worker whose present incarnation is not listed yet", () => {
    // Guards against: starts by the labels, pool and capacity of the former incarnation (ROUTE, LIMIT).
    test("gets no runs", () => {
        const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
        workers.update([listed(formerMs)], 0);
        const worker = workers.byId.get("w-1")!;
        workers.updateIncarnation(worker, presentMs);
        Object.assign(worker, { hasAcceptedFence: true, isReachable: true });
        expect(isAcceptingRuns(worker)).toBe(false);
        workers.update([listed(presentMs)], 1000);
        expect(isAcceptingRuns(worker)).toBe(true);
    });
});
