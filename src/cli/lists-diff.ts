/** `celerywind lists diff`: shows the changes that applying the lists would make. */
import { Command, Option } from "clipanion";
import { type Difference, DifferenceKind } from "../version/diff.js";
import { OperatorCommand, readListFile } from "./operator.js";

interface DiffResult {
    readonly listsRevision: number;
    readonly differences: readonly Difference[];
}

/** Prints the differences between the current lists and the given ones. */
export class ListsDiffCommand extends OperatorCommand {
    static override paths = [["lists", "diff"]];
    static override usage = Command.Usage({
        category: "Lists",
        description: "show the changes that applying the lists would make",
        details: 'The first line contains the revision to pass to "lists apply --revision".',
        examples: [["Compare with the current lists", "celerywind lists diff plans.jsonc teams.jsonc"]],
    });

    plans = Option.String({ name: "plans.jsonc" });
    teams = Option.String({ name: "teams.jsonc" });

    protected async perform(): Promise<DiffResult> {
        const body = { plans: await readListFile(this.plans), teams: await readListFile(this.teams) };
        return await this.call<DiffResult>("POST", "/v1/lists/diff", body);
    }

    protected format({ listsRevision, differences }: DiffResult): string {
        const lines = differences.map(formatDifference);
        return [`revision ${listsRevision}, ${differences.length} differences`, ...lines].join("\n");
    }
}

function formatDifference({ kind, path, before, after }: Difference): string {
    switch (kind) {
        case DifferenceKind.Added:
            return `+ ${path}: ${after}`;
        case DifferenceKind.Removed:
            return `- ${path}: ${before}`;
        case DifferenceKind.Changed:
            return `~ ${path}: ${before} -> ${after}`;
    }
}
