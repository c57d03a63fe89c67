/**
 * `npm run demo`: runs the load scenario of both example shops over loopback and prints the results. The exit code is 1
 * if any invariant was violated.
 */
import { parseArgs } from "node:util";
import { runScenario, type ScenarioReport } from "./scenario.js";
import { shops } from "./shops.js";
import { runSiteDemo } from "./site-demo.js";

const { values } = parseArgs({
    options: {
        seconds: { type: "string", default: "5" },
        seed: { type: "string", default: "1" },
        json: { type: "boolean", default: false },
    },
});

const seconds = positive("seconds", values.seconds);
const seed = positive("seed", values.seed);
const stopProgress = values.json || !process.stdout.isTTY ? () => undefined : showProgress(seconds);
const reports = await Promise.all(shops.map(shop => runScenario({ shop, seconds, seed })));
stopProgress();
const siteReport = await runSiteDemo();
if (values.json) {
    console.log(JSON.stringify({ seconds, seed, reports, site: siteReport }, undefined, 4));
}
else {
    reports.forEach(printReport);
}
if (!values.json) {
    console.log(
        "\nMulti-step jobs on a simulated site, in virtual time, with the owner killed and VMs under maintenance",
    );
    console.table({ ...siteReport, violations: siteReport.violations.length });
    siteReport.violations.forEach(violation => console.log(violation));
}
const violations = siteReport.violations.length
    + reports.flatMap(report => report.checks).reduce((sum, check) => sum + check.violations, 0);
process.exit(violations === 0 ? 0 : 1);

function positive(name: string, text: string): number {
    const value = Number(text);
    if (!Number.isInteger(value) || value < 1 || value > 3600) {
        console.error(`--${name}: expected an integer from 1 to 3600, got "${text}"`);
        process.exit(2);
    }
    return value;
}

function showProgress(loadSeconds: number): () => void {
    const startedAt = Date.now();
    const handle = setInterval(() => {
        const elapsed = Math.round((Date.now() - startedAt) / 1000);
        process.stdout.write(`\rrunning: ${elapsed} s of about ${loadSeconds + 5} s `);
    }, 500);
    return () => {
        clearInterval(handle);
        process.stdout.write("\r" + " ".repeat(60) + "\r");
    };
}

function printReport(report: ScenarioReport): void {
    console.log(`\n${report.shop}`);
    console.table(Object.fromEntries(report.queues.map(({ queue, ...figures }) => [queue, {
        ...figures,
        p50Ms: figures.p50Ms?.toFixed(1) ?? "-",
        p99Ms: figures.p99Ms?.toFixed(1) ?? "-",
    }])));
    console.log(
        `jobs accepted ${report.jobsAccepted}, finished ${report.jobsFinished}; VMs maintained ${report.vmsServiced}`,
    );
    console.log(`withdrawn key rejected by every entry after ${report.withdrawalMs} ms`);
    console.table(
        Object.fromEntries(report.checks.map(check => [check.invariant, { violations: check.violations }])),
    );
}
