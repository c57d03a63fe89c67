/** Short memory of recent requests, so that an operator can ask what became of one. */
import { type Outcome, OutcomeKind } from "./outcome.js";
import type { AdmittedRequest } from "./serve.js";

/** What is remembered of one request. */
export interface Trace {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    /** Workers it was sent to, in order. */
    readonly workers: readonly string[];
    readonly outcome: OutcomeKind;
    /** Reason of a refusal or unknown outcome; status of an answer. */
    readonly detail: string;
    readonly ms: number;
}

const maxTraces = 5000;

/** The traces of one entry; the oldest are dropped first. */
export class Traces {
    private readonly finished = new Map<string, Trace>();
    private readonly running = new Map<string, string[]>();

    static create(): Traces {
        return new Traces();
    }

    /** Notes that a request is being sent to a worker. */
    attempt(id: string, vm: string): void {
        const workers = this.running.get(id) ?? [];
        workers.push(vm);
        this.running.set(id, workers);
    }

    /** Notes the end of a request. */
    finish(req: AdmittedRequest, outcome: Outcome, ms: number): void {
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

    /** What is remembered of a request. */
    find(id: string): Trace | undefined {
        return this.finished.get(id);
    }
}
