import { describe, expect, test } from "vitest";
import { initialState, type JobSpec, type StepSpec } from "../src/job/index.js";
import { claimTask, decodeJob, decodeState, encodeJob, encodeState } from "../src/job/index.js";
import { DurationEstimator } from "../src/pool/duration-estimator.js";
import { JobRegistry, type RunRecord, StartStatus } from "../src/pool/job-registry.js";
import { LeaseClock } from "../src/pool/lease.js";
import { planPaceChanges } from "../src/pool/pacing.js";
import { chooseWorker } from "../src/pool/placement.js";
import { type ListedWorker } from "../src/pool/ports.js";
import { compareRankedJobs, estimateJob, Urgency } from "../src/pool/urgency.js";
import { freeResources, WorkerRegistry, type WorkerState } from "../src/pool/worker-registry.js";
import { EventId, Severity } from "../src/process/events.js";
import { LineLog } from "../src/process/line-log.js";
import { Metrics } from "../src/process/metrics.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import type { Queue } from "../src/version/directory.js";
import { jobOf, queueOf, StandinSite, stepOf } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };

async function siteWith(queue: Partial<Queue> = {}, caps = {}): Promise<StandinSite> {
    const site = StandinSite.create();
    await site.start({ ...lists, queues: [queue], caps });
    return site;
}

async function phase(site: StandinSite, id: string): Promise<string> {
    expect(site.checker.violations).toEqual([]);
    return site.runUntilSettled(site.phaseOf(site.entries[0]!, id));
}

describe("a gang", () => {
    test("starts all its members under one run number and succeeds with the first of them", async () => {
        const site = await siteWith();
        await site.runUntilSettled(site.submit(site.entries[0]!, "g", jobOf({ tasks: 5, isGang: true })));
        await site.timer.advance(1500);
        expect(await phase(site, "g")).toBe("succeeded");
        expect(site.checker.startCount).toBe(5);
    });

    test("waits until there is room for all of it", async () => {
        const site = await siteWith();
        const half = { cpu: 20_000, memory: 1, accelerators: 0 };
        const spec = { tasks: 3, isGang: true, needs: half };
        await site.runUntilSettled(site.submit(site.entries[0]!, "g1", jobOf(spec), { workMs: 1000 }));
        await site.runUntilSettled(site.submit(site.entries[0]!, "g2", jobOf(spec), { workMs: 1000 }));
        await site.timer.advance(500);
        expect(site.workers.reduce((sum, { running }) => sum + running.size, 0)).toBe(3);
        await site.timer.advance(3000);
        expect([await phase(site, "g1"), await phase(site, "g2")]).toEqual(["succeeded", "succeeded"]);
    });

    test("starts anew as a whole when one member is lost", async () => {
        const site = await siteWith();
        const needs = { cpu: 20_000, memory: 1, accelerators: 0 };
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "g", jobOf({ tasks: 3, isGang: true, needs }), { workMs: 2000 }),
        );
        await site.timer.advance(600);
        site.crash(site.workers.find(({ running }) => running.size > 0)!, 200);
        await site.timer.advance(8000);
        expect(await phase(site, "g")).toBe("succeeded");
    });
});

describe("a scheduled job", () => {
    test("runs each occurrence when it is due, never before", async () => {
        const site = await siteWith();
        const firstAtMs = site.timer.wall() + 1000;
        const spec: JobSpec = { ...jobOf({ tasks: 2 }), schedule: { count: 3, firstAtMs, intervalMs: 1000 } };
        await site.runUntilSettled(site.submit(site.entries[0]!, "s", spec, { workMs: 100 }));
        await site.timer.advance(900);
        expect(site.checker.startCount).toBe(0);
        await site.timer.advance(400);
        expect(site.checker.startCount).toBe(2);
        await site.timer.advance(3000);
        expect(site.checker.startCount).toBe(6);
        expect(await phase(site, "s")).toBe("succeeded");
    });
});

describe("a queue that needs advice", () => {
    test("starts its tasks only on workers that the adviser names, and asks once a step", async () => {
        const site = await siteWith({ needsAdvice: true });
        const allowed = site.workers[2]!.id;
        site.adviserAllows = (_, worker) => worker === allowed;
        await site.runUntilSettled(site.submit(site.entries[0]!, "a", jobOf({ tasks: 4 }), { workMs: 1000 }));
        await site.timer.advance(500);
        expect(site.workers.filter(({ running }) => running.size > 0).map(({ id }) => id)).toEqual([allowed]);
        await site.timer.advance(1500);
        expect(await phase(site, "a")).toBe("succeeded");
        expect(site.adviceRequests).toEqual(["a.0.0"]);
    });
});

