/**
 * In-memory state of the jobs of a domain and their runs, held by its owner. Also records which jobs have changed since
 * they were last stored.
 */
import {
    type AcceptedJob,
    addOccurrence,
    cancelJob,
    claimTask,
    completeIfDone,
    endRun,
    exceedsLossLimit,
    failJob,
    findTaskPosition,
    initialState,
    isFinal,
    isSameIncarnation,
    isSameStep,
    isServiceJob,
    JobPhase,
    type JobState,
    readySteps,
    RunEnd,
    type RunResult,
    type StepSpec,
    TaskPhase,
    type TaskState,
    updateLosses,
    withTask,
    type WorkerIncarnation,
    type WorkerLoss,
} from "../job/index.js";
import { parseTaskName, taskName } from "../job/index.js";
import { addResources, noResources, type Resources } from "../process/resources.js";

/** State of a run's start, as far as the owner knows it. */
export enum StartStatus {
    /** Claimed; the claim may not be stored yet, and no start order was sent. */
    Recorded = "recorded",
    /** The start order was sent and has not been answered. */
    Sent = "sent",
    /** The worker confirmed the start or has reported the run. */
    Confirmed = "confirmed",
    /** The order was not answered: the run may have started or may still start. */
    Uncertain = "uncertain",
    /** Claimed by an earlier owner. */
    Inherited = "inherited",
}

/** A run that may exist on a worker. */
export interface RunRecord {
    readonly name: string;
    readonly entry: JobEntry;
    /** Position of the task in the job's state. */
    readonly position: number;
    readonly run: number;
    readonly worker: string;
    /** Incarnation of the worker that the run was claimed for. */
    readonly workerIncarnation: number;
    readonly step: StepSpec;
    /** Whether an earlier owner claimed the run, so that its start is known only to be after the job's acceptance. */
    readonly isInherited: boolean;
    start: StartStatus;
    /** Monotonic time of the claim, in milliseconds. */
    readonly claimedAt: number;
    startedAt: number;
    /** Why the run is to be stopped; undefined while it may go on. */
    stopReason?: StopReason;
    /** Monotonic time at which the worker confirmed the stop, in milliseconds. */
    stopConfirmedAt?: number;
    /** Monotonic time of the last stop order, in milliseconds. */
    stopSentAt: number;
    progressPercent: number;
    /** Monotonic time at which the progress last increased, in milliseconds. */
    progressedAt: number;
    /** Last reading from the worker: tail latency in milliseconds for a service with a tail target, else CPU use. */
    lastReading: number;
    /** Speed that was last ordered for the run, in percent of full speed. */
    pacePercent: number;
}

/** Why a run is stopped. */
export enum StopReason {
    JobEnded = "job-ended",
    /** The start order was not answered; the stop prevents a late start. */
    StartUncertain = "start-uncertain",
    /** Its worker is draining. */
    WorkerDraining = "worker-draining",
    /** Its VM is to be moved or serviced. */
    VmLeaving = "vm-leaving",
    /** The run makes no progress. */
    Stalled = "stalled",
    /** Another member of its gang ended or could not start. */
    GangBroken = "gang-broken",
    /** The owner has no record of the run. */
    Unknown = "unknown-run",
}

/** State of a run's task. */
export function taskOf({ entry, position }: RunRecord): TaskState {
    return entry.state.tasks[position]!;
}

/** Workers that were lost under a run's task. */
export function lossesOf(record: RunRecord): readonly WorkerLoss[] {
    return taskOf(record).lostWorkers;
}

/** Time at work after which a run shows that its start does not end the worker. */
const testMs = 1000;

/** Whether a run had been at work for long enough at the monotonic time `at` to show that its start does not end the worker. */
export function isTested({ start, startedAt }: RunRecord, at: number): boolean {
    return start === StartStatus.Confirmed && at - startedAt >= testMs;
}

/** A job in the registry. */
export interface JobEntry {
    readonly job: AcceptedJob;
    readonly isService: boolean;
    state: JobState;
    /** Phase as last stored, which is the one reported to callers. */
    storedPhase: JobPhase;
    /** Whether the state has changed since it was last taken for storing. */
    isDirty: boolean;
    /** Whether a run of the job has ever been claimed. */
    hasStarted: boolean;
    /** Workers on which runs of a task failed, by the task's position. */
    readonly failedWorkers: Map<number, Set<string>>;
    /** Number of runs that may exist on workers. */
    runCount: number;
    /** Cache of the positions of waiting tasks whose preceding steps are done; undefined after a change of state. */
    openTasks: readonly number[] | undefined;
    /** Whether the job exceeded the number of jobs per second that its team is guaranteed. */
    readonly exceedsTeamShare: boolean;
    /** Monotonic time at which the job became final, in milliseconds. */
    finalAt?: number;
}

