/**
 * Writes the owner's batches of progress. Each transaction names the owner row and the chain row, and rewrites the
 * chain row, so that batches take effect in order, each once, and none after another entry has taken over, however
 * late an unanswered one is carried out.
 */
import type { Flow } from "../process/flow.js";
import {
    isSameRow,
    type RowKey,
    type RowPut,
    type RowTransaction,
    type StoredRow,
    type TransactionOutcome,
    TransactionStatus,
} from "../process/rows.js";
import { chainKey, decodeChain, decodeOwner, type Owner, ownerKey, tables } from "./ownership.js";

/** Effects of the ledger's flows. */
export type LedgerEffect =
    | { readonly kind: "transact"; readonly tx: RowTransaction }
    | { readonly kind: "read-owner" }
    | { readonly kind: "pause"; readonly ms: number };

/** Versions that the next batch depends on. */
export interface LedgerHead {
    readonly domain: string;
    readonly owner: Owner;
    readonly ownerVersion: number;
    readonly chainVersion: number;
    /** Number of the last batch. */
    readonly batch: number;
}

/** Result of a batch. */
export type BatchResult =
    | { readonly kind: "committed"; readonly head: LedgerHead }
    /** Another entry has taken over; nothing may be ordered any more. */
    | { readonly kind: "superseded" };

/** Result of a takeover. */
export type TakeoverResult =
    | { readonly kind: "taken"; readonly head: LedgerHead; readonly previous: Owner | undefined }
    | { readonly kind: "lost" };

/** Entries that a transaction of the store may hold. */
export const maxTransactionEntries = 100;
/** Most rows of a batch; two conditions and the chain row come on top. */
export const maxBatchRows = maxTransactionEntries - 4;
const firstPauseMs = 20;
const longestPauseMs = 250;
/** Attempts to settle a takeover before leaving it to the next round. */
const takeoverAttempts = 4;

/** Stores a batch, retrying until it is known whether it took effect or ownership is lost. */
export function* commitBatch(
    head: LedgerHead,
    puts: readonly RowPut[],
    removals: readonly RowKey[] = [],
): Flow<LedgerEffect, BatchResult> {
    const chain = chainKey(head.domain);
    const batch = head.batch + 1;
    const mark = JSON.stringify({ incarnation: head.owner.incarnation, batch });
    const tx: RowTransaction = {
        conditions: [
            { ...ownerKey(head.domain), version: head.ownerVersion },
            { ...chain, version: head.chainVersion },
        ],
        puts: [{ ...chain, value: mark }, ...puts],
        removals,
    };
    for (let pauseMs = firstPauseMs;; pauseMs = Math.min(longestPauseMs, pauseMs * 2)) {
        const outcome = (yield { kind: "transact", tx }) as TransactionOutcome;
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                return { kind: "committed", head: { ...head, batch, chainVersion: outcome.version } };
            case TransactionStatus.Conflict: {
                const found = outcome.rows.find(row => isSameRow(row, chain));
                const written = decodeChain(found);
                return found !== undefined && written?.batch === batch
                        && written.incarnation === head.owner.incarnation
                    ? { kind: "committed", head: { ...head, batch, chainVersion: found.version } }
                    : { kind: "superseded" };
            }
            case TransactionStatus.Refused:
            case TransactionStatus.Unknown:
                yield { kind: "pause", ms: pauseMs };
        }
    }
}

/** Who wants to become the owner, and whom it wants to replace. */
export interface Candidate {
    readonly entry: string;
    readonly incarnation: string;
    /** Fence of the owner that was found wanting; an owner with another fence is left alone. */
    readonly suspectFence: number;
}

/** Tries to become the owner; the fence rises by one. */
export function* takeOver(domain: string, candidate: Candidate): Flow<LedgerEffect, TakeoverResult> {
    const { entry, incarnation, suspectFence } = candidate;
    const key = ownerKey(domain);
    const chain = chainKey(domain);
    for (let attempt = 0; attempt < takeoverAttempts; attempt++) {
        const row = (yield { kind: "read-owner" }) as StoredRow | undefined;
        const previous = decodeOwner(row);
        const isSuspect = previous === undefined || previous.entry === "" || previous.fence === suspectFence;
        if (!isSuspect && previous.incarnation !== incarnation) {
            return { kind: "lost" };
        }
        const owner: Owner = { entry, incarnation, fence: (previous?.fence ?? 0) + 1 };
        const outcome = (yield {
            kind: "transact",
            tx: {
                conditions: [{ ...key, version: row?.version ?? 0 }],
                puts: [
                    { ...key, value: JSON.stringify(owner) },
                    { ...chain, value: JSON.stringify({ incarnation, batch: 0 }) },
                ],
                removals: [],
            },
        }) as TransactionOutcome;
        if (outcome.kind === TransactionStatus.Committed) {
            const { version } = outcome;
            const head = { domain, owner, ownerVersion: version, chainVersion: version, batch: 0 };
            return { kind: "taken", head, previous };
        }
        if (outcome.kind === TransactionStatus.Conflict) {
            const winner = decodeOwner(outcome.rows.find(found => isSameRow(found, key)));
            if (winner?.incarnation !== incarnation) {
                return { kind: "lost" };
            }
        }
        yield { kind: "pause", ms: firstPauseMs };
    }
    return { kind: "lost" };
}

/** Gives the domain up, so that another entry may take it without waiting. */
export function release(head: LedgerHead, hasLeft: boolean): RowTransaction {
    const key = ownerKey(head.domain);
    const owner: Owner = { ...head.owner, entry: "", hasLeft };
    return {
        conditions: [{ ...key, version: head.ownerVersion }],
        puts: [{ ...key, value: JSON.stringify(owner) }],
        removals: [],
    };
}

/** Row of a job's progress. */
export function progressKey(domain: string, job: string): RowKey {
    return { table: tables.progress, part: domain, key: job };
}
