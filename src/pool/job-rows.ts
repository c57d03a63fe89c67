/** Rows that any entry may write about a job: its acceptance, its cancellation, or a marker that it was refused. */
import { type AcceptedJob, decodeJob, decodePhase, encodeJob, JobPhase } from "../job/index.js";
import type { RowKey, RowPut, RowRange, RowTransaction, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

/** Kinds of job rows. */
export enum JobRowKind {
    Accepted = "accepted",
    Cancelled = "cancelled",
    /** The job was refused after a write with an unknown outcome, and must never run. */
    Refused = "refused",
    /** Removed or malformed. */
    Other = "other",
}

/** A decoded job row. */
export type JobRow =
    | { readonly kind: JobRowKind.Accepted; readonly job: AcceptedJob }
    | { readonly kind: JobRowKind.Cancelled; readonly id: string }
    | { readonly kind: JobRowKind.Refused; readonly id: string }
    | { readonly kind: JobRowKind.Other };

/**
 * Number of parts over which job rows are sharded. The store executes the transactions of one part serially, so a burst
 * of jobs in a single part would queue up while the store is slow. Each part costs a new owner one read.
 */
const partCount = 16;
const cancelSuffix = ".cancel";
const refusedValue = "refused";

/** Store ranges that together hold all job rows. */
export const jobRanges: readonly RowRange[] = Array.from({ length: partCount }, (_, number) => ({
    table: tables.jobs,
    part: partName(number),
}));

function partName(number: number): string {
    return `jobs-${number}`;
}

/** Part that holds the rows of a job. */
export function jobPart(id: string): string {
    let hash = 0;
    for (let i = 0; i < id.length; i++) {
        hash = (Math.imul(hash, 31) + id.charCodeAt(i)) | 0;
    }
    return partName((hash >>> 0) % partCount);
}

/** Key of the row that records a job's acceptance or refusal. */
export function jobKey(id: string): RowKey {
    return { table: tables.jobs, part: jobPart(id), key: id };
}

function cancelKey(id: string): RowKey {
    return { table: tables.jobs, part: jobPart(id), key: id + cancelSuffix };
}

export function decodeJobRow(row: StoredRow): JobRow {
    if (row.isRemoved) {
        return { kind: JobRowKind.Other };
    }
    if (row.key.endsWith(cancelSuffix)) {
        return { kind: JobRowKind.Cancelled, id: row.key.slice(0, -cancelSuffix.length) };
    }
    if (row.value === refusedValue) {
        return { kind: JobRowKind.Refused, id: row.key };
    }
    const job = decodeJob(row.key, row.value);
    return job === undefined ? { kind: JobRowKind.Other } : { kind: JobRowKind.Accepted, job };
}

/** Transaction that stores a job, conditional on the absence of its row. */
export function acceptTransaction(job: AcceptedJob): RowTransaction {
    return insertIfAbsent({ ...jobKey(job.id), value: encodeJob(job) });
}

/** Transaction that prevents a job from ever running when the outcome of its acceptance is unknown. */
export function refuseTransaction(id: string): RowTransaction {
    return insertIfAbsent({ ...jobKey(id), value: refusedValue });
}

/** Transaction that stores a cancellation, conditional on the absence of an earlier one. */
export function cancelTransaction(id: string): RowTransaction {
    return insertIfAbsent({ ...cancelKey(id), value: "{}" });
}

/** Transaction that removes all rows of jobs that share one part. */
export function removeTransaction(ids: readonly string[]): RowTransaction {
    return { conditions: [], puts: [], removals: ids.flatMap(id => [jobKey(id), cancelKey(id)]) };
}

function insertIfAbsent(put: RowPut): RowTransaction {
    const { table, part, key } = put;
    return { conditions: [{ table, part, key, version: 0 }], puts: [put], removals: [] };
}

/** Phase recorded in a job's progress row; a job without a readable one is queued, waiting for the owner. */
export function progressPhase(row: StoredRow | undefined): JobPhase {
    return (row === undefined ? undefined : decodePhase(row.value)) ?? JobPhase.Queued;
}
