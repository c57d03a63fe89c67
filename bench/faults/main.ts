/** `npm run faults -- --seed N --rounds N`: seeded schedules of faults; prints the shortest history of a violation. */
import { parseArgs } from "node:util";
import type { ScheduledFault } from "./fault.js";
import { type FaultRunResult, runFaults } from "./run.js";

const { values } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        rounds: { type: "string", default: "20" },
        faults: { type: "string", default: "4" },
        json: { type: "boolean", default: false },
    },
});

const faults = Number(values.faults);
let failed = 0;
for (let round = 0; round < Number(values.rounds); round++) {
    const seed = Number(values.seed) + round;
    const result = await runFaults({ seed, faults });
    const broken = brokenIn(result);
    failed += broken.length > 0 ? 1 : 0;
    report(result, broken);
    if (broken.length > 0) {
        await printShortest(result);
    }
}
console.log(`${Number(values.rounds) - failed} passed, ${failed} failed`);
process.exit(failed === 0 ? 0 : 1);

function brokenIn({ checks }: FaultRunResult): readonly string[] {
    return checks.filter(check => check.violations > 0).map(check =>
        `${check.invariant}: ${check.violations}`
    );
}

function report({ seed, calls, jobs, schedule }: FaultRunResult, broken: readonly string[]): void {
    const kinds = schedule.map(fault => fault.kind).join(", ");
    const verdict = broken.length === 0 ? "ok" : `VIOLATED ${broken.join("; ")}`;
    console.log(`seed ${seed}: ${verdict} (${calls} requests, ${jobs} jobs; ${kinds})`);
}

/** Leaves out faults one by one as long as the run still violates a promise, and prints what is left. */
async function printShortest(result: FaultRunResult): Promise<void> {
    let schedule: readonly ScheduledFault[] = result.schedule;
    for (let at = 0; at < schedule.length;) {
        const shorter = schedule.filter((_, index) => index !== at);
        const isBroken = brokenIn(await runFaults({ seed: result.seed, schedule: shorter })).length > 0;
        if (isBroken) {
            schedule = shorter;
        }
        else {
            at++;
        }
    }
    console.log(`  shortest schedule: ${JSON.stringify(schedule)}`);
}