describe("spread", () => {
    test("of a step keeps at most so many of its tasks on one worker", async () => {
        const site = await siteWith();
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "s", jobOf({ tasks: 8, perWorker: 2 }), { workMs: 1000 }),
        );
        await site.timer.advance(300);
        expect(site.workers.map(({ running }) => running.size)).toEqual([2, 2, 2, 2]);
    });
});

describe("placement", () => {
    const listed = (id: string, change: Partial<ListedWorker> = {}): ListedWorker => ({
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
        ...change,
    });

    function choose(
        step: Partial<StepSpec>,
        workers: readonly WorkerState[],
        failedOn: readonly string[] = [],
    ) {
        const candidates = workers.map(worker => ({ worker, free: freeResources(worker), sameStepTasks: 0 }));
        const placeable = { step: stepOf(step), failedOn: new Set(failedOn), preferredRack: undefined };
        return chooseWorker(placeable, candidates)?.id;
    }

    function book(...list: readonly ListedWorker[]): readonly WorkerState[] {
        const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
        workers.update(list);
        return [...workers.byId.values()];
    }

    test("packs short tasks, so that other workers fall idle", () => {
        const workers = book(listed("w1"), listed("w2"));
        workers[1]!.reserved = { cpu: 4000, memory: 0, accelerators: 0 };
        expect(choose({}, workers)).toBe("w2");
    });

    test("keeps services off workers whose VMs are due for service, short tasks not", () => {
        const workers = book(listed("w1"), listed("w2"));
        workers[0]!.isMaintenanceDue = true;
        expect(choose({ isService: true }, workers)).toBe("w2");
        expect(choose({}, workers)).toBe("w1");
        expect(choose({ isService: true }, workers.slice(0, 1))).toBe("w1");
    });

    test("prefers the rack of the data, and takes another one when that is full", () => {
        const workers = book(listed("w1"), listed("w2", { labels: ["a", "r2"] }));
        expect(choose({ dataRack: "r2" }, workers)).toBe("w2");
        workers[1]!.reserved = { cpu: 8000, memory: 0, accelerators: 0 };
        expect(choose({ dataRack: "r2" }, workers)).toBe("w1");
    });

    test("requires the label of a step, and room for accelerators", () => {
        const gold = listed("w2", {
            labels: ["gold"],
            capacity: { cpu: 8000, memory: 8000, accelerators: 1 },
        });
        const workers = book(listed("w1"), gold);
        expect(choose({ label: "gold" }, workers)).toBe("w2");
        expect(choose({ needs: { cpu: 1, memory: 1, accelerators: 1 } }, workers)).toBe("w2");
        expect(choose({ label: "silver" }, workers)).toBeUndefined();
    });

    test("avoids a worker on which the task failed, and one that is slow, unless no other has room", () => {
        const workers = book(listed("w1"), listed("w2"));
        expect(choose({}, workers, ["w1"])).toBe("w2");
        expect(choose({}, workers, ["w1", "w2"])).toBe("w1");
        workers[0]!.slowdownFactor = 5;
        expect(choose({}, workers)).toBe("w2");
        expect(choose({}, workers.slice(0, 1))).toBe("w1");
    });
});

describe("best-effort runs beside a service", () => {
    function records(reading: number, pace: number): RunRecord[] {
        const jobs = JobRegistry.create();
        const steps = [stepOf({ isService: true, tailTargetMs: 100 }), stepOf({ isBestEffort: true })];
        const spec: JobSpec = { payload: "", steps };
        const entry = jobs.accept({ id: "j", queue: "q", team: "", acceptedAtMs: 0, spec });
        return [0, 1].map(at => {
            const record = jobs.claim(entry, at, "w", 1, 0);
            record.start = StartStatus.Confirmed;
            record.lastReading = at === 0 ? reading : 0;
            record.pacePercent = at === 0 ? 100 : pace;
            return record;
        });
    }

    test.each([
        ["are stopped when its tail is over the target", 120, 100, [0]],
        ["are halved when its tail is near the target", 85, 100, [50]],
        ["are left as they are between", 70, 40, []],
        ["are let go step by step when the tail has fallen", 30, 40, [50]],
        ["are left alone while the tail is low", 30, 100, []],
    ])("%s", (_, reading, pace, expected) => {
        expect(planPaceChanges(records(reading, pace)).map(({ percent }) => percent)).toEqual(expected);
    });
});

