/**
 * Flows that serve calls about jobs: submission, cancellation and phase query. A refusal guarantees that the job never
 * runs, so it is returned only when nothing can have been stored. A write with an unknown outcome is retried under the
 * same condition until its outcome is known or the caller's deadline passes.
 */
import type { AcceptedJob, JobPhase } from "../job/index.js";
import {
    acceptTransaction,
    cancelTransaction,
    decodeJobRow,
    decodeSubmitter,
    JobRowKind,
    type PhaseAnswer,
    progressPhase,
    refuseTransaction,
    replaceRefusalTransaction,
    type Submitter,
} from "../pool/index.js";
import type { Flow } from "../process/flow.js";
import { isStorable } from "../process/row-limits.js";
import {
    type RowTransaction,
    type StoredRow,
    type TransactionOutcome,
    TransactionStatus,
} from "../process/rows.js";

/** Why a call was refused. Nothing of a refused call has run or will run. */
export enum RefusalReason {
    NoLists = "no-lists",
    Stopping = "stopping",
    StoreUnavailable = "store-unavailable",
    Overloaded = "overloaded",
    /** It is larger than what the store keeps of a job. */
    TooLarge = "too-large",
    /** It was cancelled before it was accepted. */
    Cancelled = "cancelled",
}

/** Result of a submission. */
export type SubmitResult =
    | { readonly kind: "accepted"; readonly isRepeat: boolean }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: number }
    /** It may have been stored; the same submission again settles it. */
    | { readonly kind: "uncertain" };

/** Result of a cancellation. */
export type CancelResult =
    | { readonly kind: "cancelled" }
    | { readonly kind: "absent" }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: number }
    | { readonly kind: "uncertain" };

/** Result of a phase query. */
export type PhaseResult =
    | { readonly kind: "phase"; readonly phase: JobPhase }
    | { readonly kind: "absent" }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: number };

/** Effects that these flows yield. */
export type JobCallEffect =
    | { readonly kind: "transact"; readonly tx: RowTransaction }
    /** Has peers that may still reach the store carry out a transaction. */
    | { readonly kind: "relay"; readonly tx: RowTransaction }
    | { readonly kind: "read-job"; readonly id: string }
    | { readonly kind: "read-progress"; readonly id: string }
    /** Reads who left the marker in place of a job. */
    | { readonly kind: "read-refusal"; readonly id: string }
    | { readonly kind: "ask-phase"; readonly id: string }
    | { readonly kind: "pause"; readonly ms: number }
    /** Returns the time until the caller's deadline, in milliseconds. */
    | { readonly kind: "time-left" };

/** Result of a read: the row (undefined inside when absent), or undefined when the store could not be read. */
export type ReadResult = { readonly row: StoredRow | undefined } | undefined;

const firstPauseMs = 30;
const maxPauseMs = 300;
/** Attempts after which a write is given up as refused, provided that the store refused every one of them. */
const maxRefusedAttempts = 3;
/** Retry delay to suggest while the store is unavailable; its usual outages last some seconds. */
const storeRetryAfterMs = 1000;
/** Retry delay to suggest for what is refused whenever it comes: an hour. */
const neverMs = 3_600_000;

/** Stores a job in one of `jobParts` parts of the store; one that is stored already is accepted as a repeat. */
export function* submit(job: AcceptedJob, jobParts: number): Flow<JobCallEffect, SubmitResult> {
    const tx = acceptTransaction(job, jobParts);
    if (!tx.puts.every(isStorable)) {
        return { kind: "refused", reason: RefusalReason.TooLarge, retryAfterMs: neverMs };
    }
    const result = yield* writeOnce(tx);
    switch (result.kind) {
        case "invalid":
            return { kind: "refused", reason: RefusalReason.TooLarge, retryAfterMs: neverMs };
        case "done":
            return { kind: "accepted", isRepeat: false };
        case "exists":
            return result.row !== undefined && isRefusedRow(result.row)
                ? yield* submitOverMarker(job, result.row, jobParts)
                : { kind: "accepted", isRepeat: true };
        case "refused":
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "uncertain":
            return { kind: "uncertain" };
    }
}

/**
 * Settles a submission whose id was cancelled before: the account and queue that cancelled it were told so, and the job never runs.
 * The marker of another account or queue, which chose the same id, is replaced.
 */
function* submitOverMarker(
    job: AcceptedJob,
    marker: StoredRow,
    jobParts: number,
): Flow<JobCallEffect, SubmitResult> {
    const origin = (yield { kind: "read-refusal", id: job.id }) as ReadResult;
    if (origin === undefined) {
        return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
    }
    const submitter = decodeSubmitter(origin.row);
    if (submitter === undefined || submitter.queue === job.queue && submitter.team === job.team) {
        return refused(RefusalReason.Cancelled, neverMs);
    }
    const result = yield* writeOnce(replaceRefusalTransaction(job, marker, jobParts));
    switch (result.kind) {
        case "done":
            return { kind: "accepted", isRepeat: false };
        case "exists":
            return isAcceptedRow(result.row)
                ? { kind: "accepted", isRepeat: true }
                : refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "invalid":
        case "refused":
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "uncertain":
            return { kind: "uncertain" };
    }
}

