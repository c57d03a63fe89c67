/** Reads the size that a request declares. */
import type { IncomingMessage } from "node:http";

/** Size of the body that the header `Content-Length` declares, in bytes; undefined without a valid one. */
export function declaredBytes(req: IncomingMessage): number | undefined {
    const value = req.headers["content-length"];
    const bytes = value === undefined ? NaN : Number(value);
    return Number.isSafeInteger(bytes) && bytes >= 0 ? bytes : undefined;
}
