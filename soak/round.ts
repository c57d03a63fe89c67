/** One round: a platform, entries as processes, callers, and the faults of a seed; then the promises are checked. */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import type { JobSpec } from "../src/job/index.js";
import { Random } from "../src/process/random.js";
import { noRowFaults, type RowFaults } from "../standin/site/rows.js";
import { jobOf } from "../standin/site/site.js";
import { WirePlatform } from "../standin/wire/platform.js";
import { Acceptance, CallerPool, pause } from "./caller.js";
import { EntryProcess } from "./entry-process.js";
import { judgeCalls } from "./judge.js";
import { Link, LinkMode } from "./link.js";
import { freePorts, host } from "./loopback.js";
import { type Fault, FaultKind, planFaults } from "./plan.js";

/** Options of `playRound`. */
export interface RoundOptions {
    readonly seed: number;
    /** The built daemon. */
    readonly program: string;
    /** Folder for settings and logs of the entries. */
    readonly folder: string;
    readonly entries?: number;
    readonly workers?: number;
    /** Time in which faults begin, in milliseconds. */
    readonly lengthMs?: number;
    readonly meanGapMs?: number;
    readonly jobsPerSecond?: number;
    /** Only planned work: stops, reloads and new lists. */
    readonly isPlannedOnly?: boolean;
}

/** What a round showed. */
export interface RoundResult {
    readonly breaches: readonly string[];
    readonly faults: readonly Fault[];
    readonly calls: number;
    readonly accepted: number;
    readonly starts: number;
}

/** One entry, its ways to others and the faults of its way to the store. */
interface Site {
    readonly process: EntryProcess;
    readonly callerLink: Link;
    readonly peerLink: Link;
    readonly storeLink: Link;
    readonly storeFaults: RowFaults;
}

/** A job that a caller has handed in. */
interface Handed {
    readonly id: string;
    readonly isService: boolean;
    acceptance: Acceptance;
    acceptedAt: number;
    isCancelled: boolean;
}

const readyMs = 15_000;
/** Time after the last fault in which everything accepted must be done: recovery and the jobs' own work. */
const finishMs = 14_000;
const pollMs = 250;
const cancelShare = 0.15;
const serviceShare = 0.08;
const longestWorkMs = 1500;
const idDigits = 16;
const staggerMs = 900;
const waveSeconds = 20;

/** Plays a round. */
export async function playRound(options: RoundOptions): Promise<RoundResult> {
    return Round.create(options).play();
}

class Round {
    private readonly random: Random;
    private readonly platform: WirePlatform;
    private readonly sites: Site[] = [];
    private readonly workerLinks: Link[] = [];
    private readonly handed: Handed[] = [];
    private readonly breaches: string[] = [];
    private readonly pending: Promise<void>[] = [];
    private readonly faults: readonly Fault[];
    private callers!: CallerPool;
    private listsVersion = 1;
    private startedAt = 0;

    private constructor(private readonly options: Required<RoundOptions>) {
        const { seed, workers, lengthMs, meanGapMs, isPlannedOnly } = options;
        this.random = Random.createSpread(seed + 1);
        this.platform = WirePlatform.create({ pool: "bench", workers, seed });
        this.faults = planFaults({ seed, lengthMs, meanGapMs, isPlannedOnly });
    }

    static create(options: RoundOptions): Round {
        return new Round({
            entries: 3,
            workers: 5,
            lengthMs: 15_000,
            meanGapMs: 900,
            jobsPerSecond: 6,
            isPlannedOnly: false,
            ...options,
        });
    }

    async play(): Promise<RoundResult> {
        try {
            await this.start();
            this.startedAt = performance.now();
            this.faults.forEach(fault => setTimeout(() => this.strike(fault), fault.atMs));
            await this.hand();
            await this.settle();
            await this.stop();
        }
        finally {
            await Promise.all(this.sites.map(({ process }) => process.end()));
            await this.callers.close();
            [
                ...this.sites.flatMap(site => [site.callerLink, site.peerLink, site.storeLink]),
                ...this.workerLinks,
            ]
                .forEach(link => link.close());
            await this.platform.stop();
        }
        const { checker } = this.platform;
        const acceptedAt = new Map(
            this.handed.filter(isAccepted).map(({ id, acceptedAt }) => [id, acceptedAt]),
        );
        const judged = judgeCalls({
            records: this.callers.records,
            faults: this.faults,
            startedAt: this.startedAt,
            acceptedAt,
        });
        return {
            breaches: [...this.breaches, ...checker.breaches, ...judged],
            faults: this.faults,
            calls: this.callers.records.length,
            accepted: acceptedAt.size,
            starts: checker.starts,
        };
    }

