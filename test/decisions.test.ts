import { describe, expect, test } from "vitest";
import { AttemptKind, type AttemptResult } from "../src/connection/upstream/index.js";
import { isIsolated, type IsolationInput } from "../src/process/isolation.js";
import { Metrics } from "../src/process/metrics.js";
import { Random } from "../src/process/random.js";
import { assignEvenly } from "../src/process/rendezvous.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import { Dispatcher } from "../src/request/dispatch.js";
import { type Outcome, OutcomeKind } from "../src/request/outcome.js";
import { Outliers, Standing } from "../src/request/outlier.js";
import { RetryBudget } from "../src/request/retry.js";
import { type Admitted, serve, type ServeEffect, ServeEffectKind } from "../src/request/serve.js";
import { ShareClock } from "../src/request/share-clock.js";
import { AcquiredKind, SlotEnd, type Want, type Worker } from "../src/request/slot.js";
import { QueueClass } from "../src/version/schema.js";

const whole = (status: number): AttemptResult => ({
    kind: AttemptKind.Completed,
    status,
    headers: {},
    body: Buffer.from("b"),
});
const ended = (kind: Exclude<AttemptKind, AttemptKind.Completed>): AttemptResult => ({
    kind,
    cause: "made to",
});

/** Serves a request whose attempts end as listed; returns the outcome and the number of attempts. */
function serveWith(
    idempotent: boolean,
    results: readonly AttemptResult[],
    retries = 10,
): { outcome: Outcome; attempts: number } {
    const req = {
        id: "r",
        team: "t",
        queue: "q",
        pool: "p",
        class: QueueClass.Interactive,
        idempotent,
        deadline: 1000,
    };
    const flow = serve(
        { ...req, contentType: "", body: Buffer.alloc(0), isRelayed: false } satisfies Admitted,
    );
    let attempts = 0;
    let left = retries;
    const perform = (effect: ServeEffect): unknown => {
        switch (effect.kind) {
            case ServeEffectKind.Now:
                return 0;
            case ServeEffectKind.Acquire: {
                const worker = { vm: `w-${attempts}` };
                return { kind: AcquiredKind.Slot, slot: { worker, likelyMs: 0 } };
            }
            case ServeEffectKind.Attempt:
                return results[attempts++];
            case ServeEffectKind.SpendRetry:
                return left-- > 0;
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
    test("never sends one that is not idempotent again once it may have run", () => {
        for (const kind of [AttemptKind.Interrupted, AttemptKind.TimedOut] as const) {
            expect(serveWith(false, [ended(kind), whole(200)])).toMatchObject({
                outcome: { kind: OutcomeKind.Unknown },
                attempts: 1,
            });
        }
        expect(serveWith(false, [whole(500), whole(200)])).toMatchObject({
            outcome: { status: 500 },
            attempts: 1,
        });
    });

    test("sends one that was not run elsewhere, idempotent or not", () => {
        for (const kind of [AttemptKind.Refused, AttemptKind.NotSent] as const) {
            expect(serveWith(false, [ended(kind), whole(200)])).toMatchObject({
                outcome: { status: 200 },
                attempts: 2,
            });
        }
    });

    test('does not say "not run" after any attempt that may have run', () => {
        const results = [
            ended(AttemptKind.Interrupted),
            ended(AttemptKind.Refused),
            ended(AttemptKind.NotSent),
            ended(AttemptKind.Refused),
        ];
        expect(serveWith(true, results).outcome.kind).toBe(OutcomeKind.Unknown);
    });

    test("stops retrying when the budget is spent", () => {
        const results = [ended(AttemptKind.Interrupted), whole(200)];
        expect(serveWith(true, results, 0)).toMatchObject({
            outcome: { kind: OutcomeKind.Unknown },
            attempts: 1,
        });
    });

    test("earns a fifth of a retry with each first attempt", () => {
        const budget = RetryBudget.create({ ratio: 0.2, burst: 2 });
        expect([budget.spend(), budget.spend(), budget.spend()]).toEqual([true, true, false]);
        Array.from({ length: 6 }, () => budget.earn());
        expect([budget.spend(), budget.spend()]).toEqual([true, false]);
    });
});

describe("isolation", () => {
    const base: IsolationInput = {
        now: 10_000,
        timeoutMs: 2000,
        confirmedAt: 0,
        revision: 5,
        peers: [],
        members: 5,
    };
    const peer = (differences: object) => ({ ageMs: 0, revision: 5, receivedAt: 9900, ...differences });

    test.each<[string, Partial<IsolationInput>, boolean]>([
        ["the store confirmed the revision lately", { confirmedAt: 8500 }, false],
        ["nobody vouches", {}, true],
        ["a confirmed peer vouches", { peers: [peer({})] }, false],
        ["the peer is ahead", { peers: [peer({ revision: 6 })] }, true],
        ["the peer spoke too long ago", { peers: [peer({ receivedAt: 7000 })] }, true],
        ["a minority answers and the store confirms nobody", { peers: [peer({ ageMs: 60_000 })] }, true],
        ["a majority answers and the store confirms nobody", {
            peers: [1, 2].map(() => peer({ ageMs: 60_000 })),
        }, false],
        ["it is alone by registration and the store is down", { members: 1 }, false],
    ])("when %s", (_, differences, expected) => {
        expect(isIsolated({ ...base, ...differences })).toBe(expected);
    });
});

describe("outlier ejection", () => {
    function create() {
        let now = 0;
        const outliers = Outliers.create({ now: () => now });
        const fail = (vm: string, times: number): void => {
            Array.from({ length: times }, () => outliers.record(vm, false, 2));
        };
        ["a", "b", "c", "d"].forEach(vm => Array.from({ length: 10 }, () => outliers.record(vm, true, 2)));
        return { outliers, fail, advance: (ms: number) => now += ms };
    }

    test("ejects a failing worker, probes it, and takes it back after one success", () => {
        const { outliers, fail, advance } = create();
        fail("a", 12);
        expect(outliers.standing("a")).toBe(Standing.Ejected);
        advance(2500);
        expect(outliers.standing("a")).toBe(Standing.Probing);
        outliers.record("a", true, 2);
        expect(outliers.standing("a")).toBe(Standing.Good);
    });

    test("ejects again for longer when the probe fails", () => {
        const { outliers, fail, advance } = create();
        fail("a", 12);
        advance(2500);
        fail("a", 1);
        advance(2500);
        expect(outliers.standing("a")).toBe(Standing.Ejected);
    });

    test("never ejects more workers than the pool can spare", () => {
        const { outliers, fail } = create();
        ["a", "b", "c"].forEach(vm => fail(vm, 12));
        expect(outliers.ejectedCount()).toBeLessThanOrEqual(2);
    });
});

describe("share clocks", () => {
    test("give slot time by share, and a returning team no credit for its idle time", () => {
        const clock = ShareClock.create();
        const served = new Map<string, number>();
        const serveNext = (teams: readonly [string, number][]): void => {
            const [team, share] = [...teams].sort((a, b) => clock.position(a[0]) - clock.position(b[0]))[0]!;
            clock.serve(team);
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
    function create(usable = 100, workers = 1) {
        const timer = VirtualTimer.create();
        let closed: undefined | "isolated";
        const dispatcher = Dispatcher.create({
            timer,
            random: Random.create(1),
            metrics: Metrics.create(),
            view: {
                usable: () => usable,
                limit: () => 100,
                share: () => 1,
                closedFor: () => closed as never,
                mayStart: () => closed === undefined,
            },
        });
        const worker = (at: number): Worker => ({
            vm: `w-${at}`,
            origin: "",
            rack: "",
            zone: "",
            isOpen: true,
            isHome: true,
        });
        const list = Array.from({ length: workers }, (_, at) => worker(at));
        dispatcher.setPools([{ pool: "p", workers: list, mayEject: 0 }]);
        const want = (differences: Partial<Want> = {}): Want => ({
            pool: "p",
            team: "t",
            queue: "q",
            class: QueueClass.Interactive,
            deadline: timer.now() + 1000,
            exclude: [],
            ...differences,
        });
        return { timer, dispatcher, want, list, close: () => closed = "isolated" };
    }

    async function take(dispatcher: Dispatcher, want: Want) {
        const acquired = await dispatcher.acquire(want);
        if (acquired.kind !== AcquiredKind.Slot) {
            throw new Error(`refused: ${acquired.reason}`);
        }
        return acquired.slot;
    }

    test("gives eight slots of a worker and makes the ninth wait for one to come free", async () => {
        const { dispatcher, want } = create();
        const slots = await Promise.all(Array.from({ length: 8 }, () => take(dispatcher, want())));
        const ninth = take(dispatcher, want());
        expect(dispatcher.waitingTotal()).toBe(1);
        dispatcher.release(slots[0]!, SlotEnd.Good);
        expect((await ninth).worker.vm).toBe("w-0");
    });

    test("starts nothing beyond the grant, nor on a worker that is closing, nor when the entry is cut off", async () => {
        const limited = create(2);
        await take(limited.dispatcher, limited.want());
        await take(limited.dispatcher, limited.want());
        void limited.dispatcher.acquire(limited.want());
        expect(limited.dispatcher.runningOf("t")).toBe(2);
        const closing = create();
        closing.dispatcher.setPools([{
            pool: "p",
            workers: closing.list.map(each => ({ ...each, isOpen: false })),
            mayEject: 0,
        }]);
        expect(await closing.dispatcher.acquire(closing.want())).toMatchObject({ reason: "no-worker" });
        const cut = create();
        cut.close();
        expect(await cut.dispatcher.acquire(cut.want())).toMatchObject({ reason: "isolated" });
    });

    test("keeps two slots of each worker free of deferred work", async () => {
        const { dispatcher, want } = create();
        const deferred = want({ class: QueueClass.Deferred, deadline: 60_000 });
        Array.from({ length: 8 }, () => void dispatcher.acquire(deferred));
        expect(dispatcher.onWorker("w-0")).toBe(6);
        await take(dispatcher, want());
        expect(dispatcher.onWorker("w-0")).toBe(7);
    });

    test("does not starve deferred work under a steady stream of interactive work", async () => {
        const { timer, dispatcher, want } = create(4);
        let hasStarted = false;
        void dispatcher.acquire(want({ class: QueueClass.Deferred, deadline: 60_000 })).then(() =>
            hasStarted = true
        );
        const run = (): void => {
            void dispatcher.acquire(want()).then(acquired => {
                if (acquired.kind === AcquiredKind.Slot) {
                    timer.after(100, () => dispatcher.release(acquired.slot, SlotEnd.Good));
                }
            });
        };
        timer.every(20, run);
        await timer.advance(10_000);
        expect(hasStarted).toBe(true);
    });

    test("keeps the place of work that may still be running", async () => {
        const { timer, dispatcher, want } = create(1);
        const slot = await take(dispatcher, want());
        dispatcher.release(slot, SlotEnd.Bad, timer.now() + 500);
        expect(dispatcher.canStart("t")).toBe(false);
        await timer.advance(600);
        expect(dispatcher.canStart("t")).toBe(true);
    });

    test("refuses at once what would miss its deadline, with the time to come back", async () => {
        const { timer, dispatcher, want } = create();
        for (let run = 0; run < 30; run++) {
            const slot = await take(dispatcher, want());
            await timer.advance(400);
            dispatcher.release(slot, SlotEnd.Good);
        }
        Array.from({ length: 16 }, () => void dispatcher.acquire(want()));
        const refused = await dispatcher.acquire(want({ deadline: timer.now() + 500 }));
        expect(refused).toMatchObject({ kind: AcquiredKind.Refused, reason: "wait-too-long" });
        expect(refused.kind === AcquiredKind.Refused && refused.retryAfterMs).toBeGreaterThan(100);
    });
});

test("homes are dealt evenly, and few change when an entry ends", () => {
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
