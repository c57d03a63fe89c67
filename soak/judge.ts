/** Judges what callers saw in a round against the promises that depend on calm or on planned work. */
import { type CallRecord, limitMs } from "./caller.js";
import { type Fault, isPlanned } from "./plan.js";

/** Time after a fault in which its effects are excused, in milliseconds; the site files call it contact time. */
export const contactMs = 4000;
/** A connection that is closed while a request is on its way to it may lose that request. */
const lossSlackMs = 200;
/** Answers in calm may be this much late before it counts, for the machine that plays the round is busy too. */
const lateSlackMs = 500;

/** Options of `judgeCalls`. */
export interface JudgeOptions {
    readonly records: readonly CallRecord[];
    readonly faults: readonly Fault[];
    /** Monotonic time of the beginning of the traffic. */
    readonly startedAt: number;
    /** Ids of jobs whose acceptance was acknowledged, with the monotonic time of that. */
    readonly acceptedAt: ReadonlyMap<string, number>;
}

/** Time from a job's acknowledgement until every entry must know it. */
const visibleMs = 3000;

/** Breaches, each as a sentence. */
export function judgeCalls({ records, faults, startedAt, acceptedAt }: JudgeOptions): readonly string[] {
    const harms = faults.filter(({ kind }) => !isPlanned(kind));
    const breaches: string[] = [];
    for (const { entry, method, job, sentAt, endedAt, result } of records) {
        const at = Math.round(sentAt - startedAt);
        const call = `${at} ms: ${method} of ${job} at ${entry}`;
        const tookMs = endedAt - sentAt;
        const isCalm = harms.every(({ atMs, forMs }) =>
            endedAt - startedAt < atMs || sentAt - startedAt > atMs + forMs + contactMs
        );
        if (isCalm && result.kind === "broken" && tookMs > lossSlackMs) {
            breaches.push(`${call} broke off after ${Math.round(tookMs)} ms in calm (${result.reason})`);
        }
        if (isCalm && result.kind === "answer" && tookMs > limitMs + lateSlackMs) {
            breaches.push(`${call} was answered after ${Math.round(tookMs)} ms in calm`);
        }
        const known = acceptedAt.get(job);
        const isLost = method === "GET" && result.kind === "answer" && result.status === 410;
        if (isLost && known !== undefined && sentAt > known + visibleMs) {
            breaches.push(`${call} is said not to exist, though it was accepted`);
        }
    }
    return breaches;
}
