/**
 * Serves one admitted request as a flow over effects: acquires a slot, sends the request, and either returns the
 * complete response, retries on another worker, or reports whether the request may have been executed.
 */
import { AttemptKind, type AttemptResult } from "../connection/upstream/index.js";
import type { Flow } from "../process/flow.js";
import type { QueueClass } from "../version/schema.js";
import {
    notRunOutcome,
    NotRunReason,
    type Outcome,
    OutcomeKind,
    unknownOutcome,
    UnknownReason,
} from "./outcome.js";
import { type AcquireResult, AcquireResultKind, type Slot, type SlotRequest, SlotResult } from "./slot.js";

/** A request that passed admission. */
export interface AdmittedRequest {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly pool: string;
    readonly class: QueueClass;
    readonly idempotent: boolean;
    readonly contentType: string;
    readonly body: Buffer;
    /** Monotonic time by which the caller must receive the outcome, in milliseconds. */
    readonly deadline: number;
    /** Whether another entry relayed the request to this one; a relayed request is not relayed again. */
    readonly isRelayed: boolean;
    readonly signal?: AbortSignal;
}

/** Kinds of effects of `serve`. */
export enum ServeEffectKind {
    Now = "now",
    FindRelay = "find-relay",
    Relay = "relay",
    Acquire = "acquire",
    Attempt = "attempt",
    Release = "release",
    SpendRetry = "spend-retry",
    CountRetry = "count-retry",
}

/** An effect that `serve` yields to its caller. */
export type ServeEffect =
    | { readonly kind: ServeEffectKind.Now }
    | { readonly kind: ServeEffectKind.FindRelay; readonly req: AdmittedRequest }
    | { readonly kind: ServeEffectKind.Relay; readonly req: AdmittedRequest; readonly peer: string }
    | { readonly kind: ServeEffectKind.Acquire; readonly request: SlotRequest }
    | {
        readonly kind: ServeEffectKind.Attempt;
        readonly req: AdmittedRequest;
        readonly slot: Slot;
        readonly timeoutMs: number;
    }
    | {
        readonly kind: ServeEffectKind.Release;
        readonly slot: Slot;
        readonly slotResult: SlotResult;
        /** Monotonic time until which the worker may still be running the request, in milliseconds. */
        readonly mayRunUntil: number;
    }
    | { readonly kind: ServeEffectKind.SpendRetry }
    | { readonly kind: ServeEffectKind.CountRetry; readonly reason: AttemptKind | RetryCause };

/** Causes of a retry that are not kinds of attempts. */
export enum RetryCause {
    /** The worker responded with a server error. */
    ServerError = "server-error",
}

type ServeFlow<T> = Flow<ServeEffect, T>;

const maxAttempts = 4;
/** Part of the remaining time given to an attempt that can be retried. */
const firstAttemptFraction = 0.5;
const minAttemptMs = 50;
/** Multiple of the upper estimate of the service time that an attempt is given at least. */
const upperEstimateFactor = 2;
const minServerErrorStatus = 500;
const refusedRetryAfterMs = 200;
/** Margin after the timeout within which the worker has ended the request. */
const workerTimeoutGraceMs = 250;

/** Serves one request and returns its outcome; at most `maxAttempts` workers are tried. */
export function* serve(req: AdmittedRequest): ServeFlow<Outcome> {
    const placement = yield* relayOrAcquire(req);
    if (placement.kind === PlacementKind.Relayed) {
        return placement.outcome;
    }
    const exclude: string[] = [];
    let outcomeSoFar: Outcome = notRunOutcome(NotRunReason.NoWorker, refusedRetryAfterMs);
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
        const acquired = attempt === 1 ? placement.acquired : yield* acquire(req, exclude);
        if (acquired.kind === AcquireResultKind.Refused) {
            return attempt === 1 ? notRunOutcome(acquired.reason, acquired.retryAfterMs) : outcomeSoFar;
        }
        const { slot } = acquired;
        exclude.push(slot.worker.vm);
        const { result, workerEndsBy } = yield* sendAttempt(req, slot, attempt);
        const mayRunUntil = mayStillBeRunning(result) ? workerEndsBy : 0;
        yield { kind: ServeEffectKind.Release, slot, slotResult: slotResultOf(result), mayRunUntil };
        outcomeSoFar = mergeResult(outcomeSoFar, result);
        if (isFinalResult(req, result) || !(yield* tryTakeRetry(result))) {
            return outcomeSoFar;
        }
    }
    return outcomeSoFar;
}

enum PlacementKind {
    Local = "here",
    Relayed = "ended",
}

type Placement =
    | { readonly kind: PlacementKind.Local; readonly acquired: AcquireResult }
    | { readonly kind: PlacementKind.Relayed; readonly outcome: Outcome };

/**
 * Relays the request to a peer that can serve it sooner, or else acquires a slot on this entry. While this entry
 * holds no grant of the team, the search for a peer is repeated each time the wait for a grant times out.
 */
