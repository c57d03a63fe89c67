/** The built-in HTTP interface for jobs made of steps, at an entry of a site. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { z } from "zod";
import { readBody, refusedBodyStatus, sendBody, sendJson } from "../connection/caller/body.js";
import { type JobSpec, maxSteps, maxTasksPerStep } from "../job/index.js";
import {
    amountSchema,
    intervalSchema,
    occurrenceTimeSchema,
    roughDurationSchema,
} from "../process/bounds.js";
import { parseJson } from "../process/json.js";
import { type JobCallHandler, noListsRetryMs } from "./job-call-handler.js";
import { RefusalReason, type SubmitResult } from "./job-calls.js";

/** Prefix of the paths that this interface serves. */
export const stepJobsPathPrefix = "/v1/queues/";

/** Largest body of a submission, in bytes. */
export const largestJobBytes = 256 * 1024;
const msPerSecond = 1000;
const problemType = "application/problem+json";
const pathPattern = /^\/v1\/queues\/([A-Za-z0-9._-]{1,100})(?:\/jobs\/([A-Za-z0-9_-]{1,64}))?$/;
const bearerPattern = /^Bearer\s+(\S+)$/i;

const stepSchema = z.object({
    tasks: z.number().int().min(1).max(maxTasksPerStep),
    needs: z.object({
        /** Thousandths of a core. */
        cpu: amountSchema,
        /** Megabytes. */
        memory: amountSchema,
        accelerators: amountSchema.default(0),
    }),
    estimateMs: roughDurationSchema.default(0),
    after: z.array(z.number().int().min(0)).default([]),
    savesProgress: z.boolean().default(false),
    isGang: z.boolean().default(false),
    wantsOneRack: z.boolean().default(false),
    label: z.string().optional(),
    dataRack: z.string().optional(),
    perWorker: z.number().int().min(0).default(0),
    mayCopy: z.boolean().default(false),
    isService: z.boolean().default(false),
    isBestEffort: z.boolean().default(false),
    image: z.string().default(""),
    tailTargetMs: z.number().min(0).default(0),
    disruptionBudget: z.number().int().min(0).optional(),
});

const jobSchema = z.object({
    payload: z.string().default(""),
    steps: z.array(stepSchema).min(1).max(maxSteps)
        .refine(steps => steps.every(({ after }, index) => after.every(before => before < index)), {
            error: "a step may only come after steps that are listed before it",
        }),
    schedule: z.object({
        count: z.number().int().min(1),
        firstAtMs: occurrenceTimeSchema,
        intervalMs: intervalSchema,
    }).optional(),
});

/** Creates the handler of requests whose path begins with `stepJobsPathPrefix`. */
export function createStepJobsHandler(calls: JobCallHandler) {
    return (req: IncomingMessage, res: ServerResponse): Promise<void> =>
        handle(calls, req, res).catch(() => {
            // The caller has disconnected or its connection failed, so no response can be sent.
            res.destroy();
        });
}

async function handle(calls: JobCallHandler, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const [, name, id] = pathPattern.exec((req.url ?? "").split("?", 1)[0]!) ?? [];
    if (name === undefined) {
        return sendProblem(res, 404, "no-such-path");
    }
    const key = bearerPattern.exec(req.headers.authorization ?? "")?.[1];
    const lookup = calls.findQueueByName(name, key);
    switch (lookup.kind) {
        case "no-lists":
            return sendRefusal(res, RefusalReason.NoLists, noListsRetryMs);
        case "no-queue":
            return sendProblem(res, 404, "no-such-queue");
        case "bad-key":
            return sendProblem(res, 401, "bad-key");
        case "queue":
            break;
    }
    const { queue, team } = lookup;
    if (id === undefined) {
        const pending = req.method === "GET" ? await calls.pendingOf(queue) : undefined;
        return pending === undefined
            ? sendRefusal(res, RefusalReason.StoreUnavailable, noListsRetryMs)
            : sendJson(res, 200, { queue: queue.name, pending });
    }
    const method = req.method ?? "";
    switch (method) {
        case "PUT": {
            const read = await readBody(req, largestJobBytes);
            if (read.kind === "refused") {
                return sendProblem(res, refusedBodyStatus(read.cause), read.cause, { "retry-after": "1" });
            }
            const spec = decodeJobSpec(read.body);
            return typeof spec === "string"
                ? sendProblem(res, 400, spec)
                : sendSubmitted(res, await calls.submit(id, queue, team, spec, queue.timeoutMs));
        }
        case "GET": {
            const result = await calls.phaseOf(id, queue.timeoutMs);
            switch (result.kind) {
                case "phase":
                    return sendJson(res, 200, { id, phase: result.phase });
                case "absent":
                    return sendProblem(res, 404, "no-such-job");
                case "refused":
                    return sendRefusal(res, result.reason, result.retryAfterMs);
            }
            break;
        }
        case "DELETE": {
            const result = await calls.cancel(id, { queue: queue.name, team }, queue.timeoutMs);
            switch (result.kind) {
                case "cancelled":
                    return sendJson(res, 200, { id, phase: "cancelled" });
                case "absent":
                    return sendProblem(res, 404, "no-such-job");
                case "refused":
                    return sendRefusal(res, result.reason, result.retryAfterMs);
                case "uncertain":
                    return sendUncertain(res);
            }
            break;
        }
        default:
            return sendProblem(res, 405, "use-put-get-or-delete");
    }
}

function sendSubmitted(res: ServerResponse, result: SubmitResult): void {
    switch (result.kind) {
        case "accepted":
            return sendJson(res, result.isRepeat ? 200 : 201, { isRepeat: result.isRepeat });
        case "refused":
            return sendRefusal(res, result.reason, result.retryAfterMs);
        case "uncertain":
            return sendUncertain(res);
    }
}

/** Decodes the job that a body describes; returns the error message if the body is invalid. */
function decodeJobSpec(body: Buffer): JobSpec | string {
    const value = parseJson(body.toString("utf8"));
    if (value === undefined) {
        return "the body is no JSON";
    }
    const parsed = jobSchema.safeParse(value);
    if (!parsed.success) {
        const issue = parsed.error.issues[0]!;
        return `${issue.path.join(".")}: ${issue.message}`;
    }
    const { payload, steps, schedule } = parsed.data;
    return {
        payload,
        steps: steps.map(({ label, dataRack, disruptionBudget, ...rest }) => ({
            ...rest,
            ...(label !== undefined && { label }),
            ...(dataRack !== undefined && { dataRack }),
            ...(disruptionBudget !== undefined && { disruptionBudget }),
        })),
        ...(schedule !== undefined && { schedule }),
    };
}

/** Sends a refusal: the job was not accepted and will not run. */
function sendRefusal(res: ServerResponse, reason: RefusalReason, retryAfterMs: number): void {
    const status = reason === RefusalReason.Overloaded ? 429 : 503;
    sendProblem(res, status, reason, { "retry-after": String(Math.ceil(retryAfterMs / msPerSecond)) });
}

/** Sends that the outcome is unknown; the caller can settle it by repeating the same call. */
function sendUncertain(res: ServerResponse): void {
    sendBody(
        res,
        504,
        { "content-type": problemType },
        JSON.stringify({ outcome: "unknown", reason: "store-silent" }) + "\n",
    );
}

function sendProblem(
    res: ServerResponse,
    status: number,
    reason: string,
    headers: Readonly<Record<string, string>> = {},
): void {
    const body = JSON.stringify({ outcome: "not-run", reason }) + "\n";
    sendBody(res, status, { "content-type": problemType, ...headers }, body);
}
