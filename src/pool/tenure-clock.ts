/**
 * Wall clock of a tenure, which does not jump. The order in which jobs are placed and the demand of pools depend on the
 * age of jobs, whose time of acceptance was read from the clock of another VM. A wall clock may be wrong by minutes, at
 * the owner or at another entry; no job may wait for that.
 */
import type { AcceptedJob } from "../job/index.js";
import type { Timer } from "../process/timer.js";

/** Longest time by which the report of a job that an entry has just accepted may be late, in milliseconds. */
const maxReportDelayMs = 5000;
/** Age beyond which stored jobs are not told apart, in milliseconds. */
const maxTrackedAgeMs = 60_000;

/** Clock that starts at the wall clock's time and runs with the monotonic clock. */
export class TenureClock {
    private readonly offsetMs: number;

    private constructor(private readonly timer: Timer) {
        this.offsetMs = timer.wall() - timer.now();
    }

    static create(timer: Timer): TenureClock {
        return new TenureClock(timer);
    }

    /** Unix time by this clock, in milliseconds. */
    wallMs(): number {
        return this.timer.now() + this.offsetMs;
    }

    /** Corrects the time of acceptance of a job that was just reported, if its entry's clock cannot be right. */
    correctReported(job: AcceptedJob): AcceptedJob {
        const now = this.wallMs();
        const isPlausible = job.acceptedAtMs <= now && job.acceptedAtMs >= now - maxReportDelayMs;
        return isPlausible ? job : { ...job, acceptedAtMs: now };
    }

    /** Corrects the time of acceptance of a job that was read from the store and may have waited for long. */
    correctStored(job: AcceptedJob): AcceptedJob {
        const now = this.wallMs();
        return { ...job, acceptedAtMs: Math.min(now, Math.max(now - maxTrackedAgeMs, job.acceptedAtMs)) };
    }
}
