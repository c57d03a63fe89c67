/** Interfaces between the owner of a domain and the platform: workers, the roster, VMs and the placement adviser. */
import type { RunEnd } from "../job/index.js";
import type { Resources } from "../process/resources.js";

/** One incarnation of a worker, as listed in the platform's roster. */
export interface ListedWorker {
    readonly id: string;
    readonly pool: string;
    /** Host and port of its API; empty if unknown. */
    readonly address: string;
    readonly zone: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly isDraining: boolean;
    /** Least time until a draining worker shuts down, in milliseconds. */
    readonly remainingMs: number;
    /** Time for which it remains slow after its start, as of the report, in milliseconds; 0 by default. */
    readonly coldForMs?: number;
    /** Unix time of its start, in milliseconds. Identifies the incarnation: a restarted worker has lost all state. */
    readonly startedAtMs: number;
    /** Sequence number of this incarnation's latest report. */
    readonly report: number;
}

/** The platform's list of workers. */
export interface Roster {
    /** Reads the whole list; rejects if it cannot be read. */
    list(): Promise<readonly ListedWorker[]>;
}

/** Recipient of a request to a worker. */
export interface WorkerTarget {
    readonly worker: string;
    readonly address: string;
}

/** Request to start a run. */
export interface StartRequest {
    readonly task: string;
    readonly run: number;
    readonly fence: number;
    /** End of the leases of all runs on the worker, on the worker's clock, in milliseconds. */
    readonly leaseUntil: number;
    readonly payload: string;
    /** Checkpoint to resume from; empty if there is none. */
    readonly saved: string;
    /** Ticket with which the placement adviser admits the run on this worker. */
    readonly ticket?: string;
}

/** Why a worker refused a request. */
export enum WorkerRefusal {
    /** The worker has accepted a higher fence, of a later owner. */
    Fenced = "fenced",
    /** This run of the task, or a later one, has been stopped or has ended on the worker. */
    Superseded = "superseded",
    /** The lease in the request has expired. */
    LeaseExpired = "lease-passed",
    NoCapacity = "no-room",
    TicketInvalid = "ticket-invalid",
    Unhealthy = "unhealthy",
    /** Another worker, or another incarnation, responds at the address. */
    WrongIncarnation = "wrong-life",
    Malformed = "malformed",
    /** The request was not sent. */
    NotSent = "not-sent",
}

/** Result of a start request. */
export type StartResult =
    /** `startedAtMs`: start of the incarnation that has answered, as Unix time in milliseconds, if the answer gives it. */
    | { readonly kind: "started"; readonly clockMs: number; readonly startedAtMs?: number }
    | { readonly kind: "refused"; readonly reason: WorkerRefusal; readonly clockMs?: number }
    /** The run may have started, or may start later. */
    | { readonly kind: "unknown"; readonly reason: string };

/** A run that a worker reports as running. */
export interface RunningRun {
    readonly task: string;
    readonly run: number;
    readonly saved: string;
    /** Progress in percent; for a service, 100 means that it is ready. */
    readonly percent: number;
    /** Tail latency in milliseconds for a service with a tail latency target, else processor use. */
    readonly reading: number;
}

/** How a run ended, as reported by its worker. */
export type ReportedEnd = Exclude<RunEnd, RunEnd.Lost | RunEnd.WorkerLost>;

/** An entry of a worker's list of ended runs. */
export interface EndedRun {
    /** Position in the list of this incarnation; increases by one. */
    readonly position: number;
    readonly task: string;
    readonly run: number;
    readonly outcome: ReportedEnd;
    readonly saved: string;
}

/** Long-polling request that renews the leases of a worker and returns its runs. */
export interface HoldRequest {
    readonly fence: number;
    /** Ends up to this position are stored, so that the worker may discard them. */
    readonly acknowledged: number;
    /** New end of the leases, on the worker's clock, in milliseconds; absent to renew none. */
    readonly leaseUntil?: number;
    /** Longest time for which the worker delays its response until a run ends, in milliseconds. */
    readonly waitMs: number;
}

