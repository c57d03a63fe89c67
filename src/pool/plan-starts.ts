/**
 * Plans which waiting tasks start now, and on which workers. Pure: depends on its input alone.
 *
 * Load pattern: a burst of several times a pool's room, planned anew with every batch. Hundreds of tasks wait for which no
 * worker has room; a task that needs no less than one that found none is passed over without a look at the workers.
 */
import { type PositionRange, type StepSpec, Suspicion, suspicionOf, TaskSet } from "../job/index.js";
import { addResources, fitsInto, noResources, type Resources } from "../process/resources.js";
import type { Queue } from "../version/directory.js";
import type { JobRegistry } from "./job-registry.js";
import { openPositions, openSteps } from "./open-steps.js";
import {
    addSuspect,
    chooseCandidate,
    isBarredByLimit,
    type PlacementRequest,
} from "./placement.js";
import {
    collectRooms,
    hasStartsLeft,
    isExceeding,
    type PoolRoom,
    rackLabel,
    type RoomInput,
    roomOfAdvised,
} from "./pool-rooms.js";
import type { JobEntry } from "./records.js";
import { sumFree } from "./scheduling/fair-order.js";
import type { FairShares } from "./scheduling/fair-shares.js";
import type { LateWorkGate } from "./scheduling/late-work.js";
import { type Reservations, unplacedJobs } from "./scheduling/reservations.js";
import { expectedRunMs } from "./scheduling/run-ends.js";
import { isWithinTeamLimit } from "./team-limits.js";
import { type RankedJob, rankJobs } from "./urgency.js";
import { reservedResources, type WorkerState } from "./worker-registry.js";

export { isAcceptingRuns, isSchedulable, mayFill } from "./pool-rooms.js";
export { type RankedJob, rankJobs } from "./urgency.js";

/** Assignment of a task to a worker. */
export interface Placement {
    readonly entry: JobEntry;
    readonly taskIndex: number;
    readonly worker: WorkerState;
    /** Ticket from the placement adviser. */
    readonly ticket?: string;
}

/** Input of `planStarts`. */
export interface StartPlanInput extends RoomInput {
    readonly jobs: JobRegistry;
    /** Tickets for a step of a queue that needs advice, by worker id; undefined if none are cached. */
    readonly ticketsFor: (
        entry: JobEntry,
        occurrence: number,
        step: number,
    ) => ReadonlyMap<string, string> | undefined;
    /** Shares of the accounts; without them, accounts are not told apart. */
    readonly fairShares?: Pick<FairShares, "order">;
    /** Workers kept for large jobs, which the plan renews; without it, none are. */
    readonly reservations?: Pick<Reservations, "admit" | "renew">;
    /** Unix time, in milliseconds. */
    readonly wallMs: number;
    /** Most placements to make. */
    readonly limit: number;
    /** Limit of an account; that of the directory by default. */
    readonly limitOfTeam?: (team: string) => Resources;
    /** Limits the starts of work that is late after a takeover; there is no such limit by default. */
    readonly lateWork?: LateWorkGate | undefined;
}

/** Assigns waiting tasks to workers, most urgent jobs first. */
export function planStarts(view: StartPlanInput): readonly Placement[] {
    return StartPlanner.create(view).plan();
}

class StartPlanner {
    private readonly rooms: ReadonlyMap<string, PoolRoom>;
    private readonly usageByTeam = new Map<string, Resources>();
    private readonly placements: Placement[] = [];

    private constructor(private readonly view: StartPlanInput) {
        this.rooms = collectRooms(view);
    }

    static create(view: StartPlanInput): StartPlanner {
        return new StartPlanner(view);
    }

    plan(): readonly Placement[] {
        const attempted: RankedJob[] = [];
        for (const ranked of this.orderJobs()) {
            if (this.placements.length >= this.view.limit) {
                break;
            }
            this.placeJob(ranked);
            attempted.push(ranked);
        }
        this.renewReservations(attempted);
        return this.placements;
    }

    /** Jobs with waiting tasks, in the order in which they may take capacity. */
    private orderJobs(): Iterable<RankedJob> {
        const { fairShares, reservations, lateWork, jobs } = this.view;
        if (fairShares === undefined && reservations === undefined && lateWork === undefined) {
            return rankJobs({ ...this.view, isConsidered: (entry, queue) => this.mayFindRoom(entry, queue) });
        }
        const ranked = rankJobs(this.view);
        return fairShares?.order({
            ranked,
            freeOf: pool => sumFree(this.rooms.get(pool)?.candidates),
            placedOf: team => addResources(this.usageOf(team), jobs.usage.of(team), -1),
        }) ?? ranked;
    }

