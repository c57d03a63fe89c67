/** The decision how one attempt of a job is run, watched and ended, whatever fails meanwhile. */
import type { Flow } from "../process/flow.js";
import { type StoreEffect, StorePriority } from "../process/store.js";
import { endRun, type JobEnd, JobEndKind, type JobRead, loadBlob, readJob, storeBlob } from "./job-store.js";
import { hasEnded, isPoisonJob, type Job, type JobFailure } from "./job.js";
import { TaskStartResult, TaskState, type TaskStatus } from "./task.js";

/** Kinds of effects on tasks. */
export enum TaskEffectKind {
    Start = "start",
    RenewLease = "ask",
    Cancel = "cancel",
    Checkpoint = "checkpoint",
    Forget = "forget",
    Sleep = "sleep",
    ReadContext = "look",
    /** Tells that a run ended, after the row says so. */
    ReportEnd = "note",
}

/** What the holder knows about a job's surroundings. */
export interface RunContext {
    /** The worker that was booted as `workerBoot` is gone for good. */
    readonly isWorkerLost: boolean;
    /** The worker is to be serviced; its tasks should move. */
    readonly shouldMigrate: boolean;
    readonly isCancelRequested: boolean;
    readonly rackOfWorker: string;
    readonly racksInPool: number;
    /** The entry is stopping and hands its jobs over. */
    readonly isDraining: boolean;
}

/** An effect that running a job asks for. */
export type JobEffect =
    | StoreEffect
    | { readonly kind: TaskEffectKind.Start; readonly job: Job; readonly payload: Buffer }
    | { readonly kind: TaskEffectKind.RenewLease; readonly job: Job }
    | { readonly kind: TaskEffectKind.Cancel; readonly job: Job }
    | { readonly kind: TaskEffectKind.Checkpoint; readonly job: Job }
    | { readonly kind: TaskEffectKind.Forget; readonly job: Job }
    | { readonly kind: TaskEffectKind.Sleep; readonly ms: number }
    | { readonly kind: TaskEffectKind.ReadContext; readonly job: Job }
    | { readonly kind: TaskEffectKind.ReportEnd; readonly job: Job; readonly end: JobEndKind };

type JobFlow<T> = Flow<JobEffect, T>;

/** How a run ended for the slot that it held. */
export enum RunOutcome {
    Finished = "finished",
    WorkerFailed = "worker-failed",
    WorkerFull = "worker-full",
    /** The job belongs to another entry now. */
    OwnershipLost = "lost",
    /** The entry is stopping; another will adopt the job. */
    HandedOver = "handed-over",
}

const renewIntervalMs = 500;
const storeRetryIntervalMs = 1000;
const roundsPerRowCheck = 10;

/** Starts a claimed job on its worker and looks after it to the end. */
export function* startJob(read: JobRead): JobFlow<RunOutcome> {
    const payload = yield* loadPayload(read.job);
    if (payload === undefined) {
        return yield* finishRun(
            read,
            { kind: JobEndKind.Failed, reason: "the payload object is missing" },
            RunOutcome.Finished,
        );
    }
    const start = (yield { kind: TaskEffectKind.Start, job: read.job, payload }) as TaskStartResult;
    switch (start) {
        case TaskStartResult.Started:
        case TaskStartResult.Unknown:
            return yield* watchJob(read);
        case TaskStartResult.Refused:
            return yield* finishRun(read, { kind: JobEndKind.Requeue }, RunOutcome.WorkerFull);
    }
}

/** Looks after a job that may be running on its worker. */
export function* watchJob(read: JobRead): JobFlow<RunOutcome> {
    for (let round = 1;; round++) {
        const status = (yield { kind: TaskEffectKind.RenewLease, job: read.job }) as TaskStatus;
        const around = (yield { kind: TaskEffectKind.ReadContext, job: read.job }) as RunContext;
        const ended = yield* handleStatus(read, status, around);
        if (ended !== undefined) {
            return ended;
        }
        if (round % roundsPerRowCheck === 0 && (yield* hasLostOwnership(read))) {
            return RunOutcome.OwnershipLost;
        }
        yield { kind: TaskEffectKind.Sleep, ms: renewIntervalMs };
    }
}

