/** Writes that are carried out late and readings that were requested early: neither undoes what came between. */
import { expect, test } from "vitest";
import { memberKey } from "../src/pool/member-rows.js";
import { WaveTracker } from "../src/pool/wave-tracker.js";
import { StandinSite } from "../standin/site/site.js";

// Guards against: the row of a process that has ended, written late, in place of that of the process that runs.
test("a late registration of an earlier process leaves the member row of the present one alone", async () => {
    const site = StandinSite.create();
    await site.start({ version: 1, queues: [{}] });
    const { name } = site.entries[0]!;
    site.kill(site.entries[0]!);
    site.rows.faults.delayedCommitShare = 1;
    site.rows.faults.commitDelayMs = 4000;
    const earlier = site.startEntry(name);
    await site.timer.advance(300);
    site.kill(earlier);
    site.rows.faults.delayedCommitShare = 0;
    site.startEntry(name);
    await site.timer.advance(1500);
    const rowOf = () => site.rows.find(memberKey(name));
    const registered = rowOf();
    expect(registered?.value).toContain(`${name}#5`);
    for (let ms = 0; ms < 6000; ms += 50) {
        await site.timer.advance(50);
        expect(rowOf()).toEqual(registered);
    }
});

// Guards against: a VM that came while the inventory was read, and is left out of its wave for good.
test("a VM is not excluded from a wave by an inventory that was requested before the wave was known", () => {
    const tracker = WaveTracker.create("d", 2000);
    tracker.addOrders([{ wave: 1, vms: ["a", "b"], cap: 1, durationMs: 10_000 }], 1000);
    tracker.excludeMissing(vm => vm === "a", 900);
    tracker.recordReturn(1, "a");
    expect(tracker.dueWave("b")).toBe(1);
    tracker.excludeMissing(vm => vm === "a", 1000);
    expect(tracker.dueWave("b")).toBeUndefined();
});
