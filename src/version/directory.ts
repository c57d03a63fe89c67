/** The operators' lists of a site, as stored on its platform: queues, pools, client accounts and their keys. */
import type { Resources } from "../process/resources.js";

/** A queue that callers submit jobs to. */
export interface Queue {
    readonly name: string;
    /** Host name under which callers address it, in lower case. */
    readonly host: string;
    /** Prefix of the request path; the job id follows it. */
    readonly pathPrefix: string;
    /** Pool whose workers run its tasks. */
    readonly pool: string;
    /** Whether requests are accepted without a key. */
    readonly isOpen: boolean;
    /** Priority; queues with lower values are served first. */
    readonly priority: number;
    /** Number of failed runs of a task after which its job fails. */
    readonly maxAttempts: number;
    /** Factor on the estimated duration of a job's longest chain of tasks, which its objective allows. */
    readonly stretch: number;
    /** Constant part of a job's objective, in milliseconds. */
    readonly objectiveMs: number;
    /** Timeout for the answer to a call, in milliseconds. */
    readonly timeoutMs: number;
    /** Whether its steps may run only on workers that the placement adviser returns. */
    readonly needsAdvice: boolean;
}

/** A pool of VMs. */
export interface Pool {
    readonly name: string;
    /** Whether its workers refuse runs that exceed their free capacity. */
    readonly guardsCapacity: boolean;
    /** Whether it is a spare pool, whose VMs are switched off and run nothing. */
    readonly isSpare: boolean;
}

/** A client account. */
export interface Team {
    readonly name: string;
    /** Share of a fully loaded fleet that is due to it; also the number of jobs per second guaranteed to it. */
    readonly weight: number;
    /** Maximum resources of its running tasks across all workers; 0 in a field means no limit. */
    readonly cap: Resources;
}

/** One version of the lists. */
export interface Directory {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly pools: ReadonlyMap<string, Pool>;
    readonly teams: ReadonlyMap<string, Team>;
    /** Client account of each key. */
    readonly keys: ReadonlyMap<string, string>;
}

/**
 * The queue that a call addresses: the one with the longest matching path prefix on its host; undefined if none
 * matches.
 */
export function findQueue(directory: Directory, host: string, path: string): Queue | undefined {
    const hostName = host.split(":", 1)[0]!.toLowerCase();
    let found: Queue | undefined;
    for (const queue of directory.queues) {
        const matches = queue.host === hostName && path.startsWith(queue.pathPrefix);
        if (matches && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
}
