/** Rate limiter for the calls of one entry to the platform, with priorities. */
import type { StorePriority } from "../../process/store.js";
import type { Timer } from "../../process/timer.js";
import { TokenBucket } from "../../process/token-bucket.js";

/** Options of `CallRateLimiter.create`. */
export interface CallRateLimiterOptions {
    readonly timer: Timer;
    /** Calls per second, and the burst size. */
    readonly perSecond: number;
}

interface Waiter {
    readonly priority: StorePriority;
    readonly resolve: () => void;
}

/** Token-bucket rate limiter whose waiters are released in order of priority, then of arrival. */
export class CallRateLimiter {
    private readonly bucket: TokenBucket;
    private readonly waiters: Waiter[] = [];
    private isReleaseScheduled = false;

    private constructor(private readonly timer: Timer, perSecond: number) {
        this.bucket = TokenBucket.create({ perSecond, burst: perSecond, now: () => timer.now() });
    }

    static create({ timer, perSecond }: CallRateLimiterOptions): CallRateLimiter {
        return new CallRateLimiter(timer, perSecond);
    }

    /** Resolves when the call may be sent. */
    acquire(priority: StorePriority): Promise<void> {
        if (this.waiters.length === 0 && this.bucket.tryTake()) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const index = this.waiters.findIndex(waiter => waiter.priority > priority);
            this.waiters.splice(index < 0 ? this.waiters.length : index, 0, { priority, resolve });
            this.scheduleRelease();
        });
    }

    /** Changes the rate, in calls per second. */
    setRate(perSecond: number): void {
        this.bucket.setRate(perSecond);
    }

    private scheduleRelease(): void {
        if (this.isReleaseScheduled) {
            return;
        }
        this.isReleaseScheduled = true;
        this.timer.after(Math.max(1, this.bucket.msUntilAvailable()), () => {
            this.isReleaseScheduled = false;
            this.release();
        });
    }

    private release(): void {
        while (this.waiters.length > 0 && this.bucket.tryTake()) {
            this.waiters.shift()!.resolve();
        }
        if (this.waiters.length > 0) {
            this.scheduleRelease();
        }
    }
}
