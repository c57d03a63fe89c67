/** Handles signals that arrive before the program has installed its own handlers. */

const exitOk = 0;

export interface EarlySignalOptions {
    /** Signals that end the process with code 0, as nothing has been started yet. */
    readonly exitOn: readonly NodeJS.Signals[];
    /** Signals without effect. */
    readonly ignored: readonly NodeJS.Signals[];
}

/** Installs the handlers, and returns what removes them; call that after installing the handlers of the program. */
export function handleEarlySignals({ exitOn, ignored }: EarlySignalOptions): () => void {
    const exit = (): void => process.exit(exitOk);
    const ignore = (): void => undefined;
    exitOn.forEach(signal => process.on(signal, exit));
    ignored.forEach(signal => process.on(signal, ignore));
    return () => {
        exitOn.forEach(signal => process.off(signal, exit));
        ignored.forEach(signal => process.off(signal, ignore));
    };
}
