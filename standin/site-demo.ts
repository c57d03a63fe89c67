/**
 * Runs multi-step jobs on a simulated site in virtual time, with the owner killed and VMs under maintenance meanwhile.
 */
import type { StepSpec } from "../src/job/index.js";
import { jobOf, StandinSite } from "./site/site.js";

/** Results of the demonstration. */
export interface SiteDemoReport {
    readonly jobs: number;
    readonly succeeded: number;
    readonly runs: number;
    readonly vmsServiced: number;
    readonly violations: readonly string[];
}

const jobCount = 24;
/** Virtual time between submissions. */
const submitIntervalMs = 300;
/** Virtual time left for the last jobs to finish. */
const finishTimeMs = 15_000;
const maintenanceWave = { wave: 1, vms: ["vm-0", "vm-1", "vm-2"], durationMs: 15_000, cap: 1 };
/** Index of the job after whose submission the owner is killed and restarted. */
const ownerKillJob = 10;
const steps: readonly Partial<StepSpec>[] = [{ tasks: 6 }, { tasks: 2, after: [0] }];

/** Runs the demonstration. */
export async function runSiteDemo(): Promise<SiteDemoReport> {
    const site = StandinSite.create({ managesVms: true, vmsPerPool: 4, spareVms: 2 });
    await site.start({ version: 1, queues: [{}] });
    site.orderWave(maintenanceWave);
    for (let i = 0; i < jobCount; i++) {
        const entry = site.entries[i % site.entries.length]!;
        await site.runUntilSettled(site.submit(entry, `job-${i}`, jobOf(...steps), { workMs: 600 }));
        const owner = site.owner();
        if (i === ownerKillJob && owner !== undefined) {
            site.kill(owner);
            site.startEntry(owner.name);
        }
        await site.timer.advance(submitIntervalMs);
    }
    await site.timer.advance(finishTimeMs);
    let succeeded = 0;
    for (let i = 0; i < jobCount; i++) {
        if (await site.runUntilSettled(site.phaseOf(site.entries[0]!, `job-${i}`)) === "succeeded") {
            site.checker.recordSucceeded(`job-${i}`);
            succeeded++;
        }
    }
    const { startCount: starts, violations: breaches } = site.checker;
    const unfinished = jobCount - succeeded;
    return {
        jobs: jobCount,
        succeeded,
        runs: starts,
        vmsServiced: site.maintainedVms.get(maintenanceWave.wave)?.size ?? 0,
        violations: [
            ...breaches,
            ...(unfinished > 0 ? [`${unfinished} of ${jobCount} jobs did not succeed`] : []),
        ],
    };
}