/** Options of `JobRegistry.accept`. */
export interface AcceptOptions {
    readonly exceedsTeamShare?: boolean;
}

/** Jobs and runs of a domain. */
export class JobRegistry {
    readonly entries = new Map<string, JobEntry>();
    readonly runs = new Map<string, RunRecord>();
    private readonly dirty = new Set<JobEntry>();
    private readonly active = new Set<JobEntry>();
    /** Workers ended by tasks that have failed their jobs for it; their other runs do not count them as lost. */
    private readonly explainedLosses = new Set<string>();
    /** Unfinished jobs with a task under which a worker was lost. */
    private readonly withLosses = new Set<JobEntry>();
    private readonly usage = new Map<string, Resources>();

    static create(): JobRegistry {
        return new JobRegistry();
    }

    /** Jobs that are not final, in order of acceptance. */
    get activeEntries(): ReadonlySet<JobEntry> {
        return this.active;
    }

    get dirtyCount(): number {
        return this.dirty.size;
    }

    /** Adds a job, or returns the existing entry unchanged. */
    accept(job: AcceptedJob, { exceedsTeamShare = false }: AcceptOptions = {}): JobEntry {
        return this.entries.get(job.id) ?? this.add(job, initialState(job), exceedsTeamShare);
    }

    /** Adds a job with its stored progress, and records its claimed runs, which may still exist on their workers. */
    restore(job: AcceptedJob, state: JobState, now: number): void {
        const entry = this.add(job, state, false);
        for (const [position, task] of state.tasks.entries()) {
            entry.hasStarted ||= task.run > 0;
            if (task.lostWorkers.length > 0) {
                this.withLosses.add(entry);
            }
            if (task.phase === TaskPhase.Claimed) {
                this.addRun(entry, position, StartStatus.Inherited, now);
            }
        }
        if (isFinal(state.phase)) {
            entry.finalAt = now;
            this.withLosses.delete(entry);
            this.markRunsForStop(entry);
        }
    }

    /** Claims the next run of a waiting task for an incarnation of a worker. */
    claim(
        entry: JobEntry,
        position: number,
        worker: string,
        workerIncarnation: number,
        now: number,
    ): RunRecord {
        this.updateState(
            entry,
            claimTask(entry.job, entry.state, position, { worker, workerStartedAt: workerIncarnation }),
        );
        entry.hasStarted = true;
        return this.addRun(entry, position, StartStatus.Recorded, now);
    }

    /** Applies the end of a run. */
    end(
        record: RunRecord,
        end: RunResult,
        maxFailures: number,
        now: number,
    ): void {
        const { entry, position, worker, workerIncarnation } = record;
        const isExplained = end.isExplained === true
            || this.explainedLosses.has(incarnationKey({ worker, workerStartedAt: workerIncarnation }));
        this.dropRun(record);
        if (end.how === RunEnd.Failed) {
            const failedWorkers = entry.failedWorkers.get(position) ?? new Set();
            entry.failedWorkers.set(position, failedWorkers.add(worker));
        }
        this.updateState(
            entry,
            endRun(entry.job, entry.state, position, { ...end, isExplained }, { maxFailures }),
        );
        if (end.how === RunEnd.WorkerLost) {
            this.withLosses.add(entry);
            this.explainLosses(entry, position);
        }
        if (record.step.isGang && end.how === RunEnd.Done) {
            this.endGang(record);
        }
        this.finishIfFinal(entry, now);
    }

    /** Drops a worker that turned out to be alive from the losses of all tasks; returns the number of those tasks. */
    forgetLostWorker(alive: WorkerIncarnation): number {
        return this.updateAllLosses(lost => isSameIncarnation(lost, alive) ? undefined : lost);
    }

    /** Drops all losses of the task of a run that has shown to be harmless. */
    forgetLostWorkers({ entry, position }: RunRecord): void {
        this.updateState(entry, updateLosses(entry.state, position, () => undefined));
    }

