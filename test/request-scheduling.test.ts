/** Unit tests of the decisions on a request: retries, isolation, outlier ejection, fair sharing and dispatch to slots. */
import { describe, expect, test } from "vitest";
import { AttemptKind, type AttemptResult } from "../src/connection/upstream/index.js";
import { isIsolated, type IsolationInput } from "../src/process/isolation.js";
import { Metrics } from "../src/process/metrics.js";
import { Random } from "../src/process/random.js";
import { assignEvenly } from "../src/process/rendezvous.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { Dispatcher } from "../src/request/dispatch.js";
import { type Outcome, OutcomeKind } from "../src/request/outcome.js";
import { EjectionState, OutlierDetector } from "../src/request/outlier-detector.js";
import { RetryBudget } from "../src/request/retry-budget.js";
import { type AdmittedRequest, serve, type ServeEffect, ServeEffectKind } from "../src/request/serve.js";
import { AcquireResultKind, type SlotRequest, SlotResult, type Worker } from "../src/request/slot.js";
import { VirtualClock } from "../src/request/virtual-clock.js";
import { QueueClass } from "../src/version/schema.js";

const response = (status: number): AttemptResult => ({
    kind: AttemptKind.Completed,
    status,
    headers: {},
    body: Buffer.from("b"),
});
const failedAttempt = (kind: Exclude<AttemptKind, AttemptKind.Completed>): AttemptResult => ({
    kind,
    cause: "simulated",
});

/** Serves a request whose attempts have the given results; returns the outcome and the number of attempts. */
function serveWith(
    idempotent: boolean,
    results: readonly AttemptResult[],
    retries = 10,
): { outcome: Outcome; attempts: number } {
    const request = {
        id: "r",
        team: "t",
        queue: "q",
        pool: "p",
        class: QueueClass.Interactive,
        idempotent,
        deadline: 1000,
    };
    const flow = serve(
        { ...request, contentType: "", body: Buffer.alloc(0), isRelayed: false } satisfies AdmittedRequest,
    );
    let attempts = 0;
    let retriesLeft = retries;
    const perform = (effect: ServeEffect): unknown => {
        switch (effect.kind) {
            case ServeEffectKind.Now:
                return 0;
            case ServeEffectKind.Acquire: {
                const worker = { vm: `w-${attempts}` };
                return { kind: AcquireResultKind.Slot, slot: { worker, upperEstimateMs: 0 } };
            }
            case ServeEffectKind.Attempt:
                return results[attempts++];
            case ServeEffectKind.SpendRetry:
                return retriesLeft-- > 0;
            case ServeEffectKind.FindRelay:
            case ServeEffectKind.Relay:
            case ServeEffectKind.Release:
            case ServeEffectKind.CountRetry:
                return undefined;
        }
    };
    let step = flow.next();
    while (!step.done) {
        step = flow.next(perform(step.value));
    }
    return { outcome: step.value, attempts };
}

describe("serving a request", () => {
    test("never retries a non-idempotent request that may have run", () => {
        for (const kind of [AttemptKind.Interrupted, AttemptKind.TimedOut] as const) {
            expect(serveWith(false, [failedAttempt(kind), response(200)])).toMatchObject({
                outcome: { kind: OutcomeKind.Unknown },
                attempts: 1,
            });
        }
        expect(serveWith(false, [response(500), response(200)])).toMatchObject({
            outcome: { status: 500 },
            attempts: 1,
        });
    });

    test("retries a request that was not run on another worker, idempotent or not", () => {
        for (const kind of [AttemptKind.Refused, AttemptKind.NotSent] as const) {
            expect(serveWith(false, [failedAttempt(kind), response(200)])).toMatchObject({
                outcome: { status: 200 },
                attempts: 2,
            });
        }
    });

    test("reports the outcome as unknown, not as not run, if any attempt may have run", () => {
        const results = [
            failedAttempt(AttemptKind.Interrupted),
            failedAttempt(AttemptKind.Refused),
            failedAttempt(AttemptKind.NotSent),
            failedAttempt(AttemptKind.Refused),
        ];
        expect(serveWith(true, results).outcome.kind).toBe(OutcomeKind.Unknown);
    });

    test("stops retrying when the retry budget is exhausted", () => {
        const results = [failedAttempt(AttemptKind.Interrupted), response(200)];
        expect(serveWith(true, results, 0)).toMatchObject({
            outcome: { kind: OutcomeKind.Unknown },
            attempts: 1,
        });
    });

    test("adds a fifth of a retry to the budget for each first attempt", () => {
        const budget = RetryBudget.create({ ratio: 0.2, burst: 2 });
        expect([budget.tryWithdraw(), budget.tryWithdraw(), budget.tryWithdraw()]).toEqual([
            true,
            true,
            false,
        ]);
        Array.from({ length: 6 }, () => budget.deposit());
        expect([budget.tryWithdraw(), budget.tryWithdraw()]).toEqual([true, false]);
    });
});

