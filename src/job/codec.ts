/** Encodes accepted jobs as compact JSON for rows of the store. */
import { z } from "zod";
import {
    amountSchema,
    intervalSchema,
    maxUnixMs,
    occurrenceTimeSchema,
    roughDurationSchema,
} from "../process/bounds.js";
import { messageOf } from "../process/errors.js";
import { type DecodedText, decodeText, RowFault } from "../process/row-refusals.js";
import { type AcceptedJob, type JobSpec, maxSteps, maxTasksPerStep, type StepSpec } from "./spec.js";

const count = z.int().min(0);

/**
 * Stored step: tasks (n), needs (r: cpu, memory, accelerators), estimateMs (e), after (a), flags (f), label (l),
 * dataRack (d), perWorker (w), image (i), tailTargetMs (t), disruptionBudget (b).
 */
const stepSchema = z.object({
    n: z.int().min(1).max(maxTasksPerStep),
    r: z.tuple([amountSchema, amountSchema, amountSchema]),
    e: roughDurationSchema.default(0),
    a: z.array(count).default([]),
    f: count.default(0),
    l: z.string().optional(),
    d: z.string().optional(),
    w: count.default(0),
    i: z.string().default(""),
    t: z.number().min(0).default(0),
    b: count.optional(),
});

/**
 * Stored job: queue (q), team (t), acceptedAtMs (at), payload (p), steps (s), schedule (o: count, firstAtMs,
 * intervalMs).
 */
const jobSchema = z.object({
    q: z.string(),
    t: z.string(),
    at: z.number().min(-maxUnixMs).max(maxUnixMs),
    p: z.string(),
    s: z.array(stepSchema).max(maxSteps),
    o: z.tuple([count, occurrenceTimeSchema, intervalSchema]).optional(),
});

/** Bits of the field `f` of a stored step. */
enum StepFlag {
    SavesProgress = 1,
    Gang = 2,
    OneRack = 4,
    MayCopy = 8,
    Service = 16,
    BestEffort = 32,
}

/** Encodes an accepted job without its id; the id is the key of the row. */
export function encodeJob(job: AcceptedJob): string {
    const { schedule, steps, payload } = job.spec;
    return JSON.stringify({
        q: job.queue,
        t: job.team,
        at: job.acceptedAtMs,
        p: payload,
        s: steps.map(encodeStep),
        o: schedule && [schedule.count, schedule.firstAtMs, schedule.intervalMs],
    });
}

/** Decodes an accepted job. */
export function decodeJob(id: string, text: string): DecodedText<AcceptedJob> {
    const decoded = decodeText(jobSchema, text);
    return decoded.kind === "valid" ? { kind: "valid", value: jobOf(id, decoded.value) } : decoded;
}

/** Decodes an accepted job as another entry has sent it. */
export function decodeSentJob(body: unknown): DecodedText<AcceptedJob> {
    try {
        const sent = body as AcceptedJob;
        return decodeJob(String(sent.id), encodeJob(sent));
    }
    catch (err) {
        return { kind: "refused", fault: RowFault.Malformed, detail: messageOf(err) };
    }
}

function jobOf(id: string, { q, t, at, p, s, o }: z.output<typeof jobSchema>): AcceptedJob {
    const spec: JobSpec = {
        payload: p,
        steps: s.map(decodeStep),
        ...(o && { schedule: { count: o[0], firstAtMs: o[1], intervalMs: o[2] } }),
    };
    return { id, queue: q, team: t, acceptedAtMs: at, spec };
}

function encodeStep(step: StepSpec): z.input<typeof stepSchema> {
    const { cpu, memory, accelerators } = step.needs;
    const flags = (step.savesProgress ? StepFlag.SavesProgress : 0) | (step.isGang ? StepFlag.Gang : 0)
        | (step.wantsOneRack ? StepFlag.OneRack : 0) | (step.mayCopy ? StepFlag.MayCopy : 0)
        | (step.isService ? StepFlag.Service : 0) | (step.isBestEffort ? StepFlag.BestEffort : 0);
    return {
        n: step.tasks,
        r: [cpu, memory, accelerators],
        e: step.estimateMs,
        f: flags,
        ...(step.after.length > 0 && { a: [...step.after] }),
        ...(step.label !== undefined && { l: step.label }),
        ...(step.dataRack !== undefined && { d: step.dataRack }),
        ...(step.perWorker > 0 && { w: step.perWorker }),
        ...(step.image !== "" && { i: step.image }),
        ...(step.tailTargetMs > 0 && { t: step.tailTargetMs }),
        ...(step.disruptionBudget !== undefined && { b: step.disruptionBudget }),
    };
}

function decodeStep(row: z.output<typeof stepSchema>): StepSpec {
    const hasFlag = (flag: StepFlag): boolean => (row.f & flag) !== 0;
    return {
        tasks: row.n,
        needs: { cpu: row.r[0], memory: row.r[1], accelerators: row.r[2] },
        estimateMs: row.e,
        after: row.a,
        savesProgress: hasFlag(StepFlag.SavesProgress),
        isGang: hasFlag(StepFlag.Gang),
        wantsOneRack: hasFlag(StepFlag.OneRack),
        mayCopy: hasFlag(StepFlag.MayCopy),
        isService: hasFlag(StepFlag.Service),
        isBestEffort: hasFlag(StepFlag.BestEffort),
        perWorker: row.w,
        image: row.i,
        tailTargetMs: row.t,
        ...(row.l !== undefined && { label: row.l }),
        ...(row.d !== undefined && { dataRack: row.d }),
        ...(row.b !== undefined && { disruptionBudget: row.b }),
    };
}
