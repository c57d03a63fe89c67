import { Builtins, Cli } from "clipanion";
import { ExplainCommand } from "./explain.js";
import { KeysGiveCommand } from "./keys-give.js";
import { KeysListCommand } from "./keys-list.js";
import { KeysWithdrawCommand } from "./keys-withdraw.js";
import { ListsApplyCommand } from "./lists-apply.js";
import { ListsCheckCommand } from "./lists-check.js";
import { ListsDiffCommand } from "./lists-diff.js";
import { StatusCommand } from "./status.js";
import { ZonesEvacuateCommand } from "./zones-evacuate.js";
import { ZonesListCommand } from "./zones-list.js";
import { ZonesRestoreCommand } from "./zones-restore.js";

/** The command-line tool with all its commands. */
export function createCli(): Cli {
    const cli = new Cli({ binaryName: "celerywind", binaryLabel: "celerywind", binaryVersion: "0.1.0" });
    [
        Builtins.HelpCommand,
        Builtins.VersionCommand,
        ListsCheckCommand,
        ListsDiffCommand,
        ListsApplyCommand,
        KeysGiveCommand,
        KeysWithdrawCommand,
        KeysListCommand,
        ZonesEvacuateCommand,
        ZonesRestoreCommand,
        ZonesListCommand,
        StatusCommand,
        ExplainCommand,
    ].forEach(command => cli.register(command));
    return cli;
}
