/** Calls about the rows of the store, as the platform's protocol encodes them. */
import { type RowStore, type StoredRow, TransactionStatus } from "../../src/process/rows.js";
import type { Answer, Routes } from "./http.js";

/** Fields that all responses about rows have: the newest version, and the store's steady clock. */
export interface StoreFields {
    readonly "schema-version": number;
    readonly "now-ms": number;
}

/** Routes of the calls about rows, on a client of the store; `fieldsNow` gives the fields of a response that is sent now. */
export function rowRoutes(store: RowStore, fieldsNow: () => StoreFields): Routes {
    const withFields = async (work: Promise<Answer>): Promise<Answer> => {
        const answer = await work;
        if (answer === undefined || ![200, 412].includes(answer[0])) {
            return answer;
        }
        const [status, body] = answer;
        return [status, { ...fieldsNow(), ...body as object }];
    };
    return {
        "POST /v1/rows-tx": (_, body) => withFields(transact(store, body)),
        "GET /v1/rows-get": url => withFields(read(store, url)),
        "GET /v1/rows-feed": url => withFields(feed(store, url)),
    };
}

async function transact(store: RowStore, body: Record<string, unknown>): Promise<Answer> {
    type Sent = { table: string; part: string; key: string; value?: string; "schema-version"?: number };
    const list = (name: string): Sent[] => body[name] as Sent[];
    const key = ({ table, part, key: name }: Sent) => ({ table, part, key: name });
    const outcome = await store.transact({
        conditions: list("expected-rev").map(row => ({
            ...key(row),
            version: row["schema-version"] ?? 0,
        })),
        puts: list("put").map(row => ({
            ...key(row),
            value: Buffer.from(row.value ?? "", "base64").toString(),
        })),
        removals: list("remove").map(key),
    });
    switch (outcome.kind) {
        case TransactionStatus.Committed:
            return [200, { "schema-version": outcome.version }];
        case TransactionStatus.Conflict:
            return [412, { rows: outcome.rows.map(encodeRow) }];
        case TransactionStatus.Refused:
            return [503, {}];
        case TransactionStatus.Invalid:
            return [400, {}];
        case TransactionStatus.Unknown:
            return undefined;
    }
}

async function read(store: RowStore, url: URL): Promise<Answer> {
    const from = url.searchParams.get("from") ?? "";
    const to = url.searchParams.get("to") ?? undefined;
    const limit = Number(url.searchParams.get("limit") ?? 500);
    const table = url.searchParams.get("table") ?? "";
    const part = url.searchParams.get("part") ?? "";
    const page = await store.read({ table, part, from, limit, ...(to !== undefined && { to }) });
    return [200, {
        rows: page.rows.map(encodeRow),
        "has-more": page.hasMore,
        "schema-version": page.version,
    }];
}

async function feed(store: RowStore, url: URL): Promise<Answer> {
    const number = (name: string): number => Number(url.searchParams.get(name));
    const result = await store.feed(
        url.searchParams.get("table") ?? "",
        number("after"),
        { waitMs: number("wait-ms") },
    );
    return result.kind === "history-lost"
        ? [410, {}]
        : [200, { rows: result.rows.map(encodeRow), "schema-version": result.version }];
}

function encodeRow(row: StoredRow): unknown {
    const { table, part, key, value, version, isRemoved } = row;
    const fields = { table, part, key, "schema-version": version };
    return isRemoved
        ? { ...fields, tombstone: true }
        : { ...fields, value: Buffer.from(value).toString("base64") };
}
