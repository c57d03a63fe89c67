/** Load of a stand-in site in virtual time: jobs that arrive at a rate for each queue, and when each of them was done. */
import { criticalPathMs, type JobSpec, parseTaskName } from "../../src/job/index.js";
import type { Queue } from "../../src/version/directory.js";
import type { StandinEntry, StandinSite } from "./site.js";

/** Jobs of one queue. */
export interface QueueLoad {
    readonly queue: string;
    readonly spec: JobSpec;
    /** Run time of each task, in milliseconds. */
    readonly workMs: number;
    /** Jobs per second at a time since the start of the load, in milliseconds. */
    readonly ratePerS: (atMs: number) => number;
}

/** A job that was accepted. */
export interface LoadedJob {
    readonly id: string;
    readonly submittedAt: number;
    /** Time by which its result has its full value, in milliseconds. */
    readonly dueAt: number;
    readonly tasks: number;
    /** Time at which its last task was done; undefined before. */
    doneAt: number | undefined;
}

const stepMs = 10;
const submitTimeoutMs = 3000;
const msPerSecond = 1000;

/** Submits jobs at the live entries in turn. */
export class SiteLoad {
    readonly jobs: LoadedJob[] = [];
    private readonly byId = new Map<string, { readonly job: LoadedJob; readonly done: Set<string> }>();
    private readonly due = new Map<QueueLoad, number>();
    private readonly startedAt: number;
    private seenSuccesses = 0;
    private submitted = 0;

    private constructor(private readonly site: StandinSite, private readonly queues: readonly QueueLoad[]) {
        this.startedAt = site.timer.now();
    }

    static create(site: StandinSite, queues: readonly QueueLoad[]): SiteLoad {
        return new SiteLoad(site, queues);
    }

    /** Advances time by `ms` milliseconds, during which jobs arrive unless `isPaused`. */
    async run(ms: number, { isPaused = false } = {}): Promise<void> {
        const until = this.site.timer.now() + ms;
        while (this.site.timer.now() < until) {
            if (!isPaused) {
                this.queues.forEach(queue => this.submitDue(queue));
            }
            await this.site.timer.advance(stepMs);
            this.recordDone();
        }
    }

    /** Fraction of the jobs submitted in a period that were done in time; 1 if there were none. */
    onTimeShare(from: number, to: number): number {
        const jobs = this.jobs.filter(({ submittedAt }) => submittedAt >= from && submittedAt < to);
        const onTime = jobs.filter(({ doneAt, dueAt }) => doneAt !== undefined && doneAt <= dueAt);
        return jobs.length === 0 ? 1 : onTime.length / jobs.length;
    }

    private submitDue(load: QueueLoad): void {
        const rate = load.ratePerS(this.site.timer.now() - this.startedAt);
        let due = (this.due.get(load) ?? 0) + rate * stepMs / msPerSecond;
        for (; due >= 1; due--) {
            void this.submit(load);
        }
        this.due.set(load, due);
    }

    private async submit({ queue: name, spec, workMs }: QueueLoad): Promise<void> {
        const { site } = this;
        const number = this.submitted++;
        const entries = site.entries.filter(({ peers, core }) =>
            peers.node.isAlive && core.lists.directory !== undefined
        );
        const entry = entries[number % entries.length];
        const queue = entry?.core.lists.directory?.queues.find(candidate => candidate.name === name);
        if (entry === undefined || queue === undefined) {
            throw new Error(`no live entry knows the queue "${name}"`);
        }
        const id = `${name}-${number}`;
        site.checker.specs.set(id, spec);
        site.jobProfiles.set(id, { workMs, failures: 0 });
        const job: LoadedJob = {
            id,
            submittedAt: site.timer.now(),
            dueAt: site.timer.now() + allowedMs(queue, spec, workMs),
            tasks: spec.steps.reduce((sum, { tasks }) => sum + tasks, 0),
            doneAt: undefined,
        };
        this.byId.set(id, { job, done: new Set() });
        if (await isAccepted(entry, id, queue, spec)) {
            this.jobs.push(job);
        }
    }

    private recordDone(): void {
        const { successes } = this.site.checker;
        for (; this.seenSuccesses < successes.length; this.seenSuccesses++) {
            const task = successes[this.seenSuccesses]!;
            const entry = this.byId.get(parseTaskName(task)?.job ?? "");
            entry?.done.add(task);
            if (entry !== undefined && entry.done.size === entry.job.tasks) {
                entry.job.doneAt ??= this.site.timer.now();
            }
        }
    }
}

async function isAccepted(entry: StandinEntry, id: string, queue: Queue, spec: JobSpec): Promise<boolean> {
    const { kind } = await entry.core.jobCalls.submit(id, queue, "team", spec, submitTimeoutMs);
    return kind === "accepted";
}

function allowedMs({ stretch, objectiveMs }: Queue, spec: JobSpec, workMs: number): number {
    return stretch * criticalPathMs(spec, () => workMs) + objectiveMs;
}
