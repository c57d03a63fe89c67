/** A site that runs jobs of steps, shown in virtual time: its owner is killed and VMs are serviced meanwhile. */
import type { StepSpec } from "../src/job/index.js";
import { jobOf, StandinSite } from "./site/site.js";

/** What the demonstration showed. */
export interface SiteDemoReport {
    readonly jobs: number;
    readonly succeeded: number;
    readonly runs: number;
    readonly vmsServiced: number;
    readonly violations: readonly string[];
}

const jobs = 24;
const gapMs = 300;
const restMs = 15_000;
const wave = { wave: 1, vms: ["vm-0", "vm-1", "vm-2"], durationMs: 15_000, cap: 1 };
/** Job during which the owner is killed. */
const killAt = 10;
const steps: readonly Partial<StepSpec>[] = [{ tasks: 6 }, { tasks: 2, after: [0] }];

/** Runs the site. */
export async function runSiteDemo(): Promise<SiteDemoReport> {
    const site = StandinSite.create({ managesVms: true, vmsPerPool: 4, spareVms: 2 });
    await site.start({ version: 1, queues: [{}] });
    site.orderWave(wave);
    for (let i = 0; i < jobs; i++) {
        const entry = site.entries[i % site.entries.length]!;
        await site.runUntilSettled(site.submit(entry, `job-${i}`, jobOf(...steps), { workMs: 600 }));
        const owner = site.owner();
        if (i === killAt && owner !== undefined) {
            site.kill(owner);
            site.startEntry(owner.name);
        }
        await site.timer.advance(gapMs);
    }
    await site.timer.advance(restMs);
    let succeeded = 0;
    for (let i = 0; i < jobs; i++) {
        if (await site.runUntilSettled(site.phaseOf(site.entries[0]!, `job-${i}`)) === "succeeded") {
            site.checker.recordSucceeded(`job-${i}`);
            succeeded++;
        }
    }
    const { startCount: starts, violations: breaches } = site.checker;
    const unfinished = jobs - succeeded;
    return {
        jobs,
        succeeded,
        runs: starts,
        vmsServiced: site.maintainedVms.get(wave.wave)?.size ?? 0,
        violations: [...breaches, ...(unfinished > 0 ? [`${unfinished} jobs are not done`] : [])],
    };
}
