/** A worker is lost for good on which the policy of a queue allowed its steps; other allowed workers are idle. */
import { delay, playCase } from "../lib/site.es6";

const finishMs = 20_000;
const allowed = ["m-1002", "m-1024", "m-1025"];

await playCase({
    pools: [{ name: "bench", machines: 40 }],
    tenants: [{
        name: "t1",
        "api-keys": ["k1aaaaaaaaaaaaaaaaaa"],
        priority: 1,
        weight: 50,
        cap: { cpu: 0, "mem-mb": 0, gpu: 0 },
    }],
    advice: { decideMs: 20, eachMs: 2, validMs: 3000, allows: id => allowed.includes(id) },
}, async (site, hasTrouble) => {
    const step = { count: 2, cpu: 1000, "mem-mb": 256, "estimate-ms": 1000 };
    const isDone = id => site.until(finishMs, async () => await site.state("bench", id) === "succeeded");
    await site.submit("bench", "00000000000000a1", [step]);
    if (!await isDone("00000000000000a1")) {
        throw new Error("the first submission was not done");
    }
    if (hasTrouble) {
        site.crash(site.machines.find(({ id }) => id === "m-1002"));
    }
    await delay(8000);
    await site.submit("bench", "00000000000000b1", [step]);
    const done = await isDone("00000000000000b1");
    const idle = site.machines.filter(({ id, worker }) => allowed.includes(id) && worker.isAlive && worker.runs.size === 0);
    return done ? undefined
        : `LOST: accepted, and nothing of it runs ${finishMs / 1000} s later; allowed workers that are up and idle: ${idle.length}`;
});
