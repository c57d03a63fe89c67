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
    failJob,
    findTaskPosition,
    giveUpTask,
    initialState,
    isFinal,
    isOccurrenceDue,
    isServiceJob,
    type JobState,
    RunEnd,
    type RunResult,
    TaskPhase,
    TaskSet,
    type TaskState,
    withTask,
} from "../job/index.js";
import { parseTaskName, taskName } from "../job/index.js";
import { ChangedJobs } from "./changed-jobs.js";
import { JobProgress } from "./job-progress.js";
import { openTaskCount } from "./open-steps.js";
import { type JobEntry, type RunRecord, StartStatus, StopReason } from "./records.js";
import { TeamUsage } from "./team-usage.js";
import { WorkerLosses } from "./worker-losses.js";

/** Options of `JobRegistry.accept`. */
export interface AcceptOptions {
    readonly exceedsTeamShare?: boolean;
}

/** Most occurrences of a job that are added at once; more are added at the next check. */
const maxOccurrencesAtOnce = 100;
/** Jobs and runs of a domain. */
export class JobRegistry {
    readonly entries = new Map<string, JobEntry>();
    readonly runs = new Map<string, RunRecord>();
    /** Jobs that have changed since they were last stored. */
    readonly changes = ChangedJobs.create();
    private readonly active = new Set<JobEntry>();
    /** Resources of the running and claimed runs. */
    readonly usage = TeamUsage.create();
    /** Workers lost under the tasks of unfinished jobs. */
    readonly losses = WorkerLosses.create((entry, state) => this.updateState(entry, state));

    static create(): JobRegistry {
        return new JobRegistry();
    }

    /** Jobs that are not final, in order of acceptance. */
    get activeEntries(): ReadonlySet<JobEntry> {
        return this.active;
    }

    /** Adds a job, or returns the existing entry unchanged. */
    accept(job: AcceptedJob, { exceedsTeamShare = false }: AcceptOptions = {}): JobEntry {
        return this.entries.get(job.id)
            ?? this.add(job, initialState(job), { exceedsTeamShare, progress: JobProgress.create() });
    }

