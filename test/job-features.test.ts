/**
 * Gangs, schedules, advice and task limits on a simulated site; placement, pacing, urgency and leases as units; the
 * encoding of stored jobs; and the rate limit of the log.
 */
import { describe, expect, test } from "vitest";
import { initialState, type JobSpec, type StepSpec, Suspicion } from "../src/job/index.js";
import { claimTask, decodeJob, decodeState, encodeJob, encodeState } from "../src/job/index.js";
import { DurationEstimator } from "../src/pool/duration-estimator.js";
import { JobRegistry } from "../src/pool/job-registry.js";
import { LeaseClock } from "../src/pool/lease.js";
import { planPaceChanges } from "../src/pool/pacing.js";
import { chooseWorker, type SuspectCounts } from "../src/pool/placement.js";
import { type ListedWorker } from "../src/pool/ports.js";
import { type RunRecord, StartStatus } from "../src/pool/records.js";
import { compareRankedJobs, estimateJob, Urgency } from "../src/pool/urgency.js";
import { freeResources, WorkerRegistry, type WorkerState } from "../src/pool/worker-registry.js";
import { EventId, Severity } from "../src/process/events.js";
import { LineLog } from "../src/process/line-log.js";
import { Metrics } from "../src/process/metrics.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import type { Queue } from "../src/version/directory.js";
import { jobOf, queueOf, StandinSite, stepOf } from "../standin/site/site.js";

const baseLists = { version: 1, queues: [{}] };

async function startSite(queue: Partial<Queue> = {}, caps = {}): Promise<StandinSite> {
    const site = StandinSite.create();
    await site.start({ ...baseLists, queues: [queue], caps });
    return site;
}

/** Returns the phase of a job, after checking that no invariant of the site was violated. */
async function checkedPhaseOf(site: StandinSite, id: string): Promise<string> {
    expect(site.checker.violations).toEqual([]);
    return site.runUntilSettled(site.phaseOf(site.entries[0]!, id));
}

describe("a gang", () => {
    test("starts all its members under one run number and succeeds when the first of them does", async () => {
        const site = await startSite();
        await site.runUntilSettled(site.submit(site.entries[0]!, "g", jobOf({ tasks: 5, isGang: true })));
        await site.timer.advance(1500);
        expect(await checkedPhaseOf(site, "g")).toBe("succeeded");
        expect(site.checker.startCount).toBe(5);
    });

    test("waits until there is capacity for all its members", async () => {
        const site = await startSite();
        const needs = { cpu: 20_000, memory: 1, accelerators: 0 };
        const spec = { tasks: 3, isGang: true, needs: needs };
        await site.runUntilSettled(site.submit(site.entries[0]!, "g1", jobOf(spec), { workMs: 1000 }));
        await site.runUntilSettled(site.submit(site.entries[0]!, "g2", jobOf(spec), { workMs: 1000 }));
        await site.timer.advance(500);
        expect(site.workers.reduce((sum, { running }) => sum + running.size, 0)).toBe(3);
        await site.timer.advance(3000);
        expect([await checkedPhaseOf(site, "g1"), await checkedPhaseOf(site, "g2")]).toEqual([
            "succeeded",
            "succeeded",
        ]);
    });

    test("is restarted as a whole when one member is lost", async () => {
        const site = await startSite();
        const needs = { cpu: 20_000, memory: 1, accelerators: 0 };
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "g", jobOf({ tasks: 3, isGang: true, needs }), { workMs: 2000 }),
        );
        await site.timer.advance(600);
        site.crash(site.workers.find(({ running }) => running.size > 0)!, 200);
        await site.timer.advance(8000);
        expect(await checkedPhaseOf(site, "g")).toBe("succeeded");
    });
});

describe("a scheduled job", () => {
    test("runs each occurrence when it is due, and not earlier", async () => {
        const site = await startSite();
        const firstAtMs = site.timer.wall() + 1000;
        const spec: JobSpec = { ...jobOf({ tasks: 2 }), schedule: { count: 3, firstAtMs, intervalMs: 1000 } };
        await site.runUntilSettled(site.submit(site.entries[0]!, "s", spec, { workMs: 100 }));
        await site.timer.advance(900);
        expect(site.checker.startCount).toBe(0);
        await site.timer.advance(400);
        expect(site.checker.startCount).toBe(2);
        await site.timer.advance(3000);
        expect(site.checker.startCount).toBe(6);
        expect(await checkedPhaseOf(site, "s")).toBe("succeeded");
    });
});

