/**
 * Structured log on standard output that never blocks: lines beyond a rate, or while the reader is behind, are
 * dropped and counted, and the count is written once there is room again.
 */
import { EventId, Severity } from "./events.js";
import type { Log, LogFields } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { Timer } from "./timer.js";
import { TokenBucket } from "./token-bucket.js";

/** Where lines go. */
export interface LineSink {
    write(text: string): unknown;
    /** Bytes that were written and not yet taken. */
    readonly writableLength: number;
}

/** Options of `LineLog.create`. */
export interface LineLogOptions {
    readonly entry: string;
    readonly sink: LineSink;
    readonly timer: Timer;
    readonly metrics: Metrics;
    /** Least severity that is written. */
    readonly level?: Severity;
    /** Lines a second that are written on the long run. */
    readonly linesPerSecond?: number;
}

/** Lines that may come at once. */
const burstSeconds = 5;
/** Bytes that may wait for the reader. */
const maxBacklogBytes = 256 * 1024;
const severityRanks = { [Severity.Info]: 0, [Severity.Warn]: 1, [Severity.Error]: 2 } as const;

/** A bounded log. */
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
