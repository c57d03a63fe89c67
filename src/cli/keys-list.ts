/** `celerywind keys list`: lists the valid keys. */
import { Command } from "clipanion";
import { formatTable, OperatorCommand } from "./operator.js";

interface KeysResult {
    readonly keys: readonly { readonly id: string; readonly team: string; readonly givenAt: number }[];
}

/** Prints the ids and teams of all valid keys, without their secrets. */
export class KeysListCommand extends OperatorCommand {
    static override paths = [["keys", "list"]];
    static override usage = Command.Usage({
        category: "Keys",
        description: "list the valid keys",
        examples: [["List the keys as JSON", "celerywind keys list --json"]],
    });

    protected perform(): Promise<KeysResult> {
        return this.call<KeysResult>("GET", "/v1/keys");
    }

    protected format({ keys }: KeysResult): string {
        const rows = keys.map(key => [key.id, key.team, new Date(key.givenAt).toISOString()]);
        return formatTable([["KEY", "TEAM", "GIVEN"], ...rows]);
    }
}
