/** Encodes the progress of jobs as compact JSON for rows of the store. */
import { z } from "zod";
import { startTimeSchema } from "../process/bounds.js";
import { parseJson } from "../process/json.js";
import { type AcceptedJob, maxSteps } from "./spec.js";
import { initialState, isFinal, JobPhase, type JobState, TaskPhase, type TaskState } from "./state.js";

const count = z.int().min(0);

/** Stored task: occurrence, step, index, phase, run, failures, worker, workerStartedAt, checkpoint. */
const taskSchema = z.tuple([
    count,
    count,
    count,
    z.enum(TaskPhase),
    count,
    count,
    z.string(),
    startTimeSchema,
    z.string(),
]);

/** Stored loss of a worker under a task: occurrence, step, index, worker, workerStartedAt, isExplained. */
const lossSchema = z.tuple([count, count, count, z.string(), startTimeSchema, z.boolean()]);

/** Stored tasks (t) and losses of workers under them (c). */
const tasksSchema = z.object({
    t: z.array(taskSchema).default([]),
    c: z.array(lossSchema).default([]),
});

/** Stored progress: phase (s), occurrences (o), reason (why), tasks and losses as above, tasks in a segment (g). */
const stateSchema = tasksSchema.extend({
    s: z.enum(JobPhase),
    o: count.default(0),
    why: z.string().optional(),
    g: z.int().min(1).optional(),
});

/** Tasks of a job whose states one segment holds, in the order of `JobState.tasks`. */
export const segmentTasks = 64;
/** Longest checkpoint that is stored, in bytes: without it, a new owner lets the task begin anew. */
const maxCheckpointBytes = 256;
/**
 * Stands for the tasks in the row of a job whose tasks are in segments. No job has such a task, so that owners of versions
 * that know no segments leave the job alone.
 */
const foreignTask = [0, maxSteps, 0, TaskPhase.Waiting, 0, 0, "", 0, ""] as const;

/**
 * Encodes a job's progress. Tasks without any run are omitted. Once the job is final, only the tasks whose run is still
 * claimed are kept, because those runs have yet to be stopped.
 */
export function encodeState(state: JobState): string {
    const isJobFinal = isFinal(state.phase);
    const tasks = state.tasks.filter(task => isJobFinal ? task.phase === TaskPhase.Claimed : task.run > 0);
    return JSON.stringify({ s: state.phase, o: state.occurrences, why: state.reason, ...encodeTasks(tasks) });
}

/** Encodes the progress of a job without its tasks, which are stored in segments of `segmentTasks` tasks. */
export function encodeSegmentedState({ phase, occurrences, reason }: JobState): string {
    return JSON.stringify({ s: phase, o: occurrences, why: reason, g: segmentTasks, t: [foreignTask] });
}

/** Whether the tasks of a job with this encoded progress are in segments. */
export function isSegmented(text: string): boolean {
    // Within a string of the JSON text, the quotation marks would be escaped.
    return text.includes('"g":');
}

/** Encodes the tasks of a segment; those without any run are omitted. */
export function encodeSegment(tasks: readonly TaskState[]): string {
    return JSON.stringify(encodeTasks(tasks.filter(({ run }) => run > 0)));
}

function encodeTasks(rows: readonly TaskState[]) {
    const losses = rows.flatMap(task =>
        task.lostWorkers.map(lost => [
            task.occurrence,
            task.step,
            task.index,
            lost.worker,
            lost.workerStartedAt,
            lost.isExplained,
        ])
    );
    return {
        t: rows.map(task => [
            task.occurrence,
            task.step,
            task.index,
            task.phase,
            task.run,
            task.failures,
            task.worker,
            task.workerStartedAt,
            Buffer.byteLength(task.checkpoint) <= maxCheckpointBytes ? task.checkpoint : "",
        ]),
        ...(losses.length > 0 && { c: losses }),
    };
}

/** Decodes only the phase of an encoded state; undefined when the row is malformed. */
export function decodePhase(text: string): JobPhase | undefined {
    const parsed = stateSchema.safeParse(parseJson(text));
    return parsed.success ? parsed.data.s : undefined;
}

/** Most tasks of a job with stored progress: more would not fit into its row, whatever their state. */
const maxStoredTasks = 1_000_000;

/**
 * Decodes a job's progress from its row and its segments, if it has any; undefined when one of them is malformed or refers to
 * tasks that the job does not have.
 */
export function decodeState(
    job: AcceptedJob,
    text: string,
    segments: readonly string[] = [],
): JobState | undefined {
    const parsed = stateSchema.safeParse(parseJson(text));
    const parsedSegments = segments.map(segment => tasksSchema.safeParse(parseJson(segment)));
    if (!parsed.success || parsedSegments.some(({ success }) => !success)) {
        return undefined;
    }
    const { s, o, why, g } = parsed.data;
    const stored = g === undefined ? [parsed.data] : parsedSegments.flatMap(({ data }) => data ?? []);
    const t = stored.flatMap(({ t: rows }) => rows);
    const c = stored.flatMap(({ c: rows }) => rows);
    const tasksPerOccurrence = job.spec.steps.reduce((sum, step) => sum + step.tasks, 0);
    if (job.spec.schedule !== undefined && o * tasksPerOccurrence > maxStoredTasks) {
        return undefined;
    }
    const initial = initialTasks(job, o);
    const tasks = new Map(initial.map(task => [`${task.occurrence}.${task.step}.${task.index}`, task]));
    for (const row of t) {
        const key = `${row[0]}.${row[1]}.${row[2]}`;
        const task = tasks.get(key);
        if (task === undefined) {
            return undefined;
        }
        const [, , , phase, run, failures, worker, workerStartedAt, checkpoint] = row;
        tasks.set(key, { ...task, phase, run, failures, worker, workerStartedAt, checkpoint });
    }
    for (const [occurrence, step, index, worker, workerStartedAt, isExplained] of c) {
        const key = `${occurrence}.${step}.${index}`;
        const task = tasks.get(key);
        if (task === undefined) {
            return undefined;
        }
        tasks.set(key, {
            ...task,
            lostWorkers: [...task.lostWorkers, { worker, workerStartedAt, isExplained }],
        });
    }
    return {
        phase: s,
        occurrences: o,
        tasks: completeGangs(job, [...tasks.values()]),
        ...(why !== undefined && { reason: why }),
    };
}

/** Tasks of all due occurrences, as they are before their first run. */
function initialTasks(job: AcceptedJob, occurrences: number): readonly TaskState[] {
    const { schedule, ...rest } = job.spec;
    const template = initialState({ ...job, spec: rest }).tasks;
    const count = schedule === undefined ? 1 : occurrences;
    return Array.from({ length: count }, (_, occurrence) => template.map(task => ({ ...task, occurrence })))
        .flat();
}

/** Completes the gangs of which a member is done: the states of the others may have been left to a later batch. */
function completeGangs({ spec }: AcceptedJob, tasks: readonly TaskState[]): readonly TaskState[] {
    const isGang = ({ step }: TaskState): boolean => spec.steps[step]!.isGang;
    const done = new Set(
        tasks.filter(task => task.phase === TaskPhase.Done && isGang(task)).map(({ occurrence, step }) =>
            `${occurrence}.${step}`
        ),
    );
    return done.size === 0
        ? tasks
        : tasks.map(task =>
            done.has(`${task.occurrence}.${task.step}`) && task.phase !== TaskPhase.Done
                ? { ...task, phase: TaskPhase.Done, worker: "", workerStartedAt: 0 }
                : task
        );
}
