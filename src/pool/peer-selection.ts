/**
 * Selects the peers that an entry keeps links to, and ranks the entries that may take a domain over. Pure.
 *
 * Load pattern: a site of hundreds of entries at rest. With links between all of them, an entry would handle a number of
 * heartbeats and announcements that grows with the site. Here the number of links that an entry needs is bounded by
 * `maxNeededPeers`; only the owner and the first entry in line for a takeover have a link to every entry.
 */
import { rankedFor } from "../process/rendezvous.js";
import { rankCandidates, type RankedEntry } from "./ranking.js";

/** An entry of the site with what the selection depends on. */
export interface SiteMember extends RankedEntry {
    /** Availability zone; empty if unknown. */
    readonly zone: string;
}

/** Input of `selectPeers`. */
export interface PeerSelectionInput {
    readonly self: string;
    /** All registered entries, in any order; may include this entry. */
    readonly members: readonly SiteMember[];
    /** Entry that owns the domain; undefined or empty if there is none. */
    readonly owner: string | undefined;
}

/** Result of `selectPeers`. */
export interface PeerSelection {
    /** Peers to which this entry needs links, and whether the peer needs the link as well. */
    readonly needed: ReadonlyMap<string, { readonly isMutual: boolean }>;
    /** Entries that watch the owner closely and take over first, in that order; includes the owner. */
    readonly successors: readonly string[];
}

/** Number of peers up to which an entry keeps links to all of them. */
export const maxNeededPeers = 8;
/** Number of entries that watch the owner closely. */
const successorCount = 5;
/** Number of neighbours from other zones. */
const remoteNeighbourCount = 2;
/** Number of groups of entries behind the successors; those of one group may try to take over at the same time. */
const takeoverGroupCount = 10;

/** Selects the peers of an entry. All entries with the same members and owner agree on who is a successor. */
export function selectPeers({ self, members, owner }: PeerSelectionInput): PeerSelection {
    const others = members.filter(({ entry }) => entry !== self);
    const ranked = rankBySuccession(members).map(({ entry }) => entry);
    if (others.length <= maxNeededPeers) {
        return {
            needed: new Map(others.map(({ entry }) => [entry, { isMutual: true }])),
            successors: ranked,
        };
    }
    const successors = ranked.slice(0, successorCount);
    const nextInLine = ranked.find(entry => entry !== owner);
    const needed = new Map<string, { readonly isMutual: boolean }>();
    const add = (entry: string | undefined, isMutual: boolean): void => {
        if (entry !== undefined && entry !== "" && entry !== self && !needed.has(entry)) {
            needed.set(entry, { isMutual });
        }
    };
    if (successors.includes(self)) {
        successors.forEach(entry => add(entry, true));
    }
    add(members.some(({ entry }) => entry === owner) ? owner : undefined, false);
    add(nextInLine, false);
    neighboursOf(self, members).forEach(entry => add(entry, false));
    return { needed, successors };
}

/**
 * Neighbours of an entry: the next one on a ring of all entries, which keeps the site connected, one of its own zone, and
 * one each of two other zones, which keep a way past the loss of a zone.
 */
function neighboursOf(self: string, members: readonly SiteMember[]): readonly string[] {
    const names = members.map(({ entry }) => entry);
    const ring = rankedFor("ring", names, names.length);
    const next = ring[(ring.indexOf(self) + 1) % ring.length];
    const ownZone = members.find(({ entry }) => entry === self)?.zone;
    const byZone = new Map<string, string[]>();
    for (const { entry, zone } of members) {
        if (entry !== self) {
            byZone.set(zone, [...byZone.get(zone) ?? [], entry]);
        }
    }
    const otherZones = [...byZone.keys()].filter(zone => zone !== ownZone);
    const remoteZones = rankedFor(self, otherZones, remoteNeighbourCount);
    const zones = ownZone === undefined ? remoteZones : [ownZone, ...remoteZones];
    return [
        ...next === undefined ? [] : [next],
        ...zones.flatMap(zone => rankedFor(self, byZone.get(zone) ?? [], 1)),
    ];
}

/**
 * Members in the order of succession: strongest first. Of equally strong ones, zones take turns, so that the loss of a
 * zone leaves successors in others.
 */
export function rankBySuccession(members: readonly SiteMember[]): readonly SiteMember[] {
    const zoneByEntry = new Map(members.map(({ entry, zone }) => [entry, zone]));
    const turns = new Map<string, number>();
    const ranked = rankCandidates(members).map(({ entry, strength }) => {
        const zone = zoneByEntry.get(entry)!;
        const key = `${strength}/${zone}`;
        const turn = turns.get(key) ?? 0;
        turns.set(key, turn + 1);
        return { entry, strength, zone, turn };
    });
    return ranked.sort((a, b) => b.strength - a.strength || a.turn - b.turn);
}

/** Input of `takeoverRank`. */
export interface TakeoverRankInput extends PeerSelectionInput {
    readonly selection: PeerSelection;
    /** Whether there is an open link to a peer. */
    readonly isConnected: (entry: string) => boolean;
}

/**
 * Rank of this entry for a takeover; 0 takes over first. Entries that this one needs a link to and has none to count as
 * lost. Behind the successors, groups of entries share a rank, so that the wait stays short when many are lost.
 */
export function takeoverRank({ self, members, owner, selection, isConnected }: TakeoverRankInput): number {
    let ahead = 0;
    for (const { entry } of rankBySuccession(members)) {
        if (entry === self) {
            break;
        }
        const isLost = selection.needed.has(entry) && !isConnected(entry);
        ahead += entry === owner || isLost ? 0 : 1;
    }
    const isBehind = ahead >= successorCount && members.length > maxNeededPeers + 1;
    const groupSize = Math.ceil(members.length / takeoverGroupCount);
    return isBehind ? successorCount + Math.floor((ahead - successorCount) / groupSize) : ahead;
}
