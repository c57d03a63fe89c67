/** Carries a fault out and heals it in time. */
import { noRowStoreFaults, type RowStoreFaults } from "../standin/site/rows.js";
import type { WirePlatform } from "../standin/wire/platform.js";
import { type Link, LinkMode } from "./link.js";
import { type Fault, FaultKind } from "./plan.js";
import type { Site } from "./site.js";

/** What faults strike. */
export interface Scene {
    readonly sites: readonly Site[];
    readonly platform: WirePlatform;
    readonly workerLinks: readonly Link[];
    /** Time since the beginning of the traffic by which every fault is healed, in milliseconds. */
    readonly lengthMs: number;
    /** Puts a new version of the operator's lists in force. */
    readonly writeLists: () => void;
    /** Hands in a service whose tasks spread over most workers, and cancels it after `lastsMs`. */
    readonly handInService: (lastsMs: number) => void;
    /** Does something later, unless the round has ended by then. */
    readonly after: (delayMs: number, act: () => void) => void;
}

/** Pause between the stops of two entries when all are stopped in turn. */
const staggerMs = 900;

/** Begins a fault; what lasts is healed by itself. */
export function strike(fault: Fault, scene: Scene): void {
    const { sites, platform, workerLinks, lengthMs, writeLists, after } = scene;
    const { kind, at, forMs, atMs, link } = fault;
    const { rows, workers } = platform;
    const site = sites[Math.max(0, at) % sites.length]!;
    const number = Math.max(0, at) % workers.length;
    const worker = workers[number]!;
    const views = at < 0 ? [rows.faults] : [site.storeFaults];
    const endsMs = Math.max(0, lengthMs - atMs);
    const during = (begin: () => void, end: () => void): void => {
        begin();
        after(Math.min(forMs, endsMs), end);
    };
    const storeFault = (change: Partial<RowStoreFaults>): void =>
        during(
            () => views.forEach(view => Object.assign(view, change)),
            () => views.forEach(view => Object.assign(view, noRowStoreFaults())),
        );
    const harm = (target: Link): void => during(() => target.set(link), () => target.set(LinkMode.Open));
    switch (kind) {
        case FaultKind.Kill:
            return site.process.kill();
        case FaultKind.KillMany:
            return sites.slice(at < 0 ? 0 : 1).forEach(({ process }) => process.kill());
        case FaultKind.Term:
            return site.process.term();
        case FaultKind.TermAll:
            return sites.forEach(({ process }, i) => after(i * staggerMs, () => process.term()));
        case FaultKind.Pause:
            return during(() => site.process.pause(), () => site.process.resume());
        case FaultKind.Hup:
            return site.process.hup();
        case FaultKind.StoreLink:
            return (at < 0 ? sites : [site]).forEach(({ storeLink }) => harm(storeLink));
        case FaultKind.PeerLink:
            return (at < 0 ? sites : [site]).forEach(({ peerLink }) => harm(peerLink));
        case FaultKind.CallerLink:
            return harm(site.callerLink);
        case FaultKind.WorkerLink:
            return harm(workerLinks[number]!);
        case FaultKind.StoreBusy:
            return storeFault({ isBusy: true });
        case FaultKind.StoreSilent:
            return storeFault({ isUnresponsive: true });
        case FaultKind.StoreSlow:
            return storeFault({ latencyFactor: 40 });
        case FaultKind.StoreLost:
            return storeFault({ lostAnswerShare: 0.3 });
        case FaultKind.StoreLate:
            return storeFault({ delayedCommitShare: 0.3 });
        case FaultKind.StoreCompact:
            return rows.compact();
        case FaultKind.WorkerCrash:
            return during(() => platform.crash(worker), () => platform.restart(worker));
        case FaultKind.WorkerFails:
            return during(
                () => void (worker.incarnation.faults.failsAll = true),
                () => void (worker.incarnation.faults.failsAll = false),
            );
        case FaultKind.WorkerHangs:
            return during(
                () => void (worker.incarnation.faults.isHung = true),
                () => void (worker.incarnation.faults.isHung = false),
            );
        case FaultKind.WorkersRestart:
            return restartZone(fault, scene);
        case FaultKind.Lists:
            return writeLists();
    }
}

/**
 * Restarts the workers of a zone under their ids, and cuts them off when they are back. A service is handed in at the same time, so
 * that starts of tasks that last until the end of the cut are sent while the workers are down.
 */
function restartZone(
    { at, forMs, link, restart }: Fault,
    { platform, workerLinks, handInService, after }: Scene,
): void {
    const { workers } = platform;
    const { zone } = workers[at % workers.length]!.incarnation;
    const { downMs, cutAfterMs } = restart!;
    handInService(forMs);
    for (const [number, worker] of workers.entries()) {
        if (worker.incarnation.zone === zone) {
            const workerLink = workerLinks[number]!;
            platform.restartSilently(worker, downMs);
            after(downMs + cutAfterMs, () => workerLink.set(link));
            after(forMs, () => workerLink.set(LinkMode.Open));
        }
    }
}
