/** One seeded run of a fleet under load and faults, with every promise checked against what workers and callers saw. */
import { Random } from "../../src/process/random.js";
import { JobState } from "../../src/request/job.js";
import { parseLists } from "../../src/version/schema.js";
import { checkHistory, type History, type InvariantCheck } from "../../standin/history.js";
import { Simulation } from "../../standin/simulation/simulation.js";
import { drawSchedule, type ScheduledFault, strike } from "./fault.js";

/** Options of `runFaults`. */
export interface FaultRunOptions {
    readonly seed: number;
    /** The schedule; drawn from the seed when left out. */
    readonly schedule?: readonly ScheduledFault[];
    readonly faults?: number;
    readonly spanMs?: number;
}

/** Result of one run. */
export interface FaultRunResult {
    readonly seed: number;
    readonly schedule: readonly ScheduledFault[];
    readonly checks: readonly InvariantCheck[];
    readonly calls: number;
    readonly jobs: number;
    readonly history: History;
}

const plansText = JSON.stringify({
    queues: {
        preview: { service: "atelier", class: "interactive", idempotent: true, timeoutMs: 1500 },
        order: { service: "atelier", class: "interactive", idempotent: false, timeoutMs: 1500 },
        proof: { service: "bridal", class: "deferred", idempotent: true, timeoutMs: 60_000 },
        run: { service: "bridal", class: "deferred", idempotent: false, timeoutMs: 60_000 },
    },
    plans: {
        large: { queues: ["preview", "order", "proof", "run"], share: 3, limit: 14 },
        small: { queues: ["preview", "order", "proof", "run"], share: 1, limit: 7 },
        tiny: { queues: ["preview", "order", "proof", "run"], share: 1, limit: 2 },
    },
});

const teamsText = JSON.stringify({
    teams: {
        benches: { customer: "Members", plan: "large" },
        thames: { customer: "Thames Street", plan: "small" },
        bellevue: { customer: "Bellevue Avenue", plan: "tiny" },
    },
});

const teams = ["benches", "thames", "bellevue"];
const interactive = ["preview", "order"];
const deferred = ["proof", "run"];
const entryCount = 4;
const callEveryMs = 12;
const submitEveryMs = 400;
const spareKeyCount = 3;
const withdrawalBoundMs = 3000;
const withdrawalProbeMs = 100;
const settleMs = 150_000;
const sampleMs = 20;

/** Runs a fleet under a schedule of faults, lets it settle, and checks every promise. */
export async function runFaults(options: FaultRunOptions): Promise<FaultRunResult> {
    const { seed, faults = 4, spanMs = 20_000 } = options;
    const random = Random.create(seed);
    const schedule = options.schedule ?? drawSchedule(random, faults, spanMs);
    const world = Simulation.create({
        seed,
        entries: entryCount,
        pools: [{ name: "atelier", workers: 4, budget: 2 }, { name: "bridal", workers: 4, budget: 2 }],
        lists: parseLists({ file: "plans", text: plansText }, { file: "teams", text: teamsText }),
        meanServiceMs: queue => deferred.includes(queue) ? 1500 : 40,
        isMaintenanceDue: vm => vm === "bridal-1" || vm === "atelier-2",
        rebootMs: 3000,
    });
    await world.start();
    await world.issueSpareKeys("thames", spareKeyCount);
    const observed = observe(world);
    const startedAt = world.timer.now();
    schedule.forEach(fault => world.timer.after(fault.atMs, () => strike(world, fault)));
    await load(world, random, startedAt + spanMs);
    await settleJobs(world);
    const history: History = {
        lists: world.entries[0]!.core.versions.state.lists,
        calls: world.calls,
        jobs: world.jobs,
        runs: [...world.workers].flatMap(([worker, { runs }]) => runs.map(run => ({ ...run, worker }))),
        drains: world.drains,
        minBudgetMargins: observed.spareBudget,
        revisionReverts: observed.reverts(),
        withdrawnKeyUses: observed.withdrawnKeyUses(),
    };
    return {
        seed,
        schedule,
        checks: checkHistory(history),
        calls: world.calls.length,
        jobs: world.jobs.length,
        history,
    };
}

async function load(world: Simulation, random: Random, until: number): Promise<void> {
    let nextSubmit = world.timer.now();
    while (world.timer.now() < until) {
        const team = random.pick(teams);
        void world.sendRequest(random.int(entryCount), team, random.pick(interactive));
        if (world.timer.now() >= nextSubmit) {
            nextSubmit += submitEveryMs;
            void world.submitJob(random.int(entryCount), random.pick(teams), random.pick(deferred));
        }
        await world.advance(callEveryMs);
    }
    await world.advance(3000);
}

async function settleJobs(world: Simulation): Promise<void> {
    const end = world.timer.now() + settleMs;
    const isOpen = (state: string | undefined): boolean =>
        state === JobState.Waiting || state === JobState.Running;
    while (world.timer.now() < end) {
        for (const job of world.jobs.filter(each => isOpen(each.state))) {
            job.state = (await world.readJob(job.id))?.state;
        }
        if (!world.jobs.some(job => isOpen(job.state))) {
            return;
        }
        await world.advance(1000);
    }
}

interface Observed {
    readonly spareBudget: ReadonlyMap<string, number>;
    readonly reverts: () => number;
    readonly withdrawnKeyUses: () => number;
}

/** Samples availability, revisions and the use of withdrawn keys for as long as the world runs. */
function observe(world: Simulation): Observed {
    const spareBudget = new Map<string, number>();
    const revisions = new Map<object, number>();
    let reverts = 0;
    let uses = 0;
    world.timer.every(sampleMs, () => {
        for (const { core } of world.entries) {
            const { revision } = core.versions.state;
            reverts += revision < (revisions.get(core) ?? 0) ? 1 : 0;
            revisions.set(core, revision);
        }
        world.plannedBudgetMargins().forEach((spare, pool) => {
            spareBudget.set(pool, Math.min(spareBudget.get(pool) ?? Infinity, spare));
        });
    });
    world.timer.every(withdrawalProbeMs, () => {
        const now = world.timer.now();
        const old = world.withdrawnKeys.filter(key => now - key.withdrawnAt > withdrawalBoundMs);
        uses += old.reduce((sum, key) => sum + world.countAcceptingEntries(key.text), 0);
    });
    return { spareBudget, reverts: () => reverts, withdrawnKeyUses: () => uses };
}
