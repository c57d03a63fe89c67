/**
 * Case: a new manifest drops a route. Submissions that its queue has accepted are to be finished, and subtasks that last are to be
 * restarted however they end.
 */
import { setTimeout as pause } from "node:timers/promises";
import { jobOf } from "../../standin/site/site.js";
import { call, hasTrouble, idOf, Record, Verdict } from "./caller.js";
import { collectRuns, type Run, runsOf } from "./runs.js";
import { bounds, Site } from "./site.js";

const host = "jobs.example";
/** A subtask that lasts fails by itself once, this long after its start. */
const failsAfterMs = 6000;
const workMs = 3000;
const changeAfterMs = 1500;
const watchMs = 24_000;
/** A subtask whose turn has come, or that lasts, has to be started within this time while workers are empty. */
const startWithinMs = 6000 + 3000;

const route = { name: "r1", host, "path-prefix": "/open/", service: "bench", anonymous: true };
const other = { ...route, name: "r2", "path-prefix": "/kept/" };

function manifestOf(version: number, routes: readonly unknown[]): unknown {
    return { version, routes, services: [{ name: "bench", "admission-check": true }], tenants: [] };
}

const record = Record.create("10");
const site = await Site.start({
    pool: "bench",
    workers: 6,
    entries: 3,
    manifest: manifestOf(3, [route, other]),
}).catch((err: unknown) => {
    record.add(`could not start: ${String(err)}`);
    return record.end(Verdict.NotRun);
});
const { platform, entries } = site;
const runs = collectRuns(platform);
const needs = { cpu: 500, memory: 50, accelerators: 0 };
await pause(1500);

interface Accepted {
    readonly id: string;
    readonly path: string;
    readonly isService: boolean;
}

async function handIn(number: number, prefix: string, isService: boolean): Promise<Accepted> {
    const id = idOf(number);
    const path = `${prefix}${id}`;
    const step = { tasks: 4, needs };
    const wire = { count: 4, cpu: needs.cpu, "mem-mb": 50, "estimate-ms": workMs };
    const spec = isService ? jobOf({ ...step, isService }) : jobOf(step, { ...step, after: [0] });
    platform.expectJob(id, spec, { workMs: isService ? 2 * failsAfterMs : workMs });
    const steps = isService ? [{ ...wire, "long-running": true }] : [wire, { ...wire, after: [0] }];
    const at = entries[number % entries.length]!.front;
    const { status } = await call({ method: "POST", at, host, path, body: { spec: "x", steps } });
    record.add(`POST ${path} (${isService ? "lasts" : "two steps"}): ${status}`);
    if (status !== 200) {
        record.end(Verdict.NotRun);
    }
    return { id, path, isService };
}

// The runs that start now fail halfway through their work; later ones do not.
platform.workers.forEach(({ incarnation }) => incarnation.faults.failureShare = 1);
const services = [await handIn(0, "/open/", true), await handIn(1, "/kept/", true)];
await pause(1000);
platform.workers.forEach(({ incarnation }) => incarnation.faults.failureShare = 0);
const accepted = [...services, await handIn(2, "/open/", false), await handIn(3, "/kept/", false)];
await pause(changeAfterMs);
const shorter = { ...route, "timeout-ms": 2500 };
platform.writeOperatorRow("config", manifestOf(7, hasTrouble ? [other] : [shorter, other]));
record.add(hasTrouble ? "version 7 drops the route of /open/" : "version 7 changes a time-out");
await pause(watchMs);

const now = performance.now();
let broken = 0;
for (const { id, path, isService } of accepted) {
    const own = runsOf(runs, id);
    const { status, body } = await call({ method: "GET", at: entries[0]!.front, host, path });
    const waiting = waitingTasks(id, isService, own);
    broken += waiting.some(({ forMs }) => forMs > startWithinMs) ? 1 : 0;
    record.add(`GET ${path}: ${status} ${body.state ?? ""}; ${own.length} starts`);
    waiting.forEach(({ task, forMs }) => record.add(`LOST: ${task} has waited for its turn for ${forMs} ms`));
}

/** The subtasks that could run and do not, with the time since their turn came. */
function waitingTasks(id: string, isService: boolean, own: readonly Run[]) {
    const lastEndOf = (task: string): number =>
        Math.max(...own.filter(run => run.task === task).map(({ endedAt }) => endedAt ?? now));
    const first = [0, 1, 2, 3].map(index => `${id}.0.0.${index}`);
    const turnAt = Math.max(...first.map(lastEndOf));
    const tasks = isService ? first : [0, 1, 2, 3].map(index => `${id}.0.1.${index}`);
    return tasks.flatMap(task => {
        const ofTask = own.filter(run => run.task === task);
        const isIdle = isService ? ofTask.every(({ endedAt }) => endedAt !== undefined) : ofTask.length === 0;
        const since = isService ? lastEndOf(task) : turnAt;
        return isIdle ? [{ task, forMs: Math.round(now - since) }] : [];
    });
}

const used = Math.max(...platform.workers.map(({ incarnation }) => incarnation.used.cpu));
record.add(`fullest worker: ${used} of 16000 thousandths of a core; config-ms ${bounds["config-ms"]}`);
record.add(`entries that ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
await site.end();
record.end(broken > 0 ? Verdict.Broken : Verdict.Held);
