/**
 * Waiting jobs of the shards that this entry claims from, a bounded line for each team. The index is read in pages
 * and skips from team to team, so that one team's long line neither fills memory nor hides the others.
 */
import type { StoreFlow } from "../process/store.js";
import { readReady, type ReadyJob } from "./job-store.js";
import { readyTeamPrefix } from "./job.js";

const teamBufferSize = 20;
const maxTeamsPerRefill = 8;
const maxKeySuffix = "\uffff";

interface ShardBuffers {
    readonly teams: Map<string, ReadyJob[]>;
    /** Where the next refill goes on. */
    cursor: string;
    /** Jobs may wait in the shard. */
    isActive: boolean;
}

/** Lines of waiting jobs by shard and team. */
export class ReadyBuffers {
    private readonly shards = new Map<number, ShardBuffers>();
    private nextBuffer = 0;

    static create(): ReadyBuffers {
        return new ReadyBuffers();
    }

    /** Forgets the shards that belong to other entries now. */
    retain(shards: readonly number[]): void {
        [...this.shards.keys()].filter(shard => !shards.includes(shard)).forEach(shard =>
            this.shards.delete(shard)
        );
    }

    /** Notes that a job became ready in a shard. */
    markReady(shard: number): void {
        Object.assign(this.shardBuffersOf(shard), { cursor: "", isActive: true });
    }

    /** Whether jobs may wait in a shard. */
    isActive(shard: number): boolean {
        return this.shardBuffersOf(shard).isActive;
    }

    /** Number of jobs held in memory. */
    get size(): number {
        return [...this.shards.values()]
            .flatMap(lines => [...lines.teams.values()])
            .reduce((sum, line) => sum + line.length, 0);
    }

    /** Reads the head of each team's line, a few teams at a time. */
    *refill(shard: number): StoreFlow<void> {
        const lines = this.shardBuffersOf(shard);
        for (let team = 0; team < maxTeamsPerRefill; team++) {
            const page = yield* readReady(shard, lines.cursor, teamBufferSize);
            const first = page[0];
            if (first === undefined) {
                lines.isActive = lines.cursor !== "" || team > 0;
                lines.cursor = "";
                return;
            }
            lines.isActive = true;
            const same = page.filter(ready => ready.team === first.team);
            lines.teams.set(first.team, same);
            lines.cursor = readyTeamPrefix(shard, first.team) + maxKeySuffix;
        }
    }

    /** The next job to claim, taking shards and teams in turn; `isTaken` names those already in hand. */
    next(isTaken: (id: string) => boolean): ReadyJob | undefined {
        const all = [...this.shards.values()].flatMap(lines => [...lines.teams.values()]);
        for (let step = 0; step < all.length; step++) {
            const line = all[(this.nextBuffer + step) % all.length]!;
            const ready = takeFirst(line, isTaken);
            if (ready !== undefined) {
                this.nextBuffer = (this.nextBuffer + step + 1) % all.length;
                return ready;
            }
        }
        return undefined;
    }

    private shardBuffersOf(shard: number): ShardBuffers {
        let lines = this.shards.get(shard);
        if (lines === undefined) {
            lines = { teams: new Map(), cursor: "", isActive: true };
            this.shards.set(shard, lines);
        }
        return lines;
    }
}

function takeFirst(line: ReadyJob[], isTaken: (id: string) => boolean): ReadyJob | undefined {
    while (line.length > 0) {
        const ready = line.shift()!;
        if (!isTaken(ready.id)) {
            return ready;
        }
    }
    return undefined;
}
