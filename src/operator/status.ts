/** Status shown by `celerywind status`: the state of one entry and its view of the fleet. */
import type { Fleet } from "../process/fleet.js";
import { minAvailableOf, workersByPool } from "../process/workers.js";
import type { ConfigurationReplica } from "../version/configuration-replica.js";

/** Limit of a team across the fleet, and its grants and running work on this entry. */
export interface TeamStatus {
    readonly team: string;
    readonly plan: string;
    readonly limit: number;
    readonly grantHere: number;
    readonly runningHere: number;
}

/** Workers of a pool, its disruption budget and its disruption permits. */
export interface PoolStatus {
    readonly pool: string;
    readonly vms: number;
    readonly available: number;
    /** Minimum number of VMs that must stay available. */
    readonly budget: number;
    /** Disruption permits in use. */
    readonly permits: number;
}

/** Status of one entry. */
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
    /** Zones that operators have evacuated; undefined where zones cannot be evacuated. */
    readonly evacuatedZones?: readonly string[];
    readonly teams: readonly TeamStatus[];
    readonly pools: readonly PoolStatus[];
}

/** Options of `collectStatus`. */
export interface StatusOptions {
    readonly vm: string;
    readonly fleet: Fleet;
    readonly versions: ConfigurationReplica;
    /** Why the entry is not ready; undefined when it is ready. */
    readonly notReadyReason: () => string | undefined;
    readonly peers: () => readonly string[];
    readonly localGrantOf: (team: string) => number;
    readonly localRunningOf: (team: string) => number;
    readonly activeRequests: () => number;
    readonly runningJobs: () => number;
}

/** Collects the status of this entry. */
export function collectStatus(options: StatusOptions): Status {
    const { vm, fleet, versions, notReadyReason: notReady, peers, activeRequests, runningJobs } = options;
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
        evacuatedZones: [...versions.state.evacuatedZones.keys()].sort(),
        teams: collectTeamStatuses(options),
        pools: collectPoolStatuses(fleet),
    };
}

function collectTeamStatuses(
    { versions, localGrantOf, localRunningOf }: StatusOptions,
): readonly TeamStatus[] {
    const { teams, plans } = versions.state.lists;
    return Object.entries(teams).map(([team, { plan }]) => ({
        team,
        plan,
        limit: plans[plan]?.limit ?? 0,
        grantHere: localGrantOf(team),
        runningHere: localRunningOf(team),
    }));
}

function collectPoolStatuses({ view }: Fleet): readonly PoolStatus[] {
    return [...workersByPool(view)].map(([pool, workers]) => ({
        pool,
        vms: workers.length,
        available: workers.filter(worker => worker.acceptsWork).length,
        budget: minAvailableOf(view, pool),
        permits: Object.keys(view.poolRows.get(pool)?.permits ?? {}).length,
    }));
}
