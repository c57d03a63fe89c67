/**
 * Arithmetic of the leases on one worker. A lease ends at a time on the worker's clock, which may be slow; this
 * bounds that moment on our own clock, so that lost work restarts neither too early nor later than it must.
 */

/** Most by which a worker's clock may be slow. */
const maxClockDrift = 0.02;
/** Added to bounds for the rounding of clocks to whole milliseconds. */
const clockRoundingMs = 5;

/** Leases of one life of a worker. All times are milliseconds; `now` is our monotonic clock. */
export class LeaseClock {
    private clockMs = 0;
    private clockReadAt = -Infinity;
    private grantedUntil = 0;
    private inheritedUntil: number;

    private constructor(inheritedUntil: number) {
        this.inheritedUntil = inheritedUntil;
    }

    /** Leases given by an earlier owner have ended by `inheritedUntil` on our clock. */
    static create(inheritedUntil = -Infinity): LeaseClock {
        return new LeaseClock(inheritedUntil);
    }

    /** Whether the worker's clock is known. */
    get isClockKnown(): boolean {
        return this.clockReadAt !== -Infinity;
    }

    /** Notes the worker's clock from an answer that arrived at `now`. */
    recordClock(clockMs: number, now: number): void {
        if (clockMs >= this.clockMs) {
            this.clockMs = clockMs;
            this.clockReadAt = now;
        }
    }

    /** The lease end to name in an order sent now. */
    grant(leaseMs: number, now: number): number {
        const until = Math.ceil(this.clockMs + (now - this.clockReadAt) + leaseMs);
        this.grantedUntil = Math.max(this.grantedUntil, until);
        return until;
    }

    /** Moment on our clock by which every lease has ended, even if all orders that named one were carried out. */
    latestEnd(): number {
        const left = Math.max(0, this.grantedUntil - this.clockMs);
        const own = this.grantedUntil === 0
            ? -Infinity
            : this.clockReadAt + left / (1 - maxClockDrift) + clockRoundingMs;
        return Math.max(own, this.inheritedUntil);
    }

    /** Shortens the bound on an earlier owner's leases, once that owner is known to be gone. */
    tightenInheritedBound(until: number): void {
        this.inheritedUntil = Math.min(this.inheritedUntil, until);
    }
}

/** Real time that a lease of `leaseMs` on a worker's clock may last at most. */
export function maxLeaseDurationMs(leaseMs: number): number {
    return leaseMs / (1 - maxClockDrift) + clockRoundingMs;
}
