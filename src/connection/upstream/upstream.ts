/**
 * HTTP connections to workers. Idempotent requests reuse connections that were idle for a short time at most; a
 * non-idempotent request always gets a fresh one, since a reused one may be dead without either end knowing.
 */
import { type Dispatcher, errors, Pool } from "undici";
import type { Metrics } from "../../process/metrics.js";
import { AttemptKind, type AttemptResult, type HeaderList, type UpstreamRequest } from "./attempt.js";

/** Options of `Upstream.create`. */
export interface UpstreamOptions {
    readonly metrics: Metrics;
    /** Most connections to one worker, of both kinds together. */
    readonly maxConnections: number;
    readonly maxAnswerBytes: number;
    readonly connectTimeoutMs?: number;
    readonly idleTimeoutMs?: number;
    readonly maxConnectionAgeMs?: number;
}

interface WorkerPools {
    readonly reused: Pool;
    readonly fresh: Pool;
}

interface RawAnswer {
    readonly status: number;
    readonly headers: HeaderList;
    readonly body: Buffer;
}

const statusServiceUnavailable = 503;
const outcomeHeader = "celerywind-outcome";
const notRunOutcome = "not-run";
const forwardedHeaders = [
    "content-type",
    "content-encoding",
    "content-language",
    "cache-control",
    "etag",
    "location",
];

/** Sends requests to workers. */
export class Upstream {
    private readonly pools = new Map<string, WorkerPools>();

    private constructor(private readonly options: UpstreamOptions) {}

    static create(options: UpstreamOptions): Upstream {
        return new Upstream(options);
    }

    /** Sends one request and classifies what came of it; never rejects. */
    async send(origin: string, req: UpstreamRequest, timeoutMs: number): Promise<AttemptResult> {
        const abort = new AbortController();
        const timer = setTimeout(() => abort.abort(), Math.max(1, Math.ceil(timeoutMs)));
        try {
            const answer = await this.exchange(origin, req, timeoutMs, abort.signal);
            return classifyAnswer(answer);
        }
        catch (err) {
            const result = classifyError(err, abort.signal.aborted);
            this.options.metrics.count("celerywind_upstream_errors_total", { kind: result.kind });
            return result;
        }
        finally {
            clearTimeout(timer);
        }
    }

    /** Calls a worker's task interface; rejects when no whole answer arrives. */
    async call(
        origin: string,
        method: Dispatcher.HttpMethod,
        path: string,
        timeoutMs: number,
        body?: string,
    ) {
        const res = await this.poolsOf(origin).reused.request({
            method,
            path,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal: AbortSignal.timeout(timeoutMs),
            ...(body === undefined ? {} : { body, headers: { "content-type": "application/json" } }),
        });
        return { status: res.statusCode, body: Buffer.from(await res.body.arrayBuffer()) };
    }

    /** Closes the connections to workers that are no longer listed. */
    retain(origins: ReadonlySet<string>): void {
        for (const [origin, pools] of this.pools) {
            if (!origins.has(origin)) {
                this.pools.delete(origin);
                void pools.reused.close();
                void pools.fresh.close();
            }
        }
    }

    /** Closes all connections after the requests on them have ended. */
    async close(): Promise<void> {
        const all = [...this.pools.values()].flatMap(pools => [pools.reused, pools.fresh]);
        await Promise.all(all.map(pool => pool.destroy()));
    }

    private async exchange(
        origin: string,
        req: UpstreamRequest,
        timeoutMs: number,
        signal: AbortSignal,
    ): Promise<RawAnswer> {
        const { reused, fresh } = this.poolsOf(origin);
        const pool = req.idempotent ? reused : fresh;
        const res = await pool.request({
            method: "POST",
            path: `/queues/${encodeURIComponent(req.queue)}`,
            idempotent: false,
            reset: !req.idempotent,
            headersTimeout: timeoutMs,
            bodyTimeout: timeoutMs,
            signal,
            body: req.body,
            headers: {
                "content-type": req.contentType,
                "celerywind-request-id": req.id,
                "celerywind-team": req.team,
                "celerywind-timeout-ms": String(Math.ceil(timeoutMs)),
            },
        });
        const headers = flattenHeaders(res.headers);
        return {
            status: res.statusCode,
            headers,
            body: await readAnswerBody(res, this.options.maxAnswerBytes),
        };
    }

    private poolsOf(origin: string): WorkerPools {
        let pools = this.pools.get(origin);
        if (pools === undefined) {
            pools = this.createPools(origin);
            this.pools.set(origin, pools);
        }
        return pools;
    }

    private createPools(origin: string): WorkerPools {
        const {
            maxConnections: connections,
            connectTimeoutMs: connectMs = 500,
            idleTimeoutMs: idleMs = 4000,
            maxConnectionAgeMs: maxAgeMs = 60_000,
        } = this.options;
        const half = Math.max(1, Math.floor(connections / 2));
        const shared = { connections: half, pipelining: 1, connect: { timeout: connectMs } };
        return {
            reused: new Pool(origin, { ...shared, keepAliveTimeout: idleMs, clientTtl: maxAgeMs }),
            fresh: new Pool(origin, shared),
        };
    }
}

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderList {
    const plain = Object.entries(headers).map(([name, value]) => [name, String(value)] as const);
    return Object.fromEntries(plain);
}

async function readAnswerBody(res: Dispatcher.ResponseData, limit: number): Promise<Buffer> {
    const isFramed = res.headers["content-length"] !== undefined
        || res.headers["transfer-encoding"] !== undefined;
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limit) {
            throw new Error(`the answer is larger than ${limit} bytes`);
        }
        chunks.push(chunk);
    }
    const isBodiless = size === 0 && (res.statusCode === 204 || res.statusCode === 304);
    if (!isFramed && !isBodiless) {
        throw new Error("the answer does not say where it ends");
    }
    return Buffer.concat(chunks);
}

function classifyAnswer({ status, headers, body }: RawAnswer): AttemptResult {
    if (status === statusServiceUnavailable && headers[outcomeHeader] === notRunOutcome) {
        return { kind: AttemptKind.Refused, cause: headers["celerywind-reason"] ?? "refused" };
    }
    const kept = forwardedHeaders.flatMap(name =>
        headers[name] === undefined ? [] : [[name, headers[name]] as const]
    );
    return { kind: AttemptKind.Completed, status, headers: Object.fromEntries(kept), body };
}

function classifyError(err: unknown, isTimeout: boolean): Extract<AttemptResult, { cause: string }> {
    const cause = err instanceof Error ? err.message : String(err);
    const code = (err as { code?: string }).code ?? "";
    if (err instanceof errors.ConnectTimeoutError || code === "ECONNREFUSED" || code === "EHOSTUNREACH") {
        return { kind: AttemptKind.NotSent, cause };
    }
    if (isTimeout || err instanceof errors.HeadersTimeoutError || err instanceof errors.BodyTimeoutError) {
        return { kind: AttemptKind.TimedOut, cause };
    }
    return { kind: AttemptKind.Interrupted, cause };
}
