import { describe, expect, test } from "vitest";
import { createOperatorTable } from "../platform/store.js";
import { planFleet, poolsWithoutRoom, type VmSnapshot } from "../src/pool/fleet-plan.js";
import { VmPhase } from "../src/pool/ports.js";
import { EventId } from "../src/process/events.js";
import { silentLog } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { RowRefusals } from "../src/process/row-refusals.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { ZoneEvacuations, ZoneOrder } from "../src/version/zone-evacuations.js";
import { jobOf, type StandinEntry, StandinSite, type StandinSiteOptions } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };
const zones = ["a", "b", "c"];

/** A site whose pool has two VMs in each of three zones. */
async function startSite(options: Partial<StandinSiteOptions> = {}): Promise<StandinSite> {
    const site = StandinSite.create({ vmsPerPool: 6, workerZones: zones, ...options });
    await site.start(lists);
    return site;
}

function liveEntries(site: StandinSite): readonly StandinEntry[] {
    return site.entries.filter(({ peers }) => peers.node.isAlive);
}

/** The owner among the entries that have not been killed. */
function ownerOf(site: StandinSite): StandinEntry {
    return liveEntries(site).find(({ core }) => core.domain.tenure !== undefined)!;
}

/** Submits a job of four short tasks every 100 ms for `ms` milliseconds, at the entries in turn. */
async function submitFor(site: StandinSite, ms: number, prefix: string): Promise<readonly string[]> {
    const ids: string[] = [];
    for (let at = 0; at < ms; at += 100) {
        const id = `${prefix}${at}`;
        const entries = liveEntries(site).filter(({ core }) => core.lists.directory !== undefined);
        const entry = entries[ids.length % entries.length]!;
        void site.submit(entry, id, jobOf({ tasks: 4, needs: { cpu: 4000, memory: 100, accelerators: 0 } }))
            .then(({ kind }) => kind === "accepted" && ids.push(id))
            .catch(() => undefined);
        await site.timer.advance(100);
    }
    return ids;
}

/** Names of the zones in which runs are at work. */
function zonesAtWork(site: StandinSite): readonly string[] {
    return [...new Set(site.workers.filter(({ running }) => running.size > 0).map(({ zone }) => zone))]
        .sort();
}

async function expectAllSucceeded(site: StandinSite, ids: readonly string[]): Promise<void> {
    expect(ids.length).toBeGreaterThan(0);
    const entry = liveEntries(site)[0]!;
    for (const id of ids) {
        expect(`${id} ${await site.runUntilSettled(site.phaseOf(entry, id))}`).toBe(`${id} succeeded`);
    }
    expect(site.checker.violations).toEqual([]);
}

