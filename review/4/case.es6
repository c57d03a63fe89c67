/**
 * Racks of a service go dark one after the other while the start orders of a submission are on their way to them. None of its
 * subtasks has ended `failed`, so it has to run on the racks that are up.
 */
import { delay, playCase } from "../lib/site.es6";

const darkMs = 5400;
const id = "00000000000000a1";

await playCase({
    pools: [{ name: "bench", machines: 20 }],
    tenants: [{ name: "t1", "api-keys": ["k1aaaaaaaaaaaaaaaaaa"], priority: 1, weight: 50, cap: { cpu: 0, "mem-mb": 0, gpu: 0 } }],
}, async (site, hasTrouble) => {
    const step = { count: 12, cpu: 16_000, "mem-mb": 1024, "estimate-ms": 1000 };
    let unanswered = 0;
    const darken = async rack => {
        let first;
        const begun = new Promise(resolve => first = resolve);
        site.darken(rack, darkMs, ({ body }) => {
            if (body.task !== undefined && body.spec !== undefined) {
                site.note(`${body.task} run ${body.run}: start order to a dark worker of ${rack}, not answered`);
                unanswered++;
                first();
            }
        });
        await Promise.race([begun, delay(2000)]);
    };
    if (hasTrouble) {
        setTimeout(async () => {
            await darken("r1-0");
            await delay(3300);
            await darken("r1-1");
            await delay(3300);
            await darken("r1-2");
        }, 1000);
    }
    await delay(1200);
    await site.submit("bench", id, [step]);
    await site.until(30_000, async () => ["succeeded", "failed"].includes(await site.state("bench", id)));
    const state = await site.state("bench", id);
    const runs = [...site.tasks.values()].flatMap(({ starts }) => starts).length;
    const failed = [...site.tasks.values()].flatMap(({ ends }) => ends).filter(({ how }) => how === "failed").length;
    return state === "succeeded" ? undefined
        : `LOST: the submission is shown as ${state}; of its runs ${runs} ever began, ${failed} ended failed; ${unanswered} start orders got no answer`;
});
