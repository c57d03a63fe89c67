/** Keeps signals that arrive while the program still loads; import it before everything else. */

const receivedSignals: NodeJS.Signals[] = [];

function record(signal: NodeJS.Signals): void {
    receivedSignals.push(signal);
}

process.on("SIGTERM", record);
process.on("SIGHUP", record);

/** Gives up keeping signals, and returns those that came; call it once the program's own handlers are in place. */
export function takeEarlySignals(): readonly NodeJS.Signals[] {
    process.off("SIGTERM", record);
    process.off("SIGHUP", record);
    return receivedSignals;
}
