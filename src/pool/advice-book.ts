/** Tickets of the placement adviser: asked for once a step, renewed when they run out. */
import { taskName } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Timer } from "../process/timer.js";
import type { JobEntry, RunRecord } from "./job-registry.js";
import type { Adviser } from "./ports.js";

/** Options of `AdviceBook.create`. */
export interface AdviceBookOptions {
    readonly adviser: Adviser;
    readonly timer: Timer;
    readonly log: Log;
}

interface Known {
    readonly tickets: ReadonlyMap<string, string>;
    readonly until: number;
}

/** Workers named in one question; each costs the adviser time. */
const workersAsked = 30;
/** Most questions under way; the adviser answers one at a time for each caller. */
const questionsAtOnce = 8;
const retryMs = 500;
/** Tickets are not used in their last moments, since the order needs time to arrive. */
const ticketMarginMs = 300;

/** Advice known to the owner of a domain. */
export class AdviceBook {
    private readonly known = new Map<string, Known>();
    private readonly asked = new Map<string, number>();
    private readonly used = new Map<string, string>();
    private underWay = 0;

    private constructor(private readonly options: AdviceBookOptions) {}

    static create(options: AdviceBookOptions): AdviceBook {
        return new AdviceBook(options);
    }

    /** Valid tickets for a step, by worker; undefined while there are none. */
    ticketsFor(entry: JobEntry, occurrence: number, step: number): ReadonlyMap<string, string> | undefined {
        const known = this.known.get(stepName(entry, occurrence, step));
        return known !== undefined && known.until > this.options.timer.now() ? known.tickets : undefined;
    }

    /** Remembers the ticket of a run until its start is sent. */
    note(record: RunRecord, ticket: string): void {
        this.used.set(runKey(record), ticket);
    }

    /** Ticket of a run, if its queue needs one. */
    ticketOf(record: RunRecord): string | undefined {
        const ticket = this.used.get(runKey(record));
        this.used.delete(runKey(record));
        return ticket;
    }

    /** Drops the tickets of a run's step, one of which was refused. */
    forget({ entry, position: at }: RunRecord): void {
        const { occurrence, step } = entry.state.tasks[at]!;
        this.known.delete(stepName(entry, occurrence, step));
    }

    /** Asks for the steps of these waiting tasks, unless tickets are known or were just asked for. */
    ask(entry: JobEntry, open: readonly number[], workers: readonly string[], onAnswer: () => void): void {
        const now = this.options.timer.now();
        for (const at of open) {
            const { occurrence, step } = entry.state.tasks[at]!;
            const name = stepName(entry, occurrence, step);
            const isFresh = (this.known.get(name)?.until ?? -Infinity) > now;
            const isAsked = now - (this.asked.get(name) ?? -Infinity) < retryMs;
            if (!isFresh && !isAsked && this.underWay < questionsAtOnce && workers.length > 0) {
                this.asked.set(name, now);
                void this.question(name, workers.slice(0, workersAsked), onAnswer);
            }
        }
    }

    private async question(name: string, workers: readonly string[], onAnswer: () => void): Promise<void> {
        const { adviser, timer, log } = this.options;
        this.underWay++;
        try {
            const { tickets, validMs } = await adviser.advise(name, workers);
            this.known.set(name, { tickets, until: timer.now() + validMs - ticketMarginMs });
            onAnswer();
        }
        catch (err) {
            log.write(Severity.Warn, EventId.AdviceMissing, { step: name, err: messageOf(err) });
        }
        finally {
            this.underWay--;
        }
    }
}

function stepName(entry: JobEntry, occurrence: number, step: number): string {
    return `${entry.job.id}.${occurrence}.${step}`;
}

function runKey({ entry, position: at, run }: RunRecord): string {
    const { occurrence, step, index } = entry.state.tasks[at]!;
    return `${taskName({ job: entry.job.id, occurrence, step, index })}/${run}`;
}