describe("an evacuated zone", () => {
    test("gets no new work, and gets work again once it is restored", async () => {
        const site = await startSite();
        const before = await submitFor(site, 500, "before");
        expect(zonesAtWork(site)).toContain("b");
        site.evacuate("b");
        const during = await submitFor(site, 8000, "during");
        expect(zonesAtWork(site)).toEqual(["a", "c"]);
        site.restore("b");
        await site.timer.advance(1000);
        const after = await submitFor(site, 1500, "after");
        expect(zonesAtWork(site)).toContain("b");
        await site.timer.advance(8000);
        await expectAllSucceeded(site, [...before, ...during, ...after]);
    });

    test("stays evacuated although its row is malformed, and a malformed row evacuates no zone", async () => {
        const site = await startSite();
        site.evacuate("b");
        await site.timer.advance(1000);
        site.rows.write({ table: "operator", part: "", key: "zone/b" }, "?");
        site.rows.write({ table: "operator", part: "", key: "zone/a" }, "?");
        await site.timer.advance(1000);
        for (const { core, log } of site.entries) {
            expect(core.zones.zones).toEqual(["b"]);
            expect(log.filter(({ event }) => event === EventId.ZoneRowMalformed)).toHaveLength(2);
        }
    });

    test("is known to an owner whose feed is late before its first start", async () => {
        const site = await startSite();
        const ids = await submitFor(site, 300, "early");
        for (const { storeFaults } of site.entries) {
            storeFaults.unansweredFeeds.add("operator");
        }
        // Reads of the feed that are open now are answered at the end of their wait.
        await site.timer.advance(2500);
        site.evacuate("b");
        site.kill(ownerOf(site));
        await site.timer.advance(2500);
        const owner = ownerOf(site);
        expect(owner.core.zones.zones).toEqual(["b"]);
        const later = await submitFor(site, 7000, "later");
        await site.timer.advance(8000);
        await expectAllSucceeded(site, [...ids, ...later]);
    });

    test("gets no work while the owner is replaced twice", async () => {
        const site = await startSite({ entries: 4 });
        const ids = await submitFor(site, 500, "x");
        site.evacuate("b");
        const rest: string[] = [];
        for (const round of [1, 2]) {
            site.kill(ownerOf(site));
            rest.push(...await submitFor(site, 4000, `r${round}`));
        }
        expect(zonesAtWork(site)).not.toContain("b");
        await site.timer.advance(9000);
        await expectAllSucceeded(site, [...ids, ...rest]);
    });

    test("is still evacuated after all entries have ended and started again", async () => {
        const site = await startSite();
        site.evacuate("b");
        await site.timer.advance(500);
        for (const entry of [...site.entries]) {
            site.kill(entry);
            site.timer.after(700, () => void site.startEntry(entry.name));
        }
        await site.timer.advance(4000);
        const ids = await submitFor(site, 4000, "x");
        expect(zonesAtWork(site)).toEqual(["a", "c"]);
        await site.timer.advance(9000);
        await expectAllSucceeded(site, ids);
    });

    test.each(["before", "during", "after"])(
        "gets no work with the store silent %s the order",
        async when => {
            const site = await startSite();
            const silence = async (ms: number): Promise<void> => {
                site.rows.faults.isUnresponsive = true;
                await site.timer.advance(ms);
                site.rows.faults.isUnresponsive = false;
            };
            const ids = await submitFor(site, 300, "x");
            if (when === "before") {
                await silence(3000);
            }
            const later = submitFor(site, 300, "y");
            if (when === "during") {
                site.rows.faults.isUnresponsive = true;
            }
            site.evacuate("b");
            await later;
            await silence(when === "before" ? 0 : 3000);
            const last = await submitFor(site, 7000, "z");
            expect(zonesAtWork(site)).not.toContain("b");
            await site.timer.advance(9000);
            await expectAllSucceeded(site, [...ids, ...last]);
        },
    );

    test("lets a task wait that finds room nowhere else", async () => {
        const site = await startSite({ vmsPerPool: 2, workerZones: ["b"] });
        site.evacuate("b");
        await site.timer.advance(500);
        const ids = await submitFor(site, 200, "x");
        await site.timer.advance(8000);
        expect(zonesAtWork(site)).toEqual([]);
        site.restore("b");
        await site.timer.advance(4000);
        await expectAllSucceeded(site, ids);
    });

    test("loses its services to other zones, one after the other as their disruption budget allows", async () => {
        const site = await startSite({ managesVms: true, spareVms: 6 });
        const needs = { cpu: 4000, memory: 100, accelerators: 0 };
        const service = jobOf({ tasks: 6, needs, isService: true, perWorker: 2, disruptionBudget: 1 });
        await site.runUntilSettled(site.submit(site.entries[0]!, "service", service));
        await site.timer.advance(4000);
        const zone = site.workers.find(({ running }) => running.size > 0)!.zone;
        site.evacuate(zone);
        let least = 6;
        for (let ms = 0; ms < 30_000; ms += 100) {
            await site.timer.advance(100);
            least = Math.min(least, site.workers.reduce((sum, { running }) => sum + running.size, 0));
        }
        expect(zonesAtWork(site)).not.toContain(zone);
        expect(least).toBeGreaterThanOrEqual(5);
        expect(site.checker.violations).toEqual([]);
    });
});

