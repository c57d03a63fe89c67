/** The workers of a domain as its owner knows them: the platform's list joined with what they answer themselves. */
import type { StepSpec } from "../job/index.js";
import { addResources, fitsInto, noResources, type Resources } from "../process/resources.js";
import type { RunRecord } from "./job-book.js";
import { LeaseClock } from "./lease.js";
import type { ListedWorker } from "./ports.js";

/** A worker at the owner. */
export interface WorkerState {
    readonly id: string;
    /** Latest entry of the platform's list. */
    listed: ListedWorker;
    /** Whether the latest list had it. */
    isListed: boolean;
    /** The latest life that is known. */
    startedAtMs: number;
    lease: LeaseClock;
    /** Whether this life has accepted our fence and told its runs. */
    hasAcceptedFence: boolean;
    /** Monotonic time of the last answer to a hold. */
    lastHoldAt: number;
    /** Whether the last call was answered. */
    isReachable: boolean;
    /** Last position in its list of ends that was applied here. */
    appliedPosition: number;
    /** Last position whose end is stored; what it may forget. */
    storedPosition: number;
    /** Runs that may exist there, by task name. */
    readonly runs: Map<string, RunRecord>;
    reserved: Resources;
    /** Set while its VM is to be emptied: nothing starts there. */
    isCordoned: boolean;
    /** Whether its VM is due for service in an open wave: services would soon have to move. */
    isMaintenanceDue: boolean;
    /** Monotonic time until which nothing new is placed there. */
    backoffUntil: number;
    /** Failed runs in a row, of different tasks, since the last success. */
    consecutiveFailures: number;
    /** Moving average of the real duration of runs over the expected one. */
    slowdownFactor: number;
}

/** Options of `WorkerBook.create`. */
export interface WorkerRegistryOptions {
    /** Monotonic time by which leases given by earlier owners have ended. */
    readonly inheritedLeasesUntil: number;
}

/** Size and labels of a worker, present or possible. */
export interface WorkerShape {
    readonly capacity: Resources;
    readonly labels: readonly string[];
}

const slowdownSmoothing = 0.2;
/** Kinds that are remembered; with more, nothing is taken for impossible. */
const maxShapes = 2000;

/** Workers of a domain. */
export class WorkerRegistry {
    readonly byId = new Map<string, WorkerState>();
    private readonly shapes = new Map<string, WorkerShape>();
    private inheritedLeasesUntil: number;

    private constructor({ inheritedLeasesUntil: inheritedUntil }: WorkerRegistryOptions) {
        this.inheritedLeasesUntil = inheritedUntil;
    }

    static create(options: WorkerRegistryOptions): WorkerRegistry {
        return new WorkerRegistry(options);
    }

    /** Takes over a list of workers; returns those that are new or began a new life. */
    update(list: readonly ListedWorker[]): readonly WorkerState[] {
        this.recordShapes(list);
        const fresh: WorkerState[] = [];
        const ids = new Set<string>();
        for (const listed of list) {
            ids.add(listed.id);
            const worker = this.byId.get(listed.id);
            if (worker === undefined) {
                fresh.push(this.add(listed));
            }
            else {
                worker.isListed = true;
                worker.listed = listed;
                if (this.updateIncarnation(worker, listed.startedAtMs)) {
                    fresh.push(worker);
                }
            }
        }
        for (const worker of this.byId.values()) {
            worker.isListed &&= ids.has(worker.id);
        }
        return fresh;
    }

    /** Takes note of VMs that could become workers, parked ones included. */
    recordShapes(kinds: readonly WorkerShape[]): void {
        for (const kind of kinds) {
            const { cpu, memory, accelerators } = kind.capacity;
            const key = `${cpu}/${memory}/${accelerators}/${kind.labels.join("/")}`;
            if (this.shapes.size < maxShapes) {
                this.shapes.set(key, kind);
            }
        }
    }

    /** Whether some worker that was ever seen could run a task of the step, were it empty. */
    couldEverRun(step: StepSpec): boolean {
        if (this.shapes.size === 0 || this.shapes.size >= maxShapes) {
            return true;
        }
        return [...this.shapes.values()].some(({ capacity, labels }) =>
            fitsInto(reservedResources({ step }), capacity)
            && (step.label === undefined || labels.includes(step.label))
        );
    }

    /** Notes the life in which a worker answered; true when it is a new one. */
    updateIncarnation(worker: WorkerState, born: number): boolean {
        if (born <= worker.startedAtMs) {
            return false;
        }
        worker.startedAtMs = born;
        worker.lease = LeaseClock.create();
        worker.hasAcceptedFence = false;
        worker.appliedPosition = 0;
        worker.storedPosition = 0;
        worker.consecutiveFailures = 0;
        worker.slowdownFactor = 1;
        return true;
    }

    /** The worker of a run, made up from the run when no list has had it. */
    workerOf(record: RunRecord): WorkerState {
        return this.byId.get(record.worker) ?? this.add(placeholderFor(record), false);
    }

    /** Adds a run to its worker's load. */
    addRun(record: RunRecord): void {
        const worker = this.workerOf(record);
        worker.runs.set(record.name, record);
        worker.reserved = addResources(worker.reserved, reservedResources(record));
    }

    /** Takes a run off its worker's load. */
    removeRun(record: RunRecord): void {
        const worker = this.workerOf(record);
        if (worker.runs.delete(record.name)) {
            worker.reserved = worker.runs.size === 0
                ? noResources
                : addResources(worker.reserved, reservedResources(record), -1);
        }
    }

    /** Shortens the bound on the leases of earlier owners. */
    limitInheritedLeases(until: number): void {
        this.inheritedLeasesUntil = Math.min(this.inheritedLeasesUntil, until);
        this.byId.forEach(worker => worker.lease.inherit(until));
    }

    /** Forgets a worker that is gone and has nothing left. */
    remove(worker: WorkerState): void {
        this.byId.delete(worker.id);
    }

    private add(listed: ListedWorker, isListed = true): WorkerState {
        const worker: WorkerState = {
            id: listed.id,
            listed,
            isListed,
            startedAtMs: listed.startedAtMs,
            lease: LeaseClock.create(this.inheritedLeasesUntil),
            hasAcceptedFence: false,
            lastHoldAt: -Infinity,
            isReachable: false,
            appliedPosition: 0,
            storedPosition: 0,
            runs: new Map(),
            reserved: noResources,
            isCordoned: false,
            isMaintenanceDue: false,
            backoffUntil: -Infinity,
            consecutiveFailures: 0,
            slowdownFactor: 1,
        };
        this.byId.set(worker.id, worker);
        return worker;
    }
}

/** Notes how long a run took against what was expected. */
export function updateSlowdown(worker: WorkerState, ms: number, expectedMs: number): void {
    worker.slowdownFactor += (ms / Math.max(1, expectedMs) - worker.slowdownFactor) * slowdownSmoothing;
}

/** What is free on a worker, everything claimed being counted. */
export function freeResources({ listed, reserved: used }: WorkerState): Resources {
    return addResources(listed.capacity, used, -1);
}

/** What a run takes of its worker's capacity. */
export function reservedResources({ step }: { readonly step: RunRecord["step"] }): Resources {
    return step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs;
}

function placeholderFor({ worker, born }: RunRecord): ListedWorker {
    return {
        id: worker,
        pool: "",
        address: "",
        zone: "",
        labels: [],
        capacity: noResources,
        isDraining: false,
        remainingMs: 0,
        startedAtMs: born,
        report: 0,
    };
}
