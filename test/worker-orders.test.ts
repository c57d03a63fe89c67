/** Orders to workers at the end of an owner's permission. */
import { expect, test } from "vitest";
import { StandinSite } from "../standin/site/site.js";

test("a run without a record is not stopped on the answer to a hold that outlasted the owner's permission", async () => {
    const site = StandinSite.create({ entries: 1, vmsPerPool: 1 });
    await site.start({ version: 1, queues: [{}] });
    const { tenure } = site.owner()!.core.domain;
    const worker = site.workers[0]!;
    const unknownRun = { task: "gone.0.0.0", run: 1, saved: "", percent: 0, reading: 0 };
    const hold = worker.hold.bind(worker);
    worker.hold = (request, answer) =>
        hold(
            request,
            result =>
                answer(
                    result.kind === "held" ? { ...result, running: [...result.running, unknownRun] } : result,
                ),
        );
    const stoppedAt: number[] = [];
    const stop = worker.stop.bind(worker);
    worker.stop = (...args) => {
        stoppedAt.push(site.timer.now());
        return stop(...args);
    };
    await site.timer.advance(3000);
    expect(stoppedAt).not.toEqual([]);
    site.rows.faults.isUnresponsive = true;
    while (tenure!.mayOrder()) {
        await site.timer.advance(1);
    }
    const endedAt = site.timer.now();
    await site.timer.advance(3000);
    expect(stoppedAt.filter(at => at > endedAt + 1)).toEqual([]);
});
