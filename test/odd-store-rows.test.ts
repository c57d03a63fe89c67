import { describe, expect, test } from "vitest";
import { EventId } from "../src/process/events.js";
import { RowFault } from "../src/process/row-refusals.js";
import type { RowKey } from "../src/process/rows.js";
import { jobOf, StandinSite } from "../standin/site/site.js";
import { deepJson } from "./odd-rows.js";

const scheduling = {
    durationHistograms: true,
    fairShares: true,
    outlierDetection: true,
    demandHandover: true,
    vmPacking: true,
    reservations: true,
};
const table = (name: string, part: string, key: string): RowKey => ({ table: name, part, key });
const job = (steps: string): string => `{"q":"q","t":"team","at":1767225600000,"p":"x","s":${steps}}`;
const state = (text: string): string => JSON.stringify([Date.UTC(2026, 0, 1), text]);
const sketch = '{"runs":9007199254740991,"ratios":[1e308,0]}';

/** Rows that another writer may leave in the tables that entries read, by what is odd about them. */
const oddRows: readonly (readonly [string, RowKey, string])[] = [
    ["a job of 1e308 tasks", table("jobs", "jobs-0", "odd"), job('[{"n":1e308,"r":[1,1,0]}]')],
    ["a job of -1 tasks", table("jobs", "jobs-0", "odd"), job('[{"n":-1,"r":[1,1,0]}]')],
    ["a job of a million tasks", table("jobs", "jobs-0", "odd"), job('[{"n":1000000,"r":[1,1,0]}]')],
    ["a job of huge needs", table("jobs", "jobs-0", "odd"), job('[{"n":1,"r":[1e308,1e308,1e308]}]')],
    ["a job of negative needs", table("jobs", "jobs-0", "odd"), job('[{"n":1,"r":[-1e308,1,0]}]')],
    ["a job of nested steps", table("jobs", "jobs-0", "odd"), job(deepJson(20_000))],
    ["a nested job", table("jobs", "jobs-0", "odd"), deepJson(20_000)],
    [
        "a job of a queue that is not there",
        table("jobs", "jobs-0", "__proto__"),
        job('[{"n":1,"r":[1,1,0]}]'),
    ],
    ["a cancellation of no job", table("jobs", "jobs-0", ".cancel"), deepJson(20_000)],
    [
        "a member with a port out of range",
        table("cluster", "members", "odd"),
        '{"incarnation":"i","url":"ws://h:99999"}',
    ],
    ["a member without a URL", table("cluster", "members", "odd"), '{"incarnation":"i","url":""}'],
    ["a nested member", table("cluster", "members", "odd"), deepJson(20_000)],
    [
        "a member of huge strength",
        table("cluster", "members", "odd"),
        '{"incarnation":"i","url":"ws://h","strength":1e308}',
    ],
    ["a nested owner", table("cluster", "main", "owner"), deepJson(20_000)],
    ["an empty owner row", table("cluster", "main", "owner"), ""],
    [
        "an owner with a huge fencing token",
        table("cluster", "main", "owner"),
        '{"entry":"odd","incarnation":"i","fence":1e308}',
    ],
    [
        "an owner with the last fencing token",
        table("cluster", "main", "owner"),
        '{"entry":"odd","incarnation":"i","fence":9007199254740991}',
    ],
    ["nested lease bounds", table("leases", "main", "bounds"), deepJson(20_000)],
    [
        "endless lease bounds",
        table("leases", "main", "bounds"),
        '{"fence":1,"owners":[["e","i",1,1e308]],"workers":[]}',
    ],
    ["a nested chain row", table("chain", "main", "head"), deepJson(20_000)],
    ["nested VM orders", table("vm-orders", "main", "recent"), deepJson(20_000)],
    ["a nested state of the plan of VMs", table("owner-state", "main", "fleet"), deepJson(20_000)],
    [
        "endless orders in progress",
        table("owner-state", "main", "fleet"),
        state(
            '{"samples":{"__proto__":[[-1e308,1e308,1e308,1e308]]},"orders":[["vm-0","bench","moving",1e308]],"cordoned":[]}',
        ),
    ],
    ["huge run times", table("owner-state", "main", "run-times"), state(`[["q",${sketch},${sketch}]]`)],
    ["nested run times", table("owner-state", "main", "run-times"), state(deepJson(20_000))],
    [
        "huge scores",
        table("owner-state", "main", "outliers"),
        state('[["w-1","bench",1e308,1e308,1e308,9007199254740991,1e308,"ejected"]]'),
    ],
];

