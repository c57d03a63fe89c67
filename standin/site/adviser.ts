/** The placement adviser of a site in virtual time (PROTOCOL.md, "POST /v1/advise"). */
import type { Adviser } from "../../src/pool/ports.js";
import { PlatformError } from "../../src/process/errors.js";
import { sleep, type Timer } from "../../src/process/timer.js";

const decideMs = 30;
const msPerWorker = 1;
const validMs = 3000;
const maxWorkersPerCall = 100;
const maxWaitingCalls = 32;
/** Time after which a caller gives a call up. */
const callTimeoutMs = 3000;

/** A call that the adviser has received. */
export interface AdviceCall {
    readonly caller: string;
    readonly step: string;
    readonly workers: readonly string[];
}

/** Decides which workers may run a step. */
export class StandinAdviser {
    /** All calls, in the order of their arrival. */
    readonly calls: AdviceCall[] = [];
    /** Calls that were refused because they can never be served, or because too many wait. */
    readonly refusals: string[] = [];
    /** Whether a step may run on a worker; a test may replace it. */
    allows: (step: string, worker: string) => boolean = () => true;
    private readonly freeAt = new Map<string, number>();
    private waiting = 0;

    constructor(private readonly timer: Timer) {}

    /** The adviser as one entry calls it. */
    clientFor(caller: string, timer: Timer): Adviser {
        return { advise: (step, workers) => this.advise({ caller, step, workers }, timer) };
    }

    /** Whether a start may use a ticket for a step on a worker now. */
    isValid(ticket: string | undefined, step: string, worker: string): boolean {
        const [ticketStep, ticketWorker, until] = ticket?.split("/") ?? [];
        return ticketStep === step && ticketWorker === worker && this.timer.now() < Number(until);
    }

    private async advise(call: AdviceCall, timer: Timer) {
        const { caller, step, workers } = call;
        this.calls.push(call);
        if (workers.length > maxWorkersPerCall) {
            return this.refuse(`a call names at most ${maxWorkersPerCall} workers, not ${workers.length}`);
        }
        if (this.waiting >= maxWaitingCalls) {
            return this.refuse(`${maxWaitingCalls} calls are waiting`);
        }
        const now = this.timer.now();
        const doneAt = Math.max(now, this.freeAt.get(caller) ?? 0) + decideMs + msPerWorker * workers.length;
        this.freeAt.set(caller, doneAt);
        this.waiting++;
        this.timer.after(doneAt - now, () => this.waiting--);
        await sleep(timer, Math.min(doneAt - now, callTimeoutMs));
        if (doneAt - now > callTimeoutMs) {
            throw new PlatformError("the adviser did not respond in time");
        }
        const until = this.timer.now() + validMs;
        const allowed = workers.filter(worker => this.allows(step, worker));
        return { tickets: new Map(allowed.map(worker => [worker, `${step}/${worker}/${until}`])), validMs };
    }

    private refuse(reason: string): never {
        this.refusals.push(reason);
        throw new PlatformError(`the adviser refused the call: ${reason}`);
    }
}
