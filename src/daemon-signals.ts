/** Handles signals that arrive while the daemon loads. Import this module before all others. */
import { handleEarlySignals } from "./process/early-signals.js";

/** With this flag exit code 0 means that the settings are valid, so that a signal must not lead to it. */
const checkFlag = "--check";

/** Call this after installing the handlers of the program. */
export const releaseEarlySignals = handleEarlySignals({
    exitOn: process.argv.includes(checkFlag) ? [] : ["SIGTERM", "SIGINT"],
    ignored: [],
});
