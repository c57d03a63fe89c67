/** Parses JSON with comments and validates it against a schema. Errors state the file, the path and the remedy. */
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import type { z } from "zod";
import { ConfigError } from "./errors.js";

/** Longest part of a value that an error message quotes. */
const maxQuotedChars = 80;

/** Parses `text` and validates it against `schema`. Throws a `ConfigError` that lists all violations, one per line. */
export function parseJsonc<S extends z.ZodType>(file: string, text: string, schema: S): z.output<S> {
    const value = parseText(file, text);
    return checkValue(file, value, schema);
}

/** Validates a value that is already parsed, with the same error messages as `parseJsonc`. */
export function checkValue<S extends z.ZodType>(file: string, value: unknown, schema: S): z.output<S> {
    const checked = schema.safeParse(value, { reportInput: true });
    if (checked.success) {
        return checked.data;
    }
    throw new ConfigError(checked.error.issues.map(issue => describeIssue(file, issue)).join("\n"));
}

function parseText(file: string, text: string): unknown {
    const errors: ParseError[] = [];
    let value: unknown;
    try {
        value = parse(text, errors, { allowTrailingComma: true });
    }
    catch (err) {
        // The parser calls itself for each level, and comes to the end of the stack at some thousands.
        throw new ConfigError(`${file}: cannot be parsed; nest the values less deeply`, { cause: err });
    }
    const first = errors[0];
    if (first !== undefined) {
        const line = text.slice(0, first.offset).split("\n").length;
        throw new ConfigError(`${file}:${line}: ${printParseErrorCode(first.error)}; correct the JSON there`);
    }
    return value;
}

function describeIssue(file: string, issue: z.core.$ZodIssue): string {
    const path = issue.path.length === 0 ? "(top level)" : issue.path.map(String).join(".");
    const found = issue.input === undefined ? "nothing" : quote(issue.input);
    return `${file}: ${path}: found ${found}; ${issue.message}`;
}

function quote(value: unknown): string {
    try {
        return JSON.stringify(value).slice(0, maxQuotedChars);
    }
    catch {
        // Not swallowed: the issue is reported all the same, without the value.
        return "a deeply nested value";
    }
}
