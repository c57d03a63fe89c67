/** What a caller asks for: a job of steps, each a number of equal tasks. Immutable once accepted. */
import type { Resources } from "../process/resources.js";

/** One step of a job. */
export interface StepSpec {
    /** Number of tasks. */
    readonly tasks: number;
    /** What each task needs. */
    readonly needs: Resources;
    /** The caller's guess at the duration of a task, in milliseconds; often wrong by half or more. */
    readonly estimateMs: number;
    /** Numbers of the steps that must have succeeded before this one starts. */
    readonly after: readonly number[];
    /** Tasks save their progress and can be resumed from it. */
    readonly savesProgress: boolean;
    /** Tasks work only when all of them run at the same time. */
    readonly isGang: boolean;
    /** Tasks are slower when they run in more than one rack. */
    readonly wantsOneRack: boolean;
    /** Label that a worker must carry. */
    readonly label?: string;
    /** Rack that holds the input; tasks are slower elsewhere. */
    readonly dataRack?: string;
    /** Most tasks of the step on one worker; 0 means no limit. */
    readonly perWorker: number;
    /** Copies of a task may run at the same time. */
    readonly mayCopy: boolean;
    /** A service: its tasks run until the job is cancelled and are restarted however they end. */
    readonly isService: boolean;
    /** Uses only what other tasks leave unused; its processor need is not reserved. */
    readonly isBestEffort: boolean;
    /** What the tasks run; tasks with the same image behave alike. */
    readonly image: string;
    /** Bound on the tail latency of a service's own users, in milliseconds; 0 means none. */
    readonly tailTargetMs: number;
    /** Most tasks of a service that may be down at once by our own orders; undefined without a budget. */
    readonly disruptionBudget?: number;
}

/** Repetition of a job in time. */
export interface Schedule {
    readonly count: number;
    /** Unix time of the first occurrence, in milliseconds. */
    readonly firstAtMs: number;
    readonly intervalMs: number;
}

/** A job as the caller describes it. */
export interface JobSpec {
    /** Handed to every task as it is. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly schedule?: Schedule;
}

/** A job that was accepted and stored. */
export interface AcceptedJob {
    readonly id: string;
    readonly queue: string;
    /** Client account that submitted it; empty on queues that are open to all. */
    readonly team: string;
    /** Unix time of acceptance by the clock of the entry that took it, in milliseconds. */
    readonly acceptedAtMs: number;
    readonly spec: JobSpec;
}

/** Whether some step of the job is a service. */
export function isServiceJob(spec: JobSpec): boolean {
    return spec.steps.some(step => step.isService);
}

/** Milliseconds of the longest chain of dependent steps, given the duration of a task of each step. */
export function criticalPathMs(
    spec: JobSpec,
    durationOf: (step: StepSpec, index: number) => number,
): number {
    const ends: number[] = [];
    for (const [index, step] of spec.steps.entries()) {
        const begin = Math.max(0, ...step.after.map(before => ends[before] ?? 0));
        ends.push(begin + durationOf(step, index));
    }
    return Math.max(0, ...ends);
}
