/** An HTTP listener whose routes are served by moleculer-web, with bounded connections and bodies. */
import ApiGateway from "moleculer-web";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Hub } from "../../process/hub.js";
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
    readonly name: string;
    readonly host: string;
    readonly port: number;
    /** Handlers by method and path, such as `GET /healthz`. */
    readonly routes: Readonly<Record<string, WebHandler>>;
    /** Answers requests that no route matches, and those whose handler failed. */
    readonly onError: (req: WebRequest, res: ServerResponse, err: unknown) => void;
    readonly maxConnections: number;
    readonly tls?: { readonly cert: Buffer; readonly key: Buffer };
}

type RequestListener = (req: IncomingMessage, res: ServerResponse) => void;

/** An HTTP listener whose routes moleculer-web serves. */
export class WebListener {
    private readonly listener: HttpListener;

    private constructor(private readonly options: WebListenerOptions) {
        const express = this.createGateway();
        this.listener = HttpListener.create({ ...options, onRequest: (req, res) => express(req, res) });
    }

    static create(options: WebListenerOptions): WebListener {
        return new WebListener(options);
    }

    /** Begins to listen. */
    listen(): Promise<void> {
        return this.listener.listen();
    }

    /** Stops listening; resolves when the open requests have ended. */
    close(): Promise<void> {
        return this.listener.close();
    }

    private createGateway(): RequestListener {
        const { hub, name, routes, onError } = this.options;
        const aliases = Object.entries(routes).map(([route, handler]) => {
            const alias = (req: WebRequest, res: ServerResponse): void => {
                handler(req, res).catch((err: unknown) => onError(req, res, err));
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
