/**
 * Bounds on the leases that the owners of a domain have granted, stored for the next owner. A new owner must not start a
 * task again while an earlier owner's lease may keep its run alive on a worker that does not answer. Without the stored
 * bounds it could only assume the longest possible lease, counted from its own takeover.
 *
 * Processes share no clock, so a bound is stored as the time left when it was written. Its reader counts that time from
 * the moment of reading, which is later: a bound may come out too long, never too short.
 */
import { z } from "zod";
import { counterSchema, maxDurationMs, startTimeSchema } from "../process/bounds.js";
import { parseJson } from "../process/json.js";
import type { RowKey, RowPut, StoredRow } from "../process/rows.js";
import { type LeaseDurations, maxLeaseDurationMs } from "./lease.js";
import type { Owner } from "./ownership.js";
import { tables } from "./ownership.js";
import type { TenureTimes } from "./tenure-context.js";

/** An earlier owner that may still renew leases, since nothing shows that it has stopped. */
export interface EarlierOwner {
    readonly entry: string;
    readonly incarnation: string;
    readonly fence: number;
    /** Time in milliseconds after which all leases that it grants have expired. */
    readonly remainingMs: number;
}

/**
 * Bound on all leases of a worker that does not answer. Owners that have read or written it grant the worker no lease
 * until they have stored bounds without it.
 */
export interface WorkerLeaseBound {
    readonly worker: string;
    /** Start time of the worker incarnation, as Unix time in milliseconds. */
    readonly startedAtMs: number;
    /** Time in milliseconds after which all its leases have expired. */
    readonly remainingMs: number;
}

/** Bound on the leases of a worker that may last longer than those of others, whichever incarnation has them. */
export interface RaisedLeaseBound {
    readonly worker: string;
    /** Time in milliseconds after which all its leases have expired. */
    readonly remainingMs: number;
}

/** Bounds as stored. */
export interface LeaseBounds {
    /** Fencing token of the owner that wrote them. */
    readonly fence: number;
    readonly owners: readonly EarlierOwner[];
    readonly workers: readonly WorkerLeaseBound[];
    /** Workers that may have carried out orders for a former incarnation; undefined if they are not known. */
    readonly raised?: readonly RaisedLeaseBound[] | undefined;
}

/**
 * Largest size of each list of workers in a row, in bytes: two of them and the owners fit into a row of the store. For any other
 * workers the next owner assumes the longest possible lease.
 */
export const maxWorkersBytes = 30_000;

/** Time left; no lease lasts longer than the settings allow, which is a day, and is trusted for as long at most. */
const remainingSchema = z.number().max(2 * maxDurationMs);

const boundsRow = z.object({
    fence: counterSchema,
    owners: z.array(z.tuple([z.string(), z.string(), counterSchema, remainingSchema])),
    workers: z.array(z.tuple([z.string(), startTimeSchema, remainingSchema])),
    /**
     * Raised bounds; absent in rows of entries that do not record them, and where there are too many. Earlier builds wrote a field
     * `raised`, which is not read: they raised no bound of an incarnation whose clock was above 20 s.
     */
    longer: z.array(z.tuple([z.string(), remainingSchema])).optional(),
});

/** Key of a domain's row of lease bounds. */
export function leaseBoundsKey(domain: string): RowKey {
    return { table: tables.leases, part: domain, key: "bounds" };
}

/** Row with a domain's lease bounds. */
export function leaseBoundsRow(domain: string, { fence, owners, workers, raised }: LeaseBounds): RowPut {
    const raisedRows = raised?.map(({ worker, remainingMs }) => [worker, Math.ceil(remainingMs)]);
    const value = JSON.stringify({
        fence,
        owners: owners.map(({ entry, incarnation, fence: ownerFence, remainingMs }) => [
            entry,
            incarnation,
            ownerFence,
            Math.ceil(remainingMs),
        ]),
        workers: fitting(
            workers.map((
                { worker, startedAtMs, remainingMs },
            ) => [worker, startedAtMs, Math.ceil(remainingMs)]),
        ),
        // A part of them would say of the others that their leases are no longer than usual.
        ...(raisedRows !== undefined && fitting(raisedRows) === raisedRows && { longer: raisedRows }),
    });
    return { ...leaseBoundsKey(domain), value };
}

/** The first items whose JSON text is at most `maxWorkersBytes` long in all. */
function fitting<T>(items: readonly T[]): readonly T[] {
    let bytes = 0;
    const end = items.findIndex(item => {
        bytes += Buffer.byteLength(JSON.stringify(item)) + 1;
        return bytes > maxWorkersBytes;
    });
    return end < 0 ? items : items.slice(0, end);
}

/** Decodes a row of lease bounds; undefined if it is absent, removed or malformed. */
export function decodeLeaseBounds(row: StoredRow | undefined): LeaseBounds | undefined {
    if (row === undefined || row.isRemoved) {
        return undefined;
    }
    const parsed = boundsRow.safeParse(parseJson(row.value));
    return parsed.success
        ? {
            fence: parsed.data.fence,
            owners: parsed.data.owners.map(([entry, incarnation, fence, remainingMs]) => ({
                entry,
                incarnation,
                fence,
                remainingMs,
            })),
            workers: parsed.data.workers.map(([worker, startedAtMs, remainingMs]) => ({
                worker,
                startedAtMs,
                remainingMs,
            })),
            raised: parsed.data.longer?.map(([worker, remainingMs]) => ({ worker, remainingMs })),
        }
        : undefined;
}

/** Input of `inheritLeaseBounds`. */
export interface InheritedBoundsInput {
    readonly fence: number;
    /** The owner that is replaced; undefined if the domain had none. */
    readonly previous: Owner | undefined;
    readonly stored: LeaseBounds | undefined;
    /** Whether an earlier owner is known to grant no more leases. */
    readonly hasStopped: (owner: Owner) => boolean;
    readonly times: Pick<TenureTimes, "leaseMs" | "trustMs">;
}

/** Bounds with which an owner begins its tenure. */
export function inheritLeaseBounds(input: InheritedBoundsInput): LeaseBounds {
    const { fence, previous, hasStopped, times } = input;
    // Bounds that the previous owner has not written do not cover the leases that it granted.
    const stored = input.stored?.fence === previous?.fence ? input.stored : undefined;
    const maxLeaseMs = maxLeaseDurationMs(times.leaseMs);
    const owners = [...stored?.owners ?? []];
    if (previous !== undefined) {
        const { entry, incarnation, fence: previousFence } = previous;
        const remainingMs = times.trustMs + maxLeaseMs;
        owners.push({ entry, incarnation, fence: previousFence, remainingMs });
    }
    return {
        fence,
        owners: owners.filter(owner => !hasStopped(owner)),
        workers: stored?.workers ?? [],
        raised: previous === undefined ? [] : stored?.raised,
    };
}

/** Time in milliseconds after which all leases of a worker that is not named in the bounds have expired. */
export function longestRemainingMs(
    { owners, raised }: Pick<LeaseBounds, "owners" | "raised">,
    { leaseMs, longestLeaseMs }: LeaseDurations,
): number {
    // Where no owner has told which workers may have carried out orders for a former incarnation, each of them may.
    const maxLeaseMs = maxLeaseDurationMs(raised === undefined ? longestLeaseMs : leaseMs);
    return Math.max(maxLeaseMs, ...owners.map(({ remainingMs }) => remainingMs));
}
