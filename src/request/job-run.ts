/** Flows that start, supervise and end one attempt of a job, tolerating failures of the worker and the store. */
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
    /** Reports the end of a run, after it has been stored. */
    ReportEnd = "note",
}

/** Conditions outside the task that decide how its run goes on, as the holder sees them. */
export interface RunContext {
    /** The boot `workerBoot` of the worker has ended, and its tasks with it. */
    readonly isWorkerLost: boolean;
    /** The worker is due for maintenance; its tasks should migrate to other workers. */
    readonly shouldMigrate: boolean;
    readonly isCancelRequested: boolean;
    readonly rackOfWorker: string;
    readonly racksInPool: number;
    /** The entry is stopping and hands its running jobs over. */
    readonly isDraining: boolean;
}

/** An effect that the flows of this file yield. */
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

/** Outcome of supervising a run, as far as its slot is concerned. */
export enum RunOutcome {
    Finished = "finished",
    WorkerFailed = "worker-failed",
    WorkerFull = "worker-full",
    /** Another entry holds the job now, or it has ended or started another attempt. */
    OwnershipLost = "lost",
    /** The task goes on; the entry is stopping, and another will adopt the job. */
    HandedOver = "handed-over",
}

const renewIntervalMs = 500;
const storeRetryIntervalMs = 1000;
/** Lease renewals between two checks that the row still names this holder and attempt. */
const roundsPerRowCheck = 10;

/** Starts a claimed job on its worker and supervises it until its run ends. */
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

/** Supervises a job that may be running on its worker: renews its lease and reacts to its status. */
export function* watchJob(read: JobRead): JobFlow<RunOutcome> {
    for (let round = 1;; round++) {
        const status = (yield { kind: TaskEffectKind.RenewLease, job: read.job }) as TaskStatus;
        const context = (yield { kind: TaskEffectKind.ReadContext, job: read.job }) as RunContext;
        const outcome = yield* handleStatus(read, status, context);
        if (outcome !== undefined) {
            return outcome;
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
    context: RunContext,
): JobFlow<RunOutcome | undefined> {
    const { job } = read;
    if (status.state === TaskState.Unreachable || status.bootId !== job.workerBoot) {
        const isLost = context.isWorkerLost || status.state !== TaskState.Unreachable;
        return isLost ? yield* finishRun(read, endAfterWorkerLoss(job), RunOutcome.WorkerFailed) : undefined;
    }
    switch (status.state) {
        case TaskState.Running:
            return yield* handleRunning(read, context);
        case TaskState.Done:
            return yield* storeResult(
                read,
                status.result ?? Buffer.alloc(0),
                status.resultType ?? "application/octet-stream",
            );
        case TaskState.Failed:
            return yield* finishFailedRun(read, status.reason ?? "no reason given", context);
        case TaskState.Absent:
            yield { kind: TaskEffectKind.Cancel, job };
            return undefined;
        case TaskState.Tombstone:
            return yield* finishRun(read, { kind: JobEndKind.Requeue }, RunOutcome.Finished);
        case TaskState.Stopped:
            return yield* finishRun(read, endAfterStop(job, context), RunOutcome.Finished);
        case TaskState.LeaseExpired:
            return yield* finishRun(read, endAfterWorkerLoss(job), RunOutcome.Finished);
    }
}

function* handleRunning(read: JobRead, context: RunContext): JobFlow<RunOutcome | undefined> {
    const { job } = read;
    if (context.isDraining) {
        return RunOutcome.HandedOver;
    }
    if (context.isCancelRequested) {
        yield { kind: TaskEffectKind.Cancel, job };
        return undefined;
    }
    if (context.shouldMigrate) {
        const checkpoint = (yield { kind: TaskEffectKind.Checkpoint, job }) as Buffer | undefined;
        return checkpoint === undefined ? undefined : yield* requeueFromCheckpoint(read, checkpoint);
    }
    return undefined;
}

/** Returns a checkpointed job to the waiting state with the checkpoint as its payload, to resume on another worker. */
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

function* finishFailedRun(read: JobRead, reason: string, context: RunContext): JobFlow<RunOutcome> {
    const { job } = read;
    const failure: JobFailure = { worker: job.worker!, rack: context.rackOfWorker, reason };
    const isLast = !job.idempotent || isPoisonJob([...job.failures, failure], context.racksInPool);
    const end: JobEnd = isLast
        ? { kind: JobEndKind.Failed, reason, failure }
        : { kind: JobEndKind.Requeue, failure };
    return yield* finishRun(read, end, RunOutcome.WorkerFailed);
}

/** An idempotent job whose worker was lost runs again; any other must not, since it may have run. */
function endAfterWorkerLoss(job: Job): JobEnd {
    return job.idempotent
        ? { kind: JobEndKind.Requeue }
        : {
            kind: JobEndKind.Uncertain,
            reason: "the worker was lost while it may have been running the job",
        };
}

function endAfterStop(job: Job, context: RunContext): JobEnd {
    return context.isCancelRequested ? { kind: JobEndKind.Cancelled } : endAfterWorkerLoss(job);
}

function* finishRun(read: JobRead, end: JobEnd, outcome: RunOutcome): JobFlow<RunOutcome> {
    const isEnded = yield* retryStoreFlow(read, () => endRun(read, end));
    if (!isEnded) {
        return RunOutcome.OwnershipLost;
    }
    yield { kind: TaskEffectKind.ReportEnd, job: read.job, end: end.kind };
    yield { kind: TaskEffectKind.Forget, job: read.job };
    return outcome;
}

/** Repeats a store flow until it succeeds. Renews the task's lease before each retry, so that it does not expire. */
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
        const current = yield* readJob(read.job.id);
        const { holder, attempt } = read.job;
        return current === undefined || hasEnded(current.job) || current.job.holder !== holder
            || current.job.attempt !== attempt;
    }
    catch {
        return false;
    }
}
