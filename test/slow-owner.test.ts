/** Starts of an owner that is short of processor time, and of one whose store is slow. */
import { describe, expect, test } from "vitest";
import { jobOf } from "../standin/site/site.js";
import { OwnerTenure } from "./owner-tenure.js";

const msPerSecond = 1000;

describe("an owner short of processor time", () => {
    test("starts a backlog without sending more than it can read the answers of in time", async () => {
        const owner = OwnerTenure.create({
            // A batch of 64 starts takes 256 ms of the owner's time, more than the time limit of 200 ms of each of them.
            costs: { sendMs: 2, readMs: 2, holdMs: 0.5, batchMs: 1, rowMs: 0.2 },
            workers: 24,
            queue: { stretch: 2, objectiveMs: 6000 },
        });
        const job = jobOf({ tasks: 6, estimateMs: 1000 });
        // 2.4 s of the owner's time for their starts, and room for all of them.
        owner.submit(100, job);
        void owner.tenure.start();
        // 30 starts a second take 0.12 of the owner's time.
        for (let i = 0; i < 50; i++) {
            await owner.timer.advance(200);
            owner.submit(1, job);
        }
        await owner.timer.advance(10_000);
        expect.soft(owner.uncertainStarts / owner.starts).toBeLessThanOrEqual(0.1);
        expect.soft(owner.onTimeShare()).toBeGreaterThanOrEqual(0.9);
        expect(owner.checker.violations).toEqual([]);
    });
});

describe("an owner that was short of processor time", () => {
    test("starts 500 tasks a second of a burst as soon as it is no longer", async () => {
        const costs = { sendMs: 2, readMs: 2, holdMs: 0.5, batchMs: 1, rowMs: 0.2 };
        const owner = OwnerTenure.create({ costs, workers: 60, queue: { stretch: 2, objectiveMs: 6000 } });
        const job = jobOf({ tasks: 6, estimateMs: 1000 });
        owner.submit(20, job);
        void owner.tenure.start();
        for (let i = 0; i < 20; i++) {
            await owner.timer.advance(200);
            owner.submit(2, job);
        }
        Object.assign(costs, { sendMs: 0.05, readMs: 0.05, holdMs: 0.05, batchMs: 0.1, rowMs: 0.01 });
        const from = owner.timer.now();
        const tasks = 1500;
        owner.submit(tasks / 6, job);
        await owner.timer.advance(10_000);
        expect(owner.onTimeShare()).toBe(1);
        expect(owner.startedAt.at(-1)! - from).toBeLessThanOrEqual(tasks / 500 * msPerSecond + 500);
        expect(owner.checker.violations).toEqual([]);
    });
});

describe("an owner with processor time to spare whose store takes 300 ms for a batch", () => {
    test("starts 500 tasks a second of a burst", async () => {
        const owner = OwnerTenure.create({
            costs: { sendMs: 0.05, readMs: 0.05, holdMs: 0.05, batchMs: 0.1, rowMs: 0.01 },
            workers: 60,
            storeLatencyFactor: 25,
        });
        const tasks = 1500;
        owner.submit(tasks / 10, jobOf({ tasks: 10, estimateMs: 1000 }));
        void owner.tenure.start();
        await owner.timer.advance(10_000);
        expect(owner.uncertainStarts).toBe(0);
        // The first two batches show how long the store takes.
        const [firstMs] = owner.startedAt;
        const lastMs = owner.startedAt.at(-1)!;
        expect(owner.startedAt).toHaveLength(tasks);
        expect(lastMs - firstMs!).toBeLessThanOrEqual(tasks / 500 * msPerSecond + 600);
        expect(owner.checker.violations).toEqual([]);
    });
});
