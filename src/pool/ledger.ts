/**
 * Writes the owner's batches of progress. Each transaction is conditional on the owner row and the chain row, and
 * rewrites the chain row. Batches are therefore applied in order, each exactly once, and none is applied after another
 * entry has taken over, however late the store executes a transaction whose response was lost.
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
import { decodeLeaseBounds, type LeaseBounds, leaseBoundsKey, leaseBoundsRow } from "./lease-bounds.js";
import { chainKey, decodeChain, decodeOwner, fencesPerTenure, type Owner, ownerKey } from "./ownership.js";

/** Effects that the flows in this file yield. */
export type LedgerEffect =
    | { readonly kind: "transact"; readonly tx: RowTransaction }
    /** Reads the owner row and the row of lease bounds, and returns `OwnershipRows`. Yielded by `takeOver` only. */
    | { readonly kind: "read-ownership" }
    | { readonly kind: "pause"; readonly ms: number };

/** Rows that a takeover replaces; undefined if they do not exist. The owner can be the candidate, if an answer was lost. */
export interface OwnershipRows {
    readonly owner?: StoredRow | undefined;
    readonly leaseBounds?: StoredRow | undefined;
}

/** State on which the next batch is conditional. */
export interface LedgerHead {
    readonly domain: string;
    readonly owner: Owner;
    readonly ownerVersion: number;
    readonly chainVersion: number;
    /** Number of the last committed batch; 0 directly after the takeover. */
    readonly batch: number;
}

/** Result of a batch. */
export type BatchResult =
    | { readonly kind: "committed"; readonly head: LedgerHead }
    /** The store will never accept the batch; nothing of it is stored. */
    | { readonly kind: "invalid"; readonly reason: string }
    /** Another entry has taken over; this one must send no more orders. */
    | { readonly kind: "superseded" };

/** Result of a takeover. */
export type TakeoverResult =
    | {
        readonly kind: "taken";
        readonly head: LedgerHead;
        readonly previous: Owner | undefined;
        readonly leaseBounds: LeaseBounds;
    }
    | { readonly kind: "lost" };

const initialBackoffMs = 20;
const maxBackoffMs = 250;
/** Attempts per takeover; after these, the caller's next ownership check tries again. */
const maxTakeoverAttempts = 4;

/** Commits a batch, retrying until it is known to be committed, ownership is lost, or the store will never accept it. */
export function* commitBatch(
    head: LedgerHead,
    puts: readonly RowPut[],
    removals: readonly RowKey[] = [],
): Flow<LedgerEffect, BatchResult> {
    const chain = chainKey(head.domain);
    const batch = head.batch + 1;
    const chainValue = JSON.stringify({ incarnation: head.owner.incarnation, batch });
    const tx: RowTransaction = {
        conditions: [
            { ...ownerKey(head.domain), version: head.ownerVersion },
            { ...chain, version: head.chainVersion },
        ],
        puts: [{ ...chain, value: chainValue }, ...puts],
        removals,
    };
    for (let pauseMs = initialBackoffMs;; pauseMs = Math.min(maxBackoffMs, pauseMs * 2)) {
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
            case TransactionStatus.Invalid:
                return { kind: "invalid", reason: outcome.reason };
            case TransactionStatus.Refused:
            case TransactionStatus.Unknown:
                yield { kind: "pause", ms: pauseMs };
        }
    }
}

/** The entry that wants to become the owner, and the owner that it wants to replace. */
export interface Candidate {
    readonly entry: string;
    readonly incarnation: string;
    /** Fencing token of the owner to replace; an owner with any other fencing token is not replaced. */
    readonly suspectFence: number;
    /** Lease bounds for the tenure with the given fencing token, from the previous owner and the stored bounds. */
    readonly inheritBounds: (
        fence: number,
        previous: Owner | undefined,
        stored: LeaseBounds | undefined,
    ) => LeaseBounds;
}

/**
 * The owner before, if its row is gone or cannot be used: workers have seen its fencing token, so the next one has to be
 * higher, and it may run on. Undefined if no token is known, as in a new domain.
 */
function unknownOwner(fence: number): Owner | undefined {
    return fence === 0 ? undefined : { entry: "unknown", incarnation: "", fence };
}

/** Tries to become the owner, with fencing tokens above that of the previous owner; see `fencesPerTenure`. */
export function* takeOver(domain: string, candidate: Candidate): Flow<LedgerEffect, TakeoverResult> {
    const { entry, incarnation, suspectFence, inheritBounds } = candidate;
    const key = ownerKey(domain);
    const chain = chainKey(domain);
    const boundsKey = leaseBoundsKey(domain);
    for (let attempt = 0; attempt < maxTakeoverAttempts; attempt++) {
        const rows = (yield { kind: "read-ownership" }) as OwnershipRows;
        const ownerVersion = rows.owner?.version ?? 0;
        const stored = decodeLeaseBounds(rows.leaseBounds);
        const owner = decodeOwner(rows.owner);
        const isSuspect = owner === undefined || owner.entry === "" || owner.fence === suspectFence;
        if (!isSuspect && owner.incarnation !== incarnation) {
            return { kind: "lost" };
        }
        const previous = owner ?? unknownOwner(Math.max(suspectFence, stored?.fence ?? 0));
        const next: Owner = {
            entry,
            incarnation,
            fence: (previous?.fence ?? 0) + fencesPerTenure,
        };
        const leaseBounds = inheritBounds(next.fence, previous, stored);
        const outcome = (yield {
            kind: "transact",
            tx: {
                conditions: [
                    { ...key, version: ownerVersion },
                    { ...boundsKey, version: rows.leaseBounds?.version ?? 0 },
                ],
                puts: [
                    { ...key, value: JSON.stringify(next) },
                    { ...chain, value: JSON.stringify({ incarnation, batch: 0 }) },
                    leaseBoundsRow(domain, leaseBounds),
                ],
                removals: [],
            },
        }) as TransactionOutcome;
        if (outcome.kind === TransactionStatus.Committed) {
            const { version } = outcome;
            const head = { domain, owner: next, ownerVersion: version, chainVersion: version, batch: 0 };
            return { kind: "taken", head, previous, leaseBounds };
        }
        if (outcome.kind === TransactionStatus.Conflict) {
            const found = outcome.rows.find(row => isSameRow(row, key));
            const hasOwnerChanged = (found?.version ?? 0) !== ownerVersion;
            if (hasOwnerChanged && decodeOwner(found)?.incarnation !== incarnation) {
                return { kind: "lost" };
            }
        }
        yield { kind: "pause", ms: initialBackoffMs };
    }
    return { kind: "lost" };
}

/**
 * Transaction that releases a domain, so that another entry can take it over without waiting for a time-out.
 * `rows` are for the next owner.
 */
export function releaseTransaction(
    head: LedgerHead,
    flags: Required<Pick<Owner, "hasLeft" | "wasSlow">>,
    rows: readonly RowPut[],
): RowTransaction {
    const key = ownerKey(head.domain);
    const owner: Owner = { ...head.owner, entry: "", ...flags };
    return {
        conditions: [{ ...key, version: head.ownerVersion }],
        puts: [{ ...key, value: JSON.stringify(owner) }, ...rows],
        removals: [],
    };
}
