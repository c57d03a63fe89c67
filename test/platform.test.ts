import { connect } from "node:net";
import { afterAll, beforeAll, describe, expect, test } from "vitest";
import { decodeManifest } from "../platform/lists.js";
import { PlatformWorkerClient } from "../platform/workers.js";
import { JsonHttpClient } from "../src/connection/json-http-client.js";
import { RunEnd } from "../src/job/index.js";
import { fenceRangeOf, fencesPerTenure } from "../src/pool/ownership.js";
import { StartStatus } from "../src/pool/records.js";
import { EventId } from "../src/process/events.js";
import { type LogFields } from "../src/process/log.js";
import { parseSiteSettings } from "../src/process/site-settings.js";
import { SystemTimer } from "../src/process/timer.js";
import type { SiteEntry } from "../src/site-entry.js";
import { jobOf } from "../standin/site/site.js";
import { WirePlatform } from "../standin/wire/platform.js";
import { createEntry, waitUntil } from "./platform-entry.js";

const manifest = {
    version: 3,
    routes: [
        { name: "r1", host: "Jobs.Example", "path-prefix": "/open/", service: "bench", anonymous: true },
        { name: "r2", host: "jobs.example", "path-prefix": "/keyed/", service: "bench", "max-attempts": 2 },
    ],
    services: [{ name: "bench", "admission-check": true }, { name: "office", headroom: true }],
    tenants: [{ name: "t1", "api-keys": ["k1"], weight: 5, cap: { cpu: 9000, "mem-mb": 0, gpu: 0 } }],
};

interface LoggedEvent {
    readonly event: EventId;
    readonly fields: LogFields;
}

/** Time for which an entry waits for the answer to a start. */
const startTimeoutMs = 200;

/** Keeps the process from doing anything else. */
function blockEventLoop(ms: number): void {
    const end = performance.now() + ms;
    while (performance.now() < end) {
        // Nothing to do.
    }
}

/**
 * The claimed runs, as `task/run`, and those of them that are neither the first of their task nor follow a run that
 * was refused, had an uncertain start, was not sent, lapsed on the worker, or was claimed by an owner before.
 */
function claimsOf(events: readonly LoggedEvent[]) {
    const names = new Set<string>();
    const unexplained: string[] = [];
    const last = new Map<unknown, { readonly run: number; isReplaceable: boolean }>();
    for (const { event, fields } of events) {
        const { task, run } = fields;
        const claimed = last.get(task);
        if (event === EventId.OwnerTaken) {
            last.forEach(each => each.isReplaceable = true);
        }
        else if (event === EventId.RunClaimed) {
            const isExpected = claimed === undefined
                ? run === 1
                : run === claimed.run + 1 && claimed.isReplaceable;
            if (!isExpected) {
                unexplained.push(`${String(task)}/${String(run)}`);
            }
            names.add(`${String(task)}/${String(run)}`);
            last.set(task, { run: Number(run), isReplaceable: false });
        }
        else if (claimed?.run === run && endsClaim(event, fields)) {
            claimed!.isReplaceable = true;
        }
    }
    return { names, unexplained };
}

function fencesOf(events: readonly LoggedEvent[], kind: EventId): ReadonlySet<number> {
    return new Set(events.filter(({ event }) => event === kind).map(({ fields }) => Number(fields["fence"])));
}

function endsClaim(event: EventId, { start, how }: LogFields): boolean {
    return event === EventId.RunUncertain || event === EventId.RunRefused
        || (event === EventId.RunEnded && (start === StartStatus.Recorded || how === RunEnd.Lapsed));
}

