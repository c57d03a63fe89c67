/**
 * Lease arithmetic for one worker. A lease expires at a time on the worker's clock, which may run slow. `LeaseClock`
 * bounds that moment on the local clock, so that lost work is restarted neither before the lease has expired nor
 * later than necessary.
 */

/** Largest fraction by which a worker's clock may run slow. */
export const maxClockDrift = 0.02;
/** Margin for clocks that are rounded to whole milliseconds. */
const clockRoundingMs = 5;

/** Leases granted to one incarnation of a worker. All times are in milliseconds; `now` is the local monotonic clock. */
export class LeaseClock {
    private clockMs = 0;
    private clockReadAt = -Infinity;
    private grantedUntil = 0;

    private constructor(private inheritedUntil: number, private raised: number) {}

    /**
     * `inheritedUntil`: local time by which all leases granted by earlier owners have expired. `raisedUntil`: local time by which
     * those have that orders for another incarnation may have set; the first answer under a new token replaces or lowers it.
     */
    static create(inheritedUntil = -Infinity, raisedUntil = -Infinity): LeaseClock {
        return new LeaseClock(inheritedUntil, raisedUntil);
    }

    /** Whether the worker has reported its clock. */
    get isClockKnown(): boolean {
        return this.clockReadAt !== -Infinity;
    }

    /**
     * Records the worker's clock from a response received at `now`. A reading below the last one has been overtaken by it, or is of
     * another incarnation; with either, leases count as longer than with the last one.
     */
    recordClock(clockMs: number, now: number): void {
        this.clockMs = clockMs;
        this.clockReadAt = now;
    }

    /** Lowest value that the worker's clock can have at `now`; an answer with a lower one is of another incarnation. */
    leastClockMs(now: number): number {
        // The clock may be behind its last reading and the time since then if it runs slow.
        return this.isClockKnown ? this.clockMs + (now - this.clockReadAt) * (1 - maxClockDrift) : 0;
    }

    /** Returns the expiry, on the worker's clock, to put into an order sent at `now`. */
    grant(leaseMs: number, now: number): number {
        // Counted from the lowest value of the clock, from which the lease is never longer than `leaseMs`.
        const until = Math.ceil(this.leastClockMs(now) + leaseMs);
        this.grantedUntil = Math.max(this.grantedUntil, until);
        return until;
    }

    /** Local time by which every lease has expired, assuming that every order that carried one was executed. */
    latestEnd(): number {
        const remainingMs = Math.max(0, this.grantedUntil - this.clockMs);
        const ownBound = this.grantedUntil === 0
            ? -Infinity
            : this.clockReadAt + remainingMs / (1 - maxClockDrift) + clockRoundingMs;
        return Math.max(ownBound, this.inheritedUntil, this.raised);
    }

    /** Local time by which the leases have expired that orders for another incarnation may have set. */
    get raisedUntil(): number {
        return this.raised;
    }

    /** Lowers the bound on leases of earlier owners, once the previous owner is known to send no more orders. */
    tightenInheritedBound(until: number): void {
        this.inheritedUntil = Math.min(this.inheritedUntil, until);
    }

    /**
     * Applies the first answer under a fencing token that no earlier order to the worker has carried, received at `now`: from then
     * on the incarnation rejects those orders. One that was computed for another incarnation may have set the longest lease that
     * the platform allows just before, whatever its clock shows. Where none has crossed (see `crossing-orders.ts`), the bound that
     * earlier owners have told stays.
     */
    applyFirstFence(
        clockMs: number,
        now: number,
        { leaseMs, longestLeaseMs, hasCrossed }: LeaseDurations & { readonly hasCrossed: boolean },
    ): void {
        this.recordClock(clockMs, now);
        this.tightenInheritedBound(now + maxLeaseDurationMs(leaseMs));
        const longestUntil = now + maxLeaseDurationMs(longestLeaseMs);
        this.raised = hasCrossed ? longestUntil : Math.min(this.raised, longestUntil);
    }
}

/** Durations of leases, in milliseconds on a worker's clock. */
export interface LeaseDurations {
    /** Duration that owners grant. */
    readonly leaseMs: number;
    /** Longest duration that workers accept; they shorten an order's lease to it. */
    readonly longestLeaseMs: number;
}

/** Longest real time that a lease of `leaseMs` on a worker's clock may last. */
export function maxLeaseDurationMs(leaseMs: number): number {
    return leaseMs / (1 - maxClockDrift) + clockRoundingMs;
}