describe("the order of waiting work in a burst", () => {
    const queue = queueOf({ objectiveMs: 500 });

    /** A burst of five times what can be done: 50 jobs of 1 to 5 tasks a second for 4 s, and 30 tasks a second done. */
    function onTime(compare: typeof compareRankedJobs): number {
        const jobs = JobRegistry.create();
        const durations = DurationEstimator.create();
        const done = new Map<string, number>();
        let count = 0;
        let met = 0;
        for (let wallMs = 0; wallMs < 12_000; wallMs += 100) {
            for (let i = 0; i < 5 && wallMs < 4000; i++, count++) {
                const spec = jobOf({ tasks: 1 + count % 5, estimateMs: 1000 });
                jobs.accept({ id: `j${count}`, queue: "q", team: "", acceptedAtMs: wallMs, spec });
            }
            const ranked = [...jobs.activeEntries].map(entry => ({
                entry,
                estimate: estimateJob({ entry, queue, durations, wallMs }),
                priority: 0,
            })).sort(compare);
            let room = 3;
            for (const { entry, estimate: outlook } of ranked) {
                const left = entry.state.tasks.length - (done.get(entry.job.id) ?? 0);
                const part = Math.min(room, left);
                room -= part;
                done.set(entry.job.id, (done.get(entry.job.id) ?? 0) + part);
                entry.hasStarted ||= part > 0;
                if (part === left) {
                    met += wallMs + 1000 <= outlook.objectiveAtMs ? 1 : 0;
                    jobs.cancel(entry, wallMs);
                }
            }
        }
        return met;
    }

    test("lets more jobs meet their objective than first come, first served", () => {
        const byArrival = onTime((a, b) => a.entry.job.acceptedAtMs - b.entry.job.acceptedAtMs);
        const byOutlook = onTime(compareRankedJobs);
        expect(byOutlook).toBeGreaterThan(byArrival * 1.5);
    });

    test("puts late work behind work that can be on time, and a team's excess behind both", () => {
        const jobs = JobRegistry.create();
        const durations = DurationEstimator.create();
        const at = (id: string, acceptedAtMs: number, isBeyondShare = false) => {
            const job = { id, queue: "q", team: "", acceptedAtMs, spec: jobOf({ estimateMs: 1000 }) };
            const entry = jobs.accept(job, { exceedsTeamShare: isBeyondShare });
            return estimateJob({ entry, queue, durations, wallMs: 10_000 }).urgency;
        };
        expect(at("new", 10_000)).toBe(Urgency.OnTime);
        expect(at("late", 7000)).toBe(Urgency.Late);
        expect(at("old", 1000)).toBe(Urgency.Overdue);
        expect(at("excess", 10_000, true)).toBe(Urgency.BeyondShare);
    });
});

describe("leases", () => {
    test("end by our clock no earlier than a worker's slow clock may end them", () => {
        const lease = LeaseClock.create();
        lease.recordClock(1000, 50);
        expect(lease.grant(3000, 50)).toBe(4000);
        expect(lease.latestEnd()).toBeGreaterThanOrEqual(50 + 3000 / 0.98);
        expect(lease.latestEnd()).toBeLessThan(50 + 3200);
    });

    test("of an earlier owner end when the trust in it and its leases have", () => {
        const lease = LeaseClock.create(9000);
        expect(lease.latestEnd()).toBe(9000);
        lease.tightenInheritedBound(4000);
        expect(lease.latestEnd()).toBe(4000);
    });
});

describe("rows", () => {
    test("of a job and its progress are read as they were written", () => {
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
        expect(decodeJob("j", encodeJob(job))).toEqual(job);
        const single = { ...job, spec: { payload: "text", steps: spec.steps } };
        const state = claimTask(single, initialState(single), 1, { worker: "w", workerStartedAt: 9 });
        expect(decodeState(single, encodeState(state))).toEqual(state);
    });

    test.each(["", "{}", "null", '{"s":"running","t":[[0,9,9,0,1,0,"",0,""]]}'])(
        "that are malformed (%s) name nothing",
        text => {
            const job = { id: "j", queue: "q", team: "", acceptedAtMs: 0, spec: jobOf({}) };
            expect(decodeJob("j", text)).toBeUndefined();
            expect(decodeState(job, text)).toBeUndefined();
        },
    );
});

describe("the log", () => {
    test("drops and counts lines beyond its rate or behind a slow reader, and says so later", () => {
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