describe("isolation", () => {
    const baseInput: IsolationInput = {
        now: 10_000,
        timeoutMs: 2000,
        confirmedAt: 0,
        revision: 5,
        peers: [],
        members: 5,
    };
    const peer = (overrides: object) => ({ ageMs: 0, revision: 5, receivedAt: 9900, ...overrides });

    test.each<[string, Partial<IsolationInput>, boolean]>([
        ["the store confirmed the revision recently", { confirmedAt: 8500 }, false],
        ["no peer sent a heartbeat", {}, true],
        ["the store recently confirmed a peer that has the same revision", { peers: [peer({})] }, false],
        ["a peer has a newer revision", { peers: [peer({ revision: 6 })] }, true],
        ["the peer's last heartbeat is too old", { peers: [peer({ receivedAt: 7000 })] }, true],
        ["only a minority is reachable and the store confirmed no entry recently", {
            peers: [peer({ ageMs: 60_000 })],
        }, true],
        ["a majority is reachable and the store confirmed no entry recently", {
            peers: [1, 2].map(() => peer({ ageMs: 60_000 })),
        }, false],
        ["it is the only registered entry and the store is down", { members: 1 }, false],
    ])("when %s", (_, overrides, expected) => {
        expect(isIsolated({ ...baseInput, ...overrides })).toBe(expected);
    });
});

describe("outlier ejection", () => {
    function create() {
        let now = 0;
        const detector = OutlierDetector.create({ now: () => now });
        const recordFailures = (vm: string, times: number): void => {
            Array.from({ length: times }, () => detector.record(vm, false, 2));
        };
        ["a", "b", "c", "d"].forEach(vm => Array.from({ length: 10 }, () => detector.record(vm, true, 2)));
        return { detector, recordFailures, advance: (ms: number) => now += ms };
    }

    test("ejects a failing worker, probes it, and reinstates it after one success", () => {
        const { detector, recordFailures, advance } = create();
        recordFailures("a", 12);
        expect(detector.stateOf("a")).toBe(EjectionState.Ejected);
        advance(2500);
        expect(detector.stateOf("a")).toBe(EjectionState.Probing);
        detector.record("a", true, 2);
        expect(detector.stateOf("a")).toBe(EjectionState.Healthy);
    });

    test("ejects a worker again, for longer, when its probe fails", () => {
        const { detector, recordFailures, advance } = create();
        recordFailures("a", 12);
        advance(2500);
        recordFailures("a", 1);
        advance(2500);
        expect(detector.stateOf("a")).toBe(EjectionState.Ejected);
    });

    test("never ejects more workers of a pool than its maximum", () => {
        const { detector, recordFailures } = create();
        ["a", "b", "c"].forEach(vm => recordFailures(vm, 12));
        expect(detector.ejectedCount()).toBeLessThanOrEqual(2);
    });
});

describe("virtual clock of the shares", () => {
    test("divides slot time in proportion to the shares, and gives a returning team no credit for its idle time", () => {
        const clock = VirtualClock.create();
        const served = new Map<string, number>();
        const serveNext = (teams: readonly [string, number][]): void => {
            const [team, share] = [...teams].sort((a, b) =>
                clock.virtualTime(a[0]) - clock.virtualTime(b[0])
            )[0]!;
            clock.advanceTo(team);
            clock.charge(team, 10, share);
            served.set(team, (served.get(team) ?? 0) + 1);
        };
        Array.from({ length: 400 }, () => serveNext([["a", 1], ["b", 3]]));
        expect(served.get("b")).toBe(300);
        clock.activate("c");
        served.clear();
        Array.from({ length: 500 }, () => serveNext([["a", 1], ["b", 3], ["c", 1]]));
        expect(Math.abs(served.get("c")! - 100)).toBeLessThanOrEqual(2);
    });
});

