/**
 * HTTP client for calls with JSON bodies over reused HTTP/1.1 connections, each with its own timeout. The result shows
 * whether the server may have received a call that was not answered.
 */
import { type Dispatcher, Pool } from "undici";
import { parseJson } from "../process/json.js";
import type { Cancel, Timer } from "../process/timer.js";

/** An HTTP call. */
export interface HttpCall {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON. */
    readonly body?: unknown;
    readonly timeoutMs: number;
    /** Called whenever a part of the answer's body has arrived, with the number of bytes received so far. */
    readonly onData?: ((receivedBytes: number) => void) | undefined;
}

/** Result of a call. */
export type HttpResult =
    | { readonly kind: "answer"; readonly status: number; readonly body: unknown }
    /** No byte of the call was sent. */
    | { readonly kind: "not-sent"; readonly reason: string }
    /** No answer arrived; the server may have received and executed the call. */
    | { readonly kind: "lost"; readonly reason: string };

/** Options of `JsonHttpClient.create`. */
export interface JsonHttpClientOptions {
    readonly timer: Timer;
    /** Maximum number of connections to one address. */
    readonly maxConnections: number;
    /** Time after which an idle connection is closed, in milliseconds. */
    readonly idleTimeoutMs?: number;
    readonly connectTimeoutMs?: number;
    /** Called after a connection was opened. */
    readonly onConnect?: () => void;
}

const defaultIdleTimeoutMs = 4000;
const defaultConnectTimeoutMs = 1000;

/** JSON client with a connection pool for each address, given as `host:port`. */
export class JsonHttpClient {
    private readonly pools = new Map<string, Pool>();

    private constructor(private readonly options: JsonHttpClientOptions) {}

    static create(options: JsonHttpClientOptions): JsonHttpClient {
        return new JsonHttpClient(options);
    }

    /** Sends a call; never rejects. Without an address, as of a worker that no list has shown, nothing is sent. */
    call(address: string, call: HttpCall): Promise<HttpResult> {
        if (!address.includes(":")) {
            return Promise.resolve({ kind: "not-sent", reason: `no address: "${address}"` });
        }
        return new Promise(resolve => {
            const exchange = new Exchange(this.options.timer, call, resolve);
            const hasBody = call.body !== undefined;
            this.poolOf(address).dispatch(
                {
                    method: call.method,
                    path: call.path,
                    headers: { ...call.headers, ...(hasBody && { "content-type": "application/json" }) },
                    body: hasBody ? JSON.stringify(call.body) : undefined,
                    idempotent: false,
                } as Dispatcher.DispatchOptions,
                exchange,
            );
        });
    }

    /** Closes the connections to all other addresses at once; calls in progress on them fail. */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, pool] of this.pools) {
            if (!addresses.has(address)) {
                this.pools.delete(address);
                void pool.destroy().catch(() => undefined);
            }
        }
    }

    /** Closes all connections; calls in progress end as lost. */
    close(): void {
        this.retain(new Set());
    }

    private poolOf(address: string): Pool {
        const existing = this.pools.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const {
            maxConnections,
            idleTimeoutMs = defaultIdleTimeoutMs,
            connectTimeoutMs = defaultConnectTimeoutMs,
            onConnect,
        } = this.options;
        const pool = new Pool(`http://${address}`, {
            connections: maxConnections,
            pipelining: 1,
            keepAliveTimeout: idleTimeoutMs,
            headersTimeout: 0,
            bodyTimeout: 0,
            connect: { timeout: connectTimeoutMs },
        });
        pool.on("connect", () => onConnect?.());
        this.pools.set(address, pool);
        return pool;
    }
}

/** Collects the answer to one call, or the reason of its failure. */
class Exchange implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private status = 0;
    private readonly chunks: Buffer[] = [];
    private receivedBytes = 0;
    private isSettled = false;
    private readonly cancel: Cancel;

    constructor(
        timer: Timer,
        private readonly call: Pick<HttpCall, "timeoutMs" | "onData">,
        private readonly resolve: (result: HttpResult) => void,
    ) {
        this.cancel = timer.after(call.timeoutMs, () => this.handleTimeout());
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.isSettled) {
            controller.abort(new Error("call timed out before it was sent"));
            return;
        }
        this.controller = controller;
    }

    onResponseStart(_: Dispatcher.DispatchController, status: number): void {
        this.status = status;
    }

    onResponseData(_: Dispatcher.DispatchController, chunk: Buffer): void {
        this.chunks.push(chunk);
        this.receivedBytes += chunk.length;
        if (!this.isSettled) {
            this.call.onData?.(this.receivedBytes);
        }
    }

    onResponseEnd(): void {
        const text = this.chunks.length === 1
            ? this.chunks[0]!.toString()
            : Buffer.concat(this.chunks).toString();
        // A body that is not JSON is treated as absent; callers that need a body report its missing fields.
        this.settle({ kind: "answer", status: this.status, body: parseJson(text) });
    }

    onResponseError(_: Dispatcher.DispatchController, err: Error): void {
        this.fail(err.message);
    }

    private handleTimeout(): void {
        this.fail("timeout");
        this.controller?.abort(new Error("call timed out"));
    }

    private fail(reason: string): void {
        this.settle({ kind: this.controller === undefined ? "not-sent" : "lost", reason });
    }

    private settle(result: HttpResult): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.cancel();
            this.resolve(result);
        }
    }
}
