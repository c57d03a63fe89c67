/**
 * Structured log that never blocks. Lines over the rate limit, or written while the sink's backlog is too long, are
 * dropped and counted. The next line that can be written is preceded by one with that count.
 */
import { EventId, Severity } from "./events.js";
import type { Log, LogFields } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { Timer } from "./timer.js";
import { TokenBucket } from "./token-bucket.js";

/** Destination of the lines, such as standard output. */
export interface LineSink {
    write(text: string): unknown;
    /** Bytes written but not yet consumed by the reader. */
    readonly writableLength: number;
}

/** Options of `LineLog.create`. */
export interface LineLogOptions {
    readonly entry: string;
    readonly sink: LineSink;
    readonly timer: Timer;
    readonly metrics: Metrics;
    /** Minimum severity of the events that are written; info by default. */
    readonly level?: Severity;
    /** Sustained rate limit in lines per second; 300 by default. */
    readonly linesPerSecond?: number;
}

/** Size of the permitted burst, in seconds of the sustained rate. */
const burstSeconds = 5;
/** Backlog of the sink above which lines are dropped. */
const maxBacklogBytes = 256 * 1024;
const severityRanks = { [Severity.Info]: 0, [Severity.Warn]: 1, [Severity.Error]: 2 } as const;

/** A log with a bounded rate and backlog. */
export class LineLog implements Log {
    private readonly bucket: TokenBucket;
    private dropped = 0;

    private constructor(private readonly options: LineLogOptions) {
        const { timer, linesPerSecond = 300 } = options;
        this.bucket = TokenBucket.create({
            now: () => timer.now(),
            perSecond: linesPerSecond,
            burst: linesPerSecond * burstSeconds,
        });
    }

    static create(options: LineLogOptions): LineLog {
        return new LineLog(options);
    }

    write(severity: Severity, event: EventId, fields: LogFields = {}): void {
        const { level = Severity.Info, sink, metrics } = this.options;
        if (severityRanks[severity] < severityRanks[level]) {
            return;
        }
        if (sink.writableLength > maxBacklogBytes || !this.bucket.tryTake()) {
            this.dropped++;
            metrics.count("celerywind_log_lines_dropped_total");
            return;
        }
        if (this.dropped > 0) {
            const { dropped } = this;
            this.dropped = 0;
            this.writeLine(Severity.Warn, EventId.LinesDropped, { lines: dropped });
        }
        this.writeLine(severity, event, fields);
    }

    private writeLine(severity: Severity, event: EventId, fields: LogFields): void {
        const { entry, sink, timer } = this.options;
        const time = new Date(timer.wall()).toISOString();
        sink.write(
            `${
                JSON.stringify({ time, level: severity, event, message: EventId[event], entry, ...fields })
            }\n`,
        );
    }
}
