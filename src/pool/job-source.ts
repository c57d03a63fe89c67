/** Loads the stored jobs of a domain when a tenure begins, and follows the feed of jobs that entries add later. */
import { type AcceptedJob, decodeState, isSegmented } from "../job/index.js";
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import { FeedReader } from "../process/feed-reader.js";
import { RowRefusals } from "../process/row-refusals.js";
import { readAll, readRanges, type RowKey, type StoredRow } from "../process/rows.js";
import { sleep } from "../process/timer.js";
import { JobProgress, parseSegmentKey } from "./job-progress.js";
import { decodeJobRow, jobRanges, type JobRow, JobRowKind, type MarkerVersion } from "./job-rows.js";
import { tables } from "./ownership.js";
import { retryDelayMs, type TenureContext } from "./tenure-context.js";

/** Receives the jobs and cancellations that were read. */
export interface JobSink {
    accept(job: AcceptedJob): void;
    cancel(id: string): void;
    /** Called for a marker in place of a job that was cancelled before it was accepted. */
    refuse(marker: MarkerVersion): void;
    /** Called for rows of progress without a job, which can be removed. */
    removeProgress(keys: readonly RowKey[]): void;
}

/** Progress of a job as stored. */
interface StoredProgress {
    readonly head: string;
    readonly segments: { readonly segment: number; readonly value: string }[];
}

/** Pause between reads of the feed. Most jobs arrive earlier, by a notification from the entry that accepted them. */
const feedPollDelayMs = 400;

/** Feeds the stored jobs of a domain into a tenure. */
export class JobSource {
    private readonly refusals: RowRefusals;

    constructor(
        private readonly ctx: TenureContext,
        private readonly domain: string,
        private readonly sink: JobSink,
    ) {
        this.refusals = RowRefusals.create(ctx.options);
    }

    /** Loads all stored jobs; returns the version to follow from, or undefined if the tenure ended meanwhile. */
    async load(): Promise<number | undefined> {
        const { store, timer, log } = this.ctx.options;
        while (this.ctx.isActive) {
            try {
                const progress = await readAll(store, { table: tables.progress, part: this.domain });
                const segments = progress.rows.some(({ value }) => isSegmented(value))
                    ? await this.readSegments()
                    : [];
                const jobs = await this.readJobs();
                this.restore(groupProgress(progress.rows, segments), jobs.rows.map(row => this.decode(row)));
                this.removeOrphans(progress.rows, jobs.rows, ({ key }) => key);
                void this.removeOrphanedSegments(jobs.rows);
                return jobs.version;
            }
            catch (err) {
                log.write(Severity.Warn, EventId.StoreUnavailable, { err: messageOf(err) });
                await sleep(timer, retryDelayMs);
            }
        }
        return undefined;
    }

    /** Applies jobs and cancellations that entries store after version `since`, until the tenure ends. */
    async follow(since: number): Promise<void> {
        const { store, timer, log } = this.ctx.options;
        const reader = FeedReader.create({ store, timer, table: tables.jobs });
        let version = since;
        while (this.ctx.isActive) {
            try {
                const result = await reader.next(version);
                if (result.kind === "history-lost") {
                    log.write(Severity.Warn, EventId.StoreHistoryLost, { table: tables.jobs, version });
                    const page = await this.readJobs();
                    page.rows.forEach(row => this.applyJobRow(row));
                    version = page.version;
                }
                else {
                    result.rows.forEach(row => this.applyJobRow(row));
                    version = Math.max(version, result.version);
                }
                await sleep(timer, feedPollDelayMs);
            }
            catch (err) {
                log.write(Severity.Warn, EventId.StoreUnavailable, {
                    table: tables.jobs,
                    err: messageOf(err),
                });
                await sleep(timer, retryDelayMs);
            }
        }
    }

    /** Reads all job rows; the version returned is the lowest of those at which the parts were read. */
    private async readJobs(): Promise<{ readonly rows: readonly StoredRow[]; readonly version: number }> {
        const { store, jobParts } = this.ctx.options;
        const pages = await readRanges(store, jobRanges(jobParts));
        return {
            rows: pages.flatMap(({ rows }) => rows),
            version: Math.min(...pages.map(({ version }) => version)),
        };
    }

