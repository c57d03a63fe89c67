/** The links that the entries of a site keep, and the order in which they take a domain over, at small and large sizes. */
import { describe, expect, test } from "vitest";
import { maxNeededPeers, selectPeers, type SiteMember, takeoverRank } from "../src/pool/peer-selection.js";

const zones = ["z0", "z1", "z2", "z3", "z4", "z5"];
const sizes = [9, 10, 44, 97, 300];
/** Delay of a rank in a takeover, in milliseconds; see `shouldTakeOver`. */
const rankDelayMs = 150;
const takeoverBoundMs = 3000;
const ownerTimeoutMs = 600;

function siteOf(size: number): SiteMember[] {
    return Array.from({ length: size }, (_, i) => ({
        entry: `edge-${zones[i % zones.length]}-${Math.floor(i / zones.length)}`,
        zone: zones[i % zones.length]!,
        strength: i < Math.ceil(size / 5) ? 9 : 4,
    }));
}

/** Peers with a link to each entry, needed by either end. */
function linksOf(members: readonly SiteMember[], owner: string): Map<string, Set<string>> {
    const links = new Map(members.map(({ entry }) => [entry, new Set<string>()]));
    for (const { entry: self } of members) {
        for (const peer of selectPeers({ self, members, owner }).needed.keys()) {
            links.get(self)!.add(peer);
            links.get(peer)!.add(self);
        }
    }
    return links;
}

/** Number of entries that are reached from one of them over links between entries that are not lost. */
function reachedFrom(links: ReadonlyMap<string, ReadonlySet<string>>, lost: ReadonlySet<string>): number {
    const [start] = [...links.keys()].filter(entry => !lost.has(entry));
    const reached = new Set([start!]);
    for (const entry of reached) {
        [...links.get(entry)!].filter(peer => !lost.has(peer)).forEach(peer => reached.add(peer));
    }
    return reached.size;
}

describe("the peers that an entry needs", () => {
    test.each(sizes)("are bounded in number at %i entries", size => {
        const members = siteOf(size);
        const owner = members[0]!.entry;
        for (const { entry: self } of members) {
            const { needed, successors } = selectPeers({ self, members, owner });
            const bound = successors.includes(self) ? maxNeededPeers + 2 : maxNeededPeers;
            expect(needed.size).toBeLessThanOrEqual(bound);
            expect(needed.has(self)).toBe(false);
            expect(self === owner || needed.has(owner)).toBe(true);
        }
    });

    test("are all others at a small site", () => {
        const members = siteOf(9);
        expect(selectPeers({ self: "edge-z0-0", members, owner: undefined }).needed.size).toBe(8);
    });

    test.each([97, 300])("give every entry but a few a small number of links at %i entries", size => {
        const members = siteOf(size);
        const counts = [...linksOf(members, members[0]!.entry).values()].map(({ size: count }) => count).sort(
            (a, b) => a - b,
        );
        expect(counts[Math.floor(size / 2)]).toBeLessThanOrEqual(2 * maxNeededPeers);
        expect(counts.filter(count => count > 3 * maxNeededPeers).length).toBeLessThanOrEqual(2);
    });

    test.each(zones)(
        "keep the others in touch when zone %s is lost with the owner and the first in line",
        zone => {
            const members = siteOf(97);
            const links = linksOf(members, members[0]!.entry);
            const lost = new Set(members.filter(member => member.zone === zone).map(({ entry }) => entry));
            const { successors } = selectPeers({ self: "", members, owner: members[0]!.entry });
            successors.slice(0, 2).forEach(entry => lost.add(entry));
            expect(reachedFrom(links, lost)).toBe(97 - lost.size);
        },
    );

    test("include entries of at least two other zones", () => {
        const members = siteOf(97);
        for (const { entry: self, zone } of members) {
            const { needed } = selectPeers({ self, members, owner: undefined });
            const others = members.filter(member => needed.has(member.entry) && member.zone !== zone);
            expect(new Set(others.map(member => member.zone)).size).toBeGreaterThanOrEqual(2);
        }
    });

    test("include the other successors for a successor, and successors stand in different zones", () => {
        const members = siteOf(97);
        const { successors } = selectPeers({ self: "", members, owner: undefined });
        const zonesOf = members.filter(({ entry }) => successors.includes(entry)).map(({ zone }) => zone);
        expect(new Set(zonesOf).size).toBe(successors.length);
        for (const self of successors) {
            const { needed } = selectPeers({ self, members, owner: undefined });
            successors.filter(other => other !== self).forEach(other => expect(needed.has(other)).toBe(true));
        }
    });

    test("do not include an owner that is no member", () => {
        const members = siteOf(97);
        expect(selectPeers({ self: "edge-z0-0", members, owner: "gone" }).needed.has("gone")).toBe(false);
    });
});

describe("the rank for a takeover", () => {
    function ranksOf(members: readonly SiteMember[], lost: ReadonlySet<string>, owner: string) {
        return members.filter(({ entry }) => !lost.has(entry)).map(({ entry: self }) =>
            takeoverRank({
                self,
                members,
                owner,
                selection: selectPeers({ self, members, owner }),
                isConnected: entry => !lost.has(entry),
            })
        );
    }

    test.each(sizes)("is 0 for exactly one entry when the owner is lost at %i entries", size => {
        const members = siteOf(size);
        const owner = selectPeers({ self: "", members, owner: undefined }).successors[0]!;
        const ranks = ranksOf(members, new Set([owner]), owner);
        expect(ranks.filter(rank => rank === 0)).toHaveLength(1);
        expect(ranks.filter(rank => rank === 1)).toHaveLength(1);
    });

    test.each([44, 97, 300])(
        "lets some entry take over in time when all strong ones of %i are lost",
        size => {
            const members = siteOf(size);
            const owner = members[0]!.entry;
            const lost = new Set(members.filter(({ strength }) => strength === 9).map(({ entry }) => entry));
            const first = Math.min(...ranksOf(members, lost, owner));
            expect(ownerTimeoutMs + first * rankDelayMs).toBeLessThan(takeoverBoundMs);
        },
    );

    test.each([97, 300])("lets the last entry of %i take over in time when all others are lost", size => {
        const members = siteOf(size);
        const owner = members[0]!.entry;
        const lost = new Set(members.slice(0, -1).map(({ entry }) => entry));
        const [last] = ranksOf(members, lost, owner);
        expect(ownerTimeoutMs + last! * rankDelayMs).toBeLessThan(takeoverBoundMs);
    });

    test("lets at most a tenth of the entries try at the same time", () => {
        const members = siteOf(300);
        const ranks = ranksOf(members, new Set([members[0]!.entry]), members[0]!.entry);
        const counts = new Map<number, number>();
        ranks.forEach(rank => counts.set(rank, (counts.get(rank) ?? 0) + 1));
        expect(Math.max(...counts.values())).toBeLessThanOrEqual(30);
    });
});
