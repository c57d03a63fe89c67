/**
 * Progress of a job: the phase of each task and the result of its latest run. States are immutable; the functions of
 * this module return a new one.
 */
import { type AcceptedJob, isServiceJob } from "./spec.js";
import { TaskLayout } from "./task-layout.js";
import { isHeldTask, TaskPhase, type TaskState } from "./task-state.js";
import { TaskSet, TaskTable } from "./task-table.js";
import { exceedsLossLimit, type WorkerIncarnation, type WorkerLoss } from "./worker-loss.js";

/** Phase of a job. A job never returns to an earlier phase; succeeded, failed and cancelled are final. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** How a run ended. */
export enum RunEnd {
    Done = "done",
    /** The task or its worker failed. */
    Failed = "failed",
    /** The run was stopped by the scheduler. */
    Stopped = "stopped",
    /** The lease of the run expired. */
    Lapsed = "lapsed",
    /** Another member of the gang ended first. */
    GangBroken = "gang-broken",
    /** The other members of the gang did not start in time. */
    GangIncomplete = "gang-incomplete",
    /** The worker never received the run, or no longer has it. */
    Lost = "lost",
    /** The worker ended unexpectedly under the run, or could not be reached until its lease had expired. */
    WorkerLost = "worker-lost",
}

/** A job's progress. */
export interface JobState {
    readonly phase: JobPhase;
    /** Number of occurrences that have become due. */
    readonly occurrences: number;
    readonly tasks: TaskTable;
    /** Why the job failed. */
    readonly reason?: string;
}

/** State of a newly accepted job: an unscheduled job has its only occurrence at once, a scheduled one has none yet. */
export function initialState({ spec }: AcceptedJob): JobState {
    const occurrences = spec.schedule === undefined ? 1 : 0;
    return {
        phase: JobPhase.Queued,
        occurrences,
        tasks: TaskTable.create(TaskLayout.of(spec), occurrences),
    };
}

/** Adds the tasks of the next occurrence of the job. */
export function addOccurrence(state: JobState): JobState {
    return { ...state, occurrences: state.occurrences + 1, tasks: state.tasks.withOccurrence() };
}

/** Number of unfinished tasks with which a job gets no further occurrence, however many are due. */
const maxUnfinishedTasks = 10_000;

/** Whether the next occurrence of a job is due, and may be added. */
export function isOccurrenceDue(
    { spec: { schedule } }: AcceptedJob,
    state: JobState,
    wallMs: number,
): boolean {
    const { occurrences, tasks } = state;
    return schedule !== undefined && occurrences < schedule.count
        && wallMs >= schedule.firstAtMs + occurrences * schedule.intervalMs
        && tasks.count(TaskSet.Unfinished) < maxUnfinishedTasks;
}

/** Whether a job in this phase can no longer change its phase. */
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

/** Indices of the steps of an occurrence whose dependencies have all succeeded. */
export function readySteps(
    { spec: { steps } }: AcceptedJob,
    { tasks }: JobState,
    occurrence: number,
): ReadonlySet<number> {
    const isDone = steps.map((_, step) =>
        tasks.count(TaskSet.Unfinished, tasks.layout.rangeOf({ occurrence, step })) === 0
    );
    const indices = steps.map((_, step) => step);
    return new Set(indices.filter(step => steps[step]!.after.every(dependency => isDone[dependency])));
}

/** Position of a task; -1 when the state has no such task. */
export function findTaskPosition(
    { tasks }: JobState,
    occurrence: number,
    step: number,
    index: number,
): number {
    const position = tasks.layout.positionOf({ occurrence, step, index });
    return position < tasks.length ? position : -1;
}

/** Returns the state with `change` applied to the task at `position`. */
export function withTask(state: JobState, position: number, change: Partial<TaskState>): JobState {
    const { tasks } = state;
    return { ...state, tasks: tasks.with(position, { ...tasks.at(position), ...change }) };
}

/** Claims the next run of a task for a worker. The members of a gang share their run number and their checkpoint. */
export function claimTask(
    job: AcceptedJob,
    state: JobState,
    position: number,
    { worker, workerStartedAt }: WorkerIncarnation,
): JobState {
    const task = state.tasks.at(position);
    const isGang = job.spec.steps[task.step]!.isGang;
    const members = isGang ? [...state.tasks.begunTasks(state.tasks.layout.rangeOf(task))] : [task];
    const claimed = members.find(({ phase }) => phase === TaskPhase.Claimed);
    const run = claimed?.run ?? members.reduce((most, member) => Math.max(most, member.run), 0) + 1;
    const checkpoint = members.find(member => member.checkpoint !== "")?.checkpoint ?? "";
    const next = withTask(state, position, {
        phase: TaskPhase.Claimed,
        run,
        worker,
        workerStartedAt,
        checkpoint,
    });
    return state.phase === JobPhase.Queued ? { ...next, phase: JobPhase.Running } : next;
}

/** Whether two tasks belong to the same step of the same occurrence. */
export function isSameStep(a: TaskState, b: TaskState): boolean {
    return a.step === b.step && a.occurrence === b.occurrence;
}

/** Limit on the failures of a task, as the queue sets it. */
export interface FailureLimit {
    /** Number of failed runs of one task at which the job fails; infinite while it is not known. */
    readonly maxFailures: number;
}

/** Reason of a job that has failed since a task of it has failed as often as its queue allows. */
export const attemptsExhausted = "attempts-exhausted";

