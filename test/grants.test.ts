import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
    decideGrants,
    emptyGrantRow,
    type GrantHolder,
    type GrantInput,
    type GrantRow,
    unallocatedOf,
    usableAmount,
} from "../src/process/grants.js";

const members = (count: number): readonly GrantHolder[] =>
    Array.from({ length: count }, (_, at) => ({ vm: `entry-${at}`, incarnation: `entry-${at}#1` }));

function input(differences: Partial<GrantInput>): GrantInput {
    return {
        team: "benches",
        row: emptyGrantRow,
        self: "entry-0#1",
        members: members(4),
        claimsOwnBase: true,
        limit: 40,
        demand: 0,
        running: 0,
        fleetDemand: 0,
        adoptedTaskCount: () => 0,
        hasEnded: () => false,
        isQuarantineOver: () => false,
        ...differences,
    };
}

const heldBy = (row: GrantRow, at: number): number => row.holders[`entry-${at}#1`]?.n ?? 0;

/** Lets every entry decide in turn until nothing changes. */
function settle(row: GrantRow, count: number, demands: readonly number[], limit: number): GrantRow {
    const fleetDemand = demands.reduce((sum, demand) => sum + demand, 0);
    let current = row;
    for (let round = 0; round < 10; round++) {
        for (let at = 0; at < count; at++) {
            const self = `entry-${at}#1`;
            const demand = demands[at]!;
            current = decideGrants(
                input({ row: current, self, members: members(count), limit, demand, fleetDemand }),
            );
        }
    }
    return current;
}

describe("grants", () => {
    test("give every entry an even part of half the limit without any demand", () => {
        const row = settle(emptyGrantRow, 4, [0, 0, 0, 0], 40);
        expect([0, 1, 2, 3].map(at => heldBy(row, at))).toEqual([5, 5, 5, 5]);
    });

    test("follow demand, and leave the bases of the others untouched", () => {
        const row = settle(emptyGrantRow, 4, [40, 0, 0, 0], 40);
        expect(heldBy(row, 0)).toBe(25);
        expect(unallocatedOf(row, 40)).toBe(0);
    });

    test("move between entries as demand shifts", () => {
        const before = settle(emptyGrantRow, 4, [40, 0, 0, 0], 40);
        const after = settle(before, 4, [0, 40, 0, 0], 40);
        expect(heldBy(after, 0)).toBe(5);
        expect(heldBy(after, 1)).toBe(25);
    });

    test("go to a few home entries when the limit is below the number of entries", () => {
        const row = settle(emptyGrantRow, 8, Array.from({ length: 8 }, () => 5), 3);
        const held = Array.from({ length: 8 }, (_, at) => heldBy(row, at));
        expect(held.filter(n => n === 1)).toHaveLength(3);
        expect(held.filter(n => n === 0)).toHaveLength(5);
    });

    test("of an ended entry stay in quarantine until released", () => {
        const row = settle(emptyGrantRow, 2, [40, 0], 40);
        const hasEnded = (holder: string): boolean => holder === "entry-0#1";
        const self = {
            self: "entry-1#1",
            members: members(2).slice(1),
            hasEnded,
            demand: 40,
            fleetDemand: 40,
        };
        const swept = decideGrants(input({ row, ...self }));
        expect(swept.quarantine["entry-0#1"]?.n).toBe(30);
        expect(heldBy(swept, 1)).toBe(10);
        const released = decideGrants(input({ row: swept, ...self, isQuarantineOver: () => true }));
        expect(released.quarantine).toEqual({});
        expect(heldBy(released, 1)).toBe(40);
    });

    test("that are lowered below what still runs count as held until that has ended", () => {
        const full = settle(emptyGrantRow, 2, [40, 0], 40);
        const lowered = decideGrants(
            input({ row: full, members: members(2), running: 30, demand: 0, fleetDemand: 40 }),
        );
        expect(heldBy(lowered, 0)).toBe(10);
        expect(unallocatedOf(lowered, 40)).toBe(0);
        const ended = decideGrants(
            input({ row: lowered, members: members(2), running: 4, demand: 0, fleetDemand: 40 }),
        );
        expect(unallocatedOf(ended, 40)).toBe(20);
    });

    test("scale down by themselves when the limit is lowered", () => {
        const row = settle(emptyGrantRow, 4, [10, 10, 10, 10], 40);
        const usableNow = [0, 1, 2, 3].map(at => usableAmount(row.holders[`entry-${at}#1`], 10));
        expect(usableNow.reduce((sum, n) => sum + n, 0)).toBeLessThanOrEqual(10);
    });

    test("are the same object when nothing should change, so that nothing is written", () => {
        const row = settle(emptyGrantRow, 4, [3, 3, 3, 3], 40);
        expect(decideGrants(input({ row, demand: 3, fleetDemand: 12 }))).toBe(row);
    });

    test("never exceed the limit once all adopted it, whatever races, lags and limit changes came before", () => {
        const step = fc.record({
            at: fc.integer({ min: 0, max: 3 }),
            action: fc.constantFrom("adopt", "adopt", "read", "refresh", "decide", "decide", "change"),
            value: fc.integer({ min: 0, max: 60 }),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 40, maxLength: 150, size: "max" }), steps => {
                const fleet = new GrantFleet(4, 40);
                steps.forEach(({ at, action, value }) => fleet.act(at, action, value));
                return fleet.worstAfterAdopting().every(({ running, limit }) => running <= limit);
            }),
            { seed: 11, numRuns: 700 },
        );
    });
});

/** Entries with their own, lagging views of the row and of the limit, over one row with versions. */
class GrantFleet {
    private stored = { version: 0, row: emptyGrantRow };
    private limits: number[];
    private readonly views: { known: { version: number; row: GrantRow }; limit: number }[];

    constructor(private readonly count: number, limit: number) {
        this.limits = [limit];
        this.views = Array.from({ length: count }, () => ({ known: this.stored, limit }));
    }

    act(at: number, action: string, value: number): void {
        const view = this.views[at]!;
        switch (action) {
            case "change":
                this.limits.push(value);
                break;
            case "adopt":
                view.limit = this.limits.at(-1)!;
                break;
            case "read":
                view.known = this.stored;
                break;
            case "refresh":
                view.known = this.stored;
                this.decide(at, value);
                break;
            default:
                this.decide(at, value);
        }
    }

    /** Sum of what all entries may use under each limit that all of them would adopt next. */
    worstAfterAdopting(): readonly { readonly running: number; readonly limit: number }[] {
        const held = this.views.map((view, at) => view.known.row.holders[`entry-${at}#1`]);
        return [0, 1, 5, 17, 40, 60].filter(limit => this.views.every(view => limit <= view.limit)).map(
            limit => ({
                limit,
                running: held.reduce((sum, grant) => sum + usableAmount(grant, limit), 0),
            }),
        );
    }

    private decide(at: number, demand: number): void {
        const view = this.views[at]!;
        const { known, limit } = view;
        const self = `entry-${at}#1`;
        const wanted = decideGrants(
            input({ row: known.row, self, members: members(this.count), limit, demand, fleetDemand: 60 }),
        );
        if (wanted !== known.row && known.version === this.stored.version) {
            this.stored = { version: known.version + 1, row: wanted };
            view.known = this.stored;
        }
    }
}
