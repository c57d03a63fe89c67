/**
 * Number of VMs that each pool needs, by bin packing: one number of those to order up to and one of those to keep.
 *
 * Load pattern: a queue bursts for some seconds, hardly longer than a move of a VM takes. A VM that is ordered now takes work
 * about two seconds later, so it is ordered for the arrivals and waiting tasks of then, and not for tasks that would be late
 * when it joins. VMs that are there are kept while what is waiting or running now needs them.
 */
import { type StepSpec, TaskSet } from "../../job/index.js";
import { addResources, type Resources } from "../../process/resources.js";
import { type DemandInput, forecastRatePerMs } from "../demand.js";
import type { DurationEstimator } from "../duration-estimator.js";
import { openSteps } from "../open-steps.js";
import type { JobEntry } from "../records.js";
import { estimateJob, type JobEstimate, Urgency } from "../urgency.js";
import { reservedResources } from "../worker-registry.js";
import { type FilledVm, packedVmCount, type TaskGroup, TaskGroups } from "./bin-packing.js";
import { stepKey } from "./vm-contents.js";
import { VmReserve } from "./vm-reserve.js";

/** VMs that a pool needs. */
export interface VmDemand {
    /** VMs up to which others are moved into the pool. */
    readonly ordered: number;
    /** VMs below which none is released, those that are joining included. */
    readonly kept: number;
    /** VMs among them that have to have joined, since work is waiting or running now. */
    readonly present: number;
}

/** Input of `VmDemandMeter.measure`. */
export interface VmDemandInput extends DemandInput {
    /** Capacity of the VMs of a pool. */
    readonly capacityOf: (pool: string) => Resources;
    /** Whether a worker's VM is being drained, so that its runs need no other VM. */
    readonly isLeaving: (worker: string) => boolean;
}

/** Window over which the peak of the VMs to keep is taken. */
const keepWindowMs = 400;
/** Age up to which arrivals are counted. */
const maxArrivalAgeMs = 2000;
/** Arrivals from which they count as a burst; fewer can be chance. */
const minBurstJobs = 3;
/** Window that is compared with the time before it to detect the end of a burst. */
const fallWindowMs = 400;
/** Standard deviations from which a difference is a fall and not chance. */
const fallDeviations = 1.5;

const demandWeight: Readonly<Record<Urgency, number>> = {
    [Urgency.Service]: 1,
    [Urgency.OnTime]: 1,
    [Urgency.Late]: 0.25,
    [Urgency.Overdue]: 0.1,
    [Urgency.BeyondShare]: 0.1,
};

interface Arrival {
    readonly pool: string;
    readonly at: number;
    readonly steps: readonly StepSpec[];
    readonly queue: string;
}

interface PoolGroups {
    /** Capacity of each VM of the pool. */
    readonly capacity: Resources;
    /** What runs, or waits for a worker. */
    readonly present: TaskGroups;
    /** What a VM that is ordered now could run in time. */
    readonly later: TaskGroups;
    /** VMs that hold services, which are not moved, by worker. */
    readonly serviceVms: Map<string, FilledVm>;
}

/** VMs that a pool needs without a reserve. */
interface PoolNeed {
    /** For what is running or waiting. */
    readonly vms: number;
    /** For what is expected when a VM that is ordered now takes work. */
    readonly expectedVms: number;
    /** VMs among them that hold services. */
    readonly serviceVms: number;
}

interface Sample {
    readonly at: number;
    readonly vms: number;
}

/** Measures the VMs that pools need. */
export class VmDemandMeter {
    private readonly arrivals = new Map<string, Arrival>();
    private readonly samples = new Map<string, readonly Sample[]>();
    private readonly reserve = VmReserve.create();
    private readonly demands = new Map<string, VmDemand>();

    static create(): VmDemandMeter {
        return new VmDemandMeter();
    }

    /** Measures the demand of every pool of the directory. */
    measure(input: VmDemandInput): void {
        const { directory, now, capacityOf } = input;
        const groups = this.groupTasks(input);
        for (const [id, { at }] of this.arrivals) {
            if (now - at >= maxArrivalAgeMs) {
                this.arrivals.delete(id);
            }
        }
        const needs = new Map<string, PoolNeed>();
        for (const { name, isSpare } of directory.pools.values()) {
            if (!isSpare) {
                const poolGroups = groups.get(name) ?? emptyGroups(capacityOf(name));
                needs.set(name, this.needOf(name, poolGroups, input));
            }
        }
        this.reserve.record(
            new Map([...needs].map(([pool, { vms, serviceVms }]) => [pool, vms - serviceVms])),
            now,
        );
        this.demands.clear();
        for (const [pool, { vms, expectedVms, serviceVms }] of needs) {
            const recent = (this.samples.get(pool) ?? []).filter(({ at }) => now - at < keepWindowMs);
            const samples = [...recent, { at: now, vms }];
            this.samples.set(pool, samples);
            const reserve = this.reserve.reserveOf(pool);
            const present = Math.max(...samples.map(sample => sample.vms)) + reserve;
            const ordered = Math.min(expectedVms, serviceVms + this.reserve.peakOf(pool)) + reserve;
            this.demands.set(pool, { ordered, present, kept: Math.max(ordered, present) });
        }
    }

