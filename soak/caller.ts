/** A caller with one job: hands it in until it is told what becomes of it, follows it, and may cancel it. */
import { setTimeout as pause } from "node:timers/promises";
import { Agent, request } from "undici";
import { messageOf } from "../src/process/errors.js";
import type { Random } from "../src/process/random.js";

/** An entry as callers know it. */
export interface Front {
    readonly entry: string;
    readonly address: string;
}

/** How one call ended. */
export type CallResult =
    | { readonly kind: "answer"; readonly status: number; readonly body: Record<string, unknown> }
    | { readonly kind: "broken"; readonly reason: string };

/** One call as the caller saw it; times are monotonic, in milliseconds. */
export interface CallRecord {
    readonly entry: string;
    readonly method: string;
    readonly job: string;
    readonly sentAt: number;
    readonly endedAt: number;
    readonly result: CallResult;
}

/** What callers know about a job. */
export enum Acceptance {
    /** It was never acknowledged, and some attempts had no answer. */
    Unknown = "unknown",
    Accepted = "accepted",
    /** Every attempt was answered by a refusal. */
    Refused = "refused",
}

/** Time in which callers want an answer, in milliseconds. */
export const limitMs = 3000;
const attempts = 10;
const retryMs = 250;
const host = "jobs.example";

/** Calls that share connections and a record. */
export class CallerPool {
    readonly records: CallRecord[] = [];
    private readonly agent = new Agent({ connections: 8, pipelining: 1 });

    private constructor(readonly fronts: readonly Front[], private readonly random: Random) {}

    static create(fronts: readonly Front[], random: Random): CallerPool {
        return new CallerPool(fronts, random);
    }

    /** Any entry. */
    pick(): Front {
        return this.random.pick(this.fronts);
    }

    async call(
        front: Front,
        method: "GET" | "POST" | "DELETE",
        job: string,
        body?: string,
    ): Promise<CallResult> {
        const sentAt = performance.now();
        const result = await this.send(front, method, `/open/${job}`, body);
        this.records.push({ entry: front.entry, method, job, sentAt, endedAt: performance.now(), result });
        return result;
    }

    /** Hands a job in, sometimes at two entries at once, until it is accepted or the attempts are used up. */
    async handIn(job: string, body: string): Promise<Acceptance> {
        let wasEverUnclear = false;
        for (let i = 0; i < attempts; i++) {
            const fronts = this.random.chance(0.2) ? [this.pick(), this.pick()] : [this.pick()];
            const results = await Promise.all(fronts.map(front => this.call(front, "POST", job, body)));
            if (results.some(result => statusOf(result) === 200)) {
                return Acceptance.Accepted;
            }
            wasEverUnclear ||= results.some(result => ![429, 503].includes(statusOf(result)));
            await pause(retryMs * (1 + this.random.fraction()));
        }
        return wasEverUnclear ? Acceptance.Unknown : Acceptance.Refused;
    }

    /** Cancels a job until that is acknowledged; false when no attempt was. */
    async cancel(job: string): Promise<boolean> {
        for (let i = 0; i < attempts; i++) {
            const status = statusOf(await this.call(this.pick(), "DELETE", job));
            if (status === 200) {
                return true;
            }
            await pause(retryMs);
        }
        return false;
    }

    /** State of a job as an entry shows it, or why it is not known. */
    async stateAt(front: Front, job: string): Promise<string> {
        const result = await this.call(front, "GET", job);
        if (result.kind === "broken") {
            return `broken: ${result.reason}`;
        }
        return result.status === 200 ? String(result.body["state"]) : `status ${result.status}`;
    }

    /** Ends all connections. */
    async close(): Promise<void> {
        await this.agent.destroy();
    }

    private async send(
        { address }: Front,
        method: "GET" | "POST" | "DELETE",
        path: string,
        body: string | undefined,
    ): Promise<CallResult> {
        try {
            const res = await request(`http://${address}${path}`, {
                method,
                headers: { host },
                dispatcher: this.agent,
                signal: AbortSignal.timeout(limitMs * 1.2),
                ...(body !== undefined && { body }),
            });
            const text = await res.body.text();
            return {
                kind: "answer",
                status: res.statusCode,
                body: JSON.parse(text) as Record<string, unknown>,
            };
        }
        catch (err) {
            return { kind: "broken", reason: messageOf(err) };
        }
    }
}

/** Status of an answer; 0 for a call that broke off. */
export function statusOf(result: CallResult): number {
    return result.kind === "answer" ? result.status : 0;
}
