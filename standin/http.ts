/** What the stand-in servers share: whole bodies in and out. */
import type { IncomingMessage, ServerResponse } from "node:http";

/** Reads a whole body. */
export async function readBody(req: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** Sends bytes as they are, and anything else as JSON. */
export function sendResponse(res: ServerResponse, status: number, value: unknown): void {
    const body = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
    res.writeHead(status, { "content-type": "application/json", "content-length": body.length });
    res.end(body);
}
