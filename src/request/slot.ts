/** Slots on workers: what a request wants, what it gets, and how its use ended. */
import type { QueueClass } from "../version/schema.js";
import type { NotRunReason } from "./outcome.js";

/** A worker as the dispatcher sees it. */
export interface Worker {
    readonly vm: string;
    readonly origin: string;
    readonly rack: string;
    readonly zone: string;
    /** May get new work: live, not leaving, and without a maintenance permit. */
    readonly isOpen: boolean;
    readonly isHome: boolean;
}

/** Workers of one pool and how many of them may be ejected at once. */
export interface PoolWorkers {
    readonly pool: string;
    readonly workers: readonly Worker[];
    readonly maxEjected: number;
}

/** What a request wants. */
export interface SlotRequest {
    readonly pool: string;
    readonly team: string;
    readonly queue: string;
    readonly class: QueueClass;
    /** Monotonic time after which a slot is of no use, in milliseconds. */
    readonly deadline: number;
    /** Workers not to use. */
    readonly exclude: readonly string[];
    /** Interrupts the wait. */
    readonly signal?: AbortSignal;
}

/** A slot on a worker, held until it is released. */
export interface Slot {
    readonly pool: string;
    readonly team: string;
    readonly queue: string;
    readonly class: QueueClass;
    readonly worker: Worker;
    /** Monotonic time at which the slot was given, in milliseconds. */
    readonly acquiredAt: number;
    /** Time that the work most likely needs, in milliseconds; 0 when it is not known. */
    readonly upperEstimateMs: number;
    /** Slot time that was counted as used at the start, in milliseconds. */
    readonly chargedMs: number;
    /** Ended incarnation whose grant covers this work until it is moved here. */
    readonly adoptedFrom?: string;
}

/** Result of asking for a slot. */
export type AcquireResult =
    | { readonly kind: AcquireResultKind.Slot; readonly slot: Slot }
    | {
        readonly kind: AcquireResultKind.Refused;
        readonly reason: NotRunReason;
        readonly retryAfterMs: number;
    };

/** Kinds of results of asking for a slot. */
export enum AcquireResultKind {
    Slot = "slot",
    Refused = "refused",
}

/** How the use of a slot ended. */
export enum SlotResult {
    Succeeded = "good",
    /** The worker failed the work or did not answer. */
    Failed = "bad",
    /** The worker said that it is full. */
    WorkerFull = "full",
    /** Nothing was learned about the worker. */
    Neutral = "neutral",
}
