/**
 * How well a task fits a worker, in all dimensions and in time. Pure.
 *
 * Load pattern: tasks with much memory beside tasks with much CPU, and VMs that are needed for seconds. A VM that fills up in
 * one dimension wastes the others, and one straggler keeps a whole VM in its pool.
 */
import type { Resources } from "../../process/resources.js";

/** Input of `misfit`. */
export interface FitInput {
    readonly needs: Resources;
    readonly free: Resources;
    readonly capacity: Resources;
    /** Expected run time of the task, in milliseconds; infinite for a service. */
    readonly runMs: number;
    /** Expected time until the worker has no run, in milliseconds; 0 if it has none. */
    readonly emptyInMs: number;
}

/** Weights of what a task leaves unevenly free, and of the time by which it delays its worker's end, in shares of a free VM. */
const unevennessWeight = 0.5;
const extensionWeight = 0.5;

/** Cost of placing a task on a worker, from 0 for a perfect fit to 2. */
export function misfit({ needs, free, capacity, runMs, emptyInMs }: FitInput): number {
    const cpu = (free.cpu - needs.cpu) / Math.max(1, capacity.cpu);
    const memory = (free.memory - needs.memory) / Math.max(1, capacity.memory);
    return (cpu + memory) / 2 + unevennessWeight * Math.abs(cpu - memory)
        + extensionWeight * extensionShare(runMs, emptyInMs);
}

/** Share of a task's run time by which it extends the time until its worker is empty. */
function extensionShare(runMs: number, emptyInMs: number): number {
    if (runMs === Infinity) {
        return emptyInMs === Infinity ? 0 : 1;
    }
    return runMs <= 0 ? 0 : Math.max(0, runMs - emptyInMs) / runMs;
}