describe("a queue that requires advice", () => {
    test("starts its tasks only on workers that the adviser allows, and queries the adviser once per step", async () => {
        const site = await startSite({ needsAdvice: true });
        const allowed = site.workers[2]!.id;
        site.adviser.allows = (_, worker) => worker === allowed;
        await site.runUntilSettled(site.submit(site.entries[0]!, "a", jobOf({ tasks: 4 }), { workMs: 1000 }));
        await site.timer.advance(500);
        expect(site.workers.filter(({ running }) => running.size > 0).map(({ id }) => id)).toEqual([allowed]);
        await site.timer.advance(1500);
        expect(await checkedPhaseOf(site, "a")).toBe("succeeded");
        expect(site.adviser.calls.map(({ step }) => step)).toEqual(["a.0.0"]);
    });
});

describe("the task limit per worker", () => {
    test("of a step bounds the number of its tasks on each worker", async () => {
        const site = await startSite();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "s", jobOf({ tasks: 8, perWorker: 2 }), { workMs: 1000 }),
        );
        await site.timer.advance(300);
        expect(site.workers.map(({ running }) => running.size)).toEqual([2, 2, 2, 2]);
    });
});

describe("placement", () => {
    const listedWorker = (id: string, overrides: Partial<ListedWorker> = {}): ListedWorker => ({
        id,
        pool: "bench",
        address: id,
        zone: "z",
        labels: ["a", "r1"],
        capacity: { cpu: 8000, memory: 8000, accelerators: 0 },
        isDraining: false,
        remainingMs: 0,
        startedAtMs: 1,
        report: 1,
        ...overrides,
    });

    function chooseWorkerId(
        step: Partial<StepSpec>,
        workers: readonly WorkerState[],
        failedOn: readonly string[] = [],
        suspicion = Suspicion.None,
        suspects: Readonly<Record<string, SuspectCounts>> = {},
    ) {
        const candidates = workers.map(worker => ({
            worker,
            free: freeResources(worker),
            sameStepTasks: 0,
            untested: 0,
            lastChances: 0,
            untestedLastChances: 0,
            ...suspects[worker.id],
        }));
        const placeable = {
            step: stepOf(step),
            failedOn: new Set(failedOn),
            preferredRack: undefined,
            suspicion,
        };
        return chooseWorker(placeable, candidates)?.id;
    }

    function registerWorkers(...listedWorkers: readonly ListedWorker[]): readonly WorkerState[] {
        const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
        workers.update(listedWorkers, 0);
        return [...workers.byId.values()];
    }

    test("keeps tasks under which workers were lost apart, and the last chance of one away from all others", () => {
        const workers = registerWorkers(listedWorker("w1"), listedWorker("w2"));
        workers[0]!.reserved = { cpu: 4000, memory: 0, accelerators: 0 };
        const untested = { w1: { untested: 1, lastChances: 0, untestedLastChances: 0 } };
        const lastChance = { w1: { untested: 0, lastChances: 1, untestedLastChances: 0 } };
        const untestedBoth = { ...untested, w2: { untested: 2, lastChances: 0, untestedLastChances: 0 } };
        expect(chooseWorkerId({}, workers, [], Suspicion.None, untested)).toBe("w1");
        expect(chooseWorkerId({}, workers, [], Suspicion.None, lastChance)).toBe("w2");
        expect(chooseWorkerId({}, workers, [], Suspicion.Suspect, untested)).toBe("w2");
        expect(chooseWorkerId({}, workers, [], Suspicion.Suspect, untestedBoth)).toBe("w1");
        expect(chooseWorkerId({}, workers, [], Suspicion.LastChance, untestedBoth)).toBeUndefined();
        expect(chooseWorkerId({ isGang: true }, workers, [], Suspicion.LastChance, untestedBoth)).toBe("w1");
        const lastTest = { untested: 1, lastChances: 1, untestedLastChances: 1 };
        expect(chooseWorkerId({}, workers, [], Suspicion.Suspect, { w1: lastTest, w2: lastTest }))
            .toBeUndefined();
    });

    test("packs short tasks, so that other workers become idle", () => {
        const workers = registerWorkers(listedWorker("w1"), listedWorker("w2"));
        workers[1]!.reserved = { cpu: 4000, memory: 0, accelerators: 0 };
        expect(chooseWorkerId({}, workers)).toBe("w2");
    });

    test("places services, unlike short tasks, on workers whose VMs are not due for maintenance, if there are any", () => {
        const workers = registerWorkers(listedWorker("w1"), listedWorker("w2"));
        workers[0]!.isMaintenanceDue = true;
        expect(chooseWorkerId({ isService: true }, workers)).toBe("w2");
        expect(chooseWorkerId({}, workers)).toBe("w1");
        expect(chooseWorkerId({ isService: true }, workers.slice(0, 1))).toBe("w1");
    });

    test("prefers the rack of the data, and falls back to another when that is full", () => {
        const workers = registerWorkers(listedWorker("w1"), listedWorker("w2", { labels: ["a", "r2"] }));
        expect(chooseWorkerId({ dataRack: "r2" }, workers)).toBe("w2");
        workers[1]!.reserved = { cpu: 8000, memory: 0, accelerators: 0 };
        expect(chooseWorkerId({ dataRack: "r2" }, workers)).toBe("w1");
    });

    test("requires the label and the accelerators of a step", () => {
        const goldWorker = listedWorker("w2", {
            labels: ["gold"],
            capacity: { cpu: 8000, memory: 8000, accelerators: 1 },
        });
        const workers = registerWorkers(listedWorker("w1"), goldWorker);
        expect(chooseWorkerId({ label: "gold" }, workers)).toBe("w2");
        expect(chooseWorkerId({ needs: { cpu: 1, memory: 1, accelerators: 1 } }, workers)).toBe("w2");
        expect(chooseWorkerId({ label: "silver" }, workers)).toBeUndefined();
    });

    test("avoids a worker on which the task failed, and a slow one, unless no other has capacity", () => {
        const workers = registerWorkers(listedWorker("w1"), listedWorker("w2"));
        expect(chooseWorkerId({}, workers, ["w1"])).toBe("w2");
        expect(chooseWorkerId({}, workers, ["w1", "w2"])).toBe("w1");
        workers[0]!.slowdownFactor = 5;
        expect(chooseWorkerId({}, workers)).toBe("w2");
        expect(chooseWorkerId({}, workers.slice(0, 1))).toBe("w1");
    });
});

