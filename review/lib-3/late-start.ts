/**
 * A worker leaves a start unanswered and carries it out 3 s later; in between it crashes and starts again under its id. The
 * subtask has been started elsewhere by then.
 */
import { setTimeout as pause } from "node:timers/promises";
import { manifestOf, play, route, Site } from "./site.js";

const folder = process.argv[2] ?? ".";
const id = "1f0e9d8c7b6a5948";
const task = `${id}.0.0.0`;
const path = `/bench/${id}`;
const workMs = 8000;
const lateMs = 3000;
const crashAfterMs = 2500;
const downMs = 400;
const silentMs = 700;
const finishMs = 15_000;
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
            setTimeout(() => void site.restart(worker, downMs, silentMs), crashAfterMs);
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