describe("an entry with the platform adapter", () => {
    const platform = WirePlatform.create({ pool: "bench", workers: 2 });
    const entries: SiteEntry[] = [];
    /** Events of all entries, in order. */
    const logged: LoggedEvent[] = [];
    const callerUrls: string[] = [];
    const metricsAddresses: string[] = [];

    beforeAll(async () => {
        await platform.start();
        platform.writeOperatorRow("config", manifest);
        for (const name of ["e1", "e2"]) {
            const { entry, callerUrl, metricsAddress } = await createEntry(platform, name, {}, {
                write: (_, event, fields = {}) => void logged.push({ event, fields }),
            });
            callerUrls.push(callerUrl);
            metricsAddresses.push(metricsAddress);
            entries.push(entry);
            await entry.start();
        }
        await waitUntil(() =>
            Promise.resolve(entries.every(({ core }) => core.lists.directory !== undefined))
        );
    });

    afterAll(async () => {
        await Promise.all(entries.map(entry => entry.stop()));
        await platform.stop();
    });

    async function call(
        method: string,
        path: string,
        options: { entry?: number; body?: unknown; key?: string } = {},
    ) {
        const { entry = 0, body, key } = options;
        const url = new URL(path, callerUrls[entry]);
        const { request } = await import("undici");
        const res = await request(url, {
            method: method as "GET",
            headers: { host: "jobs.example", ...(key !== undefined && { authorization: `Bearer ${key}` }) },
            ...(body !== undefined && { body: JSON.stringify(body) }),
        });
        const text = await res.body.text();
        return {
            status: res.statusCode,
            headers: res.headers,
            body: JSON.parse(text) as Record<string, unknown>,
        };
    }

    const job = { spec: "text", steps: [{ count: 3, cpu: 500, "mem-mb": 10, "estimate-ms": 100 }] };

    test("runs a submitted job and reports its state at every entry", async () => {
        const id = "00000000000000a1";
        platform.expectJob(id, jobOf({ tasks: 3 }));
        expect((await call("POST", `/open/${id}`, { body: job })).status).toBe(200);
        await waitUntil(async () =>
            (await call("GET", `/open/${id}`, { entry: 1 })).body["state"] === "succeeded"
        );
        expect((await call("GET", `/open/${id}`)).body).toEqual({ state: "succeeded" });
        expectJobRan(id, [`${id}.0.0.0`, `${id}.0.0.1`, `${id}.0.0.2`]);
    });

    test("stops a run whose start was answered too late before it starts the next one", async () => {
        const id = "00000000000000a3";
        platform.expectJob(id, jobOf({ tasks: 1 }), { workMs: 1000 });
        let isBlocked = false;
        for (const { incarnation } of platform.workers) {
            const start = incarnation.start.bind(incarnation);
            incarnation.start = request => {
                const result = start(request);
                if (!isBlocked) {
                    isBlocked = true;
                    blockEventLoop(startTimeoutMs + 100);
                }
                return result;
            };
        }
        const before = platform.checker.startCount;
        const body = { spec: "text", steps: [{ ...job.steps[0], count: 1 }] };
        expect((await call("POST", `/open/${id}`, { body })).status).toBe(200);
        await waitUntil(async () => (await call("GET", `/open/${id}`)).body["state"] === "succeeded");
        expect((await call("GET", `/open/${id}`)).body).toEqual({ state: "succeeded" });
        expect(platform.checker.startCount - before).toBeGreaterThan(1);
        expectJobRan(id, [`${id}.0.0.0`]);
    });

    /**
     * Checks that each task of a job succeeded exactly once, that all starts carried the right body, and that a task was
     * claimed once only unless the run before could not be relied on. On a busy machine a start may be answered too
     * late, and an owner that is too slow hands over; without such a cause in the log there is one start of each task,
     * as run 1 and with the first fencing token of the first owner's range.
     */
    function expectJobRan(id: string, tasks: readonly string[]): void {
        expect(platform.checker.violations).toEqual([]);
        const isOfJob = (task: unknown): boolean => String(task).startsWith(`${id}.`);
        expect(platform.checker.successes.filter(isOfJob).sort()).toEqual(tasks);
        const events = logged.filter(({ event, fields }) =>
            event === EventId.OwnerTaken || isOfJob(fields["task"])
        );
        expect(
            events.filter(({ event, fields }) => event === EventId.RunEnded && fields["how"] === RunEnd.Done)
                .map(({ fields }) => fields["task"]).sort(),
        ).toEqual(tasks);
        const claims = claimsOf(events);
        expect(claims.unexplained).toEqual([]);
        const fences = fencesOf(events, EventId.OwnerTaken);
        const given = new Set([
            ...fencesOf(logged.filter(({ fields }) => fields["cause"] === "slow"), EventId.OwnerReleased),
            ...fencesOf(logged, EventId.OwnerSuspected),
        ]);
        const firstFence = fencesPerTenure;
        expect([...fences].filter(fence => fence !== firstFence && !given.has(fence - fencesPerTenure)))
            .toEqual([]);
        // No worker starts again, so that the orders to all of them carry the first token of their owner's range.
        const tokens = new Set([...fences].map(fence => fenceRangeOf(fence).first));
        const starts = platform.calls.filter(({ path, body }) =>
            path === "/v1/run-start" && isOfJob(body["task"])
        ).map(({ body }) => body);
        expect(new Set(starts.map(({ task }) => task))).toEqual(new Set(tasks));
        const names = starts.map(({ task, run }) => `${String(task)}/${String(run)}`);
        expect(names.filter(name => !claims.names.has(name))).toEqual([]);
        expect(new Set(names).size).toBe(names.length);
        expect(starts.filter(({ spec, fence }) => spec !== "text" || !tokens.has(Number(fence))))
            .toEqual([]);
    }

    test("cancels a service and stops its tasks", async () => {
        const id = "00000000000000a2";
        platform.expectJob(id, jobOf({ tasks: 2, isService: true }));
        const service = {
            spec: "s",
            steps: [{ count: 2, cpu: 100, "mem-mb": 1, "long-running": true, "may-miss": 1 }],
        };
        expect((await call("POST", `/open/${id}`, { body: service })).status).toBe(200);
        await waitUntil(async () => (await call("GET", `/open/${id}`)).body["state"] === "running");
        expect((await call("DELETE", `/open/${id}`, { entry: 1 })).status).toBe(200);
        await waitUntil(async () => (await call("GET", `/open/${id}`)).body["state"] === "cancelled");
        expect((await call("GET", `/open/${id}`)).body).toEqual({ state: "cancelled" });
        await waitUntil(() => Promise.resolve(platform.calls.some(({ path }) => path === "/v1/run-stop")));
        expect(platform.calls.some(({ path }) => path === "/v1/run-stop")).toBe(true);
    });

    test("reports the trace of a job and the status of the entry to operators at every entry", async () => {
        const { request } = await import("undici");
        for (const metrics of metricsAddresses) {
            const explainResponse = await request(`http://${metrics}/v1/requests/00000000000000a2`);
            const { traces } = await explainResponse.body.json() as { traces: Record<string, unknown>[] };
            expect(traces[0]).toMatchObject({ phase: "cancelled", storedPhase: "cancelled", queue: "r1" });
            const status = await (await request(`http://${metrics}/v1/status`)).body.json();
            expect(status).toMatchObject({ ready: true, revision: 3, entries: ["e1", "e2"] });
            const text = await (await request(`http://${metrics}/metrics`)).body.text();
            expect(text).toContain("celerywind_lists_version 3");
        }
    });

    test.each([
        ["GET", "/open/00000000000000ff", {}, 410],
        ["DELETE", "/open/00000000000000ff", {}, 410],
        ["GET", "/nowhere/00000000000000ff", {}, 404],
        ["POST", "/open/short", { body: job }, 404],
        ["POST", "/open/00000000000000fe", { body: { spec: "x", steps: [] } }, 400],
        ["POST", "/open/00000000000000fe", { body: { spec: "x", steps: [{ count: 10_001 }] } }, 400],
        ["POST", "/open/00000000000000fe", { body: { spec: "x", steps: [{ count: 1, after: [0] }] } }, 400],
        ["POST", "/open/00000000000000fe", { body: { spec: "x", steps: [{ count: 1, cpu: 1e308 }] } }, 400],
        [
            "POST",
            "/open/00000000000000fe",
            { body: { spec: "x", steps: [{ count: 1 }], times: 2, "interval-ms": -1 } },
            400,
        ],
        ["GET", "/keyed/", {}, 401],
        ["GET", "/keyed/", { key: "k2" }, 401],
        ["GET", "/keyed/", { key: "k1" }, 200],
        ["GET", "/open/", { entry: 1 }, 200],
    ])("answers %s %s %o with %i", async (method, path, options, status) => {
        expect((await call(method, path, options)).status).toBe(status);
    });

    test("counts the pending jobs of a queue", async () => {
        expect((await call("GET", "/open/")).body).toEqual({ pending: 0 });
    });

    describe("with the native /v1 paths", () => {
        const jobPath = "/v1/queues/r1/jobs/step-job-1";
        const steps = [
            { tasks: 2, needs: { cpu: 500, memory: 10 } },
            { tasks: 1, needs: { cpu: 500, memory: 10 }, after: [0] },
        ];

        test("accepts a job of several steps once, runs it and reports its phase at every entry", async () => {
            platform.expectJob("step-job-1", jobOf({ tasks: 2 }, { tasks: 1, after: [0] }));
            expect((await call("PUT", jobPath, { body: { payload: "text", steps } })).status).toBe(201);
            expect((await call("PUT", jobPath, { body: { payload: "text", steps }, entry: 1 })).status).toBe(
                200,
            );
            await waitUntil(async () =>
                (await call("GET", jobPath, { entry: 1 })).body["phase"] === "succeeded"
            );
            expect((await call("GET", jobPath)).body).toEqual({ id: "step-job-1", phase: "succeeded" });
            expectJobRan("step-job-1", ["step-job-1.0.0.0", "step-job-1.0.0.1", "step-job-1.0.1.0"]);
        });

        test("cancels a job", async () => {
            const path = "/v1/queues/r1/jobs/step-job-2";
            platform.expectJob("step-job-2", jobOf({ tasks: 1, isService: true }));
            const service = { steps: [{ ...steps[0], tasks: 1, isService: true }] };
            expect((await call("PUT", path, { body: service })).status).toBe(201);
            expect((await call("DELETE", path)).body).toEqual({ id: "step-job-2", phase: "cancelled" });
            await waitUntil(async () => (await call("GET", path)).body["phase"] === "cancelled");
            expect((await call("GET", path, { entry: 1 })).body["phase"]).toBe("cancelled");
        });

        test.each([
            ["GET", "/v1/queues/r1", {}, 200, { queue: "r1", pending: 0 }],
            ["GET", "/v1/queues/r9", {}, 404, { outcome: "not-run", reason: "no-such-queue" }],
            ["GET", "/v1/queues/r2", { key: "k9" }, 401, { outcome: "not-run", reason: "bad-key" }],
            ["GET", "/v1/queues/r1/jobs/none", {}, 404, { outcome: "not-run", reason: "no-such-job" }],
            ["POST", "/v1/queues/r1/jobs/j", {}, 405, {
                outcome: "not-run",
                reason: "use-put-get-or-delete",
            }],
            ["PUT", "/v1/queues/r1/jobs/j", { body: { steps: [] } }, 400, {}],
            [
                "PUT",
                "/v1/queues/r1/jobs/j",
                { body: { steps: [{ ...steps[0], after: [0] }] } },
                400,
                {
                    outcome: "not-run",
                    reason: "steps: a step may only come after steps that are listed before it",
                },
            ],
        ])("answers %s %s %o with %i", async (method, path, options, status, body) => {
            const answer = await call(method, path, options);
            expect(answer.status).toBe(status);
            expect(answer.body).toMatchObject(body);
        });
    });

    test("reports a wave to the operator as running, then as succeeded", async () => {
        platform.orderWave(4, ["m-w-0", "m-w-1"], 4, 1);
        await waitUntil(() => Promise.resolve(platform.waveStatusOf(4) !== undefined));
        expect(JSON.parse(platform.waveStatusOf(4)!)).toEqual({ state: "running" });
        await waitUntil(() => Promise.resolve(platform.waveStatusOf(4)?.includes("succeeded") === true));
        expect(JSON.parse(platform.waveStatusOf(4)!)).toEqual({ state: "succeeded" });
    });
});

