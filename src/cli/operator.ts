/** Base class and helpers of all commands: calls to the operator API, exit codes and output. */
import { Command, Option } from "clipanion";
import { readFile } from "node:fs/promises";
import { request } from "undici";
import { messageOf, OperatorError } from "../process/errors.js";
import type { ListFile } from "../version/schema.js";

/** Exit codes of the tool. */
export enum ExitCode {
    Ok = 0,
    Failed = 1,
    /** The files or arguments are invalid. */
    BadInput = 2,
    /** Another operator's change was accepted in the meantime. */
    Conflict = 3,
}

const defaultUrl = "http://127.0.0.1:7100";
const conflictStatus = 409;
const badInputStatus = 400;
const firstErrorStatus = 300;

/** Error response of the operator API. */
export class ResponseError extends Error {
    constructor(readonly status: number, message: string) {
        super(message);
    }
}

/** Base class of all commands: address and token of the operator API, and output as text or JSON. */
export abstract class OperatorCommand extends Command {
    url = Option.String("--url", process.env["CELERYWIND_URL"] ?? defaultUrl, {
        description: "operator address of any entry (or CELERYWIND_URL)",
    });
    token = Option.String("--token", process.env["CELERYWIND_TOKEN"] ?? "", {
        description: "operator token, if the entries have one (or CELERYWIND_TOKEN)",
    });
    json = Option.Boolean("--json", false, { description: "print JSON" });

    /** Performs the command and returns the result to print. */
    protected abstract perform(): Promise<unknown>;

    /** Formats the result as lines of text. */
    protected abstract format(result: never): string;

    override async execute(): Promise<number> {
        try {
            const result = await this.perform();
            const text = this.json ? JSON.stringify(result, undefined, 4) : this.format(result as never);
            this.context.stdout.write(`${text}\n`);
            return ExitCode.Ok;
        }
        catch (err) {
            this.context.stderr.write(`${messageOf(err)}\n`);
            return exitCodeOf(err);
        }
    }

    /** Calls the operator API; throws `ResponseError` on an error status, `OperatorError` if there is no response. */
    protected async call<T>(
        method: "GET" | "POST" | "PUT" | "DELETE",
        path: string,
        value?: unknown,
    ): Promise<T> {
        const headers = this.token === "" ? {} : { authorization: `Bearer ${this.token}` };
        const body = value === undefined ? {} : { body: JSON.stringify(value) };
        const res = await request(`${this.url}${path}`, { method, headers, ...body }).catch(
            (err: unknown) => {
                throw new OperatorError(
                    `no response from ${this.url} (${messageOf(err)}); specify another entry with --url`,
                );
            },
        );
        const result = await res.body.json() as T & { readonly error?: string };
        if (res.statusCode >= firstErrorStatus) {
            throw new ResponseError(
                res.statusCode,
                result.error ?? `the entry responded with status ${res.statusCode}`,
            );
        }
        return result;
    }
}

function exitCodeOf(err: unknown): ExitCode {
    if (err instanceof ResponseError && err.status === conflictStatus) {
        return ExitCode.Conflict;
    }
    const isBadInput = err instanceof ResponseError && err.status === badInputStatus;
    return isBadInput || (err as { name?: string }).name === "ConfigError"
        ? ExitCode.BadInput
        : ExitCode.Failed;
}

/** Reads the file of a list; throws `OperatorError` if it cannot be read. */
export async function readListFile(file: string): Promise<ListFile> {
    try {
        return { file, text: await readFile(file, "utf8") };
    }
    catch (err) {
        throw new OperatorError(`cannot read "${file}" (${messageOf(err)}); give the path of a list`);
    }
}

/** Formats rows as a table with aligned columns; an undefined cell is shown as "-". */
export function formatTable(rows: readonly (readonly (string | number | boolean | undefined)[])[]): string {
    const cells = rows.map(row => row.map(cell => String(cell ?? "-")));
    const widths = (cells[0] ?? []).map((_, at) => Math.max(...cells.map(row => row[at]!.length)));
    return cells.map(row => row.map((cell, at) => cell.padEnd(widths[at]!)).join("  ").trimEnd()).join("\n");
}
