/**
 * What the lists say of client accounts, and last said of those that the lists in force leave out. Accepted work may outlive an
 * account of the lists, and the account may return: without a limit all of its work would start at once.
 */
import { noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";

/** The lists as an owner has known them during its tenure. */
export class KnownLists {
    private readonly limits = new Map<string, Resources>();
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

    /** Most resources that the running tasks of an account may have; none for an account that no list has named. */
    limitOf(team: string): Resources {
        return this.limits.get(team) ?? noResources;
    }
}
