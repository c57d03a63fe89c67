/** How much runs where: exact counts of this entry, and the last counts heard from each peer. */

/** Running and waiting work of one team in one pool. */
export interface TeamLoad {
    readonly team: string;
    readonly pool: string;
    readonly running: number;
    readonly waiting: number;
    /** Slot time used lately, faded, in milliseconds. */
    readonly used: number;
}

/** What one entry tells its peers about its load. */
export interface Digest {
    readonly teams: readonly TeamLoad[];
    /** Grants the entry holds and does not use, by team. */
    readonly spare: Readonly<Record<string, number>>;
    /** Free slots on workers homed at the sender, by pool. */
    readonly free: Readonly<Record<string, number>>;
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

    /** Returns the counts of every key that starts with a prefix to zero. */
    clear(prefix: string): void {
        [...this.counts.keys()].filter(key => key.startsWith(`${prefix}\n`)).forEach(key =>
            this.counts.delete(key)
        );
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
    private readonly byPool = Tally.create();
    private readonly usedByPoolTeam = Tally.create();
    private readonly waitingByPoolTeam = Tally.create();
    private readonly byTeam = Tally.create();
    private readonly byWorker = Tally.create();
    private readonly waitingByTeam = Tally.create();
    private readonly relayed = Tally.create();

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
            this.relayed.clear(peer);
        }
    }

    /** Drops digests heard before `at`. */
    expire(at: number): void {
        [...this.heard].filter(([, heard]) => heard.at < at).forEach(([peer]) => this.forget(peer));
    }

    /** Slot time that a team used lately in a pool on other entries, as they last said, in milliseconds. */
    usedIn(pool: string, team: string): number {
        return this.usedByPoolTeam.of(poolTeamKey(pool, team));
    }

    /** Running work in a pool on other entries. */
    runningInPool(pool: string): number {
        return this.byPool.of(pool);
    }

    /** Waiting work of a team in a pool on other entries. */
    waitingIn(pool: string, team: string): number {
        return this.waitingByPoolTeam.of(poolTeamKey(pool, team));
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
        return [...this.heard.keys()]
            .filter(peer => this.spareOf(peer, team) > 0)
            .sort((a, b) => this.spareOf(b, team) - this.spareOf(a, team));
    }

    /** Peers with free slots in a pool and unused grants of a team, most free slots first. */
    withFree(pool: string, team: string): readonly string[] {
        return [...this.heard.keys()]
            .filter(peer => this.freeOf(peer, pool) > 0 && this.spareOf(peer, team) > 0)
            .sort((a, b) => this.freeOf(b, pool) - this.freeOf(a, pool));
    }

    /** Counts a request relayed to a peer against what it said was free, until it speaks again. */
    noteRelayed(peer: string, pool: string, team: string): void {
        this.relayed.add(relayedKey(peer, pool), 1);
        this.relayed.add(relayedKey(peer, team), 1);
    }

    private spareOf(peer: string, team: string): number {
        return (this.heard.get(peer)?.digest.spare[team] ?? 0) - this.relayed.of(relayedKey(peer, team));
    }

    private freeOf(peer: string, pool: string): number {
        return (this.heard.get(peer)?.digest.free[pool] ?? 0) - this.relayed.of(relayedKey(peer, pool));
    }

    private tally(digest: Digest, sign: number): void {
        for (const { team, pool, running, waiting, used } of digest.teams) {
            this.waitingByPoolTeam.add(poolTeamKey(pool, team), sign * waiting);
            this.usedByPoolTeam.add(poolTeamKey(pool, team), sign * used);
            this.byPool.add(pool, sign * running);
            this.byPoolTeam.add(poolTeamKey(pool, team), sign * running);
            this.byTeam.add(team, sign * running);
            this.waitingByTeam.add(team, sign * waiting);
        }
        Object.entries(digest.workers).forEach(([vm, load]) => this.byWorker.add(vm, sign * load));
    }
}

function relayedKey(peer: string, name: string): string {
    return `${peer}\n${name}`;
}

/** Key of a team's counts in one pool. */
export function poolTeamKey(pool: string, team: string): string {
    return `${pool}\n${team}`;
}
