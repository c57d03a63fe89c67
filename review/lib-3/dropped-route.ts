/**
 * A route leaves the manifest for some seconds while an accepted submission of it runs, and meanwhile the entries restart in
 * turn. The subtask fails three times, of the four attempts that the route allows.
 */
import { setTimeout as pause } from "node:timers/promises";
import { manifestOf, play, route, Site } from "./site.js";

const folder = process.argv[2] ?? ".";
const id = "5c0e7a21d94b36f8";
const task = `${id}.0.0.0`;
const maxAttempts = 4;
const failures = 3;
const workMs = 1500;
const finishMs = 25_000;
const stopGapMs = 1300;
const kept = route("r-kept", "/kept/");
const dropped = route("r-dropped", "/dropped/", maxAttempts);
const path = `/dropped/${id}`;
const body = { spec: "fold", steps: [{ count: 1, cpu: 1000, "mem-mb": 256, "estimate-ms": workMs }] };

void play(async isTroubled => {
    let runs = 0;
    const site = await Site.start({
        folder,
        entries: 3,
        workers: 4,
        planOf: (name, run) => {
            runs = Math.max(runs, run);
            return name === task
                ? {
                    needs: { cpu: 1000, "mem-mb": 256 },
                    workMs,
                    how: run <= failures ? "failed" : "done",
                }
                : undefined;
        },
    }, manifestOf(1, [kept, dropped]));
    try {
        const submitted = await site.call(site.entries[0]!, "POST", path, body);
        if (submitted.status !== 200) {
            throw new Error(`the submission was answered ${submitted.status}`);
        }
        await site.until(finishMs, () => runs === failures);
        if (isTroubled) {
            site.configure(manifestOf(2, [kept]));
            const owner = site.owner!;
            owner.signal("SIGTERM");
            await pause(stopGapMs);
            await site.until(finishMs, () => owner.pid !== undefined && site.owner !== undefined);
            await pause(workMs);
            site.configure(manifestOf(3, [kept, dropped]));
        }
        let state = "";
        const deadline = performance.now() + finishMs;
        while (performance.now() < deadline && !["succeeded", "failed"].includes(state)) {
            await pause(500);
            for (const entry of site.entries) {
                const { status, body: answer } = await site.call(entry, "GET", path);
                state = status === 200 ? String(answer["state"]) : state;
            }
        }
        const ended = site.failuresOf(task);
        return state === "failed" && ended < maxAttempts
            ? [`LOST: ${id} is shown as failed after ${ended} ends \`failed\`, with max-attempts ${maxAttempts}`]
            : state === "succeeded"
            ? []
            : [`LOST: ${id} is "${state}" ${finishMs} ms after the disruption`];
    }
    finally {
        site.stop();
    }
});
