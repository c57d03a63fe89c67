/** Clock and timers. Components use this interface and never read the system clock directly. */

/** Cancels a scheduled callback. Further calls have no effect. */
export type Cancel = () => void;

/** A clock with scheduled callbacks. All times are in milliseconds. */
export interface Timer {
    /** Monotonic time since an arbitrary origin. */
    now(): number;
    /** Unix time by the wall clock. */
    wall(): number;
    /** Calls `fn` once after `ms` milliseconds, however long that is; never if it is infinite. */
    after(ms: number, fn: () => void): Cancel;
    /** Calls `fn` every `ms` milliseconds, for the first time after one period. */
    every(ms: number, fn: () => void): Cancel;
}

/** Longest delay of a timer of Node, in milliseconds; it calls back at once after a longer one. */
const maxDelayMs = 2 ** 31 - 1;

/** Timer on the clocks and timers of the operating system. */
export class SystemTimer implements Timer {
    static create(): SystemTimer {
        return new SystemTimer();
    }

    now(): number {
        return performance.now();
    }

    wall(): number {
        return Date.now();
    }

    after(ms: number, fn: () => void): Cancel {
        if (ms > maxDelayMs) {
            let cancel = this.after(maxDelayMs, () => {
                cancel = this.after(ms - maxDelayMs, fn);
            });
            return () => cancel();
        }
        const handle = setTimeout(fn, ms);
        return () => clearTimeout(handle);
    }

    every(ms: number, fn: () => void): Cancel {
        if (ms > maxDelayMs) {
            return repeat((delayMs, call) => this.after(delayMs, call), ms, fn);
        }
        const handle = setInterval(fn, ms);
        return () => clearInterval(handle);
    }
}

/** Resolves after `ms` milliseconds on the given timer. */
export function sleep(timer: Timer, ms: number): Promise<void> {
    return new Promise(resolve => timer.after(ms, resolve));
}

/** Settles like `work`, or rejects with `err()` if `work` has not settled after `ms` milliseconds. */
export function withTimeout<T>(timer: Timer, ms: number, work: Promise<T>, err: () => Error): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = timer.after(ms, () => reject(err()));
        work.then(resolve, reject).finally(cancel);
    });
}

/** Resolves when `work` has, or at `deadline` on the timer's monotonic clock if that is earlier; rejects like `work`. */
export function settleBy(timer: Timer, deadline: number, work: Promise<unknown>): Promise<void> {
    return new Promise((resolve, reject) => {
        const cancel = timer.after(Math.max(0, deadline - timer.now()), resolve);
        work.then(() => resolve(), reject).finally(cancel);
    });
}

/** Implements `Timer.every` by means of `Timer.after`. */
export function repeat(after: Timer["after"], ms: number, fn: () => void): Cancel {
    let cancel: Cancel = () => undefined;
    const tick = (): void => {
        cancel = after(ms, tick);
        fn();
    };
    cancel = after(ms, tick);
    return () => cancel();
}
