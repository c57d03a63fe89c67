/** `celerywind lists diff`: shows what applying the lists would change. */
import { Command, Option } from "clipanion";
import { type Difference, DifferenceKind } from "../version/diff.js";
import { OperatorCommand, readList } from "./operator.js";

interface Diff {
    readonly listsRevision: number;
    readonly differences: readonly Difference[];
}

/** Prints the differences between the lists in force and the given ones. */
export class ListsDiffCommand extends OperatorCommand {
    static override paths = [["lists", "diff"]];
    static override usage = Command.Usage({
        category: "Lists",
        description: "show what applying the lists would change",
        details: 'The first line names the revision to give to "lists apply --revision".',
        examples: [["Compare with the lists in force", "celerywind lists diff plans.jsonc teams.jsonc"]],
    });

    plans = Option.String({ name: "plans.jsonc" });
    teams = Option.String({ name: "teams.jsonc" });

    protected async act(): Promise<Diff> {
        const body = { plans: await readList(this.plans), teams: await readList(this.teams) };
        return await this.call<Diff>("POST", "/v1/lists/diff", body);
    }

    protected show({ listsRevision, differences }: Diff): string {
        const lines = differences.map(describe);
        return [`revision ${listsRevision}, ${differences.length} differences`, ...lines].join("\n");
    }
}

function describe({ kind, path, before, after }: Difference): string {
    switch (kind) {
        case DifferenceKind.Added:
            return `+ ${path}: ${after}`;
        case DifferenceKind.Removed:
            return `- ${path}: ${before}`;
        case DifferenceKind.Changed:
            return `~ ${path}: ${before} -> ${after}`;
    }
}
