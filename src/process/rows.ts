/**
 * Interface of a partitioned table service: rows identified by table, part (the partition) and key, conditional
 * transactions within one part, range reads, and a change feed. Row versions come from a single counter that increases
 * with each transaction.
 */

/** Identifies a row. */
export interface RowKey {
    readonly table: string;
    /** Partition of the table. A transaction can write several rows, all of one part. */
    readonly part: string;
    readonly key: string;
}

/** A row as read from the store. */
export interface StoredRow extends RowKey {
    /** Content of the row; empty when it was removed. */
    readonly value: string;
    /** Version of the transaction that last wrote the row; 0 when the row does not exist. */
    readonly version: number;
    readonly isRemoved: boolean;
}

/** Precondition of a transaction: the row must have this version; version 0 means that it must not exist. */
export interface RowCondition extends RowKey {
    readonly version: number;
}

/** A row to be written. */
export interface RowPut extends RowKey {
    readonly value: string;
}

/** Writes that are applied atomically if all conditions hold. */
export interface RowTransaction {
    readonly conditions: readonly RowCondition[];
    readonly puts: readonly RowPut[];
    readonly removals: readonly RowKey[];
}

/** Status of a transaction as far as the sender can determine it. */
export enum TransactionStatus {
    /** It was applied. */
    Committed = "committed",
    /** It was not applied because a condition did not hold. */
    Conflict = "conflict",
    /** The store rejected it without applying it. */
    Refused = "refused",
    /** The store rejects it as it is, whenever it is sent: it exceeds a limit, or writes where it may not. */
    Invalid = "invalid",
    /** No answer arrived: it may have been applied, or may be applied later while its conditions still hold. */
    Unknown = "unknown",
}

/** Status of a transaction with its details. */
export type TransactionOutcome =
    | { readonly kind: TransactionStatus.Committed; readonly version: number }
    | { readonly kind: TransactionStatus.Conflict; readonly rows: readonly StoredRow[] }
    | { readonly kind: TransactionStatus.Refused; readonly reason: string }
    | { readonly kind: TransactionStatus.Invalid; readonly reason: string }
    | { readonly kind: TransactionStatus.Unknown; readonly reason: string };

/** A range of rows of one part of a table, in key order. */
export interface RowRange {
    readonly table: string;
    readonly part: string;
    /** First key, inclusive. */
    readonly from?: string;
    /** Last key, exclusive. */
    readonly to?: string;
    readonly limit?: number;
}

/** A consistent page of rows. */
export interface RowPage {
    readonly rows: readonly StoredRow[];
    readonly hasMore: boolean;
    /** Newest version in the store when the page was read. */
    readonly version: number;
}

/** Result of a read of the change feed. */
export type FeedResult =
    | { readonly kind: "changes"; readonly rows: readonly StoredRow[]; readonly version: number }
    /** The store no longer retains the requested history; the table has to be read again in full. */
    | { readonly kind: "history-lost" };

/** Options of a read of the change feed. */
export interface FeedReadOptions {
    /** Longest wait of the store for a change before it answers, in milliseconds. */
    readonly waitMs: number;
    /** Called whenever a part of the answer has arrived, with the number of bytes received so far. */
    readonly onData?: (receivedBytes: number) => void;
    /** Gives the read up; its answer is not transferred any further. */
    readonly signal?: AbortSignal;
}

/** Client of the table service. Reads reject with a `PlatformError` when no valid answer arrives. */
export interface RowStore {
    transact(tx: RowTransaction): Promise<TransactionOutcome>;
    read(range: RowRange): Promise<RowPage>;
    /** Resolves once the table has changed since `sinceVersion`, or after the wait without a change. */
    feed(table: string, sinceVersion: number, options: FeedReadOptions): Promise<FeedResult>;
}

/** Reads one row; undefined when it does not exist. */
export async function readRow(store: RowStore, { table, part, key }: RowKey): Promise<StoredRow | undefined> {
    const page = await store.read({ table, part, from: key, to: `${key}\u0000`, limit: 1 });
    return page.rows[0];
}

/**
 * Reads all rows of a range, page by page. The returned version is that of the first page, so a feed read from it
 * includes the changes made while the other pages were read.
 */
export async function readAll(store: Pick<RowStore, "read">, range: RowRange): Promise<RowPage> {
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

/** Reads that are sent at once. More would wait for a connection of the client and could come to their time limit there. */
const maxConcurrentReads = 16;

/** Reads all rows of several ranges; the pages are in the order of the ranges. */
export async function readRanges(
    store: Pick<RowStore, "read">,
    ranges: readonly RowRange[],
): Promise<readonly RowPage[]> {
    const pages: RowPage[] = [];
    const pending = ranges.entries();
    const readPending = async (): Promise<void> => {
        for (const [index, range] of pending) {
            pages[index] = await readAll(store, range);
        }
    };
    await Promise.all(Array.from({ length: maxConcurrentReads }, readPending));
    return pages;
}

/** Whether two keys identify the same row. */
export function isSameRow(a: RowKey, b: RowKey): boolean {
    return a.key === b.key && a.part === b.part && a.table === b.table;
}
