/** Watches a stand-in site and notes every breach of a promise, from what workers and callers saw. */
import { type JobSpec, parseTaskName, RunEnd } from "../../src/job/index.js";
import type { ReportedEnd, StartRequest } from "../../src/pool/ports.js";
import type { Resources } from "../../src/process/resources.js";
import type { Timer } from "../../src/process/timer.js";
import type { StandinWorker, WorkerEvents } from "./worker.js";

interface ActiveRun {
    readonly run: number;
    readonly worker: StandinWorker;
}

/** Time after a cancellation's acknowledgement from which nothing of the job may start. */
const cancelGraceMs = 3000;

/** A jury that sees everything and tells nobody. */
export class InvariantChecker implements WorkerEvents {
    readonly violations: string[] = [];
    readonly specs = new Map<string, JobSpec>();
    readonly teams = new Map<string, string>();
    readonly caps = new Map<string, Resources>();
    startCount = 0;
    private readonly activeRuns = new Map<string, ActiveRun>();
    private readonly doneTasks = new Set<string>();
    private readonly acknowledgedTasks = new Set<string>();
    private readonly cancelledAt = new Map<string, number>();
    private readonly refusedJobs = new Set<string>();

    constructor(private readonly timer: Timer) {}

    /** A caller was told that a job is cancelled. */
    recordCancelled(job: string): void {
        this.cancelledAt.set(job, this.timer.now());
    }

    /** Whether a caller was told that a job is cancelled. */
    isCancelled(job: string): boolean {
        return this.cancelledAt.has(job);
    }

    /** A caller was told that a job will never run. */
    recordRefused(job: string): void {
        this.refusedJobs.add(job);
    }

    /** A caller was told that a job has succeeded. */
    recordSucceeded(job: string): void {
        const spec = this.specs.get(job);
        spec?.steps.forEach((step, number) => {
            for (let index = 0; index < step.tasks; index++) {
                if (!this.doneTasks.has(`${job}.0.${number}.${index}`)) {
                    this.reportViolation(
                        `${job} is shown as succeeded before its task ${number}.${index} is done`,
                    );
                }
            }
        });
    }

    onRunStarted(worker: StandinWorker, { task, run }: StartRequest): void {
        this.startCount++;
        const other = this.activeRuns.get(task);
        if (other !== undefined && other.worker.isAlive) {
            this.reportViolation(
                `${task} runs twice: run ${other.run} on ${other.worker.id} and run ${run} on ${worker.id}`,
            );
        }
        if (this.acknowledgedTasks.has(task)) {
            this.reportViolation(`${task} starts again after its success was stored`);
        }
        this.activeRuns.set(task, { run, worker });
        this.checkJob(task);
    }

    onRunEnded(worker: StandinWorker, task: string, run: number, how: ReportedEnd | "gone"): void {
        const present = this.activeRuns.get(task);
        if (present?.worker === worker && present.run === run) {
            this.activeRuns.delete(task);
        }
        if (how === RunEnd.Done) {
            this.doneTasks.add(task);
        }
    }

    onEndAcknowledged(_: StandinWorker, task: string, __: number, how: ReportedEnd): void {
        if (how === RunEnd.Done) {
            this.acknowledgedTasks.add(task);
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
            this.reportViolation(`${task} starts long after its job was cancelled`);
        }
        if (this.refusedJobs.has(id.job)) {
            this.reportViolation(`${task} starts although its job was refused`);
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

    /** Notes a breach. */
    reportViolation(text: string): void {
        this.violations.push(`${Math.round(this.timer.now())} ms: ${text}`);
    }
}
