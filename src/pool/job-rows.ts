/** Rows that any entry writes about a job: its acceptance, its cancellation, or the note that it was refused. */
import { type AcceptedJob, decodeJob, decodePhase, encodeJob, JobPhase } from "../job/index.js";
import type { RowKey, RowPut, RowRange, RowTransaction, StoredRow } from "../process/rows.js";
import { tables } from "./ownership.js";

/** Kinds of these rows. */
export enum JobRowKind {
    Accepted = "accepted",
    Cancelled = "cancelled",
    /** The job was refused after a write whose fate was unknown; it must never run. */
    Refused = "refused",
    /** Removed or malformed. */
    Other = "other",
}

/** A decoded row. */
export type JobRow =
    | { readonly kind: JobRowKind.Accepted; readonly job: AcceptedJob }
    | { readonly kind: JobRowKind.Cancelled; readonly id: string }
    | { readonly kind: JobRowKind.Refused; readonly id: string }
    | { readonly kind: JobRowKind.Other };

/**
 * Parts over which these rows are spread. The store carries out the transactions of a part one after another, so a
 * burst of jobs in a single part would have to stand in line while the store is slow. Each part costs the next owner
 * one read.
 */
const partCount = 16;
const cancelSuffix = ".cancel";
const refusedValue = "refused";

/** The ranges of all these rows. */
export const jobRanges: readonly RowRange[] = Array.from({ length: partCount }, (_, number) => ({
    table: tables.jobs,
    part: partName(number),
}));

function partName(number: number): string {
    return `jobs-${number}`;
}

/** Part that holds a job's rows. */
export function jobPart(id: string): string {
    let hash = 0;
    for (let i = 0; i < id.length; i++) {
        hash = (Math.imul(hash, 31) + id.charCodeAt(i)) | 0;
    }
    return partName((hash >>> 0) % partCount);
}

/** Key of the row of a job's acceptance or refusal. */
export function jobKey(id: string): RowKey {
    return { table: tables.jobs, part: jobPart(id), key: id };
}

function cancelKey(id: string): RowKey {
    return { table: tables.jobs, part: jobPart(id), key: id + cancelSuffix };
}

/** Decodes a row. */
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

/** Stores a job unless its row exists. */
export function acceptTransaction(job: AcceptedJob): RowTransaction {
    return insertIfAbsent({ ...jobKey(job.id), value: encodeJob(job) });
}

/** Makes sure that a job whose acceptance is uncertain never runs. */
export function refuseTransaction(id: string): RowTransaction {
    return insertIfAbsent({ ...jobKey(id), value: refusedValue });
}

/** Stores a cancellation unless there is one. */
export function cancelTransaction(id: string): RowTransaction {
    return insertIfAbsent({ ...cancelKey(id), value: "{}" });
}

/** Removes all rows of jobs of one part. */
export function removeTransaction(ids: readonly string[]): RowTransaction {
    return { conditions: [], puts: [], removals: ids.flatMap(id => [jobKey(id), cancelKey(id)]) };
}

function insertIfAbsent(put: RowPut): RowTransaction {
    const { table, part, key } = put;
    return { conditions: [{ table, part, key, version: 0 }], puts: [put], removals: [] };
}

/** Phase that the row of a job's progress states; a job without one is waiting for its owner. */
export function progressPhase(row: StoredRow | undefined): JobPhase {
    return (row === undefined ? undefined : decodePhase(row.value)) ?? JobPhase.Queued;
}