    private async start(): Promise<void> {
        const { platform, options: { entries, folder } } = this;
        mkdirSync(folder, { recursive: true });
        await platform.start();
        this.writeLists();
        for (const worker of platform.workers) {
            const link = await Link.create(portOf(worker.listedAddress));
            this.workerLinks.push(link);
            worker.listedAddress = link.address;
            platform.revive(worker);
        }
        for (let i = 0; i < entries; i++) {
            this.sites.push(await this.createSite(`e${i}`));
        }
        this.sites.forEach(({ process }) => process.start());
        const fronts = this.sites.map(({ process, callerLink }) => ({
            entry: process.name,
            address: callerLink.address,
        }));
        this.callers = CallerPool.create(fronts, Random.createSpread(this.options.seed + 2));
        for (const front of fronts) {
            await this.until(
                readyMs,
                async () => await this.callers.stateAt(front, idOf(0)) === "status 410",
            );
        }
        this.callers.records.length = 0;
    }

    private async createSite(name: string): Promise<Site> {
        const { platform, options: { program, folder } } = this;
        const [callers, readiness, metrics, peers] = await freePorts(4);
        const storeFaults = noRowFaults();
        const storeLink = await Link.create(portOf(await platform.openStore(storeFaults)));
        const peerLink = await Link.create(peers!);
        const process = EntryProcess.create({
            name,
            program,
            folder,
            ports: { callers: callers!, readiness: readiness!, metrics: metrics!, peers: peers! },
            advertise: peerLink.address,
            store: storeLink.address,
            inventory: storeLink.address,
            onBadEnd: text => this.breach(text),
        });
        return { process, callerLink: await Link.create(callers!), peerLink, storeLink, storeFaults };
    }

    /** Hands jobs in at an even rate while the faults last. */
    private async hand(): Promise<void> {
        const { lengthMs, jobsPerSecond } = this.options;
        const gapMs = 1000 / jobsPerSecond;
        this.platform.orderWave(
            1,
            this.platform.workers.slice(0, 3).map(({ life }) => life.vm),
            waveSeconds,
            1,
        );
        for (let i = 1; i * gapMs < lengthMs; i++) {
            this.pending.push(this.follow(i));
            await pause(gapMs);
        }
        await Promise.all(this.pending);
    }

    private async follow(number: number): Promise<void> {
        const { random, platform, callers } = this;
        const isService = random.chance(serviceShare);
        const steps = isService || random.chance(0.5)
            ? [{ tasks: 1 + random.int(4), isService }]
            : [{ tasks: 1 + random.int(3) }, { tasks: 1 + random.int(3), after: [0] }];
        const job: Handed = {
            id: idOf(this.options.seed * 100_000 + number),
            isService,
            acceptance: Acceptance.Unknown,
            acceptedAt: 0,
            isCancelled: false,
        };
        const spec = jobOf(
            ...steps.map(step => ({ ...step, needs: { cpu: 500, memory: 10, accelerators: 0 } })),
        );
        const wantsCancel = random.chance(cancelShare);
        const cancelAfterMs = random.fraction() * longestWorkMs;
        platform.expect(job.id, spec, { workMs: 50 + random.int(longestWorkMs) });
        this.handed.push(job);
        job.acceptance = await callers.handIn(job.id, encodeJob(spec));
        job.acceptedAt = performance.now();
        if (job.acceptance === Acceptance.Refused) {
            platform.checker.refuse(job.id);
        }
        if (job.acceptance === Acceptance.Accepted && wantsCancel) {
            await pause(cancelAfterMs);
            job.isCancelled = true;
            if (await callers.cancel(job.id)) {
                platform.checker.cancelled(job.id);
            }
        }
    }

    private strike(fault: Fault): void {
        const { kind, at, forMs, atMs, link } = fault;
        const { rows, workers } = this.platform;
        const site = this.sites[Math.max(0, at) % this.sites.length]!;
        const number = Math.max(0, at) % workers.length;
        const worker = workers[number]!;
        const views = at < 0 ? [rows.faults] : [site.storeFaults];
        const endsMs = Math.max(0, this.options.lengthMs - atMs);
        const during = (begin: () => void, end: () => void): void => {
            begin();
            setTimeout(end, Math.min(forMs, endsMs));
        };
        const storeFault = (change: Partial<RowFaults>): void =>
            during(
                () => views.forEach(view => Object.assign(view, change)),
                () => views.forEach(view => Object.assign(view, noRowFaults())),
            );
        const harm = (target: Link): void => during(() => target.set(link), () => target.set(LinkMode.Open));
        switch (kind) {
            case FaultKind.Kill:
                return site.process.kill();
            case FaultKind.KillMany:
                return this.sites.slice(at < 0 ? 0 : 1).forEach(({ process }) => process.kill());
            case FaultKind.Term:
                return site.process.term();
            case FaultKind.TermAll:
                return this.sites.forEach(({ process }, i) =>
                    setTimeout(() => process.term(), i * staggerMs)
                );
            case FaultKind.Pause:
                return during(() => site.process.pause(), () => site.process.resume());
            case FaultKind.Hup:
                return site.process.hup();
            case FaultKind.StoreLink:
                return (at < 0 ? this.sites : [site]).forEach(({ storeLink }) => harm(storeLink));
            case FaultKind.PeerLink:
                return (at < 0 ? this.sites : [site]).forEach(({ peerLink }) => harm(peerLink));
            case FaultKind.CallerLink:
                return harm(site.callerLink);
            case FaultKind.WorkerLink:
                return harm(this.workerLinks[number]!);
            case FaultKind.StoreBusy:
                return storeFault({ isBusy: true });
            case FaultKind.StoreSilent:
                return storeFault({ isSilent: true });
            case FaultKind.StoreSlow:
                return storeFault({ slowness: 40 });
            case FaultKind.StoreLost:
                return storeFault({ lostShare: 0.3 });
            case FaultKind.StoreLate:
                return storeFault({ lateShare: 0.3 });
            case FaultKind.StoreCompact:
                return rows.compact();
            case FaultKind.WorkerCrash:
                return during(() => this.platform.crash(worker), () => this.platform.revive(worker));
            case FaultKind.WorkerFails:
                return during(
                    () => void (worker.life.faults.failsAll = true),
                    () => void (worker.life.faults.failsAll = false),
                );
            case FaultKind.WorkerHangs:
                return during(
                    () => void (worker.life.faults.isHung = true),
                    () => void (worker.life.faults.isHung = false),
                );
            case FaultKind.Lists:
                return this.writeLists();
        }
    }

