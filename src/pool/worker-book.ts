/** The workers of a domain as its owner knows them: the platform's list joined with what they answer themselves. */
import type { StepSpec } from "../job/index.js";
import { addResources, fitsInto, noResources, type Resources } from "../process/resources.js";
import type { RunRecord } from "./job-registry.js";
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
    born: number;
    lease: LeaseClock;
    /** Whether this life has accepted our fence and told its runs. */
    isHeld: boolean;
    /** Monotonic time of the last answer to a hold. */
    heldAt: number;
    /** Whether the last call was answered. */
    isReachable: boolean;
    /** Last position in its list of ends that was applied here. */
    seen: number;
    /** Last position whose end is stored; what it may forget. */
    acknowledged: number;
    /** Runs that may exist there, by task name. */
    readonly runs: Map<string, RunRecord>;
    used: Resources;
    /** Set while its VM is to be emptied: nothing starts there. */
    isCordoned: boolean;
    /** Whether its VM is due for service in an open wave: services would soon have to move. */
    isDue: boolean;
    /** Monotonic time until which nothing new is placed there. */
    avoidUntil: number;
    /** Failed runs in a row, of different tasks, since the last success. */
    failuresInRow: number;
    /** Moving average of the real duration of runs over the expected one. */
    slowness: number;
}

/** Options of `WorkerBook.create`. */
export interface WorkerBookOptions {
    /** Monotonic time by which leases given by earlier owners have ended. */
    readonly inheritedUntil: number;
}

/** Size and labels of a worker, present or possible. */
export interface WorkerKind {
    readonly capacity: Resources;
    readonly labels: readonly string[];
}

const slownessRate = 0.2;
/** Kinds that are remembered; with more, nothing is taken for impossible. */
const mostKinds = 2000;

/** Workers of a domain. */
export class WorkerBook {
    readonly workers = new Map<string, WorkerState>();
    private readonly kinds = new Map<string, WorkerKind>();
    private inheritedUntil: number;

    private constructor({ inheritedUntil }: WorkerBookOptions) {
        this.inheritedUntil = inheritedUntil;
    }

    static create(options: WorkerBookOptions): WorkerBook {
        return new WorkerBook(options);
    }

    /** Takes over a list of workers; returns those that are new or began a new life. */
    update(list: readonly ListedWorker[]): readonly WorkerState[] {
        this.noteKinds(list);
        const fresh: WorkerState[] = [];
        const ids = new Set<string>();
        for (const listed of list) {
            ids.add(listed.id);
            const worker = this.workers.get(listed.id);
            if (worker === undefined) {
                fresh.push(this.add(listed));
            }
            else {
                worker.isListed = true;
                worker.listed = listed;
                if (this.noteLife(worker, listed.born)) {
                    fresh.push(worker);
                }
            }
        }
        for (const worker of this.workers.values()) {
            worker.isListed &&= ids.has(worker.id);
        }
        return fresh;
    }

    /** Takes note of VMs that could become workers, parked ones included. */
    noteKinds(kinds: readonly WorkerKind[]): void {
        for (const kind of kinds) {
            const { cpu, memory, accelerators } = kind.capacity;
            const key = `${cpu}/${memory}/${accelerators}/${kind.labels.join("/")}`;
            if (this.kinds.size < mostKinds) {
                this.kinds.set(key, kind);
            }
        }
    }

    /** Whether some worker that was ever seen could run a task of the step, were it empty. */
    couldEverRun(step: StepSpec): boolean {
        if (this.kinds.size === 0 || this.kinds.size >= mostKinds) {
            return true;
        }
        return [...this.kinds.values()].some(({ capacity, labels }) =>
            fitsInto(reservedBy({ step }), capacity)
            && (step.label === undefined || labels.includes(step.label))
        );
    }

    /** Notes the life in which a worker answered; true when it is a new one. */
    noteLife(worker: WorkerState, born: number): boolean {
        if (born <= worker.born) {
            return false;
        }
        worker.born = born;
        worker.lease = LeaseClock.create();
        worker.isHeld = false;
        worker.seen = 0;
        worker.acknowledged = 0;
        worker.failuresInRow = 0;
        worker.slowness = 1;
        return true;
    }

    /** The worker of a run, made up from the run when no list has had it. */
    of(record: RunRecord): WorkerState {
        return this.workers.get(record.worker) ?? this.add(unlisted(record), false);
    }

    /** Adds a run to its worker's load. */
    addRun(record: RunRecord): void {
        const worker = this.of(record);
        worker.runs.set(record.name, record);
        worker.used = addResources(worker.used, reservedBy(record));
    }

    /** Takes a run off its worker's load. */
    dropRun(record: RunRecord): void {
        const worker = this.of(record);
        if (worker.runs.delete(record.name)) {
            worker.used = worker.runs.size === 0
                ? noResources
                : addResources(worker.used, reservedBy(record), -1);
        }
    }

    /** Shortens the bound on the leases of earlier owners. */
    inherit(until: number): void {
        this.inheritedUntil = Math.min(this.inheritedUntil, until);
        this.workers.forEach(worker => worker.lease.tightenInheritedBound(until));
    }

    /** Forgets a worker that is gone and has nothing left. */
    forget(worker: WorkerState): void {
        this.workers.delete(worker.id);
    }

    private add(listed: ListedWorker, isListed = true): WorkerState {
        const worker: WorkerState = {
            id: listed.id,
            listed,
            isListed,
            born: listed.born,
            lease: LeaseClock.create(this.inheritedUntil),
            isHeld: false,
            heldAt: -Infinity,
            isReachable: false,
            seen: 0,
            acknowledged: 0,
            runs: new Map(),
            used: noResources,
            isCordoned: false,
            isDue: false,
            avoidUntil: -Infinity,
            failuresInRow: 0,
            slowness: 1,
        };
        this.workers.set(worker.id, worker);
        return worker;
    }
}

/** Notes how long a run took against what was expected. */
export function noteDuration(worker: WorkerState, ms: number, expectedMs: number): void {
    worker.slowness += (ms / Math.max(1, expectedMs) - worker.slowness) * slownessRate;
}

/** What is free on a worker, everything claimed being counted. */
export function freeOf({ listed, used }: WorkerState): Resources {
    return addResources(listed.capacity, used, -1);
}

/** What a run takes of its worker's capacity. */
export function reservedBy({ step }: { readonly step: RunRecord["step"] }): Resources {
    return step.isBestEffort ? { ...step.needs, cpu: 0 } : step.needs;
}

function unlisted({ worker, workerIncarnation: born }: RunRecord): ListedWorker {
    return {
        id: worker,
        pool: "",
        address: "",
        zone: "",
        labels: [],
        capacity: noResources,
        isDraining: false,
        remainingMs: 0,
        born,
        report: 0,
    };
}
