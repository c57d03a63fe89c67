/** Accepted work: the row of a job and its states. Everything here is data; job-store.ts holds the transactions. */
import { createHash } from "node:crypto";

/** State of a job. */
export enum JobState {
    Waiting = "waiting",
    Running = "running",
    Done = "done",
    Failed = "failed",
    /** Its worker vanished while it may have been running, and it must not run twice. */
    Uncertain = "uncertain",
    Cancelled = "cancelled",
}

/** Bytes kept in the row itself when small, else in the object store. */
export type Blob =
    | { readonly kind: BlobKind.Inline; readonly base64: string }
    | { readonly kind: BlobKind.Object; readonly key: string; readonly size: number };

/** Where a blob is kept. */
export enum BlobKind {
    Inline = "inline",
    Object = "object",
}

/** Resources a job declares. */
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

/** Value of a job's row. */
export interface Job {
    readonly id: string;
    readonly team: string;
    readonly queue: string;
    readonly pool: string;
    readonly idempotent: boolean;
    readonly contentType: string;
    readonly payload: Blob;
    readonly size: JobSize;
    /** Wall-clock time, in milliseconds. */
    readonly acceptedAt: number;
    readonly state: JobState;
    /** Number of claims so far. */
    readonly attempt: number;
    /** Incarnation of the entry that looks after the job while it runs. */
    readonly holder?: string;
    /** VM that runs it. */
    readonly worker?: string;
    /** Boot id of that VM when the job was started on it. */
    readonly workerBoot?: string;
    readonly cancelAsked: boolean;
    readonly failures: readonly JobFailure[];
    readonly result?: Blob;
    readonly resultType?: string;
    /** Why it ended other than done. */
    readonly reason?: string;
}

/** Number of shards that jobs are spread over. */
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

/** Shard of a job. */
export function shardOf(id: string): number {
    return Number.parseInt(id.slice(0, 2), 16) % shardCount;
}

/** Key of a job's row. */
export function jobKey(id: string): string {
    return `job/${id}`;
}

/** Prefix of the waiting jobs of a shard. */
export function readyPrefix(shard: number): string {
    return `ready/${String(shard).padStart(2, "0")}/`;
}

/** Prefix of the waiting jobs of a team in a shard. */
export function readyTeamPrefix(shard: number, team: string): string {
    return `${readyPrefix(shard)}${team}/`;
}

/** Key of the index row that exists while a job waits. */
export function readyKey(job: Pick<Job, "id" | "team" | "acceptedAt">): string {
    const at = String(job.acceptedAt).padStart(timestampDigits, "0");
    return `${readyTeamPrefix(shardOf(job.id), job.team)}${at}-${job.id}`;
}

/** Prefix of the jobs that an incarnation looks after. */
export function activePrefix(incarnation: string): string {
    return `active/${incarnation}/`;
}

/** Key of the index row that exists while an incarnation looks after a job. */
export function activeKey(incarnation: string, id: string): string {
    return `${activePrefix(incarnation)}${id}`;
}

/** Id of the task by which a worker runs one attempt of a job. */
export function taskIdOf(job: Pick<Job, "id" | "attempt">): string {
    return `${job.id}.${job.attempt}`;
}

/** Whether bytes are small enough for a row. */
export function fitsInline(body: Buffer): boolean {
    return body.length <= inlineLimitBytes;
}

/** Whether a job has ended. */
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

/** Whether a job that failed this often is to be given up. */
export function isPoisonJob(failures: readonly JobFailure[], racksInPool: number): boolean {
    const racks = new Set(failures.map(failure => failure.rack)).size;
    return racks >= Math.min(maxFailedRacks, Math.max(1, racksInPool)) && failures.length >= 2
        || failures.length >= maxFailedRuns;
}
