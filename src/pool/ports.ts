/** What the owner of a set of pools asks of the outside world: workers, the list of workers, VMs and the adviser. */
import type { RunEnd } from "../job/index.js";
import type { Resources } from "../process/resources.js";

/** One life of a worker, as the platform's list states it. */
export interface ListedWorker {
    readonly id: string;
    readonly pool: string;
    /** Host and port of its interface. */
    readonly address: string;
    readonly zone: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly isDraining: boolean;
    /** Least time until a draining worker leaves, in milliseconds. */
    readonly remainingMs: number;
    /** Unix time of its start, in milliseconds; another value means that it has forgotten everything. */
    readonly startedAtMs: number;
    /** Number of the worker's latest report in this life. */
    readonly report: number;
}

/** Reads the platform's list of workers; rejects when it cannot be read. */
export interface Roster {
    list(): Promise<readonly ListedWorker[]>;
}

/** Where an order goes. */
export interface WorkerTarget {
    readonly worker: string;
    readonly address: string;
}

/** An order to start a run. */
export interface StartRequest {
    readonly task: string;
    readonly run: number;
    readonly fence: number;
    /** End of everything's lease, on the worker's clock, in milliseconds. */
    readonly leaseUntil: number;
    readonly payload: string;
    /** Progress to resume from; empty without. */
    readonly saved: string;
    /** Proof that the adviser allows this worker. */
    readonly ticket?: string;
}

/** Why a worker did not start a run. */
export enum WorkerRefusal {
    /** It has seen a newer owner. */
    Fenced = "fenced",
    /** The run was stopped or has ended there, or an equal or higher one has. */
    Superseded = "superseded",
    /** The lease named in the order has passed. */
    LeaseExpired = "lease-passed",
    NoCapacity = "no-room",
    TicketInvalid = "ticket-invalid",
    Unhealthy = "unhealthy",
    /** Another life, or another worker, answers at the address. */
    WrongIncarnation = "wrong-life",
    Malformed = "malformed",
    /** The order never left this entry. */
    NotSent = "not-sent",
}

/** What became of an order to start a run. */
export type StartResult =
    | { readonly kind: "started"; readonly clockMs: number }
    | { readonly kind: "refused"; readonly reason: WorkerRefusal; readonly clockMs?: number }
    /** It may have started, or may start later. */
    | { readonly kind: "unknown"; readonly reason: string };

/** A run that a worker reports as running. */
export interface RunningRun {
    readonly task: string;
    readonly run: number;
    readonly saved: string;
    /** Progress in percent; for a service 100 means that it is at work. */
    readonly percent: number;
    /** For a service with a tail target its tail latency in milliseconds, else the processor use. */
    readonly reading: number;
}

/** How a run ended, as its worker reports it. */
export type ReportedEnd = Exclude<RunEnd, RunEnd.Lost>;

/** The end of a run in a worker's list. */
export interface EndedRun {
    /** Position in the list of this life; rises by one. */
    readonly position: number;
    readonly task: string;
    readonly run: number;
    readonly outcome: ReportedEnd;
    readonly saved: string;
}

/** An order that renews the leases of a worker and asks for its runs. */
export interface HoldRequest {
    readonly fence: number;
    /** Ends up to this position are known and stored. */
    readonly acknowledged: number;
    readonly leaseUntil?: number;
    /** Longest wait for an end before the answer, in milliseconds. */
    readonly waitMs: number;
}

/** Answer to a hold. */
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

/** Result of an order that only has to arrive. */
export type CommandResult = { readonly kind: "done" } | { readonly kind: "failed"; readonly reason: string };

/** Orders to workers. No method rejects. */
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
    /** Closes connections to workers other than these. */
    retain(addresses: ReadonlySet<string>): void;
}

/** Which workers may run a step. */
export interface Advice {
    /** Ticket of each worker that may. */
    readonly tickets: ReadonlyMap<string, string>;
    readonly validMs: number;
}

/** The placement adviser; rejects when it gives no answer. */
export interface Adviser {
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
    /** Worker that it runs now; empty without. */
    readonly worker: string;
}

/** What became of an order for a VM. */
export enum VmOrderResult {
    Done = "done",
    Fenced = "fenced",
    /** It is not up, or is leaving. */
    Busy = "busy",
    /** It is not of that wave. */
    NotInWave = "not-in-wave",
    /** There is no such VM, or it cannot join that pool. */
    Impossible = "impossible",
    RateLimited = "rate-limited",
    Unknown = "unknown",
}

/** Orders for VMs. */
export interface VmClient {
    /** The whole inventory; rejects when it cannot be read. */
    list(): Promise<readonly InventoryVm[]>;
    move(vm: string, pool: string, holder: string, fence: number): Promise<VmOrderResult>;
    startMaintenance(vm: string, wave: number, holder: string, fence: number): Promise<VmOrderResult>;
}
