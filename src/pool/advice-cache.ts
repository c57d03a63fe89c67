/** Cache of tickets from the placement adviser: one request per step, repeated when the tickets expire. */
import { taskName } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Timer } from "../process/timer.js";
import type { Adviser } from "./ports.js";
import type { JobEntry, RunRecord } from "./records.js";

/** Options of `AdviceCache.create`. */
export interface AdviceCacheOptions {
    readonly adviser: Adviser;
    readonly timer: Timer;
    readonly log: Log;
}

interface CachedTickets {
    readonly tickets: ReadonlyMap<string, string>;
    readonly expiresAt: number;
}

/** Workers per request. The adviser's response time grows with each worker. */
const maxWorkersPerRequest = 30;
/** Limit on requests in flight; the adviser processes those of one caller one at a time. */
const maxConcurrentRequests = 8;
/** Least interval between two requests for the same step. */
const requestIntervalMs = 500;
/** Tickets count as expired this long before they do, since the start request needs time to arrive. */
const ticketMarginMs = 300;

/** Tickets held by the owner of a domain. */
export class AdviceCache {
    private readonly ticketsByStep = new Map<string, CachedTickets>();
    private readonly requestedAtByStep = new Map<string, number>();
    private readonly ticketByRun = new Map<string, string>();
    private pendingRequests = 0;

    private constructor(private readonly options: AdviceCacheOptions) {}

    static create(options: AdviceCacheOptions): AdviceCache {
        return new AdviceCache(options);
    }

    /** Valid tickets for a step, by worker id; undefined if none are cached. */
    ticketsFor(entry: JobEntry, occurrence: number, step: number): ReadonlyMap<string, string> | undefined {
        const cached = this.ticketsByStep.get(stepKey(entry, occurrence, step));
        return cached !== undefined && cached.expiresAt > this.options.timer.now()
            ? cached.tickets
            : undefined;
    }

    /** Keeps the ticket of a run until its start request is sent. */
    setRunTicket(record: RunRecord, ticket: string): void {
        this.ticketByRun.set(runKey(record), ticket);
    }

    /** Removes and returns the ticket of a run; undefined if its queue needs none. */
    takeRunTicket(record: RunRecord): string | undefined {
        const ticket = this.ticketByRun.get(runKey(record));
        this.ticketByRun.delete(runKey(record));
        return ticket;
    }

    /** Drops the tickets of a run's step after a worker refused one of them. */
    invalidateStep({ entry, position: at }: RunRecord): void {
        const { occurrence, step } = entry.state.tasks[at]!;
        this.ticketsByStep.delete(stepKey(entry, occurrence, step));
    }

    /** Requests tickets for the steps of waiting tasks, except steps with valid tickets or a recent request. */
    requestMissing(
        entry: JobEntry,
        openTaskIndexes: readonly number[],
        workers: readonly string[],
        onAnswer: () => void,
    ): void {
        const now = this.options.timer.now();
        for (const taskIndex of openTaskIndexes) {
            const { occurrence, step } = entry.state.tasks[taskIndex]!;
            const key = stepKey(entry, occurrence, step);
            const isValid = (this.ticketsByStep.get(key)?.expiresAt ?? -Infinity) > now;
            const isRequested = now - (this.requestedAtByStep.get(key) ?? -Infinity) < requestIntervalMs;
            if (
                !isValid && !isRequested && this.pendingRequests < maxConcurrentRequests && workers.length > 0
            ) {
                this.requestedAtByStep.set(key, now);
                void this.requestTickets(key, workers.slice(0, maxWorkersPerRequest), onAnswer);
            }
        }
    }

    private async requestTickets(
        key: string,
        workers: readonly string[],
        onAnswer: () => void,
    ): Promise<void> {
        const { adviser, timer, log } = this.options;
        this.pendingRequests++;
        try {
            const { tickets, validMs } = await adviser.advise(key, workers);
            this.ticketsByStep.set(key, { tickets, expiresAt: timer.now() + validMs - ticketMarginMs });
            onAnswer();
        }
        catch (err) {
            log.write(Severity.Warn, EventId.AdviceMissing, { step: key, err: messageOf(err) });
        }
        finally {
            this.pendingRequests--;
        }
    }
}

function stepKey(entry: JobEntry, occurrence: number, step: number): string {
    return `${entry.job.id}.${occurrence}.${step}`;
}

function runKey({ entry, position: at, run }: RunRecord): string {
    const { occurrence, step, index } = entry.state.tasks[at]!;
    return `${taskName({ job: entry.job.id, occurrence, step, index })}/${run}`;
}