    /** Adds a job with its stored progress, and records its claimed runs, which may still exist on their workers. */
    restore(job: AcceptedJob, state: JobState, now: number, progress = JobProgress.create()): void {
        const entry = this.add(job, state, { exceedsTeamShare: false, progress });
        entry.hasStarted = state.tasks.count(TaskSet.Begun) > 0;
        if (state.tasks.count(TaskSet.WithLosses) > 0) {
            this.losses.add(entry);
        }
        for (const position of state.tasks.positions(TaskSet.Claimed)) {
            this.addRun(entry, position, StartStatus.Inherited, now);
        }
        if (!isFinal(state.phase)) {
            // The tasks may have been stored a batch earlier than what follows from them.
            this.updateState(entry, completeIfDone(job, state));
        }
        this.finishIfFinal(entry, now);
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
        const lost = { worker, workerStartedAt: workerIncarnation };
        const isExplained = end.isExplained === true || this.losses.isExplained(lost);
        this.dropRun(record);
        entry.unstoredEnds.add(worker);
        if (end.how === RunEnd.Failed) {
            const failedWorkers = entry.failedWorkers.get(position) ?? new Set();
            entry.failedWorkers.set(position, failedWorkers.add(worker));
        }
        this.updateState(
            entry,
            endRun(entry.job, entry.state, position, { ...end, isExplained }, { maxFailures }),
        );
        if (end.how === RunEnd.WorkerLost) {
            this.losses.add(entry);
            this.losses.explainBy(entry, position);
            this.losses.noteIfHeld(entry, position);
        }
        if (record.step.isGang && end.how === RunEnd.Done) {
            this.endGang(record);
        }
        this.finishIfFinal(entry, now);
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
        const task = position < 0 ? undefined : entry.state.tasks.at(position);
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

    /** Gives up a task that is held. */
    giveUp(entry: JobEntry, position: number, now: number): void {
        this.updateState(entry, giveUpTask(entry.job, entry.state, position));
        this.losses.explainBy(entry, position);
        this.finishIfFinal(entry, now);
    }

    /** Fails a job and marks its runs to be stopped. */
    fail(entry: JobEntry, reason: string, now: number): void {
        this.updateState(entry, failJob(entry.state, reason));
        this.finishIfFinal(entry, now);
    }

    /** Adds the occurrences that are due at `wallMs`, a Unix time in milliseconds. */
    addDueOccurrences(entry: JobEntry, wallMs: number): void {
        const { job } = entry;
        for (let i = 0; i < maxOccurrencesAtOnce && isOccurrenceDue(job, entry.state, wallMs); i++) {
            this.updateState(entry, addOccurrence(entry.state));
        }
    }

    /** Number of tasks that could start now but have no worker. */
    get openTaskCount(): number {
        let count = 0;
        for (const entry of this.active) {
            count += openTaskCount(entry);
        }
        return count;
    }

    /** The run of a task that may exist on a worker, if any. */
    runOf(entry: JobEntry, position: number): RunRecord | undefined {
        return this.runs.get(nameOf(entry, entry.state.tasks.at(position)));
    }

    /** Runs of the other members of a gang. */
    otherGangRuns({ entry, position, step }: RunRecord): readonly RunRecord[] {
        const { tasks } = entry.state;
        const own = tasks.at(position);
        return !step.isGang ? [] : [...tasks.begunTasks(tasks.layout.rangeOf(own))]
            .filter(({ index }) => index !== own.index)
            .flatMap(other => this.runs.get(nameOf(entry, other)) ?? []);
    }

    /** Removes a job from the registry. */
    remove(entry: JobEntry): void {
        this.entries.delete(entry.job.id);
        this.active.delete(entry);
        this.changes.remove(entry);
    }

    private add(
        job: AcceptedJob,
        state: JobState,
        { exceedsTeamShare, progress }: Pick<JobEntry, "exceedsTeamShare" | "progress">,
    ): JobEntry {
        const entry: JobEntry = {
            job,
            isService: isServiceJob(job.spec),
            state,
            storedPhase: state.phase,
            isDirty: false,
            progress,
            unstoredEnds: new Set(),
            hasStarted: false,
            failedWorkers: new Map(),
            runCount: 0,
            openSteps: undefined,
            unfinishedTasks: undefined,
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
        entry.openSteps = undefined;
        entry.unfinishedTasks = undefined;
        this.changes.add(entry);
    }

    private addRun(entry: JobEntry, position: number, start: StartStatus, now: number): RunRecord {
        const task = entry.state.tasks.at(position);
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
            probedAt: -Infinity,
            progressPercent: 0,
            progressedAt: now,
            lastReading: 0,
            pacePercent: 100,
        };
        this.runs.set(record.name, record);
        entry.runCount++;
        this.usage.add(entry.job.team, record.step, 1);
        return record;
    }

    private dropRun(record: RunRecord): void {
        this.runs.delete(record.name);
        record.entry.runCount--;
        this.usage.add(record.entry.job.team, record.step, -1);
    }

    /** The success of one member completes the whole gang; the other runs are dropped when their own ends arrive. */
    private endGang({ entry, position }: RunRecord): void {
        const { tasks } = entry.state;
        const members = tasks.layout.rangeOf(tasks.at(position));
        for (const member of tasks.positions(TaskSet.Unfinished, members)) {
            const done = { phase: TaskPhase.Done, worker: "", workerStartedAt: 0 };
            this.updateState(entry, withTask(entry.state, member, done));
        }
        this.updateState(entry, completeIfDone(entry.job, entry.state));
    }

    private finishIfFinal(entry: JobEntry, now: number): void {
        if (isFinal(entry.state.phase) && entry.finalAt === undefined) {
            entry.finalAt = now;
            this.active.delete(entry);
            this.losses.remove(entry);
            this.markRunsForStop(entry);
        }
    }

    private markRunsForStop(entry: JobEntry): void {
        if (entry.runCount === 0) {
            return;
        }
        for (const record of this.runs.values()) {
            if (record.entry === entry) {
                record.stopReason = StopReason.JobEnded;
            }
        }
    }
}

function nameOf(entry: JobEntry, { occurrence, step, index }: TaskState): string {
    return taskName({ job: entry.job.id, occurrence, step, index });
}