function* handleStatus(
    read: JobRead,
    status: TaskStatus,
    around: RunContext,
): JobFlow<RunOutcome | undefined> {
    const { job } = read;
    if (status.state === TaskState.Unreachable || status.bootId !== job.workerBoot) {
        const isGone = around.isWorkerLost || status.state !== TaskState.Unreachable;
        return isGone ? yield* finishRun(read, endAfterWorkerLoss(job), RunOutcome.WorkerFailed) : undefined;
    }
    switch (status.state) {
        case TaskState.Running:
            return yield* handleRunning(read, around);
        case TaskState.Done:
            return yield* storeResult(
                read,
                status.result ?? Buffer.alloc(0),
                status.resultType ?? "application/octet-stream",
            );
        case TaskState.Failed:
            return yield* finishFailedRun(read, status.reason ?? "no reason given", around);
        case TaskState.Absent:
            yield { kind: TaskEffectKind.Cancel, job };
            return undefined;
        case TaskState.Tombstone:
            return yield* finishRun(read, { kind: JobEndKind.Requeue }, RunOutcome.Finished);
        case TaskState.Stopped:
            return yield* finishRun(read, endAfterStop(job, around), RunOutcome.Finished);
        case TaskState.LeaseExpired:
            return yield* finishRun(read, endAfterWorkerLoss(job), RunOutcome.Finished);
    }
}

function* handleRunning(read: JobRead, around: RunContext): JobFlow<RunOutcome | undefined> {
    const { job } = read;
    if (around.isDraining) {
        return RunOutcome.HandedOver;
    }
    if (around.isCancelRequested) {
        yield { kind: TaskEffectKind.Cancel, job };
        return undefined;
    }
    if (around.shouldMigrate) {
        const checkpoint = (yield { kind: TaskEffectKind.Checkpoint, job }) as Buffer | undefined;
        return checkpoint === undefined ? undefined : yield* requeueFromCheckpoint(read, checkpoint);
    }
    return undefined;
}

/** Puts a checkpointed job back in line with its checkpoint as payload; it goes on elsewhere. */
function* requeueFromCheckpoint(read: JobRead, checkpoint: Buffer): JobFlow<RunOutcome> {
    const key = `payload/${read.job.id}.${read.job.attempt}`;
    const payload = yield* retryStoreFlow(read, () => storeBlob(key, checkpoint, StorePriority.Claim));
    return yield* finishRun(read, { kind: JobEndKind.Requeue, payload }, RunOutcome.Finished);
}

function* storeResult(read: JobRead, body: Buffer, resultType: string): JobFlow<RunOutcome> {
    const key = `result/${read.job.id}.${read.job.attempt}`;
    const result = yield* retryStoreFlow(read, () => storeBlob(key, body, StorePriority.Claim));
    return yield* finishRun(read, { kind: JobEndKind.Done, result, resultType }, RunOutcome.Finished);
}

function* finishFailedRun(read: JobRead, reason: string, around: RunContext): JobFlow<RunOutcome> {
    const { job } = read;
    const failure: JobFailure = { worker: job.worker!, rack: around.rackOfWorker, reason };
    const isLast = !job.idempotent || isPoisonJob([...job.failures, failure], around.racksInPool);
    const end: JobEnd = isLast
        ? { kind: JobEndKind.Failed, reason, failure }
        : { kind: JobEndKind.Requeue, failure };
    return yield* finishRun(read, end, RunOutcome.WorkerFailed);
}

/** An idempotent job whose worker is gone runs again; any other must not, since it may have run. */
function endAfterWorkerLoss(job: Job): JobEnd {
    return job.idempotent
        ? { kind: JobEndKind.Requeue }
        : {
            kind: JobEndKind.Uncertain,
            reason: "the worker was lost while it may have been running the job",
        };
}

function endAfterStop(job: Job, around: RunContext): JobEnd {
    return around.isCancelRequested ? { kind: JobEndKind.Cancelled } : endAfterWorkerLoss(job);
}

function* finishRun(read: JobRead, end: JobEnd, runEnd: RunOutcome): JobFlow<RunOutcome> {
    const isMine = yield* retryStoreFlow(read, () => endRun(read, end));
    if (!isMine) {
        return RunOutcome.OwnershipLost;
    }
    yield { kind: TaskEffectKind.ReportEnd, job: read.job, end: end.kind };
    yield { kind: TaskEffectKind.Forget, job: read.job };
    return runEnd;
}

/** Repeats a store flow until the store answers, renewing the task's lease meanwhile. */
function* retryStoreFlow<T>(read: JobRead, flow: () => Flow<StoreEffect, T>): JobFlow<T> {
    for (;;) {
        try {
            return yield* flow();
        }
        catch {
            yield { kind: TaskEffectKind.RenewLease, job: read.job };
            yield { kind: TaskEffectKind.Sleep, ms: storeRetryIntervalMs };
        }
    }
}

function* loadPayload(job: Job): JobFlow<Buffer | undefined> {
    for (;;) {
        try {
            return yield* loadBlob(job.payload, StorePriority.Claim);
        }
        catch {
            yield { kind: TaskEffectKind.Sleep, ms: storeRetryIntervalMs };
        }
    }
}

function* hasLostOwnership(read: JobRead): JobFlow<boolean> {
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
