/** `celerywind keys withdraw`: withdraws a key. */
import { Command, Option } from "clipanion";
import { OperatorCommand } from "./operator.js";

interface WithdrawResult {
    readonly id: string;
    readonly isStored: boolean;
    readonly inForce: number;
    readonly entries: number;
}

/** Withdraws a key and prints on how many entries the withdrawal is in force and whether it is stored. */
export class KeysWithdrawCommand extends OperatorCommand {
    static override paths = [["keys", "withdraw"]];
    static override usage = Command.Usage({
        category: "Keys",
        description: "withdraw a key",
        details:
            "Also works while the platform's store is down: entries send the withdrawal directly to each other.",
        examples: [["Withdraw a key", "celerywind keys withdraw 0123456789ab"]],
    });

    id = Option.String({ name: "key-id" });

    protected perform(): Promise<WithdrawResult> {
        return this.call<WithdrawResult>("DELETE", `/v1/keys/${encodeURIComponent(this.id)}`);
    }

    protected format({ id, isStored, inForce, entries }: WithdrawResult): string {
        const stored = isStored ? "stored" : "not yet stored";
        return `key ${id} withdrawn: in force on ${inForce} of ${
            Math.max(inForce, entries)
        } entries, ${stored}`;
    }
}
