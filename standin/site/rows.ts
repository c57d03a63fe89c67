/** An in-memory row store in virtual time that injects the faults of the real table service. */
import { PlatformError } from "../../src/process/errors.js";
import type { Random } from "../../src/process/random.js";
import {
    type FeedReadOptions,
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
import type { SharedLink } from "../simulation/shared-link.js";
import { RisingCounter } from "./rising-counter.js";
import { CallRates, hasTooManyTables, invalidityOf, maxPageRows, pageOf } from "./row-limits.js";

/** Faults of the row store, for all entries or for the clients of one. */
export interface RowStoreFaults {
    /** No call receives an answer. */
    isUnresponsive: boolean;
    /** Every call is refused after the latency of a read. */
    isBusy: boolean;
    /** Tables whose reads are refused. */
    readonly unreadableTables: Set<string>;
    /** Tables of which reads of the feed receive no answer. */
    readonly unansweredFeeds: Set<string>;
    /** Link over which answers of the feed are transferred; undefined if it is never full. */
    link: SharedLink | undefined;
    /** Factor on the latency of a call. */
    latencyFactor: number;
    /** Share, from 0 to 1, of transactions that are applied but whose answer is lost. */
    lostAnswerShare: number;
    /** Share, from 0 to 1, of transactions that receive no answer and are applied `commitDelayMs` after they were sent. */
    delayedCommitShare: number;
    commitDelayMs: number;
}

/** Faults with nothing injected. */
export function noRowStoreFaults(): RowStoreFaults {
    return {
        isUnresponsive: false,
        isBusy: false,
        unreadableTables: new Set(),
        unansweredFeeds: new Set(),
        link: undefined,
        latencyFactor: 1,
        lostAnswerShare: 0,
        delayedCommitShare: 0,
        commitDelayMs: 2000,
    };
}

/** Fault injected into one transaction, which a test picks by its number. */
export enum TransactionFault {
    /** The transaction is applied and its answer is lost. */
    LostAnswer = "lost",
    /** The transaction receives no answer and is applied `commitDelayMs` after the call has timed out. */
    DelayedCommit = "late",
    /** The transaction is applied and the process that sent it is killed. */
    KillSender = "kill",
}

const readLatencyMs = 6;
const transactionLatencyMs = 12;
const callTimeoutMs = 2500;
/** Time after which the client gives up a read of the feed, in addition to the wait for a change. */
const feedAnswerTimeoutMs = 2000;
/** Time for which a transaction occupies its part, which applies one at a time. */
const partOccupancyMs = 5;
/** Longest wait for a part; a transaction that would wait longer is refused. */
const maxPartQueueMs = 1000;
interface FeedWaiter {
    readonly table: string;
    readonly wake: () => void;
}

/** The row store of a site. */
export class StandinRowStore {
    readonly faults = noRowStoreFaults();
    /** Time by which reads of a table are carried out late, by table, in milliseconds. */
    readonly readDelaysMs = new Map<string, number>();
    private readonly rows = new Map<string, StoredRow>();
    private changes: StoredRow[] = [];
    private readonly waiters = new Set<FeedWaiter>();
    private readonly partFreeAt = new Map<string, number>();
    private readonly versions: RisingCounter;
    private compactedVersion: number;
    /** Calls received, including those that receive no answer. */
    callCount = 0;
    /** Transactions received, except those refused as busy or dropped while the store is unresponsive. */
    transactionCount = 0;
    /** Fault by number of the transaction as `transactionCount` counts them, from 1. */
    readonly transactionFaults = new Map<number, TransactionFault>();
    /** Why calls were refused that can never be carried out, such as those beyond a limit of the store. */
    readonly invalidCalls: string[] = [];
    /** Why a call can never be carried out, beside the limits; a test may replace it. */
    rejects: (tx: RowTransaction) => string | undefined = () => undefined;
    /** Bytes of the rows that were written, before they are encoded, by table. */
    readonly bytesWritten = new Map<string, number>();
    /** Tables that the entries may not write to. */
    readonly readOnlyTables = new Set<string>();
    private readonly tables = new Set<string>();
    private readonly rates: CallRates;
    /** Called with the sender's timer after a `KillSender` transaction is applied; kills that process. */
    onKillSender: (sender: Timer) => void = () => undefined;

    private constructor(private readonly timer: Timer, private readonly random: Random, seed: number) {
        this.rates = new CallRates(timer);
        this.versions = RisingCounter.create({ seed, name: "versions" });
        this.compactedVersion = this.versions.value;
    }

    /** Creates an empty store; `seed` decides where its versions start and by how much they rise. */
    static create(timer: Timer, random: Random, seed = 1): StandinRowStore {
        return new StandinRowStore(timer, random, seed);
    }

    /** Newest version in the store. */
    get version(): number {
        return this.versions.value;
    }

    /** A client of the store on an entry's timer, with the faults `clientFaults` in addition to those of the store. */
    clientFor(timer: Timer, clientFaults: RowStoreFaults = noRowStoreFaults()): RowStore {
        return {
            transact: tx => this.transact(tx, timer, clientFaults),
            read: range => this.read(range, timer, clientFaults),
            feed: (table, since, options) => this.feed(table, since, options, timer, clientFaults),
        };
    }

    /** Writes a row at once and without conditions, as the platform or an operator. */
    write(key: RowKey, value: string): void {
        this.apply({ conditions: [], puts: [{ ...key, value }], removals: [] });
    }

    /** Removes a row at once and without conditions, as the platform. */
    remove(key: RowKey): void {
        this.apply({ conditions: [], puts: [], removals: [key] });
    }

    /** Reads a row at once, without latency or faults. */
    find({ table, part, key }: RowKey): StoredRow | undefined {
        return this.rows.get(rowId(table, part, key));
    }

    /** Discards the history of changes; feeds from an earlier version then return `history-lost`. */
    compact(): void {
        this.changes = [];
        this.compactedVersion = this.version;
    }

    /**
     * Reserves the part of a transaction and returns the wait in milliseconds until it is free; undefined if the wait
     * would exceed `maxPartQueueMs`.
     */
    private reservePart(tx: RowTransaction, latencyFactor: number): number | undefined {
        const part = [...tx.puts, ...tx.removals, ...tx.conditions][0]?.part ?? "";
        const now = this.timer.now();
        const freeAt = Math.max(now, this.partFreeAt.get(part) ?? 0);
        if (freeAt - now > maxPartQueueMs) {
            return undefined;
        }
        this.partFreeAt.set(part, freeAt + partOccupancyMs * latencyFactor);
        return freeAt - now;
    }

    private async transact(
        tx: RowTransaction,
        timer: Timer,
        clientFaults: RowStoreFaults,
    ): Promise<TransactionOutcome> {
        this.callCount++;
        const faults = [this.faults, clientFaults];
        if (faults.some(({ isBusy }) => isBusy)) {
            await sleep(timer, readLatencyMs);
            return { kind: TransactionStatus.Refused, reason: "busy" };
        }
        if (!faults.some(({ isUnresponsive }) => isUnresponsive)) {
            const reason = this.invalidityOf(tx);
            if (reason !== undefined) {
                this.invalidCalls.push(reason);
                await sleep(timer, readLatencyMs);
                return { kind: TransactionStatus.Invalid, reason };
            }
            if (!this.rates.admit("write")) {
                await sleep(timer, readLatencyMs);
                return { kind: TransactionStatus.Refused, reason: "too many write calls" };
            }
        }
        if (faults.some(({ isUnresponsive }) => isUnresponsive)) {
            await sleep(timer, callTimeoutMs);
            return { kind: TransactionStatus.Unknown, reason: "timeout" };
        }
        const copy = structuredClone(tx);
        const fault = this.transactionFaults.get(++this.transactionCount);
        if (fault !== undefined) {
            return this.injectFault(fault, copy, timer);
        }
        if (this.random.chance(Math.max(...faults.map(({ delayedCommitShare }) => delayedCommitShare)))) {
            this.timer.after(this.faults.commitDelayMs, () => this.apply(copy));
            await sleep(timer, callTimeoutMs);
            return { kind: TransactionStatus.Unknown, reason: "timeout" };
        }
        const halfMs = transactionLatencyMs / 2 * maxLatencyFactor(faults);
        const queueMs = this.reservePart(copy, maxLatencyFactor(faults));
        if (queueMs === undefined) {
            await sleep(timer, readLatencyMs);
            return { kind: TransactionStatus.Refused, reason: "too many transactions of one part" };
        }
        return new Promise(resolve => {
            this.timer.after(halfMs + queueMs, () => {
                const outcome = this.apply(copy);
                const isLost = this.random.chance(
                    Math.max(...faults.map(({ lostAnswerShare }) => lostAnswerShare)),
                );
                timer.after(
                    isLost ? callTimeoutMs : halfMs,
                    () => resolve(isLost ? { kind: TransactionStatus.Unknown, reason: "timeout" } : outcome),
                );
            });
        });
    }

    private invalidityOf(tx: RowTransaction): string | undefined {
        const reason = this.rejects(tx);
        if (reason !== undefined) {
            return reason;
        }
        return hasTooManyTables(new Set([...this.tables, ...tx.puts.map(({ table }) => table)]))
            ? "the store holds no more tables"
            : invalidityOf(tx, this.readOnlyTables);
    }

    private async injectFault(
        fault: TransactionFault,
        tx: RowTransaction,
        timer: Timer,
    ): Promise<TransactionOutcome> {
        switch (fault) {
            case TransactionFault.LostAnswer:
                this.timer.after(transactionLatencyMs, () => this.apply(tx));
                break;
            case TransactionFault.DelayedCommit:
                this.timer.after(this.faults.commitDelayMs + callTimeoutMs, () => this.apply(tx));
                break;
            case TransactionFault.KillSender:
                this.timer.after(transactionLatencyMs, () => {
                    this.apply(tx);
                    this.onKillSender(timer);
                });
        }
        await sleep(timer, callTimeoutMs);
        return { kind: TransactionStatus.Unknown, reason: "timeout" };
    }

    private apply(tx: RowTransaction): TransactionOutcome {
        const current = tx.conditions.map(condition => ({
            condition,
            row: this.rows.get(rowId(condition.table, condition.part, condition.key)),
        }));
        if (current.some(({ condition, row }) => (row?.version ?? 0) !== condition.version)) {
            return { kind: TransactionStatus.Conflict, rows: current.flatMap(({ row }) => row ?? []) };
        }
        const version = this.versions.next();
        for (const put of tx.puts) {
            this.setRow({ ...put, version, isRemoved: false });
        }
        for (const { table, part, key } of tx.removals) {
            this.setRow({ table, part, key, value: "", version, isRemoved: true });
        }
        const changedTables = new Set([...tx.puts, ...tx.removals].map(({ table }) => table));
        [...this.waiters].filter(({ table }) => changedTables.has(table)).forEach(({ wake }) => wake());
        return { kind: TransactionStatus.Committed, version };
    }

    private setRow(row: StoredRow): void {
        const key = rowId(row.table, row.part, row.key);
        if (row.isRemoved) {
            this.rows.delete(key);
        }
        else {
            this.rows.set(key, row);
            this.tables.add(row.table);
            const bytes = Buffer.byteLength(row.value);
            this.bytesWritten.set(row.table, (this.bytesWritten.get(row.table) ?? 0) + bytes);
        }
        this.changes.push(row);
    }

    private async read(range: RowRange, timer: Timer, clientFaults: RowStoreFaults): Promise<RowPage> {
        const delayMs = this.readDelaysMs.get(range.table);
        if (delayMs !== undefined) {
            await sleep(timer, delayMs);
        }
        await this.simulateReadCall(timer, clientFaults, timer.now() + callTimeoutMs);
        const { table, part, from = "", to, limit = maxPageRows } = range;
        if ([this.faults, clientFaults].some(({ unreadableTables }) => unreadableTables.has(table))) {
            throw new PlatformError(`row store refused the read of table "${table}"`);
        }
        const rows = [...this.rows.values()]
            .filter(row => row.table === table && row.part === part && row.key >= from)
            .filter(row => to === undefined || row.key < to)
            .sort((a, b) => a.key < b.key ? -1 : 1);
        const page = pageOf(rows, limit);
        return { rows: page, hasMore: rows.length > page.length, version: this.version };
    }

    private async feed(
        table: string,
        since: number,
        { waitMs, onData, signal }: FeedReadOptions,
        timer: Timer,
        clientFaults: RowStoreFaults,
    ): Promise<FeedResult> {
        const deadline = timer.now() + waitMs + feedAnswerTimeoutMs;
        await this.simulateReadCall(timer, clientFaults, deadline);
        if (clientFaults.unansweredFeeds.has(table)) {
            await sleep(timer, deadline - timer.now());
            throw new PlatformError(`row store did not answer the read of the feed of "${table}"`);
        }
        if (since < this.compactedVersion) {
            return { kind: "history-lost" };
        }
        const changed = (): StoredRow[] =>
            this.changes.filter(row => row.table === table && row.version > since);
        if (changed().length === 0) {
            await this.waitForChange(table, waitMs, timer);
        }
        await this.failIfUnresponsive(timer, [this.faults, clientFaults], deadline);
        const rows = changed();
        const { version } = this;
        await clientFaults.link?.transfer(encodedBytes(rows), { onData, signal });
        return { kind: "changes", rows, version };
    }

    private waitForChange(table: string, waitMs: number, timer: Timer): Promise<void> {
        return new Promise(resolve => {
            const waiter: FeedWaiter = {
                table,
                wake: () => {
                    this.waiters.delete(waiter);
                    timer.after(readLatencyMs / 2, resolve);
                },
            };
            this.waiters.add(waiter);
            timer.after(waitMs, waiter.wake);
        });
    }

    private async simulateReadCall(
        timer: Timer,
        clientFaults: RowStoreFaults,
        deadline: number,
    ): Promise<void> {
        this.callCount++;
        const faults = [this.faults, clientFaults];
        await this.failIfUnresponsive(timer, faults, deadline);
        await sleep(timer, readLatencyMs * maxLatencyFactor(faults));
        if (faults.some(({ isBusy }) => isBusy)) {
            throw new PlatformError("row store refused the call: busy");
        }
        if (!this.rates.admit("read")) {
            throw new PlatformError("row store refused the call: too many read calls");
        }
    }

    /** Rejects at `deadline`, when the client gives the call up, if a fault keeps the store from answering now. */
    private async failIfUnresponsive(
        timer: Timer,
        faults: readonly RowStoreFaults[],
        deadline: number,
    ): Promise<void> {
        if (faults.some(({ isUnresponsive }) => isUnresponsive)) {
            await sleep(timer, deadline - timer.now());
            throw new PlatformError("row store did not respond within the timeout of the call");
        }
    }
}

function maxLatencyFactor(faults: readonly RowStoreFaults[]): number {
    return Math.max(...faults.map(({ latencyFactor }) => latencyFactor));
}

/** Size of rows in an answer, where their values are encoded in Base64. */
function encodedBytes(rows: readonly StoredRow[]): number {
    return rows.reduce((bytes, { value }) => bytes + Math.ceil(value.length * 4 / 3), 0);
}

function rowId(table: string, part: string, key: string): string {
    return `${table}\n${part}\n${key}`;
}
