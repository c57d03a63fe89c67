/** Starts that wait in the owner's queue while what they rely on changes. */
import { describe, expect, test, vi } from "vitest";
import { EventId } from "../src/process/events.js";
import { sleep } from "../src/process/timer.js";
import { jobOf } from "../standin/site/site.js";
import { OwnerTenure } from "./owner-tenure.js";

/** Period of reading the list of workers, in milliseconds. */
const rosterMs = 400;
const msPerSecond = 1000;

/** An owner that sends 100 starts a second, so that the 160 of a batch wait for up to 1.6 s. */
function createSlowOwner(): OwnerTenure {
    const owner = OwnerTenure.create({
        costs: { sendMs: 5, readMs: 5, holdMs: 0.1, batchMs: 1, rowMs: 0 },
        workers: 24,
        storeLatencyFactor: 10,
        workMs: 5000,
    });
    owner.submit(40, jobOf({ tasks: 16, estimateMs: 5000 }));
    void owner.tenure.start();
    return owner;
}

describe("starts that wait for the answers of others", () => {
    test("are not sent to workers that have begun to drain since they were claimed", async () => {
        const owner = createSlowOwner();
        await owner.timer.advance(1500);
        const drainedFrom = owner.timer.now();
        const draining = new Set(
            owner["workers"].slice(0, 12).map(worker => {
                worker.isDraining = true;
                return worker.id;
            }),
        );
        const { calls } = owner.tenure.options;
        const start = calls.start.bind(calls);
        const startsMs: number[] = [];
        vi.spyOn(calls, "start").mockImplementation((target, request) => {
            if (draining.has(target.worker)) {
                startsMs.push(owner.timer.now() - drainedFrom);
            }
            return start(target, request);
        });
        await owner.timer.advance(5000);
        expect(startsMs.filter(ms => ms > rosterMs)).toEqual([]);
        expect(owner.checker.violations).toEqual([]);
    });

    test("are not sent to a pool that their queue has left since they were claimed", async () => {
        const owner = createSlowOwner();
        await owner.timer.advance(1500);
        expect(owner.tenure["runController"].queuedStartCount).toBeGreaterThan(0);
        const { options } = owner.tenure;
        const directory = options.directory()!;
        const queues = directory.queues.map(queue => ({ ...queue, pool: "other" }));
        vi.spyOn(options, "directory").mockReturnValue({ ...directory, queues });
        const start = vi.spyOn(options.calls, "start");
        await owner.timer.advance(3000);
        expect(start).not.toHaveBeenCalled();
        expect(owner.tenure["runController"].queuedStartCount).toBe(0);
    });

    test("are left to the next owner when the tenure ends, and not recorded as lost", async () => {
        const owner = createSlowOwner();
        await owner.timer.advance(1500);
        expect(owner.tenure["runController"].queuedStartCount).toBeGreaterThan(0);
        owner.tenure.end();
        const write = vi.spyOn(owner.tenure.options.log, "write");
        await owner.timer.advance(3000);
        const endedRuns = write.mock.calls.filter(([, event]) => event === EventId.RunEnded);
        expect(endedRuns).toEqual([]);
    });
});

describe("an owner with processor time to spare whose workers are on a slow link", () => {
    test.each([60, 120])("starts 500 tasks a second of a burst, though answers take %d ms", async linkMs => {
        const owner = OwnerTenure.create({
            costs: { sendMs: 0.05, readMs: 0.05, holdMs: 0.05, batchMs: 0.1, rowMs: 0.01 },
            workers: 60,
        });
        const { calls } = owner.tenure.options;
        const start = calls.start.bind(calls);
        vi.spyOn(calls, "start").mockImplementation(async (target, request) => {
            const result = await start(target, request);
            await sleep(owner.timer, linkMs);
            return result;
        });
        const tasks = 1500;
        owner.submit(tasks / 10, jobOf({ tasks: 10, estimateMs: 1000 }));
        void owner.tenure.start();
        await owner.timer.advance(20_000);
        const [firstMs] = owner.startedAt;
        expect(owner.uncertainStarts).toBe(0);
        expect(owner.startedAt).toHaveLength(tasks);
        expect(owner.startedAt.at(-1)! - firstMs!).toBeLessThanOrEqual(tasks / 500 * msPerSecond + 600);
    });
});
