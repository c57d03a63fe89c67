/**
 * A tenure alone, in virtual time, whose process has a processor of its own: each call to a worker and each batch of progress
 * takes some of its time, strictly one after the other.
 */
import { type AcceptedJob, encodeJob, JobPhase, type JobSpec, parseTaskName } from "../src/job/index.js";
import { jobKey } from "../src/pool/job-rows.js";
import { chainKey, type Owner, ownerKey } from "../src/pool/ownership.js";
import type { HoldResult, StartResult, WorkerClient, WorkerTarget } from "../src/pool/ports.js";
import { Tenure } from "../src/pool/tenure.js";
import { EventId, type Severity } from "../src/process/events.js";
import type { LogFields } from "../src/process/log.js";
import { Metrics } from "../src/process/metrics.js";
import { Random } from "../src/process/random.js";
import { noResources } from "../src/process/resources.js";
import type { RowStore } from "../src/process/rows.js";
import { siteSettingsSchema } from "../src/process/site-settings.js";
import { sleep, type Timer } from "../src/process/timer.js";
import { VirtualTimer } from "../src/process/virtual-timer.js";
import type { Queue } from "../src/version/directory.js";
import { InvariantChecker } from "../standin/site/checker.js";
import { StandinRowStore } from "../standin/site/rows.js";
import { queueOf } from "../standin/site/site.js";
import { StandinWorker } from "../standin/site/worker.js";

/** Processor time that the owner's process needs, in milliseconds. */
export interface ProcessorCosts {
    /** For sending a command to a worker. */
    readonly sendMs: number;
    /** For reading the answer to a command. */
    readonly readMs: number;
    /** For sending a hold request, and for reading its answer. */
    readonly holdMs: number;
    /** For sending a batch of progress, and for reading its answer. */
    readonly batchMs: number;
    /** For each row of a batch, in addition. */
    readonly rowMs: number;
}

/** Options of `OwnerTenure.create`. */
export interface OwnerTenureOptions {
    /** Read at each call, so that they may change. */
    readonly costs: ProcessorCosts;
    readonly workers: number;
    /** Factor on the time of the store for a call, which is 12 ms for a batch. */
    readonly storeLatencyFactor?: number;
    readonly queue?: Partial<Queue>;
    /** Run time of each task, in milliseconds. */
    readonly workMs?: number;
}

const domain = "main";
const owner: Owner = { entry: "e0", incarnation: "e0#1", fence: 1 };
const networkMs = 1;
/** Time limits of the client of the workers, counted from when a call is handed over. */
const timeLimits = { startMs: 200, stopMs: 250, holdMarginMs: 500 };

/** Work of one process, which is done in the order in which it was handed over. */
class Processor {
    private freeAt = 0;

    constructor(private readonly timer: Timer) {}

    run(ms: number): Promise<void> {
        this.freeAt = Math.max(this.freeAt, this.timer.now()) + ms;
        return sleep(this.timer, this.freeAt - this.timer.now());
    }
}

/** A tenure with its store and workers. */
export class OwnerTenure {
    readonly timer = VirtualTimer.create();
    readonly metrics = Metrics.create();
    readonly checker = new InvariantChecker(this.timer);
    readonly rows = StandinRowStore.create(this.timer, Random.create(1));
    readonly tenure: Tenure;
    /** Starts handed over to the client of the workers, and those of them without an answer in time. */
    starts = 0;
    uncertainStarts = 0;
    /** Times at which workers started runs, in milliseconds. */
    readonly startedAt: number[] = [];
    private readonly processor = new Processor(this.timer);
    private readonly workers: readonly StandinWorker[];
    private readonly jobs: AcceptedJob[] = [];
    private readonly succeededAtMs = new Map<string, number>();
    private readonly queue: Queue;

    private constructor(private readonly options: OwnerTenureOptions) {
        const { timer, metrics, rows } = this;
        this.queue = queueOf(options.queue);
        rows.faults.latencyFactor = options.storeLatencyFactor ?? 1;
        rows.write(ownerKey(domain), JSON.stringify(owner));
        rows.write(chainKey(domain), JSON.stringify({ incarnation: owner.incarnation, batch: 0 }));
        this.workers = Array.from({ length: options.workers }, (_, i) => this.createWorker(`w${i}`));
        const { times, bounds, scheduling, jobParts } = siteSettingsSchema.parse({
            entry: owner.entry,
            zone: "",
            callers: "x:1",
            readiness: "x:2",
            metrics: "x:3",
            peers: { listen: "x:4", secret: "0123456789abcdef" },
            store: "x:5",
            scheduling: {},
        });
        const directory = {
            version: 1,
            queues: [this.queue],
            pools: new Map(),
            teams: new Map([["team", { name: "team", weight: 0, cap: noResources }]]),
            keys: new Map(),
        };
        this.tenure = Tenure.create({
            head: {
                domain,
                owner,
                ownerVersion: rows.find(ownerKey(domain))!.version,
                chainVersion: rows.find(chainKey(domain))!.version,
                batch: 0,
            },
            leaseBounds: { fence: owner.fence, owners: [], workers: [] },
            store: this.slowStore(rows.clientFor(timer)),
            roster: { list: () => Promise.resolve(this.workers.map(({ listed }) => listed)) },
            calls: this.workerClient(),
            adviser: { advise: () => Promise.reject(new Error("no queue needs advice")) },
            directory: () => directory,
            zones: { zones: [], orders: [], isEvacuated: () => false, load: () => Promise.resolve() },
            timer,
            log: { write: (_: Severity, event, fields = {}) => this.recordPhase(event, fields) },
            metrics,
            times: { ...times, longestLeaseMs: bounds.longestLeaseMs, longestStopMs: bounds.longestStopMs },
            scheduling,
            jobParts,
            onSuperseded: () => {
                throw new Error("the tenure was superseded");
            },
        });
    }