    /** False if no worker of the pool has room for any open task of a job; the room only shrinks while the plan is made. */
    private mayFindRoom(entry: JobEntry, queue: Queue | undefined): boolean {
        const room = queue === undefined ? undefined : this.rooms.get(queue.pool);
        return room !== undefined
            && openSteps(entry).some(({ needs }) => fitsInto(needs, room.largestFree));
    }

    private placeJob({ entry, queue, estimate }: RankedJob): void {
        const room = queue === undefined ? undefined : this.rooms.get(queue.pool);
        if (queue === undefined || room === undefined) {
            return;
        }
        const { lateWork } = this.view;
        const isLate = lateWork?.isLateBacklog(entry, estimate.urgency) === true;
        for (const open of openSteps(entry)) {
            const { occurrence, index, step, needs } = open;
            if (lateWork === undefined && isExceeding(room, needs)) {
                continue;
            }
            for (const taskIndex of openPositions(entry, open)) {
                if (isLate && lateWork?.mayStart(queue.pool, needs, room.candidates) === false) {
                    break;
                }
                const tickets = queue.needsAdvice
                    ? this.view.ticketsFor(entry, occurrence, index)
                    : undefined;
                const isPlaced = queue.needsAdvice
                    ? this.place(entry, taskIndex, step, roomOfAdvised(room, tickets), tickets)
                    : this.place(entry, taskIndex, step, room, undefined);
                lateWork?.record(queue.pool, needs, { isLate, isPlaced, isFull: isExceeding(room, needs) });
                if (!isPlaced || step.isGang) {
                    break;
                }
            }
        }
    }

    /** Places a task, or all tasks of its step if they are a gang. */
    private place(
        entry: JobEntry,
        taskIndex: number,
        step: StepSpec,
        room: PoolRoom,
        tickets: ReadonlyMap<string, string> | undefined,
    ): boolean {
        return step.isGang
            ? this.placeGang(entry, taskIndex, room, tickets)
            : this.placeTask(entry, taskIndex, step, room, tickets);
    }

    private placeTask(
        entry: JobEntry,
        taskIndex: number,
        step: StepSpec,
        room: PoolRoom,
        tickets: ReadonlyMap<string, string> | undefined,
    ): boolean {
        const { team } = entry.job;
        const isWithinCap = step.isGang || this.isWithinCap(team, step.needs, 1);
        if (!isWithinCap || this.placements.length >= this.view.limit) {
            return false;
        }
        const needs = reservedResources({ step });
        if (isExceeding(room, needs)) {
            return false;
        }
        const task = entry.state.tasks.at(taskIndex);
        const { occurrence, step: stepIndex } = task;
        const suspicion = suspicionOf(task.lostWorkers, step.isService);
        if (step.perWorker > 0) {
            const sameStep = this.countTasksByWorker(entry, occurrence, stepIndex);
            for (const candidate of room.candidates) {
                candidate.sameStepTasks = sameStep.get(candidate.worker.id) ?? 0;
            }
        }
        const rack = step.wantsOneRack ? this.rackOf(entry, occurrence, stepIndex) : undefined;
        const packedRunMs = this.view.isPacking === true
            ? expectedRunMs(step, entry.job.queue, this.view.durations)
            : undefined;
        const request: PlacementRequest = {
            step,
            ...(packedRunMs !== undefined && { packedRunMs }),
            failedOn: entry.failedWorkers.get(taskIndex) ?? new Set(),
            preferredRack: rack,
            suspicion,
        };
        const { reservations, durations, now } = this.view;
        const allowed = reservations?.admit({ entry, step }, room.candidates, durations, now)
            ?? room.candidates;
        const candidate = chooseCandidate(request, allowed);
        if (candidate === undefined) {
            // Room that a gang gives back when one of its tasks finds none would make this memory wrong, and a task
            // under suspicion, or barred from a worker on trial, may find none although there is room.
            if (
                step.label === undefined && step.perWorker === 0 && !step.isGang
                && suspicion === Suspicion.None && allowed.length === room.candidates.length
                && !room.candidates.some(other => hasStartsLeft(other) && isBarredByLimit(request, other))
            ) {
                room.exceeding.push(needs);
            }
            return false;
        }
        candidate.free = addResources(candidate.free, needs, -1);
        if (candidate.limit !== undefined) {
            candidate.limit = { ...candidate.limit, maxStarts: candidate.limit.maxStarts - 1 };
        }
        if (packedRunMs !== undefined) {
            candidate.emptyInMs = Math.max(candidate.emptyInMs ?? 0, packedRunMs);
        }
        if (suspicion !== Suspicion.None) {
            Object.assign(candidate, addSuspect(candidate, suspicion));
        }
        this.usageByTeam.set(team, addResources(this.usageOf(team), step.needs));
        const { worker } = candidate;
        const ticket = tickets?.get(worker.id);
        this.placements.push({ entry, taskIndex, worker, ...(ticket !== undefined && { ticket }) });
        return true;
    }

