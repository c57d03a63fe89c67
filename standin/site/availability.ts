/**
 * Checks that no order ends a task of a service at work while as many others of its step are away as its disruption budget
 * allows.
 */
import { type JobSpec, parseTaskName, RunEnd } from "../../src/job/index.js";
import type { ReportedEnd } from "../../src/pool/ports.js";
import type { Timer } from "../../src/process/timer.js";
import type { StandinWorker } from "./worker.js";

/** Options of `AvailabilityChecker.create`. */
export interface AvailabilityCheckerOptions {
    readonly timer: Timer;
    readonly specOf: (job: string) => JobSpec | undefined;
    /** Whether the cancellation of a job was acknowledged. */
    readonly isCancelled: (job: string) => boolean;
    readonly reportViolation: (text: string) => void;
}

/** What is known of a task of a service. */
interface TaskRecord {
    /** The worker that runs it; undefined between its runs, and once an order ends its run. */
    worker: StandinWorker | undefined;
    /** Time since which it is not at work, valid while it is not, in milliseconds. */
    absentSince: number;
    /** Whether an order has ended it, and it has not been at work since. */
    isEndedByOrder: boolean;
}

/** Time without work after which a task is away whatever the cause, as the users define it. */
const noticeMs = 4500;

/** Follows the tasks of services on all workers. */
export class AvailabilityChecker {
    private readonly tasks = new Map<string, TaskRecord>();
    private isHeldUp = false;
    /** Whether a fault is near enough for leases to lapse; by default one always is. */
    isImpairmentNear: () => boolean = () => true;

    private constructor(private readonly options: AvailabilityCheckerOptions) {}

    static create(options: AvailabilityCheckerOptions): AvailabilityChecker {
        return new AvailabilityChecker(options);
    }

    /** Carries out an order that a worker has received long before, which ends no task at the owner's will. */
    carryOutLate(order: () => void): void {
        this.isHeldUp = true;
        try {
            order();
        }
        finally {
            this.isHeldUp = false;
        }
    }

    recordStart(worker: StandinWorker, task: string): void {
        for (const name of this.stepOf(task)?.names ?? []) {
            this.recordOf(name);
        }
        if (this.stepOf(task) !== undefined) {
            const record = this.recordOf(task);
            record.worker = worker;
        }
    }

    /** Records that a worker has accepted the order to stop a run. */
    recordStop(worker: StandinWorker, task: string): void {
        this.recordOrder(worker, task, "a stop");
    }

    /** Records that the platform has accepted an order for the VM of a worker. */
    recordVmOrder(worker: StandinWorker): void {
        for (const task of worker.running.keys()) {
            this.recordOrder(worker, task, "an order for its VM");
        }
    }

    /** Records the end of a run; called while the worker still has it. */
    recordEnd(worker: StandinWorker, task: string, outcome: ReportedEnd | "gone"): void {
        if (outcome === RunEnd.Lapsed && !this.isImpairmentNear()) {
            this.recordOrder(worker, task, "the end of its lease");
        }
        const record = this.tasks.get(task);
        if (record?.worker === worker) {
            this.update(task, record);
            record.worker = undefined;
        }
    }

    private recordOrder(worker: StandinWorker, task: string, order: string): void {
        const step = this.stepOf(task);
        const record = this.tasks.get(task);
        if (step === undefined || record?.worker !== worker) {
            return;
        }
        const isAtWork = this.update(task, record);
        const others = step.names.filter(name => name !== task && this.isAway(name));
        const isSound = !worker.isDraining && !worker.faults.failsAll && !worker.faults.isHung;
        const isExcused = this.isHeldUp || this.options.isCancelled(step.job);
        if (isAtWork && isSound && !isExcused && others.length >= step.budget) {
            const away = others.join(", ");
            this.options.reportViolation(`${task} is ended by ${order} while ${away} are away`);
        }
        record.isEndedByOrder = true;
        record.worker = undefined;
    }

    private isAway(task: string): boolean {
        const record = this.recordOf(task);
        return !this.update(task, record)
            && (record.isEndedByOrder || this.options.timer.now() - record.absentSince >= noticeMs);
    }

    /** Brings a record up to date; returns whether the task is at work and stays so. */
    private update(task: string, record: TaskRecord): boolean {
        const isAtWork = record.worker?.isAtWork(task) === true;
        if (isAtWork) {
            record.absentSince = this.options.timer.now();
            record.isEndedByOrder = false;
        }
        return isAtWork;
    }

    private recordOf(task: string): TaskRecord {
        const record = this.tasks.get(task)
            ?? { worker: undefined, absentSince: this.options.timer.now(), isEndedByOrder: false };
        this.tasks.set(task, record);
        return record;
    }

    private stepOf(task: string) {
        const id = parseTaskName(task);
        const step = id === undefined ? undefined : this.options.specOf(id.job)?.steps[id.step];
        if (id === undefined || step?.disruptionBudget === undefined || !step.isService) {
            return undefined;
        }
        const names = Array.from(
            { length: step.tasks },
            (_, index) => `${id.job}.${id.occurrence}.${id.step}.${index}`,
        );
        return { job: id.job, budget: step.disruptionBudget, names };
    }
}
