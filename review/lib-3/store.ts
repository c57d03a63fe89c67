/** The platform's metadata store (PROTOCOL.md, "The platform's metadata store"), in memory. */
import { setTimeout as pause } from "node:timers/promises";
import type { Answer, Call, Handler } from "./http.js";

interface Row {
    readonly table: string;
    readonly part: string;
    readonly key: string;
    /** Base64; undefined for a row that was removed. */
    readonly value: string | undefined;
    readonly version: number;
}

interface WireRow {
    readonly table: string;
    readonly part?: string;
    readonly key: string;
    readonly value?: string;
    readonly "schema-version"?: number;
}

const readMs = 4;
const transactionMs = 10;
const maxRows = 500;
/** Tables that the system may not write to. */
const platformTables = new Set(["op", "servers"]);

/** Rows, their versions, and who waits for changes. */
export class Store {
    private readonly rows = new Map<string, Row>();
    private readonly changes: Row[] = [];
    private readonly waiters = new Set<() => void>();
    private version = 0;
    private readonly startedAt = performance.now();

    /** Handles the calls of entries. */
    readonly handle: Handler = async call => {
        switch (`${call.method} ${call.url.pathname}`) {
            case "POST /v1/rows-tx":
                await pause(transactionMs);
                return this.transact(call);
            case "GET /v1/rows-get":
                await pause(readMs);
                return this.read(call.url.searchParams);
            case "GET /v1/rows-parts":
                await pause(readMs);
                return this.parts(call.url.searchParams);
            case "GET /v1/rows-feed":
                await pause(readMs);
                return this.feed(call.url.searchParams);
            default:
                return { status: 404, body: {} };
        }
    };

    /** Writes a row as the operator or a worker; the value is stored as JSON. */
    write(table: string, key: string, value: unknown): void {
        this.apply([{ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") }]);
    }

    /** Removes a row as the platform. */
    remove(table: string, key: string): void {
        this.apply([{ table, part: "", key, value: undefined }]);
    }

    /** Value of a row, decoded from JSON; undefined if there is none. */
    find(table: string, part: string, key: string): unknown {
        const value = this.rows.get(idOf({ table, part, key }))?.value;
        return value === undefined ? undefined : JSON.parse(Buffer.from(value, "base64").toString());
    }

    private transact({ body }: Call): Answer {
        const list = (name: string): WireRow[] => (body[name] ?? []) as WireRow[];
        const written = [...list("put"), ...list("remove")];
        if (written.some(({ table }) => platformTables.has(table))) {
            return { status: 403, body: {} };
        }
        const conditions = list("expected-rev");
        if (conditions.some(row => this.versionOf(row) !== (row["schema-version"] ?? 0))) {
            const rows = conditions.flatMap(row => this.present(row) ?? []).map(encode);
            return { status: 412, body: { rows, ...this.state } };
        }
        this.apply([
            ...list("put").map(row => ({ ...keyOf(row), value: row.value ?? "" })),
            ...list("remove").map(row => ({ ...keyOf(row), value: undefined })),
        ]);
        return { status: 200, body: this.state };
    }

    private read(query: URLSearchParams): Answer {
        const [table, part, from, to] = ["table", "part", "from", "to"].map(name => query.get(name) ?? "");
        const limit = Math.min(maxRows, Number(query.get("limit") ?? maxRows));
        const found = [...this.rows.values()]
            .filter(row => row.table === table && row.part === part && row.value !== undefined)
            .filter(({ key }) => key >= from! && (to === "" || key < to!))
            .sort((a, b) => a.key < b.key ? -1 : 1);
        const rows = found.slice(0, limit).map(encode);
        return { status: 200, body: { rows, "has-more": found.length > limit, ...this.state } };
    }

    private parts(query: URLSearchParams): Answer {
        const present = [...this.rows.values()].filter(row =>
            row.table === query.get("table") && row.value !== undefined
        );
        const parts = [...new Set(present.map(({ part }) => part))].sort();
        return { status: 200, body: { parts, "has-more": false, ...this.state } };
    }

    private async feed(query: URLSearchParams): Promise<Answer> {
        const after = Number(query.get("after"));
        const deadline = performance.now() + Number(query.get("wait-ms") ?? 0);
        for (;;) {
            const rows = this.changes.filter(row => row.table === query.get("table") && row.version > after);
            const leftMs = deadline - performance.now();
            if (rows.length > 0 || leftMs <= 0) {
                return { status: 200, body: { rows: rows.map(encode), ...this.state } };
            }
            await this.nextChange(leftMs);
        }
    }

    private nextChange(ms: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.waiters.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, ms);
            this.waiters.add(wake);
        });
    }

    private apply(rows: readonly Omit<Row, "version">[]): void {
        this.version++;
        for (const row of rows) {
            const changed = { ...row, version: this.version };
            this.rows.set(idOf(row), changed);
            this.changes.push(changed);
        }
        [...this.waiters].forEach(wake => wake());
    }

    private get state() {
        return { "schema-version": this.version, "now-ms": Math.round(performance.now() - this.startedAt) };
    }

    private present(row: WireRow): Row | undefined {
        const found = this.rows.get(idOf(keyOf(row)));
        return found?.value === undefined ? undefined : found;
    }

    private versionOf(row: WireRow): number {
        return this.present(row)?.version ?? 0;
    }
}

function keyOf({ table, part = "", key }: WireRow) {
    return { table, part, key };
}

function idOf({ table, part, key }: Pick<Row, "table" | "part" | "key">): string {
    return JSON.stringify([table, part, key]);
}

function encode({ table, part, key, value, version }: Row) {
    const fields = { table, part, key, "schema-version": version };
    return value === undefined ? { ...fields, tombstone: true } : { ...fields, value };
}