    private needOf(
        pool: string,
        { capacity, present, later, serviceVms }: PoolGroups,
        { durations, now, leadMs }: VmDemandInput,
    ): PoolNeed {
        const arrivals = [...this.arrivals.values()].filter(arrival => arrival.pool === pool)
            .map(arrival => ({ ...arrival, ageMs: now - arrival.at }));
        const expected = TaskGroups.create();
        addExpectedTasks(expected, { arrivals, durations, leadMs });
        later.all.forEach(group => expected.add(group));
        const filled = [...serviceVms.values()];
        return {
            vms: packedVmCount(present.all, capacity, filled),
            expectedVms: packedVmCount(expected.all, capacity, filled),
            serviceVms: filled.length,
        };
    }

    /** VMs that a pool needs, as last measured. */
    demandOf(pool: string): VmDemand | undefined {
        return this.demands.get(pool);
    }

    private groupTasks(input: VmDemandInput): ReadonlyMap<string, PoolGroups> {
        const { jobs, directory, durations, now, wallMs } = input;
        const queues = new Map(directory.queues.map(queue => [queue.name, queue]));
        const groupsByPool = new Map<string, PoolGroups>();
        for (const entry of jobs.activeEntries) {
            const queue = queues.get(entry.job.queue);
            if (queue === undefined) {
                continue;
            }
            const groups = groupsByPool.get(queue.pool) ?? emptyGroups(input.capacityOf(queue.pool));
            groupsByPool.set(queue.pool, groups);
            const estimate = estimateJob({ entry, queue, durations, wallMs });
            addPresentTasks(groups, entry, { ...input, estimate });
            const ageMs = wallMs - entry.job.acceptedAtMs;
            if (!entry.isService && ageMs < maxArrivalAgeMs && !this.arrivals.has(entry.job.id)) {
                this.arrivals.set(entry.job.id, {
                    pool: queue.pool,
                    at: now - ageMs,
                    steps: entry.job.spec.steps,
                    queue: queue.name,
                });
            }
        }
        return groupsByPool;
    }
}

function emptyGroups(capacity: Resources): PoolGroups {
    return { capacity, present: TaskGroups.create(), later: TaskGroups.create(), serviceVms: new Map() };
}

/** Adds a job's running and waiting tasks. A waiting task counts for orders if it can still be on time when it starts after `leadMs`. */
function addPresentTasks(
    groups: PoolGroups,
    entry: JobEntry,
    input: VmDemandInput & { readonly estimate: JobEstimate },
): void {
    const { estimate: { urgency, objectiveAtMs, remainingMs }, wallMs, leadMs, isLeaving } = input;
    const { present, later } = groups;
    const isOnTimeLater = entry.isService || wallMs + remainingMs + leadMs <= objectiveAtMs;
    for (const { index, count } of openSteps(entry)) {
        const group = groupOf(entry, index, count * demandWeight[urgency]);
        present.add(group);
        if (isOnTimeLater) {
            later.add(group);
        }
    }
    const { tasks } = entry.state;
    for (const position of entry.runCount === 0 ? [] : tasks.positions(TaskSet.Claimed)) {
        const { worker, step } = tasks.at(position);
        if (!isLeaving(worker)) {
            const group = groupOf(entry, step, 1);
            if (entry.isService) {
                addServiceRun(groups, group, worker);
            }
            else {
                present.add(group);
            }
        }
    }
}

function addServiceRun(
    { serviceVms, capacity }: PoolGroups,
    { needs, limit }: TaskGroup,
    worker: string,
): void {
    const { free, tasksByStep } = serviceVms.get(worker) ?? { free: capacity, tasksByStep: new Map() };
    serviceVms.set(worker, {
        free: addResources(free, needs, -1),
        tasksByStep: limit === undefined
            ? tasksByStep
            : new Map(tasksByStep).set(limit.step, (tasksByStep.get(limit.step) ?? 0) + 1),
    });
}

function groupOf({ job }: JobEntry, index: number, tasks: number): TaskGroup {
    const step = job.spec.steps[index]!;
    return {
        needs: reservedResources({ step }),
        ...(step.perWorker > 0 && { limit: { step: stepKey(job.id, index), perWorker: step.perWorker } }),
        tasks,
    };
}

/**
 * Adds the tasks that run at the same time at the expected rate of arrivals in `leadMs`: by Little's law, rate times run time. A
 * rate that has fallen within the last moment is expected to stay low, since a burst ends at once.
 */
function addExpectedTasks(
    groups: TaskGroups,
    { arrivals, durations, leadMs }: {
        readonly arrivals: readonly (Arrival & { readonly ageMs: number })[];
        readonly durations: DurationEstimator;
        readonly leadMs: number;
    },
): void {
    if (arrivals.length < minBurstJobs) {
        return;
    }
    const ratePerMs = fallenRatePerMs(arrivals) ?? forecastRatePerMs(arrivals, leadMs);
    for (const { steps, queue } of arrivals) {
        for (const step of steps) {
            const runMs = durations.estimate(queue, step.estimateMs);
            groups.add({
                needs: reservedResources({ step }),
                tasks: step.tasks * runMs * ratePerMs / arrivals.length,
            });
        }
    }
}

/** Arrivals per millisecond after a fall that chance does not explain; undefined if there was none. */
export function fallenRatePerMs(arrivals: readonly { readonly ageMs: number }[]): number | undefined {
    const recent = arrivals.filter(({ ageMs }) => ageMs < fallWindowMs).length;
    const before = arrivals.filter(({ ageMs }) => ageMs >= fallWindowMs && ageMs < 2 * fallWindowMs).length;
    return before - recent > fallDeviations * Math.sqrt(recent + before) ? recent / fallWindowMs : undefined;
}