describe("best-effort runs that share a worker with a service", () => {
    function createRunRecords(tailMs: number, pacePercent: number): RunRecord[] {
        const jobs = JobRegistry.create();
        const steps = [stepOf({ isService: true, tailTargetMs: 100 }), stepOf({ isBestEffort: true })];
        const spec: JobSpec = { payload: "", steps };
        const entry = jobs.accept({ id: "j", queue: "q", team: "", acceptedAtMs: 0, spec });
        return [0, 1].map(at => {
            const record = jobs.claim(entry, at, "w", 1, 0);
            record.start = StartStatus.Confirmed;
            record.lastReading = at === 0 ? tailMs : 0;
            record.pacePercent = at === 0 ? 100 : pacePercent;
            return record;
        });
    }

    test.each([
        ["are paused when its tail latency exceeds the target", 120, 100, [0]],
        ["are slowed to half their pace when its tail latency is near the target", 85, 100, [50]],
        ["keep their pace while its tail latency is between the thresholds", 70, 40, []],
        ["are sped up in steps when its tail latency has fallen", 30, 40, [50]],
        ["stay at full pace while its tail latency is low", 30, 100, []],
    ])("%s", (_, reading, pace, expected) => {
        expect(planPaceChanges(createRunRecords(reading, pace)).map(({ percent }) => percent)).toEqual(
            expected,
        );
    });
});

describe("the order of waiting jobs in a burst", () => {
    const queue = queueOf({ objectiveMs: 500 });

    /**
     * Simulates a burst at five times the capacity: 50 jobs per second of 1 to 5 tasks each for 4 s, at 30 tasks per
     * second. Returns the number of jobs that meet their objective.
     */
    function countJobsOnTime(compare: typeof compareRankedJobs): number {
        const jobs = JobRegistry.create();
        const durations = DurationEstimator.create();
        const finishedTasks = new Map<string, number>();
        let jobCount = 0;
        let onTimeCount = 0;
        for (let wallMs = 0; wallMs < 12_000; wallMs += 100) {
            for (let i = 0; i < 5 && wallMs < 4000; i++, jobCount++) {
                const spec = jobOf({ tasks: 1 + jobCount % 5, estimateMs: 1000 });
                jobs.accept({ id: `j${jobCount}`, queue: "q", team: "", acceptedAtMs: wallMs, spec });
            }
            const ranked = [...jobs.activeEntries].map(entry => ({
                entry,
                estimate: estimateJob({ entry, queue, durations, wallMs }),
                priority: 0,
            })).sort(compare);
            let freeTaskSlots = 3;
            for (const { entry, estimate } of ranked) {
                const remainingTasks = entry.state.tasks.length - (finishedTasks.get(entry.job.id) ?? 0);
                const servedTasks = Math.min(freeTaskSlots, remainingTasks);
                freeTaskSlots -= servedTasks;
                finishedTasks.set(entry.job.id, (finishedTasks.get(entry.job.id) ?? 0) + servedTasks);
                entry.hasStarted ||= servedTasks > 0;
                if (servedTasks === remainingTasks) {
                    onTimeCount += wallMs + 1000 <= estimate.objectiveAtMs ? 1 : 0;
                    jobs.cancel(entry, wallMs);
                }
            }
        }
        return onTimeCount;
    }

    test("meets the objective of more than 1.5 times as many jobs as first come, first served", () => {
        const byArrival = countJobsOnTime((a, b) => a.entry.job.acceptedAtMs - b.entry.job.acceptedAtMs);
        const byUrgency = countJobsOnTime(compareRankedJobs);
        expect(byUrgency).toBeGreaterThan(byArrival * 1.5);
    });

    test("ranks late jobs behind jobs that can be on time, and jobs beyond their team's share behind both", () => {
        const jobs = JobRegistry.create();
        const durations = DurationEstimator.create();
        const urgencyOf = (id: string, acceptedAtMs: number, exceedsTeamShare = false) => {
            const job = { id, queue: "q", team: "", acceptedAtMs, spec: jobOf({ estimateMs: 1000 }) };
            const entry = jobs.accept(job, { exceedsTeamShare: exceedsTeamShare });
            return estimateJob({ entry, queue, durations, wallMs: 10_000 }).urgency;
        };
        expect(urgencyOf("new", 10_000)).toBe(Urgency.OnTime);
        expect(urgencyOf("late", 7000)).toBe(Urgency.Late);
        expect(urgencyOf("old", 1000)).toBe(Urgency.Overdue);
        expect(urgencyOf("excess", 10_000, true)).toBe(Urgency.BeyondShare);
    });
});

