/** `celerywind keys give`: issues a key to a team. */
import { Command, Option } from "clipanion";
import { OperatorCommand } from "./operator.js";

interface GivenKey {
    readonly id: string;
    readonly text: string;
}

/** Issues a key and prints it; it cannot be shown again. */
export class KeysGiveCommand extends OperatorCommand {
    static override paths = [["keys", "give"]];
    static override usage = Command.Usage({
        category: "Keys",
        description: "issue a key to a team",
        details: "The key is shown only once and is not stored; pass it to the team and keep only its id.",
        examples: [["Issue a key", "celerywind keys give thames-boutique"]],
    });

    team = Option.String({ name: "team" });

    protected perform(): Promise<GivenKey> {
        return this.call<GivenKey>("POST", "/v1/keys", { team: this.team });
    }

    protected format({ id, text }: GivenKey): string {
        return `key ${id} for team ${this.team}, shown only now:\n${text}`;
    }
}
