/**
 * HTTP client for calls with JSON bodies over reused HTTP/1.1 connections, each with its own timeout. The result shows
 * whether the server may have received a call that was not answered.
 */
import { setMaxListeners } from "node:events";
import { validateHeaderValue } from "node:http";
import { type Dispatcher, Pool } from "undici";
import { messageOf } from "../process/errors.js";
import { parseJson } from "../process/json.js";
import type { Cancel, Timer } from "../process/timer.js";

/** An HTTP call. */
export interface HttpCall {
    readonly method: "GET" | "POST" | "PUT" | "DELETE";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    /** Sent as JSON. */
    readonly body?: unknown;
    /** Longest time until the answer begins, in milliseconds. A body that keeps arriving may take longer. */
    readonly timeoutMs: number;
    /**
     * Whether the call must not be sent after its time limit; false by default. A process that was blocked or frozen reads its
     * sockets before its timers call back, so a call that waits for a connection may be sent long after its limit. The limit
     * holds on the wall clock, too, since the monotonic one stands still while the process is suspended.
     */
    readonly expires?: boolean;
    /** Ends the call, which is then lost. */
    readonly signal?: AbortSignal | undefined;
    /** Called whenever a part of the body of a successful answer has arrived, with the number of bytes received so far. */
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

/** Longest time without further bytes after which an answer that has begun is given up; less for calls with less time. */
const maxStallTimeoutMs = 2000;
const defaultIdleTimeoutMs = 4000;
const defaultConnectTimeoutMs = 1000;

/** JSON client with a connection pool for each address, given as `host:port`. */
export class JsonHttpClient {
    private readonly pools = new Map<string, Pool>();

    private constructor(private readonly options: JsonHttpClientOptions) {}

    static create(options: JsonHttpClientOptions): JsonHttpClient {
        return new JsonHttpClient(options);
    }

    /**
     * Sends a call; never rejects. Nothing is sent without an address, as of a worker that no list has shown, to an address
     * that is not `host:port`, or if the call cannot be encoded, see `encodeCall`.
     */
    call(address: string, call: HttpCall): Promise<HttpResult> {
        if (!address.includes(":")) {
            return Promise.resolve({ kind: "not-sent", reason: `no address: "${address}"` });
        }
        return new Promise(resolve => {
            const exchange = new Exchange(this.options.timer, call, resolve);
            try {
                this.poolOf(address).dispatch(encodeCall(call), exchange);
            }
            catch (err) {
                exchange.fail(messageOf(err));
            }
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

/**
 * Encodes a call for the HTTP client; throws if its body cannot be encoded as JSON or a header holds other characters than
 * those of Latin-1. The HTTP client refuses such a header too, but its pool then counts the connection as busy for ever.
 */
function encodeCall({ method, path, headers = {}, body }: HttpCall): Dispatcher.DispatchOptions {
    Object.entries(headers).forEach(([name, value]) => validateHeaderValue(name, value));
    const hasBody = body !== undefined;
    return {
        method,
        path,
        headers: { ...headers, ...(hasBody && { "content-type": "application/json" }) },
        ...(hasBody && { body: JSON.stringify(body) }),
        idempotent: false,
    };
}

/** Collects the answer to one call, or the reason of its failure. */
class Exchange implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private status = 0;
    private readonly chunks: Buffer[] = [];
    private receivedBytes = 0;
    private receivedAt = -Infinity;
    private isSettled = false;
    /** Times from which the call is not sent any more: monotonic, and Unix time. */
    private readonly expiresAt: { readonly monotonic: number; readonly wall: number };
    private cancel: Cancel;

    constructor(
        private readonly timer: Timer,
        private readonly call: Pick<HttpCall, "timeoutMs" | "expires" | "onData" | "signal">,
        private readonly resolve: (result: HttpResult) => void,
    ) {
        const limitMs = call.expires === true ? call.timeoutMs : Infinity;
        this.expiresAt = { monotonic: timer.now() + limitMs, wall: timer.wall() + limitMs };
        this.cancel = timer.after(call.timeoutMs, () => this.handleTimeout());
        if (call.signal !== undefined) {
            // Many calls may share a signal, which Node would report as a leak of listeners.
            setMaxListeners(0, call.signal);
            call.signal.addEventListener("abort", this.handleAbort);
        }
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.timer.now() >= this.expiresAt.monotonic || this.timer.wall() >= this.expiresAt.wall) {
            this.fail("timeout");
        }
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
        this.receivedAt = this.timer.now();
        if (!this.isSettled && this.status < 300) {
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

    private readonly handleAbort = (): void => this.giveUp("cancelled");

    private handleTimeout(): void {
        const maxStallMs = Math.min(this.call.timeoutMs, maxStallTimeoutMs);
        const leftMs = this.receivedAt + maxStallMs - this.timer.now();
        if (leftMs > 0) {
            this.cancel = this.timer.after(leftMs, () => this.handleTimeout());
        }
        else {
            this.giveUp("timeout");
        }
    }

    /** Ends the call, which is then lost if it was sent. */
    giveUp(reason: string): void {
        this.fail(reason);
        this.controller?.abort(new Error(`call given up: ${reason}`));
    }

    /** Settles the call without an answer: as lost if it was sent, else as not sent. */
    fail(reason: string): void {
        this.settle({ kind: this.controller === undefined ? "not-sent" : "lost", reason });
    }

    private settle(result: HttpResult): void {
        if (!this.isSettled) {
            this.isSettled = true;
            this.cancel();
            this.call.signal?.removeEventListener("abort", this.handleAbort);
            this.resolve(result);
        }
    }
}
