/**
 * The jobs of a domain and their runs, as its owner knows them. Holds what changes during the owner's life and
 * notes which jobs have changed since they were last stored.
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
    initialState,
    isFinal,
    isSameStep,
    isServiceJob,
    JobPhase,
    type JobState,
    readySteps,
    RunEnd,
    type StepSpec,
    TaskPhase,
    type TaskState,
    withTask,
} from "../job/index.js";
import { parseTaskName, taskName } from "../job/index.js";
import { addResources, noResources, type Resources } from "../process/resources.js";

/** What is known about the start of a run. */
export enum StartStatus {
    /** Claimed; its record may not be stored yet and no order was sent. */
    Recorded = "recorded",
    /** The order is on its way. */
    Sent = "sent",
    /** The worker confirmed it, or has reported the run. */
    Confirmed = "confirmed",
    /** No answer came: it may have started or may do so later. */
    Uncertain = "uncertain",
    /** Recorded by an earlier owner. */
    Inherited = "inherited",
}

/** A run that may exist on a worker. */
export interface RunRecord {
    readonly name: string;
    readonly entry: JobEntry;
    /** Position of the task in the job's state. */
    readonly at: number;
    readonly run: number;
    readonly worker: string;
    /** Life of the worker that the run belongs to. */
    readonly born: number;
    readonly step: StepSpec;
    start: StartStatus;
    /** Monotonic time of the claim, in milliseconds. */
    readonly claimedAt: number;
    startedAt: number;
    /** Why it is to be stopped; undefined while it is not. */
    stopReason?: StopReason;
    /** Monotonic time at which the worker confirmed the stop. */
    stopConfirmedAt?: number;
    /** Monotonic time of the last order to stop it. */
    stopSentAt: number;
    percent: number;
    /** Monotonic time at which the progress last rose. */
    percentAt: number;
    reading: number;
    /** Share of full speed that it was last told to work at, in percent. */
    pace: number;
}

/** Why a run is stopped. */
export enum StopReason {
    JobEnded = "job-ended",
    /** Its start was not answered; the stop forbids a late one. */
    StartUncertain = "start-uncertain",
    /** Its worker drains. */
    WorkerDraining = "worker-draining",
    /** Its VM is to be moved or serviced. */
    VmLeaving = "vm-leaving",
    /** It makes no progress. */
    Stalled = "stalled",
    /** Another member of its gang ended or could not start. */
    GangBroken = "gang-broken",
    /** The run is not known here. */
    Unknown = "unknown-run",
}

/** A job at its owner. */
export interface JobEntry {
    readonly job: AcceptedJob;
    readonly isService: boolean;
    state: JobState;
    /** Phase as last stored; the one that callers are told. */
    shown: JobPhase;
    isDirty: boolean;
    /** Whether any run of it has been claimed. */
    hasBegun: boolean;
    /** Workers on which runs of a task failed, by position of the task. */
    readonly failedOn: Map<number, Set<string>>;
    /** Number of runs that may exist. */
    runs: number;
    /** Waiting tasks whose turn has come, by position; recomputed after changes. */
    open: readonly number[] | undefined;
    /** Beyond what its team may count on per second. */
    readonly isBeyondShare: boolean;
    /** Monotonic time at which it became final. */
    finalAt?: number;
}

/** Options of `JobBook.accept`. */
export interface AcceptOptions {
    readonly isBeyondShare?: boolean;
}

/** Jobs and runs of a domain. */
export class JobBook {
    readonly entries = new Map<string, JobEntry>();
    readonly runs = new Map<string, RunRecord>();
    private readonly dirty = new Set<JobEntry>();
    private readonly active = new Set<JobEntry>();
    private readonly usage = new Map<string, Resources>();

    static create(): JobBook {
        return new JobBook();
    }

    /** Jobs that are not final, in the order in which they were accepted. */
    get activeEntries(): ReadonlySet<JobEntry> {
        return this.active;
    }

    get dirtyCount(): number {
        return this.dirty.size;
    }

