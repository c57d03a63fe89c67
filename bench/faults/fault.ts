/** Faults that a schedule can contain, and how a seeded schedule is drawn. */
import type { Random } from "../../src/process/random.js";
import type { Simulation } from "../../standin/simulation/simulation.js";
import { Fault as WorkerFault } from "../../standin/worker.js";

/** Kinds of faults. */
export enum FaultKind {
    KillEntry = "kill-entry",
    RestartEntry = "restart-entry",
    PauseEntry = "pause-entry",
    CutOffEntry = "cut-off-entry",
    CutPeers = "cut-peers",
    StoreDown = "store-down",
    StoreSlow = "store-slow",
    StoreLosesAnswers = "store-loses-answers",
    CrashWorker = "crash-worker",
    BadWorker = "bad-worker",
    SilentLink = "silent-link",
    RacingOperators = "racing-operators",
    CancelWave = "cancel-wave",
    WithdrawKey = "withdraw-key",
}

/** One fault of a schedule. */
export interface ScheduledFault {
    readonly kind: FaultKind;
    /** Virtual time after the start of the load, in milliseconds. */
    readonly atMs: number;
    readonly forMs: number;
    /** Chooses the entry or worker it strikes. */
    readonly target: number;
    readonly other: number;
}

const kinds = Object.values(FaultKind);
const longestMs = 8000;
const targetRange = 1000;

/** Draws `count` faults within `spanMs` milliseconds; about a third strike together with the one before. */
export function drawSchedule(random: Random, count: number, spanMs: number): readonly ScheduledFault[] {
    const faults: ScheduledFault[] = [];
    for (let drawn = 0; drawn < count; drawn++) {
        const isTogether = drawn > 0 && random.chance(1 / 3);
        faults.push({
            kind: random.pick(kinds),
            atMs: isTogether ? faults[drawn - 1]!.atMs : random.int(spanMs),
            forMs: 500 + random.int(longestMs),
            target: random.int(targetRange),
            other: random.int(targetRange),
        });
    }
    return faults.sort((a, b) => a.atMs - b.atMs);
}

/** Lets a fault strike a world. */
export function strike(world: Simulation, fault: ScheduledFault): void {
    const { kind, forMs, target, other } = fault;
    const entry = world.entries[target % world.entries.length]!;
    const workers = [...world.workers.keys()];
    const worker = workers[target % workers.length]!;
    switch (kind) {
        case FaultKind.KillEntry:
            replaceEntry(world, entry.vm, forMs);
            break;
        case FaultKind.RestartEntry:
            restartEntry(world, entry.vm);
            break;
        case FaultKind.PauseEntry:
            world.pauseEntry(entry.vm, forMs);
            break;
        case FaultKind.CutOffEntry:
            world.setIsolated(entry.vm, true);
            world.timer.after(forMs, () => world.healLinks(entry.vm));
            world.timer.after(forMs, () => entry.platformConditions.isDown = false);
            break;
        case FaultKind.CutPeers: {
            const peer = world.entries[other % world.entries.length]!;
            world.network.partition(entry.vm, peer.vm);
            world.timer.after(forMs, () => world.network.heal(entry.vm, peer.vm));
            break;
        }
        case FaultKind.StoreDown:
            world.platformConditions.isDown = true;
            world.timer.after(forMs, () => world.platformConditions.isDown = false);
            break;
        case FaultKind.StoreSlow:
            world.platformConditions.latencyMs = 2000;
            world.timer.after(forMs, () => world.platformConditions.latencyMs = 2);
            break;
        case FaultKind.StoreLosesAnswers:
            world.platformConditions.losesAnswer = () => world.random.chance(0.5);
            world.timer.after(forMs, () => world.platformConditions.losesAnswer = () => false);
            break;
        case FaultKind.CrashWorker:
            world.crashWorker(worker, forMs);
            break;
        case FaultKind.BadWorker: {
            const faults = Object.values(WorkerFault);
            world.workers.get(worker)!.fault = faults[other % faults.length]!;
            world.timer.after(forMs, () => world.workers.get(worker)!.fault = WorkerFault.None);
            break;
        }
        case FaultKind.SilentLink:
            world.setPacketLoss(entry.vm, worker, true);
            world.timer.after(forMs, () => world.setPacketLoss(entry.vm, worker, false));
            break;
        case FaultKind.RacingOperators:
            raceOperators(world);
            break;
        case FaultKind.CancelWave:
            cancelSome(world, other);
            break;
        case FaultKind.WithdrawKey:
            withdrawOne(world, entry.vm);
            break;
    }
}

function replaceEntry(world: Simulation, vm: string, afterMs: number): void {
    if (world.entries.length <= 2) {
        return;
    }
    world.killEntry(vm);
    world.timer.after(afterMs, () => void world.addEntry(`${vm}r`));
}

function restartEntry(world: Simulation, vm: string): void {
    if (world.entries.length <= 2) {
        return;
    }
    void world.stopEntryWithoutAdvancing(vm).then(() => world.addEntry(vm));
}

function raceOperators(world: Simulation): void {
    for (const { core } of world.entries) {
        const { lists, listsRevision } = core.versions.state;
        core.versions.applyLists(lists, listsRevision).catch(() => undefined);
    }
}

function cancelSome(world: Simulation, other: number): void {
    const entry = world.entries[other % world.entries.length]!;
    world.jobs.filter((_, at) => at % 3 === 0).forEach(job =>
        void entry.core.jobs.cancel(job.id).catch(() => undefined)
    );
}

function withdrawOne(world: Simulation, vm: string): void {
    const spare = world.spareKeys.pop();
    if (spare !== undefined) {
        world.withdrawKey(vm, spare);
    }
}
