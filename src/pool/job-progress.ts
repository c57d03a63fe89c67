/**
 * The rows that hold the progress of a job. A small job has one row. The tasks of a larger one are stored in segments of a
 * bounded size, of which only those are written that have changed, and its own row holds the rest.
 *
 * Load pattern: a job of thousands of tasks, of which some start and end in each batch. In one row, its progress would outgrow
 * what a row may hold, and each end would write all of it again.
 */
import {
    encodeSegment,
    encodeSegmentedState,
    encodeState,
    type JobState,
    type TaskTable,
} from "../job/index.js";
import type { RowKey, RowPut } from "../process/rows.js";
import type { Batch } from "./batch.js";
import { tables } from "./ownership.js";

/** Size of a row, in bytes, from which the tasks of a job are stored in segments. */
const maxSingleRowBytes = 16_384;

/** Stored progress of one job, as far as this owner has written or read it. */
export class JobProgress {
    /** Text of the job's own row; undefined if it is not known. */
    private head: string | undefined;
    /** The tasks of which all that has changed before was written to segments. */
    private tasks: TaskTable | undefined;
    /** Blocks of tasks that were written to segments since, by segment. */
    private readonly written = new Map<number, object | undefined>();
    private readonly segments = new Set<number>();
    /** Whether the store has the job's row without its tasks. */
    private isConversionStored: boolean;

    private constructor(private isSegmented: boolean) {
        this.isConversionStored = isSegmented;
    }

    /** Progress of a job of which nothing is stored. */
    static create(): JobProgress {
        return new JobProgress(false);
    }

    /** Progress that was read from segments with the given numbers. */
    static fromSegments(state: JobState, segments: readonly number[]): JobProgress {
        const progress = new JobProgress(true);
        segments.forEach(segment => progress.segments.add(segment));
        progress.tasks = state.tasks;
        return progress;
    }

    /**
     * Adds what has changed to a batch, as far as there is room; returns whether nothing is left. The job's own row comes first:
     * until the rest is stored, a new owner finds earlier states of some tasks, none of which names a run that was started.
     */
    addChanges(state: JobState, { domain, job, batch, onInvalid }: ProgressTarget): boolean {
        if (!this.isSegmented) {
            const value = encodeState(state);
            if (Buffer.byteLength(value) <= maxSingleRowBytes) {
                return batch.add({ puts: [{ ...progressKey(domain, job), value }], removals: [], onInvalid });
            }
            return this.convert(state, { domain, job, batch, onInvalid });
        }
        const head = encodeSegmentedState(state);
        if (head !== this.head) {
            const puts = [{ ...progressKey(domain, job), value: head }];
            if (!batch.add({ puts, removals: [], onInvalid })) {
                return false;
            }
            this.head = head;
        }
        for (const segment of this.changedSegments(state)) {
            const puts = [this.segmentRow(state, segment, { domain, job })];
            if (!batch.add({ puts, removals: [], onInvalid })) {
                return false;
            }
            this.segments.add(segment);
            this.written.set(segment, state.tasks.blockAt(segment));
        }
        this.recordAllWritten(state);
        return true;
    }

    /** Forgets what is stored, since the store did not accept it: all of it is written again. */
    forget(): void {
        this.head = undefined;
        this.tasks = undefined;
        this.written.clear();
        this.isSegmented = this.isConversionStored;
    }

    /** Keys of all rows. */
    rowKeys(domain: string, job: string): readonly RowKey[] {
        return [
            progressKey(domain, job),
            ...[...this.segments].map(segment => segmentKey(domain, job, segment)),
        ];
    }

    /** Replaces the job's only row by segments, all in one transaction: readers must not see the row without its tasks. */
    private convert(state: JobState, { domain, job, batch, onInvalid }: ProgressTarget): boolean {
        const head = encodeSegmentedState(state);
        const changed = [...this.changedSegments(state)];
        const puts = [
            { ...progressKey(domain, job), value: head },
            ...changed.map(segment => this.segmentRow(state, segment, { domain, job })),
        ];
        const onStored = (): void => {
            this.isConversionStored = true;
        };
        if (!batch.add({ puts, removals: [], onStored, onInvalid })) {
            return false;
        }
        this.isSegmented = true;
        this.head = head;
        changed.forEach(segment => this.segments.add(segment));
        this.recordAllWritten(state);
        return true;
    }

    private *changedSegments({ tasks }: JobState): Generator<number> {
        for (const segment of tasks.changedBlocks(this.tasks)) {
            if (!this.written.has(segment) || this.written.get(segment) !== tasks.blockAt(segment)) {
                yield segment;
            }
        }
    }

    private segmentRow(
        state: JobState,
        segment: number,
        { domain, job }: Pick<ProgressTarget, "domain" | "job">,
    ): RowPut {
        return { ...segmentKey(domain, job, segment), value: encodeSegment(state, segment) };
    }

    private recordAllWritten({ tasks }: JobState): void {
        this.tasks = tasks;
        this.written.clear();
    }
}

/** Where the progress of a job is stored. */
export interface ProgressTarget {
    readonly domain: string;
    /** Id of the job. */
    readonly job: string;
    readonly batch: Batch;
    /** Called if the store will never accept rows of the job. */
    readonly onInvalid: (reason: string) => void;
}

/** Key of a job's progress row. */
export function progressKey(domain: string, job: string): RowKey {
    return { table: tables.progress, part: domain, key: job };
}

function segmentKey(domain: string, job: string, segment: number): RowKey {
    return { table: tables.progressTasks, part: domain, key: `${job}/${segment}` };
}

/** Job and number of the segment that a row holds; undefined if its key names none. */
export function parseSegmentKey(key: string): { readonly job: string; readonly segment: number } | undefined {
    const [, job, segment] = /^(.+)\/(\d{1,9})$/.exec(key) ?? [];
    return job === undefined ? undefined : { job, segment: Number(segment) };
}

/** Job to which a row of progress belongs. */
export function jobOfProgress({ table, key }: RowKey): string {
    return table === tables.progressTasks ? parseSegmentKey(key)?.job ?? key : key;
}
