/**
 * Order of the tasks of a job. A task's position follows from its occurrence, step and index, so that a task needs no record before
 * its first run.
 */
import type { JobSpec, StepSpec } from "./spec.js";

/** Names a task within its job. */
export interface TaskPlace {
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Positions from `from` to before `to`. */
export interface PositionRange {
    readonly from: number;
    readonly to: number;
}

const layouts = new WeakMap<readonly StepSpec[], TaskLayout>();

/** Positions of the tasks of a job: occurrence by occurrence, step by step. */
export class TaskLayout {
    /** Position of the first task of each step within its occurrence, and the number of tasks of an occurrence at the end. */
    private readonly offsets: readonly number[];

    private constructor(readonly steps: readonly StepSpec[]) {
        const offsets = [0];
        for (const { tasks } of steps) {
            offsets.push(offsets.at(-1)! + tasks);
        }
        this.offsets = offsets;
    }

    /** Layout of a job; specifications with the same steps share it. */
    static of({ steps }: JobSpec): TaskLayout {
        const layout = layouts.get(steps) ?? new TaskLayout(steps);
        layouts.set(steps, layout);
        return layout;
    }

    get tasksPerOccurrence(): number {
        return this.offsets.at(-1)!;
    }

    /** Position of a task; -1 if the job has no such step or index. */
    positionOf({ occurrence, step, index }: TaskPlace): number {
        const tasks = this.steps[step]?.tasks ?? 0;
        return occurrence < 0 || index < 0 || index >= tasks
            ? -1
            : occurrence * this.tasksPerOccurrence + this.offsets[step]! + index;
    }

    placeOf(position: number): TaskPlace {
        const occurrence = Math.floor(position / this.tasksPerOccurrence);
        const offset = position - occurrence * this.tasksPerOccurrence;
        let step = 0;
        for (let high = this.steps.length - 1; step < high;) {
            const middle = (step + high + 1) >> 1;
            if (this.offsets[middle]! <= offset) {
                step = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return { occurrence, step, index: offset - this.offsets[step]! };
    }

    /** Positions of the tasks of one step of an occurrence. */
    rangeOf({ occurrence, step }: Pick<TaskPlace, "occurrence" | "step">): PositionRange {
        const start = occurrence * this.tasksPerOccurrence;
        return { from: start + this.offsets[step]!, to: start + this.offsets[step + 1]! };
    }
}
