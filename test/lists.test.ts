import { describe, expect, test } from "vitest";
import { DifferenceKind, diffLists } from "../src/version/diff.js";
import { parseLists } from "../src/version/schema.js";
import { decodeSiteLists, parseSiteLists } from "../src/version/site-lists.js";
import { sampleLists } from "./builders.js";

const teamsFile = (text: string) => ({ file: "teams.jsonc", text });
const plansFile = (text: string) => ({ file: "plans.jsonc", text });
const emptyTeams = teamsFile('{ "teams": {} }');
const emptyPlans = '{ "queues": {}, "plans": {} }';

describe("lists", () => {
    test("accept comments and trailing commas", () => {
        expect(Object.keys(sampleLists().queues)).toHaveLength(4);
    });

    test("report the line of a syntax error", () => {
        expect(() => parseLists(plansFile('{\n"queues": }'), emptyTeams)).toThrow(/plans\.jsonc:2: /);
    });

    test("report the path, the value found and the values allowed", () => {
        const text = '{ "queues": {}, "plans": { "a": { "queues": [], "share": -1, "limit": 2 } } }';
        expect(() => parseLists(plansFile(text), emptyTeams)).toThrow(/plans\.a\.share: found -1; .*/);
    });

    test("reject unknown fields", () => {
        expect(() => parseLists(plansFile('{ "queues": {}, "plans": {}, "extra": 1 }'), emptyTeams)).toThrow(
            /extra/,
        );
    });

    test("reject a plan that refers to an unknown queue", () => {
        const text = '{ "queues": {}, "plans": { "a": { "queues": ["q"], "share": 1, "limit": 2 } } }';
        expect(() => parseLists(plansFile(text), emptyTeams)).toThrow(
            /plans\.a\.queues\.0: found "q"; add it/,
        );
    });

    test("reject a team with an unknown plan", () => {
        const text = '{ "teams": { "t": { "customer": "C", "plan": "p" } } }';
        expect(() => parseLists(plansFile(emptyPlans), teamsFile(text))).toThrow(/teams\.t\.plan: found "p"/);
    });

    test("reject an open queue without a guest team", () => {
        const queue =
            '{ "service": "s", "class": "interactive", "idempotent": true, "open": true, "timeoutMs": 10 }';
        expect(() => parseLists(plansFile(`{ "queues": { "q": ${queue} }, "plans": {} }`), emptyTeams))
            .toThrow(
                /guest/,
            );
    });

    test("have a diff that contains only the edited fields", () => {
        const before = sampleLists();
        const large = { ...before.plans["large"]!, limit: 41 };
        const after = { ...before, plans: { ...before.plans, large } };
        expect(diffLists(before, after)).toEqual([
            { kind: DifferenceKind.Changed, path: "plans.large.limit", before: "40", after: "41" },
        ]);
    });
});

describe("site lists in the native format", () => {
    const validLists = {
        version: 4,
        queues: [{ name: "proofs", pool: "bench" }],
        pools: [{ name: "bench" }, { name: "office", isSpare: true }],
        teams: [{ name: "thames", weight: 3, cap: { cpu: 9000 }, keys: ["k1", "k2"] }],
    };

    test("define queues, pools, teams and their keys, and allow comments", () => {
        const lists = parseSiteLists(
            "lists.jsonc",
            `// kept by the operators\n${JSON.stringify(validLists)}`,
        );
        expect(lists.queues[0]).toMatchObject({ name: "proofs", isOpen: false, maxAttempts: 3 });
        expect(lists.pools.get("office")).toEqual({ name: "office", guardsCapacity: true, isSpare: true });
        expect(lists.teams.get("thames")?.cap).toEqual({ cpu: 9000, memory: 0, accelerators: 0 });
        expect([...lists.keys]).toEqual([["k1", "thames"], ["k2", "thames"]]);
    });

    test.each([
        [{ queues: [{ name: "proofs" }] }, /queues\.0\.pool: found nothing; name the pool/],
        [{ queues: [{ name: "", pool: "bench" }] }, /queues\.0\.name: found ""; give the queue a name/],
    ])("are rejected with the path, the value found and the remedy for %o", (change, message) => {
        const text = JSON.stringify({ ...validLists, ...change });
        expect(() => parseSiteLists("lists.jsonc", text)).toThrow(message);
        expect(decodeSiteLists(text)).toBeUndefined();
    });
});
