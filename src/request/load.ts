/** How much runs where: exact counts of this entry, and the last counts heard from each peer. */

/** Running and waiting work of one team in one pool. */
export interface TeamLoad {
    readonly team: string;
    readonly pool: string;
    readonly running: number;
    readonly waiting: number;
}

/** What one entry tells its peers about its load. */
export interface Digest {
    readonly teams: readonly TeamLoad[];
    /** Grants the entry holds and does not use, by team. */
    readonly spare: Readonly<Record<string, number>>;
    /** Requests and tasks on each worker that is not homed at the sender. */
    readonly workers: Readonly<Record<string, number>>;
}

/** A digest with the time at which it arrived. */
export interface HeardDigest {
    readonly digest: Digest;
    /** Monotonic time, in milliseconds. */
    readonly at: number;
}

/** Counts by key that are removed when they return to zero. */
export class Tally {
    private readonly counts = new Map<string, number>();

    static create(): Tally {
        return new Tally();
    }

    /** Adds `by`, which may be negative. */
    add(key: string, by: number): void {
        const next = (this.counts.get(key) ?? 0) + by;
        if (next === 0) {
            this.counts.delete(key);
        }
        else {
            this.counts.set(key, next);
        }
    }

    /** The count of a key. */
    of(key: string): number {
        return this.counts.get(key) ?? 0;
    }

    /** All counts that are not zero. */
    entries(): IterableIterator<[string, number]> {
        return this.counts.entries();
    }
}

/** Load of the other entries, summed from their digests; digests older than `maxAgeMs` are ignored. */
export class RemoteLoad {
    private readonly heard = new Map<string, HeardDigest>();
    private readonly byPoolTeam = Tally.create();
    private readonly byTeam = Tally.create();
    private readonly byWorker = Tally.create();
    private readonly waitingByTeam = Tally.create();

    static create(): RemoteLoad {
        return new RemoteLoad();
    }

    /** Replaces what a peer said before. */
    hear(peer: string, digest: Digest, at: number): void {
        this.forget(peer);
        this.heard.set(peer, { digest, at });
        this.tally(digest, 1);
    }

    /** Drops what a peer said. */
    forget(peer: string): void {
        const old = this.heard.get(peer);
        if (old !== undefined) {
            this.tally(old.digest, -1);
            this.heard.delete(peer);
        }
    }

    /** Drops digests heard before `at`. */
    expire(at: number): void {
        [...this.heard].filter(([, heard]) => heard.at < at).forEach(([peer]) => this.forget(peer));
    }

    /** Running work of a team in a pool on other entries. */
    runningIn(pool: string, team: string): number {
        return this.byPoolTeam.of(poolTeamKey(pool, team));
    }

    /** Running and waiting work of a team on other entries. */
    demandOf(team: string): number {
        return this.byTeam.of(team) + this.waitingByTeam.of(team);
    }

    /** Work of other entries on a worker. */
    onWorker(vm: string): number {
        return this.byWorker.of(vm);
    }

    /** Peers that hold unused grants of a team, most first. */
    withSpare(team: string): readonly string[] {
        return [...this.heard]
            .filter(([, { digest }]) => (digest.spare[team] ?? 0) > 0)
            .sort((a, b) => b[1].digest.spare[team]! - a[1].digest.spare[team]!)
            .map(([peer]) => peer);
    }

    private tally(digest: Digest, sign: number): void {
        for (const { team, pool, running, waiting } of digest.teams) {
            this.byPoolTeam.add(poolTeamKey(pool, team), sign * running);
            this.byTeam.add(team, sign * running);
            this.waitingByTeam.add(team, sign * waiting);
        }
        Object.entries(digest.workers).forEach(([vm, load]) => this.byWorker.add(vm, sign * load));
    }
}

/** Key of a team's counts in one pool. */
export function poolTeamKey(pool: string, team: string): string {
    return `${pool}\n${team}`;
}
