/** A table service in memory, in virtual time, with the faults that the real one shows. */
import { PlatformError } from "../../src/process/errors.js";
import type { Random } from "../../src/process/random.js";
import {
    type FeedResult,
    type RowKey,
    type RowPage,
    type RowRange,
    type RowStore,
    type RowTransaction,
    type StoredRow,
    type TransactionOutcome,
    TransactionStatus,
} from "../../src/process/rows.js";
import { sleep, type Timer } from "../../src/process/timer.js";

/** Faults of the store, for all entries or for some. */
export interface RowFaults {
    /** No call is answered. */
    isSilent: boolean;
    /** Every call is refused at once. */
    isBusy: boolean;
    /** Factor on the time that a call takes. */
    slowness: number;
    /** Share of transactions whose answer is lost after they took effect. */
    lostShare: number;
    /** Share of transactions that are not answered and carried out `lateMs` later. */
    lateShare: number;
    lateMs: number;
}

/** No faults. */
export function noRowFaults(): RowFaults {
    return { isSilent: false, isBusy: false, slowness: 1, lostShare: 0, lateShare: 0, lateMs: 2000 };
}

/** What happens to one transaction that a test picks by its number. */
export enum PickedFault {
    /** It takes effect and its answer is lost. */
    Lost = "lost",
    /** It is not answered and takes effect seconds later. */
    Late = "late",
    /** It takes effect and the process that sent it ends. */
    Kill = "kill",
}

const readMs = 6;
const transactMs = 12;
const timeoutMs = 2500;
/** Time that a transaction occupies its part, and the longest line of a part. */
const partMs = 5;
const longestLineMs = 1000;
const pageRows = 500;

interface Waiter {
    readonly table: string;
    readonly wake: () => void;
}

/** The rows of a site. */
export class StandinRows {
    readonly faults = noRowFaults();
    private readonly rows = new Map<string, StoredRow>();
    private changes: StoredRow[] = [];
    private readonly waiters = new Set<Waiter>();
    private readonly partFreeAt = new Map<string, number>();
    private version = 0;
    private oldestKept = 0;
    /** Calls answered or refused. */
    calls = 0;
    /** Transactions that were sent. */
    transactions = 0;
    /** Fault of a transaction by its number, the first being 1. */
    readonly picked = new Map<number, PickedFault>();
    /** Called when a transaction that was picked for it has taken effect; ends the sender. */
    onKill: (sender: Timer) => void = () => undefined;

    private constructor(private readonly timer: Timer, private readonly random: Random) {}

    static create(timer: Timer, random: Random): StandinRows {
        return new StandinRows(timer, random);
    }

    /** The store as one entry sees it. */
    viewFor(timer: Timer, own: RowFaults = noRowFaults()): RowStore {
        return {
            transact: tx => this.transact(tx, timer, own),
            read: range => this.read(range, timer, own),
            feed: (table, since, waitMs) => this.feed(table, since, waitMs, timer, own),
        };
    }

    /** Writes as the platform or an operator does, at once. */
    write(key: RowKey, value: string): void {
        this.apply({ conditions: [], puts: [{ ...key, value }], removals: [] });
    }

    /** Removes as the platform does, at once. */
    drop(key: RowKey): void {
        this.apply({ conditions: [], puts: [], removals: [key] });
    }

    /** Reads at once. */
    find({ table, part, key }: RowKey): StoredRow | undefined {
        return this.rows.get(name(table, part, key));
    }

    /** Forgets the history of changes. */
    compact(): void {
        this.changes = [];
        this.oldestKept = this.version;
    }

    /** Time until a part takes another transaction; undefined when its line is too long. */
    private queueFor(tx: RowTransaction, slowness: number): number | undefined {
        const part = [...tx.puts, ...tx.removals, ...tx.conditions][0]?.part ?? "";
        const now = this.timer.now();
        const freeAt = Math.max(now, this.partFreeAt.get(part) ?? 0);
        if (freeAt - now > longestLineMs) {
            return undefined;
        }
        this.partFreeAt.set(part, freeAt + partMs * slowness);
        return freeAt - now;
    }

