/** The HTTP interface for callers: requests answered synchronously, and jobs whose results are fetched later. */
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import {
    readBody,
    RefusalCause,
    sendBody,
    sendJson,
    type WebHandler,
    type WebRequest,
} from "../connection/caller/index.js";
import { EventId, Severity } from "../process/events.js";
import type { Fleet } from "../process/fleet.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Timer } from "../process/timer.js";
import { effectivePoolOf } from "../process/workers.js";
import type { ConfigurationReplica } from "../version/configuration-replica.js";
import { QueueClass } from "../version/schema.js";
import { type AdmissionResult, AdmissionResultKind, admit, authenticate } from "./admission.js";
import { BadKeyLimiter } from "./bad-key-limiter.js";
import { AcceptKind } from "./job-store.js";
import { fits } from "./job-view.js";
import { hasEnded, type Job, jobIdOf, type JobSize, JobState } from "./job.js";
import type { Jobs } from "./jobs.js";
import {
    notRunOutcome,
    NotRunReason,
    type Outcome,
    OutcomeKind,
    toProblem,
    unknownOutcome,
    UnknownReason,
} from "./outcome.js";
import type { Requests } from "./requests.js";

/** Options of `createCallerRoutes`. */
export interface CallerApiOptions {
    readonly versions: ConfigurationReplica;
    readonly requests: Requests;
    readonly jobs: Jobs;
    readonly fleet: Fleet;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Largest request body, in bytes. */
    readonly requestBytes: number;
    /** Why the entry accepts no calls now; undefined while it accepts them. */
    readonly closedReason: () => NotRunReason | undefined;
}

const problemType = "application/problem+json";
const defaultType = "application/octet-stream";
const idPattern = /^[A-Za-z0-9._:-]{1,100}$/;
const sizePattern = /^[0-9]{1,6}(\.[0-9]{1,3})?$/;
const msPerSecond = 1000;
const closedRetryMs = 500;
const keyGuessingRetryMs = 5000;
const overloadedRetryMs = 1000;
const statusAccepted = 202;

/** Routes of the caller listener, by method and path. */
export function createCallerRoutes(options: CallerApiOptions): Readonly<Record<string, WebHandler>> {
    const api = new CallerApi(options);
    return {
        "POST /v1/queues/:queue/requests": (req, res) => api.request(req, res),
        "POST /v1/queues/:queue/jobs": (req, res) => api.submit(req, res),
        "GET /v1/jobs/:id": (req, res) => api.showJob(req, res),
        "GET /v1/jobs/:id/result": (req, res) => api.showResult(req, res),
        "DELETE /v1/queues/:queue/jobs": (req, res) => api.cancelAll(req, res),
        "DELETE /v1/jobs/:id": (req, res) => api.cancelJob(req, res),
    };
}

/** Responds to a request that no route matched, or whose handler failed unexpectedly. */
export function answerUnrouted(req: WebRequest, res: ServerResponse, err: unknown): void {
    const code = (err as { code?: unknown }).code;
    const reason = code === 404 ? NotRunReason.UnknownQueue : NotRunReason.BadRequest;
    if (!res.headersSent) {
        sendOutcome(res, requestIdOf(req), notRunOutcome(reason));
    }
}

class CallerApi {
    private readonly keyGuessLimit: BadKeyLimiter;

    constructor(private readonly options: CallerApiOptions) {
        this.keyGuessLimit = BadKeyLimiter.create(() => options.timer.now());
    }

    async request(req: WebRequest, res: ServerResponse): Promise<void> {
        const id = requestIdOf(req);
        const arrivedAt = this.options.timer.now();
        const admission = this.admit(req, QueueClass.Interactive);
        if (admission.kind === AdmissionResultKind.Refused) {
            this.refuse(res, id, admission.reason);
            return;
        }
        const read = await readBody(req, this.options.requestBytes);
        if (read.kind === "refused") {
            this.refuse(res, id, bodyRefusals[read.cause]);
            return;
        }
        const disconnect = new AbortController();
        res.once("close", () => disconnect.abort());
        const { team, queue, timeoutMs } = admission;
        const outcome = await this.options.requests.serve({
            id,
            team,
            queue: queueOf(req),
            pool: queue.service,
            class: queue.class,
            idempotent: queue.idempotent,
            contentType: headerOf(req, "content-type") ?? defaultType,
            body: read.body,
            deadline: arrivedAt + timeoutMs,
            isRelayed: false,
            signal: disconnect.signal,
        });
        sendOutcome(res, id, outcome);
    }

