/**
 * A table service with parts: rows under table, part and key, transactions under conditions within one part, range
 * reads, and a feed of changes. Versions of rows come from one counter that rises with each transaction.
 */

/** Names a row. */
export interface RowKey {
    readonly table: string;
    /** Rows of one part can be written by one transaction. */
    readonly part: string;
    readonly key: string;
}

/** A row as read. */
export interface StoredRow extends RowKey {
    /** Text of the row; empty when it was removed. */
    readonly value: string;
    /** Version of the transaction that wrote it; 0 when it does not exist. */
    readonly version: number;
    readonly isRemoved: boolean;
}

/** A condition of a transaction: the row must have this version, 0 meaning that it must not exist. */
export interface RowCondition extends RowKey {
    readonly version: number;
}

/** A row to be written. */
export interface RowPut extends RowKey {
    readonly value: string;
}

/** Writes that take effect together or not at all. */
export interface RowTransaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly RowPut[];
    readonly removals: readonly RowKey[];
}

/** What is known about a transaction. */
export enum TransactionStatus {
    /** It took effect. */
    Committed = "committed",
    /** It did not take effect because a condition did not hold. */
    Conflict = "conflict",
    /** The store refused it; it did not take effect. */
    Refused = "refused",
    /** No answer: it may have taken effect, or may do so later while its conditions hold. */
    Unknown = "unknown",
}

/** Result of a transaction. */
export type TransactionOutcome =
    | { readonly kind: TransactionStatus.Committed; readonly version: number }
    | { readonly kind: TransactionStatus.Conflict; readonly rows: readonly StoredRow[] }
    | { readonly kind: TransactionStatus.Refused; readonly reason: string }
    | { readonly kind: TransactionStatus.Unknown; readonly reason: string };

/** Rows of one part of a table, in order of their keys. */
export interface RowRange {
    readonly table: string;
    readonly part: string;
    /** Only keys from this one on. */
    readonly from?: string;
    /** Only keys before this one. */
    readonly to?: string;
    readonly limit?: number;
}

/** A page of rows as of one moment. */
export interface RowPage {
    readonly rows: readonly StoredRow[];
    readonly hasMore: boolean;
    /** Newest version in the store at that moment. */
    readonly version: number;
}

/** What a feed returned. */
export type FeedResult =
    | { readonly kind: "changes"; readonly rows: readonly StoredRow[]; readonly version: number }
    /** The store no longer has the history that was asked for; read everything again. */
    | { readonly kind: "history-lost" };

/** The table service. Reads reject with a `PlatformError` when no sound answer arrives. */
export interface RowStore {
    transact(tx: RowTransaction): Promise<TransactionOutcome>;
    read(range: RowRange): Promise<RowPage>;
    /** Resolves when the table has changed since a version, or after `waitMs` without change. */
    feed(table: string, sinceVersion: number, waitMs: number): Promise<FeedResult>;
}

/** Reads one row; undefined when it does not exist. */
export async function readRow(store: RowStore, { table, part, key }: RowKey): Promise<StoredRow | undefined> {
    const page = await store.read({ table, part, from: key, to: `${key}\u0000`, limit: 1 });
    return page.rows[0];
}

/** Reads all rows of a range, page by page, with the version as of the first page. */
export async function readAll(store: RowStore, range: RowRange): Promise<RowPage> {
    const rows: StoredRow[] = [];
    let from = range.from ?? "";
    let version: number | undefined;
    for (;;) {
        const page = await store.read({ ...range, from });
        rows.push(...page.rows);
        version ??= page.version;
        const last = page.rows.at(-1);
        if (!page.hasMore || last === undefined) {
            return { rows, hasMore: false, version };
        }
        from = `${last.key}\u0000`;
    }
}

/** Whether two keys name the same row. */
export function isSameRow(a: RowKey, b: RowKey): boolean {
    return a.key === b.key && a.part === b.part && a.table === b.table;
}
