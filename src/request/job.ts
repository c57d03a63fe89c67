/** Accepted jobs: the stored row, its states and its keys. Pure data; job-store.ts holds the transactions. */
import { createHash } from "node:crypto";

/** State of a job. */
export enum JobState {
    Waiting = "waiting",
    Running = "running",
    Done = "done",
    Failed = "failed",
    /** Its worker was lost while it may have been running, and it is not idempotent, so it is not run again. */
    Uncertain = "uncertain",
    Cancelled = "cancelled",
}

/** Bytes stored in the row itself when small (see `fitsInline`), else in the object store. */
export type Blob =
    | { readonly kind: BlobKind.Inline; readonly base64: string }
    | { readonly kind: BlobKind.Object; readonly key: string; readonly size: number };

/** Where a blob is stored. */
export enum BlobKind {
    Inline = "inline",
    Object = "object",
}

/** Resources that a job declares; 0 where it declares none. */
export interface JobSize {
    readonly cores: number;
    readonly memoryGb: number;
    readonly accelerators: number;
}

/** One failed run of a job. */
export interface JobFailure {
    readonly worker: string;
    readonly rack: string;
    readonly reason: string;
}

/** Value of a job's row, as stored. */
export interface Job {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly pool: string;
    readonly idempotent: boolean;
    readonly contentType: string;
    readonly payload: Blob;
    readonly size: JobSize;
    /** Wall-clock time, in milliseconds since the epoch. */
    readonly acceptedAt: number;
    readonly state: JobState;
    /** Number of claims so far; each claim is one attempt. */
    readonly attempt: number;
    /** Incarnation of the entry that supervises the job while it runs. */
    readonly holder?: string;
    /** VM that runs the current attempt. */
    readonly worker?: string;
    /** Boot id of that VM when the job was claimed for it. */
    readonly workerBoot?: string;
    readonly cancelAsked: boolean;
    readonly failures: readonly JobFailure[];
    readonly result?: Blob;
    readonly resultType?: string;
    /** Why it ended in a state other than `Done`. */
    readonly reason?: string;
}

/** Number of shards over which waiting jobs are spread by their ids. */
export const shardCount = 16;

const inlineLimitBytes = 4096;
const idHexDigits = 32;
const timestampDigits = 14;

/** Id of a job: the same team and idempotency key always give the same id. */
export function jobIdOf(team: string, idempotencyKey: string): string {
    return createHash("sha256").update(team).update("\0").update(idempotencyKey).digest("hex").slice(
        0,
        idHexDigits,
    );
}

export function shardOf(id: string): number {
    return Number.parseInt(id.slice(0, 2), 16) % shardCount;
}

export function jobKey(id: string): string {
    return `job/${id}`;
}

/** Key prefix of the index rows of all waiting jobs in a shard. */
export function readyPrefix(shard: number): string {
    return `ready/${String(shard).padStart(2, "0")}/`;
}

/** Key prefix of the index rows of a team's waiting jobs in a shard. */
export function readyTeamPrefix(shard: number, team: string): string {
    return `${readyPrefix(shard)}${team}/`;
}

/** Key of the index row that exists while a job waits; keys of one team sort by time of acceptance. */
export function readyKey(job: Pick<Job, "id" | "team" | "acceptedAt">): string {
    const at = String(job.acceptedAt).padStart(timestampDigits, "0");
    return `${readyTeamPrefix(shardOf(job.id), job.team)}${at}-${job.id}`;
}

/** Key prefix of the index rows of the jobs that an incarnation holds. */
export function activePrefix(incarnation: string): string {
    return `active/${incarnation}/`;
}

/** Key of the index row that exists while an incarnation holds a running job. */
export function activeKey(incarnation: string, id: string): string {
    return `${activePrefix(incarnation)}${id}`;
}

/** Id of the worker's task for one attempt of a job. */
export function taskIdOf(job: Pick<Job, "id" | "attempt">): string {
    return `${job.id}.${job.attempt}`;
}

/** Whether a body is small enough to be stored in the row instead of the object store. */
export function fitsInline(body: Buffer): boolean {
    return body.length <= inlineLimitBytes;
}

/** Whether a job is in a final state. */
export function hasEnded(job: Job): boolean {
    switch (job.state) {
        case JobState.Waiting:
        case JobState.Running:
            return false;
        case JobState.Done:
        case JobState.Failed:
        case JobState.Uncertain:
        case JobState.Cancelled:
            return true;
    }
}

const maxFailedRacks = 3;
const maxFailedRuns = 6;

/**
 * Whether these failures mark a poison job, which is not run again: at least two failures that cover 3 racks (or all
 * racks of a smaller pool), or 6 failures wherever they happened.
 */
export function isPoisonJob(failures: readonly JobFailure[], racksInPool: number): boolean {
    const racks = new Set(failures.map(failure => failure.rack)).size;
    return racks >= Math.min(maxFailedRacks, Math.max(1, racksInPool)) && failures.length >= 2
        || failures.length >= maxFailedRuns;
}