/** Result of a hold request. */
export type HoldResult =
    | {
        readonly kind: "held";
        readonly clockMs: number;
        readonly startedAtMs: number;
        readonly running: readonly RunningRun[];
        readonly ended: readonly EndedRun[];
    }
    | { readonly kind: "refused"; readonly reason: WorkerRefusal }
    | { readonly kind: "unknown"; readonly reason: string };

/** Result of a request whose response carries no data. */
export type CommandResult = { readonly kind: "done" } | { readonly kind: "failed"; readonly reason: string };

/** Client of the workers' API. No method rejects. */
export interface WorkerClient {
    start(target: WorkerTarget, order: StartRequest): Promise<StartResult>;
    stop(target: WorkerTarget, task: string, run: number, fence: number): Promise<CommandResult>;
    hold(target: WorkerTarget, order: HoldRequest): Promise<HoldResult>;
    pace(
        target: WorkerTarget,
        task: string,
        run: number,
        percent: number,
        fence: number,
    ): Promise<CommandResult>;
    /** Closes the connections to all other addresses. */
    retain(addresses: ReadonlySet<string>): void;
}

/** Response of the placement adviser for a step. */
export interface Advice {
    /** Tickets of the workers that may run the step, by worker id. */
    readonly tickets: ReadonlyMap<string, string>;
    readonly validMs: number;
}

/** The placement adviser. */
export interface Adviser {
    /** Requests tickets for a step on these workers; rejects if there is no valid response. */
    advise(step: string, workers: readonly string[]): Promise<Advice>;
}

/** State of a VM in the platform's inventory. */
export enum VmPhase {
    Up = "up",
    Moving = "moving",
    InMaintenance = "in-service",
    Down = "down",
}

/** A VM in the platform's inventory. */
export interface InventoryVm {
    readonly vm: string;
    readonly pool: string;
    readonly phase: VmPhase;
    readonly zone: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    /** Id of the worker that it runs; empty if there is none. */
    readonly worker: string;
}

/** Result of a VM order. */
export enum VmOrderResult {
    Done = "done",
    Fenced = "fenced",
    /** The VM is not up, or is being moved away. */
    Busy = "busy",
    /** The VM is not part of the wave. */
    NotInWave = "not-in-wave",
    /** The VM does not exist, or cannot join the pool. */
    Impossible = "impossible",
    RateLimited = "rate-limited",
    Unknown = "unknown",
}

/** An operator's order to evacuate a zone. */
export interface EvacuationOrder {
    readonly zone: string;
    /** Version of the row that holds the order. */
    readonly version: number;
    /** Time for which this entry has known of the evacuation, in milliseconds. */
    readonly ageMs: number;
}

/** Availability zones in which operators allow no new work. */
export interface EvacuatedZones {
    readonly zones: readonly string[];
    readonly orders: readonly EvacuationOrder[];
    isEvacuated(zone: string): boolean;
    /** Reads the operators' orders; rejects if they cannot be read. */
    load(): Promise<void>;
}

/** Who orders a VM. */
export interface VmOrderIssuer {
    readonly holder: string;
    readonly fence: number;
    /** Aborted when the ownership ends: an order that still waits for a connection is then not sent. */
    readonly signal: AbortSignal;
}

/** Client of the platform's VM API. */
export interface VmClient {
    /** Longest time from the call of an order until it can arrive at the platform, in milliseconds; then it is given up. */
    readonly maxOrderMs: number;
    /** Reads the whole inventory; rejects if it cannot be read. */
    list(): Promise<readonly InventoryVm[]>;
    move(vm: string, pool: string, issuer: VmOrderIssuer): Promise<VmOrderResult>;
    startMaintenance(vm: string, wave: number, issuer: VmOrderIssuer): Promise<VmOrderResult>;
}
