/** The decision how one attempt of a job is run, watched and ended, whatever fails meanwhile. */
import type { Flow } from "../process/flow.js";
import { type StoreEffect, StorePriority } from "../process/store.js";
import { endRun, type JobEnd, JobEndKind, type JobRead, loadBlob, readJob, storeBlob } from "./job-store.js";
import { hasEnded, isPoison, type Job, type JobFailure } from "./job.js";
import { TaskStart, TaskState, type TaskStatus } from "./task.js";

/** Kinds of effects on tasks. */
export enum TaskEffectKind {
    Start = "start",
    Ask = "ask",
    Cancel = "cancel",
    Checkpoint = "checkpoint",
    Forget = "forget",
    Sleep = "sleep",
    Look = "look",
    /** Tells that a run ended, after the row says so. */
    Note = "note",
}

/** What the holder knows about a job's surroundings. */
export interface Surroundings {
    /** The worker that was booted as `workerBoot` is gone for good. */
    readonly isWorkerGone: boolean;
    /** The worker is to be serviced; its tasks should move. */
    readonly shouldMove: boolean;
    readonly isCancelAsked: boolean;
    readonly rackOfWorker: string;
    readonly racksInPool: number;
    /** The entry is stopping and hands its jobs over. */
    readonly isLeaving: boolean;
}

/** An effect that running a job asks for. */
export type JobEffect =
    | StoreEffect
    | { readonly kind: TaskEffectKind.Start; readonly job: Job; readonly payload: Buffer }
    | { readonly kind: TaskEffectKind.Ask; readonly job: Job }
    | { readonly kind: TaskEffectKind.Cancel; readonly job: Job }
    | { readonly kind: TaskEffectKind.Checkpoint; readonly job: Job }
    | { readonly kind: TaskEffectKind.Forget; readonly job: Job }
    | { readonly kind: TaskEffectKind.Sleep; readonly ms: number }
    | { readonly kind: TaskEffectKind.Look; readonly job: Job }
    | { readonly kind: TaskEffectKind.Note; readonly job: Job; readonly end: JobEndKind };

type JobFlow<T> = Flow<JobEffect, T>;

/** How a run ended for the slot that it held. */
export enum RunEnd {
    Finished = "finished",
    WorkerFailed = "worker-failed",
    WorkerFull = "worker-full",
    /** The job belongs to another entry now. */
    Lost = "lost",
    /** The entry is stopping; another will adopt the job. */
    HandedOver = "handed-over",
}

const askEveryMs = 500;
const persistRetryMs = 1000;
const lookAtRowEvery = 10;

/** Starts a claimed job on its worker and looks after it to the end. */
export function* startJob(read: JobRead): JobFlow<RunEnd> {
    const payload = yield* loadPayload(read.job);
    if (payload === undefined) {
        return yield* finish(
            read,
            { kind: JobEndKind.Failed, reason: "the payload object is missing" },
            RunEnd.Finished,
        );
    }
    const start = (yield { kind: TaskEffectKind.Start, job: read.job, payload }) as TaskStart;
    switch (start) {
        case TaskStart.Started:
        case TaskStart.Unknown:
            return yield* watchJob(read);
        case TaskStart.Refused:
            return yield* finish(read, { kind: JobEndKind.Again }, RunEnd.WorkerFull);
    }
}

/** Looks after a job that may be running on its worker. */
export function* watchJob(read: JobRead): JobFlow<RunEnd> {
    for (let round = 1;; round++) {
        const status = (yield { kind: TaskEffectKind.Ask, job: read.job }) as TaskStatus;
        const around = (yield { kind: TaskEffectKind.Look, job: read.job }) as Surroundings;
        const ended = yield* react(read, status, around);
        if (ended !== undefined) {
            return ended;
        }
        if (round % lookAtRowEvery === 0 && (yield* isLost(read))) {
            return RunEnd.Lost;
        }
        yield { kind: TaskEffectKind.Sleep, ms: askEveryMs };
    }
}

