/** Compact form of a digest for the peer links: each name once, and rows as flat lists of whole numbers. */
import { z } from "zod";
import type { Digest, TeamLoad } from "./load.js";

const count = z.int().min(0).max(Number.MAX_SAFE_INTEGER);
const names = z.array(z.string().max(100)).max(100_000);

const wireSchema = z.object({
    teams: names,
    pools: names,
    /** For each load: index of the team, index of the pool, running, waiting, used. */
    loads: z.array(count),
    /** For each team with unused grants: its index, and how many. */
    spare: z.array(count),
    /** For each pool with free slots: its index, and how many. */
    free: z.array(count),
    workers: z.record(z.string(), count),
});

/** A digest as sent. */
export type DigestWire = z.output<typeof wireSchema>;

const loadWidth = 5;
const pairWidth = 2;

/** Packs a digest. */
export function packDigest(digest: Digest): DigestWire {
    const teams = [...new Set([...digest.teams.map(load => load.team), ...Object.keys(digest.spare)])];
    const pools = [...new Set([...digest.teams.map(load => load.pool), ...Object.keys(digest.free)])];
    const pairs = (counts: Readonly<Record<string, number>>, index: readonly string[]): number[] =>
        Object.entries(counts).flatMap(([name, n]) => [index.indexOf(name), n]);
    return {
        teams,
        pools,
        loads: digest.teams.flatMap(({ team, pool, running, waiting, used }) => [
            teams.indexOf(team),
            pools.indexOf(pool),
            running,
            waiting,
            used,
        ]),
        spare: pairs(digest.spare, teams),
        free: pairs(digest.free, pools),
        workers: digest.workers,
    };
}

/** Unpacks what a peer sent; undefined when it is malformed. */
export function unpackDigest(body: unknown): Digest | undefined {
    const parsed = wireSchema.safeParse(body);
    if (!parsed.success) {
        return undefined;
    }
    const { teams, pools, loads, spare, free, workers } = parsed.data;
    const isWhole = loads.length % loadWidth === 0 && spare.length % pairWidth === 0
        && free.length % pairWidth === 0;
    const rows = chunk(loads, loadWidth);
    const isKnown = rows.every(([team = -1, pool = -1]) => team in teams && pool in pools)
        && chunk(spare, pairWidth).every(([team = -1]) => team in teams)
        && chunk(free, pairWidth).every(([pool = -1]) => pool in pools);
    if (!isWhole || !isKnown) {
        return undefined;
    }
    return {
        teams: rows.map(row => toLoad(row, teams, pools)),
        spare: toCounts(spare, teams),
        free: toCounts(free, pools),
        workers,
    };
}

function toLoad(row: readonly number[], teams: readonly string[], pools: readonly string[]): TeamLoad {
    const [team = 0, pool = 0, running = 0, waiting = 0, used = 0] = row;
    return { team: teams[team]!, pool: pools[pool]!, running, waiting, used };
}

function toCounts(pairs: readonly number[], index: readonly string[]): Readonly<Record<string, number>> {
    return Object.fromEntries(chunk(pairs, pairWidth).map(([at = 0, n = 0]) => [index[at]!, n]));
}

function chunk(list: readonly number[], width: number): readonly (readonly number[])[] {
    return Array.from(
        { length: Math.ceil(list.length / width) },
        (_, at) => list.slice(at * width, (at + 1) * width),
    );
}
