/** `celerywind keys withdraw`: withdraws a key. */
import { Command, Option } from "clipanion";
import { OperatorCommand } from "./operator.js";

interface Withdrawn {
    readonly id: string;
    readonly isStored: boolean;
    readonly inForce: number;
    readonly entries: number;
}

/** Withdraws a key and says how far the withdrawal has come. */
export class KeysWithdrawCommand extends OperatorCommand {
    static override paths = [["keys", "withdraw"]];
    static override usage = Command.Usage({
        category: "Keys",
        description: "withdraw a key",
        details:
            "Works while the platform's store is down: the withdrawal spreads between the entries at once.",
        examples: [["Withdraw a key", "celerywind keys withdraw 0123456789ab"]],
    });

    id = Option.String({ name: "key-id" });

    protected act(): Promise<Withdrawn> {
        return this.call<Withdrawn>("DELETE", `/v1/keys/${encodeURIComponent(this.id)}`);
    }

    protected show({ id, isStored, inForce, entries }: Withdrawn): string {
        const stored = isStored ? "stored" : "not yet stored";
        return `key ${id} withdrawn: in force on ${inForce} of ${
            Math.max(inForce, entries)
        } entries, ${stored}`;
    }
}
