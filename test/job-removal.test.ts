/** Removal of jobs that have been final for long. */
import { expect, test } from "vitest";
import { jobOf, StandinSite } from "../standin/site/site.js";

// Guards against: fewer jobs are removed than come, so that they pile up in the owner and in the store (KNOWN-RED 25).
test("an owner removes jobs as fast as a busy site hands them in", async () => {
    const site = StandinSite.create({ vmsPerPool: 10 });
    await site.start({ version: 1, queues: [{}] });
    const jobs = 900;
    const spec = jobOf({ needs: { cpu: 100, memory: 1, accelerators: 0 } });
    for (let i = 0; i < jobs; i += 3) {
        await Promise.all([0, 1, 2].map(async k => {
            const submitted = site.submit(site.entries[k]!, `${i + k}`.padStart(16, "0"), spec, {
                workMs: 100,
            });
            await site.timer.advance(18);
            return submitted;
        }));
    }
    await site.timer.advance(5000);
    const { entries } = site.owner()!.core.domain.tenure!.jobs;
    expect(entries.size).toBe(jobs);
    // 180 s of retention, and a quarter of a minute in which they are removed at 60 a second.
    await site.timer.advance(195_000);
    expect(entries.size).toBe(0);
    expect(site.rows.invalidCalls).toEqual([]);
});
