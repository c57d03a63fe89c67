/** The faults of a round, drawn from its seed: what happens when, for how long, and to whom. */
import { Random } from "../src/process/random.js";
import { LinkMode } from "./link.js";

/** Faults that a round may hold. */
export enum FaultKind {
    /** SIGKILL to an entry, which starts again a little later. */
    Kill = "kill",
    /** SIGKILL to most entries at once. */
    KillMany = "kill-many",
    /** SIGTERM to an entry, which starts again once it has ended. */
    Term = "term",
    /** SIGTERM to all entries, one after the other. */
    TermAll = "term-all",
    /** SIGSTOP to an entry, and SIGCONT later. */
    Pause = "pause",
    /** SIGHUP to an entry. */
    Hup = "hup",
    /** Harm to an entry's link to the store. */
    StoreLink = "store-link",
    /** Harm to the links of an entry's peers to it. */
    PeerLink = "peer-link",
    /** Harm to the callers' link to an entry. */
    CallerLink = "caller-link",
    /** Harm to the link to a worker. */
    WorkerLink = "worker-link",
    /** The store refuses one entry, or all of them. */
    StoreBusy = "store-busy",
    /** The store answers nothing. */
    StoreSilent = "store-silent",
    /** The store takes many times as long. */
    StoreSlow = "store-slow",
    /** Answers of the store are lost. */
    StoreLost = "store-lost",
    /** Writes are carried out seconds later and not answered. */
    StoreLate = "store-late",
    /** The store forgets its history of changes. */
    StoreCompact = "store-compact",
    /** A worker dies with everything on it, and a new life begins later. */
    WorkerCrash = "worker-crash",
    /** A worker fails all that it starts. */
    WorkerFails = "worker-fails",
    /** Everything on a worker stands still. */
    WorkerHangs = "worker-hangs",
    /** The workers of a zone restart under their ids within some 100 ms and are cut off soon after. */
    WorkersRestart = "workers-restart",
    /** A new version of the operator's lists. */
    Lists = "lists",
}

/** Whom a fault strikes, other than by its number; for rounds with two builds of the daemon. */
export enum FaultTarget {
    /** Every entry that runs the build of the present owner. */
    OwnerBuild = "owner-build",
    /** An entry that starts again with the other build. */
    Switched = "switched",
}

/** One fault. */
export interface Fault {
    readonly kind: FaultKind;
    /** Start since the beginning of the traffic, in milliseconds. */
    readonly atMs: number;
    readonly forMs: number;
    /** Number of the entry or worker, taken modulo how many there are; -1 means all, where all can be meant. */
    readonly at: number;
    readonly link: LinkMode;
    /** Course of the restart; only with `WorkersRestart`. */
    readonly restart?: RestartTimes;
    readonly target?: FaultTarget;
}

/** Course of a restart and the cut that follows it, which lasts until the end of the fault. */
export interface RestartTimes {
    readonly downMs: number;
    /** Time from the return until the cut, in milliseconds. */
    readonly cutAfterMs: number;
}

/** Options of `planFaults`. */
export interface PlanOptions {
    readonly seed: number;
    /** Length of the part of a round in which faults begin, in milliseconds. */
    readonly lengthMs: number;
    /** Mean time between the starts of two faults or series of them, in milliseconds. */
    readonly meanGapMs: number;
    /** Only planned work: stops, reloads and new lists. */
    readonly isPlannedOnly: boolean;
}

const plannedKinds = [FaultKind.Term, FaultKind.TermAll, FaultKind.Hup, FaultKind.Lists];
/** Kinds of the faults that are drawn one by one; restarts have a sequence of their own. */
const drawnKinds = Object.values(FaultKind).filter(kind => kind !== FaultKind.WorkersRestart);
const harms = [LinkMode.Delayed, LinkMode.Reset, LinkMode.Silent, LinkMode.OneWay];
const shortestMs = 200;
const meanLengthMs = 1800;
const longestMs = 5000;
/** Chance that a fault comes again soon, as a series of the same kind. */
const seriesShare = 0.3;
const seriesGapMs = 1200;
const mostInSeries = 4;
const allShare = 0.4;
const targets = 64;
/** Added to a round's seed, so that its other faults stay those of earlier versions. */
const restartSeedOffset = 4;
/** Earliest restart: leases on the clocks of former incarnations are then far ahead of the clocks of new ones. */
const firstRestartMs = 3000;
const meanRestartGapMs = 1500;
const shortestDownMs = 100;
const longestDownMs = 600;
const longestCutDelayMs = 2200;
/** Longer than a lease that the owner grants, so that it declares the runs lost. */
const shortestCutMs = 4000;
const longestCutMs = 6000;

/** Whether a kind of fault is planned work, around which no request may be lost. */
export function isPlanned(kind: FaultKind): boolean {
    return plannedKinds.includes(kind);
}

/** Faults in order of their start. */
export function planFaults({ seed, lengthMs, meanGapMs, isPlannedOnly }: PlanOptions): readonly Fault[] {
    const random = Random.createFromSmallSeed(seed);
    const kinds = isPlannedOnly ? plannedKinds : drawnKinds;
    const faults: Fault[] = isPlannedOnly ? [] : planRestarts(seed, lengthMs);
    for (let at = random.exponential(meanGapMs); at < lengthMs; at += random.exponential(meanGapMs)) {
        const kind = random.pick(kinds);
        const count = random.chance(seriesShare) ? 2 + random.int(mostInSeries - 1) : 1;
        for (let i = 0; i < count; i++) {
            faults.push({
                kind,
                atMs: Math.round(at + i * seriesGapMs * (0.5 + random.fraction())),
                forMs: Math.round(Math.min(longestMs, shortestMs + random.exponential(meanLengthMs))),
                at: random.chance(allShare) ? -1 : random.int(targets),
                link: random.pick(harms),
            });
        }
    }
    return faults.filter(({ atMs }) => atMs < lengthMs).sort((a, b) => a.atMs - b.atMs);
}

/** Restarts one after the other, each of which is over within the traffic. */
function planRestarts(seed: number, lengthMs: number): Fault[] {
    const random = Random.createFromSmallSeed(seed + restartSeedOffset);
    const faults: Fault[] = [];
    let at = firstRestartMs + random.exponential(meanRestartGapMs);
    while (at + longestDownMs + longestCutDelayMs + longestCutMs < lengthMs) {
        const restart = {
            downMs: shortestDownMs + random.int(longestDownMs - shortestDownMs),
            cutAfterMs: random.int(longestCutDelayMs),
        };
        const cutMs = shortestCutMs + random.int(longestCutMs - shortestCutMs);
        const forMs = restart.downMs + restart.cutAfterMs + cutMs;
        faults.push({
            kind: FaultKind.WorkersRestart,
            atMs: Math.floor(at),
            forMs,
            at: random.int(targets),
            link: LinkMode.Silent,
            restart,
        });
        at += forMs + random.exponential(meanRestartGapMs);
    }
    return faults;
}
