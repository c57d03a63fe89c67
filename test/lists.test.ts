import { describe, expect, test } from "vitest";
import { DifferenceKind, diffLists } from "../src/version/diff.js";
import { parseLists } from "../src/version/schema.js";
import { sampleLists } from "./builders.js";

const teams = (text: string) => ({ file: "teams.jsonc", text });
const plans = (text: string) => ({ file: "plans.jsonc", text });
const noTeams = teams('{ "teams": {} }');
const noPlans = '{ "queues": {}, "plans": {} }';

describe("lists", () => {
    test("accept comments and trailing commas", () => {
        expect(Object.keys(sampleLists().queues)).toHaveLength(4);
    });

    test("name the line of a syntax error", () => {
        expect(() => parseLists(plans('{\n"queues": }'), noTeams)).toThrow(/plans\.jsonc:2: /);
    });

    test("name path, what was found and what is allowed", () => {
        const text = '{ "queues": {}, "plans": { "a": { "queues": [], "share": -1, "limit": 2 } } }';
        expect(() => parseLists(plans(text), noTeams)).toThrow(/plans\.a\.share: found -1; .*/);
    });

    test("refuse unknown fields", () => {
        expect(() => parseLists(plans('{ "queues": {}, "plans": {}, "extra": 1 }'), noTeams)).toThrow(
            /extra/,
        );
    });

    test("refuse a plan that names an unknown queue", () => {
        const text = '{ "queues": {}, "plans": { "a": { "queues": ["q"], "share": 1, "limit": 2 } } }';
        expect(() => parseLists(plans(text), noTeams)).toThrow(/plans\.a\.queues\.0: found "q"; add it/);
    });

    test("refuse a team on an unknown plan", () => {
        const text = '{ "teams": { "t": { "customer": "C", "plan": "p" } } }';
        expect(() => parseLists(plans(noPlans), teams(text))).toThrow(/teams\.t\.plan: found "p"/);
    });

    test("refuse an open queue without a guest team", () => {
        const queue =
            '{ "service": "s", "class": "interactive", "idempotent": true, "open": true, "timeoutMs": 10 }';
        expect(() => parseLists(plans(`{ "queues": { "q": ${queue} }, "plans": {} }`), noTeams)).toThrow(
            /guest/,
        );
    });

    test("differ only where they were edited", () => {
        const before = sampleLists();
        const large = { ...before.plans["large"]!, limit: 41 };
        const after = { ...before, plans: { ...before.plans, large } };
        expect(diffLists(before, after)).toEqual([
            { kind: DifferenceKind.Changed, path: "plans.large.limit", before: "40", after: "41" },
        ]);
    });
});
