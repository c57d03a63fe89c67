/** `celerywind keys give`: gives a key to a team. */
import { Command, Option } from "clipanion";
import { OperatorCommand } from "./operator.js";

interface GivenKey {
    readonly id: string;
    readonly text: string;
}

/** Gives a key and prints it once. */
export class KeysGiveCommand extends OperatorCommand {
    static override paths = [["keys", "give"]];
    static override usage = Command.Usage({
        category: "Keys",
        description: "give a key to a team",
        details: "The key is shown once and kept nowhere; hand it to the team and keep only its id.",
        examples: [["Give a key", "celerywind keys give thames-boutique"]],
    });

    team = Option.String({ name: "team" });

    protected perform(): Promise<GivenKey> {
        return this.call<GivenKey>("POST", "/v1/keys", { team: this.team });
    }

    protected format({ id, text }: GivenKey): string {
        return `key ${id} for team ${this.team}, shown only now:\n${text}`;
    }
}
