/**
 * A worker leaves a start unanswered and carries it out 6 s later. It is cut off from entries and store right after the order has
 * arrived, and crashes and starts again under its id behind the cut.
 */
import { setTimeout as pause } from "node:timers/promises";
import { manifestOf, play, route, Site } from "./site.js";

const folder = process.argv[2] ?? ".";
const id = "2a4c6e8091b3d5f7";
const task = `${id}.0.0.0`;
const path = `/bench/${id}`;
const workMs = 8000;
const lateMs = 6000;
const cut = { ms: 9000, crashAfterMs: 1500, downMs: 500 };
const finishMs = 22_000;
const step = { count: 1, cpu: 1000, "mem-mb": 256, "estimate-ms": workMs };

void play(async isTroubled => {
    let isHeldUp = false;
    const site: Site = await Site.start({
        folder,
        entries: 3,
        workers: 7,
        planOf: () => ({ needs: { cpu: 1000, "mem-mb": 256 }, workMs, how: "done" }),
        startDelayMs: (worker, name) => {
            if (!isTroubled || isHeldUp || name !== task) {
                return 0;
            }
            isHeldUp = true;
            void site.cutOffWorker(worker, cut);
            return lateMs;
        },
    }, manifestOf(1, [route("r-bench", "/bench/")]));
    try {
        const submitted = await site.call(site.entries[0]!, "POST", path, { spec: "fold", steps: [step] });
        if (submitted.status !== 200) {
            throw new Error(`the submission was answered ${submitted.status}`);
        }
        await pause(finishMs);
        await site.call(site.entries[1]!, "GET", path);
        return site.breaches;
    }
    finally {
        site.stop();
    }
});
