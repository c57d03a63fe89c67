/** Exact counts of this entry's own running work, and the slot time it used lately. */
import { poolTeamKey, Tally } from "./load.js";
import type { Slot } from "./slot.js";
import { UsageBook } from "./usage.js";

/** Running work of one entry. */
export class OwnLoad {
    private readonly byTeam = Tally.create();
    private readonly byPoolTeam = Tally.create();
    private readonly byPool = Tally.create();
    private readonly byWorker = Tally.create();
    private readonly uncovered = Tally.create();
    private readonly usage: UsageBook;

    private constructor(now: () => number) {
        this.usage = UsageBook.create(now);
    }

    static create(now: () => number): OwnLoad {
        return new OwnLoad(now);
    }

    /** Counts a slot that was given out. */
    occupy({ team, pool, worker, adoptedFrom }: Slot): void {
        this.byTeam.add(team, 1);
        this.byPoolTeam.add(poolTeamKey(pool, team), 1);
        this.byPool.add(pool, 1);
        this.byWorker.add(worker.vm, 1);
        if (adoptedFrom !== undefined) {
            this.uncovered.add(adoptedKey(team, adoptedFrom), 1);
        }
    }

    /** Frees the place that a slot takes under its team's grant. */
    freeTeam({ team, pool, adoptedFrom }: Slot): void {
        if (adoptedFrom !== undefined) {
            this.cover(team, adoptedFrom, 1);
        }
        this.byTeam.add(team, -1);
        this.byPoolTeam.add(poolTeamKey(pool, team), -1);
        this.byPool.add(pool, -1);
    }

    /** Frees the place that a slot takes on its worker. */
    freeWorker({ worker }: Slot): void {
        this.byWorker.add(worker.vm, -1);
    }

    /** Adds slot time that a team used in a pool, in milliseconds; negative to correct an estimate. */
    charge(pool: string, team: string, ms: number): void {
        this.usage.add(poolTeamKey(pool, team), ms);
    }

    /** Slot time that a team used lately in a pool, faded, in milliseconds. */
    usedIn(pool: string, team: string): number {
        return this.usage.of(poolTeamKey(pool, team));
    }

    /** Running work of a team. */
    ofTeam(team: string): number {
        return this.byTeam.of(team);
    }

    /** Running work of a team in a pool. */
    inPool(pool: string, team: string): number {
        return this.byPoolTeam.of(poolTeamKey(pool, team));
    }

    /** Running work in a pool. */
    ofPool(pool: string): number {
        return this.byPool.of(pool);
    }

    /** Work on a worker. */
    onWorker(vm: string): number {
        return this.byWorker.of(vm);
    }

    /** Work of a team that runs here under the grant of an ended incarnation. */
    uncoveredOf(team: string, from: string): number {
        return this.uncovered.of(adoptedKey(team, from));
    }

    /** Notes that `n` of the grant of an ended incarnation were moved here. */
    cover(team: string, from: string, n: number): void {
        this.uncovered.add(adoptedKey(team, from), -Math.min(n, this.uncoveredOf(team, from)));
    }
}

function adoptedKey(team: string, from: string): string {
    return `${team}\n${from}`;
}
