/** Watches a stand-in site and notes every breach of a promise, from what workers and callers saw. */
import { type JobSpec, parseTaskName, RunEnd } from "../../src/job/index.js";
import type { ReportedEnd, StartRequest } from "../../src/pool/ports.js";
import type { Resources } from "../../src/process/resources.js";
import type { Timer } from "../../src/process/timer.js";
import type { StandinWorker, WorkerEvents } from "./worker.js";

interface Present {
    readonly run: number;
    readonly worker: StandinWorker;
}

/** Time after a cancellation's acknowledgement from which nothing of the job may start. */
const cancelMs = 3000;

/** A jury that sees everything and tells nobody. */
export class Checker implements WorkerEvents {
    readonly breaches: string[] = [];
    readonly specs = new Map<string, JobSpec>();
    readonly teams = new Map<string, string>();
    readonly caps = new Map<string, Resources>();
    starts = 0;
    private readonly present = new Map<string, Present>();
    private readonly done = new Set<string>();
    private readonly doneStored = new Set<string>();
    private readonly cancelledAt = new Map<string, number>();
    private readonly refused = new Set<string>();

    constructor(private readonly timer: Timer) {}

    /** A caller was told that a job is cancelled. */
    cancelled(job: string): void {
        this.cancelledAt.set(job, this.timer.now());
    }

    /** Whether a caller was told that a job is cancelled. */
    isCancelled(job: string): boolean {
        return this.cancelledAt.has(job);
    }

    /** A caller was told that a job will never run. */
    refuse(job: string): void {
        this.refused.add(job);
    }

    /** A caller was told that a job has succeeded. */
    succeeded(job: string): void {
        const spec = this.specs.get(job);
        spec?.steps.forEach((step, number) => {
            for (let index = 0; index < step.tasks; index++) {
                if (!this.done.has(`${job}.0.${number}.${index}`)) {
                    this.breach(`${job} is shown as succeeded before its task ${number}.${index} is done`);
                }
            }
        });
    }

    started(worker: StandinWorker, { task, run }: StartRequest): void {
        this.starts++;
        const other = this.present.get(task);
        if (other !== undefined && other.worker.isAlive) {
            this.breach(
                `${task} runs twice: run ${other.run} on ${other.worker.id} and run ${run} on ${worker.id}`,
            );
        }
        if (this.doneStored.has(task)) {
            this.breach(`${task} starts again after its success was stored`);
        }
        this.present.set(task, { run, worker });
        this.checkJob(task);
    }

    ended(worker: StandinWorker, task: string, run: number, how: ReportedEnd | "gone"): void {
        const present = this.present.get(task);
        if (present?.worker === worker && present.run === run) {
            this.present.delete(task);
        }
        if (how === RunEnd.Done) {
            this.done.add(task);
        }
    }

    acknowledged(_: StandinWorker, task: string, __: number, how: ReportedEnd): void {
        if (how === RunEnd.Done) {
            this.doneStored.add(task);
        }
    }

    private checkJob(task: string): void {
        const id = parseTaskName(task);
        const spec = id === undefined ? undefined : this.specs.get(id.job);
        if (id === undefined || spec === undefined) {
            this.breach(`${task} was never submitted`);
            return;
        }
        const cancelledAt = this.cancelledAt.get(id.job);
        if (cancelledAt !== undefined && this.timer.now() > cancelledAt + cancelMs) {
            this.breach(`${task} starts long after its job was cancelled`);
        }
        if (this.refused.has(id.job)) {
            this.breach(`${task} starts although its job was refused`);
        }
        for (const before of spec.steps[id.step]?.after ?? []) {
            for (let index = 0; index < (spec.steps[before]?.tasks ?? 0); index++) {
                if (!this.done.has(`${id.job}.${id.occurrence}.${before}.${index}`)) {
                    this.breach(`${task} starts before step ${before} is done`);
                    return;
                }
            }
        }
    }

    /** Notes a breach. */
    breach(text: string): void {
        this.breaches.push(`${Math.round(this.timer.now())} ms: ${text}`);
    }
}
