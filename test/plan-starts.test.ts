/** Planning of starts under the load of a burst: hundreds of jobs wait for a pool that has room for a few of them. */
import { describe, expect, test } from "vitest";
import { RunEnd } from "../src/job/index.js";
import { DurationEstimator } from "../src/pool/duration-estimator.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { openPositions, openSteps } from "../src/pool/open-steps.js";
import { planStarts } from "../src/pool/plan-starts.js";
import { freeResources, WorkerRegistry } from "../src/pool/worker-registry.js";
import { Random } from "../src/process/random.js";
import { addResources, fitsInto } from "../src/process/resources.js";
import { jobOf, queueOf } from "../standin/site/site.js";

const capacity = { cpu: 32_000, memory: 128_000, accelerators: 0 };

function burstOf(seed: number, jobCount: number, workerCount: number) {
    const random = Random.create(seed);
    const jobs = JobRegistry.create();
    for (let i = 0; i < jobCount; i++) {
        const kind = random.int(8);
        const spec = jobOf({
            tasks: 1 + random.int(12),
            needs: { cpu: 1000 + random.int(20_000), memory: random.int(60_000), accelerators: 0 },
            isGang: kind === 0,
            perWorker: kind === 1 ? 1 : 0,
            ...(kind === 2 && { label: "gold" }),
        });
        jobs.accept({ id: `j${i}`, queue: "q", team: "", acceptedAtMs: i, spec });
    }
    const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
    workers.update(
        Array.from({ length: workerCount }, (_, i) => ({
            id: `w${i}`,
            pool: "bench",
            address: "",
            zone: "",
            labels: i % 5 === 0 ? ["gold"] : [],
            capacity,
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
    return {
        jobs,
        registry: workers,
        workers: [...workers.byId.values()],
        directory: {
            version: 1,
            queues: [queueOf()],
            pools: new Map(),
            teams: new Map(),
            keys: new Map(),
        },
        durations: DurationEstimator.create(),
        ticketsFor: () => undefined,
        now: 0,
        wallMs: jobCount,
        limit: 10_000,
    };
}

describe("a plan of starts in a burst", () => {
    test.each([1, 2, 3, 4, 5, 6])(
        "leaves no task waiting for which a worker has room, and exceeds no worker (seed %i)",
        seed => {
            const view = burstOf(seed, 200, 12);
            const free = new Map(view.workers.map(worker => [worker.id, freeResources(worker)]));
            const placed = new Set<string>();
            const plan = planStarts(view);
            for (const { entry, taskIndex, worker } of plan) {
                const step = entry.job.spec.steps[0]!;
                free.set(worker.id, addResources(free.get(worker.id)!, step.needs, -1));
                placed.add(`${entry.job.id}/${taskIndex}`);
            }
            expect(plan.length).toBeGreaterThan(12);
            for (const amount of free.values()) {
                expect(fitsInto({ cpu: 0, memory: 0, accelerators: 0 }, amount)).toBe(true);
            }
            for (const entry of view.jobs.activeEntries) {
                const step = entry.job.spec.steps[0]!;
                const usesAnyWorker = !step.isGang && step.perWorker === 0 && step.label === undefined;
                const waits = usesAnyWorker
                    && openSteps(entry).flatMap(open => [...openPositions(entry, open)])
                        .some(at => !placed.has(`${entry.job.id}/${at}`));
                const hasRoom = [...free.values()].some(amount => fitsInto(step.needs, amount));
                expect(waits && hasRoom).toBe(false);
            }
        },
    );

    test("does not look at the workers again for each of many equal tasks that have no room", () => {
        const view = burstOf(1, 0, 90);
        let looks = 0;
        const workers = view.workers.map(worker =>
            new Proxy(worker, {
                get: (target, name) => {
                    looks += name === "id" ? 1 : 0;
                    return Reflect.get(target, name) as unknown;
                },
            })
        );
        for (let i = 0; i < 400; i++) {
            const spec = jobOf({ tasks: 8, needs: { cpu: 30_000, memory: 1, accelerators: 0 } });
            view.jobs.accept({ id: `j${i}`, queue: "q", team: "", acceptedAtMs: i, spec });
        }
        expect(planStarts({ ...view, workers })).toHaveLength(90);
        const jobCount = 400;
        expect(looks).toBeLessThan(jobCount * workers.length / 4);
    });

    test.each([1, 2, 3, 4, 5, 6])(
        "starts the same tasks on the same workers as one that ranks and tries every waiting job (seed %i)",
        seed => {
            const random = Random.create(seed);
            const view = burstOf(seed, 150, 12);
            const triesAll = { order: <T>({ ranked }: { readonly ranked: readonly T[] }) => ranked };
            const sketch = (plan: ReturnType<typeof planStarts>) =>
                plan.map(({ entry, taskIndex, worker }) => `${entry.job.id}/${taskIndex} ${worker.id}`);
            let started = 0;
            for (let round = 0; round < 30; round++) {
                const limit = 1 + random.int(12);
                const plan = planStarts({ ...view, limit });
                expect(sketch(plan)).toEqual(sketch(planStarts({ ...view, limit, fairShares: triesAll })));
                started += plan.length;
                for (const { entry, taskIndex, worker } of plan) {
                    const record = view.jobs.claim(entry, taskIndex, worker.id, 1, 0);
                    view.registry.addRun(record);
                }
                for (const record of [...view.jobs.runs.values()].filter(() => random.chance(0.2))) {
                    view.registry.removeRun(record);
                    view.jobs.end(record, { how: random.chance(0.8) ? RunEnd.Done : RunEnd.Lost }, 3, 0);
                }
            }
            expect(started).toBeGreaterThan(100);
        },
    );
});
