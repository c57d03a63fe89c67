/** Counts and logs what a listener refuses and closes at its limits. */
import { EventId, Severity } from "../../process/events.js";
import { type Log, silentLog } from "../../process/log.js";
import { Metrics } from "../../process/metrics.js";

/** Why a request was refused before anything of it was passed on. */
export enum RefusalCause {
    /** The limit on requests is reached. */
    Requests = "requests",
    /** The limit on bytes held is reached, and nothing that behaves worse holds any. */
    HeldBytes = "held-bytes",
    /** Its body arrived too slowly while bytes or connections were short. */
    Slow = "slow",
    /** The limit on connections is reached, and all of them are busy. */
    Connections = "connections",
    TooLarge = "too-large",
    Malformed = "malformed",
}

/** Why a connection was closed without an answer. */
export enum CloseCause {
    /** The limit on connections was reached, and this one was idle, or slower than all others. */
    Connections = "connections",
    HeldBytes = "held-bytes",
    /** Its answers were not read. */
    UnreadAnswer = "unread-answer",
}

/** Figures of a listener for the log line. */
export interface ListenerFigures {
    readonly connections: number;
    readonly requests: number;
    readonly heldBytes: number;
}

/** Options of `LimitReport.create`. */
export interface LimitReportOptions {
    /** Name of the listener in the settings. */
    readonly listener: string;
    readonly log?: Log;
    readonly metrics?: Metrics;
}

const remedy =
    "find the callers that send or read too slowly, or too much at once; raise callerLimits only with the heap";

/** Report of one listener. */
export class LimitReport {
    private readonly refused = new Map<RefusalCause, number>();
    private readonly closed = new Map<CloseCause, number>();
    private readonly log: Log;
    private readonly metrics: Metrics;
    private readonly listener: string;

    private constructor({ listener, log = silentLog, metrics = Metrics.create() }: LimitReportOptions) {
        this.listener = listener;
        this.log = log;
        this.metrics = metrics;
    }

    static create(options: LimitReportOptions): LimitReport {
        return new LimitReport(options);
    }

    recordRefusal(reason: RefusalCause): void {
        this.metrics.count("celerywind_caller_refusals_total", { listener: this.listener, reason });
        this.refused.set(reason, (this.refused.get(reason) ?? 0) + 1);
    }

    recordClose(reason: CloseCause): void {
        this.metrics.count("celerywind_caller_connections_closed_total", { listener: this.listener, reason });
        this.closed.set(reason, (this.closed.get(reason) ?? 0) + 1);
    }

    recordFault(err: unknown): void {
        const text = err instanceof Error ? err.stack ?? err.message : String(err);
        this.log.write(Severity.Error, EventId.TaskFailed, { task: this.listener, err: text });
    }

    /** Writes one line about what was recorded since the last call, if anything was. */
    flush(figures: ListenerFigures): void {
        if (this.refused.size + this.closed.size === 0) {
            return;
        }
        this.log.write(Severity.Warn, EventId.CallersLimited, {
            listener: this.listener,
            refused: listCounts(this.refused),
            closed: listCounts(this.closed),
            ...figures,
            remedy,
        });
        this.refused.clear();
        this.closed.clear();
    }

    /** Registers gauges of what the listener holds. */
    registerGauges(figures: () => ListenerFigures): void {
        const labels = { listener: this.listener };
        this.metrics.gauge("celerywind_caller_connections", labels, () => figures().connections);
        this.metrics.gauge("celerywind_caller_requests", labels, () => figures().requests);
        this.metrics.gauge("celerywind_caller_held_bytes", labels, () => figures().heldBytes);
    }
}

/** Counts as text, such as `too-large 3, slow 1`. */
function listCounts(counts: ReadonlyMap<string, number>): string {
    return [...counts].map(([cause, count]) => `${cause} ${count}`).join(", ");
}
