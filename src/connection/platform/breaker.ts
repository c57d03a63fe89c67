/** Circuit breaker: stops calling a service that keeps failing, and probes it with single calls. */
import type { Random } from "../../process/random.js";

/** State of a breaker. */
export enum BreakerState {
    Closed = "closed",
    Open = "open",
    Probing = "probing",
}

/** Options of `Breaker.create`. */
export interface BreakerOptions {
    readonly now: () => number;
    readonly random: Random;
    /** Failures in a row that open the breaker. */
    readonly failures?: number;
    /** Mean time between probes, in milliseconds. */
    readonly probeMs?: number;
}

const jitterLow = 0.5;

/** Counts failures in a row and decides whether a call may go out. */
export class Breaker {
    private failed = 0;
    private probeAt = 0;
    private state = BreakerState.Closed;

    private constructor(private readonly options: BreakerOptions) {}

    static create(options: BreakerOptions): Breaker {
        return new Breaker(options);
    }

    /** The current state. */
    get current(): BreakerState {
        return this.state;
    }

    /** Whether a call may go out now; while open, one call each probe period may. */
    allows(): boolean {
        if (this.state === BreakerState.Closed) {
            return true;
        }
        if (this.options.now() < this.probeAt) {
            return false;
        }
        this.state = BreakerState.Probing;
        this.scheduleProbe();
        return true;
    }

    /** Records that a call was answered. */
    succeeded(): void {
        this.failed = 0;
        this.state = BreakerState.Closed;
    }

    /** Records that a call was not answered. */
    failedOnce(): void {
        this.failed++;
        if (this.failed >= (this.options.failures ?? 5)) {
            this.state = BreakerState.Open;
            this.scheduleProbe();
        }
    }

    private scheduleProbe(): void {
        const { now, random, probeMs = 800 } = this.options;
        this.probeAt = now() + probeMs * (jitterLow + random.fraction());
    }
}
