/**
 * Case: workers crash, one at a time, and start again. Submissions that nothing is wrong with, no run of which ever ended `failed`, must
 * not be shown as `failed`, and subtasks that last must be started again.
 */
import { setTimeout as pause } from "node:timers/promises";
import { jobOf } from "../../standin/site/site.js";
import type { WireWorker } from "../../standin/wire/worker.js";
import { call, hasTrouble, idOf, Record, Verdict } from "./caller.js";
import { collectRuns, runsOf } from "./runs.js";
import { bounds, Site } from "./site.js";

const host = "jobs.example";
const workers = 7;
/** One worker of seven is down at a time: a share of 0.14. */
const crashGapMs = 1500;
const crashForMs = 2000;
const crashesForMs = 54_000;
const lasting = 3;
const lastingTasks = 5;
const finiteEveryMs = 1500;
const finiteTasks = 6;
const finiteWorkMs = 3300;
/** After the last crash, a subtask that lasts has to run again within this time: 6 s, and 3 s after 4 calm ones. */
const settleMs = 18_000;
const calmMs = 3000 + 4000;
const restartMs = 6000;

const record = Record.create("7");
const site = await Site.start({
    pool: "bench",
    workers,
    entries: 3,
    manifest: {
        version: 3,
        routes: [{
            name: "r1",
            host,
            "path-prefix": "/open/",
            service: "bench",
            anonymous: true,
            "max-attempts": 4,
        }],
        services: [{ name: "bench", "admission-check": true }],
        tenants: [],
    },
}).catch((err: unknown) => {
    record.add(`could not start: ${String(err)}`);
    return record.end(Verdict.NotRun);
});
const { platform, entries } = site;
const runs = collectRuns(platform);
const needs = { cpu: 500, memory: 50, accelerators: 0 };
await pause(1500);

function runsOn({ incarnation }: WireWorker): number {
    return incarnation.running.size;
}

interface Accepted {
    readonly id: string;
    readonly isService: boolean;
}

const accepted: Accepted[] = [];

async function handIn(number: number, isService: boolean): Promise<void> {
    const id = idOf(number);
    const tasks = isService ? lastingTasks : finiteTasks;
    platform.expectJob(id, jobOf({ tasks, isService, needs }), { workMs: finiteWorkMs });
    const step = { count: tasks, cpu: needs.cpu, "mem-mb": 50, "estimate-ms": finiteWorkMs };
    const body = { spec: "x", steps: [isService ? { ...step, "long-running": true } : step] };
    const at = entries[number % entries.length]!.front;
    const { status } = await call({ method: "POST", at, host, path: `/open/${id}`, body });
    record.add(`POST ${id} (${tasks} subtasks${isService ? " that last" : ""}): ${status}`);
    if (status === 200) {
        accepted.push({ id, isService });
    }
}

const pending: Promise<void>[] = [];
for (let i = 0; i < lasting; i++) {
    await handIn(i, true);
}
await pause(1000);
const end = performance.now() + crashesForMs;
let crashes = 0;
let lastCrashAt = performance.now();
let nextHandIn = performance.now();
let number = lasting;
while (performance.now() < end) {
    if (performance.now() >= nextHandIn) {
        pending.push(handIn(number++, false));
        nextHandIn += finiteEveryMs;
    }
    if (hasTrouble) {
        const alive = platform.workers.filter(({ incarnation }) => incarnation.isAlive);
        if (alive.length === workers) {
            // Load makes workers crash: the one with the most runs is next.
            const victim = alive.reduce((a, b) => runsOn(b) > runsOn(a) ? b : a);
            record.add(`worker ${victim.id} crashes under ${victim.incarnation.running.size} runs`);
            platform.crash(victim);
            crashes++;
            lastCrashAt = performance.now();
            setTimeout(() => platform.restart(victim), crashForMs);
        }
    }
    await pause(crashGapMs / 4);
}
await Promise.all(pending);
await pause(settleMs);

const now = performance.now();
let broken = 0;
for (const { id, isService } of accepted) {
    const { body } = await call({ method: "GET", at: entries[0]!.front, host, path: `/open/${id}` });
    const own = runsOf(runs, id);
    const failedRuns = own.filter(({ how }) => how === "failed").length;
    const goneRuns = own.filter(({ how }) => how === "gone").length;
    if (body.state === "failed" && failedRuns === 0) {
        broken++;
        record.add(
            `LOST: ${id} is shown as failed; none of its runs ended failed, ${goneRuns} went with a worker`,
        );
    }
    for (let index = 0; isService && index < lastingTasks; index++) {
        const ofTask = own.filter(({ task }) => task === `${id}.0.0.${index}`);
        const isRunning = ofTask.some(({ endedAt }) => endedAt === undefined);
        const lastEnd = Math.max(...ofTask.map(({ endedAt }) => endedAt ?? now));
        const idleFrom = Math.max(lastEnd + restartMs, lastCrashAt + crashForMs + calmMs);
        if (!isRunning && now > idleFrom) {
            broken++;
            record.add(
                `LOST: ${id}.0.0.${index} lasts, is not cancelled (state ${
                    body.state ?? ""
                }), and has not run for `
                    + `${Math.round(now - lastEnd)} ms; ${ofTask.length} runs, all ended with a worker; `
                    + `worker crashes ended ${Math.round(now - lastCrashAt - crashForMs)} ms ago`,
            );
        }
    }
}
record.add(`${crashes} crashes, ${accepted.length} submissions accepted; LOST broken ${broken} times`);
const used = Math.max(...platform.workers.map(({ incarnation }) => incarnation.used.cpu));
record.add(`fullest worker: ${used} of 16000 thousandths of a core; contact-ms ${bounds["contact-ms"]}`);
record.add(`entries that ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
await site.end();
record.end(accepted.length === 0 ? Verdict.NotRun : broken > 0 ? Verdict.Broken : Verdict.Held);
