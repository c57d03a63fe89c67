/**
 * What the lists say of client accounts and queues, and last said of those that the lists in force leave out. Accepted work may
 * outlive an entry of the lists, and the entry may return: without a limit all work of an account would start at once, and with
 * another number of attempts a job could be failed for good.
 */
import { noResources, type Resources } from "../process/resources.js";
import type { Directory } from "../version/directory.js";

/** Number of failed runs of a task after which its job fails, for a queue that no list has named. */
const defaultMaxAttempts = 3;

/** The lists as an owner has known them during its tenure. */
export class KnownLists {
    private readonly limits = new Map<string, Resources>();
    private readonly maxAttempts = new Map<string, number>();
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
        for (const { name, maxAttempts } of directory.queues) {
            this.maxAttempts.set(name, maxAttempts);
        }
    }

    /** Most resources that the running tasks of an account may have; none for an account that no list has named. */
    limitOf(team: string): Resources {
        return this.limits.get(team) ?? noResources;
    }

    /** Number of failed runs of a task after which a job of the queue fails. */
    maxAttemptsOf(queue: string): number {
        return this.maxAttempts.get(queue) ?? defaultMaxAttempts;
    }
}
