/** Command of the daemon: loads the settings, runs one entry of the fleet, and exits after SIGTERM or SIGINT. */
import { Command, Option, runExit } from "clipanion";
import { readFile } from "node:fs/promises";
import { createPlatform } from "./connection/platform/index.js";
import { releaseEarlySignals } from "./daemon-signals.js";
import { Entry } from "./entry.js";
import { ListenError, messageOf } from "./process/errors.js";
import { EventId, Severity } from "./process/events.js";
import { createLog, type Log } from "./process/log.js";
import { Random } from "./process/random.js";
import { readSettingsFile } from "./process/settings-file.js";
import { parseSettings, type Settings } from "./process/settings.js";
import { SystemTimer } from "./process/timer.js";

const exitOk = 0;
const exitFailed = 1;
const exitBadSettings = 2;
const randomSeedLimit = 0x7fffffff;

class DaemonCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "run one entry of the fleet",
        details:
            "Serves callers, operators and peers until SIGTERM, then completes open work and exits with 0.",
        examples: [
            ["Start an entry", "celerywindd --settings celerywind.jsonc"],
            ["Validate a settings file and exit", "celerywindd --settings celerywind.jsonc --check"],
        ],
    });

    settings = Option.String("--settings", { required: true, description: "path of the settings file" });
    check = Option.Boolean("--check", false, { description: "validate the settings and exit" });

    override async execute(): Promise<number> {
        const settings = await loadSettings(this.settings);
        if (settings === undefined) {
            return exitBadSettings;
        }
        if (this.check) {
            this.context.stdout.write(`${this.settings}: ok\n`);
            return exitOk;
        }
        const log = createLog({ entry: settings.vm, level: settings.logLevel as Severity });
        return runEntry(settings, log);
    }
}

async function loadSettings(file: string): Promise<Settings | undefined> {
    try {
        return parseSettings(file, await readSettingsFile(file));
    }
    catch (err) {
        process.stderr.write(`${messageOf(err)}\n`);
        return undefined;
    }
}

async function runEntry(settings: Settings, log: Log): Promise<number> {
    const stopSignal = waitForStopSignal();
    releaseEarlySignals();
    const entry = await createEntry(settings, log);
    process.on(
        "unhandledRejection",
        err => log.write(Severity.Error, EventId.TaskFailed, { err: messageOf(err) }),
    );
    process.on(
        "uncaughtException",
        err => log.write(Severity.Error, EventId.TaskFailed, { err: messageOf(err) }),
    );
    try {
        await entry.start();
    }
    catch (err) {
        const event = err instanceof ListenError ? EventId.ListenFailed : EventId.TaskFailed;
        log.write(Severity.Error, event, { err: messageOf(err) });
        return exitFailed;
    }
    await stopSignal;
    await entry.stop();
    return exitOk;
}

async function createEntry(settings: Settings, log: Log): Promise<Entry> {
    const tls = settings.tls === undefined
        ? undefined
        : { cert: await readFile(settings.tls.certFile), key: await readFile(settings.tls.keyFile) };
    return Entry.create({
        settings,
        platform: await createPlatform(settings),
        timer: SystemTimer.create(),
        random: Random.create(Math.floor(Math.random() * randomSeedLimit)),
        log,
        ...(tls && { tls }),
    });
}

function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}

process.exitCode = undefined;
await runExit(
    { binaryName: "celerywindd", binaryLabel: "celerywind daemon", binaryVersion: "0.1.0" },
    DaemonCommand,
);
process.exit(process.exitCode);
