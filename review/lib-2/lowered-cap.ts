/**
 * Case: the operator lowers a tenant's cap for some seconds. Submissions that were accepted before, and wait for the tenant's room, must
 * not be shown as `failed`: none of their subtasks has failed.
 */
import { setTimeout as pause } from "node:timers/promises";
import { jobOf } from "../../standin/site/site.js";
import { call, hasTrouble, idOf, Record, Verdict } from "./caller.js";
import { collectRuns, runsOf } from "./runs.js";
import { bounds, Site } from "./site.js";

const host = "jobs.example";
const key = "key-of-the-tenant";
const usualCap = 12_000;
/** Below what one of the waiting subtasks requests. */
const loweredCap = 3000;
const loweredForMs = 8000;
const cpu = 4000;
const workMs = 6000;
const watchMs = 30_000;
const submissions = 4;

function manifestOf(version: number, cap: number): unknown {
    const route = { name: "r1", host, "path-prefix": "/open/", service: "bench", "max-attempts": 4 };
    return {
        version,
        routes: [route],
        services: [{ name: "bench", "admission-check": true }],
        tenants: [{ name: "t1", "api-keys": [key], weight: 5, cap: { cpu: cap, "mem-mb": 0, gpu: 0 } }],
    };
}

const record = Record.create("7");
const site = await Site.start({
    pool: "bench",
    workers: 4,
    entries: 3,
    manifest: manifestOf(3, usualCap),
}).catch((err: unknown) => {
    record.add(`could not start: ${String(err)}`);
    return record.end(Verdict.NotRun);
});
const { platform, entries } = site;
const runs = collectRuns(platform);
const needs = { cpu, memory: 50, accelerators: 0 };
await pause(1500);

const ids: string[] = [];
for (let i = 0; i < submissions; i++) {
    const id = idOf(i);
    platform.expectJob(id, jobOf({ tasks: 3, needs }), { workMs });
    const steps = [{ count: 3, cpu, "mem-mb": 50, "estimate-ms": workMs }];
    const at = entries[i % entries.length]!.front;
    const body = { spec: "x", steps };
    const { status } = await call({ method: "POST", at, host, path: `/open/${id}`, key, body });
    record.add(`POST ${id} (3 subtasks of ${cpu} thousandths of a core): ${status}`);
    if (status === 200) {
        ids.push(id);
    }
}
await pause(1500);

async function showStates(): Promise<readonly string[]> {
    const states: string[] = [];
    for (const id of ids) {
        const at = entries[0]!.front;
        const { status, body } = await call({ method: "GET", at, host, path: `/open/${id}`, key });
        states.push(body.state ?? String(status));
    }
    record.add(`states: ${states.join(", ")}`);
    return states;
}

await showStates();
platform.writeOperatorRow("config", manifestOf(7, hasTrouble ? loweredCap : usualCap));
record.add(`version 7: cap of ${hasTrouble ? loweredCap : usualCap} thousandths of a core`);
await pause(loweredForMs);
await showStates();
platform.writeOperatorRow("config", manifestOf(12, usualCap));
record.add(`version 12: cap of ${usualCap} thousandths of a core`);
await pause(watchMs);
const states = await showStates();
let broken = 0;
ids.forEach((id, i) => {
    const own = runsOf(runs, id);
    const failed = own.filter(({ how }) => how === "failed").length;
    if (states[i] === "failed" && failed === 0) {
        broken++;
        record.add(
            `LOST: ${id} was accepted and is shown as failed; ${own.length} of its subtasks were started`,
        );
    }
});
record.add(`config-ms ${bounds["config-ms"]}; ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
await site.end();
record.end(ids.length < submissions ? Verdict.NotRun : broken > 0 ? Verdict.Broken : Verdict.Held);
