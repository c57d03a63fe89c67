/**
 * Case: one submission with many subtasks is accepted. The entries must not end by it, and the submissions of other callers must be
 * finished and answered for.
 */
import { setTimeout as pause } from "node:timers/promises";
import { jobOf } from "../../standin/site/site.js";
import { call, hasTrouble, idOf, Record, Verdict } from "./caller.js";
import { collectRuns } from "./runs.js";
import { Site } from "./site.js";

const host = "jobs.example";
const largeSteps = 64;
/** Subtasks of each step of the large submission. */
const largeCount = hasTrouble ? 10_000 : 1;
const largeAfterMs = 3000;
const trafficForMs = 20_000;
const handInGapMs = 500;
/** `finish_s` of the site: from then on each accepted submission is asked for. */
const finishMs = 14_000;
const needs = { cpu: 500, memory: 50, accelerators: 0 };
const workMs = 300;

const record = Record.create("6");
const site = await Site.start({
    pool: "bench",
    workers: 6,
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
collectRuns(platform);
await pause(1500);

const accepted: string[] = [];

async function handIn(number: number, steps: number, count: number): Promise<number> {
    const id = idOf(number);
    const spec = jobOf(...Array.from({ length: steps }, () => ({ tasks: count, needs })));
    platform.expectJob(id, spec, { workMs });
    const step = { count, cpu: needs.cpu, "mem-mb": 50, "estimate-ms": workMs };
    const body = { spec: "x", steps: Array.from({ length: steps }, () => step) };
    const at = entries[number % entries.length]!.front;
    const { status } = await call({ method: "POST", at, host, path: `/open/${id}`, body });
    record.add(`POST ${id} (${steps} steps of ${count} subtasks) at ${at}: ${status}`);
    return status;
}

const startedAt = performance.now();
const pending: Promise<void>[] = [];
let number = 1;
let largeAnswer: Promise<number> | undefined;
while (performance.now() - startedAt < trafficForMs) {
    if (largeAnswer === undefined && performance.now() - startedAt >= largeAfterMs) {
        largeAnswer = handIn(0, largeSteps, largeCount);
    }
    const next = number++;
    pending.push(handIn(next, 1, 2).then(status => void (status === 200 && accepted.push(idOf(next)))));
    await pause(handInGapMs);
}
await Promise.all(pending);
const answer = await largeAnswer;
await pause(finishMs);

/** What the entries show of a submission; every node is asked, as callers do that repeat a call after no answer. */
async function shownOf(id: string): Promise<{ readonly id: string; readonly shown: readonly string[] }> {
    const replies = await Promise.all(
        entries.map(({ front }) => call({ method: "GET", at: front, host, path: `/open/${id}` })),
    );
    const shown = replies.map(({ status, body }) =>
        body.state ?? (status === 0 ? "no answer" : String(status))
    );
    return { id, shown };
}

let lost = 0;
for (const { id, shown } of await Promise.all(accepted.map(shownOf))) {
    if (!shown.includes("succeeded")) {
        lost++;
        record.add(
            `LOST: ${id} was accepted; asked for after ${finishMs} ms, the entries show ${shown.join(", ")}`,
        );
    }
}
record.add(
    `the large submission was answered ${answer ?? 0}; ${accepted.length} others were accepted, ${lost} lost`,
);
record.add(`entries that ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
const { ownEnds } = site;
await site.end();
record.end(
    accepted.length === 0 ? Verdict.NotRun : lost + ownEnds.length > 0 ? Verdict.Broken : Verdict.Held,
);
