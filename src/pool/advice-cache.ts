/**
 * What the placement adviser has said of steps and workers.
 *
 * Load pattern: a pool of hundreds of workers of which a step may use a few, anywhere in the list, and hundreds of steps that
 * wait. A step's requests name workers of which it knows nothing yet, those with room first, until a worker that it may use has
 * room or all are known. What is known lasts for as long as the worker does, and longer than its ticket.
 */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import { fitsInto, type Resources, timesFitting } from "../process/resources.js";
import type { Timer } from "../process/timer.js";
import type { Adviser } from "./ports.js";
import type { JobEntry, OpenStep, RunRecord } from "./records.js";
import { type AskedWorker, StepAdvice } from "./step-advice.js";

/** Options of `AdviceCache.create`. */
export interface AdviceCacheOptions {
    readonly adviser: Adviser;
    readonly timer: Timer;
    readonly log: Log;
}

/** A step with open tasks. */
export interface WaitingStep {
    readonly entry: JobEntry;
    readonly open: OpenStep;
    readonly workers: AdvisedWorkers;
}

/** Workers of a pool, those alone that have a label if it is required. */
export interface AdvisedWorkers {
    readonly byId: ReadonlyMap<string, AdvisedWorker>;
    /** Largest amount of each resource that any of them has free. */
    readonly largestFree: Resources;
}

/** A worker that a step may use if the adviser allows it. */
export interface AdvisedWorker extends AskedWorker {
    /** Resources that a run could have there now; none if it accepts no runs. */
    readonly free: Resources;
}

/** Workers per request. The adviser's response time grows with each worker. */
const maxWorkersPerRequest = 30;
/** Limit on requests in flight; the adviser processes those of one caller one at a time. */
const maxConcurrentRequests = 8;
/** Pause after a failed request for a step, in milliseconds. */
const retryPauseMs = 500;
/** Tickets count as expired this long before they do, since the start request needs time to arrive. */
const ticketMarginMs = 300;
/** Time for which a step without open tasks is remembered, in milliseconds: until its running tasks have failed or not. */
const retentionMs = 30_000;

/** Advice held by the owner of a domain. */
export class AdviceCache {
    private readonly steps = new Map<string, StepAdvice>();
    private pendingRequests = 0;

    private constructor(private readonly options: AdviceCacheOptions) {}

    static create(options: AdviceCacheOptions): AdviceCache {
        return new AdviceCache(options);
    }

    /** Number of steps on which advice is held. */
    get size(): number {
        return this.steps.size;
    }

    /** Valid tickets for a step, by worker id; undefined if there are none. */
    ticketsFor(entry: JobEntry, occurrence: number, step: number): ReadonlyMap<string, string> | undefined {
        const tickets = this.steps.get(stepKey(entry, occurrence, step))
            ?.validTickets(this.options.timer.now());
        return tickets === undefined || tickets.size === 0 ? undefined : tickets;
    }

    /** Drops the tickets of a run's step after a worker refused one of them. */
    invalidateStep({ entry, position: at }: RunRecord): void {
        const { occurrence, step } = entry.state.tasks.at(at);
        this.steps.get(stepKey(entry, occurrence, step))?.dropTickets();
    }

    /**
     * Requests advice for all steps with open tasks, those first that have waited longest since their last request, and forgets
     * the others in time. `onAnswer` is called when there are new tickets.
     */
    requestMissing(waiting: Iterable<WaitingStep>, onAnswer: () => void): void {
        const now = this.options.timer.now();
        const due: { readonly key: string; readonly advice: StepAdvice; readonly step: WaitingStep }[] = [];
        for (const step of waiting) {
            const key = stepKey(step.entry, step.open.occurrence, step.open.index);
            const advice = this.steps.get(key) ?? StepAdvice.create();
            this.steps.set(key, advice);
            advice.neededAt = now;
            if (!advice.isPending && now >= advice.notBefore) {
                due.push({ key, advice, step });
            }
        }
        due.sort((a, b) => a.advice.requestedAt - b.advice.requestedAt);
        for (const { key, advice, step } of due) {
            if (this.pendingRequests >= maxConcurrentRequests) {
                break;
            }
            const asked = this.workersToAsk(advice, step, now);
            if (asked.length > 0) {
                void this.request(key, advice, asked, onAnswer);
            }
            else {
                this.reportIfNoneAllowed(key, advice, step);
            }
        }
        for (const [key, { isPending, neededAt }] of this.steps) {
            if (!isPending && now - neededAt > retentionMs) {
                this.steps.delete(key);
            }
        }
    }

    /** The workers to name in the next request for a step; none if it needs no request now. */
    private workersToAsk(
        advice: StepAdvice,
        { open, workers }: WaitingStep,
        now: number,
    ): readonly AdvisedWorker[] {
        const valid = advice.validTickets(now);
        const { step, needs, count } = open;
        const slotsOf = ({ free }: AdvisedWorker): number =>
            Math.min(timesFitting(needs, free), step.perWorker > 0 ? step.perWorker : Infinity);
        let missing = step.isGang ? count : 1;
        for (const id of valid.keys()) {
            const worker = workers.byId.get(id);
            missing -= worker === undefined ? 0 : slotsOf(worker);
        }
        if (missing <= 0 || (valid.size > 0 && !fitsInto(needs, workers.largestFree))) {
            return [];
        }
        const useful = [...workers.byId.values()].filter(worker =>
            !valid.has(worker.id) && !advice.isDenied(worker)
        );
        const withRoom = useful.filter(worker => slotsOf(worker) > 0);
        const candidates = valid.size > 0 ? withRoom : [...new Set([...withRoom, ...useful])];
        // Workers that it may use only lack a new ticket; nothing is known of the others.
        return [
            ...candidates.filter(worker => advice.isAllowed(worker)),
            ...candidates.filter(worker => !advice.isAllowed(worker)),
        ].slice(0, maxWorkersPerRequest);
    }

    private async request(
        key: string,
        advice: StepAdvice,
        asked: readonly AdvisedWorker[],
        onAnswer: () => void,
    ): Promise<void> {
        const { adviser, timer, log } = this.options;
        this.pendingRequests++;
        advice.isPending = true;
        advice.requestedAt = timer.now();
        try {
            const { tickets, validMs } = await adviser.advise(key, asked.map(({ id }) => id));
            advice.record(asked, tickets, timer.now() + validMs - ticketMarginMs);
            log.write(Severity.Info, EventId.AdviceReceived, {
                step: key,
                asked: asked.length,
                allowed: tickets.size,
                known: advice.knownWorkers,
                ms: Math.round(timer.now() - advice.requestedAt),
            });
            onAnswer();
        }
        catch (err) {
            advice.notBefore = timer.now() + retryPauseMs;
            log.write(Severity.Warn, EventId.AdviceMissing, { step: key, err: messageOf(err) });
        }
        finally {
            this.pendingRequests--;
            advice.isPending = false;
        }
    }

    /** Logs once that a step waits although the adviser was asked about all workers, since it allows none of them. */
    private reportIfNoneAllowed(step: string, advice: StepAdvice, { workers }: WaitingStep): void {
        const { byId } = workers;
        const allDenied = byId.size > 0 && advice.knownWorkers >= byId.size
            && [...byId.values()].every(worker => advice.isDenied(worker));
        if (allDenied && !advice.isReported) {
            this.options.log.write(Severity.Warn, EventId.StepNotAllowed, { step, workers: byId.size });
        }
        advice.isReported = allDenied;
    }
}

function stepKey(entry: JobEntry, occurrence: number, step: number): string {
    return `${entry.job.id}.${occurrence}.${step}`;
}
