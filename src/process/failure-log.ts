/** Log of the failures of an operation that is repeated until it succeeds. */
import { CelerywindError, messageOf } from "./errors.js";
import { EventId, Severity } from "./events.js";
import type { Log } from "./log.js";

/** Options of `FailureLog.create`. */
export interface FailureLogOptions {
    readonly log: Log;
    /** Name of the operation in log lines. */
    readonly source: string;
}

/**
 * Logs the first failure of a series and its end. An error that celerywind does not throw itself is a defect, not an
 * absent store, and is logged as such whenever its message changes.
 */
export class FailureLog {
    private failureCount = 0;
    private lastDefect = "";

    private constructor(private readonly options: FailureLogOptions) {}

    static create(options: FailureLogOptions): FailureLog {
        return new FailureLog(options);
    }

    recordFailure(err: unknown): void {
        const { log, source } = this.options;
        this.failureCount++;
        if (!(err instanceof CelerywindError)) {
            const defect = err instanceof Error ? err.stack ?? err.message : String(err);
            if (defect !== this.lastDefect) {
                this.lastDefect = defect;
                log.write(Severity.Error, EventId.TaskFailed, { task: source, err: defect });
            }
        }
        else if (this.failureCount === 1) {
            log.write(Severity.Warn, EventId.StoreUnavailable, { source, err: messageOf(err) });
        }
    }

    recordSuccess(): void {
        if (this.failureCount > 0) {
            const { log, source } = this.options;
            log.write(Severity.Info, EventId.StoreRecovered, { source, failures: this.failureCount });
            this.failureCount = 0;
            this.lastDefect = "";
        }
    }
}
