/** Rows that any entry may write about a job: its acceptance, its cancellation, or a marker that keeps it from being accepted. */
import { z } from "zod";
import { type AcceptedJob, decodeJob, decodePhase, encodeJob, JobPhase } from "../job/index.js";
import { parseJson } from "../process/json.js";
import type { RefusedRow } from "../process/row-refusals.js";
import type { RowKey, RowPut, RowRange, RowTransaction, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

/** Kinds of job rows. */
export enum JobRowKind {
    Accepted = "accepted",
    Cancelled = "cancelled",
    /** A marker in place of a job that was cancelled before it was accepted: a late acceptance finds the place taken. */
    Refused = "refused",
    /** It cannot be used. */
    Malformed = "malformed",
    Removed = "removed",
}

/** A decoded job row. */
export type JobRow =
    | { readonly kind: JobRowKind.Accepted; readonly job: AcceptedJob }
    | { readonly kind: JobRowKind.Cancelled; readonly id: string }
    | ({ readonly kind: JobRowKind.Refused } & MarkerVersion)
    | { readonly kind: JobRowKind.Malformed; readonly refusal: RefusedRow }
    | { readonly kind: JobRowKind.Removed };

/**
 * Number of parts over which job rows are sharded, unless the settings say otherwise. The store executes the transactions of
 * one part serially, so a burst of jobs in few parts queues up while the store is slow. Each part costs a new owner one read.
 */
export const defaultJobParts = 16;
const cancelSuffix = ".cancel";
const refusedValue = "refused";

/** Store ranges that together hold all job rows. */
export function jobRanges(partCount: number): readonly RowRange[] {
    return Array.from({ length: partCount }, (_, number) => ({ table: tables.jobs, part: partName(number) }));
}

function partName(number: number): string {
    return `jobs-${number}`;
}

/** Part that holds the rows of a job. */
export function jobPart(id: string, partCount: number): string {
    let hash = 0;
    for (let i = 0; i < id.length; i++) {
        hash = (Math.imul(hash, 31) + id.charCodeAt(i)) | 0;
    }
    return partName((hash >>> 0) % partCount);
}

/** Key of the row that records a job's acceptance or refusal. */
export function jobKey(id: string, partCount = defaultJobParts): RowKey {
    return { table: tables.jobs, part: jobPart(id, partCount), key: id };
}

function cancelKey(id: string, partCount: number): RowKey {
    return { table: tables.jobs, part: jobPart(id, partCount), key: id + cancelSuffix };
}

export function decodeJobRow(row: StoredRow): JobRow {
    if (row.isRemoved) {
        return { kind: JobRowKind.Removed };
    }
    if (row.key.endsWith(cancelSuffix)) {
        return { kind: JobRowKind.Cancelled, id: row.key.slice(0, -cancelSuffix.length) };
    }
    if (row.value === refusedValue) {
        return { kind: JobRowKind.Refused, id: row.key, version: row.version };
    }
    const decoded = decodeJob(row.key, row.value);
    return decoded.kind === "valid"
        ? { kind: JobRowKind.Accepted, job: decoded.value }
        : { kind: JobRowKind.Malformed, refusal: decoded };
}

/** Transaction that stores a job, conditional on the absence of its row. */
export function acceptTransaction(job: AcceptedJob, partCount: number): RowTransaction {
    return insertIfAbsent({ ...jobKey(job.id, partCount), value: encodeJob(job) });
}

/** Queue and client account of a caller; the account is empty on queues that are open to all callers. */
export interface Submitter {
    readonly queue: string;
    readonly team: string;
}

/** Key of the row that names who cancelled a job that was not accepted. */
export function refusalKey(id: string, partCount: number): RowKey {
    return { table: tables.refusals, part: jobPart(id, partCount), key: id };
}

/** Transaction that prevents a job from being accepted; it fails if the job is accepted already. */
export function refuseTransaction(
    id: string,
    { queue, team }: Submitter,
    partCount: number,
): RowTransaction {
    const { conditions, puts } = insertIfAbsent({ ...jobKey(id, partCount), value: refusedValue });
    const origin = { ...refusalKey(id, partCount), value: JSON.stringify({ q: queue, t: team }) };
    return { conditions, puts: [...puts, origin], removals: [] };
}

/** Transaction that stores a job in place of the marker of another submitter. */
export function replaceRefusalTransaction(
    job: AcceptedJob,
    marker: StoredRow,
    partCount: number,
): RowTransaction {
    const key = jobKey(job.id, partCount);
    return {
        conditions: [{ ...key, version: marker.version }],
        puts: [{ ...key, value: encodeJob(job) }],
        removals: [refusalKey(job.id, partCount)],
    };
}

/** A marker in place of a job, with the version of its row. */
export interface MarkerVersion {
    readonly id: string;
    readonly version: number;
}

/** Transaction that removes markers that share one part, and who left them, if none has been replaced. */
export function removeRefusalsTransaction(
    markers: readonly MarkerVersion[],
    partCount: number,
): RowTransaction {
    return {
        conditions: markers.map(({ id, version }) => ({ ...jobKey(id, partCount), version })),
        puts: [],
        removals: markers.flatMap(({ id }) => [jobKey(id, partCount), refusalKey(id, partCount)]),
    };
}

const submitterSchema = z.object({ q: z.string(), t: z.string() });

/** Decodes who left a marker; undefined if the row is absent or malformed. */
export function decodeSubmitter(row: StoredRow | undefined): Submitter | undefined {
    const { success, data } = submitterSchema.safeParse(row === undefined ? undefined : parseJson(row.value));
    return success ? { queue: data.q, team: data.t } : undefined;
}

/** Transaction that stores a cancellation, conditional on the absence of an earlier one. */
export function cancelTransaction(id: string, partCount: number): RowTransaction {
    return insertIfAbsent({ ...cancelKey(id, partCount), value: "{}" });
}

/** Transaction that removes all rows of jobs that share one part. */
export function removeTransaction(ids: readonly string[], partCount: number): RowTransaction {
    const removals = ids.flatMap(id => [jobKey(id, partCount), cancelKey(id, partCount)]);
    return { conditions: [], puts: [], removals };
}

function insertIfAbsent(put: RowPut): RowTransaction {
    const { table, part, key } = put;
    return { conditions: [{ table, part, key, version: 0 }], puts: [put], removals: [] };
}

/** Phase recorded in a job's progress row; a job without a readable one is queued, waiting for the owner. */
export function progressPhase(row: StoredRow | undefined): JobPhase {
    return (row === undefined ? undefined : decodePhase(row.value)) ?? JobPhase.Queued;
}
