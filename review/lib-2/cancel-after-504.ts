/**
 * Case: answers of the store are lost, and some of its writes are carried out late. A caller whose POST was answered 504 cancels the
 * submission and is told 410: there is no such submission. It must not run afterwards.
 */
import { setTimeout as pause } from "node:timers/promises";
import { jobOf } from "../../standin/site/site.js";
import { call, hasTrouble, idOf, Record, Verdict } from "./caller.js";
import { collectRuns, runsOf } from "./runs.js";
import { bounds, Site } from "./site.js";

const host = "jobs.example";
const submissions = 90;
const handInGapMs = 48;
/** Share of the store's writes that are carried out and not answered, and the length of the disruption. */
const lostShare = 0.35;
const lostForMs = 4500;
/** Writes without an answer are carried out this much later: the pages say 1 to 6 s. */
const lateMs = 5500;
const longestLateMs = 6000;
/** A subtask fails by itself this long after its start, and has to be started again. */
const failsAfterMs = 5000;
const watchMs = 26_000;

interface Cancelled {
    readonly id: string;
    readonly handedIn: number;
    readonly answer: number;
    readonly answeredAt: number;
}

const record = Record.create("8");
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
const runs = collectRuns(platform);
const needs = { cpu: 200, memory: 50, accelerators: 0 };
const spec = jobOf({ tasks: 1, isService: true, needs });
// A start lists the runs that fail halfway through their work; these fail by themselves and are to be started again.
platform.workers.forEach(({ incarnation }) => incarnation.faults.failureShare = 1);
await pause(1500);

const cancelled: Cancelled[] = [];

async function handInAndCancel(number: number): Promise<void> {
    const id = idOf(number);
    const path = `/open/${id}`;
    const at = entries[number % entries.length]!.front;
    platform.expectJob(id, spec, { workMs: 2 * failsAfterMs });
    const body = { spec: "x", steps: [{ count: 1, cpu: needs.cpu, "mem-mb": 50, "long-running": true }] };
    const handedIn = await call({ method: "POST", at, host, path, body });
    record.add(`POST ${id} at ${at}: ${handedIn.status}`);
    // Without trouble there is no 504; a third of the accepted submissions is cancelled instead.
    if (handedIn.status === 504 || (!hasTrouble && number % 3 === 0)) {
        const { status } = await call({ method: "DELETE", at, host, path });
        record.add(`DELETE ${id} at ${at}: ${status}`);
        cancelled.push({ id, handedIn: handedIn.status, answer: status, answeredAt: performance.now() });
    }
}

platform.rows.faults.commitDelayMs = lateMs;
platform.rows.faults.delayedCommitShare = hasTrouble ? lostShare : 0;
record.add(hasTrouble ? `${100 * lostShare}% of the store's writes get no answer from now on` : "no trouble");
const disruptedAt = performance.now();
setTimeout(() => {
    platform.rows.faults.delayedCommitShare = 0;
    record.add("the store answers every write again");
}, lostForMs);
const pending: Promise<void>[] = [];
for (let i = 0; i < submissions; i++) {
    pending.push(handInAndCancel(i));
    await pause(handInGapMs);
}
await Promise.all(pending);
await pause(watchMs);

/** From here on every late write is carried out and the entries are in touch again. */
const calmFrom = disruptedAt + lostForMs + longestLateMs + bounds["contact-ms"];
let broken = 0;
for (const { id, handedIn, answer, answeredAt } of cancelled) {
    const { status, body } = await call({ method: "GET", at: entries[0]!.front, host, path: `/open/${id}` });
    const from = Math.max(calmFrom, answeredAt + bounds["cancel_ms"]);
    const isAcknowledged = answer === 410 || answer === 200;
    const starts = isAcknowledged ? runsOf(runs, id).filter(({ startedAt }) => startedAt > from) : [];
    broken += starts.length > 0 ? 1 : 0;
    record.add(
        `${id}: POST ${handedIn}, DELETE ${answer}, now GET ${status} ${body.state ?? ""}; `
            + `${runsOf(runs, id).length} starts, ${starts.length} of them by entries in touch later than `
            + `${bounds["cancel_ms"]} ms after the answer to the DELETE`,
    );
}
record.add(`${cancelled.length} submissions were cancelled; ${broken} of them were started afterwards`);
record.add(`entries that ended by themselves: ${site.ownEnds.join(", ") || "none"}`);
await site.end();
record.end(cancelled.length === 0 ? Verdict.NotRun : broken > 0 ? Verdict.Broken : Verdict.Held);
