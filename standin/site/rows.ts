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
export interface RowStoreFaults {
    /** No call is answered. */
    isUnresponsive: boolean;
    /** Every call is refused at once. */
    isBusy: boolean;
    /** Factor on the time that a call takes. */
    latencyFactor: number;
    /** Share of transactions whose answer is lost after they took effect. */
    lostAnswerShare: number;
    /** Share of transactions that are not answered and carried out `lateMs` later. */
    delayedCommitShare: number;
    commitDelayMs: number;
}

/** No faults. */
export function noRowStoreFaults(): RowStoreFaults {
    return {
        isUnresponsive: false,
        isBusy: false,
        latencyFactor: 1,
        lostAnswerShare: 0,
        delayedCommitShare: 0,
        commitDelayMs: 2000,
    };
}

/** What happens to one transaction that a test picks by its number. */
export enum TransactionFault {
    /** It takes effect and its answer is lost. */
    LostAnswer = "lost",
    /** It is not answered and takes effect seconds later. */
    DelayedCommit = "late",
    /** It takes effect and the process that sent it ends. */
    KillSender = "kill",
}

const readLatencyMs = 6;
const transactionLatencyMs = 12;
const callTimeoutMs = 2500;
/** Time that a transaction occupies its part, and the longest line of a part. */
const partOccupancyMs = 5;
const maxPartQueueMs = 1000;
const defaultPageRows = 500;

interface FeedWaiter {
    readonly table: string;
    readonly wake: () => void;
}

/** The rows of a site. */
export class StandinRowStore {
    readonly faults = noRowStoreFaults();
    private readonly rows = new Map<string, StoredRow>();
    private changes: StoredRow[] = [];
    private readonly waiters = new Set<FeedWaiter>();
    private readonly partFreeAt = new Map<string, number>();
    private version = 0;
    private compactedVersion = 0;
    /** Calls answered or refused. */
    callCount = 0;
    /** Transactions that were sent. */
    transactionCount = 0;
    /** Fault of a transaction by its number, the first being 1. */
    readonly transactionFaults = new Map<number, TransactionFault>();
    /** Called when a transaction that was picked for it has taken effect; ends the sender. */
    onKillSender: (sender: Timer) => void = () => undefined;

    private constructor(private readonly timer: Timer, private readonly random: Random) {}

    static create(timer: Timer, random: Random): StandinRowStore {
        return new StandinRowStore(timer, random);
    }

    /** The store as one entry sees it. */
    clientFor(timer: Timer, own: RowStoreFaults = noRowStoreFaults()): RowStore {
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
    remove(key: RowKey): void {
        this.apply({ conditions: [], puts: [], removals: [key] });
    }

    /** Reads at once. */
    find({ table, part, key }: RowKey): StoredRow | undefined {
        return this.rows.get(rowId(table, part, key));
    }

    /** Forgets the history of changes. */
    compact(): void {
        this.changes = [];
        this.compactedVersion = this.version;
    }

    /** Time until a part takes another transaction; undefined when its line is too long. */
    private reservePart(tx: RowTransaction, slowness: number): number | undefined {
        const part = [...tx.puts, ...tx.removals, ...tx.conditions][0]?.part ?? "";
        const now = this.timer.now();
        const freeAt = Math.max(now, this.partFreeAt.get(part) ?? 0);
        if (freeAt - now > maxPartQueueMs) {
            return undefined;
        }
        this.partFreeAt.set(part, freeAt + partOccupancyMs * slowness);
        return freeAt - now;
    }

    private async transact(
        tx: RowTransaction,
        timer: Timer,
        own: RowStoreFaults,
    ): Promise<TransactionOutcome> {
        this.callCount++;
        const faults = [this.faults, own];
        if (faults.some(({ isBusy }) => isBusy)) {
            await sleep(timer, readLatencyMs);
            return { kind: TransactionStatus.Refused, reason: "busy" };
        }
        if (faults.some(({ isUnresponsive: isSilent }) => isSilent)) {
            await sleep(timer, callTimeoutMs);
            return { kind: TransactionStatus.Unknown, reason: "timeout" };
        }
        const copy = structuredClone(tx);
        const fault = this.transactionFaults.get(++this.transactionCount);
        if (fault !== undefined) {
            return this.injectFault(fault, copy, timer);
        }
        if (this.random.chance(Math.max(...faults.map(({ delayedCommitShare: lateShare }) => lateShare)))) {
            this.timer.after(this.faults.commitDelayMs, () => this.apply(copy));
            await sleep(timer, callTimeoutMs);
            return { kind: TransactionStatus.Unknown, reason: "timeout" };
        }
        const half = transactionLatencyMs / 2 * maxLatencyFactor(faults);
        const lineMs = this.reservePart(copy, maxLatencyFactor(faults));
        if (lineMs === undefined) {
            await sleep(timer, readLatencyMs);
            return { kind: TransactionStatus.Refused, reason: "too many transactions of one part" };
        }
        return new Promise(resolve => {
            this.timer.after(half + lineMs, () => {
                const outcome = this.apply(copy);
                const isLost = this.random.chance(
                    Math.max(...faults.map(({ lostAnswerShare: lostShare }) => lostShare)),
                );
                timer.after(
                    isLost ? callTimeoutMs : half,
                    () => resolve(isLost ? { kind: TransactionStatus.Unknown, reason: "timeout" } : outcome),
                );
            });
        });
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
        const version = ++this.version;
        for (const put of tx.puts) {
            this.setRow({ ...put, version, isRemoved: false });
        }
        for (const { table, part, key } of tx.removals) {
            this.setRow({ table, part, key, value: "", version, isRemoved: true });
        }
        const touched = new Set([...tx.puts, ...tx.removals].map(({ table }) => table));
        [...this.waiters].filter(({ table }) => touched.has(table)).forEach(({ wake }) => wake());
        return { kind: TransactionStatus.Committed, version };
    }

    private setRow(row: StoredRow): void {
        const key = rowId(row.table, row.part, row.key);
        if (row.isRemoved) {
            this.rows.delete(key);
        }
        else {
            this.rows.set(key, row);
        }
        this.changes.push(row);
    }

    private async read(range: RowRange, timer: Timer, own: RowStoreFaults): Promise<RowPage> {
        await this.simulateReadCall(timer, own);
        const { table, part, from = "", to, limit = defaultPageRows } = range;
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
        own: RowStoreFaults,
    ): Promise<FeedResult> {
        await this.simulateReadCall(timer, own);
        if (since < this.compactedVersion) {
            return { kind: "history-lost" };
        }
        const changed = (): StoredRow[] =>
            this.changes.filter(row => row.table === table && row.version > since);
        if (changed().length === 0) {
            await this.waitForChange(table, waitMs, timer);
        }
        return { kind: "changes", rows: changed(), version: this.version };
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

    private async simulateReadCall(timer: Timer, own: RowStoreFaults): Promise<void> {
        this.callCount++;
        const faults = [this.faults, own];
        if (faults.some(({ isUnresponsive: isSilent }) => isSilent)) {
            await sleep(timer, callTimeoutMs);
            throw new PlatformError("the store does not answer");
        }
        await sleep(timer, readLatencyMs * maxLatencyFactor(faults));
        if (faults.some(({ isBusy }) => isBusy)) {
            throw new PlatformError("the store is busy");
        }
    }
}

function maxLatencyFactor(faults: readonly RowStoreFaults[]): number {
    return Math.max(...faults.map(({ latencyFactor: slowness }) => slowness));
}

function rowId(table: string, part: string, key: string): string {
    return `${table}\n${part}\n${key}`;
}
