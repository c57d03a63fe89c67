/** Reading of request bodies and sending of responses, for the HTTP servers of the stand-ins. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Reads the complete body of a request. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** Sends a response: a buffer unchanged, any other value as JSON. */
export function sendResponse(res: ServerResponse, status: number, value: unknown): void {
    const body = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    res.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    res.end(body);
}