    /** Adds a job; one that is known already stays as it is. */
    accept(job: AcceptedJob, { isBeyondShare = false }: AcceptOptions = {}): JobEntry {
        return this.entries.get(job.id) ?? this.add(job, initialState(job), isBeyondShare);
    }

    /** Adds a job with its stored progress; its claimed runs may exist on their workers. */
    restore(job: AcceptedJob, state: JobState, now: number): void {
        const entry = this.add(job, state, false);
        for (const [at, task] of state.tasks.entries()) {
            entry.hasBegun ||= task.run > 0;
            if (task.phase === TaskPhase.Claimed) {
                this.addRun(entry, at, StartStatus.Inherited, now);
            }
        }
        if (isFinal(state.phase)) {
            entry.finalAt = now;
            this.stopAll(entry);
        }
    }

    /** Claims the next run of a waiting task for a worker. */
    claim(entry: JobEntry, at: number, worker: string, born: number, now: number): RunRecord {
        this.change(entry, claimTask(entry.job, entry.state, at, { worker, workerStartedAt: born }));
        entry.hasBegun = true;
        return this.addRun(entry, at, StartStatus.Recorded, now);
    }

    /** Applies the end of a run. */
    end(
        record: RunRecord,
        end: { readonly how: RunEnd; readonly saved?: string },
        maxFailures: number,
        now: number,
    ): void {
        const { entry, at, worker } = record;
        this.dropRun(record);
        if (end.how === RunEnd.Failed) {
            const failedOn = entry.failedOn.get(at) ?? new Set();
            entry.failedOn.set(at, failedOn.add(worker));
        }
        this.change(entry, endRun(entry.job, entry.state, at, end, { maxFailures }));
        if (record.step.isGang && end.how === RunEnd.Done) {
            this.endGang(record);
        }
        this.noteFinal(entry, now);
    }

    /** Cancels a job; its runs are to be stopped. */
    cancel(entry: JobEntry, now: number): void {
        this.change(entry, cancelJob(entry.state));
        this.noteFinal(entry, now);
    }

    /**
     * Takes the success of an earlier run of a task that waits to be run again; returns its job. Nothing changes when
     * the task has another run by now, and for gangs and services, whose runs mean nothing alone.
     */
    endLate(name: string, run: number, now: number): JobEntry | undefined {
        const id = parseTaskName(name);
        const entry = id === undefined ? undefined : this.entries.get(id.job);
        if (id === undefined || entry === undefined) {
            return undefined;
        }
        const at = findTaskPosition(entry.state, id.occurrence, id.step, id.index);
        const task = entry.state.tasks[at];
        const step = entry.job.spec.steps[id.step];
        if (
            task?.phase !== TaskPhase.Waiting || run > task.run || step === undefined || step.isGang
            || step.isService
        ) {
            return undefined;
        }
        this.change(
            entry,
            endRun(entry.job, entry.state, at, { how: RunEnd.Done }, { maxFailures: Infinity }),
        );
        this.noteFinal(entry, now);
        return entry;
    }

    /** Ends a job as failed; its runs are to be stopped. */
    fail(entry: JobEntry, reason: string, now: number): void {
        this.change(entry, failJob(entry.state, reason));
        this.noteFinal(entry, now);
    }

    /** Adds occurrences that are due at a Unix time. */
    addDueOccurrences(entry: JobEntry, wallMs: number): void {
        const schedule = entry.job.spec.schedule;
        while (
            schedule !== undefined && entry.state.occurrences < schedule.count
            && wallMs >= schedule.firstAtMs + entry.state.occurrences * schedule.intervalMs
        ) {
            this.change(entry, addOccurrence(entry.job, entry.state));
        }
    }

    /** Waiting tasks of a job whose turn has come, by position. */
    openTasks(entry: JobEntry): readonly number[] {
        entry.open ??= findOpen(entry);
        return entry.open;
    }

    /** Run that may exist of a task; undefined without. */
    runOf(entry: JobEntry, at: number): RunRecord | undefined {
        return this.runs.get(nameOf(entry, entry.state.tasks[at]!));
    }