describe("a change of owner with an odd row in the store", () => {
    test.each(oddRows)("(%s) starts the accepted jobs, and those that follow", async (_, key, text) => {
        const site = StandinSite.create({ entries: 3, scheduling, managesVms: true, jobParts: 4 });
        await site.start({ version: 1, queues: [{}] });
        const submit = async (id: string): Promise<void> => {
            const entry = site.entries.find(({ peers }) => peers.node.isAlive)!;
            const result = await site.runUntilSettled(
                site.submit(entry, id, jobOf({ tasks: 2 }), { workMs: 300 }),
            );
            expect(result.kind).toBe("accepted");
        };
        const expectSucceeded = async (...ids: readonly string[]): Promise<void> => {
            const entry = site.entries.find(({ peers }) => peers.node.isAlive)!;
            const phases = await Promise.all(ids.map(id => site.runUntilSettled(site.phaseOf(entry, id))));
            expect(phases).toEqual(ids.map(() => "succeeded"));
        };
        await submit("j1");
        site.rows.write(key, text);
        await submit("j2");
        await site.timer.advance(6000);
        const owner = site.owner()!;
        site.kill(owner);
        site.rows.write(key, text);
        await site.timer.advance(12_000);
        await submit("j3");
        site.startEntry(owner.name);
        await site.timer.advance(12_000);
        await expectSucceeded("j1", "j2", "j3");
        expect(site.checker.violations).toEqual([]);
        const lines = site.entries.flatMap(({ log }) => log);
        expect(lines.filter(({ event }) => event === EventId.TaskFailed)).toEqual([]);
    });

    test("reports the rows of jobs, members and owners that it cannot use", async () => {
        const site = StandinSite.create({ entries: 1, jobParts: 1 });
        await site.start({ version: 1, queues: [{}] });
        site.rows.write(table("jobs", "jobs-0", "odd"), job('[{"n":1e308,"r":[1,1,0]}]'));
        site.rows.write(table("cluster", "members", "odd"), '{"incarnation":"i","url":""}');
        site.rows.write(table("cluster", "main", "owner"), "{}");
        await site.timer.advance(3000);
        const refusals = site.entries[0]!.log.filter(({ event }) => event === EventId.RowRefused)
            .map(({ fields }) => [fields["key"], fields["reason"]]);
        expect(refusals.sort()).toEqual([
            ["odd", RowFault.Malformed],
            ["odd", RowFault.OutOfRange],
            ["owner", RowFault.WrongType],
        ]);
    });
});

test("an odd count of occurrences in the progress of a job does not keep a new owner from loading the others", async () => {
    const site = StandinSite.create({ entries: 2, jobParts: 1 });
    await site.start({ version: 1, queues: [{}] });
    const schedule = { count: 3, firstAtMs: site.timer.wall(), intervalMs: 1000 };
    const [entry] = site.entries;
    await site.runUntilSettled(site.submit(entry!, "odd", { ...jobOf({ tasks: 1 }), schedule }));
    await site.timer.advance(1000);
    const owner = site.owner()!;
    site.kill(owner);
    site.startEntry(owner.name);
    site.rows.write(table("progress", "main", "odd"), '{"s":"running","o":1e308}');
    await site.timer.advance(8000);
    const next = site.owner()!;
    const result = await site.runUntilSettled(site.submit(next, "j1", jobOf({ tasks: 1 })));
    expect(result.kind).toBe("accepted");
    await site.timer.advance(4000);
    expect(await site.runUntilSettled(site.phaseOf(next, "j1"))).toBe("succeeded");
});

