/**
 * Store transactions for each state change of a job. Each is conditional on the row version that was read, so of
 * concurrent writers one commits and the others get a conflict without side effects.
 */
import {
    commit,
    CommitOutcome,
    deleteObject,
    getObject,
    getRow,
    putObject,
    putWrite,
    type Row,
    scanRows,
    type StoreFlow,
    StorePriority,
    type Write,
    WriteKind,
} from "../process/store.js";
import {
    activeKey,
    activePrefix,
    type Blob,
    BlobKind,
    fitsInline,
    hasEnded,
    type Job,
    type JobFailure,
    jobKey,
    JobState,
    readyKey,
    readyPrefix,
    readyTeamPrefix,
} from "./job.js";

/** A job with the row from which it was decoded. */
export interface JobRead {
    readonly row: Row;
    readonly job: Job;
}

/** Kinds of `AcceptResult`. */
export enum AcceptKind {
    Accepted = "accepted",
    /** The same team submitted the same idempotency key before; the job of that submission is returned. */
    Duplicate = "known",
    /** The store did not confirm the write: the job may have been stored. */
    Unknown = "unknown",
}

/** Result of accepting a job. */
export type AcceptResult =
    | { readonly kind: AcceptKind.Accepted | AcceptKind.Duplicate; readonly job: Job }
    | { readonly kind: AcceptKind.Unknown };

/** Index rows are written once and removed once, so a present one always has the first version. */
const indexRowVersion = 1;
const activePageSize = 100;

/** Stores bytes: small ones inline in the returned blob, others as an object under `key`. */
export function* storeBlob(key: string, body: Buffer, priority: StorePriority): StoreFlow<Blob> {
    if (fitsInline(body)) {
        return { kind: BlobKind.Inline, base64: body.toString("base64") };
    }
    yield* putObject(key, body, priority);
    return { kind: BlobKind.Object, key, size: body.length };
}

/** Reads the bytes of a blob; undefined when the object is missing. */
export function* loadBlob(blob: Blob, priority: StorePriority): StoreFlow<Buffer | undefined> {
    switch (blob.kind) {
        case BlobKind.Inline:
            return Buffer.from(blob.base64, "base64");
        case BlobKind.Object:
            return yield* getObject(blob.key, priority);
    }
}

/** Reads a job; undefined when it does not exist. */
export function* readJob(id: string): StoreFlow<JobRead | undefined> {
    const row = yield* getRow(jobKey(id), StorePriority.Accept);
    return row === undefined ? undefined : { row, job: row.value as Job };
}

/**
 * Stores a job: its payload first, then its row and index row in one transaction. It counts as accepted only once that
 * transaction is known to be committed.
 */
export function* acceptJob(draft: Omit<Job, "payload">, body: Buffer): StoreFlow<AcceptResult> {
    const payload = yield* storeBlob(`payload/${draft.id}`, body, StorePriority.Accept);
    const job: Job = { ...draft, payload };
    const outcome = yield* commit([
        putWrite(jobKey(job.id), undefined, job),
        putWrite(readyKey(job), undefined, indexValueOf(job)),
    ], StorePriority.Accept);
    switch (outcome) {
        case CommitOutcome.Committed:
            return { kind: AcceptKind.Accepted, job };
        case CommitOutcome.Conflict: {
            const existing = yield* readJob(job.id);
            return existing === undefined
                ? { kind: AcceptKind.Unknown }
                : { kind: AcceptKind.Duplicate, job: existing.job };
        }
        case CommitOutcome.Unknown:
            return { kind: AcceptKind.Unknown };
    }
}

function indexValueOf({ id, pool }: Job): IndexValue {
    return { id, pool };
}

/** The claiming entry and the VM on which the job is to run. */
export interface Claim {
    readonly holder: string;
    readonly worker: string;
    readonly workerBoot: string;
}

/** Claims a waiting job for one attempt; undefined when another entry claimed it or it no longer waits. */
export function* claimJob(id: string, claim: Claim): StoreFlow<JobRead | undefined> {
    const read = yield* readJob(id);
    if (read === undefined || read.job.state !== JobState.Waiting) {
        return undefined;
    }
    const job: Job = { ...read.job, ...claim, state: JobState.Running, attempt: read.job.attempt + 1 };
    const writes = [
        putWrite(read.row.key, read.row, job),
        removeIndexRow(readyKey(job)),
        putWrite(activeKey(claim.holder, id), undefined, indexValueOf(job)),
    ];
    return yield* commitAndVerify(read, job, writes);
}

