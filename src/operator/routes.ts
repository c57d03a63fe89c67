/** HTTP API for operators: lists, keys, evacuated zones, status of the entry, metrics and health checks. */
import { timingSafeEqual } from "node:crypto";
import type { ServerResponse } from "node:http";
import { z } from "zod";
import {
    readBody,
    RefusalCause,
    sendBody,
    sendJson,
    type WebHandler,
    type WebRequest,
} from "../connection/caller/index.js";
import {
    ConfigError,
    messageOf,
    OperatorError,
    PlatformError,
    RevisionConflictError,
    StoreBusyError,
} from "../process/errors.js";
import { checkValue } from "../process/jsonc.js";
import type { Metrics } from "../process/metrics.js";
import type { ConfigurationReplica } from "../version/configuration-replica.js";
import { diffLists } from "../version/diff.js";
import { parseLists } from "../version/schema.js";
import type { Status } from "./status.js";
import type { ZoneOperations } from "./zones.js";

/** Options of `createOperatorRoutes`. */
export interface OperatorOptions {
    readonly versions: ConfigurationReplica;
    readonly metrics: Metrics;
    /** Bearer token that the `/v1` routes require; undefined to require none. */
    readonly token: string | undefined;
    readonly zones: ZoneOperations;
    readonly status: () => Status;
    /** Why the entry is not ready; undefined when it is ready. */
    readonly notReadyReason: () => string | undefined;
    /** Collects the traces of a request or job that any entry of the fleet has. */
    readonly explain: (id: string) => Promise<readonly unknown[]>;
}

/** Largest body of an operator's request, in bytes. */
export const largestOperatorBodyBytes = 32 * 1024 * 1024;

const listFileSchema = z.strictObject({ file: z.string().max(300), text: z.string() });

const listsRequestSchema = z.strictObject({
    plans: listFileSchema,
    teams: listFileSchema,
    listsRevision: z.int().min(0).optional(),
});

const keyRequestSchema = z.strictObject({ team: z.string({ error: "name the team" }).min(1).max(63) });

/** Creates the routes of the operator listener. */
export function createOperatorRoutes(options: OperatorOptions): Readonly<Record<string, WebHandler>> {
    const { versions, metrics, zones, status, notReadyReason: notReady, explain } = options;
    const withToken = (handler: WebHandler): WebHandler => (req, res) =>
        requireToken(options, req, res, handler);
    return {
        "GET /healthz": (_, res) => respondText(res, 200, "ok\n"),
        "GET /readyz": (_, res) =>
            respondText(res, notReady() === undefined ? 200 : 503, `${notReady() ?? "ready"}\n`),
        "GET /metrics": (_, res) => respondText(res, 200, metrics.render()),
        "GET /v1/status": withToken((_, res) => respondJson(res, status())),
        "GET /v1/lists": withToken((_, res) => {
            const { revision, listsRevision, lists } = versions.state;
            return respondJson(res, { revision, listsRevision, lists });
        }),
        "POST /v1/lists/diff": withToken(async (req, res) => {
            const { plans, teams } = await readJson(req, listsRequestSchema);
            const { listsRevision, lists } = versions.state;
            sendJson(res, 200, { listsRevision, differences: diffLists(lists, parseLists(plans, teams)) });
        }),
        "POST /v1/lists/apply": withToken(async (req, res) => {
            const { plans, teams, listsRevision } = await readJson(req, listsRequestSchema);
            const lists = parseLists(plans, teams);
            const state = await versions.applyLists(lists, listsRevision ?? versions.state.listsRevision);
            sendJson(res, 200, { revision: state.revision });
        }),
        "GET /v1/keys": withToken((_, res) => {
            const keys = [...versions.state.keys.values()].map(({ id, team, givenAt }) => ({
                id,
                team,
                givenAt,
            }));
            return respondJson(res, { keys: keys.filter(key => !versions.pendingWithdrawals.has(key.id)) });
        }),
        "POST /v1/keys": withToken(async (req, res) => {
            const { team } = await readJson(req, keyRequestSchema);
            sendJson(res, 201, await versions.issueKey(team));
        }),
        "DELETE /v1/keys/:id": withToken(async (req, res) => {
            const withdrawal = await versions.withdrawKey(String(req.$params?.["id"]));
            sendJson(res, 200, { ...withdrawal, entries: status().entries.length });
        }),
        "GET /v1/zones": withToken(async (_, res) => sendJson(res, 200, { zones: await zones.list() })),
        "PUT /v1/zones/:zone": withToken(async (req, res) => {
            sendJson(res, 200, await zones.evacuate(String(req.$params?.["zone"])));
        }),
        "DELETE /v1/zones/:zone": withToken(async (req, res) => {
            sendJson(res, 200, await zones.restore(String(req.$params?.["zone"])));
        }),
        "GET /v1/requests/:id": withToken(async (req, res) => {
            sendJson(res, 200, { traces: await explain(String(req.$params?.["id"])) });
        }),
    };
}

/** Sends the error response to an operator's request, unless a response has begun. */
export function sendOperatorError(_req: WebRequest, res: ServerResponse, err: unknown): void {
    if (!res.headersSent) {
        sendJson(res, httpStatusOf(err), {
            error: messageOf(err),
            revision: (err as { revision?: number }).revision,
        });
    }
}

function httpStatusOf(err: unknown): number {
    if (err instanceof RevisionConflictError) {
        return 409;
    }
    if (err instanceof ConfigError || err instanceof OperatorError) {
        return 400;
    }
    if (err instanceof StoreBusyError || err instanceof PlatformError) {
        return 503;
    }
    return (err as { code?: unknown }).code === 404 ? 404 : 500;
}

function requireToken(
    options: OperatorOptions,
    req: WebRequest,
    res: ServerResponse,
    handler: WebHandler,
): Promise<void> {
    const { token } = options;
    if (token !== undefined && !equalsInConstantTime(req.headers.authorization ?? "", `Bearer ${token}`)) {
        options.metrics.count("celerywind_operator_refusals_total");
        return respondJson(
            res,
            { error: 'send the operator token in the header "Authorization: Bearer TOKEN"' },
            401,
        );
    }
    return handler(req, res);
}

/** Takes the same time for all tokens of one length, so that timing does not help to guess a token. */
function equalsInConstantTime(actual: string, expected: string): boolean {
    const a = Buffer.from(actual);
    const b = Buffer.from(expected);
    return a.length === b.length && timingSafeEqual(a, b);
}

async function readJson<S extends z.ZodType>(req: WebRequest, schema: S): Promise<z.output<S>> {
    const read = await readBody(req, largestOperatorBodyBytes);
    if (read.kind === "refused") {
        throw new OperatorError(
            read.cause === RefusalCause.TooLarge
                ? `the request is larger than ${largestOperatorBodyBytes} bytes; send smaller lists`
                : `the request was refused (${read.cause}); send it again later`,
        );
    }
    return checkValue("request", parseJsonBody(read.body), schema);
}

function parseJsonBody(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString());
    }
    catch (err) {
        throw new OperatorError("the request is not JSON; use the command-line tool", { cause: err });
    }
}

function respondText(res: ServerResponse, status: number, body: string): Promise<void> {
    sendBody(res, status, { "content-type": "text/plain; charset=utf-8" }, body);
    return Promise.resolve();
}

function respondJson(res: ServerResponse, value: unknown, status = 200): Promise<void> {
    sendJson(res, status, value);
    return Promise.resolve();
}
