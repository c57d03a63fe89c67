/** Encodes the progress of jobs as compact JSON for rows of the store. */
import { z } from "zod";
import { startTimeSchema } from "../process/bounds.js";
import { parseJson } from "../process/json.js";
import { type AcceptedJob, maxSteps } from "./spec.js";
import { isFinal, JobPhase, type JobState } from "./state.js";
import { TaskLayout } from "./task-layout.js";
import { TaskPhase, type TaskState } from "./task-state.js";
import { TaskSet, TaskTable } from "./task-table.js";
import { blockTasks } from "./task-tree.js";

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
export const segmentTasks = blockTasks;
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
    const kept = isFinal(state.phase) ? TaskSet.Claimed : TaskSet.Begun;
    const tasks = [...state.tasks.positions(kept)].map(position => state.tasks.at(position));
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
export function encodeSegment({ tasks }: JobState, segment: number): string {
    const from = segment * segmentTasks;
    return JSON.stringify(
        encodeTasks([...tasks.begunTasks({ from, to: Math.min(from + segmentTasks, tasks.length) })]),
    );
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
    const occurrences = job.spec.schedule === undefined ? 1 : o;
    if (occurrences > (job.spec.schedule?.count ?? 1)) {
        return undefined;
    }
    const layout = TaskLayout.of(job.spec);
    const begun = new Map<number, TaskState>();
    const positionOf = (occurrence: number, step: number, index: number): number =>
        occurrence < occurrences ? layout.positionOf({ occurrence, step, index }) : -1;
    for (const [occurrence, step, index, phase, run, failures, worker, workerStartedAt, checkpoint] of t) {
        const position = positionOf(occurrence, step, index);
        if (position < 0) {
            return undefined;
        }
        begun.set(position, {
            occurrence,
            step,
            index,
            phase,
            run,
            failures,
            worker,
            workerStartedAt,
            checkpoint,
            lostWorkers: [],
        });
    }
    const initial = TaskTable.create(layout, occurrences);
    for (const [occurrence, step, index, worker, workerStartedAt, isExplained] of c) {
        const position = positionOf(occurrence, step, index);
        if (position < 0) {
            return undefined;
        }
        const task = begun.get(position) ?? initial.at(position);
        const lostWorkers = [...task.lostWorkers, { worker, workerStartedAt, isExplained }];
        begun.set(position, { ...task, lostWorkers });
    }
    return {
        phase: s,
        occurrences: o,
        tasks: completeGangs(job, TaskTable.create(layout, occurrences, begun)),
        ...(why !== undefined && { reason: why }),
    };
}

/** Completes the gangs of which a member is done: the states of the others may have been left to a later batch. */
function completeGangs({ spec }: AcceptedJob, stored: TaskTable): TaskTable {
    let tasks = stored;
    if (!spec.steps.some(({ isGang }) => isGang)) {
        return tasks;
    }
    for (
        let position = stored.first(TaskSet.Unfinished);
        position !== undefined;
    ) {
        const place = stored.layout.placeOf(position);
        const range = stored.layout.rangeOf(place);
        if (spec.steps[place.step]!.isGang && stored.count(TaskSet.Done, range) > 0) {
            for (const member of stored.positions(TaskSet.Unfinished, range)) {
                const done = { phase: TaskPhase.Done, worker: "", workerStartedAt: 0 };
                tasks = tasks.with(member, { ...stored.at(member), ...done });
            }
        }
        position = stored.first(TaskSet.Unfinished, { from: range.to, to: stored.length });
    }
    return tasks;
}