/**
 * Takes over a running job from an entry that ended or cannot be reached; undefined when it does not run, is held by
 * `holder` already, or was changed by another entry meanwhile.
 */
export function* adoptJob(read: JobRead, holder: string): StoreFlow<JobRead | undefined> {
    const { job, row } = read;
    if (job.state !== JobState.Running || job.holder === undefined || job.holder === holder) {
        return undefined;
    }
    const adopted: Job = { ...job, holder };
    const writes = [
        putWrite(row.key, row, adopted),
        removeIndexRow(activeKey(job.holder, job.id)),
        putWrite(activeKey(holder, job.id), undefined, indexValueOf(job)),
    ];
    return yield* commitAndVerify(read, adopted, writes);
}

/** The change by which a job leaves the running state. */
export type JobEnd =
    | { readonly kind: JobEndKind.Done; readonly result: Blob; readonly resultType: string }
    | { readonly kind: JobEndKind.Failed; readonly reason: string; readonly failure?: JobFailure }
    | { readonly kind: JobEndKind.Uncertain; readonly reason: string }
    | { readonly kind: JobEndKind.Cancelled }
    | { readonly kind: JobEndKind.Requeue; readonly failure?: JobFailure; readonly payload?: Blob };

/** Kinds of `JobEnd`. */
export enum JobEndKind {
    Done = "done",
    Failed = "failed",
    Uncertain = "uncertain",
    Cancelled = "cancelled",
    /** Returned to the waiting state, for another attempt. */
    Requeue = "again",
}

/**
 * Ends the run of the job's current holder and attempt. True when the row has the new state, false when the job has
 * passed to another holder, attempt or state. Throws while the store is unavailable.
 */
export function* endRun(read: JobRead, end: JobEnd): StoreFlow<boolean> {
    const holder = read.job.holder!;
    const attempt = read.job.attempt;
    let current: JobRead | undefined = read;
    while (current !== undefined && isHeldBy(current.job, holder, attempt)) {
        const isCommitted = yield* tryEndRun(current, end);
        if (isCommitted) {
            return true;
        }
        current = yield* readJob(read.job.id);
    }
    return current !== undefined && wasEndedBy(current.job, end, attempt);
}

function isHeldBy(job: Job, holder: string, attempt: number): boolean {
    return job.state === JobState.Running && job.holder === holder && job.attempt === attempt;
}

function wasEndedBy(job: Job, end: JobEnd, attempt: number): boolean {
    return job.attempt === attempt && job.state === stateAfter(end);
}

function* tryEndRun({ job, row }: JobRead, end: JobEnd): StoreFlow<boolean> {
    const next = applyEnd(job, end);
    const writes: Write[] = [putWrite(row.key, row, next), removeIndexRow(activeKey(job.holder!, job.id))];
    if (next.state === JobState.Waiting) {
        writes.push(putWrite(readyKey(next), undefined, indexValueOf(next)));
    }
    return (yield* commit(writes, StorePriority.Claim)) === CommitOutcome.Committed;
}

function applyEnd(job: Job, end: JobEnd): Job {
    const rest = withoutHolder(job);
    const failure = "failure" in end && end.failure !== undefined ? [end.failure] : [];
    const failures = [...job.failures, ...failure];
    const base = {
        ...rest,
        failures,
        state: job.cancelAsked ? stateAfterCancelRequest(end) : stateAfter(end),
    };
    switch (end.kind) {
        case JobEndKind.Done:
            return { ...base, result: end.result, resultType: end.resultType };
        case JobEndKind.Failed:
        case JobEndKind.Uncertain:
            return { ...base, reason: end.reason };
        case JobEndKind.Cancelled:
            return base;
        case JobEndKind.Requeue:
            return end.payload === undefined ? base : { ...base, payload: end.payload };
    }
}

function withoutHolder(job: Job): Job {
    const rest: { -readonly [K in keyof Job]: Job[K] } = { ...job };
    delete rest.holder;
    delete rest.worker;
    delete rest.workerBoot;
    return rest;
}

function stateAfterCancelRequest(end: JobEnd): JobState {
    return end.kind === JobEndKind.Requeue ? JobState.Cancelled : stateAfter(end);
}

