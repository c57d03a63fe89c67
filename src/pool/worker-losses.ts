/** Workers that were lost under the tasks of unfinished jobs, and which of them a task that was given up explains. */
import {
    exceedsLossLimit,
    isHeld,
    isSameIncarnation,
    type JobState,
    TaskPhase,
    TaskSet,
    updateLosses,
    type WorkerIncarnation,
    type WorkerLoss,
} from "../job/index.js";
import type { JobEntry, RunRecord } from "./records.js";

/** A task that is held, see `isHeld`. */
export interface HeldTask {
    readonly entry: JobEntry;
    /** Position of the task in the job's state. */
    readonly position: number;
}

/** Corrects the losses that tasks have on record, as the owner learns more of the workers. */
export class WorkerLosses {
    private readonly affected = new Set<JobEntry>();
    private readonly explained = new Set<string>();
    private readonly held = new Map<string, HeldTask>();

    private constructor(private readonly updateState: (entry: JobEntry, state: JobState) => void) {}

    static create(updateState: (entry: JobEntry, state: JobState) => void): WorkerLosses {
        return new WorkerLosses(updateState);
    }

    /** Adds a job with a task under which a worker was lost. */
    add(entry: JobEntry): void {
        this.affected.add(entry);
    }

    /** Removes a job that is final. */
    remove(entry: JobEntry): void {
        this.affected.delete(entry);
    }

    /**
     * Waiting tasks that are held because of the workers that were lost under them, in the order in which they came to be: the
     * first to be given up explains the losses that it shares with others.
     */
    heldTasks(): readonly HeldTask[] {
        for (const entry of this.affected) {
            for (const position of entry.state.tasks.positions(TaskSet.WithLosses)) {
                this.noteIfHeld(entry, position);
            }
        }
        for (const [key, { entry, position }] of this.held) {
            if (!this.affected.has(entry) || !isHeld(entry.job, entry.state.tasks.at(position))) {
                this.held.delete(key);
            }
        }
        return [...this.held.values()];
    }

    /** Notes that a task is held, if it is. */
    noteIfHeld(entry: JobEntry, position: number): void {
        const key = `${entry.job.id}/${position}`;
        if (!this.held.has(key) && isHeld(entry.job, entry.state.tasks.at(position))) {
            this.held.set(key, { entry, position });
        }
    }

    /** Whether a task was given up for the loss of this worker, among others. */
    isExplained(lost: WorkerIncarnation): boolean {
        return this.explained.has(keyOf(lost));
    }

    /** Drops a worker that turned out to be alive from the losses of all tasks; returns the number of those tasks. */
    forgetWorker(alive: WorkerIncarnation): number {
        return this.updateAll(lost => isSameIncarnation(lost, alive) ? undefined : lost);
    }

    /** Drops all losses of the task of a run that has shown to be harmless. */
    forgetAllOf({ entry, position }: RunRecord): void {
        this.updateState(entry, updateLosses(entry.state, position, () => undefined));
    }

    /** If a task was given up for the workers lost under it, marks these losses as explained for all other tasks. */
    explainBy({ state, job }: JobEntry, position: number): void {
        const task = state.tasks.at(position);
        const { isService } = job.spec.steps[task.step]!;
        if (task.phase !== TaskPhase.Failed || !exceedsLossLimit(task.lostWorkers, isService)) {
            return;
        }
        task.lostWorkers.forEach(lost => this.explained.add(keyOf(lost)));
        this.updateAll(lost =>
            !lost.isExplained && this.isExplained(lost) ? { ...lost, isExplained: true } : lost
        );
    }

    /** Updates the losses of all tasks; returns the number of tasks that changed. */
    private updateAll(update: (lost: WorkerLoss) => WorkerLoss | undefined): number {
        let tasks = 0;
        for (const entry of this.affected) {
            for (const position of entry.state.tasks.positions(TaskSet.WithLosses)) {
                const before = entry.state;
                this.updateState(entry, updateLosses(before, position, update));
                tasks += entry.state === before ? 0 : 1;
            }
        }
        return tasks;
    }
}

function keyOf({ worker, workerStartedAt }: WorkerIncarnation): string {
    return `${worker}@${workerStartedAt}`;
}