describe("leases", () => {
    test("last on the local clock at least as long as on a worker's slow clock", () => {
        const lease = LeaseClock.create();
        lease.recordClock(1000, 50);
        expect(lease.grant(3000, 50)).toBe(4000);
        expect(lease.latestEnd()).toBeGreaterThanOrEqual(50 + 3000 / 0.98);
        expect(lease.latestEnd()).toBeLessThan(50 + 3200);
    });

    test("of earlier owners are bounded by the inherited expiry, which can be lowered", () => {
        const lease = LeaseClock.create(9000);
        expect(lease.latestEnd()).toBe(9000);
        lease.tightenInheritedBound(4000);
        expect(lease.latestEnd()).toBe(4000);
    });
});

describe("stored rows", () => {
    test("of a job and its state decode to what was encoded", () => {
        const spec: JobSpec = {
            payload: "text",
            steps: [
                stepOf({
                    tasks: 2,
                    label: "gold",
                    dataRack: "r1",
                    perWorker: 1,
                    savesProgress: true,
                    image: "i",
                }),
                stepOf({ after: [0], isService: true, disruptionBudget: 1, tailTargetMs: 40, mayCopy: true }),
            ],
            schedule: { count: 2, firstAtMs: 5, intervalMs: 7 },
        };
        const job = { id: "j", queue: "q", team: "t", acceptedAtMs: 3, spec };
        expect(decodeJob("j", encodeJob(job))).toEqual({ kind: "valid", value: job });
        const unscheduledJob = { ...job, spec: { payload: "text", steps: spec.steps } };
        const state = claimTask(unscheduledJob, initialState(unscheduledJob), 1, {
            worker: "w",
            workerStartedAt: 9,
        });
        expect(decodeState(unscheduledJob, encodeState(state))).toEqual(state);
    });

    test.each(["", "{}", "null", '{"s":"running","t":[[0,9,9,0,1,0,"",0,""]]}'])(
        "that are malformed (%s) decode to undefined",
        text => {
            const job = { id: "j", queue: "q", team: "", acceptedAtMs: 0, spec: jobOf({}) };
            expect(decodeJob("j", text).kind).toBe("refused");
            expect(decodeState(job, text)).toBeUndefined();
        },
    );
});

describe("the log", () => {
    test("drops and counts lines beyond its rate or behind a slow reader, and logs the count later", () => {
        const timer = VirtualTimer.create();
        const lines: string[] = [];
        const sink = { writableLength: 0, write: (text: string) => lines.push(text) };
        const metrics = Metrics.create();
        const log = LineLog.create({ entry: "e", sink, timer, metrics, linesPerSecond: 10 });
        for (let i = 0; i < 80; i++) {
            log.write(Severity.Info, EventId.RunEnded, { task: `t${i}` });
        }
        expect(lines).toHaveLength(50);
        expect(metrics.read("celerywind_log_lines_dropped_total")).toBe(30);
        timer.advanceSync(1000);
        log.write(Severity.Info, EventId.RunEnded, { task: "next" });
        expect(JSON.parse(lines[50]!)).toMatchObject({ event: 2701, lines: 30 });
        sink.writableLength = 1_000_000;
        log.write(Severity.Info, EventId.RunEnded, { task: "lost" });
        expect(lines).toHaveLength(52);
    });
});
