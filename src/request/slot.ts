/** Slots on workers: the request for a slot, the slot, and the result of its use. */
import type { QueueClass } from "../version/schema.js";
import type { NotRunReason } from "./outcome.js";

/** A worker as the dispatcher sees it. */
export interface Worker {
    readonly vm: string;
    readonly origin: string;
    readonly rack: string;
    readonly zone: string;
    /** Whether the worker accepts new work: it is live, not draining, and has no maintenance permit. */
    readonly isOpen: boolean;
    /** Whether the worker is homed at this entry. */
    readonly isHome: boolean;
}

/** Workers of one pool and how many of them may be ejected at once. */
export interface PoolWorkers {
    readonly pool: string;
    readonly workers: readonly Worker[];
    readonly maxEjected: number;
}

/** A request for a slot. */
export interface SlotRequest {
    readonly pool: string;
    readonly team: string;
    readonly queue: string;
    readonly class: QueueClass;
    /** Monotonic time in milliseconds after which the slot is no longer needed. */
    readonly deadline: number;
    /** VM ids of workers that must not be used. */
    readonly exclude: readonly string[];
    /** Aborts the wait. */
    readonly signal?: AbortSignal;
}

/** A slot on a worker, held until it is released. */
export interface Slot {
    readonly pool: string;
    readonly team: string;
    readonly queue: string;
    readonly class: QueueClass;
    readonly worker: Worker;
    /** Monotonic time at which the slot was assigned, in milliseconds. */
    readonly acquiredAt: number;
    /** Upper estimate of the service time in milliseconds; 0 when it is unknown. */
    readonly upperEstimateMs: number;
    /** Estimated slot time charged to the team at the start, in milliseconds; corrected on release. */
    readonly chargedMs: number;
    /** Ended incarnation whose grant covers this work until the grant is transferred to this entry. */
    readonly adoptedFrom?: string;
}

/** Result of a request for a slot. */
export type AcquireResult =
    | { readonly kind: AcquireResultKind.Slot; readonly slot: Slot }
    | {
        readonly kind: AcquireResultKind.Refused;
        readonly reason: NotRunReason;
        readonly retryAfterMs: number;
    };

/** Kinds of results of a request for a slot. */
export enum AcquireResultKind {
    Slot = "slot",
    Refused = "refused",
}

/** Result of the work on a slot, as far as it concerns the worker. */
export enum SlotResult {
    Succeeded = "good",
    /** The worker failed the work or did not respond. */
    Failed = "bad",
    /** The worker reported that it is full. */
    WorkerFull = "full",
    /** The result permits no conclusion about the worker. */
    Neutral = "neutral",
}
