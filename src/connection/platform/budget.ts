/** The entry's share of the platform's call budget, given out by priority. */
import type { StorePriority } from "../../process/store.js";
import type { Timer } from "../../process/timer.js";
import { TokenBucket } from "../../process/token-bucket.js";

/** Options of `CallBudget.create`. */
export interface CallBudgetOptions {
    readonly timer: Timer;
    readonly perSecond: number;
}

interface Waiter {
    readonly priority: StorePriority;
    readonly start: () => void;
}

/** Admits calls at a bounded rate; of those waiting, the most important goes first. */
export class CallBudget {
    private readonly bucket: TokenBucket;
    private readonly waiting: Waiter[] = [];
    private armed = false;

    private constructor(private readonly timer: Timer, perSecond: number) {
        this.bucket = TokenBucket.create({ perSecond, burst: perSecond, now: () => timer.now() });
    }

    static create({ timer, perSecond }: CallBudgetOptions): CallBudget {
        return new CallBudget(timer, perSecond);
    }

    /** Resolves when the call may go out. */
    admit(priority: StorePriority): Promise<void> {
        if (this.waiting.length === 0 && this.bucket.tryTake()) {
            return Promise.resolve();
        }
        return new Promise(start => {
            const at = this.waiting.findIndex(other => other.priority > priority);
            this.waiting.splice(at < 0 ? this.waiting.length : at, 0, { priority, start });
            this.arm();
        });
    }

    /** Changes the rate. */
    setRate(perSecond: number): void {
        this.bucket.setRate(perSecond);
    }

    private arm(): void {
        if (this.armed) {
            return;
        }
        this.armed = true;
        this.timer.after(Math.max(1, this.bucket.msUntilAvailable()), () => {
            this.armed = false;
            this.release();
        });
    }

    private release(): void {
        while (this.waiting.length > 0 && this.bucket.tryTake()) {
            this.waiting.shift()!.start();
        }
        if (this.waiting.length > 0) {
            this.arm();
        }
    }
}
