/** Load of the fleet: the digest that entries exchange, and the sums of the last digest received from each peer. */

/** Running and waiting work of one team in one pool. */
export interface TeamLoad {
    readonly team: string;
    readonly pool: string;
    readonly running: number;
    readonly waiting: number;
    /** Recently used slot time with exponential decay, in milliseconds. */
    readonly usedMs: number;
}

/** Load of one entry as it is sent to the peers. */
export interface LoadDigest {
    readonly teams: readonly TeamLoad[];
    /** Grants that the entry holds but does not use, by team. */
    readonly unusedGrants: Readonly<Record<string, number>>;
    /** Free slots on workers homed at the sender, by pool. */
    readonly freeSlots: Readonly<Record<string, number>>;
    /** Requests and tasks on each worker that is not homed at the sender. */
    readonly loadByWorker: Readonly<Record<string, number>>;
}

/** A digest with its time of arrival. */
export interface ReceivedDigest {
    readonly digest: LoadDigest;
    /** Monotonic time, in milliseconds. */
    readonly receivedAt: number;
}

/** Counters by key; a counter that returns to zero is removed. */
export class KeyedCounter {
    private readonly counts = new Map<string, number>();

    static create(): KeyedCounter {
        return new KeyedCounter();
    }

    /** Adds `by`, which may be negative, to the counter of a key. */
    add(key: string, by: number): void {
        const next = (this.counts.get(key) ?? 0) + by;
        if (next === 0) {
            this.counts.delete(key);
        }
        else {
            this.counts.set(key, next);
        }
    }

    /** The count of a key, 0 when there is none. */
    get(key: string): number {
        return this.counts.get(key) ?? 0;
    }

    /** Resets every counter whose key starts with `prefix` and a line feed. */
    clearPrefix(prefix: string): void {
        [...this.counts.keys()].filter(key => key.startsWith(`${prefix}\n`)).forEach(key =>
            this.counts.delete(key)
        );
    }

    /** All non-zero counts. */
    entries(): IterableIterator<[string, number]> {
        return this.counts.entries();
    }
}

/** Load of the other entries, summed over their latest digests; stale digests are dropped by `expireBefore`. */
export class RemoteLoad {
    private readonly digests = new Map<string, ReceivedDigest>();
    private readonly runningByPoolTeam = KeyedCounter.create();
    private readonly runningByPool = KeyedCounter.create();
    private readonly usedMsByPoolTeam = KeyedCounter.create();
    private readonly waitingByPoolTeam = KeyedCounter.create();
    private readonly runningByTeam = KeyedCounter.create();
    private readonly loadByWorker = KeyedCounter.create();
    private readonly waitingByTeam = KeyedCounter.create();
    private readonly relayed = KeyedCounter.create();

    static create(): RemoteLoad {
        return new RemoteLoad();
    }

    /** Replaces the digest of a peer; `at` is the monotonic time of arrival in milliseconds. */
    update(peer: string, digest: LoadDigest, at: number): void {
        this.remove(peer);
        this.digests.set(peer, { digest, receivedAt: at });
        this.accumulate(digest, 1);
    }

    /** Drops the digest of a peer. */
    remove(peer: string): void {
        const old = this.digests.get(peer);
        if (old !== undefined) {
            this.accumulate(old.digest, -1);
            this.digests.delete(peer);
            this.relayed.clearPrefix(peer);
        }
    }

    /** Drops digests received before `at`, a monotonic time in milliseconds. */
    expireBefore(at: number): void {
        [...this.digests].filter(([, received]) => received.receivedAt < at).forEach(([peer]) =>
            this.remove(peer)
        );
    }

    /** Slot time that a team recently used in a pool on other entries as of their latest digests, in milliseconds. */
    usedMsIn(pool: string, team: string): number {
        return this.usedMsByPoolTeam.get(poolTeamKey(pool, team));
    }

    /** Running work in a pool on other entries. */
    runningInPool(pool: string): number {
        return this.runningByPool.get(pool);
    }

    /** Waiting work of a team in a pool on other entries. */
    waitingIn(pool: string, team: string): number {
        return this.waitingByPoolTeam.get(poolTeamKey(pool, team));
    }

    /** Running work of a team in a pool on other entries. */
    runningIn(pool: string, team: string): number {
        return this.runningByPoolTeam.get(poolTeamKey(pool, team));
    }

    /** Running and waiting work of a team on other entries. */
    demandOf(team: string): number {
        return this.runningByTeam.get(team) + this.waitingByTeam.get(team);
    }

    /** Requests and tasks of other entries on a worker. */
    onWorker(vm: string): number {
        return this.loadByWorker.get(vm);
    }

    /** Peers that hold unused grants of a team, in descending order of their number. */
    peersWithUnusedGrants(team: string): readonly string[] {
        return [...this.digests.keys()]
            .filter(peer => this.unusedGrantsOf(peer, team) > 0)
            .sort((a, b) => this.unusedGrantsOf(b, team) - this.unusedGrantsOf(a, team));
    }

    /** Peers with both free slots in a pool and unused grants of a team, in descending order of free slots. */
    peersWithFreeSlots(pool: string, team: string): readonly string[] {
        return [...this.digests.keys()]
            .filter(peer => this.freeSlotsOf(peer, pool) > 0 && this.unusedGrantsOf(peer, team) > 0)
            .sort((a, b) => this.freeSlotsOf(b, pool) - this.freeSlotsOf(a, pool));
    }

    /** Counts a relayed request against the free slots and unused grants of the peer until its next digest arrives. */
    countRelayed(peer: string, pool: string, team: string): void {
        this.relayed.add(relayedKey(peer, pool), 1);
        this.relayed.add(relayedKey(peer, team), 1);
    }

    private unusedGrantsOf(peer: string, team: string): number {
        return (this.digests.get(peer)?.digest.unusedGrants[team] ?? 0)
            - this.relayed.get(relayedKey(peer, team));
    }

    private freeSlotsOf(peer: string, pool: string): number {
        return (this.digests.get(peer)?.digest.freeSlots[pool] ?? 0)
            - this.relayed.get(relayedKey(peer, pool));
    }

    private accumulate(digest: LoadDigest, sign: number): void {
        for (const { team, pool, running, waiting, usedMs } of digest.teams) {
            this.waitingByPoolTeam.add(poolTeamKey(pool, team), sign * waiting);
            this.usedMsByPoolTeam.add(poolTeamKey(pool, team), sign * usedMs);
            this.runningByPool.add(pool, sign * running);
            this.runningByPoolTeam.add(poolTeamKey(pool, team), sign * running);
            this.runningByTeam.add(team, sign * running);
            this.waitingByTeam.add(team, sign * waiting);
        }
        Object.entries(digest.loadByWorker).forEach(([vm, load]) => this.loadByWorker.add(vm, sign * load));
    }
}

function relayedKey(peer: string, name: string): string {
    return `${peer}\n${name}`;
}

/** Key of a team's counters in one pool. */
export function poolTeamKey(pool: string, team: string): string {
    return `${pool}\n${team}`;
}