    async submit(req: WebRequest, res: ServerResponse): Promise<void> {
        const id = requestIdOf(req);
        const admission = this.admit(req, QueueClass.Deferred);
        if (admission.kind === AdmissionResultKind.Refused) {
            this.refuse(res, id, admission.reason);
            return;
        }
        const key = headerOf(req, "idempotency-key") ?? randomUUID();
        const size = sizeOf(req);
        if (size === undefined || key.length > 200) {
            this.refuse(res, id, NotRunReason.BadRequest);
            return;
        }
        const read = await readBody(req, this.options.requestBytes);
        if (read.kind === "refused") {
            this.refuse(res, id, bodyRefusals[read.cause]);
            return;
        }
        const { team, queue } = admission;
        if (this.isImpossibleSize(queue.service, size)) {
            this.refuse(res, id, NotRunReason.ImpossibleSize);
            return;
        }
        await this.accept(res, id, {
            id: jobIdOf(team, key),
            team,
            queue: queueOf(req),
            pool: queue.service,
            idempotent: queue.idempotent,
            contentType: headerOf(req, "content-type") ?? defaultType,
            size,
            acceptedAt: Math.round(this.options.timer.wall()),
            state: JobState.Waiting,
            attempt: 0,
            cancelAsked: false,
            failures: [],
        }, read.body);
    }

    async showJob(req: WebRequest, res: ServerResponse): Promise<void> {
        const job = await this.findOwnedJob(req, res);
        if (job !== undefined) {
            sendJson(res, 200, describeJob(job));
        }
    }

    async showResult(req: WebRequest, res: ServerResponse): Promise<void> {
        const job = await this.findOwnedJob(req, res);
        if (job === undefined) {
            return;
        }
        const body = job.state === JobState.Done ? await this.options.jobs.result(job) : undefined;
        if (body === undefined) {
            sendJson(res, hasEnded(job) ? 410 : 409, describeJob(job));
            return;
        }
        sendBody(res, 200, { "content-type": job.resultType ?? defaultType }, body);
    }

    async cancelJob(req: WebRequest, res: ServerResponse): Promise<void> {
        const job = await this.findOwnedJob(req, res);
        if (job === undefined) {
            return;
        }
        const cancelled = await this.options.jobs.cancel(job.id);
        sendJson(
            res,
            cancelled !== undefined && hasEnded(cancelled) ? 200 : statusAccepted,
            describeJob(cancelled ?? job),
        );
    }

    async cancelAll(req: WebRequest, res: ServerResponse): Promise<void> {
        const id = requestIdOf(req);
        const admission = this.admit(req, QueueClass.Deferred);
        if (admission.kind === AdmissionResultKind.Refused) {
            this.refuse(res, id, admission.reason);
            return;
        }
        const selection = { team: admission.team, queue: queueOf(req) };
        const cancelled = await this.options.jobs.cancelAll(selection).catch(() => undefined);
        if (cancelled === undefined) {
            sendOutcome(res, id, unknownOutcome(UnknownReason.StoreUnknown));
            return;
        }
        sendJson(res, 200, { cancelled });
    }

    private async accept(
        res: ServerResponse,
        id: string,
        draft: Omit<Job, "payload">,
        body: Buffer,
    ): Promise<void> {
        const result = await this.options.jobs.accept(draft, body).catch(() => undefined);
        if (result === undefined) {
            this.refuse(res, id, NotRunReason.StoreUnavailable);
            return;
        }
        switch (result.kind) {
            case AcceptKind.Accepted:
            case AcceptKind.Duplicate: {
                const headers = { location: `/v1/jobs/${result.job.id}`, "celerywind-request-id": id };
                sendJson(res, statusAccepted, describeJob(result.job), headers);
                break;
            }
            case AcceptKind.Unknown:
                sendOutcome(res, id, unknownOutcome(UnknownReason.StoreUnknown));
                break;
        }
    }

    private admit(req: WebRequest, queueClass: QueueClass): AdmissionResult {
        const { versions, closedReason } = this.options;
        const closed = closedReason();
        const address = req.socket.remoteAddress ?? "";
        if (closed !== undefined) {
            return { kind: AdmissionResultKind.Refused, reason: closed };
        }
        if (this.keyGuessLimit.isBlocked(address)) {
            return { kind: AdmissionResultKind.Refused, reason: NotRunReason.KeyGuessing };
        }
        const admission = admit(versions.state, versions.pendingWithdrawals, {
            queue: queueOf(req),
            authorization: headerOf(req, "authorization"),
            claimedTeam: headerOf(req, "celerywind-team"),
            timeout: headerOf(req, "celerywind-timeout-ms"),
            expectedClass: queueClass,
        });
        this.recordRejectedKey(admission, address);
        return admission;
    }

    private recordRejectedKey(
        result: {
            readonly kind: AdmissionResultKind;
            readonly reason?: NotRunReason;
            readonly keyId?: string;
        },
        address: string,
    ): void {
        if (result.kind !== AdmissionResultKind.Refused || result.reason !== NotRunReason.BadKey) {
            return;
        }
        this.keyGuessLimit.recordBadKey(address);
        const event = this.keyGuessLimit.isBlocked(address) ? EventId.KeyGuessing : EventId.KeyRejected;
        this.options.log.write(Severity.Warn, event, { address, key: result.keyId });
    }

