/**
 * Case: a submission with a gang of many subtasks is accepted. It has to be started while the workers have room for it.
 */
import { setTimeout as pause } from "node:timers/promises";
import { jobOf } from "../../standin/site/site.js";
import { GangTracker } from "../../standin/site/worker.js";
import { call, hasTrouble, idOf, Record, Verdict } from "./caller.js";
import { collectRuns, runsOf } from "./runs.js";
import { Site } from "./site.js";

const host = "jobs.example";
/** Subtasks of the gang, each on one of the 384 cores of the workers. */
const gangSize = hasTrouble ? 170 : 60;
const workers = 24;
const workMs = 1000;
const watchMs = 25_000;
/** With nothing running, room for it twice over and nothing else in use, a submission has to begin within this time. */
const startWithinMs = 3000 + 4000;

const record = Record.create("10");
const site = await Site.start({
    pool: "bench",
    workers,
    entries: 3,
    manifest: {
        version: 3,
        routes: [{ name: "r1", host, "path-prefix": "/open/", service: "bench", anonymous: true }],
        services: [{ name: "bench", "admission-check": true }],
        tenants: [],
    },
}).catch((err: unknown) => {
    record.add(`could not start: ${String(err)}`);
    return record.end(Verdict.NotRun);
});
const { platform, entries } = site;
const runs = collectRuns(platform);
// The members of a gang find each other across workers.
const gangs = new GangTracker();
platform.workers.forEach(({ incarnation }) => Object.assign(incarnation, { gangs }));
const needs = { cpu: 1000, memory: 50, accelerators: 0 };
await pause(2000);

async function handIn(number: number, size: number, isGang: boolean): Promise<string> {
    const id = idOf(number);
    const gang = { name: id, size };
    platform.expectJob(id, jobOf({ tasks: size, needs, isGang }), { workMs, ...(isGang && { gang }) });
    const step = { count: size, cpu: needs.cpu, "mem-mb": 50, "estimate-ms": workMs, gang: isGang };
    const at = entries[number % entries.length]!.front;
    const body = { spec: "x", steps: [step] };
    const { status } = await call({ method: "POST", at, host, path: `/open/${id}`, body });
    record.add(`POST ${id} (${size} subtasks${isGang ? ", a gang" : ""}): ${status}`);
    if (status !== 200) {
        record.end(Verdict.NotRun);
    }
    return id;
}

const wide = await handIn(0, gangSize, true);
const acceptedAt = performance.now();
const plain = await handIn(1, gangSize, false);
await pause(watchMs);

async function show(id: string): Promise<number> {
    const { status, body } = await call({ method: "GET", at: entries[0]!.front, host, path: `/open/${id}` });
    const own = runsOf(runs, id);
    record.add(`GET ${id}: ${status} ${body.state ?? ""}; ${own.length} starts`);
    return own.length;
}

const starts = await show(wide);
await show(plain);
const waitedMs = Math.round(performance.now() - acceptedAt);
const isBroken = starts === 0 && waitedMs > startWithinMs;
if (isBroken) {
    record.add(`LOST: ${wide} was accepted ${waitedMs} ms ago, has not begun, and all workers are empty`);
}
record.add(`entries that ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
await site.end();
record.end(isBroken ? Verdict.Broken : Verdict.Held);
