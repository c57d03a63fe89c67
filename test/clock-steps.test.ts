/** Wall clocks that are wrong by minutes or jump: jobs are placed by their real age. */
import { describe, expect, test } from "vitest";
import { jobOf, StandinSite } from "../standin/site/site.js";

const lists = { version: 1, queues: [{}] };
const fortyMinutesMs = 40 * 60 * 1000;
/** Needs a whole worker for each task, so that a job of this kind fills the pool. */
const wholeWorker = { cpu: 32_000, memory: 1, accelerators: 0 };

describe.each([-fortyMinutesMs, fortyMinutesMs])("a wall clock that is off by %i ms", offsetMs => {
    /** Urgency of a waiting job behind one that fills the pool. */
    async function urgencyOfWaitingJob(
        prepare: (site: StandinSite) => void,
        afterwards: (site: StandinSite) => void,
    ) {
        const site = StandinSite.create();
        await site.start(lists);
        prepare(site);
        const entry = site.entries.find(each => each !== site.owner())!;
        await site.runUntilSettled(
            site.submit(entry, "fill", jobOf({ tasks: 4, needs: wholeWorker }), { workMs: 2000 }),
        );
        await site.timer.advance(200);
        await site.runUntilSettled(site.submit(entry, "waits", jobOf({ needs: wholeWorker })));
        await site.timer.advance(200);
        afterwards(site);
        const explained = await site.runUntilSettled(
            site.owner()!.core.domain.ownerClient.explain("waits"),
        );
        return explained?.urgency;
    }

    test("at the entry that accepts a job does not change its place", async () => {
        const prepare = (site: StandinSite): void => {
            site.entries.filter(entry => entry !== site.owner()).forEach(({ timer }) => {
                timer.wallOffsetMs = offsetMs;
            });
        };
        expect(await urgencyOfWaitingJob(prepare, () => undefined)).toBe("OnTime");
    });

    test("since a jump at the owner does not change the place of a job that waits", async () => {
        const jump = (site: StandinSite): void => {
            site.owner()!.timer.wallOffsetMs = offsetMs;
        };
        expect(await urgencyOfWaitingJob(() => undefined, jump)).toBe("OnTime");
    });
});
