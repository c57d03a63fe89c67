/**
 * Replays the packing workload through the real demand meter, fleet plan and start plan in virtual time, with a model of the
 * platform: VM moves of 1.5 s, workers that join 0.4 s later, and stops of services.
 */
import { RunEnd, TaskSet } from "../../src/job/index.js";
import { DemandMeter } from "../../src/pool/demand.js";
import { DurationEstimator } from "../../src/pool/duration-estimator.js";
import { evictableRuns, hasRoomElsewhere } from "../../src/pool/eviction.js";
import { type FleetAction, planFleet, type VmSnapshot } from "../../src/pool/fleet-plan.js";
import { JobRegistry } from "../../src/pool/job-registry.js";
import { planStarts } from "../../src/pool/plan-starts.js";
import { type ListedWorker, VmPhase } from "../../src/pool/ports.js";
import { type JobEntry, type RunRecord, StartStatus, StopReason } from "../../src/pool/records.js";
import { FleetPacking } from "../../src/pool/scheduling/fleet-packing.js";
import { WorkerRegistry } from "../../src/pool/worker-registry.js";
import { Random } from "../../src/process/random.js";
import type { Resources } from "../../src/process/resources.js";
import { type ReplayOptions, type ReplayResult, usageOf, type UseSample } from "./usage.js";
import {
    burstDirectory,
    burstJobs,
    objectiveMsOf,
    poolSizes,
    serviceJobs,
    type WorkloadJob,
} from "./workload.js";

const capacity: Resources = { cpu: 64_000, memory: 128_000, accelerators: 0 };
const vmsPerRack = 20;
const moveMs = 1500;
const joinMs = 400;
const ordersPerTick = 6;
const tickMs = 100;
const roundMs = 20;
const stepMs = 5;
const startDelayMs = 15;
const reportDelayMs = 20;
const serviceStartMs = 500;
const stopMs = 300;
const maxStarts = 64;

interface ReplayVm {
    readonly vm: string;
    readonly rack: string;
    pool: string;
    phase: VmPhase;
    isCordoned: boolean;
    worker: string;
}

/** Replays the workload. */
export function replayBursts(options: ReplayOptions): ReplayResult {
    return new Replay(options).run();
}

class Replay {
    private now = 0;
    private readonly vms: ReplayVm[] = [];
    private readonly jobs = JobRegistry.create();
    private readonly workers = WorkerRegistry.create({ inheritedLeasesUntil: -Infinity });
    private readonly durations = DurationEstimator.create();
    private readonly demand: DemandMeter;
    private readonly directory = burstDirectory();
    private readonly events = new Map<number, (() => void)[]>();
    private readonly random: Random;
    private readonly workload = new Map<string, WorkloadJob>();
    private readonly samples: UseSample[] = [];
    private readonly packing: FleetPacking | undefined;
    private isDirty = true;
    private joined = 0;
    private moves = 0;
    private serviceStops = 0;
    private serviceRuns = 0;
    private wantedServiceRuns = 0;

    constructor(private readonly options: ReplayOptions) {
        this.random = Random.createFromSmallSeed(options.seed + 1000);
        this.demand = DemandMeter.create();
        this.packing = options.isPacking
            ? FleetPacking.create({ durations: this.durations }, { now: () => this.now })
            : undefined;
        for (const [pool, count] of Object.entries(poolSizes)) {
            for (let i = 0; i < count; i++) {
                const index = this.vms.length;
                const vm: ReplayVm = {
                    vm: `vm${index}`,
                    rack: `r${Math.floor(index / vmsPerRack)}`,
                    pool,
                    phase: VmPhase.Up,
                    isCordoned: false,
                    worker: "",
                };
                this.vms.push(vm);
                if (pool !== "spare") {
                    this.join(vm);
                }
            }
        }
    }

