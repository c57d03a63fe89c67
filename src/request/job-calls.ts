/**
 * Decisions about calls for jobs: submitting, cancelling and asking, as flows over effects. A refusal promises that
 * the job never runs, so it is given only when nothing can have been stored; an uncertain write is tried again under
 * the same condition until its fate is known or the caller's time is over.
 */
import type { AcceptedJob, JobPhase } from "../job/index.js";
import {
    acceptance,
    cancellation,
    decodeJobRow,
    JobRowKind,
    type PhaseAnswer,
    progressPhase,
} from "../pool/index.js";
import type { Flow } from "../process/flow.js";
import { type RowTransaction, type StoredRow, TransactKind, type TransactOutcome } from "../process/rows.js";

/** Why a call was not carried out. None of it has run or will. */
export enum RefusalReason {
    NoLists = "no-lists",
    Stopping = "stopping",
    StoreUnavailable = "store-unavailable",
    Overloaded = "overloaded",
}

/** How a submission ends. */
export type SubmitResult =
    | { readonly kind: "accepted"; readonly isRepeat: boolean }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: number }
    /** It may have been stored. */
    | { readonly kind: "uncertain" };

/** How a cancellation ends. */
export type CancelResult =
    | { readonly kind: "cancelled" }
    | { readonly kind: "absent" }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: number }
    | { readonly kind: "uncertain" };

/** What a caller is told of a job. */
export type PhaseResult =
    | { readonly kind: "phase"; readonly phase: JobPhase }
    | { readonly kind: "absent" }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly retryAfterMs: number };

/** Effects of these flows. */
export type JobCallEffect =
    | { readonly kind: "transact"; readonly tx: RowTransaction }
    /** Asks peers that reach the store to carry a transaction out. */
    | { readonly kind: "relay"; readonly tx: RowTransaction }
    | { readonly kind: "read-job"; readonly id: string }
    | { readonly kind: "read-progress"; readonly id: string }
    | { readonly kind: "ask-phase"; readonly id: string }
    | { readonly kind: "pause"; readonly ms: number }
    | { readonly kind: "time-left" };

/** Result of a read: the row, its absence, or that the store could not be read. */
export type ReadResult = { readonly row: StoredRow | undefined } | undefined;

const firstPauseMs = 30;
const maxPauseMs = 300;
/** Refusals of the store in a row, none of them uncertain, after which the caller is sent away. */
const maxRefusedAttempts = 3;
/** Suggested wait while the store is away; its usual outages last some seconds. */
const storeRetryAfterMs = 1000;

/** Stores a job. */
export function* submit(job: AcceptedJob): Flow<JobCallEffect, SubmitResult> {
    const settled = yield* writeOnce(acceptance(job));
    switch (settled.kind) {
        case "done":
            return { kind: "accepted", isRepeat: false };
        case "exists":
            return isRefusedRow(settled.row)
                ? refused(RefusalReason.StoreUnavailable, storeRetryAfterMs)
                : { kind: "accepted", isRepeat: true };
        case "refused":
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "uncertain":
            return { kind: "uncertain" };
    }
}

/** Stores the cancellation of a job. */
export function* cancel(id: string): Flow<JobCallEffect, CancelResult> {
    const answer = (yield { kind: "read-job", id }) as ReadResult;
    if (answer !== undefined && !isAcceptedRow(answer.row)) {
        return { kind: "absent" };
    }
    if (answer === undefined) {
        const known = (yield { kind: "ask-phase", id }) as PhaseAnswer;
        if (known?.phase === undefined) {
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        }
    }
    const settled = yield* writeOnce(cancellation(id));
    switch (settled.kind) {
        case "done":
        case "exists":
            return { kind: "cancelled" };
        case "refused":
            return refused(RefusalReason.StoreUnavailable, storeRetryAfterMs);
        case "uncertain":
            return { kind: "uncertain" };
    }
}

/** Finds the phase of a job: by the owner's word, else from the store. */
export function* findPhase(id: string): Flow<JobCallEffect, PhaseResult> {
    const known = (yield { kind: "ask-phase", id }) as PhaseAnswer;
    if (known?.phase !== undefined) {
        return { kind: "phase", phase: known.phase };
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

type WriteResult =
    | { readonly kind: "done" }
    | { readonly kind: "exists"; readonly row: StoredRow | undefined }
    | { readonly kind: "refused" }
    | { readonly kind: "uncertain" };

/** Carries out a transaction that stores one row once, until its fate is known or time is over. */
function* writeOnce(tx: RowTransaction): Flow<JobCallEffect, WriteResult> {
    let isUncertain = false;
    let refusals = 0;
    for (let pauseMs = firstPauseMs;; pauseMs = Math.min(maxPauseMs, pauseMs * 2)) {
        const useRelay = refusals > 0;
        const outcome = (yield { kind: useRelay ? "relay" : "transact", tx }) as TransactOutcome;
        switch (outcome.kind) {
            case TransactKind.Committed:
                return { kind: "done" };
            case TransactKind.Conflict:
                return { kind: "exists", row: outcome.rows[0] };
            case TransactKind.Refused:
                refusals++;
                break;
            case TransactKind.Unknown:
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

function isRefusedRow(row: StoredRow | undefined): boolean {
    return row !== undefined && decodeJobRow(row).kind === JobRowKind.Refused;
}
