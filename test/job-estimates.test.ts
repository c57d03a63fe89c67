/** The estimate of a job's remaining work, which decides the order in which waiting jobs are placed. */
import { describe, expect, test } from "vitest";
import { criticalPathMs, RunEnd, type StepSpec, TaskPhase } from "../src/job/index.js";
import { DurationEstimator } from "../src/pool/duration-estimator.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { openPositions, openSteps } from "../src/pool/open-steps.js";
import type { JobEntry } from "../src/pool/records.js";
import { estimateJob } from "../src/pool/urgency.js";
import { Random } from "../src/process/random.js";
import { jobOf, queueOf } from "../standin/site/site.js";

const queue = queueOf({ stretch: 1.6, objectiveMs: 600 });

/** The sums over the tasks of a job as they are now, without anything kept from an earlier call. */
function sumUp({ job, state }: JobEntry, durations: DurationEstimator) {
    const durationOf = (step: StepSpec): number => durations.estimate(job.queue, step.estimateMs);
    const unfinished = job.spec.steps.map((_, step) =>
        [...state.tasks].filter(task => task.step === step && task.phase !== TaskPhase.Done).length
    );
    return {
        remainingMs: criticalPathMs(
            job.spec,
            (step, index) => unfinished[index] === 0 ? 0 : durationOf(step),
        ),
        remainingWork: job.spec.steps.reduce(
            (sum, step, index) => sum + unfinished[index]! * durationOf(step) * step.needs.cpu,
            0,
        ),
        objectiveAtMs: job.acceptedAtMs + queue.stretch * criticalPathMs(job.spec, durationOf)
            + queue.objectiveMs,
    };
}

describe("the estimate of a job", () => {
    test.each([1, 2, 3])("follows each start and end of its tasks (seed %i)", seed => {
        const random = Random.create(seed);
        const jobs = JobRegistry.create();
        const durations = DurationEstimator.create();
        for (let i = 0; i < 20; i++) {
            const steps = Array.from({ length: 1 + random.int(4) }, (_, at) => ({
                tasks: 1 + random.int(3),
                estimateMs: random.int(3) * 371,
                needs: { cpu: 1000 + random.int(5000), memory: 1, accelerators: 0 },
                after: at > 0 && random.chance(0.6) ? [random.int(at)] : [],
            }));
            jobs.accept({ id: `j${i}`, queue: "q", team: "", acceptedAtMs: 100 * i, spec: jobOf(...steps) });
        }
        for (let round = 0; round < 40; round++) {
            for (const entry of jobs.activeEntries) {
                expect(estimateJob({ entry, queue, durations, wallMs: 3000 })).toMatchObject(
                    sumUp(entry, durations),
                );
                const [position] = openSteps(entry).flatMap(open => [...openPositions(entry, open)]);
                if (position !== undefined && random.chance(0.7)) {
                    jobs.claim(entry, position, "w0", 1, 0);
                }
            }
            for (const record of [...jobs.runs.values()].filter(() => random.chance(0.5))) {
                const how = random.chance(0.8) ? RunEnd.Done : RunEnd.Lost;
                durations.record("q", 300 + random.int(2000), record.step.estimateMs);
                jobs.end(record, { how }, 3, 0);
            }
        }
        expect(jobs.activeEntries.size).toBeLessThan(20);
    });
});
