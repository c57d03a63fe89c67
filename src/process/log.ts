/** Structured log: one JSON object per line, with the number and name of the event. */
import winston from "winston";
import { EventId, Severity } from "./events.js";

/** Fields of a log event. They must not contain secrets. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Receives numbered log events. */
export interface Log {
    write(severity: Severity, event: EventId, fields?: LogFields): void;
}

/** Options of `createLog`. */
export interface LogOptions {
    /** Id of the entry, written in each line. */
    readonly entry: string;
    /** Minimum severity of the events that are written; info by default. */
    readonly level?: Severity;
}

/** Creates a log that writes JSON lines to standard error. */
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

/** A log that discards all events, for tests and the demo. */
export const silentLog: Log = { write: () => undefined };