/**
 * Stores the cancellation of a job. If no job is stored, a write of its acceptance may still be under way: a marker takes its
 * place, and only then the caller is told that there is no such job.
 */
export function* cancel(
    id: string,
    submitter: Submitter,
    jobParts: number,
): Flow<JobCallEffect, CancelResult> {
    const stored = (yield { kind: "read-job", id }) as ReadResult;
    if (stored !== undefined && !isAcceptedRow(stored.row)) {
        const prevented = yield* preventAcceptance(id, stored.row, submitter, jobParts);
        if (prevented !== undefined) {
            return prevented;
        }
    }
    if (stored === undefined) {
        const reported = (yield { kind: "ask-phase", id }) as PhaseAnswer;
        if (reported?.phase === undefined) {
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        }
    }
    const result = yield* writeOnce(cancelTransaction(id, jobParts));
    switch (result.kind) {
        case "done":
        case "exists":
            return { kind: "cancelled" };
        case "invalid":
        case "refused":
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "uncertain":
            return { kind: "uncertain" };
    }
}

/** Puts a marker in the place of a job; undefined if the job turns out to be accepted. */
function* preventAcceptance(
    id: string,
    row: StoredRow | undefined,
    submitter: Submitter,
    jobParts: number,
): Flow<JobCallEffect, CancelResult | undefined> {
    if (row !== undefined) {
        // A marker, or a row that no owner can use.
        return { kind: "absent" };
    }
    const result = yield* writeOnce(refuseTransaction(id, submitter, jobParts));
    switch (result.kind) {
        case "done":
            return { kind: "absent" };
        case "exists":
            return isAcceptedRow(result.row) ? undefined : { kind: "absent" };
        case "invalid":
        case "refused":
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "uncertain":
            return { kind: "uncertain" };
    }
}

/** Finds the phase of a job: as the owner reports it, else from the store. */
export function* findPhase(id: string): Flow<JobCallEffect, PhaseResult> {
    const reported = (yield { kind: "ask-phase", id }) as PhaseAnswer;
    if (reported?.phase !== undefined) {
        return { kind: "phase", phase: reported.phase };
    }
    const stored = (yield { kind: "read-job", id }) as ReadResult;
    if (stored === undefined) {
        return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
    }
    if (!isAcceptedRow(stored.row)) {
        return { kind: "absent" };
    }
    const progress = (yield { kind: "read-progress", id }) as ReadResult;
    return progress === undefined
        ? refused(RefusalReason.StoreUnavailable, storeRetryAfterMs)
        : { kind: "phase", phase: progressPhase(progress.row) };
}

/** Outcome of `writeOnce`; `exists` means that the row was present before, or that an earlier attempt stored it. */
type WriteResult =
    | { readonly kind: "done" }
    | { readonly kind: "exists"; readonly row: StoredRow | undefined }
    | { readonly kind: "refused" }
    /** The store will never accept it. */
    | { readonly kind: "invalid" }
    | { readonly kind: "uncertain" };

/**
 * Retries a transaction that creates one row, with exponential backoff, until its outcome is known or the deadline
 * passes. After a first failure it is relayed by peers, which may reach the store when this entry does not.
 */
function* writeOnce(tx: RowTransaction): Flow<JobCallEffect, WriteResult> {
    let isUncertain = false;
    let refusals = 0;
    for (let pauseMs = firstPauseMs;; pauseMs = Math.min(maxPauseMs, pauseMs * 2)) {
        const useRelay = refusals > 0;
        const outcome = (yield { kind: useRelay ? "relay" : "transact", tx }) as TransactionOutcome;
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                return { kind: "done" };
            case TransactionStatus.Conflict:
                return { kind: "exists", row: outcome.rows[0] };
            case TransactionStatus.Invalid:
                return { kind: "invalid" };
            case TransactionStatus.Refused:
                refusals++;
                break;
            case TransactionStatus.Unknown:
                isUncertain = true;
                refusals++;
        }
        if (!isUncertain && refusals >= maxRefusedAttempts) {
            return { kind: "refused" };
        }
        const timeLeftMs = (yield { kind: "time-left" }) as number;
        if (timeLeftMs <= pauseMs) {
            return { kind: isUncertain ? "uncertain" : "refused" };
        }
        yield { kind: "pause", ms: pauseMs };
    }
}

function refused(reason: RefusalReason, retryAfterMs: number) {
    return { kind: "refused", reason, retryAfterMs } as const;
}

function isAcceptedRow(row: StoredRow | undefined): boolean {
    return row !== undefined && decodeJobRow(row).kind === JobRowKind.Accepted;
}

function isRefusedRow(row: StoredRow): boolean {
    return decodeJobRow(row).kind === JobRowKind.Refused;
}
