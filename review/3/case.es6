/** A submission waits for a machine that is on its way; the owner's process is killed meanwhile. The submission has to run. */
import { delay, playCase } from "../lib/site.es6";

const finishMs = 20_000;

await playCase({
    pools: [
        { name: "bench", machines: 4 },
        { name: "office", machines: 4, spare: true, label: "b" },
    ],
    tenants: [{ name: "t1", "api-keys": ["k1aaaaaaaaaaaaaaaaaa"], priority: 1, weight: 50, cap: { cpu: 0, "mem-mb": 0, gpu: 0 } }],
}, async (site, hasTrouble) => {
    const step = { count: 2, cpu: 1000, "mem-mb": 256, "estimate-ms": 1000 };
    const states = id => site.until(finishMs, async () => ["succeeded", "failed"].includes(await site.state("bench", id)));
    await site.submit("bench", "00000000000000a1", [step]);
    await states("00000000000000a1");
    await delay(3000);
    const owner = await site.owner();
    await site.submit("bench", "00000000000000b1", [{ ...step, requires: "b" }]);
    await delay(500);
    if (hasTrouble) {
        site.signal(owner, "SIGKILL");
    }
    await states("00000000000000b1");
    const state = await site.state("bench", "00000000000000b1");
    const runs = [...site.tasks.keys()].filter(name => name.startsWith("00000000000000b1")).length;
    return state === "succeeded" ? undefined
        : `LOST: the submission is shown as ${state}, and ${runs} of its subtasks were ever started`;
});
