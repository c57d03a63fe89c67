/** The limits that the table service sets for calls, rows and rates (PROTOCOL.md, "The platform's metadata store"). */
import { RateWindow } from "../../src/process/rate-window.js";
import type { RowTransaction, StoredRow } from "../../src/process/rows.js";
import type { Timer } from "../../src/process/timer.js";

/** Most conditions, puts and removals of a call, in all. */
const maxCallEntries = 100;
/** Most bytes of the body of a call. */
const maxCallBytes = 1_000_000;
/** Most bytes of a row's value, before it is encoded. */
const maxRowBytes = 65_536;
const maxKeyBytes = 200;
const maxTables = 100;
/** Most rows, and most bytes of them as they are encoded, in a page of a read. */
export const maxPageRows = 500;
const maxPageBytes = 1_000_000;
/** Calls that the table service accepts in a second from all entries together. */
const maxCallsPerS = { read: 2000, write: 800 } as const;
/** Bytes that a row's fields take in the body of a call, beside their values. */
const rowEnvelopeBytes = 52;

/** Kinds of calls with rates of their own. */
export type CallKind = keyof typeof maxCallsPerS;

/**
 * Why a call can never be carried out, whenever it is sent; undefined if it can. Tables in `readOnlyTables` and their rows
 * belong to the platform and the operator.
 */
export function invalidityOf(tx: RowTransaction, readOnlyTables: ReadonlySet<string>): string | undefined {
    const keys = [...tx.conditions, ...tx.puts, ...tx.removals];
    const largest = Math.max(0, ...tx.puts.map(({ value }) => Buffer.byteLength(value)));
    if (keys.length > maxCallEntries) {
        return `a call holds at most ${maxCallEntries} entries, not ${keys.length}`;
    }
    if (callBytes(tx) > maxCallBytes) {
        return `a call holds at most ${maxCallBytes} bytes, not ${callBytes(tx)}`;
    }
    if (largest > maxRowBytes) {
        return `a row holds at most ${maxRowBytes} bytes, not ${largest}`;
    }
    if (keys.some(({ table, part, key }) => [table, part, key].some(isTooLong))) {
        return `a table, a part and a key have at most ${maxKeyBytes} bytes`;
    }
    if (new Set(keys.map(({ part }) => part)).size > 1) {
        return "all entries of a call share a single part";
    }
    const written = [...tx.puts, ...tx.removals].find(({ table }) => readOnlyTables.has(table));
    return written === undefined ? undefined : `entries may not write to the table "${written.table}"`;
}

/** Whether there are more tables than the store keeps. */
export function hasTooManyTables(tables: ReadonlySet<string>): boolean {
    return tables.size > maxTables;
}

/** The first rows that fit into one page. */
export function pageOf(rows: readonly StoredRow[], limit: number): readonly StoredRow[] {
    let bytes = 0;
    const end = rows.findIndex((row, index) => {
        bytes += encodedRowBytes(row);
        return index > 0 && bytes > maxPageBytes;
    });
    return rows.slice(0, Math.min(limit, maxPageRows, end < 0 ? Infinity : end));
}

/** Counts the calls of all entries against the rates. */
export class CallRates {
    private readonly windows = {
        read: RateWindow.create(maxCallsPerS.read),
        write: RateWindow.create(maxCallsPerS.write),
    };

    constructor(private readonly timer: Timer) {}

    /** Counts a call; false if it is beyond the rate. */
    admit(kind: CallKind): boolean {
        return admit(this.windows[kind], this.timer.now());
    }
}

/** Counts a call at the monotonic time `now` if the rate allows it; false if it does not. */
export function admit(window: RateWindow, now: number): boolean {
    const isAdmitted = window.remaining(now) > 0;
    window.record(now, isAdmitted ? 1 : 0);
    return isAdmitted;
}

/** Bytes of a row in the body of a call or an answer, where its value is encoded in Base64. */
export function encodedRowBytes(
    { table, part, key, value }: Omit<StoredRow, "version" | "isRemoved">,
): number {
    return rowEnvelopeBytes + [table, part, key].reduce((bytes, text) => bytes + Buffer.byteLength(text), 0)
        + 4 * Math.ceil(Buffer.byteLength(value) / 3);
}

function callBytes({ conditions, puts, removals }: RowTransaction): number {
    return [...conditions, ...removals].reduce((sum, key) => sum + encodedRowBytes({ ...key, value: "" }), 0)
        + puts.reduce((sum, put) => sum + encodedRowBytes(put), 0);
}

function isTooLong(text: string): boolean {
    return Buffer.byteLength(text) > maxKeyBytes;
}