describe("the manifest", () => {
    test("is decoded into queues, pools, teams and keys", () => {
        const directory = decodeManifest(JSON.stringify(manifest))!;
        expect(directory.version).toBe(3);
        expect(directory.queues[0]).toMatchObject({
            host: "jobs.example",
            pool: "bench",
            isOpen: true,
            maxAttempts: 4,
        });
        expect(directory.queues[1]).toMatchObject({ isOpen: false, maxAttempts: 2, needsAdvice: false });
        expect(directory.pools.get("office")?.isSpare).toBe(true);
        expect(directory.teams.get("t1")).toMatchObject({ weight: 5, cap: { cpu: 9000, memory: 0 } });
        expect(directory.keys.get("k1")).toBe("t1");
    });

    test.each(["", "{", "{}", "[]", '{"version":"1"}'])("that is malformed (%s) is rejected", text => {
        expect(decodeManifest(text)).toBeUndefined();
    });
});

describe("site settings", () => {
    const validSettings = {
        entry: "e",
        callers: "10.0.0.1:80",
        readiness: "10.0.0.1:81",
        metrics: "10.0.0.1:82",
        peers: { listen: "10.0.0.1:83", secret: "0123456789abcdef" },
        store: "10.0.0.2:80",
    };

    test.each([
        [{ callers: "nowhere" }, /callers: found "nowhere"; give host and port/],
        [{ callers: "h:65536" }, /callers: found "h:65536"; give host and port.* a port from 0 to 65535/],
        [{ metrics: "h:http" }, /metrics: found "h:http"; give host and port/],
        [{ inventory: "h:70000" }, /inventory: found "h:70000"; give host and port/],
        [
            { peers: { listen: "h:99999", secret: "0123456789abcdef" } },
            /peers\.listen: found "h:99999"; give host/,
        ],
        [{ peers: { listen: "h:1", secret: "x" } }, /peers\.secret: found "x"; give the shared secret/],
        [{ entry: undefined }, /entry: found nothing; give this VM's id/],
        [{ times: { leaseMs: 0 } }, /times\.leaseMs/],
    ])("%o are rejected with the path, the value found and the remedy", (change, message) => {
        expect(() => parseSiteSettings("s.jsonc", JSON.stringify({ ...validSettings, ...change }))).toThrow(
            message,
        );
    });

    test.each([["215.0", 215], ["", 64], [undefined, 64]])(
        "parse the VM order rate %o as %i",
        (vmOrdersPerS, rate) => {
            const text = JSON.stringify({ ...validSettings, bounds: { vmOrdersPerS } });
            expect(parseSiteSettings("s.jsonc", text).bounds.vmOrdersPerS).toBe(rate);
        },
    );

    test("allow comments", () => {
        expect(parseSiteSettings("s.jsonc", `// a comment\n${JSON.stringify(validSettings)}`).entry).toBe(
            "e",
        );
    });
});

describe("an entry that owns the domain", () => {
    const graceMs = 3000;
    const platform = WirePlatform.create({ pool: "bench", workers: 2 });

    beforeAll(async () => {
        await platform.start();
        platform.writeOperatorRow("config", manifest);
    });

    afterAll(() => platform.stop());

    test("stops within the grace although store and peers are silent and an end is not stored", async () => {
        const { entry, peerPort } = await createEntry(platform, "e1", { bounds: { graceMs } });
        await entry.start();
        await waitUntil(() => Promise.resolve(entry.core.domain.tenure?.isReady === true));
        const id = "00000000000000c1";
        const spec = jobOf({ tasks: 1 });
        platform.expectJob(id, spec, { workMs: 300 });
        const queue = entry.core.lists.directory!.queues[0]!;
        expect((await entry.core.jobCalls.submit(id, queue, "t1", spec, 3000)).kind).toBe("accepted");
        await waitUntil(() => Promise.resolve(platform.checker.startCount === 1));
        const silentPeer = connect(peerPort, "127.0.0.1");
        await new Promise(resolve => silentPeer.once("connect", resolve));
        platform.rows.faults.isUnresponsive = true;
        await waitUntil(() => Promise.resolve(entry.core.domain.tenure!.jobs.runs.size === 0));
        const startedAt = performance.now();
        await entry.stop();
        expect(performance.now() - startedAt).toBeLessThan(graceMs);
        silentPeer.destroy();
    });
});

describe("the client of workers", () => {
    // A run of an earlier owner may name a worker that has left the list, so that its address is not known.
    test("sends nothing to a worker without an address", async () => {
        const http = JsonHttpClient.create({ timer: SystemTimer.create(), maxConnections: 1 });
        const client = PlatformWorkerClient.create(http);
        const result = await client.stop({ worker: "w-1", address: "" }, "j.0.0.0", 1, 1);
        expect(result.kind).toBe("failed");
    });
});
