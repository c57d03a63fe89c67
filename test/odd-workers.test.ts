import { afterEach, describe, expect, test, vi } from "vitest";
import { PlatformRoster } from "../platform/roster.js";
import { EventId } from "../src/process/events.js";
import type { LogFields } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { Random } from "../src/process/random.js";
import { RowFault, RowRefusals } from "../src/process/row-refusals.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { noRowStoreFaults, StandinRowStore } from "../standin/site/rows.js";
import { jobOf, StandinSite } from "../standin/site/site.js";
import { deepJson, oddWorkerRows, workerRowOf } from "./odd-rows.js";

const table = "servers";

function createRoster() {
    const timer = VirtualTimer.create();
    const rows = StandinRowStore.create(timer, Random.create(1));
    const metrics = Metrics.create();
    const lines: LogFields[] = [];
    const log = {
        write: (_: unknown, event: EventId, fields: LogFields = {}) => {
            if (event === EventId.RowRefused) {
                lines.push(fields);
            }
        },
    };
    const store = rows.clientFor(timer, noRowStoreFaults());
    const roster = PlatformRoster.create({ store, refusals: RowRefusals.create({ log, metrics }) });
    const list = async () => {
        const work = roster.list();
        await timer.advance(1000);
        return work;
    };
    const write = (key: string, value: string): void => rows.write({ table, part: "", key }, value);
    return { list, write, metrics, lines };
}

afterEach(() => {
    vi.restoreAllMocks();
});

describe("an odd row among those of the workers", () => {
    test.each(oddWorkerRows)("($kind) is refused, reported once, and does not hide the others", async odd => {
        const { list, write, metrics, lines } = createRoster();
        write("a", workerRowOf());
        write("b", odd.text);
        write("c", workerRowOf());
        for (let i = 0; i < 3; i++) {
            expect((await list()).map(({ id }) => id)).toEqual(["a", "c"]);
        }
        expect(lines).toMatchObject([{ table, key: "b", reason: odd.fault }]);
        expect(metrics.read("celerywind_rows_refused_total", { table, reason: odd.fault })).toBe(1);
        write("b", workerRowOf());
        expect((await list()).map(({ id }) => id)).toEqual(["a", "b", "c"]);
        expect(lines).toHaveLength(1);
    });

    test.each(["w\u2603", "w x", "w\n"])("with the key %j is refused", async key => {
        const { list, write, lines } = createRoster();
        write("a", workerRowOf());
        write(key, workerRowOf());
        expect((await list()).map(({ id }) => id)).toEqual(["a"]);
        expect(lines).toMatchObject([{ reason: RowFault.Malformed }]);
    });

    test("is not decoded again at each reading of the list", async () => {
        const { list, write } = createRoster();
        write("a", deepJson(30_000));
        await list();
        const parse = vi.spyOn(JSON, "parse");
        await list();
        expect(parse).not.toHaveBeenCalled();
    });

    test("costs no parsing if it is longer than any worker's row", async () => {
        const { list, write } = createRoster();
        write("a", deepJson(2_000_000));
        const parse = vi.spyOn(JSON, "parse");
        expect(await list()).toEqual([]);
        expect(parse).not.toHaveBeenCalled();
    });

    test.each([[1e308, 86_400_000], [-5, 0]])(
        "with times of %d ms has them limited to %d",
        async (ms, limit) => {
            const { list, write } = createRoster();
            write("a", workerRowOf({ "remaining-ms": ms, "cold-left-ms": ms }));
            expect(await list()).toMatchObject([{ remainingMs: limit, coldForMs: limit }]);
        },
    );
});

describe("a site with odd rows among those of its workers", () => {
    const queues = [{}];
    const idleTexts = new Map<string, string>();

    /** A site whose entries read the list of workers from rows, of which some are replaced by odd ones. */
    function createSite(
        workers: number,
    ): { readonly site: StandinSite; readonly oddTexts: Map<string, string> } {
        const oddTexts = new Map(idleTexts);
        const site = StandinSite.create({
            vmsPerPool: workers,
            entries: 2,
            createRoster: ({ store, log, metrics }) =>
                PlatformRoster.create({ store, refusals: RowRefusals.create({ log, metrics }) }),
        });
        const written = new Map<string, string>();
        const writeRows = (): void => {
            for (const { id, pool, startedAtMs, zone } of site.workers) {
                const text = oddTexts.get(id)
                    ?? workerRowOf({ service: pool, zone, born: startedAtMs, sequence: site.timer.now() });
                if (written.get(id) !== text) {
                    written.set(id, text);
                    site.rows.write({ table, part: "", key: id }, text);
                }
            }
        };
        writeRows();
        site.timer.every(500, writeRows);
        return { site, oddTexts };
    }

    function claimedWorkers(site: StandinSite): ReadonlySet<unknown> {
        const lines = site.entries.flatMap(({ log }) => log);
        return new Set(
            lines.filter(({ event }) => event === EventId.RunClaimed).map(({ fields }) => fields["worker"]),
        );
    }

    test("uses all others, and the worker of each odd row once it is corrected", async () => {
        const soundCount = 2;
        const { site, oddTexts } = createSite(oddWorkerRows.length + soundCount);
        const ids = site.workers.map(({ id }) => id);
        oddWorkerRows.forEach(({ text }, i) => oddTexts.set(ids[i]!, text));
        await site.start({ version: 1, queues });
        const [entry] = site.entries;
        void site.submit(entry!, "j1", jobOf({ tasks: soundCount, perWorker: 1 }));
        await site.timer.advance(5000);
        expect(await site.runUntilSettled(site.phaseOf(entry!, "j1"))).toBe("succeeded");
        expect([...claimedWorkers(site)].sort()).toEqual(ids.slice(-soundCount).sort());
        const refusals = site.owner()!.log.filter(({ event }) => event === EventId.RowRefused);
        expect(refusals.map(({ fields }) => fields["key"]).sort()).toEqual(ids.slice(0, -soundCount).sort());

        oddTexts.clear();
        await site.timer.advance(2000);
        void site.submit(entry!, "j2", jobOf({ tasks: ids.length, perWorker: 1 }));
        await site.timer.advance(8000);
        expect(await site.runUntilSettled(site.phaseOf(entry!, "j2"))).toBe("succeeded");
        expect([...claimedWorkers(site)].sort()).toEqual([...ids].sort());
        expect(site.entries.flatMap(({ log }) => log).filter(({ event }) => event === EventId.TaskFailed))
            .toEqual([]);
        expect(site.checker.violations).toEqual([]);
    });

    test("does not keep a job waiting for a worker of impossible capacity", async () => {
        const { site, oddTexts } = createSite(2);
        oddTexts.set(
            site.workers[0]!.id,
            workerRowOf({ capacity: { cpu: 1e308, "mem-mb": 1e308, gpu: 1e308 } }),
        );
        await site.start({ version: 1, queues });
        const [entry] = site.entries;
        const needs = { cpu: 1e6, memory: 100, accelerators: 0 };
        void site.submit(entry!, "j1", jobOf({ tasks: 1, needs }));
        await site.timer.advance(5000);
        expect(await site.runUntilSettled(site.phaseOf(entry!, "j1"))).toBe("failed");
    });
});
