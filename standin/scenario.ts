/**
 * The main scenario for one shop: a mixed load, with a key withdrawn and a VM under maintenance meanwhile, and a check
 * of every invariant at the end.
 */
import { request } from "undici";
import { createHistogram, toMicros } from "../src/process/metrics.js";
import { isAvailable } from "../src/process/workers.js";
import { QueueClass } from "../src/version/schema.js";
import { CallOutcome, checkHistory, type History, type InvariantCheck } from "./history.js";
import { LoadGenerator } from "./load-generator.js";
import { scaleShop, type Shop } from "./shops.js";
import { Site } from "./site.js";

/** Options of `runScenario`. */
export interface ScenarioOptions {
    readonly shop: Shop;
    readonly seconds: number;
    readonly seed: number;
    readonly entries?: number;
    readonly workersPerPool?: number;
}

/** Numbers of requests to one queue by outcome, and latencies of the answered ones. */
export interface QueueReport {
    readonly queue: string;
    readonly asked: number;
    readonly answered: number;
    readonly notRun: number;
    readonly unknown: number;
    readonly p50Ms: number | undefined;
    readonly p99Ms: number | undefined;
}

/** Results of one run of the scenario. */
export interface ScenarioReport {
    readonly shop: string;
    readonly queues: readonly QueueReport[];
    readonly jobsAccepted: number;
    readonly jobsFinished: number;
    readonly vmsServiced: number;
    /** Time from the withdrawal of a key until every entry rejected it, in milliseconds. */
    readonly withdrawalMs: number;
    readonly checks: readonly InvariantCheck[];
}

const sampleIntervalMs = 50;
const withdrawalLimitMs = 3000;
const jobsTimeoutMs = 20_000;
const maintenanceTimeoutMs = 15_000;

/** Runs the scenario. */
export async function runScenario(options: ScenarioOptions): Promise<ScenarioReport> {
    const { seconds, seed, entries = 3, workersPerPool = 2 } = options;
    const shop = scaleShop(options.shop, workersPerPool);
    const dueVm = `${shop.pools[1]!.name}-0`;
    const site = Site.create({ shop, entries, seed, dueVms: [dueVm] });
    await site.start();
    const stopSampling = startSampling(site);
    const keys = await issueKeys(site);
    const load = LoadGenerator.create({ site, seed, keys });
    const loadRun = load.run(shop.loads, workersPerPool, seconds * 1000);
    const withdrawal = await measureKeyWithdrawal(site);
    await loadRun;
    await load.waitForJobs(jobsTimeoutMs);
    await site.waitUntil(
        () => site.drains.get(dueVm)?.until !== Infinity && site.drains.has(dueVm),
        maintenanceTimeoutMs,
    );
    const observed = stopSampling();
    await load.close();
    await site.stop();
    const history: History = {
        lists: site.entries[0]!.entry.core.versions.state.lists,
        calls: load.calls,
        jobs: load.jobs,
        runs: [...site.workers].flatMap(([worker, { records }]) => records.map(run => ({ ...run, worker }))),
        drains: site.drains,
        minBudgetMargins: observed.minBudgetMargins,
        revisionReverts: observed.revisionReverts,
        withdrawnKeyUses: withdrawal.uses,
    };
    return {
        shop: shop.name,
        queues: shop.loads.map(({ queue }) => summarizeQueue(queue, history)).filter(report =>
            report.asked > 0
        ),
        jobsAccepted: load.jobs.length,
        jobsFinished: load.jobs.filter(job => job.state === "done").length,
        vmsServiced: [...site.drains.values()].filter(drain => drain.until !== Infinity).length,
        withdrawalMs: Math.round(withdrawal.ms),
        checks: checkHistory(history),
    };
}

