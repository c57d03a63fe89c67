/** Reads and sends complete HTTP bodies. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { CallerConnection } from "./connection.js";
import { declaredBytes } from "./declared-bytes.js";
import { GrowingBuffer } from "./growing-buffer.js";
import { RefusalCause } from "./limit-report.js";

/** Result of reading the body of a request. */
export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer }
    /** It was not read, or not to its end; the connection closes with the answer. */
    | { readonly kind: "refused"; readonly cause: RefusalCause };

/**
 * Reads the body of a request of up to `limit` bytes, within what the request's listener may hold. Rejects when the
 * connection ends before the body is complete.
 */
export function readBody(req: IncomingMessage, limit: number): Promise<BodyResult> {
    const exchange = CallerConnection.of(req.socket)?.exchangeOf(req);
    const expectedBytes = declaredBytes(req);
    return new Promise((resolve, reject) => {
        const bytes = GrowingBuffer.create({ maxBytes: limit, expectedBytes });
        const refuse = (cause: RefusalCause): void => {
            req.off("data", receive);
            bytes.release();
            exchange?.abandonBody(cause);
            resolve({ kind: "refused", cause });
        };
        const receive = (chunk: Buffer): void => {
            const receivedBytes = bytes.length + chunk.length;
            if (receivedBytes > limit) {
                refuse(RefusalCause.TooLarge);
            }
            else if (exchange?.holdBody(bytes.capacityFor(chunk.length), receivedBytes) === false) {
                refuse(RefusalCause.HeldBytes);
            }
            else {
                bytes.append(chunk);
            }
        };
        if (expectedBytes !== undefined && expectedBytes > limit) {
            refuse(RefusalCause.TooLarge);
            return;
        }
        exchange?.beginBody(refuse);
        req.on("data", receive);
        req.once("end", () => {
            exchange?.endBody();
            resolve({ kind: "complete", body: bytes.take() });
        });
        req.once(
            "aborted",
            () => {
                req.off("data", receive);
                bytes.release();
                reject(new Error(`caller closed the connection after ${bytes.length} bytes of the body`));
            },
        );
        req.once("error", reject);
    });
}

/** HTTP status of the answer to a request whose body was refused. */
export function refusedBodyStatus(cause: RefusalCause): number {
    switch (cause) {
        case RefusalCause.TooLarge:
            return 413;
        case RefusalCause.Slow:
            return 408;
        case RefusalCause.Malformed:
            return 400;
        case RefusalCause.Requests:
        case RefusalCause.Connections:
        case RefusalCause.HeldBytes:
            return 503;
    }
}

/** Sends an answer with its body; answers with status 204 and 304 are sent without one. */
export function sendBody(
    res: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
    body: Buffer | string,
): void {
    const bytes = typeof body === "string" ? Buffer.from(body) : body;
    const hasBody = status !== 204 && status !== 304;
    res.writeHead(status, { ...headers, ...(hasBody && { "content-length": String(bytes.length) }) });
    res.end(hasBody ? bytes : undefined);
}

/** Sends an answer with a JSON body. */
export function sendJson(
    res: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    sendBody(res, status, { "content-type": "application/json", ...headers }, JSON.stringify(value) + "\n");
}
