/**
 * Handles signals that arrive before the program has installed its own handlers: SIGTERM ends the process with code 0, as
 * nothing has been started yet, and SIGHUP has no effect. Import this module before all others.
 */

const exitOk = 0;

function exit(): void {
    process.exit(exitOk);
}

function ignore(): void {
    // The settings are read after this.
}

process.on("SIGTERM", exit);
process.on("SIGHUP", ignore);

/** Removes the handlers of this module. Call it after installing the handlers of the program. */
export function releaseEarlySignals(): void {
    process.off("SIGTERM", exit);
    process.off("SIGHUP", ignore);
}
