/** Tickets of the placement adviser: asked for once a step, renewed when they run out. */
import { taskName } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Timer } from "../process/timer.js";
import type { JobEntry, RunRecord } from "./job-book.js";
import type { Adviser } from "./ports.js";

/** Options of `AdviceBook.create`. */
export interface AdviceCacheOptions {
    readonly adviser: Adviser;
    readonly timer: Timer;
    readonly log: Log;
}

interface CachedTickets {
    readonly tickets: ReadonlyMap<string, string>;
    readonly expiresAt: number;
}

/** Workers named in one question; each costs the adviser time. */
const maxWorkersPerRequest = 30;
/** Most questions under way; the adviser answers one at a time for each caller. */
const maxConcurrentRequests = 8;
const requestIntervalMs = 500;
/** Tickets are not used in their last moments, since the order needs time to arrive. */
const ticketMarginMs = 300;

/** Advice known to the owner of a domain. */
export class AdviceCache {
    private readonly ticketsByStep = new Map<string, CachedTickets>();
    private readonly requestedAtByStep = new Map<string, number>();
    private readonly ticketByRun = new Map<string, string>();
    private pendingRequests = 0;

    private constructor(private readonly options: AdviceCacheOptions) {}

    static create(options: AdviceCacheOptions): AdviceCache {
        return new AdviceCache(options);
    }

    /** Valid tickets for a step, by worker; undefined while there are none. */
    ticketsFor(entry: JobEntry, occurrence: number, step: number): ReadonlyMap<string, string> | undefined {
        const known = this.ticketsByStep.get(stepKey(entry, occurrence, step));
        return known !== undefined && known.expiresAt > this.options.timer.now() ? known.tickets : undefined;
    }

    /** Remembers the ticket of a run until its start is sent. */
    setRunTicket(record: RunRecord, ticket: string): void {
        this.ticketByRun.set(runKey(record), ticket);
    }

    /** Ticket of a run, if its queue needs one. */
    takeRunTicket(record: RunRecord): string | undefined {
        const ticket = this.ticketByRun.get(runKey(record));
        this.ticketByRun.delete(runKey(record));
        return ticket;
    }

    /** Drops the tickets of a run's step, one of which was refused. */
    invalidateStep({ entry, at }: RunRecord): void {
        const { occurrence, step } = entry.state.tasks[at]!;
        this.ticketsByStep.delete(stepKey(entry, occurrence, step));
    }

    /** Asks for the steps of these waiting tasks, unless tickets are known or were just asked for. */
    requestMissing(
        entry: JobEntry,
        open: readonly number[],
        workers: readonly string[],
        onAnswer: () => void,
    ): void {
        const now = this.options.timer.now();
        for (const at of open) {
            const { occurrence, step } = entry.state.tasks[at]!;
            const name = stepKey(entry, occurrence, step);
            const isFresh = (this.ticketsByStep.get(name)?.expiresAt ?? -Infinity) > now;
            const isAsked = now - (this.requestedAtByStep.get(name) ?? -Infinity) < requestIntervalMs;
            if (!isFresh && !isAsked && this.pendingRequests < maxConcurrentRequests && workers.length > 0) {
                this.requestedAtByStep.set(name, now);
                void this.requestTickets(name, workers.slice(0, maxWorkersPerRequest), onAnswer);
            }
        }
    }

    private async requestTickets(
        name: string,
        workers: readonly string[],
        onAnswer: () => void,
    ): Promise<void> {
        const { adviser, timer, log } = this.options;
        this.pendingRequests++;
        try {
            const { tickets, validMs } = await adviser.advise(name, workers);
            this.ticketsByStep.set(name, { tickets, expiresAt: timer.now() + validMs - ticketMarginMs });
            onAnswer();
        }
        catch (err) {
            log.write(Severity.Warn, EventId.AdviceMissing, { step: name, err: messageOf(err) });
        }
        finally {
            this.pendingRequests--;
        }
    }
}

function stepKey(entry: JobEntry, occurrence: number, step: number): string {
    return `${entry.job.id}.${occurrence}.${step}`;
}

function runKey({ entry, at, run }: RunRecord): string {
    const { occurrence, step, index } = entry.state.tasks[at]!;
    return `${taskName({ job: entry.job.id, occurrence, step, index })}/${run}`;
}
