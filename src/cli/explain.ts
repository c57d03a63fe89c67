/** `celerywind explain`: shows the outcome of a request or the state of a job. */
import { Command, Option } from "clipanion";
import { OperatorCommand } from "./operator.js";

interface ExplainResult {
    readonly traces: readonly Readonly<Record<string, unknown>>[];
}

/** Prints the traces that the entries have of a request, or the stored state of a job. */
export class ExplainCommand extends OperatorCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        description: "show the outcome of a request or the state of a job",
        details: "Each entry keeps traces of its last few thousand requests; jobs are read from the store.",
        examples: [[
            "Explain a request by its id",
            "celerywind explain 3f0c2a9e-8f0e-4d5e-9f0a-0f6a3a1b2c3d",
        ]],
    });

    id = Option.String({ name: "request-id" });

    protected perform(): Promise<ExplainResult> {
        return this.call<ExplainResult>("GET", `/v1/requests/${encodeURIComponent(this.id)}`);
    }

    protected format({ traces }: ExplainResult): string {
        if (traces.length === 0) {
            return `no entry has a trace of "${this.id}"; it may be too old, or was never received`;
        }
        return traces.map(trace => formatTrace(trace).join("\n")).join("\n\n");
    }
}

function formatTrace(trace: Readonly<Record<string, unknown>>): string[] {
    return Object.entries(trace)
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}: ${typeof value === "string" ? value : JSON.stringify(value)}`);
}
