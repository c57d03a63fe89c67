/**
 * The order in which unfinished jobs are placed. During a burst a queue may request several times the capacity of its
 * pool for some seconds. Jobs that can still meet their objective go first, the shortest first among them, so that as
 * many as possible meet it; late jobs run in the idle capacity after the burst.
 */
import { criticalPathMs, TaskSet } from "../job/index.js";
import type { Directory, Queue } from "../version/directory.js";
import type { DurationEstimator } from "./duration-estimator.js";
import type { JobRegistry } from "./job-registry.js";
import { openSteps } from "./open-steps.js";
import type { JobEntry } from "./records.js";

/** Urgency classes, the most urgent first. */
export enum Urgency {
    /** Services: their value is continuous. */
    Service = 0,
    /** Can still finish within its objective. */
    OnTime = 1,
    /** Will miss its objective, but its result still has value. */
    Late = 2,
    /** Too late for its result to have value; it is run because it was accepted. */
    Overdue = 3,
    /** Exceeds the share of its team. */
    BeyondShare = 4,
}

/** A job's deadline and its estimated remaining work. */
export interface JobEstimate {
    readonly urgency: Urgency;
    /** Its urgency if it were within the share of its team. */
    readonly urgencyByTime: Urgency;
    /** Unix time by which it should succeed, in milliseconds. */
    readonly objectiveAtMs: number;
    /** Expected duration of its longest remaining chain of steps, in milliseconds. */
    readonly remainingMs: number;
    /** Remaining work: the sum over unfinished tasks of expected milliseconds times processor need. */
    readonly remainingWork: number;
}

/** Multiple of the objective up to which a late result still has value, as the users define it. */
const lateDeadlineFactor = 3;

/** Input of `estimateJob`. */
export interface JobEstimateInput {
    readonly entry: JobEntry;
    readonly queue: Queue | undefined;
    readonly durations: DurationEstimator;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
}

/** Estimates a job's remaining work and derives its urgency. */
export function estimateJob({ entry, queue, durations, wallMs }: JobEstimateInput): JobEstimate {
    const { spec, queue: name, acceptedAtMs } = entry.job;
    const { steps, schedule } = spec;
    // Called for every waiting job in every round, so each step's duration is estimated once.
    const stepMs = steps.map(({ estimateMs }) => durations.estimate(name, estimateMs));
    const unfinished = unfinishedTasks(entry);
    const remainingMs = criticalPathMs(spec, (_, index) => unfinished[index] === 0 ? 0 : stepMs[index]!);
    const chainMs = unfinished.includes(0) ? criticalPathMs(spec, (_, index) => stepMs[index]!) : remainingMs;
    let remainingWork = 0;
    for (let index = 0; index < steps.length; index++) {
        remainingWork += unfinished[index]! * stepMs[index]! * steps[index]!.needs.cpu;
    }
    const allowedMs = (queue?.stretch ?? 1) * chainMs + (queue?.objectiveMs ?? 0);
    const startAtMs = schedule === undefined
        ? acceptedAtMs
        : schedule.firstAtMs + Math.max(0, entry.state.occurrences - 1) * schedule.intervalMs;
    const finishAtMs = wallMs + remainingMs;
    const urgencyByTime = entry.isService
        ? Urgency.Service
        : finishAtMs <= startAtMs + allowedMs
        ? Urgency.OnTime
        : finishAtMs <= startAtMs + lateDeadlineFactor * allowedMs
        ? Urgency.Late
        : Urgency.Overdue;
    const isBeyondShare = entry.exceedsTeamShare && !entry.isService;
    const urgency = isBeyondShare ? Urgency.BeyondShare : urgencyByTime;
    return { urgency, urgencyByTime, objectiveAtMs: startAtMs + allowedMs, remainingMs, remainingWork };
}

/** Number of tasks of each step that are not done, in all occurrences. */
function unfinishedTasks(entry: JobEntry): readonly number[] {
    if (entry.unfinishedTasks === undefined) {
        const counts = entry.job.spec.steps.map(() => 0);
        const { tasks } = entry.state;
        for (let from = tasks.first(TaskSet.Unfinished); from !== undefined;) {
            const place = tasks.layout.placeOf(from);
            const range = tasks.layout.rangeOf(place);
            counts[place.step] = counts[place.step]! + tasks.count(TaskSet.Unfinished, range);
            from = tasks.first(TaskSet.Unfinished, { from: range.to, to: tasks.length });
        }
        entry.unfinishedTasks = counts;
    }
    return entry.unfinishedTasks;
}

/** A job with its sort keys. */
export interface RankedJob {
    readonly entry: JobEntry;
    readonly queue: Queue | undefined;
    readonly estimate: JobEstimate;
    readonly priority: number;
}

const unknownQueuePriority = 1_000_000;

/** Jobs with waiting tasks, the most urgent first; `wallMs` is the Unix time in milliseconds. */
export function rankJobs({ jobs, directory, durations, wallMs, isConsidered = () => true }: {
    readonly jobs: JobRegistry;
    readonly directory: Directory;
    readonly durations: DurationEstimator;
    readonly wallMs: number;
    /** Whether a job is ranked; all are by default. */
    readonly isConsidered?: (entry: JobEntry, queue: Queue | undefined) => boolean;
}): RankedJob[] {
    const queues = new Map(directory.queues.map(queue => [queue.name, queue]));
    const ranked: RankedJob[] = [];
    for (const entry of jobs.activeEntries) {
        const queue = queues.get(entry.job.queue);
        if (openSteps(entry).length > 0 && isConsidered(entry, queue)) {
            const estimate = estimateJob({ entry, queue, durations, wallMs });
            ranked.push({
                entry,
                queue,
                estimate,
                priority: queue?.priority ?? unknownQueuePriority,
            });
        }
    }
    return ranked.sort(compareRankedJobs);
}

/** Comparator by urgency, priority, progress, remaining work and time of acceptance. */
export function compareRankedJobs(
    a: { readonly entry: JobEntry; readonly estimate: JobEstimate; readonly priority: number },
    b: typeof a,
): number {
    return a.estimate.urgency - b.estimate.urgency || a.priority - b.priority
        || Number(b.entry.hasStarted) - Number(a.entry.hasStarted)
        || a.estimate.remainingWork - b.estimate.remainingWork
        || a.entry.job.acceptedAtMs - b.entry.job.acceptedAtMs;
}
