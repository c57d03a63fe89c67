/** What an owner checks in each of its rounds beside the starts: steps that no worker could run, and evacuated zones. */
import { describe, expect, test } from "vitest";
import { EvacuationLog } from "../src/pool/evacuation-log.js";
import { WorkerRegistry } from "../src/pool/worker-registry.js";
import { EventId } from "../src/process/events.js";
import { stepOf } from "../standin/site/site.js";

describe("a step that no worker could run", () => {
    test("is told from one of equal needs and another label, and becomes possible with a larger VM", () => {
        const workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
        const needs = { cpu: 16_000, memory: 100, accelerators: 0 };
        const plain = stepOf({ needs });
        const gold = stepOf({ needs, label: "gold" });
        const large = stepOf({ needs: { ...needs, cpu: 40_000 } });
        const possible = () => [plain, gold, large].map(step => workers.couldEverRun(step));
        expect(possible()).toEqual([true, true, true]);
        const shape = { capacity: { cpu: 32_000, memory: 1000, accelerators: 0 }, labels: [] };
        workers.recordShapes([shape]);
        expect(possible()).toEqual([true, false, false]);
        expect(possible()).toEqual([true, false, false]);
        workers.recordShapes([{ capacity: { ...shape.capacity, cpu: 64_000 }, labels: ["gold"] }]);
        expect(possible()).toEqual([true, true, true]);
    });
});

describe("the log of evacuated zones", () => {
    test("has one line for each order, once tasks wait, with their number then", () => {
        const lines: unknown[] = [];
        const orders = [{ zone: "z0", version: 7, ageMs: 12 }];
        const zones = { zones: ["z0"], orders, isEvacuated: () => true, load: () => Promise.resolve() };
        const evacuations = EvacuationLog.create({
            zones,
            log: {
                write: (_, event, fields = {}) =>
                    void lines.push([event, fields.zone, fields.version, fields.waitingTasks]),
            },
        });
        for (const openTaskCount of [0, 0, 3, 5]) {
            evacuations.report([], { openTaskCount });
        }
        expect(lines).toEqual([[EventId.StartsPrevented, "z0", 7, 3]]);
        orders[0] = { zone: "z0", version: 9, ageMs: 1 };
        evacuations.report([], { openTaskCount: 5 });
        expect(lines.slice(1)).toEqual([[EventId.StartsPrevented, "z0", 9, 5]]);
    });
});
