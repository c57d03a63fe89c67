/** HTTP listener that routes requests with moleculer-web. */
import ApiGateway from "moleculer-web";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Hub } from "../../process/hub.js";
import type { Log } from "../../process/log.js";
import type { Metrics } from "../../process/metrics.js";
import type { Timer } from "../../process/timer.js";
import type { CallerLimitSettings } from "./limits.js";
import { HttpListener } from "./listener.js";

/** A request with the parameters of its path. */
export interface WebRequest extends IncomingMessage {
    readonly $params?: Readonly<Record<string, unknown>>;
}

/** Handles one request. */
export type WebHandler = (req: WebRequest, res: ServerResponse) => Promise<void>;

/** Options of `WebListener.create`. */
export interface WebListenerOptions {
    readonly hub: Hub;
    /** Name of the listener in the settings and of its moleculer service. */
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** Handlers by method and path, such as `GET /healthz`. */
    readonly routes: Readonly<Record<string, WebHandler>>;
    /** Answers requests that match no route, and those whose handler rejected. */
    readonly onError: (req: WebRequest, res: ServerResponse, err: unknown) => void;
    readonly limits: CallerLimitSettings;
    readonly largestBodyBytes: number;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

type RequestListener = (req: IncomingMessage, res: ServerResponse) => void;

/** HTTP listener whose routes are served by moleculer-web. */
export class WebListener {
    private readonly listener: HttpListener;
    /** Callbacks that end the handling of requests, until a route takes them over. */
    private readonly settlers = new WeakMap<IncomingMessage, () => void>();

    private constructor(private readonly options: WebListenerOptions) {
        const requestListener = this.createGateway();
        this.listener = HttpListener.create({
            ...options,
            onRequest: (req, res) =>
                new Promise(resolve => {
                    this.settlers.set(req, resolve);
                    res.once("close", () => this.settleUnrouted(req));
                    requestListener(req, res);
                }),
        });
    }

    static create(options: WebListenerOptions): WebListener {
        return new WebListener(options);
    }

    /** Starts listening; rejects with a `ListenError` when the address cannot be bound. */
    listen(): Promise<void> {
        return this.listener.listen();
    }

    /** Accepts the connections that callers have made and reads the requests that they have sent. */
    acceptPending(): Promise<void> {
        return this.listener.acceptPending();
    }

    /** Stops listening; resolves when the open requests have ended and their connections have closed. */
    close(): Promise<void> {
        return this.listener.close();
    }

    /** Stops listening and breaks off all connections. */
    abort(): Promise<void> {
        return this.listener.abort();
    }

    /** Ends the handling of a request that was answered without any route. */
    private settleUnrouted(req: IncomingMessage): void {
        this.settlers.get(req)?.();
        this.settlers.delete(req);
    }

    private createGateway(): RequestListener {
        const { hub, name, routes, onError } = this.options;
        const aliases = Object.entries(routes).map(([route, handler]) => {
            const alias = (req: WebRequest, res: ServerResponse): void => {
                const settle = this.settlers.get(req);
                this.settlers.delete(req);
                void handler(req, res).catch((err: unknown) => onError(req, res, err)).finally(settle);
            };
            return [route, alias] as const;
        });
        const schema = {
            name,
            mixins: [ApiGateway],
            settings: {
                server: false,
                path: "/",
                routes: [{
                    path: "/",
                    bodyParsers: false,
                    mappingPolicy: "restrict",
                    aliases: Object.fromEntries(aliases),
                    onError,
                }],
                onError,
            },
        };
        const service = hub.addService(schema);
        return (service as unknown as { express(): RequestListener }).express();
    }
}
