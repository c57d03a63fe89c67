/**
 * Stand-in of the platform's metadata store, with the limits of its page: 100 entries and 1 MB a call, 65,536 bytes a row, one
 * part a transaction, 20 s of history. A call over a limit is answered with 400 and applies nothing.
 */
import { delay, serve } from "./http.es6";

const rowBytes = 65_536;
const callBytes = 1_000_000;
const maxEntries = 100;
const maxPageRows = 500;
const maxPageBytes = 1_000_000;
const txMs = 6;
const readMs = 4;
const historyMs = 20_000;

const idOf = ({ table, part = "", key }) => `${table}\u0000${part}\u0000${key}`;
const compare = (a, b) => (a < b ? -1 : a > b ? 1 : 0);

export class Store {
    rows = new Map();
    changes = [];
    version = 0;
    compacted = 0;
    waiters = new Set();
    queues = new Map();
    /** Calls refused because of a limit of the page, by reason. */
    refusals = new Map();
    startedAt = performance.now();

    async start() {
        this.server = await serve({
            "POST /v1/rows-tx": ({ body, bytes }) => this.transact(body, bytes),
            "GET /v1/rows-get": ({ query }) => this.read(query),
            "GET /v1/rows-feed": ({ query, closed }) => this.feed(query, closed),
        });
        this.address = this.server.address;
    }

    stop() {
        this.server?.close();
    }

    /** Writes as the operator or a worker; the return is the acknowledgement. */
    put(table, key, value) {
        this.apply([{ table, part: "", key, value: Buffer.from(JSON.stringify(value)).toString("base64") }], []);
    }

    drop(table, key) {
        this.apply([], [{ table, part: "", key }]);
    }

    value(table, key) {
        const row = this.rows.get(idOf({ table, key }));
        return row === undefined ? undefined : JSON.parse(Buffer.from(row.value, "base64").toString());
    }

    newest() {
        return { "schema-version": this.version, "now-ms": Math.round(performance.now() - this.startedAt) };
    }

    apply(puts, removals) {
        const version = ++this.version;
        for (const { table, part = "", key, value = "" } of puts) {
            const row = { table, part, key, value, "schema-version": version };
            this.rows.set(idOf(row), row);
            this.changes.push({ row, version, at: performance.now() });
        }
        for (const { table, part = "", key } of removals) {
            if (this.rows.delete(idOf({ table, part, key }))) {
                const row = { table, part, key, tombstone: true, "schema-version": version };
                this.changes.push({ row, version, at: performance.now() });
            }
        }
        while (this.changes.length > 0 && performance.now() - this.changes[0].at > historyMs) {
            this.compacted = this.changes.shift().version;
        }
        [...this.waiters].forEach(wake => wake());
        return version;
    }

    refuse(status, reason) {
        this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
        return [status, { error: reason }];
    }

    async transact(body, bytes) {
        const conditions = body["expected-rev"] ?? [];
        const puts = body.put ?? [];
        const removals = body.remove ?? [];
        const all = [...conditions, ...puts, ...removals];
        if (all.length > maxEntries) {
            return this.refuse(400, `a call holds at most ${maxEntries} entries`);
        }
        if (bytes > callBytes) {
            return this.refuse(400, "a call holds at most 1 MB");
        }
        if (puts.some(({ value = "" }) => Buffer.from(value, "base64").length > rowBytes)) {
            return this.refuse(400, `a row holds at most ${rowBytes} bytes`);
        }
        const parts = new Set(all.map(({ part = "" }) => part));
        if (parts.size > 1) {
            return this.refuse(400, "all entries share a single part");
        }
        if ([...puts, ...removals].some(({ table }) => table === "op" || table === "servers")) {
            return this.refuse(403, "the system may not write there");
        }
        // A part handles one transaction after the other, 200 a second.
        const [part] = parts;
        const now = performance.now();
        const begin = Math.max(now, this.queues.get(part) ?? 0);
        if (begin - now > 1000) {
            return [429, {}];
        }
        this.queues.set(part, begin + 5);
        await delay(begin - now + txMs);
        const found = conditions.map(condition => ({ condition, row: this.rows.get(idOf(condition)) }));
        if (found.some(({ condition, row }) => (row?.["schema-version"] ?? 0) !== (condition["schema-version"] ?? 0))) {
            return [412, { rows: found.flatMap(({ row }) => row ?? []), ...this.newest() }];
        }
        this.apply(puts, removals);
        return [200, this.newest()];
    }

    async read(query) {
        await delay(readMs);
        const table = query.get("table") ?? "";
        const part = query.get("part") ?? "";
        const from = query.get("from") ?? "";
        const to = query.get("to");
        const limit = Math.min(maxPageRows, Number(query.get("limit") ?? maxPageRows));
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && row.part === part && row.key >= from && (to === null || row.key < to))
            .sort((a, b) => compare(a.key, b.key));
        let bytes = 0;
        const page = [];
        for (const row of rows) {
            bytes += row.value.length;
            if (page.length >= limit || (bytes > maxPageBytes && page.length > 0)) {
                break;
            }
            page.push(row);
        }
        return [200, { rows: page, "has-more": page.length < rows.length, ...this.newest() }];
    }

    async feed(query, closed) {
        await delay(readMs);
        const table = query.get("table") ?? "";
        const after = Number(query.get("after"));
        const until = performance.now() + Math.min(30_000, Number(query.get("wait-ms") ?? 0));
        for (;;) {
            if (after < this.compacted) {
                return [410, {}];
            }
            const rows = this.changes.filter(({ row, version }) => row.table === table && version > after)
                .map(({ row }) => row);
            const left = until - performance.now();
            if (rows.length > 0 || left <= 0 || closed()) {
                return [200, { rows, ...this.newest() }];
            }
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, left);
                this.waiters.add(wake);
            });
        }
    }
}
