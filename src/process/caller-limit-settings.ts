/** Schema of the limits on what callers can make a listener hold. */
import { z } from "zod";

const count = z.int({ error: "give a whole number from 1" }).min(1);

/** Each limit that is left out is derived from the heap of the process, see src/connection/caller/limits.ts. */
export const callerLimitsSchema = z.strictObject({
    /** Open connections; at the limit, a new one takes the place of one that is idle or slow. */
    connections: count.optional(),
    /** Requests handled at once, over all connections. */
    requests: count.optional(),
    /** Requests of one connection handled at once. */
    requestsPerConnection: count.optional(),
    /** Bytes held of requests that are not answered, over all connections. */
    heldBytes: count.optional(),
    /** Rate expected of callers that send a body or read an answer, in bytes per second. */
    minBytesPerS: count.optional(),
    /** Time by which a caller may fall behind that rate, in milliseconds. */
    graceMs: count.optional(),
}).prefault({});
