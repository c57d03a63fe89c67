/** Limits of the table service on transactions and rows, which no retry overcomes, and the size of a transaction. */
import type { RowCondition, RowKey, RowPut } from "./rows.js";

/** Most items (conditions, puts and removals) of a transaction. */
export const maxTransactionEntries = 100;
/** Most bytes of a transaction as it is sent; less than the 1 MB of the service, which counts what is around the rows, too. */
export const maxTransactionBytes = 900_000;
/** Most bytes of a row's value. */
export const maxRowBytes = 65_536;
/** Bytes of the names of fields and of punctuation, for each item of a transaction. */
const itemOverheadBytes = 60;

/** Bytes of an item of a transaction as it is sent; the value of a row is encoded in Base64. */
export function encodedItemBytes(
    { table, part, key, value = "" }: RowKey & Partial<RowPut & RowCondition>,
): number {
    return itemOverheadBytes + Buffer.byteLength(table) + Buffer.byteLength(part) + Buffer.byteLength(key)
        + 4 * Math.ceil(Buffer.byteLength(value) / 3);
}

/** Whether a row can be stored at all. */
export function isStorable({ value }: Pick<RowPut, "value">): boolean {
    return Buffer.byteLength(value) <= maxRowBytes;
}
