/** A large submission comes; what other clients have submitted before and after it has to run, and the large one too. */
import { delay, playCase } from "../lib/site.es6";

const finishMs = 25_000;
const [first, lasting, large, small] = ["a1", "d1", "c1", "b1"].map(end => `00000000000000${end}`);

await playCase({
    pools: [{ name: "bench", machines: 10 }],
    tenants: [{
        name: "t1",
        "api-keys": ["k1aaaaaaaaaaaaaaaaaa"],
        priority: 1,
        weight: 50,
        cap: { cpu: 0, "mem-mb": 0, gpu: 0 },
    }],
}, async (site, hasTrouble) => {
    const step = { count: 4, cpu: 500, "mem-mb": 256, "estimate-ms": 1000 };
    const isDone = (id, ms) => site.until(ms, async () => await site.state("bench", id) === "succeeded");
    const namesOf = id => [...site.tasks.keys()].filter(name => name.startsWith(id));
    await site.submit("bench", first, [step]);
    await site.submit("bench", lasting, [{ count: 2, cpu: 500, "mem-mb": 256, "long-running": true }]);
    if (!await isDone(first, 20_000)) {
        throw new Error("the first submission was not done");
    }
    const count = hasTrouble ? 2000 : 20;
    await site.submit("bench", large, [{ count, cpu: 100, "mem-mb": 50, "estimate-ms": 5000 }], { workMs: 5000 });
    await delay(5000);
    await site.submit("bench", small, [step]);
    const isSmallDone = await isDone(small, finishMs);
    const isLargeDone = await isDone(large, 10_000);
    const refusals = [...site.store.refusals].map(([reason, calls]) => `${reason} (${calls} calls)`);
    site.note(`store: refused because of its limits: ${refusals.join("; ") || "none"}`);
    const lastingAtWork = namesOf(lasting).filter(name => site.taskOf(name).worker !== undefined).length;
    site.note(`${namesOf(large).length} subtasks of the large submission were started`);
    site.note(`${lastingAtWork} of 2 subtasks that last are at work`);
    const broken = [
        !isSmallDone && `of the small submission ${namesOf(small).length} of 4 subtasks were started in ${finishMs / 1000} s`,
        !isLargeDone && `the large one stands still after ${namesOf(large).length} of ${count}`,
        lastingAtWork < 2 && `${lastingAtWork} of 2 subtasks that last are at work`,
    ].filter(Boolean);
    return broken.length === 0 ? undefined : `LOST: ${broken.join("; ")}`;
});
