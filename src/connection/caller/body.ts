/** Reads and sends complete HTTP bodies. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { GrowingBuffer } from "./growing-buffer.js";

/** Result of reading the body of a request. */
export type BodyResult =
    | { readonly kind: "complete"; readonly body: Buffer }
    /** It has more bytes than allowed; what was read of it is discarded, and no more is read. */
    | { readonly kind: "too-large" };

/**
 * Reads the body of a request of up to `limit` bytes. Rejects when the connection ends before the body is complete. After
 * a body that is too large, the connection must be closed with the answer, since the rest of the body was not read.
 */
export function readBody(req: IncomingMessage, limit: number): Promise<BodyResult> {
    const expectedBytes = declaredBytes(req);
    if (expectedBytes !== undefined && expectedBytes > limit) {
        return Promise.resolve({ kind: "too-large" });
    }
    return new Promise((resolve, reject) => {
        const bytes = GrowingBuffer.create({ maxBytes: limit, expectedBytes });
        const receive = (chunk: Buffer): void => {
            if (bytes.length + chunk.length > limit) {
                req.off("data", receive);
                req.pause();
                resolve({ kind: "too-large" });
                return;
            }
            bytes.append(chunk);
        };
        req.on("data", receive);
        req.once("end", () => resolve({ kind: "complete", body: bytes.contents() }));
        req.once(
            "aborted",
            () => reject(new Error(`caller closed the connection after ${bytes.length} bytes of the body`)),
        );
        req.once("error", reject);
    });
}

/** Size of the body that the header `Content-Length` declares, in bytes; undefined without a valid one. */
export function declaredBytes(req: IncomingMessage): number | undefined {
    const value = req.headers["content-length"];
    const bytes = value === undefined ? NaN : Number(value);
    return Number.isSafeInteger(bytes) && bytes >= 0 ? bytes : undefined;
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
