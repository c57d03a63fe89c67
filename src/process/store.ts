/**
 * The platform's table service and object store as the decision logic sees them: rows with versions, transactions
 * of conditional writes, and effects that flows yield to use them.
 */
import type { Flow } from "./flow.js";

/** A row as last read. Versions grow by one with each write; an absent row has version 0. */
export interface Row {
    readonly key: string;
    readonly version: number;
    readonly value: unknown;
    /** Tokens of the row's last writers, newest first; the store client uses them to resolve lost answers. */
    readonly tokens?: readonly string[];
}

/** One conditional write of a transaction. */
export type Write =
    | {
        readonly kind: WriteKind.Put;
        readonly key: string;
        readonly ifVersion: number;
        readonly value: unknown;
        readonly tokens?: readonly string[];
    }
    | { readonly kind: WriteKind.Remove; readonly key: string; readonly ifVersion: number };

/** What a write does to its row. */
export enum WriteKind {
    Put = "put",
    Remove = "remove",
}

/** What is known about a transaction after it was sent. */
export enum CommitOutcome {
    /** It took effect. */
    Committed = "committed",
    /** It did not and will not take effect, because a row had changed. */
    Conflict = "conflict",
    /** It may or may not have taken effect; read the rows again before deciding anything. */
    Unknown = "unknown",
}

/** Order in which store calls are served when the entry's budget is short; lower goes first. */
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

/** A call to the store that a flow asks for. */
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

/** A flow that uses nothing but the store. */
export type StoreFlow<T> = Flow<StoreEffect, T>;

/** Carries out store effects. */
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
    /** Only rows with keys after this one. */
    readonly after?: string;
    /** Most rows to return. */
    readonly limit?: number;
}

const defaultScanLimit = 500;

/** Reads one page of rows in key order. */
export function* scanRows(options: ScanOptions): StoreFlow<readonly Row[]> {
    const { prefix, priority, after = "", limit = defaultScanLimit } = options;
    return (yield { kind: StoreEffectKind.Scan, priority, prefix, after, limit }) as readonly Row[];
}

/** Reads every row under a prefix, page by page. */
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

/** Sends a transaction and reports what became of it. */
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

/** A write that replaces the row that was read, or creates it when it was absent. */
export function putWrite(key: string, read: Row | undefined, value: unknown): Write {
    return { kind: WriteKind.Put, key, ifVersion: read?.version ?? 0, value, tokens: read?.tokens ?? [] };
}

/** A write that removes the row that was read. */
export function removeWrite(read: Row): Write {
    return { kind: WriteKind.Remove, key: read.key, ifVersion: read.version };
}