    /** Finds the job that a call names, if its team owns it; otherwise sends a refusal and returns undefined. */
    private async findOwnedJob(req: WebRequest, res: ServerResponse): Promise<Job | undefined> {
        const id = requestIdOf(req);
        const { versions, jobs } = this.options;
        const address = req.socket.remoteAddress ?? "";
        if (this.keyGuessLimit.isBlocked(address)) {
            this.refuse(res, id, NotRunReason.KeyGuessing);
            return undefined;
        }
        const call = {
            authorization: headerOf(req, "authorization"),
            claimedTeam: headerOf(req, "celerywind-team"),
        };
        const identified = authenticate(versions.state, versions.pendingWithdrawals, call, false);
        this.recordRejectedKey(identified, address);
        if (identified.kind === AdmissionResultKind.Refused) {
            this.refuse(res, id, identified.reason);
            return undefined;
        }
        const job = await jobs.find(String(req.$params?.["id"])).catch(() => "unavailable" as const);
        if (job === "unavailable") {
            this.refuse(res, id, NotRunReason.StoreUnavailable);
            return undefined;
        }
        if (job === undefined || job.team !== identified.team) {
            this.refuse(res, id, job === undefined ? NotRunReason.UnknownQueue : NotRunReason.WrongTeam);
            return undefined;
        }
        return job;
    }

    /** Whether the pool has VMs but none is large enough for a job. */
    private isImpossibleSize(pool: string, size: JobSize): boolean {
        const { view } = this.options.fleet;
        const vms = view.vms.filter(vm => effectivePoolOf(view, vm) === pool);
        return vms.length > 0 && !vms.some(vm => fits({ size }, vm));
    }

    private refuse(res: ServerResponse, id: string, reason: NotRunReason): void {
        this.options.metrics.count("celerywind_refusals_total", { reason });
        sendOutcome(res, id, notRunOutcome(reason, retryAfterMs.get(reason) ?? 0));
    }
}

/** Reasons reported to callers whose body was refused. */
const bodyRefusals: Readonly<Record<RefusalCause, NotRunReason>> = {
    [RefusalCause.TooLarge]: NotRunReason.TooLarge,
    [RefusalCause.Slow]: NotRunReason.BodyTooSlow,
    [RefusalCause.Malformed]: NotRunReason.BadRequest,
    [RefusalCause.Requests]: NotRunReason.Overloaded,
    [RefusalCause.Connections]: NotRunReason.Overloaded,
    [RefusalCause.HeldBytes]: NotRunReason.Overloaded,
};

/** Delays to suggest to callers, for reasons that pass by themselves. */
const retryAfterMs: ReadonlyMap<NotRunReason, number> = new Map([
    [NotRunReason.KeyGuessing, keyGuessingRetryMs],
    [NotRunReason.NotReady, closedRetryMs],
    [NotRunReason.Isolated, closedRetryMs],
    [NotRunReason.Stopping, closedRetryMs],
    [NotRunReason.StoreUnavailable, closedRetryMs],
    [NotRunReason.Overloaded, overloadedRetryMs],
]);

/** Sends the outcome of a request to the caller. */
function sendOutcome(res: ServerResponse, id: string, outcome: Outcome): void {
    if (outcome.kind === OutcomeKind.Answered) {
        sendBody(res, outcome.status, { ...outcome.headers, "celerywind-request-id": id }, outcome.body);
        return;
    }
    const problem = toProblem(outcome, id);
    const retryMs = outcome.kind === OutcomeKind.NotRun ? outcome.retryAfterMs : 0;
    const headers = {
        "content-type": problemType,
        "celerywind-request-id": id,
        "celerywind-outcome": outcome.kind,
        ...(retryMs > 0 && { "retry-after": String(Math.ceil(retryMs / msPerSecond)) }),
        ...(problem.status === 401 && { "www-authenticate": "Bearer" }),
        ...(problem.status === 413 && { connection: "close" }),
    };
    sendBody(
        res,
        problem.status,
        headers,
        JSON.stringify({ ...problem, retryAfterMs: Math.round(retryMs) }) + "\n",
    );
}

/** The description of a job that callers and operators receive. */
function describeJob(job: Job) {
    const { id, team, queue, state, attempt, acceptedAt, reason, failures } = job;
    return { id, team, queue, state, attempt, acceptedAt, reason, failures, result: resultPathOf(job) };
}

function resultPathOf(job: Job): string | undefined {
    return job.state === JobState.Done ? `/v1/jobs/${job.id}/result` : undefined;
}

function requestIdOf(req: WebRequest): string {
    const given = headerOf(req, "celerywind-request-id");
    return given !== undefined && idPattern.test(given) ? given : randomUUID();
}

function queueOf(req: WebRequest): string {
    return String(req.$params?.["queue"]);
}

function headerOf(req: WebRequest, name: string): string | undefined {
    const value = req.headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function sizeOf(req: WebRequest): JobSize | undefined {
    const [cores, memoryGb, accelerators] = ["cores", "memory-gb", "accelerators"].map(name => {
        const text = headerOf(req, `celerywind-${name}`) ?? "0";
        return sizePattern.test(text) ? Number(text) : undefined;
    });
    return cores === undefined || memoryGb === undefined || accelerators === undefined
        ? undefined
        : { cores, memoryGb, accelerators };
}
