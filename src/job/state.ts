/**
 * Progress of a job: the phase of each task and what its runs have come to. All changes go through the functions
 * of this module, which return a new state; the old one stays as it was.
 */
import { type AcceptedJob, isServiceJob, type StepSpec } from "./spec.js";

/** Where a job stands. Phases never go back, and the last three are final. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Where a task stands. */
export enum TaskPhase {
    /** No run of it exists. */
    Waiting = 0,
    /** A run was recorded for a worker; it may or may not have started. */
    Claimed = 1,
    Done = 2,
    /** Out of attempts. */
    Failed = 3,
}

/** How a run ended. */
export enum RunEnd {
    Done = "done",
    /** By its own fault or the worker's. */
    Failed = "failed",
    /** By our order. */
    Stopped = "stopped",
    /** Its lease ended. */
    Lapsed = "lapsed",
    /** Another member of its gang ended. */
    GangBroken = "gang-broken",
    /** The other members of its gang did not arrive in time. */
    GangIncomplete = "gang-incomplete",
    /** Its worker is gone, or never received it. */
    Lost = "lost",
}

/** One task and its latest run. */
export interface TaskState {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
    readonly phase: TaskPhase;
    /** Number of the latest run; 0 before the first. Numbers only rise. */
    readonly run: number;
    /** Worker of the claimed run. */
    readonly worker: string;
    /** Unix time at which that life of the worker began, in milliseconds. */
    readonly workerStartedAt: number;
    /** Runs that ended as failed. */
    readonly failures: number;
    /** Progress to resume from; empty without. */
    readonly checkpoint: string;
}

/** A job's progress. */
export interface JobState {
    readonly phase: JobPhase;
    /** Occurrences that have become due. */
    readonly occurrences: number;
    readonly tasks: readonly TaskState[];
    /** Why the job failed. */
    readonly reason?: string;
}

/** The state of a job that was just accepted, with its first occurrence unless that is still to come. */
export function initialState(job: AcceptedJob): JobState {
    const empty: JobState = { phase: JobPhase.Queued, occurrences: 0, tasks: [] };
    return job.spec.schedule === undefined ? addOccurrence(job, empty) : empty;
}

/** Adds the tasks of the next occurrence. */
export function addOccurrence(job: AcceptedJob, state: JobState): JobState {
    const occurrence = state.occurrences;
    const added = job.spec.steps.flatMap((step, number) => newTasks(occurrence, number, step));
    return { ...state, occurrences: occurrence + 1, tasks: [...state.tasks, ...added] };
}

function newTasks(occurrence: number, step: number, spec: StepSpec): TaskState[] {
    return Array.from({ length: spec.tasks }, (_, index) => ({
        occurrence,
        step,
        index,
        phase: TaskPhase.Waiting,
        run: 0,
        worker: "",
        workerStartedAt: 0,
        failures: 0,
        checkpoint: "",
    }));
}

/** Whether a job is at its end. */
export function isFinal(phase: JobPhase): boolean {
    switch (phase) {
        case JobPhase.Queued:
        case JobPhase.Running:
            return false;
        case JobPhase.Succeeded:
        case JobPhase.Failed:
        case JobPhase.Cancelled:
            return true;
    }
}

/** Steps of an occurrence whose predecessors have all succeeded, by number. */
export function readySteps(job: AcceptedJob, state: JobState, occurrence: number): ReadonlySet<number> {
    const steps = job.spec.steps;
    const left = steps.map(() => 0);
    for (const task of state.tasks) {
        if (task.occurrence === occurrence && task.phase !== TaskPhase.Done) {
            left[task.step] = (left[task.step] ?? 0) + 1;
        }
    }
    const numbers = steps.map((_, step) => step);
    return new Set(numbers.filter(step => steps[step]!.after.every(before => left[before] === 0)));
}

/** Position of a task in the list of a state; -1 when the state has no such task. */
export function findTaskPosition(state: JobState, occurrence: number, step: number, index: number): number {
    return state.tasks.findIndex(task =>
        task.index === index && task.step === step && task.occurrence === occurrence
    );
}

/** Replaces one task. */
export function withTask(state: JobState, at: number, change: Partial<TaskState>): JobState {
    return { ...state, tasks: state.tasks.with(at, { ...state.tasks[at]!, ...change }) };
}

