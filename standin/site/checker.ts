/** Checks the invariants of a stand-in site against the events that workers and callers observe. */
import { type JobSpec, parseTaskName, RunEnd } from "../../src/job/index.js";
import type { ReportedEnd, StartRequest } from "../../src/pool/ports.js";
import { fitsInto, type Resources } from "../../src/process/resources.js";
import type { Timer } from "../../src/process/timer.js";
import { AvailabilityChecker } from "./availability.js";
import type { StandinWorker, WorkerEvents } from "./worker.js";

interface ActiveRun {
    readonly run: number;
    readonly worker: StandinWorker;
}

/** Time after the acknowledgement of a cancellation within which tasks of the job may still start. */
const cancelGraceMs = 3000;
/** Time after the acknowledgement of an evacuation within which tasks may still start in the zone. */
const evacuationGraceMs = 5000;

/** Crashes of workers under a task, and its starts after the one that uses up the budget. */
interface CrashRecord {
    crashes: number;
    laterStarts: number;
}

/** Time for which starts may go by an earlier, larger capacity of a worker. */
const shrinkGraceMs = 4500;

/** Number of crashes under a task from which it may be given up. */
const crashesToGiveUp = 2;
/** Number of crashes under a task after which it may start only `maxLaterStarts` times more. */
const crashBudget = 3;
const maxLaterStarts = 2;

/** Observes all runs and collects violations of invariants; the product receives nothing from it. */
export class InvariantChecker implements WorkerEvents {
    readonly violations: string[] = [];
    /** Specs of the submitted jobs, by job id. */
    readonly specs = new Map<string, JobSpec>();
    readonly teams = new Map<string, string>();
    readonly caps = new Map<string, Resources>();
    /** Number of runs started on all workers. */
    startCount = 0;
    /** Tasks of the runs that succeeded, one item for each such run. */
    readonly successes: string[] = [];
    /** Checks the disruption budgets of services. */
    readonly availability: AvailabilityChecker;
    private readonly activeRuns = new Map<string, ActiveRun>();
    private readonly doneTasks = new Set<string>();
    /** Tasks whose success was stored, as the acknowledgement of the ended run implies. */
    private readonly acknowledgedTasks = new Set<string>();
    private readonly cancelledAt = new Map<string, number>();
    /** Time at which a zone was evacuated, by zone. */
    private readonly evacuatedAt = new Map<string, number>();
    private readonly refusedJobs = new Set<string>();
    private readonly crashesByTask = new Map<string, CrashRecord>();

    constructor(private readonly timer: Timer) {
        this.availability = AvailabilityChecker.create({
            timer,
            specOf: job => this.specs.get(job),
            isCancelled: job => this.cancelledAt.has(job),
            reportViolation: text => this.reportViolation(text),
        });
    }

    /** Records that a caller received the acknowledgement of a cancellation. */
    recordCancelled(job: string): void {
        this.cancelledAt.set(job, this.timer.now());
    }

    /** Records that the store has acknowledged the evacuation of a zone. */
    recordEvacuated(zone: string): void {
        this.evacuatedAt.set(zone, this.evacuatedAt.get(zone) ?? this.timer.now());
    }

    /** Records that the evacuation of a zone was taken back. */
    recordRestored(zone: string): void {
        this.evacuatedAt.delete(zone);
    }

    /** Whether a caller received the acknowledgement of the job's cancellation. */
    isCancelled(job: string): boolean {
        return this.cancelledAt.has(job);
    }

    /** Records that a caller received a refusal, after which the job must never run. */
    recordRefused(job: string): void {
        this.refusedJobs.add(job);
    }

    /** Records that a caller received success for a job, and checks that all of its tasks are done. */
    recordSucceeded(job: string): void {
        const spec = this.specs.get(job);
        spec?.steps.forEach((step, number) => {
            for (let index = 0; index < step.tasks; index++) {
                if (!this.doneTasks.has(`${job}.0.${number}.${index}`)) {
                    this.reportViolation(
                        `${job} is reported as succeeded before its task ${number}.${index} is done`,
                    );
                }
            }
        });
    }

    /** Records that a worker is about to crash under the tasks that run on it. */
    recordCrash(worker: StandinWorker): void {
        for (const task of worker.running.keys()) {
            const record = this.crashesByTask.get(task) ?? { crashes: 0, laterStarts: 0 };
            this.crashesByTask.set(task, { ...record, crashes: record.crashes + 1 });
        }
    }