    /** When a task is given up for the workers lost under it, marks these losses as explained for all other tasks. */
    private explainLosses(failed: JobEntry, position: number): void {
        const task = failed.state.tasks[position]!;
        const { isService } = failed.job.spec.steps[task.step]!;
        if (task.phase !== TaskPhase.Failed || !exceedsLossLimit(task.lostWorkers, isService)) {
            return;
        }
        task.lostWorkers.forEach(lost => this.explainedLosses.add(incarnationKey(lost)));
        this.updateAllLosses(lost =>
            lost.isExplained || !this.explainedLosses.has(incarnationKey(lost))
                ? lost
                : { ...lost, isExplained: true }
        );
    }

    /** Updates the losses of all tasks of unfinished jobs; returns the number of tasks that changed. */
    private updateAllLosses(update: (lost: WorkerLoss) => WorkerLoss | undefined): number {
        let tasks = 0;
        for (const entry of this.withLosses) {
            for (const position of entry.state.tasks.keys()) {
                const before = entry.state;
                this.updateState(entry, updateLosses(before, position, update));
                tasks += entry.state === before ? 0 : 1;
            }
        }
        return tasks;
    }

    /** Cancels a job and marks its runs to be stopped. */
    cancel(entry: JobEntry, now: number): void {
        this.updateState(entry, cancelJob(entry.state));
        this.finishIfFinal(entry, now);
    }

    /**
     * Applies the late success of an earlier run to a task that is waiting for another run, and returns its job.
     * Returns undefined without a change if the task has another run by now, or belongs to a gang or service, for which
     * the success of a single run is not sufficient.
     */
    applyLateSuccess(name: string, run: number, now: number): JobEntry | undefined {
        const taskId = parseTaskName(name);
        const entry = taskId === undefined ? undefined : this.entries.get(taskId.job);
        if (taskId === undefined || entry === undefined) {
            return undefined;
        }
        const position = findTaskPosition(entry.state, taskId.occurrence, taskId.step, taskId.index);
        const task = entry.state.tasks[position];
        const step = entry.job.spec.steps[taskId.step];
        if (
            task?.phase !== TaskPhase.Waiting || run > task.run || step === undefined || step.isGang
            || step.isService
        ) {
            return undefined;
        }
        this.updateState(
            entry,
            endRun(entry.job, entry.state, position, { how: RunEnd.Done }, { maxFailures: Infinity }),
        );
        this.finishIfFinal(entry, now);
        return entry;
    }

    /** Fails a job and marks its runs to be stopped. */
    fail(entry: JobEntry, reason: string, now: number): void {
        this.updateState(entry, failJob(entry.state, reason));
        this.finishIfFinal(entry, now);
    }

    /** Adds the occurrences that are due at `wallMs`, a Unix time in milliseconds. */
    addDueOccurrences(entry: JobEntry, wallMs: number): void {
        const schedule = entry.job.spec.schedule;
        while (
            schedule !== undefined && entry.state.occurrences < schedule.count
            && wallMs >= schedule.firstAtMs + entry.state.occurrences * schedule.intervalMs
        ) {
            this.updateState(entry, addOccurrence(entry.job, entry.state));
        }
    }

    /** Positions of a job's waiting tasks whose preceding steps are done. */
    openTasks(entry: JobEntry): readonly number[] {
        entry.openTasks ??= findOpenTasks(entry);
        return entry.openTasks;
    }

    /** Number of tasks that could start now but have no worker. */
    get openTaskCount(): number {
        let count = 0;
        for (const entry of this.active) {
            count += this.openTasks(entry).length;
        }
        return count;
    }

    /** The run of a task that may exist on a worker, if any. */
    runOf(entry: JobEntry, position: number): RunRecord | undefined {
        return this.runs.get(nameOf(entry, entry.state.tasks[position]!));
    }

    /** Runs of the other members of a gang. */
    otherGangRuns({ entry, position, step }: RunRecord): readonly RunRecord[] {
        const task = entry.state.tasks[position]!;
        return !step.isGang ? [] : entry.state.tasks
            .filter((other, otherPosition) => otherPosition !== position && isSameStep(task, other))
            .flatMap(other => this.runs.get(nameOf(entry, other)) ?? []);
    }

    /** Takes up to `limit` changed jobs off the dirty set; the caller stores them or marks them as dirty again. */
    takeDirty(limit: number): readonly JobEntry[] {
        const taken: JobEntry[] = [];
        for (const entry of this.dirty) {
            if (taken.length >= limit) {
                break;
            }
            taken.push(entry);
        }
        for (const entry of taken) {
            this.dirty.delete(entry);
            entry.isDirty = false;
        }
        return taken;
    }

