/** What `celerywind status` shows: the state of one entry and what it sees of the fleet. */
import type { Fleet } from "../process/fleet.js";
import { minAvailableOf, workersByPool } from "../process/workers.js";
import type { ConfigurationReplica } from "../version/configuration-replica.js";

/** One team's use and limit on this entry. */
export interface TeamStatus {
    readonly team: string;
    readonly plan: string;
    readonly limit: number;
    readonly grantHere: number;
    readonly runningHere: number;
}

/** One pool's workers. */
export interface PoolStatus {
    readonly pool: string;
    readonly vms: number;
    readonly available: number;
    readonly budget: number;
    readonly permits: number;
}

/** State of one entry. */
export interface Status {
    readonly vm: string;
    readonly incarnation: string | undefined;
    readonly ready: boolean;
    readonly reason: string | undefined;
    readonly revision: number;
    readonly listsRevision: number;
    readonly pendingWithdrawals: number;
    readonly entries: readonly string[];
    readonly peers: readonly string[];
    readonly activeRequests: number;
    readonly runningJobs: number;
    readonly teams: readonly TeamStatus[];
    readonly pools: readonly PoolStatus[];
}

/** What the status is made of. */
export interface StatusOptions {
    readonly vm: string;
    readonly fleet: Fleet;
    readonly versions: ConfigurationReplica;
    readonly notReady: () => string | undefined;
    readonly peers: () => readonly string[];
    readonly grantHere: (team: string) => number;
    readonly runningHere: (team: string) => number;
    readonly activeRequests: () => number;
    readonly runningJobs: () => number;
}

/** Collects the status. */
export function collectStatus(options: StatusOptions): Status {
    const { vm, fleet, versions, notReady, peers, activeRequests, runningJobs } = options;
    const reason = notReady();
    return {
        vm,
        incarnation: fleet.self?.incarnation,
        ready: reason === undefined,
        reason,
        revision: versions.state.revision,
        listsRevision: versions.state.listsRevision,
        pendingWithdrawals: versions.pendingWithdrawals.size,
        entries: fleet.live.map(member => member.incarnation),
        peers: peers(),
        activeRequests: activeRequests(),
        runningJobs: runningJobs(),
        teams: teamStatuses(options),
        pools: poolStatuses(fleet),
    };
}

function teamStatuses({ versions, grantHere, runningHere }: StatusOptions): readonly TeamStatus[] {
    const { teams, plans } = versions.state.lists;
    return Object.entries(teams).map(([team, { plan }]) => ({
        team,
        plan,
        limit: plans[plan]?.limit ?? 0,
        grantHere: grantHere(team),
        runningHere: runningHere(team),
    }));
}

function poolStatuses({ view }: Fleet): readonly PoolStatus[] {
    return [...workersByPool(view)].map(([pool, workers]) => ({
        pool,
        vms: workers.length,
        available: workers.filter(worker => worker.acceptsWork).length,
        budget: minAvailableOf(view, pool),
        permits: Object.keys(view.poolRows.get(pool)?.permits ?? {}).length,
    }));
}
