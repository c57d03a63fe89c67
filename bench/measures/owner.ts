/** The owner of a site's pools: starts on a calm day, changes of owner, caps, and what a round of placing costs. */
import { encodeState, initialState, TaskTable } from "../../src/job/index.js";
import { DurationEstimator } from "../../src/pool/duration-estimator.js";
import { JobRegistry } from "../../src/pool/job-registry.js";
import { planStarts } from "../../src/pool/plan-starts.js";
import { WorkerRegistry } from "../../src/pool/worker-registry.js";
import { EventId } from "../../src/process/events.js";
import { jobOf, queueOf, StandinSite } from "../../standin/site/site.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";
import { takeovers } from "./takeover.js";

const lists = { version: 1, queues: [{}] };
const calmJobs = 200;
const failovers = 10;

/** Times from the hand-in to the first start, with room. */
async function starts(seed: number): Promise<Figures> {
    const site = StandinSite.create({ seed, entries: 9, vmsPerPool: 8 });
    await site.start(lists);
    const before = site.rows.callCount;
    const delays: number[] = [];
    for (let i = 0; i < calmJobs; i++) {
        const at = site.timer.now();
        const entry = site.entries[i % site.entries.length]!;
        const answer = site.submit(entry, `j${i}`, jobOf({ tasks: 2 }), { workMs: 300 });
        const started = site.checker.startCount;
        for (let ms = 0; ms < 1000 && site.checker.startCount === started; ms += 1) {
            await site.timer.advance(1);
        }
        delays.push(site.timer.now() - at);
        await answer;
        await site.timer.advance(200);
    }
    return {
        first_start_p50_ms: round(quantile(delays, 0.5)),
        first_start_p95_ms: round(quantile(delays, 0.95)),
        store_calls_per_job: round((site.rows.callCount - before) / calmJobs),
        breaches: site.checker.violations.length,
    };
}

/** Time until orders are given again after the owner was killed, and runs that lapsed meanwhile. */
async function changes(seed: number): Promise<Figures> {
    const times: number[] = [];
    let again = 0;
    for (let i = 0; i < failovers; i++) {
        const site = StandinSite.create({ seed: seed + i, entries: 5 });
        await site.start(lists);
        await site.runUntilSettled(
            site.submit(site.entries[0]!, "long", jobOf({ tasks: 8 }), { workMs: 6000 }),
        );
        await site.timer.advance(300 + 37 * i);
        const owner = site.owner()!;
        const at = site.timer.now();
        site.kill(owner);
        const isReady = (): boolean =>
            site.entries.some(({ core, log }) =>
                core.domain.tenure?.isReady === true
                && log.some(line => line.event === EventId.OwnerLoaded && line.at > at)
            );
        while (!isReady() && site.timer.now() < at + 10_000) {
            await site.timer.advance(10);
        }
        times.push(site.timer.now() - at);
        await site.timer.advance(8000);
        again += site.checker.startCount - 8 + site.checker.violations.length;
    }
    return { change_after_kill_max_ms: round(Math.max(...times)), runs_started_again: again };
}

/** Processor time of one round of placing with nothing to place, by waiting jobs and workers. */
function costs(): Figures {
    const figures: Record<string, number> = {};
    for (
        const [jobCount, workerCount] of [[100, 12], [400, 12], [1600, 12], [400, 50], [400, 190]] as const
    ) {
        const jobs = JobRegistry.create();
        for (let i = 0; i < jobCount; i++) {
            const spec = jobOf({ tasks: 6, needs: { cpu: 64_000, memory: 1, accelerators: 0 } });
            jobs.accept({ id: `j${i}`, queue: "q", team: "", acceptedAtMs: i, spec });
        }
        const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
        workers.update(
            Array.from({ length: workerCount }, (_, i) => ({
                id: `w${i}`,
                pool: "bench",
                address: "",
                zone: "",
                labels: [],
                capacity: { cpu: 32_000, memory: 128_000, accelerators: 0 },
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
        const queue = queueOf({ objectiveMs: 500 });
        const directory = {
            version: 1,
            queues: [queue],
            pools: new Map(),
            teams: new Map(),
            keys: new Map(),
        };
        const view = {
            jobs,
            workers: [...workers.byId.values()],
            directory,
            durations: DurationEstimator.create(),
            ticketsFor: () => undefined,
            now: 0,
            wallMs: 100,
            limit: 64,
        };
        const times = Array.from({ length: 15 }, () => {
            const before = process.cpuUsage();
            planStarts(view);
            const used = process.cpuUsage(before);
            return (used.user + used.system) / 1000;
        });
        figures[`round_${jobCount}_jobs_${workerCount}_workers_ms`] = round(quantile(times, 0.2));
    }
    const job = { id: "j", queue: "q", team: "", acceptedAtMs: 0, spec: jobOf({ tasks: 100 }) };
    const state = initialState(job);
    const claimed = new Map([...state.tasks].map((task, position) => [
        position,
        { ...task, run: 1, worker: "i-0123456789", workerStartedAt: 1e12 },
    ]));
    const tasks = TaskTable.create(state.tasks.layout, 1, claimed);
    const bytes = encodeState({ ...state, tasks }).length;
    return { ...figures, progress_bytes_per_task: round(bytes / claimed.size) };
}

/** The measurement. */
export const owner: Measure = {
    name: "owner",
    isVirtual: true,
    run: async ({ seed }) => ({
        ...await starts(seed),
        ...await changes(seed),
        ...await takeovers(seed),
        ...costs(),
    }),
};
