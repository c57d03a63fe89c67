/** What the placement adviser has said of one step: which workers may run it, and their tickets. */

/** An incarnation of a worker that the adviser is asked about. */
export interface AskedWorker {
    readonly id: string;
    /** Unix time at which the incarnation started, in milliseconds. */
    readonly startedAtMs: number;
}

interface Ticket {
    readonly text: string;
    /** Monotonic time in milliseconds. */
    readonly expiresAt: number;
}

interface WorkerAdvice {
    readonly startedAtMs: number;
    readonly isAllowed: boolean;
}

/** Advice on one step of an occurrence. All times are monotonic, in milliseconds. */
export class StepAdvice {
    /** Time at which it last had open tasks. */
    neededAt = -Infinity;
    /** Time of the last request. */
    requestedAt = -Infinity;
    /** Time before which no request is sent. */
    notBefore = -Infinity;
    isPending = false;
    /** Whether it was logged that no worker may run it. */
    isReported = false;
    private readonly workers = new Map<string, WorkerAdvice>();
    private readonly tickets = new Map<string, Ticket>();
    private valid: ReadonlyMap<string, string> = new Map();
    /** Time from which `valid` has to be made anew. */
    private validUntil = -Infinity;

    private constructor() {}

    static create(): StepAdvice {
        return new StepAdvice();
    }

    /** Number of workers of which it is known whether they may run the step. */
    get knownWorkers(): number {
        return this.workers.size;
    }

    isAllowed(worker: AskedWorker): boolean {
        return this.adviceOn(worker)?.isAllowed === true;
    }

    isDenied(worker: AskedWorker): boolean {
        return this.adviceOn(worker)?.isAllowed === false;
    }

    /** Tickets that are valid at `now`, by worker id. */
    validTickets(now: number): ReadonlyMap<string, string> {
        if (now >= this.validUntil) {
            const current = [...this.tickets].filter(([, { expiresAt }]) => expiresAt > now);
            this.valid = new Map(current.map(([id, { text }]) => [id, text]));
            this.validUntil = Math.min(...current.map(([, { expiresAt }]) => expiresAt), Infinity);
        }
        return this.valid;
    }

    /** Records an answer: of the workers asked about, those with a ticket may run the step. */
    record(asked: readonly AskedWorker[], tickets: ReadonlyMap<string, string>, expiresAt: number): void {
        for (const { id, startedAtMs } of asked) {
            const text = tickets.get(id);
            this.workers.set(id, { startedAtMs, isAllowed: text !== undefined });
            if (text !== undefined) {
                this.tickets.set(id, { text, expiresAt });
            }
        }
        this.validUntil = -Infinity;
    }

    /** Drops all tickets; which workers may run the step stays known. */
    dropTickets(): void {
        this.tickets.clear();
        this.validUntil = -Infinity;
    }

    private adviceOn({ id, startedAtMs }: AskedWorker): WorkerAdvice | undefined {
        const advice = this.workers.get(id);
        return advice?.startedAtMs === startedAtMs ? advice : undefined;
    }
}