/** Where a claimed run goes. */
export interface ClaimTarget {
    readonly worker: string;
    /** Life of the worker. */
    readonly workerStartedAt: number;
}

/** Records that the next run of a task goes to a worker. Members of a gang share run number and saved progress. */
export function claimTask(
    job: AcceptedJob,
    state: JobState,
    at: number,
    { worker, workerStartedAt }: ClaimTarget,
): JobState {
    const task = state.tasks[at]!;
    const isGang = job.spec.steps[task.step]!.isGang;
    const members = isGang ? state.tasks.filter(other => isSameStep(task, other)) : [task];
    const claimed = members.filter(({ phase }) => phase === TaskPhase.Claimed);
    const run = claimed[0]?.run ?? Math.max(...members.map(member => member.run)) + 1;
    const checkpoint = members.find(member => member.checkpoint !== "")?.checkpoint ?? "";
    const next = withTask(state, at, { phase: TaskPhase.Claimed, run, worker, workerStartedAt, checkpoint });
    return state.phase === JobPhase.Queued ? { ...next, phase: JobPhase.Running } : next;
}

/** Whether two tasks belong to the same step of the same occurrence. */
export function isSameStep(a: TaskState, b: TaskState): boolean {
    return a.step === b.step && a.occurrence === b.occurrence;
}

/** What `endRun` needs to know of the queue. */
export interface FailureLimit {
    /** Runs of a task that may end as failed before the job does. */
    readonly maxFailures: number;
}

/** Applies the end of a task's latest run. */
export function endRun(
    job: AcceptedJob,
    state: JobState,
    at: number,
    end: { readonly how: RunEnd; readonly saved?: string },
    rules: FailureLimit,
): JobState {
    const task = state.tasks[at]!;
    const step = job.spec.steps[task.step]!;
    const checkpoint = end.saved === undefined || end.saved === "" ? task.checkpoint : end.saved;
    const released = { worker: "", workerStartedAt: 0, checkpoint };
    if (task.phase === TaskPhase.Done) {
        return state;
    }
    if (isFinal(state.phase)) {
        return withTask(state, at, { ...released, phase: TaskPhase.Failed });
    }
    if (step.isService) {
        return withTask(state, at, { ...released, phase: TaskPhase.Waiting });
    }
    switch (end.how) {
        case RunEnd.Done:
            return completeIfDone(
                job,
                withTask(state, at, { ...released, phase: TaskPhase.Done, checkpoint: "" }),
            );
        case RunEnd.Failed:
            return endFailedRun(state, at, released, rules);
        case RunEnd.Stopped:
        case RunEnd.Lapsed:
        case RunEnd.GangBroken:
        case RunEnd.GangIncomplete:
        case RunEnd.Lost:
            return withTask(state, at, { ...released, phase: TaskPhase.Waiting });
    }
}

function endFailedRun(
    state: JobState,
    at: number,
    released: Partial<TaskState>,
    { maxFailures }: FailureLimit,
): JobState {
    const failures = state.tasks[at]!.failures + 1;
    if (failures < maxFailures) {
        return withTask(state, at, { ...released, failures, phase: TaskPhase.Waiting });
    }
    const ended = withTask(state, at, { ...released, failures, phase: TaskPhase.Failed });
    return failJob(ended, "attempts-exhausted");
}

/** Ends the job as failed. Runs that still exist have to be stopped. */
export function failJob(state: JobState, reason: string): JobState {
    return isFinal(state.phase) ? state : { ...state, phase: JobPhase.Failed, reason };
}

/** Ends the job as cancelled. Runs that still exist have to be stopped. */
export function cancelJob(state: JobState): JobState {
    return isFinal(state.phase) ? state : { ...state, phase: JobPhase.Cancelled };
}

/** Ends the job as succeeded when all its tasks are done and no occurrence is still to come. */
export function completeIfDone(job: AcceptedJob, state: JobState): JobState {
    const due = job.spec.schedule?.count ?? 1;
    const isOver = state.occurrences >= due && state.tasks.every(task => task.phase === TaskPhase.Done);
    return isOver && !isServiceJob(job.spec) ? { ...state, phase: JobPhase.Succeeded } : state;
}
