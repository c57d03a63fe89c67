/**
 * The decision how one admitted request is served: wait for a slot, send, and either pass on the whole answer, try
 * another worker, or say truthfully what is known about its execution.
 */
import { AttemptKind, type AttemptResult } from "../connection/upstream/index.js";
import type { Flow } from "../process/flow.js";
import type { QueueClass } from "../version/schema.js";
import { notRun, NotRunReason, type Outcome, OutcomeKind, unknown, UnknownReason } from "./outcome.js";
import { type Acquired, AcquiredKind, type Slot, SlotEnd, type Want } from "./slot.js";

/** A request that passed admission. */
export interface Admitted {
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
    | { readonly kind: ServeEffectKind.FindRelay; readonly req: Admitted }
    | { readonly kind: ServeEffectKind.Relay; readonly req: Admitted; readonly peer: string }
    | { readonly kind: ServeEffectKind.Acquire; readonly want: Want }
    | {
        readonly kind: ServeEffectKind.Attempt;
        readonly req: Admitted;
        readonly slot: Slot;
        readonly timeoutMs: number;
    }
    | {
        readonly kind: ServeEffectKind.Release;
        readonly slot: Slot;
        readonly end: SlotEnd;
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
const firstAttemptPart = 0.5;
const minAttemptMs = 50;
const patienceFactor = 2;
const firstServerError = 500;
const refusedRetryAfterMs = 200;
const lingerGraceMs = 250;

/** Serves one request to its outcome. */
export function* serve(req: Admitted): ServeFlow<Outcome> {
    const placed = yield* place(req);
    if (placed.kind === PlacedKind.Ended) {
        return placed.outcome;
    }
    const exclude: string[] = [];
    let known: Outcome = notRun(NotRunReason.NoWorker, refusedRetryAfterMs);
    for (let attempt = 1; attempt <= maxAttempts; attempt++) {
        const acquired = attempt === 1 ? placed.acquired : yield* acquire(req, exclude);
        if (acquired.kind === AcquiredKind.Refused) {
            return attempt === 1 ? notRun(acquired.reason, acquired.retryAfterMs) : known;
        }
        const { slot } = acquired;
        exclude.push(slot.worker.vm);
        const { result, endsBy } = yield* send(req, slot, attempt);
        const mayRunUntil = mayStillRun(result) ? endsBy : 0;
        yield { kind: ServeEffectKind.Release, slot, end: endOf(result), mayRunUntil };
        known = combine(known, result);
        if (isFinal(req, result) || !(yield* mayRetry(result))) {
            return known;
        }
    }
    return known;
}

enum PlacedKind {
    Here = "here",
    Ended = "ended",
}

type Placed =
    | { readonly kind: PlacedKind.Here; readonly acquired: Acquired }
    | { readonly kind: PlacedKind.Ended; readonly outcome: Outcome };

/**
 * Finds a place for a request: at a peer that can serve it sooner, else here. While the team has no grant here, the
 * peers are asked again from time to time.
 */
function* place(req: Admitted): ServeFlow<Placed> {
    for (;;) {
        const relayed = yield* tryRelay(req);
        if (relayed !== undefined) {
            return { kind: PlacedKind.Ended, outcome: relayed };
        }
        const acquired = yield* acquire(req, []);
        const isWithoutGrant = acquired.kind === AcquiredKind.Refused
            && acquired.reason === NotRunReason.NoGrant;
        if (!isWithoutGrant || req.isRelayed) {
            return { kind: PlacedKind.Here, acquired };
        }
    }
}

function* tryRelay(req: Admitted): ServeFlow<Outcome | undefined> {
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

function* acquire(req: Admitted, exclude: readonly string[]): ServeFlow<Acquired> {
    const { pool, team, queue, class: queueClass, deadline, signal } = req;
    const want: Want = {
        pool,
        team,
        queue,
        class: queueClass,
        deadline,
        exclude: [...exclude],
        ...(signal && { signal }),
    };
    return (yield { kind: ServeEffectKind.Acquire, want }) as Acquired;
}

interface Sent {
    readonly result: AttemptResult;
    /** Monotonic time by which the worker has ended the request, as it was told the timeout, in milliseconds. */
    readonly endsBy: number;
}

function* send(req: Admitted, slot: Slot, attempt: number): ServeFlow<Sent> {
    const now = (yield { kind: ServeEffectKind.Now }) as number;
    const left = Math.max(1, req.deadline - now);
    const canRetry = req.idempotent && attempt < maxAttempts;
    const firstMs = Math.max(minAttemptMs, left * firstAttemptPart, slot.likelyMs * patienceFactor);
    const timeoutMs = canRetry ? Math.min(left, firstMs) : left;
    const result = (yield { kind: ServeEffectKind.Attempt, req, slot, timeoutMs }) as AttemptResult;
    return { result, endsBy: now + timeoutMs + lingerGraceMs };
}

function* mayRetry(result: AttemptResult): ServeFlow<boolean> {
    const reason = result.kind === AttemptKind.Completed ? RetryCause.ServerError : result.kind;
    const isFree = result.kind === AttemptKind.Refused;
    if (!isFree && !((yield { kind: ServeEffectKind.SpendRetry }) as boolean)) {
        return false;
    }
    yield { kind: ServeEffectKind.CountRetry, reason };
    return true;
}

function isFinal(req: Admitted, result: AttemptResult): boolean {
    switch (result.kind) {
        case AttemptKind.Completed:
            return !req.idempotent || result.status < firstServerError;
        case AttemptKind.Refused:
        case AttemptKind.NotSent:
            return false;
        case AttemptKind.Interrupted:
        case AttemptKind.TimedOut:
            return !req.idempotent;
    }
}

/** What is known after one more attempt: an attempt that cannot have run does not undo what earlier ones left open. */
function combine(known: Outcome, result: AttemptResult): Outcome {
    switch (result.kind) {
        case AttemptKind.Completed:
            return {
                kind: OutcomeKind.Answered,
                status: result.status,
                headers: result.headers,
                body: result.body,
            };
        case AttemptKind.Refused:
            return known.kind === OutcomeKind.NotRun
                ? notRun(NotRunReason.WorkersRefused, refusedRetryAfterMs)
                : known;
        case AttemptKind.NotSent:
            return known.kind === OutcomeKind.NotRun
                ? notRun(NotRunReason.NoWorker, refusedRetryAfterMs)
                : known;
        case AttemptKind.Interrupted:
            return unknown(UnknownReason.UpstreamBroken);
        case AttemptKind.TimedOut:
            return unknown(UnknownReason.UpstreamTimeout);
    }
}

function mayStillRun({ kind }: AttemptResult): boolean {
    return kind === AttemptKind.Interrupted || kind === AttemptKind.TimedOut;
}

function endOf(result: AttemptResult): SlotEnd {
    switch (result.kind) {
        case AttemptKind.Completed:
            return result.status < firstServerError ? SlotEnd.Good : SlotEnd.Bad;
        case AttemptKind.Refused:
            return SlotEnd.Full;
        case AttemptKind.NotSent:
        case AttemptKind.Interrupted:
        case AttemptKind.TimedOut:
            return SlotEnd.Bad;
    }
}