    /** Resources of a team's running and claimed runs. */
    usageOf(team: string): Resources {
        return this.usage.get(team) ?? noResources;
    }

    /** Removes a job from the registry. */
    remove(entry: JobEntry): void {
        this.entries.delete(entry.job.id);
        this.active.delete(entry);
        this.dirty.delete(entry);
    }

    private add(job: AcceptedJob, state: JobState, exceedsTeamShare: boolean): JobEntry {
        const entry: JobEntry = {
            job,
            isService: isServiceJob(job.spec),
            state,
            storedPhase: state.phase,
            isDirty: false,
            hasStarted: false,
            failedWorkers: new Map(),
            runCount: 0,
            openTasks: undefined,
            exceedsTeamShare,
        };
        this.entries.set(job.id, entry);
        if (!isFinal(state.phase)) {
            this.active.add(entry);
        }
        return entry;
    }

    private updateState(entry: JobEntry, state: JobState): void {
        if (state === entry.state) {
            return;
        }
        entry.state = state;
        entry.openTasks = undefined;
        entry.isDirty = true;
        this.dirty.add(entry);
    }

    private addRun(entry: JobEntry, position: number, start: StartStatus, now: number): RunRecord {
        const task = entry.state.tasks[position]!;
        const record: RunRecord = {
            name: nameOf(entry, task),
            entry,
            position,
            run: task.run,
            worker: task.worker,
            workerIncarnation: task.workerStartedAt,
            step: entry.job.spec.steps[task.step]!,
            isInherited: start === StartStatus.Inherited,
            start,
            claimedAt: now,
            startedAt: now,
            stopSentAt: -Infinity,
            progressPercent: 0,
            progressedAt: now,
            lastReading: 0,
            pacePercent: 100,
        };
        this.runs.set(record.name, record);
        entry.runCount++;
        this.addUsage(entry.job.team, record.step, 1);
        return record;
    }

    private dropRun(record: RunRecord): void {
        this.runs.delete(record.name);
        record.entry.runCount--;
        this.addUsage(record.entry.job.team, record.step, -1);
    }

    private addUsage(team: string, step: StepSpec, times: number): void {
        this.usage.set(team, addResources(this.usageOf(team), step.needs, times));
    }

    /** The success of one member completes the whole gang; the other runs are dropped when their own ends arrive. */
    private endGang({ entry, position }: RunRecord): void {
        const ended = entry.state.tasks[position]!;
        for (const [memberPosition, task] of entry.state.tasks.entries()) {
            if (isSameStep(ended, task) && task.phase !== TaskPhase.Done) {
                this.updateState(
                    entry,
                    withTask(entry.state, memberPosition, {
                        phase: TaskPhase.Done,
                        worker: "",
                        workerStartedAt: 0,
                    }),
                );
            }
        }
        this.updateState(entry, completeIfDone(entry.job, entry.state));
    }

    private finishIfFinal(entry: JobEntry, now: number): void {
        if (isFinal(entry.state.phase) && entry.finalAt === undefined) {
            entry.finalAt = now;
            this.active.delete(entry);
            this.withLosses.delete(entry);
            this.markRunsForStop(entry);
        }
    }

    private markRunsForStop(entry: JobEntry): void {
        if (entry.runCount === 0) {
            return;
        }
        for (const task of entry.state.tasks) {
            const record = this.runs.get(nameOf(entry, task));
            if (record !== undefined) {
                record.stopReason = StopReason.JobEnded;
            }
        }
    }
}

function incarnationKey({ worker, workerStartedAt }: WorkerIncarnation): string {
    return `${worker}@${workerStartedAt}`;
}

function nameOf(entry: JobEntry, { occurrence, step, index }: TaskState): string {
    return taskName({ job: entry.job.id, occurrence, step, index });
}

function findOpenTasks(entry: JobEntry): readonly number[] {
    const { job, state } = entry;
    if (isFinal(state.phase)) {
        return [];
    }
    const openStepsByOccurrence = new Map<number, ReadonlySet<number>>();
    const found: number[] = [];
    for (const [position, task] of state.tasks.entries()) {
        if (task.phase === TaskPhase.Waiting) {
            const open = openStepsByOccurrence.get(task.occurrence)
                ?? readySteps(job, state, task.occurrence);
            openStepsByOccurrence.set(task.occurrence, open);
            if (open.has(task.step)) {
                found.push(position);
            }
        }
    }
    return found;
}
