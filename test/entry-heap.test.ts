/** An entry with the command of the deploy file, whose heap is small, beside large jobs. */
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, expect, test } from "vitest";
import { DeployedSite } from "../bench/deployed-site.js";
import { jobOf } from "../standin/site/site.js";

const needs = { cpu: 500, memory: 50, accelerators: 0 };
const large = jobOf(...Array.from({ length: 64 }, () => ({ tasks: 10_000, needs, estimateMs: 300 })));
const small = jobOf({ tasks: 2, needs, estimateMs: 300 });
const workMs = 300;

let site: DeployedSite | undefined;

afterEach(async () => {
    await site?.end();
    site = undefined;
});

describe("an owner in a process of its own", () => {
    // Guards against: a submission of 5 KB that fills the heap of each owner in turn, so that no other job is done (review/6).
    test("serves other jobs beside one of 640,000 tasks, also after a takeover", async () => {
        site = await DeployedSite.start({ entries: 1, workers: 4 });
        const { ownEnds } = site;
        expect(await site.submit(0, large, workMs)).toBe(200);
        await pause(500);
        expect(await site.submit(1, small, workMs)).toBe(200);
        expect(await site.waitUntil(async () => await site!.stateOf(1) === "succeeded", 5000)).toBe(true);
        site.killEntries();
        await site.waitUntil(async () => await site!.stateOf(0) === "running", 15_000);
        expect(await site.submit(2, small, workMs)).toBe(200);
        expect(await site.waitUntil(async () => await site!.stateOf(2) === "succeeded", 10_000)).toBe(true);
        expect(await site.cancel(0)).toBe(200);
        expect(await site.waitUntil(async () => await site!.stateOf(0) === "cancelled", 3000)).toBe(true);
        expect(ownEnds).toEqual([]);
    }, 60_000);
});
