/**
 * Specification of a job as submitted: a graph of steps, each with a number of identical tasks. It does not change
 * after acceptance.
 */
import type { Resources } from "../process/resources.js";

/** One step of a job. */
export interface StepSpec {
    /** Number of tasks. */
    readonly tasks: number;
    /** Resources that each task reserves. */
    readonly needs: Resources;
    /** The caller's estimate of the duration of a task, in milliseconds; often wrong by 50% or more. */
    readonly estimateMs: number;
    /** Indices of the steps that must succeed before this one starts. */
    readonly after: readonly number[];
    /** Tasks write checkpoints and can resume from the latest one. */
    readonly savesProgress: boolean;
    /** Gang scheduling: the tasks make progress only while all of them run at the same time. */
    readonly isGang: boolean;
    /** Tasks should share one rack; they run more slowly when spread over several. */
    readonly wantsOneRack: boolean;
    /** Label that a worker must have to run the tasks. */
    readonly label?: string;
    /** Rack that holds the input data; tasks run more slowly on workers in other racks. */
    readonly dataRack?: string;
    /** Maximum number of tasks of the step on one worker; 0 means no limit. */
    readonly perWorker: number;
    /** Speculative copies of a task may run concurrently with the original. */
    readonly mayCopy: boolean;
    /** A service: its tasks run until the job is cancelled and are restarted whenever they end, for whatever reason. */
    readonly isService: boolean;
    /** Tasks use only CPU time that other tasks leave idle; their CPU request is not reserved. */
    readonly isBestEffort: boolean;
    /** Program that the tasks run. Tasks with the same image are assumed to behave alike. */
    readonly image: string;
    /** Target for the tail latency that the service's clients see, in milliseconds; 0 means none. */
    readonly tailTargetMs: number;
    /**
     * Maximum number of tasks of a service that may be down at once because of voluntary disruptions, such as the
     * maintenance of a VM; undefined when there is no budget.
     */
    readonly disruptionBudget?: number;
}

/** Most steps of a job, and most tasks of a step. */
export const maxSteps = 64;
export const maxTasksPerStep = 10_000;

/** Repetition of a job at fixed intervals. */
export interface Schedule {
    readonly count: number;
    /** Unix time of the first occurrence, in milliseconds. */
    readonly firstAtMs: number;
    readonly intervalMs: number;
}

/** A job as the caller submits it. */
export interface JobSpec {
    /** Passed to every task unchanged. */
    readonly payload: string;
    readonly steps: readonly StepSpec[];
    readonly schedule?: Schedule;
}

/** A job that has been accepted and stored. */
export interface AcceptedJob {
    readonly id: string;
    readonly queue: string;
    /** Client account that submitted it; empty on queues that are open to all callers. */
    readonly team: string;
    /** Unix time of acceptance in milliseconds, by the clock of the entry that accepted the job. */
    readonly acceptedAtMs: number;
    readonly spec: JobSpec;
}

/** Whether some step of the job is a service. */
export function isServiceJob(spec: JobSpec): boolean {
    return spec.steps.some(step => step.isService);
}

/**
 * Length of the critical path through the step graph, in milliseconds, given the duration of one task of each step.
 * Steps are listed after the steps that they depend on.
 */
export function criticalPathMs(
    spec: JobSpec,
    durationOf: (step: StepSpec, index: number) => number,
): number {
    const ends: number[] = [];
    let lastEnd = 0;
    for (let index = 0; index < spec.steps.length; index++) {
        const step = spec.steps[index]!;
        let start = 0;
        for (const dependency of step.after) {
            start = Math.max(start, ends[dependency] ?? 0);
        }
        const end = start + durationOf(step, index);
        ends.push(end);
        lastEnd = Math.max(lastEnd, end);
    }
    return lastEnd;
}