    private restore(
        progress: ReadonlyMap<string, StoredProgress>,
        rows: readonly JobRow[],
    ): void {
        const now = this.ctx.options.timer.now();
        for (const row of rows) {
            if (row.kind === JobRowKind.Accepted) {
                const stored = progress.get(row.job.id);
                const state = stored === undefined
                    ? undefined
                    : decodeState(row.job, stored.head, stored.segments.map(({ value }) => value));
                if (stored !== undefined && state === undefined) {
                    this.ctx.options.log.write(Severity.Error, EventId.RowMalformed, { job: row.job.id });
                    continue;
                }
                const job = this.ctx.clock.correctStored(row.job);
                if (state === undefined) {
                    this.ctx.jobs.accept(job);
                }
                else {
                    const segments = stored?.segments.map(({ segment }) => segment) ?? [];
                    const known = segments.length === 0
                        ? JobProgress.create()
                        : JobProgress.fromSegments(state, segments);
                    this.ctx.jobs.restore(job, state, now, known);
                }
            }
        }
        for (const record of this.ctx.jobs.runs.values()) {
            this.ctx.workers.addRun(record);
        }
        for (const row of rows) {
            if (row.kind === JobRowKind.Cancelled) {
                this.sink.cancel(row.id);
            }
            else if (row.kind === JobRowKind.Refused) {
                this.sink.refuse(row);
            }
        }
    }

    /**
     * Removes rows of progress without a job row, which remain when an owner ends between removing the two. The progress
     * of a job whose row exists but cannot be decoded is kept.
     */
    private removeOrphans(
        progress: readonly StoredRow[],
        jobs: readonly StoredRow[],
        jobOf: (row: StoredRow) => string,
    ): void {
        const jobKeys = new Set(jobs.map(({ key }) => key));
        const orphans = progress.filter(row => !jobKeys.has(jobOf(row)));
        this.sink.removeProgress(orphans.map(({ table, part, key }) => ({ table, part, key })));
    }

    /** Reads the segments apart from the load, which needs them only if a job has any. */
    private async removeOrphanedSegments(jobs: readonly StoredRow[]): Promise<void> {
        try {
            const segments = await this.readSegments();
            this.removeOrphans(segments, jobs, ({ key }) => parseSegmentKey(key)?.job ?? key);
        }
        catch (err) {
            // The next owner looks again.
            const fields = { table: tables.progressTasks, err: messageOf(err) };
            this.ctx.options.log.write(Severity.Warn, EventId.StoreUnavailable, fields);
        }
    }

    private async readSegments(): Promise<readonly StoredRow[]> {
        const { rows } = await readAll(this.ctx.options.store, {
            table: tables.progressTasks,
            part: this.domain,
        });
        return rows;
    }

    /** Decodes a job row; reports one that cannot be used. */
    private decode(stored: StoredRow): JobRow {
        const row = decodeJobRow(stored);
        if (row.kind === JobRowKind.Malformed) {
            this.refusals.report(stored, row.refusal);
        }
        return row;
    }

    private applyJobRow(stored: StoredRow): void {
        const row = this.decode(stored);
        switch (row.kind) {
            case JobRowKind.Accepted:
                this.sink.accept(row.job);
                return;
            case JobRowKind.Cancelled:
                this.sink.cancel(row.id);
                return;
            case JobRowKind.Refused:
                this.sink.refuse(row);
                return;
            case JobRowKind.Malformed:
            case JobRowKind.Removed:
                return;
        }
    }
}

/** The rows of each job's progress, by job. Segments without the job's own row are left over from its removal. */
function groupProgress(
    heads: readonly StoredRow[],
    tasks: readonly StoredRow[],
): ReadonlyMap<string, StoredProgress> {
    const progress = new Map<string, StoredProgress>(
        heads.map(({ key, value }) => [key, { head: value, segments: [] }]),
    );
    for (const { key, value } of tasks) {
        const parsed = parseSegmentKey(key);
        if (parsed !== undefined) {
            progress.get(parsed.job)?.segments.push({ segment: parsed.segment, value });
        }
    }
    return progress;
}
