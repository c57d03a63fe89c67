/** Bounded record of recent requests, from which operators can query the outcome of one. */
import { type Outcome, OutcomeKind } from "./outcome.js";
import type { AdmittedRequest } from "./serve.js";

/** Record of one finished request, as sent to operators. */
export interface RequestTrace {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    /** VMs of the workers that it was sent to, in order. */
    readonly workers: readonly string[];
    readonly outcome: OutcomeKind;
    /** Reason of a refusal or unknown outcome; HTTP status of a response. */
    readonly detail: string;
    readonly ms: number;
}

const maxTraces = 5000;

/** Traces of one entry; beyond the limit, the oldest are dropped. */
export class RequestTraces {
    private readonly finished = new Map<string, RequestTrace>();
    private readonly running = new Map<string, string[]>();

    static create(): RequestTraces {
        return new RequestTraces();
    }

    /** Records that a request is being sent to a worker. */
    recordAttempt(id: string, vm: string): void {
        const workers = this.running.get(id) ?? [];
        workers.push(vm);
        this.running.set(id, workers);
    }

    /** Records the outcome of a request, and how long it took. */
    recordOutcome(req: AdmittedRequest, outcome: Outcome, ms: number): void {
        const workers = this.running.get(req.id) ?? [];
        this.running.delete(req.id);
        const detail = outcome.kind === OutcomeKind.Answered ? String(outcome.status) : outcome.reason;
        const { id, team, queue } = req;
        this.finished.set(id, {
            id,
            team,
            queue,
            workers,
            outcome: outcome.kind,
            detail,
            ms: Math.round(ms),
        });
        if (this.finished.size > maxTraces) {
            const [oldest] = this.finished.keys();
            this.finished.delete(oldest!);
        }
    }

    /** Finds the trace of a finished request; undefined when unknown or dropped. */
    find(id: string): RequestTrace | undefined {
        return this.finished.get(id);
    }
}
