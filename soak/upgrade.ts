/** Rounds in which entries of another build of the daemon serve the site beside entries of this one. */
import { readFileSync } from "node:fs";
import { EventId } from "../src/process/events.js";
import { Random } from "../src/process/random.js";
import type { WirePlatform } from "../standin/wire/platform.js";
import { DoneWatch } from "./done-watch.js";
import { LinkMode } from "./link.js";
import { OwnerWatch } from "./owner-watch.js";
import { type Fault, FaultKind, FaultTarget } from "./plan.js";
import type { Site } from "./site.js";
import { type Scene, strike } from "./strike.js";

/** Builds of the daemon in a round. */
export enum Build {
    Old = "old",
    New = "new",
}

/** Programs of the builds; they may be the same file. */
export type Programs = Readonly<Record<Build, string>>;

const otherBuild: Readonly<Record<string, Build>> = { [Build.Old]: Build.New, [Build.New]: Build.Old };

/** Options of `planUpgrade`. */
export interface UpgradePlanOptions {
    readonly seed: number;
    readonly lengthMs: number;
    /** Only stops of entries. */
    readonly isPlannedOnly: boolean;
}

/** Added to a round's seed, so that the plan differs from that of the faults. */
const seedOffset = 4;
/** The faults of the store are drawn apart, so that a seed keeps its handovers without them. */
const storeSeedOffset = 5;
/** Time from the beginning, and between two handovers, in which an entry that was stopped is ready again. */
const shortestGapMs = 3500;
const meanExtraGapMs = 800;
/** Longer than the silence after which an owner is replaced. */
const shortestPauseMs = 1500;
const extraPauseMs = 2000;
const switchShare = 0.5;
const switchDelayMs = 2000;
const workerFaultShare = 0.8;
/** Worker faults begin within this time before or after a handover. */
const workerFaultSpreadMs = 600;
const workerFaultMs = { shortest: 150, extra: 3500 };
const storeFaultShare = 0.4;
/** Faults of the store begin within this time before a handover, and last beyond the takeover. */
const storeFaultSpreadMs = 300;
const storeFaultMs = 1500;
const watchIntervalMs = 20;
const targets = 64;

/**
 * Handovers in order of their start. Each strikes all entries of the owner's build, so that the owner after it is of the
 * other one. Some entries restart with the other build, workers crash or fall silent around handovers, and answers to takeovers
 * are lost or come late.
 */
export function planUpgrade({ seed, lengthMs, isPlannedOnly }: UpgradePlanOptions): readonly Fault[] {
    const random = Random.createFromSmallSeed(seed + seedOffset);
    const kinds = isPlannedOnly ? [FaultKind.Term] : [FaultKind.Kill, FaultKind.Term, FaultKind.Pause];
    const faults: Fault[] = [];
    for (let at = shortestGapMs; at < lengthMs; at += shortestGapMs + random.exponential(meanExtraGapMs)) {
        const base = { atMs: Math.round(at), forMs: 0, at: random.int(targets), link: LinkMode.Open };
        const forMs = shortestPauseMs + random.int(extraPauseMs);
        faults.push({ ...base, kind: random.pick(kinds), forMs, target: FaultTarget.OwnerBuild });
        if (random.chance(switchShare)) {
            const atMs = base.atMs + switchDelayMs;
            faults.push({ ...base, kind: FaultKind.Term, atMs, target: FaultTarget.Switched });
        }
        if (!isPlannedOnly && random.chance(workerFaultShare)) {
            faults.push({
                kind: random.pick([FaultKind.WorkerCrash, FaultKind.WorkerLink]),
                atMs: base.atMs + Math.round(workerFaultSpreadMs * (2 * random.fraction() - 1)),
                forMs: workerFaultMs.shortest + random.int(workerFaultMs.extra),
                at: random.int(targets),
                link: random.pick([LinkMode.Silent, LinkMode.OneWay]),
            });
        }
    }
    const storeFaults = isPlannedOnly ? [] : planStoreFaults(seed, faults);
    return [...faults, ...storeFaults].filter(({ atMs }) => atMs < lengthMs).sort((a, b) => a.atMs - b.atMs);
}