function stateAfter(end: JobEnd): JobState {
    switch (end.kind) {
        case JobEndKind.Done:
            return JobState.Done;
        case JobEndKind.Failed:
            return JobState.Failed;
        case JobEndKind.Uncertain:
            return JobState.Uncertain;
        case JobEndKind.Cancelled:
            return JobState.Cancelled;
        case JobEndKind.Requeue:
            return JobState.Waiting;
    }
}

/** Requests a job's cancellation: a waiting job ends at once, a running one when its holder has stopped it. */
export function* cancelJob(id: string): StoreFlow<Job | undefined> {
    for (;;) {
        const read = yield* readJob(id);
        if (read === undefined || hasEnded(read.job) || read.job.cancelAsked) {
            return read?.job;
        }
        const { job, row } = read;
        const isWaiting = job.state === JobState.Waiting;
        const next: Job = isWaiting ? { ...job, state: JobState.Cancelled } : { ...job, cancelAsked: true };
        const writes = [putWrite(row.key, row, next), ...(isWaiting ? [removeIndexRow(readyKey(job))] : [])];
        if ((yield* commit(writes, StorePriority.Accept)) === CommitOutcome.Committed) {
            return next;
        }
    }
}

/** Cancels waiting jobs in one transaction: all of them, or none (false) when any has changed since it was read. */
export function* cancelJobsAtomically(reads: readonly JobRead[]): StoreFlow<boolean> {
    const writes = reads.flatMap(({ row, job }) => [
        putWrite(row.key, row, { ...job, state: JobState.Cancelled }),
        removeIndexRow(readyKey(job)),
    ]);
    return (yield* commit(writes, StorePriority.Claim)) === CommitOutcome.Committed;
}

/** Reads one page of ids, following `after`, of the running jobs that an incarnation holds. */
export function* readActive(incarnation: string, after = ""): StoreFlow<readonly string[]> {
    const prefix = activePrefix(incarnation);
    const from = after === "" ? "" : prefix + after;
    const rows = yield* scanRows({
        prefix,
        after: from,
        limit: activePageSize,
        priority: StorePriority.Claim,
    });
    return rows.map(row => row.key.slice(prefix.length));
}

interface IndexValue {
    readonly id: string;
    readonly pool: string;
}

/** A waiting job as its index row describes it. */
export interface ReadyJob extends IndexValue {
    readonly team: string;
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly acceptedAt: number;
}

/** Reads the waiting jobs of one team in a shard, oldest first. */
export function* readReadyOfTeam(shard: number, team: string, limit: number): StoreFlow<readonly ReadyJob[]> {
    const prefix = readyTeamPrefix(shard, team);
    const rows = yield* scanRows({ prefix, limit, priority: StorePriority.Claim });
    return rows.map(decodeReadyRow);
}

/** Reads the waiting jobs of a shard after a key, by team and oldest first within each team. */
export function* readReady(shard: number, after: string, limit: number): StoreFlow<readonly ReadyJob[]> {
    const prefix = readyPrefix(shard);
    const rows = yield* scanRows({ prefix, after, limit, priority: StorePriority.Claim });
    return rows.map(decodeReadyRow);
}

function decodeReadyRow(row: Row): ReadyJob {
    const [, , team = "", suffix = ""] = row.key.split("/");
    return { team, acceptedAt: Number.parseInt(suffix, 10), ...row.value as IndexValue };
}

/** Deletes the payload object, if any, of a job that has ended. */
export function* deletePayload(job: Job): StoreFlow<void> {
    if (job.payload.kind === BlobKind.Object) {
        yield* deleteObject(job.payload.key, StorePriority.Background);
    }
}

/** Commits writes that make `job` the row's value; when the outcome is unknown, reads the row again to find out. */
function* commitAndVerify(read: JobRead, job: Job, writes: readonly Write[]): StoreFlow<JobRead | undefined> {
    const outcome = yield* commit(writes, StorePriority.Claim);
    switch (outcome) {
        case CommitOutcome.Committed: {
            const { tokens = [] } = read.row;
            return { job, row: { key: read.row.key, version: read.row.version + 1, value: job, tokens } };
        }
        case CommitOutcome.Conflict:
            return undefined;
        case CommitOutcome.Unknown: {
            const current = yield* readJob(job.id);
            const isCommitted = current !== undefined && isHeldBy(current.job, job.holder!, job.attempt);
            return isCommitted ? current : undefined;
        }
    }
}

function removeIndexRow(key: string): Write {
    return { kind: WriteKind.Remove, key, ifVersion: indexRowVersion };
}
