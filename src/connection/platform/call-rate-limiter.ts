/** The entry's share of the platform's call budget, given out by priority. */
import type { StorePriority } from "../../process/store.js";
import type { Timer } from "../../process/timer.js";
import { TokenBucket } from "../../process/token-bucket.js";

/** Options of `CallBudget.create`. */
export interface CallRateLimiterOptions {
    readonly timer: Timer;
    readonly perSecond: number;
}

interface Waiter {
    readonly priority: StorePriority;
    readonly start: () => void;
}

/** Admits calls at a bounded rate; of those waiting, the most important goes first. */
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

    /** Resolves when the call may go out. */
    acquire(priority: StorePriority): Promise<void> {
        if (this.waiters.length === 0 && this.bucket.tryTake()) {
            return Promise.resolve();
        }
        return new Promise(start => {
            const at = this.waiters.findIndex(other => other.priority > priority);
            this.waiters.splice(at < 0 ? this.waiters.length : at, 0, { priority, start });
            this.scheduleRelease();
        });
    }

    /** Changes the rate. */
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
            this.waiters.shift()!.start();
        }
        if (this.waiters.length > 0) {
            this.scheduleRelease();
        }
    }
}