function planStoreFaults(seed: number, faults: readonly Fault[]): readonly Fault[] {
    const random = Random.createFromSmallSeed(seed + storeSeedOffset);
    return faults
        .filter(({ target }) => target === FaultTarget.OwnerBuild && random.chance(storeFaultShare))
        .map(({ atMs }) => ({
            kind: random.pick([FaultKind.StoreLost, FaultKind.StoreLate]),
            atMs: atMs - random.int(storeFaultSpreadMs),
            forMs: storeFaultMs,
            at: -1,
            link: LinkMode.Open,
        }));
}

/** Events that an entry logs when it cannot use what another entry wrote or sent. */
const misunderstandings: ReadonlySet<number> = new Set([
    EventId.PeerRejected,
    EventId.PeerFrameInvalid,
    EventId.PeerUrlMalformed,
    EventId.RowMalformed,
    EventId.RowRefused,
    EventId.BatchInvalid,
    EventId.TaskFailed,
]);

/** The builds of a round: which entry runs which, handovers between them, and what is judged beside the promises. */
export class Upgrade {
    private sites: readonly Site[] = [];
    private owners: OwnerWatch | undefined;
    private readonly done: DoneWatch;
    private watching: NodeJS.Timeout | undefined;

    private constructor(
        private readonly programs: Programs,
        private readonly platform: WirePlatform,
        private readonly firstOld: number,
    ) {
        this.done = DoneWatch.create(platform.checker);
    }

    static create(programs: Programs, platform: WirePlatform, seed: number): Upgrade {
        return new Upgrade(programs, platform, seed % 2);
    }

    /** What an entry runs at first: every other one is old. */
    programOf(entry: number): { readonly program: string; readonly build: Build } {
        const build = entry % 2 === this.firstOld ? Build.Old : Build.New;
        return { program: this.programs[build], build };
    }

    /** Begins to watch the owners. */
    watch(sites: readonly Site[]): void {
        this.sites = sites;
        const { rows, calls } = this.platform;
        this.owners = OwnerWatch.create({
            find: key => rows.find(key)?.value,
            entries: sites.map(({ process }) => process),
            isStoreHarmed: () => rows.faults.lostAnswerShare > 0 || rows.faults.delayedCommitShare > 0,
        });
        this.watching = setInterval(() => this.owners!.observe(performance.now(), calls), watchIntervalMs);
    }

    /** Ends the watch, before the entries are stopped for good. */
    unwatch(): void {
        clearInterval(this.watching);
    }

    strike(fault: Fault, scene: Scene): void {
        const { sites } = this;
        switch (fault.target) {
            case undefined:
                return strike(fault, scene);
            case FaultTarget.OwnerBuild: {
                const build = this.owners?.owner?.build;
                return sites.filter(({ process }) => process.build === build).forEach(site =>
                    strike(fault, { ...scene, sites: [site] })
                );
            }
            case FaultTarget.Switched: {
                const both = sites.filter(({ process: { nextBuild } }) =>
                    sites.filter(({ process }) => process.nextBuild === nextBuild).length > 1
                );
                const site = both[fault.at % both.length];
                if (site !== undefined) {
                    const build = otherBuild[site.process.nextBuild]!;
                    site.process.replaceProgram(this.programs[build], build);
                    strike(fault, { ...scene, sites: [site] });
                }
            }
        }
    }

    /** What is wrong beside the promises that every round has; to be asked once all processes have ended. */
    breaches(faults: readonly Fault[], startedAt: number): readonly string[] {
        const { workers } = this.platform;
        const harmed = faults.filter(({ kind }) => kind === FaultKind.WorkerLink).map((
            { at, atMs, forMs },
        ) => ({
            worker: workers[at % workers.length]!.id,
            fromMs: startedAt + atMs,
            untilMs: startedAt + atMs + forMs,
        }));
        return [
            ...this.owners?.breaches(startedAt) ?? [],
            ...this.done.breaches(harmed, startedAt),
            ...this.sites.flatMap(({ process }) => process.logFiles.flatMap(misunderstandingsIn)),
        ];
    }

    /** Owners and their fencing tokens, each as a line. */
    summary(startedAt: number): readonly string[] {
        return [...this.owners?.summary(startedAt) ?? [], ...this.done.summary(startedAt)];
    }
}

/** Lines of a log that show that its entry could not use what another one wrote or sent. */
export function misunderstandingsIn(file: string): readonly string[] {
    return readFileSync(file, "utf8").split("\n").filter(line => {
        const event = /"event":(\d+)/.exec(line)?.[1];
        return event !== undefined && misunderstandings.has(Number(event));
    });
}
