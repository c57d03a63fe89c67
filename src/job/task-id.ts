/** Names of tasks: job, occurrence, step and index, joined by dots. */

/** Permanent identity of a task. It is the same for all runs of the task, which are numbered separately. */
export interface TaskId {
    readonly job: string;
    /** Index of the occurrence of a scheduled job; 0 for unscheduled jobs. */
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}

/** Formats the name of a task, which is unique in the fleet. */
export function taskName({ job, occurrence, step, index }: TaskId): string {
    return `${job}.${occurrence}.${step}.${index}`;
}

/** Parses a task's name; undefined when it is malformed. */
export function parseTaskName(name: string): TaskId | undefined {
    const [job, occurrence, step, index] = name.split(".");
    const numbers = [occurrence, step, index].map(part => /^\d{1,9}$/.test(part ?? "") ? Number(part) : NaN);
    return job === undefined || numbers.some(Number.isNaN)
        ? undefined
        : { job, occurrence: numbers[0]!, step: numbers[1]!, index: numbers[2]! };
}
