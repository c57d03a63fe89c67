/**
 * HTTP connections to workers. Idempotent requests reuse connections with a short idle timeout. A non-idempotent
 * request always gets a new connection, since a reused one may have failed without either end having noticed.
 */
import { type Dispatcher, errors, Pool } from "undici";
import type { Metrics } from "../../process/metrics.js";
import { AttemptKind, type AttemptResult, type HeaderList, type UpstreamRequest } from "./attempt.js";

/** Options of `Upstream.create`. */
export interface UpstreamOptions {
    readonly metrics: Metrics;
    /** Maximum number of connections to one worker, reused and new ones together. */
    readonly maxConnections: number;
    /** Maximum size of the body of an answer. */
    readonly maxAnswerBytes: number;
    readonly connectTimeoutMs?: number;
    /** Time after which an idle connection is not reused. */
    readonly idleTimeoutMs?: number;
    /** Age after which a connection is not reused. */
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

    /** Sends one request and classifies the result; never rejects. */
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

    /** Calls the task interface of a worker; rejects when no complete answer arrives. */
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

    /** Closes the connections to all workers other than `origins`, each once its requests have ended. */
    retain(origins: ReadonlySet<string>): void {
        for (const [origin, pools] of this.pools) {
            if (!origins.has(origin)) {
                this.pools.delete(origin);
                void pools.reused.close();
                void pools.fresh.close();
            }
        }
    }

    /** Closes all connections at once; requests in progress fail. */
    async close(): Promise<void> {
        const allPools = [...this.pools.values()].flatMap(pools => [pools.reused, pools.fresh]);
        await Promise.all(allPools.map(pool => pool.destroy()));
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
            maxConnections,
            connectTimeoutMs = 500,
            idleTimeoutMs = 4000,
            maxConnectionAgeMs = 60_000,
        } = this.options;
        const connectionsPerPool = Math.max(1, Math.floor(maxConnections / 2));
        const poolOptions = {
            connections: connectionsPerPool,
            pipelining: 1,
            connect: { timeout: connectTimeoutMs },
        };
        return {
            reused: new Pool(origin, {
                ...poolOptions,
                keepAliveTimeout: idleTimeoutMs,
                clientTtl: maxConnectionAgeMs,
            }),
            fresh: new Pool(origin, poolOptions),
        };
    }
}

function flattenHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): HeaderList {
    const values = Object.entries(headers).map(([name, value]) => [name, String(value)] as const);
    return Object.fromEntries(values);
}

async function readAnswerBody(res: Dispatcher.ResponseData, limit: number): Promise<Buffer> {
    const hasFraming = res.headers["content-length"] !== undefined
        || res.headers["transfer-encoding"] !== undefined;
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of res.body as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size > limit) {
            throw new Error(`answer is larger than the limit of ${limit} bytes`);
        }
        chunks.push(chunk);
    }
    const isBodiless = size === 0 && (res.statusCode === 204 || res.statusCode === 304);
    if (!hasFraming && !isBodiless) {
        throw new Error("answer has neither content-length nor transfer-encoding; it may be truncated");
    }
    return Buffer.concat(chunks);
}

function classifyAnswer({ status, headers, body }: RawAnswer): AttemptResult {
    if (status === statusServiceUnavailable && headers[outcomeHeader] === notRunOutcome) {
        return { kind: AttemptKind.Refused, cause: headers["celerywind-reason"] ?? "refused" };
    }
    const forwarded = forwardedHeaders.flatMap(name =>
        headers[name] === undefined ? [] : [[name, headers[name]] as const]
    );
    return { kind: AttemptKind.Completed, status, headers: Object.fromEntries(forwarded), body };
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