function* react(read: JobRead, status: TaskStatus, around: Surroundings): JobFlow<RunEnd | undefined> {
    const { job } = read;
    if (status.state === TaskState.Unreachable || status.bootId !== job.workerBoot) {
        const isGone = around.isWorkerGone || status.state !== TaskState.Unreachable;
        return isGone ? yield* finish(read, endWithoutWorker(job), RunEnd.WorkerFailed) : undefined;
    }
    switch (status.state) {
        case TaskState.Running:
            return yield* reactRunning(read, around);
        case TaskState.Done:
            return yield* collect(
                read,
                status.result ?? Buffer.alloc(0),
                status.resultType ?? "application/octet-stream",
            );
        case TaskState.Failed:
            return yield* failed(read, status.reason ?? "no reason given", around);
        case TaskState.Absent:
            yield { kind: TaskEffectKind.Cancel, job };
            return undefined;
        case TaskState.Tombstone:
            return yield* finish(read, { kind: JobEndKind.Again }, RunEnd.Finished);
        case TaskState.Stopped:
            return yield* finish(read, endAfterStop(job, around), RunEnd.Finished);
        case TaskState.Lapsed:
            return yield* finish(read, endWithoutWorker(job), RunEnd.Finished);
    }
}

function* reactRunning(read: JobRead, around: Surroundings): JobFlow<RunEnd | undefined> {
    const { job } = read;
    if (around.isLeaving) {
        return RunEnd.HandedOver;
    }
    if (around.isCancelAsked) {
        yield { kind: TaskEffectKind.Cancel, job };
        return undefined;
    }
    if (around.shouldMove) {
        const checkpoint = (yield { kind: TaskEffectKind.Checkpoint, job }) as Buffer | undefined;
        return checkpoint === undefined ? undefined : yield* move(read, checkpoint);
    }
    return undefined;
}

/** Puts a checkpointed job back in line with its checkpoint as payload; it goes on elsewhere. */
function* move(read: JobRead, checkpoint: Buffer): JobFlow<RunEnd> {
    const key = `payload/${read.job.id}.${read.job.attempt}`;
    const payload = yield* persistently(read, () => storeBlob(key, checkpoint, StorePriority.Claim));
    return yield* finish(read, { kind: JobEndKind.Again, payload }, RunEnd.Finished);
}

function* collect(read: JobRead, body: Buffer, resultType: string): JobFlow<RunEnd> {
    const key = `result/${read.job.id}.${read.job.attempt}`;
    const result = yield* persistently(read, () => storeBlob(key, body, StorePriority.Claim));
    return yield* finish(read, { kind: JobEndKind.Done, result, resultType }, RunEnd.Finished);
}

function* failed(read: JobRead, reason: string, around: Surroundings): JobFlow<RunEnd> {
    const { job } = read;
    const failure: JobFailure = { worker: job.worker!, rack: around.rackOfWorker, reason };
    const isLast = !job.idempotent || isPoison([...job.failures, failure], around.racksInPool);
    const end: JobEnd = isLast
        ? { kind: JobEndKind.Failed, reason, failure }
        : { kind: JobEndKind.Again, failure };
    return yield* finish(read, end, RunEnd.WorkerFailed);
}

/** An idempotent job whose worker is gone runs again; any other must not, since it may have run. */
function endWithoutWorker(job: Job): JobEnd {
    return job.idempotent
        ? { kind: JobEndKind.Again }
        : {
            kind: JobEndKind.Uncertain,
            reason: "the worker was lost while it may have been running the job",
        };
}

function endAfterStop(job: Job, around: Surroundings): JobEnd {
    return around.isCancelAsked ? { kind: JobEndKind.Cancelled } : endWithoutWorker(job);
}

function* finish(read: JobRead, end: JobEnd, runEnd: RunEnd): JobFlow<RunEnd> {
    const isMine = yield* persistently(read, () => endRun(read, end));
    if (!isMine) {
        return RunEnd.Lost;
    }
    yield { kind: TaskEffectKind.Note, job: read.job, end: end.kind };
    yield { kind: TaskEffectKind.Forget, job: read.job };
    return runEnd;
}

/** Repeats a store flow until the store answers, renewing the task's lease meanwhile. */
function* persistently<T>(read: JobRead, flow: () => Flow<StoreEffect, T>): JobFlow<T> {
    for (;;) {
        try {
            return yield* flow();
        }
        catch {
            yield { kind: TaskEffectKind.Ask, job: read.job };
            yield { kind: TaskEffectKind.Sleep, ms: persistRetryMs };
        }
    }
}

function* loadPayload(job: Job): JobFlow<Buffer | undefined> {
    for (;;) {
        try {
            return yield* loadBlob(job.payload, StorePriority.Claim);
        }
        catch {
            yield { kind: TaskEffectKind.Sleep, ms: persistRetryMs };
        }
    }
}

function* isLost(read: JobRead): JobFlow<boolean> {
    try {
        const now = yield* readJob(read.job.id);
        const { holder, attempt } = read.job;
        return now === undefined || hasEnded(now.job) || now.job.holder !== holder
            || now.job.attempt !== attempt;
    }
    catch {
        return false;
    }
}
