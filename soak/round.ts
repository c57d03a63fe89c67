/** One round: a platform, entries as processes, callers, and the faults of a seed; then the promises are checked. */
import { mkdirSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import type { JobSpec } from "../src/job/index.js";
import { Random } from "../src/process/random.js";
import { RisingCounter } from "../standin/site/rising-counter.js";
import { jobOf } from "../standin/site/site.js";
import { WirePlatform } from "../standin/wire/platform.js";
import { Acceptance, CallerPool } from "./caller.js";
import { encodeJob, type Handed, idOf, isAccepted, isSettled, listsOf } from "./jobs.js";
import { judgeCalls } from "./judge.js";
import { Link } from "./link.js";
import { portOf } from "./loopback.js";
import { type Fault, planFaults } from "./plan.js";
import { createSite, type Site } from "./site.js";
import { type Scene, strike } from "./strike.js";
import { Build, planUpgrade, Upgrade } from "./upgrade.js";
import { type Evacuation, planEvacuations, zones } from "./zones.js";

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
    /** Time within which every entry must be ready, in milliseconds. */
    readonly readyMs?: number;
    /**
     * Another build of the daemon, which every other entry runs at first. Handovers between the builds then take the place
     * of the faults, and tasks take several seconds.
     */
    readonly oldProgram?: string;
}

type CompleteOptions = Required<Omit<RoundOptions, "oldProgram">> & Pick<RoundOptions, "oldProgram">;

/** What a round showed. */
export interface RoundResult {
    readonly breaches: readonly string[];
    readonly faults: readonly Fault[];
    readonly evacuations: readonly Evacuation[];
    readonly calls: number;
    readonly accepted: number;
    readonly starts: number;
    /** Owners of the site and their fencing tokens; empty in a round with one build. */
    readonly owners: readonly string[];
}

const pollMs = 250;
const cancelShare = 0.15;
const serviceShare = 0.08;
const waveSeconds = 20;
const taskNeeds = { cpu: 500, memory: 10, accelerators: 0 };
/** Number of the first service that a strike hands in, above those of the other jobs of a round. */
const firstServiceNumber = 90_000;
const servicePerWorker = 2;
/** Share of the places that such a service takes; the others are for tasks of workers that are cut off. */
const serviceFill = 0.7;

/** Work of the tasks in a round. */
interface Pace {
    readonly shortestWorkMs: number;
    readonly extraWorkMs: number;
    /** Time after the last fault in which everything accepted must be done: recovery and the jobs' own work. */
    readonly finishMs: number;
}

