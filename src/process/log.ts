/** Structured log: one JSON object a line, each with the number and name of its event. */
import winston from "winston";
import { EventId, Severity } from "./events.js";

/** Fields of a log event; secrets never appear here. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Accepts numbered events. */
export interface Log {
    write(severity: Severity, event: EventId, fields?: LogFields): void;
}

/** Options of `createLog`. */
export interface LogOptions {
    /** Identity of the entry, repeated in each line. */
    readonly entry: string;
    /** Least severity that is written. */
    readonly level?: Severity;
}

/** A log that writes JSON lines to standard error. */
export function createLog({ entry, level = Severity.Info }: LogOptions): Log {
    const logger = winston.createLogger({
        level,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info"] })],
    });
    return {
        write(severity, event, fields = {}) {
            logger.log(severity, EventId[event], { event, entry, ...fields });
        },
    };
}

/** A log that drops everything; for tests and the demonstration. */
export const silentLog: Log = { write: () => undefined };
