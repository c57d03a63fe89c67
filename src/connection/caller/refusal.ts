/** The answer to a request that its listener refuses without passing it on. */
import type { ServerResponse } from "node:http";
import type { RefusalCause } from "./limit-report.js";

/** Time after which a refused caller may try again, in seconds. */
export const retryAfterS = 1;
const statusUnavailable = 503;

/** Sends a refusal, after which the connection is closed. */
export function sendRefusal(res: ServerResponse, status: number, cause: RefusalCause): void {
    const text = JSON.stringify({ outcome: "not-run", reason: cause, error: cause });
    res.writeHead(status, {
        "content-type": "application/json",
        "content-length": String(text.length),
        connection: "close",
        ...(status === statusUnavailable && { "retry-after": String(retryAfterS) }),
    });
    res.end(text);
}
