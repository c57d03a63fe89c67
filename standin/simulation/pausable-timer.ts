/**
 * A timer that defers its callbacks while its simulated process is paused, as in a frozen process; its clock advances.
 */
import { type Cancel, repeat, type Timer } from "../../src/process/timer.js";

/** The timer of one simulated process. */
export class PausableTimer implements Timer {
    private deferredCallbacks: (() => void)[] | undefined;
    private isEnded = false;
    /** Error of the wall clock, in milliseconds; a test may change it at any time. */
    wallOffsetMs = 0;

    private constructor(private readonly inner: Timer, private readonly offsetMs: number) {}

    /** Creates a process's timer, whose monotonic clock shows `originMs` now; by default what that of `inner` shows. */
    static create(inner: Timer, originMs = inner.now()): PausableTimer {
        return new PausableTimer(inner, originMs - inner.now());
    }

    now(): number {
        return this.inner.now() + this.offsetMs;
    }

    wall(): number {
        return this.inner.wall() + this.wallOffsetMs;
    }

    after(ms: number, fn: () => void): Cancel {
        let isLive = true;
        this.inner.after(ms, () => this.runOrDefer(() => isLive && fn()));
        return () => {
            isLive = false;
        };
    }

    every(ms: number, fn: () => void): Cancel {
        return repeat((delay, call) => this.after(delay, call), ms, fn);
    }

    /** Whether the process is paused. */
    get isPaused(): boolean {
        return this.deferredCallbacks !== undefined;
    }

    /** Defers all callbacks until `resume`. */
    pause(): void {
        this.deferredCallbacks ??= [];
    }

    /** Runs the deferred callbacks, in the order in which they were due. */
    resume(): void {
        const callbacks = this.deferredCallbacks ?? [];
        this.deferredCallbacks = undefined;
        callbacks.forEach(fn => fn());
    }

    /** Ends the process: no callback runs after this. */
    end(): void {
        this.isEnded = true;
    }

    private runOrDefer(fn: () => void): void {
        if (this.isEnded) {
            return;
        }
        if (this.deferredCallbacks === undefined) {
            fn();
        }
        else {
            this.deferredCallbacks.push(fn);
        }
    }
}
