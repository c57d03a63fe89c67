/**
 * An owner in a process of its own, with the heap of the deploy file, beside jobs of many tasks and many jobs of one task: whether a
 * process ends, how late small jobs of others start, how long it takes until a start after all entries were killed, and what
 * a change of one task costs.
 */
import { setTimeout as pause } from "node:timers/promises";
import { idOf } from "../../soak/jobs.js";
import { type AcceptedJob, encodeJob, type JobSpec } from "../../src/job/index.js";
import { JobRegistry } from "../../src/pool/job-registry.js";
import { defaultJobParts, jobKey } from "../../src/pool/job-rows.js";
import { openPositions, openSteps } from "../../src/pool/open-steps.js";
import { jobOf } from "../../standin/site/site.js";
import { DeployedSite } from "../deployed-site.js";
import { type Figures, type Measure, quantile, round } from "../measure.js";

const needs = { cpu: 500, memory: 50, accelerators: 0 };
const workMs = 300;
const smallJobs = 20;
const smallGapMs = 250;
const firstSmall = 1_000_000;
const startLimitMs = 15_000;
const settleMs = 1500;
const small = jobOf({ tasks: 2, needs, estimateMs: workMs });

/** What the owner has beside the small jobs. */
interface Load {
    readonly name: string;
    readonly jobs: number;
    readonly spec: JobSpec;
    /** Whether the jobs are in the store before the first entry starts. */
    readonly isStoredBefore: boolean;
}

const stepsOf = (steps: number, tasks: number): JobSpec =>
    jobOf(...Array.from({ length: steps }, () => ({ tasks, needs, estimateMs: workMs })));

const loads: readonly Load[] = [
    { name: "none", jobs: 0, spec: small, isStoredBefore: false },
    { name: "one_job_of_640000_tasks", jobs: 1, spec: stepsOf(64, 10_000), isStoredBefore: false },
    { name: "12_jobs_of_50000_tasks", jobs: 12, spec: stepsOf(5, 10_000), isStoredBefore: false },
    { name: "200000_stored_jobs_of_one_task", jobs: 200_000, spec: stepsOf(1, 1), isStoredBefore: true },
];

async function play({ name, jobs, spec, isStoredBefore }: Load): Promise<Figures> {
    const site = await DeployedSite.create({ entries: 3, workers: 6 });
    try {
        if (isStoredBefore) {
            storeJobs(site, jobs, spec);
        }
        await site.startEntries();
        await pause(settleMs);
        for (let number = 0; number < jobs && !isStoredBefore; number++) {
            await site.submit(number, spec, workMs);
        }
        await pause(settleMs);
        const delays = await startDelays(site, firstSmall);
        const killedAt = performance.now();
        site.killEntries();
        const resumed = await submitUntilStarted(site, firstSmall + smallJobs, startLimitMs);
        return {
            [`${name}_start_p50_ms`]: round(quantile(delays, 0.5)),
            [`${name}_start_p95_ms`]: round(quantile(delays, 0.95)),
            [`${name}_start_after_kill_ms`]: round((resumed ?? killedAt + startLimitMs) - killedAt),
            [`${name}_own_ends`]: site.ownEnds.length,
        };
    }
    finally {
        await site.end();
    }
}

function storeJobs({ platform }: DeployedSite, jobs: number, spec: JobSpec): void {
    for (let number = 0; number < jobs; number++) {
        const id = idOf(number);
        platform.expectJob(id, spec, { workMs });
        const job = { id, queue: "r1", team: "", acceptedAtMs: Date.now(), spec };
        platform.rows.write(jobKey(id, defaultJobParts), encodeJob(job));
    }
}

/** Times from the hand-in of small jobs to their first start; the limit for one that was not started or not accepted. */
async function startDelays(site: DeployedSite, first: number): Promise<readonly number[]> {
    const handedIn: number[] = [];
    for (let i = 0; i < smallJobs; i++) {
        handedIn.push(performance.now());
        await site.submit(first + i, small, workMs);
        await pause(smallGapMs);
    }
    const isStarted = (): boolean => handedIn.every((_, i) => site.startedAt(first + i) !== undefined);
    await site.waitUntil(isStarted, startLimitMs);
    return handedIn.map((at, i) => (site.startedAt(first + i) ?? at + startLimitMs) - at);
}

/** Hands a small job in until it is accepted; returns the time of its first start. */
async function submitUntilStarted(
    site: DeployedSite,
    number: number,
    limitMs: number,
): Promise<number | undefined> {
    await site.waitUntil(async () => await site.submit(number, small, workMs) === 200, limitMs);
    await site.waitUntil(() => site.startedAt(number) !== undefined, limitMs);
    return site.startedAt(number);
}

/** Time of one start of a task, from the open steps to the claim, in microseconds: the median of several passes. */
function startCostUs(tasks: number): number {
    const passes = Array.from({ length: 201 }, () => {
        const jobs = JobRegistry.create();
        const job: AcceptedJob = { id: "j", queue: "q", team: "", acceptedAtMs: 0, spec: stepsOf(1, tasks) };
        const entry = jobs.accept(job);
        const startedAt = performance.now();
        for (let i = 0; i < 10; i++) {
            const [open] = openSteps(entry);
            const [position] = openPositions(entry, open!);
            jobs.claim(entry, position!, "w", 1, 0);
        }
        return (performance.now() - startedAt) * 100;
    });
    return quantile(passes, 0.5);
}

/** The measurement. */
export const largeJobs: Measure = {
    name: "large-jobs",
    isVirtual: false,
    run: async () => {
        startCostUs(10);
        const [few, many] = [startCostUs(10), startCostUs(10_000)];
        let figures: Figures = {
            start_cost_10_tasks_us: round(few),
            start_cost_10000_tasks_us: round(many),
            start_cost_ratio: round(many / few),
        };
        for (const load of loads) {
            figures = { ...figures, ...await play(load) };
        }
        const ratios = loads.slice(1).map(({ name }) => [
            `${name}_start_ratio`,
            round(figures[`${name}_start_p50_ms`]! / figures["none_start_p50_ms"]!),
        ]);
        return { ...figures, ...Object.fromEntries(ratios) as Figures };
    },
};
