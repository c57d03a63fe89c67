/**
 * The only machine of a kind is taken away at short notice, and another one comes 4 s later. In between a submission that
 * requires the kind is accepted, and the entries restart in turn.
 */
import { setTimeout as pause } from "node:timers/promises";
import { manifestOf, play, route, Site } from "./site.js";

const folder = process.argv[2] ?? ".";
const id = "7ab1c04e6f3d2295";
const path = `/bench/${id}`;
const kind = "b";
const workMs = 1000;
const noticeMs = 2000;
const laterMs = 4000;
const settleMs = 3000;
const finishMs = 25_000;
const step = { count: 2, cpu: 1000, "mem-mb": 256, "estimate-ms": workMs, requires: kind };

void play(async isTroubled => {
    const site = await Site.start({
        folder,
        entries: 3,
        workers: 5,
        spares: 2,
        kindOf: machine => machine === 0 ? kind : "a",
        planOf: () => ({ needs: { cpu: 1000, "mem-mb": 256 }, workMs, how: "done" }),
    }, manifestOf(1, [route("r-bench", "/bench/")]));
    try {
        await pause(settleMs);
        if (isTroubled) {
            await site.takeAway("m-0", noticeMs, laterMs);
        }
        const submitted = await site.call(site.entries[0]!, "POST", path, { spec: "fold", steps: [step] });
        if (submitted.status !== 200) {
            throw new Error(`the submission was answered ${submitted.status}`);
        }
        if (isTroubled) {
            site.owner!.signal("SIGTERM");
        }
        let state = "";
        const deadline = performance.now() + finishMs;
        while (performance.now() < deadline && !["succeeded", "failed"].includes(state)) {
            await pause(500);
            for (const entry of site.entries) {
                const { status, body } = await site.call(entry, "GET", path);
                state = status === 200 ? String(body["state"]) : state;
            }
        }
        if (state === "failed") {
            // The other machine has come by then: the state is final.
            await pause(noticeMs + 2 * laterMs);
            const { body } = await site.call(site.entries[1]!, "GET", path);
            state = String(body["state"]);
        }
        return state === "succeeded"
            ? []
            : [`LOST: ${id} is shown as "${state}" without a run, although a machine of kind ${kind} is up`];
    }
    finally {
        site.stop();
    }
});
