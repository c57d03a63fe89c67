import { describe, expect, test } from "vitest";
import { FaultKind, type ScheduledFault } from "../bench/faults/fault.js";
import { runFaults } from "../bench/faults/run.js";

function fault(kind: FaultKind, atMs: number, forMs: number, target = 0, other = 1): ScheduledFault {
    return { kind, atMs, forMs, target, other };
}

/** Runs a fault schedule over 12 s and returns the violated invariants; checks that calls and jobs were made at all. */
async function violatedInvariants(
    seed: number,
    schedule: readonly ScheduledFault[],
): Promise<readonly string[]> {
    const { checks, calls, jobs } = await runFaults({ seed, schedule, spanMs: 12_000 });
    expect(calls).toBeGreaterThan(300);
    expect(jobs).toBeGreaterThan(5);
    return checks.filter(check => check.violations > 0).map(check => check.invariant);
}

describe("a fleet violates no invariant", () => {
    test("without faults, also for a team whose limit is below the number of entries", async () => {
        expect(await violatedInvariants(3, [])).toEqual([]);
    });

    test("when a key is withdrawn while an entry is cut off, which later rejoins", async () => {
        const schedule = [
            fault(FaultKind.WithdrawKey, 1000, 0, 1),
            fault(FaultKind.CutOffEntry, 1000, 3051, 0),
        ];
        expect(await violatedInvariants(2, schedule)).toEqual([]);
    });

    test("when an entry is killed and another restarted while they run tasks of a team with a small limit", async () => {
        const schedule = [
            fault(FaultKind.KillEntry, 2000, 4000, 1),
            fault(FaultKind.RestartEntry, 5000, 0, 0),
        ];
        expect(await violatedInvariants(15, schedule)).toEqual([]);
    });

    test("when the store loses responses while an entry is paused", async () => {
        const schedule = [
            fault(FaultKind.StoreLosesAnswers, 500, 6000),
            fault(FaultKind.PauseEntry, 2000, 4000, 2),
        ];
        expect(await violatedInvariants(4, schedule)).toEqual([]);
    });

    test("when the store is down while a worker crashes and a link to a worker is silent", async () => {
        const schedule = [
            fault(FaultKind.StoreDown, 1000, 5000),
            fault(FaultKind.CrashWorker, 2000, 3000, 5),
            fault(FaultKind.SilentLink, 2500, 4000, 1),
        ];
        expect(await violatedInvariants(5, schedule)).toEqual([]);
    });

    test.each([7014, 7042])(
        "when a stopping entry has handed over tasks and still has requests to start (seed %i)",
        async seed => {
            const { checks } = await runFaults({ seed, faults: 6 });
            expect(checks.filter(check => check.violations > 0)).toEqual([]);
        },
    );

    test.each([21, 22, 23])("under a random fault schedule with seed %i", async seed => {
        const { checks } = await runFaults({ seed, faults: 5, spanMs: 10_000 });
        expect(checks.filter(check => check.violations > 0)).toEqual([]);
    });
});