    private async transact(tx: RowTransaction, timer: Timer, own: RowFaults): Promise<TransactionOutcome> {
        this.calls++;
        const faults = [this.faults, own];
        if (faults.some(({ isBusy }) => isBusy)) {
            await sleep(timer, readMs);
            return { kind: TransactionStatus.Refused, reason: "busy" };
        }
        if (faults.some(({ isSilent }) => isSilent)) {
            await sleep(timer, timeoutMs);
            return { kind: TransactionStatus.Unknown, reason: "timeout" };
        }
        const copy = structuredClone(tx);
        const fault = this.picked.get(++this.transactions);
        if (fault !== undefined) {
            return this.suffer(fault, copy, timer);
        }
        if (this.random.chance(Math.max(...faults.map(({ lateShare }) => lateShare)))) {
            this.timer.after(this.faults.lateMs, () => this.apply(copy));
            await sleep(timer, timeoutMs);
            return { kind: TransactionStatus.Unknown, reason: "timeout" };
        }
        const half = transactMs / 2 * slowest(faults);
        const lineMs = this.queueFor(copy, slowest(faults));
        if (lineMs === undefined) {
            await sleep(timer, readMs);
            return { kind: TransactionStatus.Refused, reason: "too many transactions of one part" };
        }
        return new Promise(resolve => {
            this.timer.after(half + lineMs, () => {
                const outcome = this.apply(copy);
                const isLost = this.random.chance(Math.max(...faults.map(({ lostShare }) => lostShare)));
                timer.after(
                    isLost ? timeoutMs : half,
                    () => resolve(isLost ? { kind: TransactionStatus.Unknown, reason: "timeout" } : outcome),
                );
            });
        });
    }

    private async suffer(fault: PickedFault, tx: RowTransaction, timer: Timer): Promise<TransactionOutcome> {
        switch (fault) {
            case PickedFault.Lost:
                this.timer.after(transactMs, () => this.apply(tx));
                break;
            case PickedFault.Late:
                this.timer.after(this.faults.lateMs + timeoutMs, () => this.apply(tx));
                break;
            case PickedFault.Kill:
                this.timer.after(transactMs, () => {
                    this.apply(tx);
                    this.onKill(timer);
                });
        }
        await sleep(timer, timeoutMs);
        return { kind: TransactionStatus.Unknown, reason: "timeout" };
    }

    private apply(tx: RowTransaction): TransactionOutcome {
        const current = tx.conditions.map(condition => ({
            condition,
            row: this.rows.get(name(condition.table, condition.part, condition.key)),
        }));
        if (current.some(({ condition, row }) => (row?.version ?? 0) !== condition.version)) {
            return { kind: TransactionStatus.Conflict, rows: current.flatMap(({ row }) => row ?? []) };
        }
        const version = ++this.version;
        for (const put of tx.puts) {
            this.set({ ...put, version, isRemoved: false });
        }
        for (const { table, part, key } of tx.removals) {
            this.set({ table, part, key, value: "", version, isRemoved: true });
        }
        const touched = new Set([...tx.puts, ...tx.removals].map(({ table }) => table));
        [...this.waiters].filter(({ table }) => touched.has(table)).forEach(({ wake }) => wake());
        return { kind: TransactionStatus.Committed, version };
    }

    private set(row: StoredRow): void {
        const key = name(row.table, row.part, row.key);
        if (row.isRemoved) {
            this.rows.delete(key);
        }
        else {
            this.rows.set(key, row);
        }
        this.changes.push(row);
    }

    private async read(range: RowRange, timer: Timer, own: RowFaults): Promise<RowPage> {
        await this.reach(timer, own);
        const { table, part, from = "", to, limit = pageRows } = range;
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && row.part === part && row.key >= from)
            .filter(row => to === undefined || row.key < to)
            .sort((a, b) => a.key < b.key ? -1 : 1);
        return { rows: rows.slice(0, limit), hasMore: rows.length > limit, version: this.version };
    }

    private async feed(
        table: string,
        since: number,
        waitMs: number,
        timer: Timer,
        own: RowFaults,
    ): Promise<FeedResult> {
        await this.reach(timer, own);
        if (since < this.oldestKept) {
            return { kind: "history-lost" };
        }
        const changed = (): StoredRow[] =>
            this.changes.filter(row => row.table === table && row.version > since);
        if (changed().length === 0) {
            await this.change(table, waitMs, timer);
        }
        return { kind: "changes", rows: changed(), version: this.version };
    }

    private change(table: string, waitMs: number, timer: Timer): Promise<void> {
        return new Promise(resolve => {
            const waiter: Waiter = {
                table,
                wake: () => {
                    this.waiters.delete(waiter);
                    timer.after(readMs / 2, resolve);
                },
            };
            this.waiters.add(waiter);
            timer.after(waitMs, waiter.wake);
        });
    }

    private async reach(timer: Timer, own: RowFaults): Promise<void> {
        this.calls++;
        const faults = [this.faults, own];
        if (faults.some(({ isSilent }) => isSilent)) {
            await sleep(timer, timeoutMs);
            throw new PlatformError("the store does not answer");
        }
        await sleep(timer, readMs * slowest(faults));
        if (faults.some(({ isBusy }) => isBusy)) {
            throw new PlatformError("the store is busy");
        }
    }
}

function slowest(faults: readonly RowFaults[]): number {
    return Math.max(...faults.map(({ slowness }) => slowness));
}

function name(table: string, part: string, key: string): string {
    return `${table}\n${part}\n${key}`;
}
