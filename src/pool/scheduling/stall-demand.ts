/**
 * Demand of a pool directly after a change of owner. Pure.
 *
 * Load pattern: during a takeover at the peak of a burst, about a second of arrivals waits that the previous owner would
 * have started meanwhile. Counted in full, it calls for VMs that join the pool when the burst is over, and takes them from
 * pools whose turn is next.
 */
import { addResources, type Resources } from "../../process/resources.js";

/** Input of `demandAfterStall`. */
export interface StallDemandInput {
    /** What the jobs that were accepted before the takeover could use now. */
    readonly waited: Resources;
    /** What the jobs that were accepted since could use now. */
    readonly later: Resources;
    /** Peak of the demand that the previous owner had measured. */
    readonly inheritedPeak: Resources;
    /** What the arrivals are expected to use when an ordered VM takes work. */
    readonly expected: Resources;
}

/**
 * What a pool's jobs could use concurrently, as the previous owner would have measured it: the backlog counts for no more
 * than what that owner had measured or what the arrivals call for.
 */
export function demandAfterStall({ waited, later, inheritedPeak, expected }: StallDemandInput): Resources {
    return addResources(later, {
        cpu: Math.min(waited.cpu, Math.max(inheritedPeak.cpu, expected.cpu)),
        memory: Math.min(waited.memory, Math.max(inheritedPeak.memory, expected.memory)),
        accelerators: Math.min(
            waited.accelerators,
            Math.max(inheritedPeak.accelerators, expected.accelerators),
        ),
    });
}