    static create(options: OwnerTenureOptions): OwnerTenure {
        return new OwnerTenure(options);
    }

    /** Stores jobs that wait for the owner; if its tenure has begun, it is notified of them. */
    submit(count: number, spec: JobSpec): void {
        for (let i = 0; i < count; i++) {
            const id = `j${this.jobs.length}`;
            const acceptedAtMs = Math.round(this.timer.wall());
            const job: AcceptedJob = { id, queue: this.queue.name, team: "team", acceptedAtMs, spec };
            this.jobs.push(job);
            this.checker.specs.set(id, spec);
            this.rows.write(jobKey(id), encodeJob(job));
            this.tenure.accept(job);
        }
    }

    /** Share of the jobs whose success was stored within their objective. */
    onTimeShare(): number {
        const { stretch, objectiveMs } = this.queue;
        const onTime = this.jobs.filter(({ id, acceptedAtMs, spec }) => {
            const allowedMs = stretch * spec.steps.reduce((ms, { estimateMs }) => ms + estimateMs, 0)
                + objectiveMs;
            return (this.succeededAtMs.get(id) ?? Infinity) <= acceptedAtMs + allowedMs;
        });
        return onTime.length / this.jobs.length;
    }

    private createWorker(id: string): StandinWorker {
        const { workMs = 1000 } = this.options;
        return new StandinWorker(
            this.timer,
            id,
            this.queue.pool,
            `vm-${id}`,
            "rack",
            { cpu: 32_000, memory: 128_000, accelerators: 0 },
            task => {
                const parsed = parseTaskName(task);
                const step = parsed && this.checker.specs.get(parsed.job)?.steps[parsed.step];
                return step && { needs: step.needs, workMs, failures: 0, isService: false };
            },
            {
                onRunStarted: (worker, request) => {
                    this.startedAt.push(this.timer.now());
                    this.checker.onRunStarted(worker, request);
                },
                onRunEnded: (...end) => this.checker.onRunEnded(...end),
                onStopAccepted: (...stop) => this.checker.onStopAccepted(...stop),
                onEndAcknowledged: (...end) => this.checker.onEndAcknowledged(...end),
            },
        );
    }

    private recordPhase(event: EventId, { job, phase }: LogFields): void {
        if (event === EventId.JobPhaseStored && phase === JobPhase.Succeeded) {
            this.succeededAtMs.set(String(job), this.timer.wall());
        }
    }

    /** The store, whose batches of progress are sent and answered when the owner's processor comes to it. */
    private slowStore(store: RowStore): RowStore {
        return {
            read: range => store.read(range),
            feed: (table, since, options) => store.feed(table, since, options),
            transact: async tx => {
                const { batchMs, rowMs } = this.options.costs;
                await this.processor.run(batchMs + tx.puts.length * rowMs);
                const outcome = await store.transact(tx);
                await this.processor.run(batchMs);
                return outcome;
            },
        };
    }

    private workerClient(): WorkerClient {
        const command = (limitMs: number) => {
            const { sendMs, readMs } = this.options.costs;
            return { sendMs, readMs, limitMs };
        };
        return {
            start: async (target, request) => {
                this.starts++;
                const result = await this.call<StartResult>(
                    command(timeLimits.startMs),
                    answer => answer(this.workerOf(target).start(request)),
                );
                this.uncertainStarts += result === undefined ? 1 : 0;
                return result ?? { kind: "unknown", reason: "timeout" };
            },
            stop: async (target, task, run, fence) =>
                await this.call(
                    command(timeLimits.stopMs),
                    answer => answer(this.workerOf(target).stop(task, run, fence)),
                ) ?? { kind: "failed", reason: "timeout" },
            hold: async (target, request) => {
                const { holdMs } = this.options.costs;
                const limitMs = request.waitMs + timeLimits.holdMarginMs;
                return await this.call<HoldResult>(
                    { sendMs: holdMs, readMs: holdMs, limitMs },
                    answer => this.workerOf(target).hold(request, answer),
                ) ?? { kind: "unknown", reason: "timeout" };
            },
            pace: () => Promise.resolve({ kind: "done" }),
            retain: () => undefined,
        };
    }

    /**
     * Carries out a call to a worker. Returns undefined if its answer was not read within its time limit; the worker has
     * executed it nevertheless, or will.
     */
    private call<T>(
        { sendMs, readMs, limitMs }: {
            readonly sendMs: number;
            readonly readMs: number;
            readonly limitMs: number;
        },
        execute: (answer: (result: T) => void) => void,
    ): Promise<T | undefined> {
        return new Promise(resolve => {
            let isGivenUp = false;
            const cancel = this.timer.after(limitMs, () => {
                isGivenUp = true;
                resolve(undefined);
            });
            const read = async (result: T): Promise<void> => {
                await sleep(this.timer, networkMs);
                if (!isGivenUp) {
                    await this.processor.run(readMs);
                    cancel();
                    resolve(result);
                }
            };
            void this.processor.run(sendMs).then(() =>
                this.timer.after(networkMs, () => execute(result => void read(result)))
            );
        });
    }

    private workerOf({ worker: id }: WorkerTarget): StandinWorker {
        return this.workers.find(worker => worker.id === id)!;
    }
}
