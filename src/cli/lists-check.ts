/** `celerywind lists check`: validates both lists locally, without contacting an entry. */
import { Command, Option } from "clipanion";
import { parseLists } from "../version/schema.js";
import { OperatorCommand, readListFile } from "./operator.js";

interface ListCounts {
    readonly queues: number;
    readonly plans: number;
    readonly teams: number;
}

/** Validates the lists and prints the number of their queues, plans and teams. */
export class ListsCheckCommand extends OperatorCommand {
    static override paths = [["lists", "check"]];
    static override usage = Command.Usage({
        category: "Lists",
        description: "check both lists without applying them",
        examples: [["Check the lists in this folder", "celerywind lists check plans.jsonc teams.jsonc"]],
    });

    plans = Option.String({ name: "plans.jsonc" });
    teams = Option.String({ name: "teams.jsonc" });

    protected async perform(): Promise<ListCounts> {
        const lists = parseLists(await readListFile(this.plans), await readListFile(this.teams));
        return {
            queues: Object.keys(lists.queues).length,
            plans: Object.keys(lists.plans).length,
            teams: Object.keys(lists.teams).length,
        };
    }

    protected format({ queues, plans, teams }: ListCounts): string {
        return `ok: ${queues} queues, ${plans} plans, ${teams} teams`;
    }
}
