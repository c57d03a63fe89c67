/** A timer whose callbacks wait while its process is paused, as those of a frozen process do; its clock goes on. */
import { type Cancel, repeat, type Timer } from "../../src/process/timer.js";

/** The timer of one virtual process. */
export class PausableTimer implements Timer {
    private deferredCallbacks: (() => void)[] | undefined;
    private isEnded = false;

    private constructor(private readonly inner: Timer) {}

    static create(inner: Timer): PausableTimer {
        return new PausableTimer(inner);
    }

    now(): number {
        return this.inner.now();
    }

    wall(): number {
        return this.inner.wall();
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

    /** Whether the process is frozen. */
    get isPaused(): boolean {
        return this.deferredCallbacks !== undefined;
    }

    /** Holds every callback back until `resume`. */
    pause(): void {
        this.deferredCallbacks ??= [];
    }

    /** Runs the callbacks that were held back. */
    resume(): void {
        const held = this.deferredCallbacks ?? [];
        this.deferredCallbacks = undefined;
        held.forEach(fn => fn());
    }

    /** Ends the process: no callback runs any more. */
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
