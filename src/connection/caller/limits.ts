/** Limits on what callers can make a listener hold. */
import { getHeapStatistics } from "node:v8";

/** Limits of one listener, over all of its connections unless stated otherwise. */
export interface CallerLimits {
    /** Open connections. */
    readonly connections: number;
    /** Requests whose handling has begun and not ended. */
    readonly requests: number;
    /** Requests of one connection that are handled at once; what it sends ahead of them waits unread. */
    readonly requestsPerConnection: number;
    /** Bytes held of requests that are not answered, and of answers that are not sent. */
    readonly heldBytes: number;
    /** Rate at which callers are expected to send a body and to read an answer, in bytes per second. */
    readonly minBytesPerS: number;
    /** Time by which a caller may fall behind that rate, in milliseconds. */
    readonly graceMs: number;
}

/** Limits that the settings give; each replaces the default. */
export type CallerLimitSettings = { readonly [K in keyof CallerLimits]?: CallerLimits[K] | undefined };

const kilobyte = 1024;
/** Heap for each connection: an open one takes about 10 KB, and the process needs the heap for its work, too. */
const heapBytesPerConnection = 80 * kilobyte;
/** Heap for each request: a submission of 4 KB takes about 40 KB until the store has answered. */
const heapBytesPerRequest = 128 * kilobyte;
/** Part of the heap for bytes held; a body that is parsed takes a multiple of its size. */
const heldHeapFraction = 1 / 20;
const mostConnections = 4096;
const defaultRequestsPerConnection = 32;
const defaultMinBytesPerS = 16 * kilobyte;
const defaultGraceMs = 5000;

/** Options of `createCallerLimits`. */
export interface CallerLimitOptions {
    /** Limits in place of the defaults. */
    readonly settings?: CallerLimitSettings;
    /** Largest body that the listener accepts, in bytes; one of them fits whatever the heap is. */
    readonly largestBodyBytes?: number;
    /** Size to which the heap of the process may grow, in bytes. */
    readonly heapBytes?: number;
}

/** Creates the limits of a listener. */
export function createCallerLimits(
    { settings = {}, largestBodyBytes = 0, heapBytes = getHeapStatistics().heap_size_limit }:
        CallerLimitOptions,
): CallerLimits {
    return {
        connections: settings.connections
            ?? Math.min(mostConnections, Math.floor(heapBytes / heapBytesPerConnection)),
        requests: settings.requests ?? Math.floor(heapBytes / heapBytesPerRequest),
        requestsPerConnection: settings.requestsPerConnection ?? defaultRequestsPerConnection,
        heldBytes: settings.heldBytes ?? Math.max(largestBodyBytes, Math.floor(heapBytes * heldHeapFraction)),
        minBytesPerS: settings.minBytesPerS ?? defaultMinBytesPerS,
        graceMs: settings.graceMs ?? defaultGraceMs,
    };
}
