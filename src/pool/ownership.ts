/**
 * Ownership of a domain: one row names the owner, its life and its fence. Who writes the row with a higher fence, on
 * the version it read, is the owner; all that an earlier owner still tries then fails on that row or at the workers.
 */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import type { RowKey, StoredRow } from "../process/rows.js";

/** Rows and tables of a domain. */
export const tables = {
    /** Owner rows and members. */
    cluster: "cluster",
    /** Accepted jobs and cancellations, written by any entry. */
    jobs: "jobs",
    /** Progress of jobs, written by the owner alone. */
    progress: "progress",
    /** One row that changes with each batch of progress. */
    chain: "chain",
    /** The VMs that owners ordered lately. */
    vmOrders: "vm-orders",
} as const;

/** An owner row. */
export interface Owner {
    /** Entry VM; empty when the last owner gave the domain up. */
    readonly entry: string;
    readonly incarnation: string;
    readonly fence: number;
    /** Whether the domain was given up by a process that was stopping. */
    readonly hasLeft?: boolean;
}

const ownerRow = z.object({
    entry: z.string(),
    incarnation: z.string(),
    fence: z.number(),
    hasLeft: z.boolean().exactOptional(),
});
const chainRow = z.object({ incarnation: z.string(), batch: z.number() });

/** Key of a domain's owner row. */
export function ownerKey(domain: string): RowKey {
    return { table: tables.cluster, part: domain, key: "owner" };
}

/** Key of a domain's chain row. */
export function chainKey(domain: string): RowKey {
    return { table: tables.chain, part: domain, key: "head" };
}

/** Decodes an owner row; undefined when it is absent or malformed. */
export function decodeOwner(row: StoredRow | undefined): Owner | undefined {
    return row === undefined || row.isRemoved ? undefined : decode(ownerRow, row.value);
}

/** A batch of progress: the owner's life and the number of the batch in it. */
export interface ChainHead {
    readonly incarnation: string;
    readonly batch: number;
}

/** Decodes a chain row; undefined when it is absent or malformed. */
export function decodeChain(row: StoredRow | undefined): ChainHead | undefined {
    return row === undefined || row.isRemoved ? undefined : decode(chainRow, row.value);
}

function decode<T>(schema: z.ZodType<T>, text: string): T | undefined {
    const parsed = schema.safeParse(parseJson(text));
    return parsed.success ? parsed.data : undefined;
}

/** What an entry knows when it considers taking a domain over. */
export interface TakeoverView {
    readonly self: string;
    readonly owner: Owner | undefined;
    /** Whether the owner's process has certainly ended: its VM runs another one. */
    readonly hasOwnerEnded: boolean;
    /** Milliseconds since the owner was last heard by this entry or any peer that answered. */
    readonly ownerSilentMs: number;
    /** Milliseconds since the owner last reached the store, by its own word. */
    readonly ownerStoreAgeMs: number;
    /** Milliseconds since this entry last reached the store. */
    readonly storeAgeMs: number;
    /** Place of this entry among those that would take over; 0 goes first. */
    readonly rank: number;
    readonly isStopping: boolean;
}

/** Silence after which an owner is taken for dead. Fencing makes a mistake harmless, so it may be short. */
export const ownerTimeoutMs = 600;
/** Delay between the candidates of successive rank, which keeps them from racing. */
const rankDelayMs = 150;
/** Age of the owner's last store answer from which another entry serves better, if its own is fresh. */
const ownerStoreStaleMs = 800;
/** Age up to which this entry's own contact with the store counts as fresh. */
const maxOwnStoreAgeMs = 600;

/** Whether this entry should try to take the domain over now. */
export function shouldTakeOver(view: TakeoverView): boolean {
    const {
        self,
        owner,
        hasOwnerEnded: isOwnerGone,
        ownerSilentMs,
        ownerStoreAgeMs,
        storeAgeMs,
        rank,
        isStopping,
    } = view;
    if (isStopping || storeAgeMs > maxOwnStoreAgeMs) {
        return false;
    }
    const delay = rank * rankDelayMs;
    const isVacant = owner === undefined || owner.entry === "" || isOwnerGone;
    if (owner?.entry === self) {
        return isOwnerGone;
    }
    return ownerSilentMs > (isVacant ? delay : ownerTimeoutMs + delay)
        || (!isVacant && ownerStoreAgeMs > ownerStoreStaleMs + delay);
}
