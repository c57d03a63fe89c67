/**
 * The decision how one admitted request is served: wait for a slot, send, and either pass on the whole answer, try
 * another worker, or say truthfully what is known about its execution.
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
    /** Monotonic time by which the caller must have its outcome, in milliseconds. */
    readonly deadline: number;
    /** Whether another entry relayed it here; it is not relayed again. */
    readonly isRelayed: boolean;
    readonly signal?: AbortSignal;
}

/** Kinds of effects that serving a request needs. */
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

/** An effect that serving a request asks for. */
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
        readonly end: SlotResult;
        /** Monotonic time until which the worker may still be running the request, in milliseconds. */
        readonly mayRunUntil: number;
    }
    | { readonly kind: ServeEffectKind.SpendRetry }
    | { readonly kind: ServeEffectKind.CountRetry; readonly reason: AttemptKind | RetryCause };

/** Causes of a retry other than the kind of the failed attempt. */
export enum RetryCause {
    /** The worker answered with a server error. */
    ServerError = "server-error",
}

type ServeFlow<T> = Flow<ServeEffect, T>;

const maxAttempts = 4;
const firstAttemptFraction = 0.5;
const minAttemptMs = 50;
const upperEstimateFactor = 2;
const minServerErrorStatus = 500;
const refusedRetryAfterMs = 200;
const workerTimeoutGraceMs = 250;

/** Serves one request to its outcome. */
export function* serve(req: AdmittedRequest): ServeFlow<Outcome> {
    const placed = yield* relayOrAcquire(req);
    if (placed.kind === PlacementKind.Relayed) {
        return placed.outcome;
    }
    const exclude: string[] = [];
    let known: Outcome = notRunOutcome(NotRunReason.NoWorker, refusedRetryAfterMs);
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
        const acquired = attempt === 1 ? placed.acquired : yield* acquire(req, exclude);
        if (acquired.kind === AcquireResultKind.Refused) {
            return attempt === 1 ? notRunOutcome(acquired.reason, acquired.retryAfterMs) : known;
        }
        const { slot } = acquired;
        exclude.push(slot.worker.vm);
        const { result, workerEndsBy: endsBy } = yield* sendAttempt(req, slot, attempt);
        const mayRunUntil = mayStillBeRunning(result) ? endsBy : 0;
        yield { kind: ServeEffectKind.Release, slot, end: slotResultOf(result), mayRunUntil };
        known = mergeResult(known, result);
        if (isFinalResult(req, result) || !(yield* tryTakeRetry(result))) {
            return known;
        }
    }
    return known;
}

enum PlacementKind {
    Local = "here",
    Relayed = "ended",
}

type Placement =
    | { readonly kind: PlacementKind.Local; readonly acquired: AcquireResult }
    | { readonly kind: PlacementKind.Relayed; readonly outcome: Outcome };

/**
 * Finds a place for a request: at a peer that can serve it sooner, else here. While the team has no grant here, the
 * peers are asked again from time to time.
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
    const want: SlotRequest = {
        pool,
        team,
        queue,
        class: queueClass,
        deadline,
        exclude: [...exclude],
        ...(signal && { signal }),
    };
    return (yield { kind: ServeEffectKind.Acquire, request: want }) as AcquireResult;
}

interface SentAttempt {
    readonly result: AttemptResult;
    /** Monotonic time by which the worker has ended the request, as it was told the timeout, in milliseconds. */
    readonly workerEndsBy: number;
}

function* sendAttempt(req: AdmittedRequest, slot: Slot, attempt: number): ServeFlow<SentAttempt> {
    const now = (yield { kind: ServeEffectKind.Now }) as number;
    const left = Math.max(1, req.deadline - now);
    const canRetry = req.idempotent && attempt < maxAttempts;
    const firstMs = Math.max(
        minAttemptMs,
        left * firstAttemptFraction,
        slot.upperEstimateMs * upperEstimateFactor,
    );
    const timeoutMs = canRetry ? Math.min(left, firstMs) : left;
    const result = (yield { kind: ServeEffectKind.Attempt, req, slot, timeoutMs }) as AttemptResult;
    return { result, workerEndsBy: now + timeoutMs + workerTimeoutGraceMs };
}

function* tryTakeRetry(result: AttemptResult): ServeFlow<boolean> {
    const reason = result.kind === AttemptKind.Whole ? RetryCause.ServerError : result.kind;
    const isFree = result.kind === AttemptKind.Refused;
    if (!isFree && !((yield { kind: ServeEffectKind.SpendRetry }) as boolean)) {
        return false;
    }
    yield { kind: ServeEffectKind.CountRetry, reason };
    return true;
}

function isFinalResult(req: AdmittedRequest, result: AttemptResult): boolean {
    switch (result.kind) {
        case AttemptKind.Whole:
            return !req.idempotent || result.status < minServerErrorStatus;
        case AttemptKind.Refused:
        case AttemptKind.NotSent:
            return false;
        case AttemptKind.Broken:
        case AttemptKind.TimedOut:
            return !req.idempotent;
    }
}

/** What is known after one more attempt: an attempt that cannot have run does not undo what earlier ones left open. */
function mergeResult(known: Outcome, result: AttemptResult): Outcome {
    switch (result.kind) {
        case AttemptKind.Whole:
            return {
                kind: OutcomeKind.Answered,
                status: result.status,
                headers: result.headers,
                body: result.body,
            };
        case AttemptKind.Refused:
            return known.kind === OutcomeKind.NotRun
                ? notRunOutcome(NotRunReason.WorkersRefused, refusedRetryAfterMs)
                : known;
        case AttemptKind.NotSent:
            return known.kind === OutcomeKind.NotRun
                ? notRunOutcome(NotRunReason.NoWorker, refusedRetryAfterMs)
                : known;
        case AttemptKind.Broken:
            return unknownOutcome(UnknownReason.UpstreamBroken);
        case AttemptKind.TimedOut:
            return unknownOutcome(UnknownReason.UpstreamTimeout);
    }
}

function mayStillBeRunning({ kind }: AttemptResult): boolean {
    return kind === AttemptKind.Broken || kind === AttemptKind.TimedOut;
}

function slotResultOf(result: AttemptResult): SlotResult {
    switch (result.kind) {
        case AttemptKind.Whole:
            return result.status < minServerErrorStatus ? SlotResult.Succeeded : SlotResult.Failed;
        case AttemptKind.Refused:
            return SlotResult.WorkerFull;
        case AttemptKind.NotSent:
        case AttemptKind.Broken:
        case AttemptKind.TimedOut:
            return SlotResult.Failed;
    }
}
