/** What a new owner knows of the leases and orders of earlier owners, from the bounds that it has taken over. */
import { maxOrderDelayMs } from "./crossing-orders.js";
import { type LeaseBounds, longestRemainingMs } from "./lease-bounds.js";
import type { TenureTimes } from "./tenure-context.js";
import type { WorkerRegistryOptions } from "./worker-registry.js";

/** Input of `inheritedLeases`. */
export interface InheritedLeasesInput {
    readonly leaseBounds: LeaseBounds;
    /** Whether earlier owners may have sent orders; true by default. */
    readonly hasPredecessor?: boolean | undefined;
    readonly times: Pick<TenureTimes, "leaseMs" | "longestLeaseMs" | "trustMs">;
}

/** Options of the registry of workers that follow from a takeover at the monotonic time `now`, in milliseconds. */
export function inheritedLeases(
    { leaseBounds, hasPredecessor = true, times }: InheritedLeasesInput,
    now: number,
): Omit<WorkerRegistryOptions, "fences"> {
    const { raised, workers } = leaseBounds;
    return {
        inheritedLeasesUntil: now + longestRemainingMs(leaseBounds, times),
        raisedUntil: new Map(raised?.map(({ worker, remainingMs }) => [worker, now + remainingMs])),
        boundWorkers: new Map(workers.map(({ worker, startedAtMs, remainingMs }) => [
            worker,
            { startedAtMs, until: now + remainingMs },
        ])),
        earlierOrders: {
            earlierUntil: hasPredecessor ? now + times.trustMs + maxOrderDelayMs : -Infinity,
            areEarlierBoundsKnown: raised !== undefined,
        },
    };
}
