/**
 * What the lists say of client accounts, and last said of those that the lists in force leave out. Accepted work may outlive an
 * account of the lists, and the account may return: without a limit all of its work would start at once.
 */
import { componentwiseMax, noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";
import type { TeamUsage } from "./team-usage.js";

/** Limit that lets one task run at a time; 0 in a field would be no limit. */
const leastLimit: Resources = { cpu: 1, memory: 1, accelerators: 1 };

/** The lists as an owner has known them during its tenure. */
export class KnownLists {
    private readonly limits = new Map<string, Resources>();
    /** What accounts used at the takeover. */
    private inheritedUsage: ReadonlyMap<string, Resources> = new Map();
    private recorded: Directory | undefined;

    private constructor() {}

    static create(): KnownLists {
        return new KnownLists();
    }

    /** Records the lists in force; has to be called before they are used. */
    record(directory: Directory | undefined): void {
        if (directory === undefined || directory === this.recorded) {
            return;
        }
        this.recorded = directory;
        for (const { name, cap } of directory.teams.values()) {
            this.limits.set(name, cap);
        }
    }

    /** Records what accounts used at the takeover, which earlier owners started within limits that this one may not have seen. */
    recordInherited(usage: TeamUsage): void {
        this.inheritedUsage = new Map(usage.ofTeams());
    }

    /**
     * Most resources that the running tasks of an account may have; 0 in a field means no limit. An account that no lists of this
     * tenure have named may use as much as at the takeover, or run one task at a time. Jobs without an account have no limit.
     */
    limitOf(team: string): Resources {
        if (team === "") {
            return noResources;
        }
        return this.limits.get(team)
            ?? componentwiseMax([leastLimit, this.inheritedUsage.get(team) ?? noResources]);
    }
}