async function issueKeys(site: Site): Promise<ReadonlyMap<string, string>> {
    const teams = Object.keys(site.entries[0]!.entry.core.versions.state.lists.teams).filter(team =>
        team !== "guest"
    );
    const keys = new Map<string, string>();
    for (const team of teams) {
        keys.set(team, (await site.issueKey(team)).text);
    }
    const targetRevision = site.entries[0]!.entry.core.versions.state.revision;
    await site.waitUntil(() =>
        site.entries.every(({ entry }) => entry.core.versions.state.revision >= targetRevision)
    );
    return keys;
}

/**
 * Issues a key, withdraws it, and measures the time until no entry accepts it. `uses` is the number of entries that
 * still accepted it after `withdrawalLimitMs`, 0 if none did.
 */
async function measureKeyWithdrawal(site: Site): Promise<{ readonly ms: number; readonly uses: number }> {
    const { teams, plans, queues } = site.entries[0]!.entry.core.versions.state.lists;
    const [team = "", { plan }] = Object.entries(teams).find(([name]) => name !== "guest")!;
    const queue = plans[plan]!.queues.find(name => queues[name]!.class === QueueClass.Interactive)!;
    const key = await site.issueKey(team);
    await site.waitUntil(() => site.entries.every(({ entry }) => entry.core.versions.state.keys.has(key.id)));
    const startedAt = site.timer.now();
    await site.callOperator("DELETE", `/v1/keys/${key.id}`);
    for (;;) {
        const statuses = await Promise.all(
            site.entries.map(({ callerUrl }) => requestWithKey(callerUrl, queue, key.text)),
        );
        const ms = site.timer.now() - startedAt;
        const accepted = statuses.filter(status => status !== 401).length;
        if (accepted === 0 || ms > withdrawalLimitMs) {
            return { ms, uses: accepted };
        }
    }
}

async function requestWithKey(url: string, queue: string, key: string): Promise<number> {
    const res = await request(`${url}/v1/queues/${queue}/requests`, {
        method: "POST",
        headers: { authorization: `Bearer ${key}` },
        body: "{}",
    });
    await res.body.dump();
    return res.statusCode;
}

interface SampledInvariants {
    readonly minBudgetMargins: ReadonlyMap<string, number>;
    readonly revisionReverts: number;
}

/** Samples pool availability and list revisions until the returned function is called, which returns the results. */
function startSampling(site: Site): () => SampledInvariants {
    const minBudgetMargins = new Map<string, number>();
    const revisions = new Map<string, number>();
    let revisionReverts = 0;
    const sample = async (): Promise<void> => {
        const { vms, pools } = await site.embedded.listVms();
        const fleetView = { ...site.entries[0]!.entry.core.fleet.view, vms, pools };
        for (const { name, budget } of pools) {
            const available = vms.filter(vm => vm.pool === name && isAvailable(fleetView, vm)).length;
            minBudgetMargins.set(name, Math.min(minBudgetMargins.get(name) ?? Infinity, available - budget));
        }
        for (const { vm, entry } of site.entries) {
            const { revision } = entry.core.versions.state;
            revisionReverts += revision < (revisions.get(vm) ?? 0) ? 1 : 0;
            revisions.set(vm, revision);
        }
    };
    const handle = setInterval(() => void sample(), sampleIntervalMs);
    return () => {
        clearInterval(handle);
        return { minBudgetMargins, revisionReverts };
    };
}

function summarizeQueue(queue: string, { calls }: History): QueueReport {
    const queueCalls = calls.filter(call => call.queue === queue);
    const histogram = createHistogram();
    const answered = queueCalls.filter(call => call.outcome === CallOutcome.Answered);
    answered.forEach(call => histogram.recordValue(toMicros(call.durationMs)));
    const percentile = (p: number): number | undefined =>
        answered.length === 0 ? undefined : histogram.getValueAtPercentile(p) / 1000;
    return {
        queue,
        asked: queueCalls.length,
        answered: answered.length,
        notRun: queueCalls.filter(call => call.outcome === CallOutcome.NotRun).length,
        unknown: queueCalls.filter(call => call.outcome === CallOutcome.Unknown).length,
        p50Ms: percentile(50),
        p99Ms: percentile(99),
    };
}
