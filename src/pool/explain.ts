/** Explains the state of one job to an operator, from the owner's in-memory state. */
import { isHeld, TaskPhase, TaskSet, type TaskState } from "../job/index.js";
import { addResources, noResources } from "../process/resources.js";
import { openSteps } from "./open-steps.js";
import { isSchedulable, rankJobs } from "./plan-starts.js";
import type { JobEntry } from "./records.js";
import { type TenureContext } from "./tenure-context.js";
import { estimateJob, Urgency } from "./urgency.js";
import { freeResources, type WorkerState } from "./worker-registry.js";

/** State of a job, as shown to an operator. */
export interface ExplainedJob {
    readonly job: string;
    readonly queue: string;
    readonly team: string;
    readonly phase: string;
    /** Phase as last stored, which is the one that callers see. */
    readonly storedPhase: string;
    readonly reason: string | undefined;
    readonly ageMs: number;
    readonly urgency: string;
    /** Number of workers of its pool that can take work now. */
    readonly usableWorkers: number;
    /** Accounts whose waiting jobs may take capacity of its pool before this job, the first of them first. */
    readonly accountsAhead: readonly string[];
    /** Workers reserved for it, and in how many milliseconds each is expected to have room. */
    readonly reservations: readonly string[];
    /** Zones in which operators allow no new work. */
    readonly evacuatedZones: readonly string[];
    readonly fence: number;
    /** One line for each task that is not done, of the first of them if there are many. */
    readonly tasks: readonly string[];
}

/** Most tasks that are explained one by one. */
const maxExplainedTasks = 1000;

export function explainJob(ctx: TenureContext, entry: JobEntry): ExplainedJob {
    const { timer, zones } = ctx.options;
    const { job, state } = entry;
    const queue = ctx.options.directory()?.queues.find(({ name }) => name === job.queue);
    const outlook = estimateJob({ entry, queue, durations: ctx.durations, wallMs: ctx.clock.wallMs() });
    const workers = [...ctx.workers.byId.values()];
    const usable = workers.filter(worker =>
        worker.listed.pool === queue?.pool && isSchedulable(worker, timer.now())
        && !zones.isEvacuated(worker.listed.zone)
    );
    const tasks: string[] = [];
    for (const position of state.tasks.positions(TaskSet.Unfinished)) {
        if (tasks.length >= maxExplainedTasks) {
            tasks.push(`and ${state.tasks.count(TaskSet.Unfinished) - tasks.length} more`);
            break;
        }
        tasks.push(describeTask(entry, position));
    }
    return {
        job: job.id,
        queue: job.queue,
        team: job.team,
        phase: state.phase,
        storedPhase: entry.storedPhase,
        reason: state.reason,
        ageMs: Math.round(ctx.clock.wallMs() - job.acceptedAtMs),
        urgency: Urgency[outlook.urgency],
        usableWorkers: usable.length,
        accountsAhead: accountsAhead(ctx, entry, usable),
        reservations: (ctx.reservations?.of(entry) ?? []).map(({ worker, from }) =>
            `${worker} in ${Math.max(0, Math.round(from - timer.now()))} ms`
        ),
        evacuatedZones: zones.zones,
        fence: ctx.fence,
        tasks,
    };
}

/** Accounts whose waiting jobs of the same pool are ordered before a job. */
function accountsAhead(
    { jobs, durations, clock, fairShares, options }: TenureContext,
    entry: JobEntry,
    usable: readonly WorkerState[],
): readonly string[] {
    const directory = options.directory();
    if (directory === undefined || openSteps(entry).length === 0) {
        return [];
    }
    const poolName = directory.queues.find(({ name }) => name === entry.job.queue)?.pool;
    const ranked = rankJobs({ jobs, directory, durations, wallMs: clock.wallMs() })
        .filter(({ queue }) => queue?.pool === poolName);
    const free = usable.reduce((sum, worker) => addResources(sum, freeResources(worker)), noResources);
    const ordered = fairShares?.order({
        ranked,
        freeOf: () => free,
        placedOf: () => noResources,
    }) ?? ranked;
    const accounts = new Set<string>();
    for (const { entry: other } of ordered) {
        if (other === entry) {
            break;
        }
        accounts.add(other.job.team);
    }
    accounts.delete(entry.job.team);
    return [...accounts];
}

function describeTask(entry: JobEntry, position: number): string {
    const task = entry.state.tasks.at(position);
    const name = `${task.occurrence}.${task.step}.${task.index}`;
    switch (task.phase) {
        case TaskPhase.Done:
            return `${name}: done`;
        case TaskPhase.Claimed:
            return `${name}: run ${task.run} on ${task.worker}, ${describeEnds(task)}`;
        case TaskPhase.Waiting: {
            const isOpen = openSteps(entry).some(({ from, to }) => position >= from && position < to)
                && !isHeld(entry.job, task);
            return `${name}: waits for ${isOpen ? "a worker" : "earlier steps"}, ${describeEnds(task)}`;
        }
        case TaskPhase.Failed:
            return `${name}: out of attempts or stopped, ${describeEnds(task)}`;
    }
}

function describeEnds({ failures, lostWorkers }: TaskState): string {
    return `${failures} failures, ${lostWorkers.length} workers lost`;
}
