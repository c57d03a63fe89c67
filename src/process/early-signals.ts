/** Keeps signals that arrive while the program still loads; import it before everything else. */

const early: NodeJS.Signals[] = [];

function keep(signal: NodeJS.Signals): void {
    early.push(signal);
}

process.on("SIGTERM", keep);
process.on("SIGHUP", keep);

/** Gives up keeping signals, and returns those that came; call it once the program's own handlers are in place. */
export function takeEarlySignals(): readonly NodeJS.Signals[] {
    process.off("SIGTERM", keep);
    process.off("SIGHUP", keep);
    return early;
}