test("an odd owner row does not make the fencing token of the next owner one that workers have seen", async () => {
    const site = StandinSite.create({ entries: 3 });
    await site.start({ version: 1, queues: [{}] });
    const changeOwner = async (): Promise<void> => {
        const owner = site.owner()!;
        site.kill(owner);
        site.startEntry(owner.name);
        await site.timer.advance(4000);
    };
    await changeOwner();
    await changeOwner();
    const { fence } = site.owner()!.core.domain.tenure!;
    for (const text of ["{}", deepJson(100), '{"entry":"odd","incarnation":"i","fence":1e308}']) {
        site.rows.write(table("cluster", "main", "owner"), text);
        await changeOwner();
    }
    expect(site.owner()!.core.domain.tenure!.fence).toBeGreaterThan(fence + 2);
    const owner = site.owner()!;
    expect((await site.runUntilSettled(site.submit(owner, "j1", jobOf({ tasks: 1 })))).kind).toBe("accepted");
    await site.timer.advance(4000);
    expect(await site.runUntilSettled(site.phaseOf(owner, "j1"))).toBe("succeeded");
    expect(site.checker.violations).toEqual([]);
});

test("a job whose countless occurrences are all due leaves the other jobs their turn", async () => {
    const site = StandinSite.create({ entries: 2 });
    await site.start({ version: 1, queues: [{}] });
    const [entry] = site.entries;
    const schedule = { count: Number.MAX_SAFE_INTEGER, firstAtMs: 0, intervalMs: 0 };
    const endless = {
        ...jobOf({ tasks: 1, needs: { cpu: 32_000, memory: 100, accelerators: 0 } }),
        schedule,
    };
    await site.runUntilSettled(site.submit(entry!, "endless", endless, { workMs: 60_000 }));
    await site.timer.advance(1000);
    expect(await site.runUntilSettled(site.phaseOf(entry!, "endless"))).toBe("running");
    await site.runUntilSettled(entry!.core.jobCalls.cancel("endless", { queue: "q", team: "team" }, 3000));
    await site.runUntilSettled(site.submit(entry!, "j1", jobOf({ tasks: 1 })));
    await site.timer.advance(4000);
    expect(await site.runUntilSettled(site.phaseOf(entry!, "j1"))).toBe("succeeded");
});

describe("an accepted job as a peer sends it", () => {
    const needs = { cpu: 1000, memory: 100, accelerators: 0 };

    test.each([
        ["without needs", { tasks: 1, needs: undefined }],
        ["with needs of another type", { tasks: 1, needs: { cpu: "x", memory: [], accelerators: {} } }],
        ["of a million tasks", { tasks: 1_000_000, needs }],
        ["of nested steps after which it comes", {
            tasks: 1,
            needs,
            after: JSON.parse(deepJson(1000)) as unknown,
        }],
    ])("%s does not keep the owner from starting other jobs", async (_, step) => {
        const site = StandinSite.create({ entries: 2 });
        await site.start({ version: 1, queues: [{}] });
        const owner = site.owner()!;
        const peer = site.entries.find(entry => entry !== owner)!;
        const sound = jobOf({ tasks: 1 });
        const spec = { ...sound, steps: [{ ...sound.steps[0]!, ...step }] };
        const sent = { id: "odd", queue: "q", team: "t", acceptedAtMs: site.timer.wall(), spec };
        peer.peers.notify(owner.name, "job.accepted", sent);
        await site.timer.advance(500);
        void site.submit(peer, "j1", jobOf({ tasks: 1 }));
        await site.timer.advance(4000);
        expect(await site.runUntilSettled(site.phaseOf(peer, "j1"))).toBe("succeeded");
        expect(owner.log.filter(({ event }) => event === EventId.TaskFailed)).toEqual([]);
    });
});
