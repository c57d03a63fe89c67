/**
 * Progress of a job: the phase of each task and the result of its latest run. States are immutable; the functions of
 * this module return a new one.
 */
import { type AcceptedJob, isServiceJob, type StepSpec } from "./spec.js";
import { exceedsLossLimit, type WorkerIncarnation, type WorkerLoss } from "./worker-loss.js";

/** Phase of a job. A job never returns to an earlier phase; succeeded, failed and cancelled are final. */
export enum JobPhase {
    Queued = "queued",
    Running = "running",
    Succeeded = "succeeded",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** Phase of a task. The numbers are stored. */
export enum TaskPhase {
    /** The task has no active run. */
    Waiting = 0,
    /** A run was recorded as assigned to a worker; it may or may not have started. */
    Claimed = 1,
    Done = 2,
    /** The task used up its attempts, or its run ended after the job became final. */
    Failed = 3,
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

/** State of a task and its latest run. */
export interface TaskState {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
    readonly phase: TaskPhase;
    /** Number of the latest run; 0 before the first. Run numbers never decrease. */
    readonly run: number;
    /** Worker of the claimed run; empty when no run is claimed. */
    readonly worker: string;
    /** Unix time at which that incarnation of the worker started, in milliseconds; 0 when no run is claimed. */
    readonly workerStartedAt: number;
    /** Number of runs that ended as failed. */
    readonly failures: number;
    /** Checkpoint from which the next run resumes; empty when there is none. */
    readonly checkpoint: string;
    /** Workers that were lost under runs of the task and have not been seen alive since. */
    readonly lostWorkers: readonly WorkerLoss[];
}

/** A job's progress. */
export interface JobState {
    readonly phase: JobPhase;
    /** Number of occurrences that have become due. */
    readonly occurrences: number;
    readonly tasks: readonly TaskState[];
    /** Why the job failed. */
    readonly reason?: string;
}

/** State of a newly accepted job: an unscheduled job has its only occurrence at once, a scheduled one has none yet. */
export function initialState(job: AcceptedJob): JobState {
    const empty: JobState = { phase: JobPhase.Queued, occurrences: 0, tasks: [] };
    return job.spec.schedule === undefined ? addOccurrence(job, empty) : empty;
}

/** Adds the tasks of the next occurrence of the job. */
export function addOccurrence(job: AcceptedJob, state: JobState): JobState {
    const occurrence = state.occurrences;
    const added = job.spec.steps.flatMap((step, number) => newTasks(occurrence, number, step));
    return { ...state, occurrences: occurrence + 1, tasks: [...state.tasks, ...added] };
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
        && tasks.filter(({ phase }) => phase !== TaskPhase.Done).length < maxUnfinishedTasks;
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
        lostWorkers: [],
    }));
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
export function readySteps(job: AcceptedJob, state: JobState, occurrence: number): ReadonlySet<number> {
    const steps = job.spec.steps;
    const unfinished = steps.map(() => 0);
    for (const task of state.tasks) {
        if (task.occurrence === occurrence && task.phase !== TaskPhase.Done) {
            unfinished[task.step] = (unfinished[task.step] ?? 0) + 1;
        }
    }
    const indices = steps.map((_, step) => step);
    return new Set(
        indices.filter(step => steps[step]!.after.every(dependency => unfinished[dependency] === 0)),
    );
}

/** Position of a task in `state.tasks`; -1 when the state has no such task. */
export function findTaskPosition(state: JobState, occurrence: number, step: number, index: number): number {
    return state.tasks.findIndex(task =>
        task.index === index && task.step === step && task.occurrence === occurrence
    );
}

/** Returns the state with `change` applied to the task at `position`. */
export function withTask(state: JobState, position: number, change: Partial<TaskState>): JobState {
    return { ...state, tasks: state.tasks.with(position, { ...state.tasks[position]!, ...change }) };
}

/** Claims the next run of a task for a worker. The members of a gang share their run number and their checkpoint. */
export function claimTask(
    job: AcceptedJob,
    state: JobState,
    position: number,
    { worker, workerStartedAt }: WorkerIncarnation,
): JobState {
    const task = state.tasks[position]!;
    const isGang = job.spec.steps[task.step]!.isGang;
    const members = isGang ? state.tasks.filter(other => isSameStep(task, other)) : [task];
    const claimed = members.filter(({ phase }) => phase === TaskPhase.Claimed);
    const run = claimed[0]?.run ?? Math.max(...members.map(member => member.run)) + 1;
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
    /** Number of failed runs of one task at which the job fails. */
    readonly maxFailures: number;
}

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
    const task = state.tasks[position]!;
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
    return job.spec.steps[state.tasks[position]!.step]!.isService
        ? givenUp
        : failJob(givenUp, "workers-lost");
}

/**
 * Whether a waiting task is not started, since too many workers were lost under it, although not all of them are known to
 * have ended: it is given up once they are, and started once those that have answered are off its record.
 */
export function isHeld(job: AcceptedJob, { phase, step, lostWorkers }: TaskState): boolean {
    return phase === TaskPhase.Waiting && lostWorkers.length > 0
        && exceedsLossLimit(lostWorkers, job.spec.steps[step]!.isService);
}

function endFailedRun(
    state: JobState,
    position: number,
    released: Partial<TaskState>,
    { maxFailures }: FailureLimit,
): JobState {
    const failures = state.tasks[position]!.failures + 1;
    if (failures < maxFailures) {
        return withTask(state, position, { ...released, failures, phase: TaskPhase.Waiting });
    }
    const ended = withTask(state, position, { ...released, failures, phase: TaskPhase.Failed });
    return failJob(ended, "attempts-exhausted");
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
    const { lostWorkers } = state.tasks[position]!;
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
        && state.tasks.every(task => task.phase === TaskPhase.Done);
    return isComplete && !isServiceJob(job.spec) ? { ...state, phase: JobPhase.Succeeded } : state;
}
