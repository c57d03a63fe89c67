/** Time series and percentiles for the report, measured in virtual time. */
import { VmState } from "../src/process/platform.js";
import { CallOutcome } from "../standin/history.js";
import { createFleet } from "./fleet.js";
import { startLoad } from "./flow.js";
import { quantile } from "./measure.js";

/** One plot: a common x axis and lines over it. */
export interface Plot {
    readonly title: string;
    readonly x: string;
    readonly y: string;
    readonly at: readonly number[];
    readonly lines: readonly Line[];
}

/** One line of a plot. */
export interface Line {
    readonly label: string;
    readonly values: readonly number[];
}

const queue = { name: "q", pool: "atelier", timeoutMs: 2000, meanMs: 100 };
const teams = [
    { name: "share 1", share: 1, limit: 64 },
    { name: "share 2", share: 2, limit: 64 },
    { name: "share 5", share: 5, limit: 64 },
].map(team => ({ ...team, name: team.name.replace(" ", "-") }));
const capacity = 64 * 1000 / queue.meanMs;
const percents = [50, 75, 90, 95, 99, 99.5, 99.9];
const windowMs = 500;

/** Answer times by percentile, at several loads. */
export async function latencyPlot(seed: number): Promise<Plot> {
    const lines: Line[] = [];
    for (const load of [0.5, 0.9, 1.5]) {
        const world = await createFleet({ seed, entries: 4, workersPerPool: 8, queues: [queue], teams });
        const rate = capacity * load / teams.length;
        startLoad(
            world,
            teams.map(({ name }) => ({ team: name, queue: "q", rate: () => rate, peak: rate })),
            10_000,
            seed,
        );
        await world.advance(14_000);
        const answered = world.calls.filter(call => call.outcome === CallOutcome.Answered).map(call =>
            call.durationMs
        );
        lines.push({
            label: `load ${load}`,
            values: percents.map(percent => quantile(answered, percent / 100)),
        });
    }
    return { title: "Answer time by percentile", x: "percentile", y: "ms", at: percents, lines };
}

/** Slots that each team runs over time, while all ask for more than the pool holds. */
export async function sharePlot(seed: number): Promise<Plot> {
    const world = await createFleet({ seed, entries: 4, workersPerPool: 8, queues: [queue], teams });
    const startedAt = world.timer.now();
    startLoad(
        world,
        teams.map(({ name }) => ({ team: name, queue: "q", rate: () => capacity, peak: capacity })),
        20_000,
        seed,
    );
    await world.advance(20_000);
    const runs = [...world.workers.values()].flatMap(worker => worker.runs);
    const at = Array.from({ length: 20_000 / windowMs }, (_, window) => window * windowMs);
    const lines = teams.map(({ name }) => ({
        label: name,
        values: at.map(from => {
            const [begin, end] = [startedAt + from, startedAt + from + windowMs];
            const own = runs.filter(run => run.team === name);
            const used = own.map(run =>
                Math.max(0, Math.min(end, run.endedAt ?? end) - Math.max(begin, run.startedAt))
            );
            return used.reduce((sum, ms) => sum + ms, 0) / windowMs;
        }),
    }));
    return {
        title: "Slots by team, all saturating 64 slots",
        x: "seconds",
        y: "slots",
        at: at.map(ms => ms / 1000),
        lines,
    };
}

/** Available VMs, permits and the budget over a wave of service. */
export async function wavePlot(seed: number): Promise<Plot> {
    const world = await createFleet({
        seed,
        entries: 3,
        workersPerPool: 8,
        queues: [queue],
        teams,
        budget: 6,
        world: { isMaintenanceDue: () => true, rebootMs: 4000 },
    });
    const at: number[] = [];
    const available: number[] = [];
    const permits: number[] = [];
    for (let ms = 0; ms < 40_000; ms += 250) {
        await world.advance(250);
        const vms = world.embedded.currentVms().filter(vm => vm.pool === "atelier");
        at.push(ms / 1000);
        available.push(vms.filter(vm => vm.state === VmState.Live && !vm.draining).length);
        const [row] = [...world.entries[0]!.core.fleet.view.poolRows.values()];
        permits.push(Object.keys(row?.permits ?? {}).length);
    }
    const lines = [
        { label: "available", values: available },
        { label: "permits", values: permits },
        { label: "budget", values: at.map(() => 6) },
    ];
    return { title: "A wave of service in a pool of 8", x: "seconds", y: "VMs", at, lines };
}
