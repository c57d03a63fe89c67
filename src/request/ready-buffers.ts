/**
 * Waiting jobs of the shards that this entry claims from, in a bounded buffer for each team. The index is read in
 * pages, and each page is followed by a skip to the next team, so that one team's long backlog neither fills memory nor
 * keeps the other teams' jobs from being read.
 */
import type { StoreFlow } from "../process/store.js";
import { readReady, type ReadyJob } from "./job-store.js";
import { readyTeamPrefix } from "./job.js";

/** Most jobs buffered for one team of one shard, and the page size of index reads. */
const teamBufferSize = 20;
const maxTeamsPerRefill = 8;
/** Sorts after the rest of any index key of a team, so that a read from there begins at the next team. */
const maxKeySuffix = "\uffff";

interface ShardBuffers {
    readonly teams: Map<string, ReadyJob[]>;
    /** Key after which the next refill reads on; empty at the start of the shard. */
    cursor: string;
    /** Whether jobs may be waiting in the shard. */
    isActive: boolean;
}

/** Buffers of waiting jobs by shard and team. */
export class ReadyBuffers {
    private readonly shards = new Map<number, ShardBuffers>();
    private nextBuffer = 0;

    static create(): ReadyBuffers {
        return new ReadyBuffers();
    }

    /** Drops the buffers of all shards but these, the ones that this entry owns. */
    retain(shards: readonly number[]): void {
        [...this.shards.keys()].filter(shard => !shards.includes(shard)).forEach(shard =>
            this.shards.delete(shard)
        );
    }

    /** Records that a job became ready in a shard: the next refill reads the shard from its start. */
    markReady(shard: number): void {
        Object.assign(this.shardBuffersOf(shard), { cursor: "", isActive: true });
    }

    /** Whether jobs may be waiting in a shard. */
    isActive(shard: number): boolean {
        return this.shardBuffersOf(shard).isActive;
    }

    /** Number of jobs buffered. */
    get size(): number {
        return [...this.shards.values()]
            .flatMap(buffers => [...buffers.teams.values()])
            .reduce((sum, buffer) => sum + buffer.length, 0);
    }

    /** Reads the oldest waiting jobs of each team of a shard, a few teams per call. */
    *refill(shard: number): StoreFlow<void> {
        const buffers = this.shardBuffersOf(shard);
        for (let team = 0; team < maxTeamsPerRefill; team++) {
            const page = yield* readReady(shard, buffers.cursor, teamBufferSize);
            const first = page[0];
            if (first === undefined) {
                buffers.isActive = buffers.cursor !== "" || team > 0;
                buffers.cursor = "";
                return;
            }
            buffers.isActive = true;
            const ofTeam = page.filter(ready => ready.team === first.team);
            buffers.teams.set(first.team, ofTeam);
            buffers.cursor = readyTeamPrefix(shard, first.team) + maxKeySuffix;
        }
    }

    /**
     * Removes and returns the next job to claim, round-robin over shards and teams. Jobs for which `isTaken` holds,
     * because they are claimed already, are dropped.
     */
    next(isTaken: (id: string) => boolean): ReadyJob | undefined {
        const teamBuffers = [...this.shards.values()].flatMap(buffers => [...buffers.teams.values()]);
        for (let step = 0; step < teamBuffers.length; step++) {
            const buffer = teamBuffers[(this.nextBuffer + step) % teamBuffers.length]!;
            const ready = takeFirst(buffer, isTaken);
            if (ready !== undefined) {
                this.nextBuffer = (this.nextBuffer + step + 1) % teamBuffers.length;
                return ready;
            }
        }
        return undefined;
    }

    private shardBuffersOf(shard: number): ShardBuffers {
        let buffers = this.shards.get(shard);
        if (buffers === undefined) {
            buffers = { teams: new Map(), cursor: "", isActive: true };
            this.shards.set(shard, buffers);
        }
        return buffers;
    }
}

function takeFirst(buffer: ReadyJob[], isTaken: (id: string) => boolean): ReadyJob | undefined {
    while (buffer.length > 0) {
        const ready = buffer.shift()!;
        if (!isTaken(ready.id)) {
            return ready;
        }
    }
    return undefined;
}
