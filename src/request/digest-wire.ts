/**
 * Compact encoding of a load digest for the peer links: each name is sent once, and rows are flat lists of integers
 * that refer to names by index.
 */
import { z } from "zod";
import type { LoadDigest, TeamLoad } from "./load.js";

const countSchema = z.int().min(0).max(Number.MAX_SAFE_INTEGER);
const namesSchema = z.array(z.string().max(100)).max(100_000);

const wireSchema = z.object({
    teams: namesSchema,
    pools: namesSchema,
    /** Five numbers for each load: team index, pool index, running, waiting, slot time used in milliseconds. */
    loads: z.array(countSchema),
    /** Two numbers for each team with unused grants: team index, count. */
    spare: z.array(countSchema),
    /** Two numbers for each pool with free slots: pool index, count. */
    free: z.array(countSchema),
    /** Requests and tasks by worker. */
    workers: z.record(z.string(), countSchema),
});

/** A load digest in its wire format. */
export type DigestWire = z.output<typeof wireSchema>;

const loadRowWidth = 5;
const pairWidth = 2;

/** Encodes a digest. */
export function packDigest(digest: LoadDigest): DigestWire {
    const teams = [...new Set([...digest.teams.map(load => load.team), ...Object.keys(digest.unusedGrants)])];
    const pools = [...new Set([...digest.teams.map(load => load.pool), ...Object.keys(digest.freeSlots)])];
    const pairs = (counts: Readonly<Record<string, number>>, names: readonly string[]): number[] =>
        Object.entries(counts).flatMap(([name, n]) => [names.indexOf(name), n]);
    return {
        teams,
        pools,
        loads: digest.teams.flatMap(({ team, pool, running, waiting, usedMs }) => [
            teams.indexOf(team),
            pools.indexOf(pool),
            running,
            waiting,
            usedMs,
        ]),
        spare: pairs(digest.unusedGrants, teams),
        free: pairs(digest.freeSlots, pools),
        workers: digest.loadByWorker,
    };
}

/** Decodes a digest received from a peer; undefined when it is malformed. */
export function unpackDigest(body: unknown): LoadDigest | undefined {
    const parsed = wireSchema.safeParse(body);
    if (!parsed.success) {
        return undefined;
    }
    const { teams, pools, loads, spare, free, workers } = parsed.data;
    const hasWholeRows = loads.length % loadRowWidth === 0 && spare.length % pairWidth === 0
        && free.length % pairWidth === 0;
    const rows = chunk(loads, loadRowWidth);
    const hasValidIndexes = rows.every(([team = -1, pool = -1]) => team in teams && pool in pools)
        && chunk(spare, pairWidth).every(([team = -1]) => team in teams)
        && chunk(free, pairWidth).every(([pool = -1]) => pool in pools);
    if (!hasWholeRows || !hasValidIndexes) {
        return undefined;
    }
    return {
        teams: rows.map(row => unpackTeamLoad(row, teams, pools)),
        unusedGrants: unpackCounts(spare, teams),
        freeSlots: unpackCounts(free, pools),
        loadByWorker: workers,
    };
}

function unpackTeamLoad(
    row: readonly number[],
    teams: readonly string[],
    pools: readonly string[],
): TeamLoad {
    const [team = 0, pool = 0, running = 0, waiting = 0, usedMs = 0] = row;
    return { team: teams[team]!, pool: pools[pool]!, running, waiting, usedMs };
}

function unpackCounts(pairs: readonly number[], names: readonly string[]): Readonly<Record<string, number>> {
    return Object.fromEntries(chunk(pairs, pairWidth).map(([at = 0, n = 0]) => [names[at]!, n]));
}

function chunk(list: readonly number[], width: number): readonly (readonly number[])[] {
    return Array.from(
        { length: Math.ceil(list.length / width) },
        (_, at) => list.slice(at * width, (at + 1) * width),
    );
}
