/** Port numbers on the command line. */
const maxPort = 65_535;
const exitBadFlag = 2;

/** Parses the value of `--port`; ends the program with code 2 when it is not a port number. */
export function parsePortFlag(text: string): number {
    const port = Number(text);
    if (!/^\d+$/.test(text) || port > maxPort) {
        console.error(`--port: found "${text}"; give a port number from 0 to ${maxPort}`);
        process.exit(exitBadFlag);
    }
    return port;
}
