/** Bounds on numbers that other processes have written: within them sums stay exact, and times are of use. */
import { z } from "zod";

/** Largest amount of a resource: a million cores, or a petabyte. */
export const maxAmount = 1e9;
/** Longest time that is told apart, in milliseconds: a day. */
export const maxDurationMs = 86_400_000;
/** Latest start of a process, as Unix time in milliseconds: the year 2100. A later one would outlast all true ones. */
export const maxUnixMs = 4_102_444_800_000;
/** Largest fencing token, and largest reading of a clock: others can still be counted from it exactly. */
export const maxCounter = 2 ** 52;
/** Latest time that a date can hold, as Unix time in milliseconds. */
const maxDateMs = 8.64e15;

/** Amount of a resource of a task or a worker. */
export const amountSchema = z.number().min(0).max(maxAmount);
/** Unix time at which a process started, in milliseconds. */
export const startTimeSchema = z.int().min(0).max(maxUnixMs);
/** Fencing token or batch number. */
export const counterSchema = z.int().min(0).max(maxCounter);
/** A rough time in milliseconds: a longer one than a day counts as a day, a negative one as 0. */
export const roughDurationSchema = z.number().transform(ms => Math.min(maxDurationMs, Math.max(0, ms)));
/** Unix time of an occurrence, in milliseconds. */
export const occurrenceTimeSchema = z.number().min(-maxDateMs).max(maxDateMs);
/** Time between two occurrences, in milliseconds. */
export const intervalSchema = z.number().min(0).max(maxDateMs);
