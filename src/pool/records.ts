/** Records of jobs and of their runs at the owner of a domain. */
import type {
    AcceptedJob,
    JobPhase,
    JobState,
    OpenTasks,
    StepSpec,
    TaskState,
    WorkerLoss,
} from "../job/index.js";
import type { Resources } from "../process/resources.js";
import type { JobProgress } from "./job-progress.js";

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
    /** Incarnation of the worker that has reported the run or, before that, for which it was claimed. */
    workerIncarnation: number;
    readonly step: StepSpec;
    /** Whether an earlier owner claimed the run, so that its start is known only to be after the job's acceptance. */
    readonly isInherited: boolean;
    start: StartStatus;
    /** Fencing token of its start order; undefined unless this owner has sent one. */
    startFence?: number;
    /** Monotonic time at which this owner has sent the start order, in milliseconds; undefined unless it has. */
    startSentAt?: number;
    /** Monotonic time at which another incarnation than the one that it was meant for has confirmed it, in milliseconds. */
    foreignAnswerAt?: number;
    /** Ticket of the placement adviser for its start; undefined if its queue needs none. */
    ticket?: string;
    /** Monotonic time of the claim, in milliseconds. */
    readonly claimedAt: number;
    startedAt: number;
    /** Why the run is to be stopped; undefined while it may go on. */
    stopReason?: StopReason;
    /** Monotonic time at which the worker confirmed the stop, in milliseconds. */
    stopConfirmedAt?: number;
    /** Monotonic time of the last stop order, in milliseconds. */
    stopSentAt: number;
    /** Monotonic time at which its worker was last asked whether it has the run, in milliseconds. */
    probedAt: number;
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
    return entry.state.tasks.at(position);
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

/** A step of one occurrence of a job with tasks that could start now. */
export interface OpenStep extends OpenTasks {
    readonly step: StepSpec;
    /** Resources that each of the tasks reserves on its worker. */
    readonly needs: Resources;
}

/** The time for which a job is suspended. */
export interface JobSuspension {
    /** Monotonic time at which its progress is offered to the store again, in milliseconds. */
    readonly until: number;
    /** Number of suspensions since its progress was last stored. */
    readonly count: number;
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
    /** What of the progress is stored. */
    readonly progress: JobProgress;
    /** Workers that have listed ends of its runs which are not stored yet. */
    readonly unstoredEnds: Set<string>;
    /** Set while the store accepts no progress of the job: no task of it is started. */
    suspension?: JobSuspension;
    /** Whether a run of the job has ever been claimed. */
    hasStarted: boolean;
    /** Workers on which runs of a task failed, by the task's position. */
    readonly failedWorkers: Map<number, Set<string>>;
    /** Number of runs that may exist on workers. */
    runCount: number;
    /** Cache of the steps with waiting tasks whose preceding steps are done; undefined after a change of state. */
    openSteps: readonly OpenStep[] | undefined;
    /** Cache of the number of tasks of each step that are not done; undefined after a change of state. */
    unfinishedTasks: readonly number[] | undefined;
    /** Whether the job exceeded the number of jobs per second that its team is guaranteed. */
    exceedsTeamShare: boolean;
    /** Monotonic time at which the job became final, in milliseconds. */
    finalAt?: number;
}
