/** Resources of the running and claimed runs of each client account. */
import type { StepSpec } from "../job/index.js";
import { addResources, noResources, type Resources } from "../process/resources.js";

/** Resources that accounts use. */
export class TeamUsage {
    private readonly ofAllRuns = new Map<string, Resources>();
    private readonly ofServiceRuns = new Map<string, Resources>();

    private constructor() {}

    static create(): TeamUsage {
        return new TeamUsage();
    }

    /** Adds runs of a step; a negative number of them removes them. */
    add(team: string, step: StepSpec, runs: number): void {
        this.ofAllRuns.set(team, addResources(this.of(team), step.needs, runs));
        if (step.isService) {
            this.ofServiceRuns.set(team, addResources(this.ofServices(team), step.needs, runs));
        }
    }

    /** Accounts that have used any, with what they use now. */
    ofTeams(): Iterable<readonly [string, Resources]> {
        return this.ofAllRuns;
    }

    of(team: string): Resources {
        return this.ofAllRuns.get(team) ?? noResources;
    }

    /** What its services use, whose runs do not end by themselves. */
    ofServices(team: string): Resources {
        return this.ofServiceRuns.get(team) ?? noResources;
    }
}