    /** Waits until everything accepted is done, at every entry, and notes what is not. */
    private async settle(): Promise<void> {
        const { checker } = this.platform;
        const open = new Set(this.handed.filter(isAccepted));
        const last = new Map<string, string>();
        await this.until(finishMs, async () => {
            for (const job of open) {
                const states = await Promise.all(
                    this.callers.fronts.map(front => this.callers.stateAt(front, job.id)),
                );
                last.set(job.id, states.join(", "));
                if (states.every(state => isSettled(job, state))) {
                    open.delete(job);
                    if (states.includes("succeeded")) {
                        checker.succeeded(job.id);
                    }
                }
            }
            return open.size === 0;
        });
        for (const job of open) {
            this.breach(`${job.id} (cancelled: ${job.isCancelled}) is not done: ${last.get(job.id)}`);
        }
        const present = new Set(this.platform.workers.flatMap(({ life }) => [...life.running.keys()]));
        for (const { id, isCancelled, isService } of this.handed.filter(isAccepted)) {
            const runs = [...present].filter(task => task.startsWith(`${id}.`)).length;
            const wanted = this.platform.checker.specs.get(id)!.steps[0]!.tasks;
            if (isService && !isCancelled && runs < wanted) {
                this.breach(`${id} lasts and has ${runs} of ${wanted} tasks running`);
            }
            if (isCancelled && checker.isCancelled(id) && runs > 0) {
                this.breach(`${id} is cancelled and still has ${runs} tasks running`);
            }
        }
        const isWaveDone = () => this.platform.statusOf(1)?.includes("succeeded") === true;
        await this.until(waveSeconds * 1000, () => Promise.resolve(isWaveDone()));
        if (!isWaveDone()) {
            this.breach(`the wave of service is shown as ${this.platform.statusOf(1)}`);
        }
    }

    /** Stops all entries as an operator does; each must end by itself. */
    private async stop(): Promise<void> {
        this.sites.forEach(({ process }) => process.term());
        await Promise.all(this.sites.map(({ process }) => process.ended()));
    }

    private writeLists(): void {
        this.platform.operate("config", {
            version: this.listsVersion++,
            routes: [{
                name: "r1",
                host: "jobs.example",
                "path-prefix": "/open/",
                service: "bench",
                anonymous: true,
            }],
            services: [{ name: "bench", "admission-check": true }],
            tenants: [{ name: "t1", "api-keys": [`k${this.listsVersion}`], weight: 5 }],
        });
    }

    private breach(text: string): void {
        this.breaches.push(`${Math.round(performance.now() - this.startedAt)} ms: ${text}`);
    }

    private async until(limitMs: number, isTrue: () => Promise<boolean>): Promise<void> {
        const deadline = performance.now() + limitMs;
        while (!await isTrue() && performance.now() < deadline) {
            await pause(pollMs);
        }
    }
}

function isAccepted({ acceptance }: Handed): boolean {
    return acceptance === Acceptance.Accepted;
}

function isSettled({ isCancelled, isService }: Handed, state: string): boolean {
    return state === "succeeded" || isCancelled && state === "cancelled" || isService && state === "running";
}

function encodeJob({ payload, steps }: JobSpec): string {
    return JSON.stringify({
        spec: payload,
        steps: steps.map(step => ({
            count: step.tasks,
            cpu: step.needs.cpu,
            "mem-mb": step.needs.memory,
            "estimate-ms": step.estimateMs,
            after: step.after,
            "long-running": step.isService,
        })),
    });
}

function idOf(number: number): string {
    return number.toString(16).padStart(idDigits, "0");
}

function portOf(address: string): number {
    return Number(address.slice(`${host}:`.length));
}

/** Folder of a round's settings and logs. */
export function roundFolder(base: string, seed: number): string {
    return join(base, `seed-${seed}`);
}
