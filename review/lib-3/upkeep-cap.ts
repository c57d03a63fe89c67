/** A wave with cap 1; the owner is cut off while its order for one of the machines is on its way. */
import { setTimeout as pause } from "node:timers/promises";
import { manifestOf, play, route, Site } from "./site.js";

const folder = process.argv[2] ?? ".";
const cutMs = 1300;
const waveSeconds = 26;
const settleMs = 6000;

void play(async isTroubled => {
    let isArmed = false;
    const site: Site = await Site.start({
        folder,
        entries: 3,
        workers: 4,
        spares: 6,
        planOf: () => undefined,
        onInventoryCall: (entry, text) => {
            if (isArmed && text.startsWith("POST /v1/machine-upkeep")) {
                isArmed = false;
                site.cutOff(site.entries.find(({ name }) => name === entry)!, cutMs);
            }
        },
    }, manifestOf(1, [route("r-bench", "/bench/")]));
    try {
        await pause(settleMs);
        isArmed = isTroubled;
        site.orderWave(1, site.machines.slice(2, 8).map(({ name }) => name), waveSeconds, 1);
        const deadline = performance.now() + waveSeconds * 1000;
        while (performance.now() < deadline && !site.isWaveDone(1)) {
            await pause(200);
        }
        return site.breaches;
    }
    finally {
        site.stop();
    }
});
