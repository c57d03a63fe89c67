/**
 * Ownership of a domain. One row in the store names the owner, its incarnation and its fencing token (`fence`). An
 * entry becomes the owner by writing a higher fencing token, conditional on the version of the row that it read. Any
 * later write by an earlier owner then fails on that row, and its orders are rejected by the workers.
 */
import { z } from "zod";
import { counterSchema } from "../process/bounds.js";
import { parseJson } from "../process/json.js";
import type { RowRefusals } from "../process/row-refusals.js";
import type { RowKey, StoredRow } from "../process/rows.js";

/** Tables of a domain in the store. */
export const tables = {
    /** Owner rows and member rows. */
    cluster: "cluster",
    /** Accepted jobs and cancellations, written by any entry. */
    jobs: "jobs",
    /** Who cancelled jobs that were not accepted, written by any entry together with the marker in their place. */
    refusals: "job-refusals",
    /** Progress of jobs, written only by the owner. */
    progress: "progress",
    /** Tasks of jobs whose progress is too large for one row. */
    progressTasks: "progress-tasks",
    /** One row per domain that is rewritten with each batch of progress. */
    chain: "chain",
    /** One row per domain with the bounds on leases that its owners have granted. */
    leases: "leases",
    /** One row for each part of what the owner has learned. */
    ownerState: "owner-state",
    /** VMs that owners ordered recently. */
    vmOrders: "vm-orders",
} as const;

/** An owner row. */
export interface Owner {
    /** Name of the entry VM; empty when the last owner released the domain. */
    readonly entry: string;
    readonly incarnation: string;
    readonly fence: number;
    /** Whether the domain was released by a process that was shutting down. */
    readonly hasLeft?: boolean;
    /** Whether the domain was released by a process that lagged. */
    readonly wasSlow?: boolean;
}

/** Fencing tokens that an owner may put into its orders to workers, both inclusive. */
export interface FenceRange {
    readonly first: number;
    readonly last: number;
}

/**
 * Number of fencing tokens that a takeover reserves. The orders to each incarnation of a worker carry a token of their own, so
 * that a worker that has started again under its id rejects the orders for its former incarnation. The owner row holds the
 * last of them: entries that know of no ranges take over with the next one.
 */
export const fencesPerTenure = 65_536;

/** The fencing tokens of the owner whose row holds `fence`. */
export function fenceRangeOf(fence: number): FenceRange {
    return { first: Math.max(1, fence - fencesPerTenure + 1), last: fence };
}

const ownerRow = z.object({
    entry: z.string(),
    incarnation: z.string(),
    fence: counterSchema,
    hasLeft: z.boolean().exactOptional(),
    wasSlow: z.boolean().exactOptional(),
});
const chainRow = z.object({ incarnation: z.string(), batch: counterSchema });

/** Key of a domain's owner row. */
export function ownerKey(domain: string): RowKey {
    return { table: tables.cluster, part: domain, key: "owner" };
}

/** Key of a domain's chain row. */
export function chainKey(domain: string): RowKey {
    return { table: tables.chain, part: domain, key: "head" };
}

/** Decodes an owner row; undefined if it is absent, removed or malformed, which is reported to `refusals`. */
export function decodeOwner(row: StoredRow | undefined, refusals?: RowRefusals): Owner | undefined {
    if (row === undefined || row.isRemoved) {
        return undefined;
    }
    return refusals === undefined ? decode(ownerRow, row.value) : refusals.decode(ownerRow, row);
}

/** The last batch of progress: the owner's incarnation and the number of the batch within it. */
export interface ChainHead {
    readonly incarnation: string;
    readonly batch: number;
}

/** Decodes a chain row; undefined if it is absent, removed or malformed. */
export function decodeChain(row: StoredRow | undefined): ChainHead | undefined {
    return row === undefined || row.isRemoved ? undefined : decode(chainRow, row.value);
}

function decode<T>(schema: z.ZodType<T>, text: string): T | undefined {
    const parsed = schema.safeParse(parseJson(text));
    return parsed.success ? parsed.data : undefined;
}

/** Input of the decision whether to take a domain over. */
export interface TakeoverView {
    readonly self: string;
    readonly owner: Owner | undefined;
    /** Whether the owner's process has certainly ended, because its VM runs another incarnation. */
    readonly hasOwnerEnded: boolean;
    /** Milliseconds since this entry, or any peer that responded, last received a message from the owner. */
    readonly ownerSilentMs: number;
    /** Milliseconds since the owner last reached the store, as reported in its heartbeat. */
    readonly ownerStoreAgeMs: number;
    /** Milliseconds since this entry last reached the store. */
    readonly storeAgeMs: number;
    /** Rank of this entry among the candidates; 0 takes over first. */
    readonly rank: number;
    readonly isStopping: boolean;
}

/** Silence after which an owner is presumed dead. Fencing makes a false positive harmless, so it may be short. */
export const ownerTimeoutMs = 600;
/** Extra delay per rank, which keeps candidates from competing for the same takeover. */
const rankDelayMs = 150;
/** Age of the owner's last store response from which an entry with a working store connection replaces it. */
export const ownerStoreStaleMs = 800;
/** Largest age of this entry's own last store response at which it may take a domain over. */
const maxOwnStoreAgeMs = 600;

/** Decides whether this entry should try to take the domain over now. */
export function shouldTakeOver(view: TakeoverView): boolean {
    const {
        self,
        owner,
        hasOwnerEnded,
        ownerSilentMs,
        ownerStoreAgeMs,
        storeAgeMs,
        rank,
        isStopping,
    } = view;
    if (isStopping || storeAgeMs > maxOwnStoreAgeMs) {
        return false;
    }
    const rankDelay = rank * rankDelayMs;
    const isVacant = owner === undefined || owner.entry === "" || hasOwnerEnded;
    if (owner?.entry === self) {
        return hasOwnerEnded;
    }
    return ownerSilentMs > (isVacant ? rankDelay : ownerTimeoutMs + rankDelay)
        || (!isVacant && ownerStoreAgeMs > ownerStoreStaleMs + rankDelay);
}