    run(): ReplayResult {
        const { seed, durationMs } = this.options;
        const jobs = burstJobs(seed, durationMs);
        for (const job of [...serviceJobs(), ...jobs]) {
            this.after(job.atMs, () => this.accept(job));
        }
        const tailMs = 40_000;
        for (; this.now < durationMs + tailMs; this.now += stepMs) {
            this.events.get(this.now)?.forEach(event => event());
            this.events.delete(this.now);
            if (this.now % tickMs === 0) {
                this.tick();
                if (this.now < durationMs) {
                    this.sample();
                }
            }
            if (this.now % roundMs === 0 && this.isDirty) {
                this.isDirty = false;
                this.placeTasks();
            }
        }
        return this.result(jobs);
    }

    private after(ms: number, event: () => void): void {
        const at = Math.ceil((this.now + ms) / stepMs) * stepMs;
        this.events.set(at, [...this.events.get(at) ?? [], event]);
    }

    private accept(job: WorkloadJob): void {
        const { id, queue, spec } = job;
        this.workload.set(id, job);
        this.jobs.accept({ id, queue, team: "", acceptedAtMs: this.now, spec });
        this.isDirty = true;
    }

    private placeTasks(): void {
        const placements = planStarts({
            jobs: this.jobs,
            workers: this.workers.byId.values(),
            directory: this.directory,
            durations: this.durations,
            ticketsFor: () => undefined,
            now: this.now,
            wallMs: this.now,
            limit: maxStarts,
            isPacking: this.options.isPacking,
        });
        this.isDirty ||= placements.length >= maxStarts;
        for (const { entry, taskIndex, worker } of placements) {
            const record = this.jobs.claim(entry, taskIndex, worker.id, worker.startedAtMs, this.now);
            this.workers.addRun(record);
            this.after(startDelayMs, () => this.begin(record));
        }
    }

    private begin(record: RunRecord): void {
        record.start = StartStatus.Confirmed;
        record.startedAt = this.now;
        if (record.step.isService) {
            this.after(serviceStartMs, () => record.progressPercent = 100);
            return;
        }
        const task = record.entry.state.tasks.at(record.position);
        const ms = this.workload.get(record.entry.job.id)!.taskMs[task.step]![task.index]!;
        this.after(ms + reportDelayMs, () => {
            this.durations.record(record.entry.job.queue, ms);
            this.end(record, RunEnd.Done);
        });
    }

    private end(record: RunRecord, how: RunEnd): void {
        this.workers.removeRun(record);
        this.jobs.end(record, { how }, 3, this.now);
        this.isDirty = true;
    }

    private tick(): void {
        this.evictServices();
        const now = this.now;
        const input = {
            jobs: this.jobs,
            directory: this.directory,
            durations: this.durations,
            now,
            wallMs: now,
            leadMs: moveMs + joinMs,
        };
        this.demand.measure(input);
        const vms = this.vms.map(vm => this.snapshotOf(vm));
        const packed = this.packing?.measure(input, vms, this.workers);
        const actions = planFleet({
            vms,
            demands: [...this.directory.pools.values()].map(({ name, isSpare }) => ({
                pool: name,
                isSpare,
                resources: this.demand.peakDemandOf(name, now),
                minVms: this.demand.minVmsOf(name),
                unplaceableSteps: [],
                ...packed?.(name),
            })),
            waves: [],
            reserveVms: 1,
            minVms: 2,
        });
        this.execute(actions);
    }

    private snapshotOf({ vm, pool, phase, rack, isCordoned, worker: id }: ReplayVm): VmSnapshot {
        const worker = this.workers.byId.get(id);
        const runs = [...worker?.runs.values() ?? []];
        return {
            vm,
            pool,
            phase,
            rack,
            capacity,
            labels: ["a", rack],
            runs: worker === undefined ? pool === "spare" ? 0 : 1 : runs.length,
            serviceRuns: runs.filter(({ step }) => step.isService).length,
            isCordoned,
            isOrderable: true,
            isWorkerReady: worker !== undefined,
            dueWave: undefined,
            ...this.packing?.contentsOf(vm, worker, isCordoned),
        };
    }

    private execute(actions: readonly FleetAction[]): void {
        let orders = 0;
        for (const action of actions) {
            const vm = this.vms.find(each => each.vm === action.vm)!;
            if (action.kind === "move") {
                orders++;
                if (orders <= ordersPerTick && !this.random.chance(this.options.refusedOrders ?? 0)) {
                    this.move(vm, action.pool);
                }
            }
            else if (action.kind !== "service") {
                this.setCordon(vm, action.kind === "cordon");
            }
        }
    }

