/** The jobs of a domain whose progress is to be stored, and those whose progress the store does not accept for now. */
import type { JobEntry } from "./records.js";

/** Time for which a job is suspended at first, and at most, in milliseconds. */
const firstSuspensionMs = 5000;
const maxSuspensionMs = 60_000;

/** Changed jobs, those first that have waited longest. */
export class ChangedJobs {
    private readonly waiting = new Set<JobEntry>();
    private readonly suspended = new Set<JobEntry>();

    private constructor() {}

    static create(): ChangedJobs {
        return new ChangedJobs();
    }

    /** Number of jobs whose changes wait for the next batch. */
    get count(): number {
        return this.waiting.size;
    }

    get entries(): Iterable<JobEntry> {
        return this.waiting;
    }

    /** Records that the state of a job has changed. */
    add(entry: JobEntry): void {
        entry.isDirty = true;
        if (!this.suspended.has(entry)) {
            this.waiting.add(entry);
        }
    }

    /** Takes a job whose changes are about to be stored. */
    take(entry: JobEntry): void {
        this.waiting.delete(entry);
        entry.isDirty = false;
    }

    /** Removes a job from the registry. */
    remove(entry: JobEntry): void {
        this.waiting.delete(entry);
        this.suspended.delete(entry);
    }

    /** Suspends a job whose progress the store does not accept, for longer each time. */
    suspend(entry: JobEntry, now: number): void {
        const count = (entry.suspension?.count ?? 0) + 1;
        const pauseMs = Math.min(maxSuspensionMs, firstSuspensionMs * 2 ** (count - 1));
        entry.suspension = { until: now + pauseMs, count };
        entry.progress.forget();
        entry.isDirty = true;
        forgetOpenSteps(entry);
        this.waiting.delete(entry);
        this.suspended.add(entry);
    }

    /** Whether the progress of a job is not offered to the store for now. */
    isSuspended(entry: JobEntry): boolean {
        return this.suspended.has(entry);
    }

    /** Offers the progress of suspended jobs to the store again whose time has come. */
    resume(now: number): void {
        for (const entry of this.suspended) {
            if (now >= (entry.suspension?.until ?? 0)) {
                this.suspended.delete(entry);
                this.waiting.add(entry);
            }
        }
    }

    /** Ends the suspension of a job, whose progress is stored. */
    endSuspension(entry: JobEntry): void {
        if (entry.suspension !== undefined) {
            delete entry.suspension;
            forgetOpenSteps(entry);
        }
    }

    /** Workers that have listed ends of suspended jobs, which are not to be acknowledged. */
    get workersWithSuspendedEnds(): ReadonlySet<string> {
        return new Set([...this.suspended].flatMap(({ unstoredEnds }) => [...unstoredEnds]));
    }
}

function forgetOpenSteps(entry: JobEntry): void {
    entry.openSteps = undefined;
}