function* relayOrAcquire(req: AdmittedRequest): ServeFlow<Placement> {
    for (;;) {
        const relayed = yield* tryRelay(req);
        if (relayed !== undefined) {
            return { kind: PlacementKind.Relayed, outcome: relayed };
        }
        const acquired = yield* acquire(req, []);
        const isWithoutGrant = acquired.kind === AcquireResultKind.Refused
            && acquired.reason === NotRunReason.NoGrant;
        if (!isWithoutGrant || req.isRelayed) {
            return { kind: PlacementKind.Local, acquired };
        }
    }
}

function* tryRelay(req: AdmittedRequest): ServeFlow<Outcome | undefined> {
    if (req.isRelayed) {
        return undefined;
    }
    const peer = (yield { kind: ServeEffectKind.FindRelay, req }) as string | undefined;
    if (peer === undefined) {
        return undefined;
    }
    const outcome = (yield { kind: ServeEffectKind.Relay, req, peer }) as Outcome;
    return outcome.kind === OutcomeKind.NotRun ? undefined : outcome;
}

function* acquire(req: AdmittedRequest, exclude: readonly string[]): ServeFlow<AcquireResult> {
    const { pool, team, queue, class: queueClass, deadline, signal } = req;
    const request: SlotRequest = {
        pool,
        team,
        queue,
        class: queueClass,
        deadline,
        exclude: [...exclude],
        ...(signal && { signal }),
    };
    return (yield { kind: ServeEffectKind.Acquire, request }) as AcquireResult;
}

interface SentAttempt {
    readonly result: AttemptResult;
    /** Monotonic time in milliseconds by which the worker, which receives the timeout, has ended the request. */
    readonly workerEndsBy: number;
}

function* sendAttempt(req: AdmittedRequest, slot: Slot, attempt: number): ServeFlow<SentAttempt> {
    const now = (yield { kind: ServeEffectKind.Now }) as number;
    const left = Math.max(1, req.deadline - now);
    const canRetry = req.idempotent && attempt < maxAttempts;
    const retryableTimeoutMs = Math.max(
        minAttemptMs,
        left * firstAttemptFraction,
        slot.upperEstimateMs * upperEstimateFactor,
    );
    const timeoutMs = canRetry ? Math.min(left, retryableTimeoutMs) : left;
    const result = (yield { kind: ServeEffectKind.Attempt, req, slot, timeoutMs }) as AttemptResult;
    return { result, workerEndsBy: now + timeoutMs + workerTimeoutGraceMs };
}

/** Whether the request may be retried. An attempt that the worker refused costs no retry budget. */
function* tryTakeRetry(result: AttemptResult): ServeFlow<boolean> {
    const reason = result.kind === AttemptKind.Completed ? RetryCause.ServerError : result.kind;
    const isBudgetExempt = result.kind === AttemptKind.Refused;
    if (!isBudgetExempt && !((yield { kind: ServeEffectKind.SpendRetry }) as boolean)) {
        return false;
    }
    yield { kind: ServeEffectKind.CountRetry, reason };
    return true;
}

/** Whether the result ends the request; after it may have been executed, only an idempotent request is sent again. */
function isFinalResult(req: AdmittedRequest, result: AttemptResult): boolean {
    switch (result.kind) {
        case AttemptKind.Completed:
            return !req.idempotent || result.status < minServerErrorStatus;
        case AttemptKind.Refused:
        case AttemptKind.NotSent:
            return false;
        case AttemptKind.Interrupted:
        case AttemptKind.TimedOut:
            return !req.idempotent;
    }
}

/** Merges the result of an attempt; one that was not executed leaves an earlier unknown outcome unknown. */
function mergeResult(outcomeSoFar: Outcome, result: AttemptResult): Outcome {
    switch (result.kind) {
        case AttemptKind.Completed:
            return {
                kind: OutcomeKind.Answered,
                status: result.status,
                headers: result.headers,
                body: result.body,
            };
        case AttemptKind.Refused:
            return outcomeSoFar.kind === OutcomeKind.NotRun
                ? notRunOutcome(NotRunReason.WorkersRefused, refusedRetryAfterMs)
                : outcomeSoFar;
        case AttemptKind.NotSent:
            return outcomeSoFar.kind === OutcomeKind.NotRun
                ? notRunOutcome(NotRunReason.NoWorker, refusedRetryAfterMs)
                : outcomeSoFar;
        case AttemptKind.Interrupted:
            return unknownOutcome(UnknownReason.UpstreamBroken);
        case AttemptKind.TimedOut:
            return unknownOutcome(UnknownReason.UpstreamTimeout);
    }
}

/** Whether the worker may still be running the request after this result. */
function mayStillBeRunning({ kind }: AttemptResult): boolean {
    return kind === AttemptKind.Interrupted || kind === AttemptKind.TimedOut;
}

function slotResultOf(result: AttemptResult): SlotResult {
    switch (result.kind) {
        case AttemptKind.Completed:
            return result.status < minServerErrorStatus ? SlotResult.Succeeded : SlotResult.Failed;
        case AttemptKind.Refused:
            return SlotResult.WorkerFull;
        case AttemptKind.NotSent:
        case AttemptKind.Interrupted:
        case AttemptKind.TimedOut:
            return SlotResult.Failed;
    }
}
