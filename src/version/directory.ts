/** The operator's lists as a site keeps them on its platform: queues, pools, client accounts and their keys. */
import type { Resources } from "../process/resources.js";

/** A queue that callers submit jobs to. */
export interface Queue {
    readonly name: string;
    /** Host name by which callers address it, in lower case. */
    readonly host: string;
    /** Start of the path; the job's id follows. */
    readonly pathPrefix: string;
    /** Pool whose workers run its tasks. */
    readonly pool: string;
    /** Taken without a key. */
    readonly isOpen: boolean;
    /** 0 goes first. */
    readonly priority: number;
    /** Failed runs of a task after which its job has failed. */
    readonly maxAttempts: number;
    /** Factor on a job's longest chain of work that its objective allows. */
    readonly stretch: number;
    /** Added to a job's objective, in milliseconds. */
    readonly objectiveMs: number;
    /** Longest time for the answer to a call, in milliseconds. */
    readonly timeoutMs: number;
    /** Only workers that the placement adviser names may run its steps. */
    readonly needsAdvice: boolean;
}

/** A pool of VMs. */
export interface Pool {
    readonly name: string;
    /** Its workers refuse what does not fit. */
    readonly guardsCapacity: boolean;
    /** Its VMs are off and run nothing. */
    readonly isSpare: boolean;
}

/** A client account. */
export interface Team {
    readonly name: string;
    /** Part of the fleet it is due when all is full; also jobs a second it may count on. */
    readonly weight: number;
    /** Most it may have running across all workers; 0 in a field means no limit. */
    readonly cap: Resources;
}

/** The lists of one version. */
export interface Directory {
    readonly version: number;
    readonly queues: readonly Queue[];
    readonly pools: ReadonlyMap<string, Pool>;
    readonly teams: ReadonlyMap<string, Team>;
    /** Team of each key. */
    readonly keys: ReadonlyMap<string, string>;
}

/** The queue that a call addresses: the longest path prefix on its host; undefined when there is none. */
export function findQueue(directory: Directory, host: string, path: string): Queue | undefined {
    const name = host.split(":", 1)[0]!.toLowerCase();
    let found: Queue | undefined;
    for (const queue of directory.queues) {
        const matches = queue.host === name && path.startsWith(queue.pathPrefix);
        if (matches && queue.pathPrefix.length > (found?.pathPrefix.length ?? -1)) {
            found = queue;
        }
    }
    return found;
}