describe("the dispatcher", () => {
    function create(usableGrants = 100, workerCount = 1) {
        const timer = VirtualTimer.create();
        let closedReason: undefined | "isolated";
        const dispatcher = Dispatcher.create({
            timer,
            random: Random.create(1),
            metrics: Metrics.create(),
            view: {
                usableGrants: () => usableGrants,
                limit: () => 100,
                share: () => 1,
                closedReason: () => closedReason as never,
                mayStart: () => closedReason === undefined,
            },
        });
        const createWorker = (at: number): Worker => ({
            vm: `w-${at}`,
            origin: "",
            rack: "",
            zone: "",
            isOpen: true,
            isHome: true,
        });
        const workers = Array.from({ length: workerCount }, (_, at) => createWorker(at));
        dispatcher.setPools([{ pool: "p", workers, maxEjected: 0 }]);
        const slotRequest = (overrides: Partial<SlotRequest> = {}): SlotRequest => ({
            pool: "p",
            team: "t",
            queue: "q",
            class: QueueClass.Interactive,
            deadline: timer.now() + 1000,
            exclude: [],
            ...overrides,
        });
        return { timer, dispatcher, slotRequest, workers, isolate: () => closedReason = "isolated" };
    }

    async function acquireSlot(dispatcher: Dispatcher, request: SlotRequest) {
        const acquired = await dispatcher.acquire(request);
        if (acquired.kind !== AcquireResultKind.Slot) {
            throw new Error(`refused: ${acquired.reason}`);
        }
        return acquired.slot;
    }

    test("grants eight slots of a worker and queues the ninth request until a slot is released", async () => {
        const { dispatcher, slotRequest } = create();
        const slots = await Promise.all(
            Array.from({ length: 8 }, () => acquireSlot(dispatcher, slotRequest())),
        );
        const ninth = acquireSlot(dispatcher, slotRequest());
        expect(dispatcher.waitingTotal()).toBe(1);
        dispatcher.release(slots[0]!, SlotResult.Succeeded);
        expect((await ninth).worker.vm).toBe("w-0");
    });

    test("starts no request beyond the grant, on a worker that accepts no new work, or on an isolated entry", async () => {
        const limited = create(2);
        await acquireSlot(limited.dispatcher, limited.slotRequest());
        await acquireSlot(limited.dispatcher, limited.slotRequest());
        void limited.dispatcher.acquire(limited.slotRequest());
        expect(limited.dispatcher.runningOf("t")).toBe(2);
        const closed = create();
        closed.dispatcher.setPools([{
            pool: "p",
            workers: closed.workers.map(each => ({ ...each, isOpen: false })),
            maxEjected: 0,
        }]);
        expect(await closed.dispatcher.acquire(closed.slotRequest())).toMatchObject({ reason: "no-worker" });
        const isolated = create();
        isolated.isolate();
        expect(await isolated.dispatcher.acquire(isolated.slotRequest())).toMatchObject({
            reason: "isolated",
        });
    });

    test("reserves two slots of each worker for interactive requests", async () => {
        const { dispatcher, slotRequest } = create();
        const deferredRequest = slotRequest({ class: QueueClass.Deferred, deadline: 60_000 });
        Array.from({ length: 8 }, () => void dispatcher.acquire(deferredRequest));
        expect(dispatcher.onWorker("w-0")).toBe(6);
        await acquireSlot(dispatcher, slotRequest());
        expect(dispatcher.onWorker("w-0")).toBe(7);
    });

    test("does not starve deferred requests under a steady stream of interactive requests", async () => {
        const { timer, dispatcher, slotRequest } = create(4);
        let hasStarted = false;
        void dispatcher.acquire(slotRequest({ class: QueueClass.Deferred, deadline: 60_000 })).then(() =>
            hasStarted = true
        );
        const startRequest = (): void => {
            void dispatcher.acquire(slotRequest()).then(acquired => {
                if (acquired.kind === AcquireResultKind.Slot) {
                    timer.after(100, () => dispatcher.release(acquired.slot, SlotResult.Succeeded));
                }
            });
        };
        timer.every(20, startRequest);
        await timer.advance(10_000);
        expect(hasStarted).toBe(true);
    });

    test("counts a failed request against the grant as long as it may still be running", async () => {
        const { timer, dispatcher, slotRequest } = create(1);
        const slot = await acquireSlot(dispatcher, slotRequest());
        dispatcher.release(slot, SlotResult.Failed, timer.now() + 500);
        expect(dispatcher.canStart("t")).toBe(false);
        await timer.advance(600);
        expect(dispatcher.canStart("t")).toBe(true);
    });

    test("refuses at once a request that would miss its deadline, with a retry-after time", async () => {
        const { timer, dispatcher, slotRequest } = create();
        for (let finished = 0; finished < 30; finished++) {
            const slot = await acquireSlot(dispatcher, slotRequest());
            await timer.advance(400);
            dispatcher.release(slot, SlotResult.Succeeded);
        }
        Array.from({ length: 16 }, () => void dispatcher.acquire(slotRequest()));
        const refused = await dispatcher.acquire(slotRequest({ deadline: timer.now() + 500 }));
        expect(refused).toMatchObject({ kind: AcquireResultKind.Refused, reason: "wait-too-long" });
        expect(refused.kind === AcquireResultKind.Refused && refused.retryAfterMs).toBeGreaterThan(100);
    });
});

test("home entries are assigned evenly, and few assignments change when an entry leaves", () => {
    const keys = Array.from({ length: 40 }, (_, at) => `worker-${at}`);
    const members = Array.from({ length: 9 }, (_, at) => `entry-${at}`);
    const before = assignEvenly(keys, members);
    const counts = members.map(member => [...before.values()].filter(home => home === member).length);
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
    const after = assignEvenly(keys, members.slice(1));
    const kept =
        keys.filter(key => before.get(key) !== "entry-0" && before.get(key) === after.get(key)).length;
    expect(kept).toBeGreaterThan(20);
});