    /** Runs of the other members of a gang. */
    gangOf({ entry, at, step }: RunRecord): readonly RunRecord[] {
        const task = entry.state.tasks[at]!;
        return !step.isGang ? [] : entry.state.tasks
            .filter((other, position) => position !== at && isSameStep(task, other))
            .flatMap(other => this.runs.get(nameOf(entry, other)) ?? []);
    }

    /** Takes up to `limit` jobs with changes that are to be stored; the caller stores them or marks them again. */
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

    /** What a team has running or claimed. */
    usageOf(team: string): Resources {
        return this.usage.get(team) ?? noResources;
    }

    /** Forgets a job for good. */
    forget(entry: JobEntry): void {
        this.entries.delete(entry.job.id);
        this.active.delete(entry);
        this.dirty.delete(entry);
    }

    private add(job: AcceptedJob, state: JobState, isBeyondShare: boolean): JobEntry {
        const entry: JobEntry = {
            job,
            isService: isServiceJob(job.spec),
            state,
            shown: state.phase,
            isDirty: false,
            hasBegun: false,
            failedOn: new Map(),
            runs: 0,
            open: undefined,
            isBeyondShare,
        };
        this.entries.set(job.id, entry);
        if (!isFinal(state.phase)) {
            this.active.add(entry);
        }
        return entry;
    }

    private change(entry: JobEntry, state: JobState): void {
        if (state === entry.state) {
            return;
        }
        entry.state = state;
        entry.open = undefined;
        entry.isDirty = true;
        this.dirty.add(entry);
    }

    private addRun(entry: JobEntry, at: number, start: StartStatus, now: number): RunRecord {
        const task = entry.state.tasks[at]!;
        const record: RunRecord = {
            name: nameOf(entry, task),
            entry,
            at,
            run: task.run,
            worker: task.worker,
            born: task.workerStartedAt,
            step: entry.job.spec.steps[task.step]!,
            start,
            claimedAt: now,
            startedAt: now,
            stopSentAt: -Infinity,
            percent: 0,
            percentAt: now,
            reading: 0,
            pace: 100,
        };
        this.runs.set(record.name, record);
        entry.runs++;
        this.charge(entry.job.team, record.step, 1);
        return record;
    }

    private dropRun(record: RunRecord): void {
        this.runs.delete(record.name);
        record.entry.runs--;
        this.charge(record.entry.job.team, record.step, -1);
    }

    private charge(team: string, step: StepSpec, times: number): void {
        this.usage.set(team, addResources(this.usageOf(team), step.needs, times));
    }

    /** One member's success stands for the whole gang; the other runs are dropped when their own ends arrive. */
    private endGang({ entry, at }: RunRecord): void {
        const ended = entry.state.tasks[at]!;
        for (const [position, task] of entry.state.tasks.entries()) {
            if (isSameStep(ended, task) && task.phase !== TaskPhase.Done) {
                this.change(
                    entry,
                    withTask(entry.state, position, {
                        phase: TaskPhase.Done,
                        worker: "",
                        workerStartedAt: 0,
                    }),
                );
            }
        }
        this.change(entry, completeIfDone(entry.job, entry.state));
    }

    private noteFinal(entry: JobEntry, now: number): void {
        if (isFinal(entry.state.phase) && entry.finalAt === undefined) {
            entry.finalAt = now;
            this.active.delete(entry);
            this.stopAll(entry);
        }
    }

    private stopAll(entry: JobEntry): void {
        if (entry.runs === 0) {
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

function nameOf(entry: JobEntry, { occurrence, step, index }: TaskState): string {
    return taskName({ job: entry.job.id, occurrence, step, index });
}

function findOpen(entry: JobEntry): readonly number[] {
    const { job, state } = entry;
    if (isFinal(state.phase)) {
        return [];
    }
    const steps = new Map<number, ReadonlySet<number>>();
    const found: number[] = [];
    for (const [at, task] of state.tasks.entries()) {
        if (task.phase === TaskPhase.Waiting) {
            const open = steps.get(task.occurrence) ?? readySteps(job, state, task.occurrence);
            steps.set(task.occurrence, open);
            if (open.has(task.step)) {
                found.push(at);
            }
        }
    }
    return found;
}
