/** What a worker's answer tells of runs that were meant for another incarnation of it. */
import { describe, expect, test } from "vitest";
import { claimTask, initialState, RunEnd } from "../src/job/index.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { reconcile } from "../src/pool/reconcile.js";
import { type RunRecord, StartStatus } from "../src/pool/records.js";
import { jobOf } from "../standin/site/site.js";

const formerMs = 10;
const presentMs = 20;

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
