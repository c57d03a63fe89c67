/**
 * Arithmetic of the leases on one worker. A lease ends at a time on the worker's clock, which may be slow; this
 * bounds that moment on our own clock, so that lost work restarts neither too early nor later than it must.
 */

/** Most by which a worker's clock may be slow. */
const clockDrift = 0.02;
/** Added to bounds for the rounding of clocks to whole milliseconds. */
const roundingMs = 5;

/** Leases of one life of a worker. All times are milliseconds; `now` is our monotonic clock. */
export class LeaseClock {
    private clockMs = 0;
    private readAt = -Infinity;
    private until = 0;
    private inheritedUntil: number;

    private constructor(inheritedUntil: number) {
        this.inheritedUntil = inheritedUntil;
    }

    /** Leases given by an earlier owner have ended by `inheritedUntil` on our clock. */
    static create(inheritedUntil = -Infinity): LeaseClock {
        return new LeaseClock(inheritedUntil);
    }

    /** Whether the worker's clock is known. */
    get isKnown(): boolean {
        return this.readAt !== -Infinity;
    }

    /** Notes the worker's clock from an answer that arrived at `now`. */
    read(clockMs: number, now: number): void {
        if (clockMs >= this.clockMs) {
            this.clockMs = clockMs;
            this.readAt = now;
        }
    }

    /** The lease end to name in an order sent now. */
    grant(leaseMs: number, now: number): number {
        const until = Math.ceil(this.clockMs + (now - this.readAt) + leaseMs);
        this.until = Math.max(this.until, until);
        return until;
    }

    /** Moment on our clock by which every lease has ended, even if all orders that named one were carried out. */
    endsBy(): number {
        const left = Math.max(0, this.until - this.clockMs);
        const own = this.until === 0 ? -Infinity : this.readAt + left / (1 - clockDrift) + roundingMs;
        return Math.max(own, this.inheritedUntil);
    }

    /** Shortens the bound on an earlier owner's leases, once that owner is known to be gone. */
    inherit(until: number): void {
        this.inheritedUntil = Math.min(this.inheritedUntil, until);
    }
}

/** Real time that a lease of `leaseMs` on a worker's clock may last at most. */
export function longestLeaseMs(leaseMs: number): number {
    return leaseMs / (1 - clockDrift) + roundingMs;
}