    /** Places all members of a task's gang, or none. */
    private placeGang(
        entry: JobEntry,
        taskIndex: number,
        room: PoolRoom,
        tickets: ReadonlyMap<string, string> | undefined,
    ): boolean {
        const { tasks } = entry.state;
        const place = tasks.layout.placeOf(taskIndex);
        const step = entry.job.spec.steps[place.step]!;
        const members = tasks.layout.rangeOf(place);
        const allWaiting = tasks.count(TaskSet.Open, members) === step.tasks;
        const before = room.candidates.map(({ free, untested, lastChances, untestedLastChances }) => ({
            free,
            untested,
            lastChances,
            untestedLastChances,
        }));
        const usage = this.usageOf(entry.job.team);
        const placedBefore = this.placements.length;
        const isPlaced = allWaiting && this.isWithinCap(entry.job.team, step.needs, step.tasks)
            && this.placeRange(entry, members, room, tickets);
        if (!isPlaced) {
            room.candidates.forEach((candidate, index) => Object.assign(candidate, before[index]));
            this.usageByTeam.set(entry.job.team, usage);
            this.placements.length = placedBefore;
        }
        return isPlaced;
    }

    private placeRange(
        entry: JobEntry,
        { from, to }: PositionRange,
        room: PoolRoom,
        tickets: ReadonlyMap<string, string> | undefined,
    ): boolean {
        const step = entry.job.spec.steps[entry.state.tasks.layout.placeOf(from).step]!;
        for (let position = from; position < to; position++) {
            if (!this.placeTask(entry, position, step, room, tickets)) {
                return false;
            }
        }
        return true;
    }

    private renewReservations(attempted: readonly RankedJob[]): void {
        const { reservations, durations, now, wallMs } = this.view;
        reservations?.renew({
            considered: attempted,
            unplaced: unplacedJobs(attempted, this.placements).filter(({ entry: { job }, step }) =>
                this.isWithinCap(job.team, step.needs, 1)
            ),
            workersOf: pool => this.rooms.get(pool)?.candidates ?? [],
            durations,
            now,
            wallMs,
        });
    }

    /** Whether the limit of an account lets it start tasks beside what it runs. */
    private isWithinCap(team: string, needs: Resources, tasks: number): boolean {
        const { jobs, directory, limitOfTeam } = this.view;
        const cap = limitOfTeam?.(team) ?? directory.teams.get(team)?.cap ?? noResources;
        const serviceUsage = jobs.usage.ofServices(team);
        return isWithinTeamLimit({ usage: this.usageOf(team), serviceUsage, needs, tasks }, cap);
    }

    private usageOf(team: string): Resources {
        return this.usageByTeam.get(team) ?? this.view.jobs.usage.of(team);
    }

    private countTasksByWorker(
        entry: JobEntry,
        occurrence: number,
        step: number,
    ): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        const add = (worker: string): void => void counts.set(worker, (counts.get(worker) ?? 0) + 1);
        const { tasks } = entry.state;
        const range = tasks.layout.rangeOf({ occurrence, step });
        for (const position of tasks.positions(TaskSet.Claimed, range)) {
            add(tasks.at(position).worker);
        }
        for (const { entry: other, taskIndex, worker } of this.placements) {
            if (other === entry && taskIndex >= range.from && taskIndex < range.to) {
                add(worker.id);
            }
        }
        return counts;
    }

    private rackOf(entry: JobEntry, occurrence: number, step: number): string | undefined {
        const [first] = this.countTasksByWorker(entry, occurrence, step).keys();
        const candidate = [...this.rooms.values()].flatMap(({ candidates }) => candidates)
            .find(({ worker }) => worker.id === first);
        return candidate === undefined ? undefined : rackLabel(candidate.worker);
    }
}
