/** Rows that any entry may write about a job: its acceptance, its cancellation, or a marker that it was refused. */
import { type AcceptedJob, decodeJob, decodePhase, encodeJob, JobPhase } from "../job/index.js";
import type { RefusedRow } from "../process/row-refusals.js";
import type { RowKey, RowPut, RowRange, RowTransaction, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

/** Kinds of job rows. */
export enum JobRowKind {
    Accepted = "accepted",
    Cancelled = "cancelled",
    /** The job was refused after a write with an unknown outcome, and must never run. */
    Refused = "refused",
    /** It cannot be used. */
    Malformed = "malformed",
    Removed = "removed",
}

/** A decoded job row. */
export type JobRow =
    | { readonly kind: JobRowKind.Accepted; readonly job: AcceptedJob }
    | { readonly kind: JobRowKind.Cancelled; readonly id: string }
    | { readonly kind: JobRowKind.Refused; readonly id: string }
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
        return { kind: JobRowKind.Refused, id: row.key };
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

/** Transaction that prevents a job from ever running when the outcome of its acceptance is unknown. */
export function refuseTransaction(id: string, partCount: number): RowTransaction {
    return insertIfAbsent({ ...jobKey(id, partCount), value: refusedValue });
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
