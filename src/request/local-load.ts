/** Load of this entry: exact counts of its running work, and the slot time it recently used. */
import { DecayedUsage } from "./decayed-usage.js";
import { KeyedCounter, poolTeamKey } from "./load.js";
import type { Slot } from "./slot.js";

/** Counts the occupied slots of one entry by team, pool and worker. */
export class LocalLoad {
    private readonly runningByTeam = KeyedCounter.create();
    private readonly runningByPoolTeam = KeyedCounter.create();
    private readonly runningByPool = KeyedCounter.create();
    private readonly loadByWorker = KeyedCounter.create();
    private readonly adopted = KeyedCounter.create();
    private readonly usage: DecayedUsage;

    private constructor(now: () => number) {
        this.usage = DecayedUsage.create(now);
    }

    static create(now: () => number): LocalLoad {
        return new LocalLoad(now);
    }

    /** Counts an assigned slot. */
    addSlot({ team, pool, worker, adoptedFrom }: Slot): void {
        this.runningByTeam.add(team, 1);
        this.runningByPoolTeam.add(poolTeamKey(pool, team), 1);
        this.runningByPool.add(pool, 1);
        this.loadByWorker.add(worker.vm, 1);
        if (adoptedFrom !== undefined) {
            this.adopted.add(adoptedKey(team, adoptedFrom), 1);
        }
    }

    /** Stops counting a slot against the grant of its team. */
    releaseTeamSlot({ team, pool, adoptedFrom }: Slot): void {
        if (adoptedFrom !== undefined) {
            this.recordGrantTransfer(team, adoptedFrom, 1);
        }
        this.runningByTeam.add(team, -1);
        this.runningByPoolTeam.add(poolTeamKey(pool, team), -1);
        this.runningByPool.add(pool, -1);
    }

    /** Stops counting a slot against the capacity of its worker. */
    releaseWorkerSlot({ worker }: Slot): void {
        this.loadByWorker.add(worker.vm, -1);
    }

    /** Adds slot time that a team used in a pool, in milliseconds; negative to correct an estimate. */
    charge(pool: string, team: string, ms: number): void {
        this.usage.add(poolTeamKey(pool, team), ms);
    }

    /** Slot time that a team recently used in a pool, with exponential decay, in milliseconds. */
    usedMsIn(pool: string, team: string): number {
        return this.usage.get(poolTeamKey(pool, team));
    }

    /** Running work of a team. */
    runningOf(team: string): number {
        return this.runningByTeam.get(team);
    }

    /** Running work of a team in a pool. */
    runningIn(pool: string, team: string): number {
        return this.runningByPoolTeam.get(poolTeamKey(pool, team));
    }

    /** Running work in a pool. */
    runningInPool(pool: string): number {
        return this.runningByPool.get(pool);
    }

    /** Requests and tasks of this entry on a worker. */
    onWorker(vm: string): number {
        return this.loadByWorker.get(vm);
    }

    /** Running work of a team that is still covered by the grant of an ended incarnation. */
    adoptedCount(team: string, from: string): number {
        return this.adopted.get(adoptedKey(team, from));
    }

    /** Records that `n` units of the grant of an ended incarnation were transferred to this entry. */
    recordGrantTransfer(team: string, from: string, n: number): void {
        this.adopted.add(adoptedKey(team, from), -Math.min(n, this.adoptedCount(team, from)));
    }
}

function adoptedKey(team: string, from: string): string {
    return `${team}\n${from}`;
}