    /** Number of workers that have crashed under a task. */
    crashesUnder(task: string): number {
        return this.crashesByTask.get(task)?.crashes ?? 0;
    }

    /** Tasks of a job that may be given up, and the job with them, since workers have crashed under them. */
    tasksThatMayBeGivenUp(job: string): readonly string[] {
        return [...this.crashesByTask.keys()].filter(task =>
            task.startsWith(`${job}.`) && this.crashesUnder(task) >= crashesToGiveUp
        );
    }

    onRunStarted(worker: StandinWorker, { task, run }: StartRequest): void {
        this.startCount++;
        this.checkCrashBudget(task);
        const active = this.activeRuns.get(task);
        if (active !== undefined && active.worker.isAlive) {
            this.reportViolation(
                `${task} runs twice: run ${active.run} on ${active.worker.id} and run ${run} on ${worker.id}`,
            );
        }
        if (this.acknowledgedTasks.has(task)) {
            this.reportViolation(`${task} starts again after its success was stored`);
        }
        this.activeRuns.set(task, { run, worker });
        this.availability.recordStart(worker, task);
        this.checkZone(worker, task);
        this.checkCapacity(worker, task);
        this.checkJob(task);
    }

    private checkZone({ id, zone }: StandinWorker, task: string): void {
        const evacuatedAt = this.evacuatedAt.get(zone);
        if (evacuatedAt !== undefined && this.timer.now() > evacuatedAt + evacuationGraceMs) {
            this.reportViolation(
                `${task} starts on ${id} in zone "${zone}" more than ${evacuationGraceMs} ms after its evacuation`,
            );
        }
    }

    /** Reports a start that exceeds every capacity that the worker has lately had. */
    private checkCapacity(worker: StandinWorker, task: string): void {
        const { used } = worker;
        if (!worker.capacitiesWithin(shrinkGraceMs).some(capacity => fitsInto(used, capacity))) {
            this.reportViolation(
                `${task} brings ${worker.id} to ${used.cpu} of its ${worker.capacity.cpu} thousandths of a core`,
            );
        }
    }

    onRunEnded(worker: StandinWorker, task: string, run: number, outcome: ReportedEnd | "gone"): void {
        this.availability.recordEnd(worker, task, outcome);
        const active = this.activeRuns.get(task);
        if (active?.worker === worker && active.run === run) {
            this.activeRuns.delete(task);
        }
        if (outcome === RunEnd.Done) {
            this.doneTasks.add(task);
            this.successes.push(task);
        }
    }

    onStopAccepted(worker: StandinWorker, task: string): void {
        this.availability.recordStop(worker, task);
    }

    onEndAcknowledged(_: StandinWorker, task: string, __: number, outcome: ReportedEnd): void {
        if (outcome === RunEnd.Done) {
            this.acknowledgedTasks.add(task);
        }
    }

    private checkCrashBudget(task: string): void {
        const record = this.crashesByTask.get(task);
        if (record === undefined || record.crashes < crashBudget) {
            return;
        }
        record.laterStarts++;
        if (record.laterStarts > maxLaterStarts) {
            this.reportViolation(
                `${task} starts ${record.laterStarts} times more after ${crashBudget} workers have crashed under it`,
            );
        }
    }

    private checkJob(task: string): void {
        const id = parseTaskName(task);
        const spec = id === undefined ? undefined : this.specs.get(id.job);
        if (id === undefined || spec === undefined) {
            this.reportViolation(`${task} was never submitted`);
            return;
        }
        const cancelledAt = this.cancelledAt.get(id.job);
        if (cancelledAt !== undefined && this.timer.now() > cancelledAt + cancelGraceMs) {
            this.reportViolation(
                `${task} starts more than ${cancelGraceMs} ms after the cancellation of its job was acknowledged`,
            );
        }
        if (this.refusedJobs.has(id.job)) {
            this.reportViolation(`${task} starts although the submission of its job was refused`);
        }
        for (const before of spec.steps[id.step]?.after ?? []) {
            for (let index = 0; index < (spec.steps[before]?.tasks ?? 0); index++) {
                if (!this.doneTasks.has(`${id.job}.${id.occurrence}.${before}.${index}`)) {
                    this.reportViolation(`${task} starts before step ${before} is done`);
                    return;
                }
            }
        }
    }

    /** Adds a violation, stamped with the current time. */
    reportViolation(text: string): void {
        this.violations.push(`${Math.round(this.timer.now())} ms: ${text}`);
    }
}
