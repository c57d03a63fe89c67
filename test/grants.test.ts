import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
    decideGrants,
    emptyGrants,
    type GrantInput,
    type GrantRow,
    type Holder,
    spareOf,
    usable,
} from "../src/process/grants.js";

const members = (count: number): readonly Holder[] =>
    Array.from({ length: count }, (_, at) => ({ vm: `entry-${at}`, incarnation: `entry-${at}#1` }));

function input(differences: Partial<GrantInput>): GrantInput {
    return {
        team: "benches",
        row: emptyGrants,
        self: "entry-0#1",
        members: members(4),
        takesOwnBase: true,
        limit: 40,
        demand: 0,
        running: 0,
        fleetDemand: 0,
        adoptedFrom: () => 0,
        isGone: () => false,
        isReleased: () => false,
        ...differences,
    };
}

const grantedTo = (row: GrantRow, at: number): number => row.holders[`entry-${at}#1`]?.n ?? 0;

/** Lets every entry decide in turn until nothing changes. */
function converge(row: GrantRow, count: number, demands: readonly number[], limit: number): GrantRow {
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
        const row = converge(emptyGrants, 4, [0, 0, 0, 0], 40);
        expect([0, 1, 2, 3].map(at => grantedTo(row, at))).toEqual([5, 5, 5, 5]);
    });

    test("follow demand, and leave the bases of the others untouched", () => {
        const row = converge(emptyGrants, 4, [40, 0, 0, 0], 40);
        expect(grantedTo(row, 0)).toBe(25);
        expect(spareOf(row, 40)).toBe(0);
    });

    test("move between entries as demand shifts", () => {
        const before = converge(emptyGrants, 4, [40, 0, 0, 0], 40);
        const after = converge(before, 4, [0, 40, 0, 0], 40);
        expect(grantedTo(after, 0)).toBe(5);
        expect(grantedTo(after, 1)).toBe(25);
    });

    test("go to a few home entries when the limit is below the number of entries", () => {
        const row = converge(emptyGrants, 8, Array.from({ length: 8 }, () => 5), 3);
        const held = Array.from({ length: 8 }, (_, at) => grantedTo(row, at));
        expect(held.filter(n => n === 1)).toHaveLength(3);
        expect(held.filter(n => n === 0)).toHaveLength(5);
    });

    test("of an ended entry stay in quarantine until released", () => {
        const row = converge(emptyGrants, 2, [40, 0], 40);
        const isGone = (holder: string): boolean => holder === "entry-0#1";
        const nextHolder = {
            self: "entry-1#1",
            members: members(2).slice(1),
            isGone,
            demand: 40,
            fleetDemand: 40,
        };
        const swept = decideGrants(input({ row, ...nextHolder }));
        expect(swept.quarantine["entry-0#1"]?.n).toBe(30);
        expect(grantedTo(swept, 1)).toBe(10);
        const released = decideGrants(input({ row: swept, ...nextHolder, isReleased: () => true }));
        expect(released.quarantine).toEqual({});
        expect(grantedTo(released, 1)).toBe(40);
    });

    test("that are lowered below what still runs count as held until that has ended", () => {
        const full = converge(emptyGrants, 2, [40, 0], 40);
        const lowered = decideGrants(
            input({ row: full, members: members(2), running: 30, demand: 0, fleetDemand: 40 }),
        );
        expect(grantedTo(lowered, 0)).toBe(10);
        expect(spareOf(lowered, 40)).toBe(0);
        const ended = decideGrants(
            input({ row: lowered, members: members(2), running: 4, demand: 0, fleetDemand: 40 }),
        );
        expect(spareOf(ended, 40)).toBe(20);
    });

    test("scale down by themselves when the limit is lowered", () => {
        const row = converge(emptyGrants, 4, [10, 10, 10, 10], 40);
        const usableNow = [0, 1, 2, 3].map(at => usable(row.holders[`entry-${at}#1`], 10));
        expect(usableNow.reduce((sum, n) => sum + n, 0)).toBeLessThanOrEqual(10);
    });

    test("are the same object when nothing should change, so that nothing is written", () => {
        const row = converge(emptyGrants, 4, [3, 3, 3, 3], 40);
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
                const model = new GrantRaceModel(4, 40);
                steps.forEach(({ at, action, value }) => model.apply(at, action, value));
                return model.usableSumsByLimit().every(({ running, limit }) => running <= limit);
            }),
            { seed: 11, numRuns: 700 },
        );
    });
});

/** Entries with their own, lagging views of the row and of the limit, over one row with versions. */
class GrantRaceModel {
    private stored = { version: 0, row: emptyGrants };
    private limits: number[];
    private readonly views: { known: { version: number; row: GrantRow }; limit: number }[];

    constructor(private readonly count: number, limit: number) {
        this.limits = [limit];
        this.views = Array.from({ length: count }, () => ({ known: this.stored, limit }));
    }

    apply(at: number, action: string, value: number): void {
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
    usableSumsByLimit(): readonly { readonly running: number; readonly limit: number }[] {
        const held = this.views.map((view, at) => view.known.row.holders[`entry-${at}#1`]);
        return [0, 1, 5, 17, 40, 60].filter(limit => this.views.every(view => limit <= view.limit)).map(
            limit => ({
                limit,
                running: held.reduce((sum, grant) => sum + usable(grant, limit), 0),
            }),
        );
    }

    private decide(at: number, demand: number): void {
        const view = this.views[at]!;
        const { known, limit } = view;
        const self = `entry-${at}#1`;
        const decidedRow = decideGrants(
            input({ row: known.row, self, members: members(this.count), limit, demand, fleetDemand: 60 }),
        );
        if (decidedRow !== known.row && known.version === this.stored.version) {
            this.stored = { version: known.version + 1, row: decidedRow };
            view.known = this.stored;
        }
    }
}
