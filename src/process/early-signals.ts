/**
 * Buffers signals that arrive while the modules of the program are still loading. Import this module before all others.
 */

const receivedSignals: NodeJS.Signals[] = [];

function record(signal: NodeJS.Signals): void {
    receivedSignals.push(signal);
}

process.on("SIGTERM", record);
process.on("SIGHUP", record);

/** Stops buffering and returns the signals received so far. Call it after installing the handlers of the program. */
export function takeEarlySignals(): readonly NodeJS.Signals[] {
    process.off("SIGTERM", record);
    process.off("SIGHUP", record);
    return receivedSignals;
}
