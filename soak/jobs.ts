/** Jobs of a round and the lists that name their queue: form on the wire, and what became of jobs handed in. */
import type { JobSpec } from "../src/job/index.js";
import { Acceptance } from "./caller.js";

/** A job that a caller has handed in. */
export interface Handed {
    readonly id: string;
    readonly isService: boolean;
    acceptance: Acceptance;
    /** Monotonic time of the acknowledgement, in milliseconds. */
    acceptedAt: number;
    isCancelled: boolean;
}

const idDigits = 16;

export function idOf(number: number): string {
    return number.toString(16).padStart(idDigits, "0");
}

export function isAccepted({ acceptance }: Handed): boolean {
    return acceptance === Acceptance.Accepted;
}

/** Whether a job needs nothing more in a state that an entry shows. */
export function isSettled({ isCancelled, isService }: Handed, state: string): boolean {
    return state === "succeeded" || isCancelled && state === "cancelled" || isService && state === "running";
}

/** Body of the call that hands a job in. */
export function encodeJob({ payload, steps }: JobSpec): string {
    return JSON.stringify({
        spec: payload,
        steps: steps.map(step => ({
            count: step.tasks,
            cpu: step.needs.cpu,
            "mem-mb": step.needs.memory,
            "estimate-ms": step.estimateMs,
            after: step.after,
            "long-running": step.isService,
            "max-per-server": step.perWorker,
        })),
    });
}

/** One version of the operators' lists; each has another key. */
export function listsOf(version: number): unknown {
    return {
        version,
        routes: [{
            name: "r1",
            host: "jobs.example",
            "path-prefix": "/open/",
            service: "bench",
            anonymous: true,
        }],
        services: [{ name: "bench", "admission-check": true }],
        tenants: [{ name: "t1", "api-keys": [`k${version + 1}`], weight: 5 }],
    };
}
