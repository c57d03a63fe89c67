/** Reads and sends complete HTTP bodies. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Reads the body of a request; undefined when it is larger than `limit` bytes. Rejects when the connection ends before
 * the body is complete.
 */
export function readBody(req: IncomingMessage, limit: number): Promise<Buffer | undefined> {
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        req.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > limit) {
                chunks.length = 0;
                req.removeAllListeners("data");
                req.resume();
                resolve(undefined);
                return;
            }
            chunks.push(chunk);
        });
        req.once("end", () => resolve(Buffer.concat(chunks)));
        req.once(
            "aborted",
            () => reject(new Error(`caller closed the connection after ${size} bytes of the request body`)),
        );
        req.once("error", reject);
    });
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
