/** Time service. Parts subscribe to it and never read the system clock themselves. */

/** Cancels a subscription; calling it again has no effect. */
export type Cancel = () => void;

/** A source of time and of timed callbacks. All times are milliseconds. */
export interface Timer {
    /** Monotonic time since an arbitrary origin, in milliseconds. */
    now(): number;
    /** Wall-clock time since the Unix epoch, in milliseconds. */
    wall(): number;
    /** Calls `fn` once after `ms` milliseconds. */
    after(ms: number, fn: () => void): Cancel;
    /** Calls `fn` every `ms` milliseconds, first after one period. */
    every(ms: number, fn: () => void): Cancel;
}

/** The timer of the running process, on the monotonic clock of the system. */
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
        const handle = setTimeout(fn, ms);
        return () => clearTimeout(handle);
    }

    every(ms: number, fn: () => void): Cancel {
        const handle = setInterval(fn, ms);
        return () => clearInterval(handle);
    }
}

/** Resolves after `ms` milliseconds of the given timer. */
export function sleep(timer: Timer, ms: number): Promise<void> {
    return new Promise(resolve => timer.after(ms, resolve));
}

/** Settles like `work`, or rejects with `err()` when `ms` milliseconds pass first. */
export function withTimeout<T>(timer: Timer, ms: number, work: Promise<T>, err: () => Error): Promise<T> {
    return new Promise((resolve, reject) => {
        const cancel = timer.after(ms, () => reject(err()));
        work.then(resolve, reject).finally(cancel);
    });
}

/** Calls `fn` every `ms` milliseconds by means of a timer's `after`, first after one period. */
export function repeat(after: Timer["after"], ms: number, fn: () => void): Cancel {
    let cancel: Cancel = () => undefined;
    const again = (): void => {
        cancel = after(ms, again);
        fn();
    };
    cancel = after(ms, again);
    return () => cancel();
}
