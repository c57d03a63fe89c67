/**
 * The order in which waiting jobs get workers. Answers the load in which a queue asks for several times what its
 * pool holds for some seconds: work that can still meet its objective goes first, and among it the jobs that need
 * least, so that as many as possible meet theirs; late work fills the trough after the burst.
 */
import { longestChainMs, type StepSpec, TaskPhase } from "../job/index.js";
import type { Queue } from "../version/directory.js";
import type { DurationEstimator } from "./duration-estimator.js";
import type { JobEntry } from "./job-book.js";

/** Classes of urgency, the most urgent first. */
export enum Urgency {
    /** Services: they are worth something at every moment. */
    Service = 0,
    /** Can still meet its objective. */
    OnTime = 1,
    /** Will miss its objective, but is still worth something. */
    Late = 2,
    /** Too late to be worth anything; it was accepted, so it is finished. */
    Overdue = 3,
    /** Beyond what its team may count on. */
    BeyondShare = 4,
}

/** A job's objective and the work it has left. */
export interface JobEstimate {
    readonly urgency: Urgency;
    /** Unix time by which it should have succeeded, in milliseconds. */
    readonly objectiveAtMs: number;
    /** Least time it still needs, in milliseconds. */
    readonly remainingMs: number;
    /** Core-milliseconds that are left. */
    readonly remainingWork: number;
}

/** Multiple of the objective up to which a late answer is worth something; the users' rule. */
const lateDeadlineFactor = 3;

/** What is to be known of a job to rank it. */
export interface JobEstimateInput {
    readonly entry: JobEntry;
    readonly queue: Queue | undefined;
    readonly durations: DurationEstimator;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
}

/** Judges how urgent a job is. */
export function estimateJob({ entry, queue, durations, wallMs }: JobEstimateInput): JobEstimate {
    const { spec, queue: name, acceptedAtMs, schedule } = { ...entry.job, schedule: entry.job.spec.schedule };
    const durationOf = (step: StepSpec): number => durations.estimate(name, step.estimateMs);
    const left = remainingOf(entry, durationOf);
    const chainMs = longestChainMs(spec, durationOf);
    const allowedMs = (queue?.stretch ?? 1) * chainMs + (queue?.objectiveMs ?? 0);
    const beginMs = schedule === undefined
        ? acceptedAtMs
        : schedule.firstAtMs + Math.max(0, entry.state.occurrences - 1) * schedule.intervalMs;
    const finishMs = wallMs + left.remainingMs;
    const urgency = entry.isService
        ? Urgency.Service
        : entry.isBeyondShare
        ? Urgency.BeyondShare
        : finishMs <= beginMs + allowedMs
        ? Urgency.OnTime
        : finishMs <= beginMs + lateDeadlineFactor * allowedMs
        ? Urgency.Late
        : Urgency.Overdue;
    return { urgency, objectiveAtMs: beginMs + allowedMs, ...left };
}

function remainingOf(entry: JobEntry, durationOf: (step: StepSpec) => number) {
    const { spec } = entry.job;
    const waiting = spec.steps.map(() => 0);
    for (const task of entry.state.tasks) {
        if (task.phase !== TaskPhase.Done) {
            waiting[task.step] = (waiting[task.step] ?? 0) + 1;
        }
    }
    const remainingMs = longestChainMs(spec, (step, index) => waiting[index] === 0 ? 0 : durationOf(step));
    const remainingWork = spec.steps.reduce(
        (sum, step, index) => sum + waiting[index]! * durationOf(step) * step.needs.cpu,
        0,
    );
    return { remainingMs, remainingWork };
}

/** Orders two jobs: negative when the first goes before the second. */
export function compareRankedJobs(
    a: { readonly entry: JobEntry; readonly estimate: JobEstimate; readonly priority: number },
    b: typeof a,
): number {
    return a.estimate.urgency - b.estimate.urgency || a.priority - b.priority
        || Number(b.entry.hasBegun) - Number(a.entry.hasBegun)
        || a.estimate.remainingWork - b.estimate.remainingWork
        || a.entry.job.acceptedAtMs - b.entry.job.acceptedAtMs;
}
