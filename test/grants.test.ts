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

function input(overrides: Partial<GrantInput>): GrantInput {
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
        ...overrides,
    };
}

/** Size of the grant that the row gives to an entry. */
const grantedTo = (row: GrantRow, at: number): number => row.holders[`entry-${at}#1`]?.n ?? 0;

/** Lets every entry decide in turn for ten rounds, so that the grants converge. */
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
    test("give every entry an equal part of half the limit when there is no demand", () => {
        const row = converge(emptyGrantRow, 4, [0, 0, 0, 0], 40);
        expect([0, 1, 2, 3].map(at => grantedTo(row, at))).toEqual([5, 5, 5, 5]);
    });

    test("follow demand, without reducing the base grants of the other entries", () => {
        const row = converge(emptyGrantRow, 4, [40, 0, 0, 0], 40);
        expect(grantedTo(row, 0)).toBe(25);
        expect(unallocatedOf(row, 40)).toBe(0);
    });

    test("move between entries as demand shifts", () => {
        const before = converge(emptyGrantRow, 4, [40, 0, 0, 0], 40);
        const after = converge(before, 4, [0, 40, 0, 0], 40);
        expect(grantedTo(after, 0)).toBe(5);
        expect(grantedTo(after, 1)).toBe(25);
    });

    test("go to as many home entries as the limit, one each, when it is below the number of entries", () => {
        const row = converge(emptyGrantRow, 8, Array.from({ length: 8 }, () => 5), 3);
        const held = Array.from({ length: 8 }, (_, at) => grantedTo(row, at));
        expect(held.filter(n => n === 1)).toHaveLength(3);
        expect(held.filter(n => n === 0)).toHaveLength(5);
    });

    test("of an ended entry stay in quarantine until they are released", () => {
        const row = converge(emptyGrantRow, 2, [40, 0], 40);
        const hasEnded = (holder: string): boolean => holder === "entry-0#1";
        const nextHolder = {
            self: "entry-1#1",
            members: members(2).slice(1),
            hasEnded,
            demand: 40,
            fleetDemand: 40,
        };
        const swept = decideGrants(input({ row, ...nextHolder }));
        expect(swept.quarantine["entry-0#1"]?.n).toBe(30);
        expect(grantedTo(swept, 1)).toBe(10);
        const released = decideGrants(input({ row: swept, ...nextHolder, isQuarantineOver: () => true }));
        expect(released.quarantine).toEqual({});
        expect(grantedTo(released, 1)).toBe(40);
    });

    test("that are lowered below the number of running tasks count as held until those have ended", () => {
        const full = converge(emptyGrantRow, 2, [40, 0], 40);
        const lowered = decideGrants(
            input({ row: full, members: members(2), running: 30, demand: 0, fleetDemand: 40 }),
        );
        expect(grantedTo(lowered, 0)).toBe(10);
        expect(unallocatedOf(lowered, 40)).toBe(0);
        const ended = decideGrants(
            input({ row: lowered, members: members(2), running: 4, demand: 0, fleetDemand: 40 }),
        );
        expect(unallocatedOf(ended, 40)).toBe(20);
    });

    test("are scaled down without a write when the limit is lowered", () => {
        const row = converge(emptyGrantRow, 4, [10, 10, 10, 10], 40);
        const usableNow = [0, 1, 2, 3].map(at => usableAmount(row.holders[`entry-${at}#1`], 10));
        expect(usableNow.reduce((sum, n) => sum + n, 0)).toBeLessThanOrEqual(10);
    });

    test("stay the same object when nothing should change, so that nothing is written", () => {
        const row = converge(emptyGrantRow, 4, [3, 3, 3, 3], 40);
        expect(decideGrants(input({ row, demand: 3, fleetDemand: 12 }))).toBe(row);
    });

    test("never exceed the limit once all entries adopted it, after any races, stale reads and limit changes", () => {
        const step = fc.record({
            at: fc.integer({ min: 0, max: 3 }),
            action: fc.constantFrom("adopt", "adopt", "read", "refresh", "decide", "decide", "change"),
            value: fc.integer({ min: 0, max: 60 }),
        });
        fc.assert(
            fc.property(fc.array(step, { minLength: 40, maxLength: 150, size: "max" }), steps => {
                const model = new GrantRaceModel(4, 40);
                steps.forEach(({ at, action, value }) => model.apply(at, action, value));
                return model.usableSumsByLimit().every(({ usableSum, limit }) => usableSum <= limit);
            }),
            { seed: 11, numRuns: 700 },
        );
    });
});

/** Models entries that decide by stale reads of the grant row and of the limit, and write the row by compare-and-set. */
class GrantRaceModel {
    private stored = { version: 0, row: emptyGrantRow };
    private limits: number[];
    private readonly views: { lastRead: { version: number; row: GrantRow }; limit: number }[];

    constructor(private readonly count: number, limit: number) {
        this.limits = [limit];
        this.views = Array.from({ length: count }, () => ({ lastRead: this.stored, limit }));
    }

    /**
     * Lets the entry `at` read the row, adopt the latest limit, or decide with the demand `value`; "refresh" reads and
     * decides. "change" sets the limit to `value`.
     */
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
                view.lastRead = this.stored;
                break;
            case "refresh":
                view.lastRead = this.stored;
                this.decide(at, value);
                break;
            default:
                this.decide(at, value);
        }
    }

    /** Sum of all entries' usable grants under each sample limit that all of them could adopt next, none above their own. */
    usableSumsByLimit(): readonly { readonly usableSum: number; readonly limit: number }[] {
        const held = this.views.map((view, at) => view.lastRead.row.holders[`entry-${at}#1`]);
        return [0, 1, 5, 17, 40, 60].filter(limit => this.views.every(view => limit <= view.limit)).map(
            limit => ({
                limit,
                usableSum: held.reduce((sum, grant) => sum + usableAmount(grant, limit), 0),
            }),
        );
    }

    private decide(at: number, demand: number): void {
        const view = this.views[at]!;
        const { lastRead, limit } = view;
        const self = `entry-${at}#1`;
        const decidedRow = decideGrants(
            input({ row: lastRead.row, self, members: members(this.count), limit, demand, fleetDemand: 60 }),
        );
        if (decidedRow !== lastRead.row && lastRead.version === this.stored.version) {
            this.stored = { version: lastRead.version + 1, row: decidedRow };
            view.lastRead = this.stored;
        }
    }
}
