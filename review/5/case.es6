/** A tenant's cap is lowered by one manifest and set back by the next; its accepted submission has to run then. */
import { delay, playCase } from "../lib/site.es6";

const finishMs = 20_000;

await playCase({
    pools: [{ name: "bench", machines: 8 }],
    tenants: [{ name: "t1", "api-keys": ["k1aaaaaaaaaaaaaaaaaa"], priority: 1, weight: 50, cap: { cpu: 40_000, "mem-mb": 400_000, gpu: 0 } }],
}, async (site, hasTrouble) => {
    const step = { count: 4, cpu: 4000, "mem-mb": 1024, "estimate-ms": 1000 };
    const setCap = cpu => {
        site.tenants[0].cap.cpu = cpu;
        site.note(`operator: cap of t1 is ${cpu}`);
        site.writeConfig();
    };
    const states = id => site.until(finishMs, async () => ["succeeded", "failed"].includes(await site.state("bench", id)));
    // Fills the tenant's cap, so that the next submission waits.
    await site.submit("bench", "00000000000000a1", [{ ...step, count: 10, "estimate-ms": 6000 }], { workMs: 6000 });
    await delay(1500);
    await site.submit("bench", "00000000000000b1", [step]);
    await delay(1000);
    if (hasTrouble) {
        setCap(3000);
        await delay(3000);
        setCap(40_000);
    }
    await states("00000000000000a1");
    await states("00000000000000b1");
    const state = await site.state("bench", "00000000000000b1");
    const runs = [...site.tasks.keys()].filter(name => name.startsWith("00000000000000b1")).length;
    return state === "succeeded" ? undefined
        : `LOST: the submission is shown as ${state}, and ${runs} of its subtasks were ever started`;
});