const pace: Pace = { shortestWorkMs: 50, extraWorkMs: 1500, finishMs: 14_000 };
/** Tasks of several seconds are under way at each handover; two steps of them may start again after the last one. */
const upgradePace: Pace = { shortestWorkMs: 2000, extraWorkMs: 4000, finishMs: 40_000 };

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
    private readonly timers: NodeJS.Timeout[] = [];
    /** Aborted when the round cannot go on: an entry never got ready, or a process ended by itself. */
    private readonly failure = new AbortController();
    private readonly faults: readonly Fault[];
    private readonly evacuations: readonly Evacuation[];
    private readonly pace: Pace;
    private readonly upgrade: Upgrade | undefined;
    private callers!: CallerPool;
    private readonly listsVersions: RisingCounter;
    private handedServices = 0;
    private startedAt = 0;

    private constructor(private readonly options: CompleteOptions) {
        const { seed, workers, lengthMs, meanGapMs, isPlannedOnly, program, oldProgram } = options;
        this.random = Random.createFromSmallSeed(seed + 1);
        this.platform = WirePlatform.create({ pool: "bench", workers, seed, zones });
        this.listsVersions = RisingCounter.create({ seed, name: "lists" });
        this.pace = oldProgram === undefined ? pace : upgradePace;
        this.upgrade = oldProgram === undefined
            ? undefined
            : Upgrade.create({ [Build.Old]: oldProgram, [Build.New]: program }, this.platform, seed);
        this.faults = oldProgram === undefined
            ? planFaults({ seed, lengthMs, meanGapMs, isPlannedOnly })
            : planUpgrade({ seed, lengthMs, isPlannedOnly });
        this.evacuations = planEvacuations(seed, lengthMs);
    }

    static create(options: RoundOptions): Round {
        return new Round({
            entries: 3,
            workers: 5,
            lengthMs: 15_000,
            meanGapMs: 900,
            jobsPerSecond: 6,
            isPlannedOnly: false,
            readyMs: 15_000,
            ...options,
        });
    }

    async play(): Promise<RoundResult> {
        try {
            this.startedAt = performance.now();
            await this.start();
            this.startedAt = performance.now();
            this.faults.forEach(fault => this.after(fault.atMs, () => this.strike(fault)));
            for (const { zone, atMs, forMs } of this.evacuations) {
                this.after(atMs, () => this.platform.evacuate(zone));
                this.after(atMs + forMs, () => this.platform.restore(zone));
            }
            await this.hand();
            await this.settle();
            this.upgrade?.unwatch();
            await this.stop();
        }
        catch (err) {
            if (!this.failure.signal.aborted) {
                throw err;
            }
        }
        finally {
            this.timers.forEach(clearTimeout);
            this.upgrade?.unwatch();
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
        // Calls that the end of a failed round broke off say nothing.
        const judged = this.failure.signal.aborted ? [] : judgeCalls({
            records: this.callers.records,
            faults: this.faults,
            startedAt: this.startedAt,
            acceptedAt,
        });
        return {
            breaches: [
                ...this.breaches,
                ...checker.violations,
                ...judged,
                ...this.upgrade?.breaches(this.faults, this.startedAt) ?? [],
            ],
            faults: this.faults,
            evacuations: this.evacuations,
            calls: this.callers.records.length,
            accepted: acceptedAt.size,
            starts: checker.startCount,
            owners: this.upgrade?.summary(this.startedAt) ?? [],
        };
    }

    private async start(): Promise<void> {
        const { platform, upgrade, options: { entries, folder, readyMs } } = this;
        mkdirSync(folder, { recursive: true });
        await platform.start();
        this.writeLists();
        for (const worker of platform.workers) {
            const link = await Link.create(portOf(worker.listedAddress));
            this.workerLinks.push(link);
            worker.listedAddress = link.address;
            platform.restart(worker);
        }
        for (let i = 0; i < entries; i++) {
            const onBadEnd = (text: string): void => this.breach(text);
            const onOwnEnd = (text: string): void => this.fail(text);
            const program = upgrade?.programOf(i) ?? { program: this.options.program };
            this.sites.push(
                await createSite({ name: `e${i}`, platform, ...program, folder, onBadEnd, onOwnEnd }),
            );
        }
        this.upgrade?.watch(this.sites);
        this.sites.forEach(({ process }) => process.start());
        const fronts = this.sites.map(({ process, callerLink }) => ({
            entry: process.name,
            address: callerLink.address,
        }));
        this.callers = CallerPool.create(fronts, Random.createFromSmallSeed(this.options.seed + 2));
        for (const front of fronts) {
            let state = "";
            const isReady = await this.until(readyMs, async () => {
                state = await this.callers.stateAt(front, idOf(0));
                return state === "status 410";
            });
            if (!isReady) {
                this.fail(`${front.entry} was not ready after ${readyMs} ms; its last answer: ${state}`);
            }
            this.failure.signal.throwIfAborted();
        }
        this.callers.records.length = 0;
    }

    /** Hands jobs in at an even rate while the faults last. */
    private async hand(): Promise<void> {
        const { lengthMs, jobsPerSecond } = this.options;
        const gapMs = 1000 / jobsPerSecond;
        this.platform.orderWave(
            1,
            this.platform.workers.slice(0, 3).map(({ incarnation: life }) => life.vm),
            waveSeconds,
            1,
        );
        for (let i = 1; i * gapMs < lengthMs; i++) {
            this.pending.push(this.follow(i));
            await pause(gapMs, undefined, { signal: this.failure.signal });
        }
        await Promise.race([Promise.all(this.pending), this.failed()]);
    }

    /** Hands in a service whose tasks run on more than half of the workers, and cancels it after `lastsMs`. */
    private async handInService(lastsMs: number): Promise<void> {
        const { platform, options: { seed, workers } } = this;
        const job: Handed = {
            id: idOf(seed * 100_000 + firstServiceNumber + this.handedServices++),
            isService: true,
            acceptance: Acceptance.Unknown,
            acceptedAt: 0,
            isCancelled: false,
        };
        const tasks = Math.ceil(servicePerWorker * workers * serviceFill);
        const spec = jobOf({ tasks, isService: true, perWorker: servicePerWorker, needs: taskNeeds });
        platform.expectJob(job.id, spec);
        await this.handIn(job, spec);
        await pause(lastsMs);
        await this.cancel(job);
    }

    private async handIn(job: Handed, spec: JobSpec): Promise<void> {
        this.handed.push(job);
        job.acceptance = await this.callers.handIn(job.id, encodeJob(spec));
        job.acceptedAt = performance.now();
        if (job.acceptance === Acceptance.Refused) {
            this.platform.checker.recordRefused(job.id);
        }
    }

    /** Cancels a job if it was accepted. */
    private async cancel(job: Handed): Promise<void> {
        if (job.acceptance === Acceptance.Accepted) {
            job.isCancelled = true;
            if (await this.callers.cancel(job.id)) {
                this.platform.checker.recordCancelled(job.id);
            }
        }
    }

    private async follow(number: number): Promise<void> {
        const { random, platform } = this;
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
            ...steps.map(step => ({ ...step, needs: taskNeeds })),
        );
        const wantsCancel = random.chance(cancelShare);
        const cancelAfterMs = random.fraction() * this.pace.extraWorkMs;
        const workMs = this.pace.shortestWorkMs + random.int(this.pace.extraWorkMs);
        platform.expectJob(job.id, spec, { workMs });
        await this.handIn(job, spec);
        if (job.acceptance === Acceptance.Accepted && wantsCancel) {
            await pause(cancelAfterMs);
            await this.cancel(job);
        }
    }

    /** Waits until everything accepted is done, at every entry, and notes what is not. */
    private async settle(): Promise<void> {
        const { checker } = this.platform;
        const open = new Set(this.handed.filter(isAccepted));
        const last = new Map<string, string>();
        await this.until(this.pace.finishMs, async () => {
            for (const job of open) {
                const states = await Promise.all(
                    this.callers.fronts.map(front => this.callers.stateAt(front, job.id)),
                );
                last.set(job.id, states.join(", "));
                const mayFail = checker.tasksThatMayBeGivenUp(job.id).length > 0;
                if (states.every(state => isSettled(job, state) || (mayFail && state === "failed"))) {
                    open.delete(job);
                    if (states.includes("succeeded")) {
                        checker.recordSucceeded(job.id);
                    }
                }
            }
            return open.size === 0;
        });
        for (const job of open) {
            this.breach(`${job.id} (cancelled: ${job.isCancelled}) is not done: ${last.get(job.id)}`);
        }
        const present = new Set(
            this.platform.workers.flatMap(({ incarnation: life }) => [...life.running.keys()]),
        );
        for (const { id, isCancelled, isService } of this.handed.filter(isAccepted)) {
            const runs = [...present].filter(task => task.startsWith(`${id}.`)).length;
            const givenUp = checker.tasksThatMayBeGivenUp(id).filter(task => !present.has(task)).length;
            const wanted = checker.specs.get(id)!.steps[0]!.tasks - givenUp;
            if (isService && !isCancelled && runs < wanted) {
                this.breach(`${id} lasts and has ${runs} of ${wanted} tasks running`);
            }
            if (isCancelled && checker.isCancelled(id) && runs > 0) {
                this.breach(`${id} is cancelled and still has ${runs} tasks running`);
            }
        }
        const isWaveDone = () => this.platform.waveStatusOf(1)?.includes("succeeded") === true;
        await this.until(waveSeconds * 1000, () => Promise.resolve(isWaveDone()));
        if (!isWaveDone()) {
            this.breach(`the wave of service is shown as ${this.platform.waveStatusOf(1)}`);
        }
    }

    /** Stops all entries as an operator does; each must end by itself. */
    private async stop(): Promise<void> {
        this.sites.forEach(({ process }) => process.term());
        await Promise.all(this.sites.map(({ process }) => process.ended()));
    }

    private strike(fault: Fault): void {
        if (this.upgrade === undefined) {
            strike(fault, this.scene());
        }
        else {
            this.upgrade.strike(fault, this.scene());
        }
    }

    private scene(): Scene {
        const { sites, platform, workerLinks, options: { lengthMs } } = this;
        return {
            sites,
            platform,
            workerLinks,
            lengthMs,
            writeLists: () => this.writeLists(),
            handInService: lastsMs => void this.pending.push(this.handInService(lastsMs)),
            after: (delayMs, act) => this.after(delayMs, act),
        };
    }

    /** Does something later, unless the round has ended by then. */
    private after(delayMs: number, act: () => void): void {
        this.timers.push(setTimeout(act, delayMs));
    }

    private writeLists(): void {
        this.platform.writeOperatorRow("config", listsOf(this.listsVersions.next()));
    }

    private breach(text: string): void {
        this.breaches.push(`${Math.round(performance.now() - this.startedAt)} ms: ${text}`);
    }

    /** Notes a breach that ends the round at once; only the first one counts, since the end may cause others. */
    private fail(text: string): void {
        if (!this.failure.signal.aborted) {
            this.breach(text);
            this.failure.abort();
        }
    }

    /** Rejects when the round has failed. */
    private async failed(): Promise<never> {
        const { signal } = this.failure;
        if (!signal.aborted) {
            await new Promise(resolve => signal.addEventListener("abort", resolve, { once: true }));
        }
        throw signal.reason;
    }

    /** Polls a condition; false when it did not hold in time. */
    private async until(limitMs: number, isTrue: () => Promise<boolean>): Promise<boolean> {
        const deadline = performance.now() + limitMs;
        for (;;) {
            if (await isTrue()) {
                return true;
            }
            if (performance.now() >= deadline) {
                return false;
            }
            await pause(pollMs, undefined, { signal: this.failure.signal });
        }
    }
}

/** Folder of a round's settings and logs. */
export function roundFolder(base: string, seed: number): string {
    return join(base, `seed-${seed}`);
}