/** End of a run. */
export interface RunResult {
    readonly how: RunEnd;
    readonly saved?: string;
    /** See `WorkerLoss`; only with `RunEnd.WorkerLost`. */
    readonly isExplained?: boolean;
    /**
     * Whether a worker that was lost under the task is known to have ended. Only such workers decide that a task is given up;
     * by default, all that were lost do.
     */
    readonly hasEnded?: (lost: WorkerIncarnation) => boolean;
}

/**
 * Applies the end of a task's latest run. Without a new checkpoint, the task keeps the one that it has. Tasks of a
 * service wait for another run however the last one ended, and are given up by themselves when too many workers were lost under
 * them: the others serve on.
 */
export function endRun(
    job: AcceptedJob,
    state: JobState,
    position: number,
    end: RunResult,
    limit: FailureLimit,
): JobState {
    const task = state.tasks.at(position);
    const step = job.spec.steps[task.step]!;
    const { hasEnded = () => true } = end;
    const checkpoint = end.saved === undefined || end.saved === "" ? task.checkpoint : end.saved;
    const { worker, workerStartedAt } = task;
    const lostWorkers = end.how === RunEnd.WorkerLost
        ? [...task.lostWorkers, { worker, workerStartedAt, isExplained: end.isExplained === true }]
        : task.lostWorkers;
    const released = { worker: "", workerStartedAt: 0, checkpoint, lostWorkers };
    if (task.phase === TaskPhase.Done) {
        return state;
    }
    if (isFinal(state.phase)) {
        return withTask(state, position, { ...released, phase: TaskPhase.Failed });
    }
    if (end.how === RunEnd.WorkerLost && exceedsLossLimit(lostWorkers.filter(hasEnded), step.isService)) {
        return giveUpTask(job, withTask(state, position, released), position);
    }
    if (step.isService) {
        return withTask(state, position, { ...released, phase: TaskPhase.Waiting });
    }
    switch (end.how) {
        case RunEnd.Done:
            return completeIfDone(
                job,
                withTask(state, position, {
                    ...released,
                    phase: TaskPhase.Done,
                    checkpoint: "",
                    lostWorkers: [],
                }),
            );
        case RunEnd.Failed:
            return endFailedRun(state, position, released, limit);
        case RunEnd.Stopped:
        case RunEnd.Lapsed:
        case RunEnd.GangBroken:
        case RunEnd.GangIncomplete:
        case RunEnd.Lost:
        case RunEnd.WorkerLost:
            return withTask(state, position, { ...released, phase: TaskPhase.Waiting });
    }
}

/** Gives up a task under which too many workers were lost; its job fails with it, unless the task is part of a service. */
export function giveUpTask(job: AcceptedJob, state: JobState, position: number): JobState {
    const givenUp = withTask(state, position, { phase: TaskPhase.Failed });
    return job.spec.steps[state.tasks.at(position).step]!.isService
        ? givenUp
        : failJob(givenUp, "workers-lost");
}

/** Whether a task is held, see `isHeldTask`. */
export function isHeld(job: AcceptedJob, task: TaskState): boolean {
    return isHeldTask(task, job.spec.steps[task.step]!);
}

function endFailedRun(
    state: JobState,
    position: number,
    released: Partial<TaskState>,
    { maxFailures }: FailureLimit,
): JobState {
    const failures = state.tasks.at(position).failures + 1;
    if (failures < maxFailures) {
        return withTask(state, position, { ...released, failures, phase: TaskPhase.Waiting });
    }
    const ended = withTask(state, position, { ...released, failures, phase: TaskPhase.Failed });
    return failJob(ended, attemptsExhausted);
}

/** Position of the first waiting task that has failed as often as it may; undefined if there is none. */
export function findExhaustedTask({ tasks }: JobState, { maxFailures }: FailureLimit): number | undefined {
    if (tasks.count(TaskSet.WithFailures) === 0) {
        return undefined;
    }
    for (const position of tasks.positions(TaskSet.WithFailures)) {
        if (tasks.at(position).failures >= maxFailures) {
            return position;
        }
    }
    return undefined;
}

/**
 * Replaces each lost worker of a task by the result of `update`, or drops it if that is undefined; returns the same state
 * when nothing changes.
 */
export function updateLosses(
    state: JobState,
    position: number,
    update: (lost: WorkerLoss) => WorkerLoss | undefined,
): JobState {
    const { lostWorkers } = state.tasks.at(position);
    const updated = lostWorkers.flatMap(lost => update(lost) ?? []);
    const isSame = updated.length === lostWorkers.length
        && updated.every((lost, index) => lost === lostWorkers[index]);
    return isSame ? state : withTask(state, position, { lostWorkers: updated });
}

/** Marks the job as failed unless it is final already. The caller has to stop its remaining runs. */
export function failJob(state: JobState, reason: string): JobState {
    return isFinal(state.phase) ? state : { ...state, phase: JobPhase.Failed, reason };
}

/** Marks the job as cancelled unless it is final already. The caller has to stop its remaining runs. */
export function cancelJob(state: JobState): JobState {
    return isFinal(state.phase) ? state : { ...state, phase: JobPhase.Cancelled };
}

/** Marks the job as succeeded once every occurrence is due and all tasks are done. A service job never succeeds. */
export function completeIfDone(job: AcceptedJob, state: JobState): JobState {
    const occurrenceCount = job.spec.schedule?.count ?? 1;
    const isComplete = state.occurrences >= occurrenceCount
        && state.tasks.count(TaskSet.Unfinished) === 0;
    return isComplete && !isServiceJob(job.spec) ? { ...state, phase: JobPhase.Succeeded } : state;
}
