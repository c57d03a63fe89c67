/**
 * Decodes rows of the store that another writer may have written, and reports those that cannot be used: one row costs itself
 * only, and operators see it.
 */
import type { z } from "zod";
import { EventId, Severity } from "./events.js";
import { parseJson } from "./json.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { StoredRow } from "./rows.js";

/** Why a row cannot be used. */
export enum RowFault {
    /** Its text is longer than any row of its kind. */
    TooLong = "too-long",
    /** Its text is not JSON. */
    NotJson = "not-json",
    /** A field is missing or of another type. */
    WrongType = "wrong-type",
    /** A number, or the length of a text or list, is out of its bounds. */
    OutOfRange = "out-of-range",
    /** Anything else, such as an address without a port. */
    Malformed = "malformed",
}

/** A row that cannot be used. */
export interface RefusedRow {
    readonly fault: RowFault;
    /** Field and violation; quotes no value of the row. */
    readonly detail: string;
}

/** Result of `decodeText`. */
export type DecodedText<T> =
    | { readonly kind: "valid"; readonly value: T }
    | ({ readonly kind: "refused" } & RefusedRow);

/** Options of `RowRefusals.create`. */
export interface RowRefusalsOptions {
    readonly log: Log;
    readonly metrics: Metrics;
    /** Most refused rows that are remembered; the oldest are forgotten. */
    readonly maxRows?: number;
}

const defaultMaxRows = 1000;
/** Longest part of a key or a detail in a log line. */
const maxLoggedChars = 200;

/** Reports refused rows, each version of a row once. */
export class RowRefusals {
    /** Version of each refused row, by table, part and key. */
    private readonly versions = new Map<string, number>();

    private constructor(private readonly options: RowRefusalsOptions) {}

    static create(options: RowRefusalsOptions): RowRefusals {
        return new RowRefusals(options);
    }

    /** Decodes the value of a row; reports the row and returns undefined if it cannot be used. */
    decode<S extends z.ZodType>(schema: S, row: StoredRow, maxChars?: number): z.output<S> | undefined {
        const decoded = decodeText(schema, row.value, maxChars);
        switch (decoded.kind) {
            case "valid":
                return decoded.value;
            case "refused":
                this.report(row, decoded);
                return undefined;
        }
    }

    /** Logs and counts a row that cannot be used, unless this version of it was reported before. */
    report({ table, part, key, version }: StoredRow, { fault, detail }: RefusedRow): void {
        const { log, metrics, maxRows = defaultMaxRows } = this.options;
        const name = JSON.stringify([table, part, key]);
        if (this.versions.get(name) === version) {
            return;
        }
        // Set anew, so that the row comes last in the order of insertion.
        this.versions.delete(name);
        this.versions.set(name, version);
        if (this.versions.size > maxRows) {
            this.versions.delete(this.versions.keys().next().value!);
        }
        metrics.count("celerywind_rows_refused_total", { table, reason: fault });
        log.write(Severity.Error, EventId.RowRefused, {
            table,
            part: part === "" ? undefined : part.slice(0, maxLoggedChars),
            key: key.slice(0, maxLoggedChars),
            version,
            reason: fault,
            detail: detail.slice(0, maxLoggedChars),
        });
    }
}

/** Decodes a text of JSON against a schema; a text of more than `maxChars` characters is refused without being parsed. */
export function decodeText<S extends z.ZodType>(
    schema: S,
    text: string,
    maxChars = Infinity,
): DecodedText<z.output<S>> {
    if (text.length > maxChars) {
        return {
            kind: "refused",
            fault: RowFault.TooLong,
            detail: `${text.length} characters, at most ${maxChars}`,
        };
    }
    const value = parseJson(text);
    if (value === undefined) {
        return { kind: "refused", fault: RowFault.NotJson, detail: `${text.length} characters` };
    }
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return { kind: "valid", value: parsed.data };
    }
    const [issue] = parsed.error.issues;
    const detail = `${issue!.path.map(String).join(".")}: ${issue!.message}`;
    return { kind: "refused", fault: faultOf(issue!.code), detail };
}

function faultOf(code: z.core.$ZodIssue["code"]): RowFault {
    switch (code) {
        case "invalid_type":
        case "invalid_union":
        case "invalid_value":
            return RowFault.WrongType;
        case "too_big":
        case "too_small":
            return RowFault.OutOfRange;
        case "invalid_format":
        case "not_multiple_of":
        case "unrecognized_keys":
        case "invalid_key":
        case "invalid_element":
        case "custom":
            return RowFault.Malformed;
    }
}
