/** Reading and sending whole HTTP bodies. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Reads a request's body; undefined when it is larger than `limit` bytes. Rejects when the caller breaks off. */
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
        req.once("aborted", () => reject(new Error("the caller broke off")));
        req.once("error", reject);
    });
}

/** Sends a whole answer. */
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

/** Sends a JSON answer. */
export function sendJson(
    res: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void {
    sendBody(res, status, { "content-type": "application/json", ...headers }, JSON.stringify(value) + "\n");
}