describe("the news of evacuated zones", () => {
    const operatorTable = createOperatorTable(
        RowRefusals.create({ log: silentLog, metrics: Metrics.create() }),
    );
    const create = (changes: string[] = []): ZoneEvacuations =>
        ZoneEvacuations.create({
            store: { read: () => Promise.reject(new Error("unused")) } as never,
            operatorTable,
            timer: VirtualTimer.create(),
            log: silentLog,
            metrics: Metrics.create(),
            onChange: () => void changes.push("changed"),
        });

    test("that is older than what is known changes nothing", () => {
        const evacuations = create();
        evacuations.apply([{ zone: "a", order: ZoneOrder.Evacuate, version: 5 }]);
        evacuations.apply([{ zone: "a", order: ZoneOrder.Restore, version: 4 }]);
        evacuations.applyAll([], 4);
        expect(evacuations.zones).toEqual(["a"]);
        evacuations.applyAll([], 6);
        expect(evacuations.zones).toEqual([]);
        evacuations.apply([{ zone: "a", order: ZoneOrder.Evacuate, version: 5 }]);
        expect(evacuations.zones).toEqual([]);
    });

    test("holds for a zone that was restored and evacuated again within one read", () => {
        const changes: string[] = [];
        const evacuations = create(changes);
        evacuations.apply([
            { zone: "a", order: ZoneOrder.Evacuate, version: 1 },
            { zone: "a", order: ZoneOrder.Restore, version: 2 },
            { zone: "a", order: ZoneOrder.Evacuate, version: 3 },
            { zone: "unknown", order: ZoneOrder.Evacuate, version: 4 },
        ]);
        expect(evacuations.zones).toEqual(["a", "unknown"]);
        expect(changes).toHaveLength(4);
    });

    test("is decoded from the operators' rows of the platform", () => {
        const row = (key: string, value: string, version: number, isRemoved = false) => ({
            table: "op",
            part: "",
            key,
            value,
            version,
            isRemoved,
        });
        const update = operatorTable.decode([
            row("evacuate/x", "{}", 3),
            row("evacuate/y", "", 4, true),
            row("evacuate/z", "[", 5),
            row("config", "{}", 6),
        ]);
        expect(update.zones).toEqual([
            { zone: "x", order: ZoneOrder.Evacuate, version: 3 },
            { zone: "y", order: ZoneOrder.Restore, version: 4 },
            { zone: "z", order: ZoneOrder.Malformed, version: 5 },
        ]);
    });
});

describe("the plan of VMs while a zone is evacuated", () => {
    const capacity = { cpu: 8000, memory: 16_000, accelerators: 0 };
    const vm = (name: string, overrides: Partial<VmSnapshot> = {}): VmSnapshot => ({
        vm: name,
        pool: "bench",
        phase: VmPhase.Up,
        rack: "r",
        capacity,
        labels: [],
        runs: 0,
        serviceRuns: 0,
        isCordoned: false,
        isOrderable: true,
        isWorkerReady: true,
        dueWave: undefined,
        ...overrides,
    });
    const demand = (pool: string, cpu: number, isSpare = false) => ({
        pool,
        isSpare,
        resources: { cpu, memory: 0, accelerators: 0 },
        unplaceableSteps: [],
        minVms: 0,
    });
    const demands = [demand("bench", 14_000), demand("spare", 0, true)];

    test("drains its VMs and replaces them with VMs of other zones only", () => {
        const vms = [
            vm("b0", { isZoneEvacuated: true, runs: 2 }),
            vm("a0", { runs: 2 }),
            vm("s-b", { pool: "spare", isZoneEvacuated: true }),
            vm("s-a", { pool: "spare" }),
        ];
        expect(planFleet({ vms, demands, waves: [], reserveVms: 0, minVms: 1 })).toEqual([
            { kind: "cordon", vm: "b0", why: "zone-evacuated" },
            { kind: "move", vm: "s-a", pool: "bench" },
        ]);
    });

    test("maintains the due VMs of the zone first", () => {
        const wave = { wave: 1, availableSlots: 1, isUrgent: false, maxDraining: 0 };
        const vms = [
            vm("s-a", { pool: "spare", dueWave: 1 }),
            vm("s-b", { pool: "spare", dueWave: 1, isZoneEvacuated: true }),
        ];
        const actions = planFleet({
            vms,
            demands: [demand("spare", 0, true)],
            waves: [wave],
            reserveVms: 0,
            minVms: 0,
        });
        expect(actions).toEqual([{ kind: "service", vm: "s-b", wave: 1 }]);
    });

    test("tells which pools have work and no VM that could take it", () => {
        const vms = [vm("b0", { isZoneEvacuated: true }), vm("o0", { pool: "other" })];
        const all = [
            demand("bench", 1000),
            demand("other", 1000),
            demand("idle", 0),
            demand("spare", 0, true),
        ];
        expect(poolsWithoutRoom({ vms, demands: all })).toEqual(["bench"]);
        expect(poolsWithoutRoom({ vms: [...vms, vm("s", { pool: "spare" })], demands: all })).toEqual([]);
    });
});
