/** `celerywind lists apply`: applies both lists. */
import { Command, Option } from "clipanion";
import { OperatorError } from "../process/errors.js";
import { OperatorCommand, readListFile } from "./operator.js";

interface ApplyResult {
    readonly revision: number;
}

/** Applies the lists if no newer revision than the one they are based on has been accepted. */
export class ListsApplyCommand extends OperatorCommand {
    static override paths = [["lists", "apply"]];
    static override usage = Command.Usage({
        category: "Lists",
        description: "apply both lists on every entry",
        details: `
            Fails with exit code 3 if other lists were accepted since the revision given with --revision or,
            without it, since this command was started.
        `,
        examples: [
            ["Apply the lists", "celerywind lists apply plans.jsonc teams.jsonc"],
            [
                "Apply only on top of revision 12",
                "celerywind lists apply --revision 12 plans.jsonc teams.jsonc",
            ],
        ],
    });

    plans = Option.String({ name: "plans.jsonc" });
    teams = Option.String({ name: "teams.jsonc" });
    revision = Option.String("--revision", { description: "revision that the lists are based on" });

    protected async perform(): Promise<ApplyResult> {
        const plans = await readListFile(this.plans);
        const teams = await readListFile(this.teams);
        const listsRevision = this.revision === undefined
            ? await this.currentRevision()
            : parseRevision(this.revision);
        return await this.call<ApplyResult>("POST", "/v1/lists/apply", { plans, teams, listsRevision });
    }

    protected format({ revision }: ApplyResult): string {
        return `applied as revision ${revision}`;
    }

    private async currentRevision(): Promise<number> {
        return (await this.call<{ listsRevision: number }>("GET", "/v1/lists")).listsRevision;
    }
}

function parseRevision(text: string): number {
    if (!/^[0-9]{1,12}$/.test(text)) {
        throw new OperatorError(`--revision: found "${text}"; give the number that "lists diff" printed`);
    }
    return Number(text);
}
