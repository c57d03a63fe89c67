/**
 * Interface of the decision logic to the platform's table service and object store: versioned rows, transactions of
 * conditional writes, and the effects that flows yield to use them.
 */
import type { Flow } from "./flow.js";

/** A row as last read. Each write increments the version; an absent row has version 0. */
export interface Row {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
    /**
     * Tokens of the latest writes to the row, newest first. The store client uses them to determine whether a write
     * whose answer was lost took effect.
     */
    readonly tokens?: readonly string[];
}

/** A conditional write of a transaction; the row must have version `ifVersion`. */
export type Write =
    | {
        readonly kind: WriteKind.Put;
        readonly key: string;
        readonly ifVersion: number;
        readonly value: unknown;
        readonly tokens?: readonly string[];
    }
    | { readonly kind: WriteKind.Remove; readonly key: string; readonly ifVersion: number };

/** Kind of a write. */
export enum WriteKind {
    Put = "put",
    Remove = "remove",
}

/** Outcome of a transaction as far as the sender can determine it. */
export enum CommitOutcome {
    /** It was applied. */
    Committed = "committed",
    /** It was not and will not be applied, because a row had changed. */
    Conflict = "conflict",
    /** It may or may not have been applied; read the rows again before any further decision. */
    Unknown = "unknown",
}

/** Priority of store calls when they exceed the entry's rate budget; lower values are served first. */
export enum StorePriority {
    Lists = 0,
    Accept = 1,
    Claim = 2,
    Background = 3,
}

/** Kinds of store effects. */
export enum StoreEffectKind {
    Get = "get",
    Scan = "scan",
    Commit = "commit",
    PutObject = "putObject",
    GetObject = "getObject",
    DeleteObject = "deleteObject",
}

/** A store call that a flow yields. */
export type StoreEffect =
    | { readonly kind: StoreEffectKind.Get; readonly priority: StorePriority; readonly key: string }
    | {
        readonly kind: StoreEffectKind.Scan;
        readonly priority: StorePriority;
        readonly prefix: string;
        readonly after: string;
        readonly limit: number;
    }
    | {
        readonly kind: StoreEffectKind.Commit;
        readonly priority: StorePriority;
        readonly writes: readonly Write[];
    }
    | {
        readonly kind: StoreEffectKind.PutObject;
        readonly priority: StorePriority;
        readonly key: string;
        readonly body: Buffer;
    }
    | { readonly kind: StoreEffectKind.GetObject; readonly priority: StorePriority; readonly key: string }
    | { readonly kind: StoreEffectKind.DeleteObject; readonly priority: StorePriority; readonly key: string };

/** A flow whose only effects are store calls. */
export type StoreFlow<T> = Flow<StoreEffect, T>;

/** Performs store effects. */
export interface Store {
    perform(effect: StoreEffect): Promise<unknown>;
}

/** Reads one row; undefined when it is absent. */
export function* getRow(key: string, priority: StorePriority): StoreFlow<Row | undefined> {
    return (yield { kind: StoreEffectKind.Get, priority, key }) as Row | undefined;
}

/** Options of `scanRows`. */
export interface ScanOptions {
    readonly prefix: string;
    readonly priority: StorePriority;
    /** Only rows whose keys sort after this one. */
    readonly after?: string;
    /** Maximum number of rows per page. */
    readonly limit?: number;
}

const defaultScanLimit = 500;

/** Reads one page of rows in key order. */
export function* scanRows(options: ScanOptions): StoreFlow<readonly Row[]> {
    const { prefix, priority, after = "", limit = defaultScanLimit } = options;
    return (yield { kind: StoreEffectKind.Scan, priority, prefix, after, limit }) as readonly Row[];
}

/** Reads all rows whose keys start with a prefix, page by page. */
export function* scanAllRows(options: ScanOptions): StoreFlow<readonly Row[]> {
    const limit = options.limit ?? defaultScanLimit;
    const rows: Row[] = [];
    for (;;) {
        const page = yield* scanRows({ ...options, limit, after: rows.at(-1)?.key ?? options.after ?? "" });
        rows.push(...page);
        if (page.length < limit) {
            return rows;
        }
    }
}

/** Sends a transaction and returns its outcome. */
export function* commit(writes: readonly Write[], priority: StorePriority): StoreFlow<CommitOutcome> {
    return (yield { kind: StoreEffectKind.Commit, priority, writes }) as CommitOutcome;
}

/** Stores an object. */
export function* putObject(key: string, body: Buffer, priority: StorePriority): StoreFlow<void> {
    yield { kind: StoreEffectKind.PutObject, priority, key, body };
}

/** Reads an object; undefined when it is absent. */
export function* getObject(key: string, priority: StorePriority): StoreFlow<Buffer | undefined> {
    return (yield { kind: StoreEffectKind.GetObject, priority, key }) as Buffer | undefined;
}

/** Deletes an object; deleting an absent one succeeds. */
export function* deleteObject(key: string, priority: StorePriority): StoreFlow<void> {
    yield { kind: StoreEffectKind.DeleteObject, priority, key };
}

/** Write that replaces the row `read`, or creates the row if `read` is undefined. */
export function putWrite(key: string, read: Row | undefined, value: unknown): Write {
    return { kind: WriteKind.Put, key, ifVersion: read?.version ?? 0, value, tokens: read?.tokens ?? [] };
}

/** Write that removes the row `read`. */
export function removeWrite(read: Row): Write {
    return { kind: WriteKind.Remove, key: read.key, ifVersion: read.version };
}