    private move(vm: ReplayVm, pool: string): void {
        const worker = this.workers.byId.get(vm.worker);
        if (worker !== undefined && worker.runs.size > 0) {
            throw new Error(
                `${vm.vm} was moved with ${worker.runs.size} runs; planFleet must not order this`,
            );
        }
        this.moves++;
        this.workers.byId.delete(vm.worker);
        Object.assign(vm, { worker: "", pool, phase: VmPhase.Moving, isCordoned: false });
        this.after(moveMs, () => {
            vm.phase = VmPhase.Up;
            if (pool !== "spare") {
                this.after(joinMs, () => this.join(vm));
            }
        });
    }

    private join(vm: ReplayVm): void {
        vm.worker = `${vm.vm}/${++this.joined}`;
        const listed: ListedWorker = {
            id: vm.worker,
            pool: vm.pool,
            address: "",
            zone: "",
            labels: ["a", vm.rack],
            capacity,
            isDraining: false,
            remainingMs: 0,
            startedAtMs: this.joined,
            report: 1,
        };
        const present = [...this.workers.byId.values()].map(worker => worker.listed);
        this.workers.update([...present, listed], this.now);
        const worker = this.workers.byId.get(vm.worker)!;
        worker.hasAcceptedFence = true;
        worker.isReachable = true;
        this.isDirty = true;
    }

    private setCordon(vm: ReplayVm, isCordoned: boolean): void {
        vm.isCordoned = isCordoned;
        const worker = this.workers.byId.get(vm.worker);
        if (worker !== undefined) {
            worker.isCordoned = isCordoned;
        }
        this.isDirty ||= !isCordoned;
    }

    private evictServices(): void {
        const view = {
            jobs: this.jobs,
            workers: this.workers,
            options: { times: { longestStopMs: stopMs } },
        };
        const elsewhere = { isZoneEvacuated: () => false, now: this.now };
        for (const vm of this.vms.filter(each => each.isCordoned)) {
            const worker = this.workers.byId.get(vm.worker);
            for (const record of worker === undefined ? [] : evictableRuns(view, worker)) {
                if (this.options.isPacking && !hasRoomElsewhere(this.workers, record, elsewhere)) {
                    continue;
                }
                record.stopReason = StopReason.VmLeaving;
                record.stopSentAt = this.now;
                this.serviceStops++;
                this.after(stopMs, () => this.end(record, RunEnd.Stopped));
            }
        }
    }

    private sample(): void {
        const up = this.vms.filter(({ pool, phase }) => pool !== "spare" && phase === VmPhase.Up);
        let cpu = 0;
        let memory = 0;
        for (const { worker } of up) {
            const reserved = this.workers.byId.get(worker)?.reserved;
            cpu += reserved?.cpu ?? 0;
            memory += reserved?.memory ?? 0;
        }
        this.samples.push({ vms: up.length, use: { cpu, memory, accelerators: 0 } });
        for (const entry of this.jobs.activeEntries) {
            if (entry.isService) {
                this.wantedServiceRuns += entry.state.tasks.length;
                this.serviceRuns += [...entry.state.tasks]
                    .filter((_, at) => this.jobs.runOf(entry, at)?.progressPercent === 100).length;
            }
        }
    }

    private result(jobs: readonly WorkloadJob[]): ReplayResult {
        return {
            jobs: jobs.length,
            onTimeShare: jobs.filter(job => this.wasOnTime(job)).length / jobs.length,
            ...usageOf(this.samples, capacity, tickMs),
            moves: this.moves,
            servicesRunning: this.serviceRuns / this.wantedServiceRuns,
            serviceStops: this.serviceStops,
        };
    }

    private wasOnTime(job: WorkloadJob): boolean {
        const entry = this.jobs.entries.get(job.id);
        return entry !== undefined && entry.finalAt !== undefined && isDone(entry)
            && entry.finalAt <= job.atMs + objectiveMsOf(job);
    }
}

function isDone(entry: JobEntry): boolean {
    return entry.state.tasks.count(TaskSet.Unfinished) === 0;
}
