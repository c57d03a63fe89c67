/** A site whose operators have ordered many waves of maintenance. */
import { expect, test } from "vitest";
import { jobOf, StandinSite } from "../standin/site/site.js";

const waves = 150;

// Guards against: a new owner writes a row for each wave that was ever ordered, more than a call may hold (review/1).
test("a new owner stores and reports nothing of the waves that were done, and work goes on", async () => {
    const site = StandinSite.create({ vmsPerPool: 6, managesVms: true });
    await site.start({ version: 1, queues: [{}] });
    const vms = [...new Set(site.workers.map(({ vm }) => vm))];
    for (let wave = 0; wave < waves; wave += 5) {
        for (let i = 0; i < 5; i++) {
            const done = site.maintainedVms.get(wave + i) ?? new Set(vms);
            site.maintainedVms.set(wave + i, done);
            site.orderWave({ wave: wave + i, vms: [vms[i]!], durationMs: 20_000, cap: 1 });
        }
        await site.timer.advance(1500);
    }
    for (let s = 0; s < 60 && !isDone(site); s++) {
        await site.timer.advance(1000);
    }
    expect(isDone(site)).toBe(true);
    const statusBytes = site.rows.bytesWritten.get("status");
    const waveBytes = site.rows.bytesWritten.get("waves");
    site.kill(site.owner()!);
    await site.timer.advance(8000);
    const entry = site.entries.find(({ peers }) => peers.node.isAlive)!;
    const result = await site.runUntilSettled(site.submit(entry, "j1", jobOf({ tasks: 4 }), { workMs: 500 }));
    expect(result.kind).toBe("accepted");
    await site.timer.advance(3000);
    expect(await site.runUntilSettled(site.phaseOf(entry, "j1"))).toBe("succeeded");
    expect(site.rows.invalidCalls).toEqual([]);
    expect(site.rows.bytesWritten.get("status")).toBe(statusBytes);
    expect(site.rows.bytesWritten.get("waves")).toBe(waveBytes);
    expect(site.checker.violations).toEqual([]);
});

function isDone(site: StandinSite): boolean {
    return Array.from({ length: waves }, (_, wave) => wave).every(wave => site.isWaveFinished(wave));
}
