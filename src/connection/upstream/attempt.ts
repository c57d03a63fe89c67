/** Result of sending one request to one worker, classified by what is known about its execution. */

/** What is known about the execution of a request after one attempt. */
export enum AttemptKind {
    /** The complete answer arrived. */
    Completed = "whole",
    /** The worker reported that it did not run the request. */
    Refused = "refused",
    /** No connection was established, so no byte can have reached the worker. */
    NotSent = "not-sent",
    /** The connection failed or the answer was truncated or invalid; the request may have run. */
    Interrupted = "broken",
    /** No complete answer arrived in time; the request may have run, or may still be running. */
    TimedOut = "timed-out",
}

/** Header values by name in lower case. */
export type HeaderList = Readonly<Record<string, string>>;

/** Result of one attempt; `cause` is a message for logs. */
export type AttemptResult =
    | {
        readonly kind: AttemptKind.Completed;
        readonly status: number;
        readonly headers: HeaderList;
        readonly body: Buffer;
    }
    | { readonly kind: Exclude<AttemptKind, AttemptKind.Completed>; readonly cause: string };

/** A request as sent to a worker. */
export interface UpstreamRequest {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly contentType: string;
    readonly body: Buffer;
    /** Whether repeating the request has no further effect; only such requests are sent on reused connections. */
    readonly idempotent: boolean;
}
