/**
 * Gives out worker slots. A request waits in its pool's line until its team may start one more under its grant and
 * a worker has a free slot; it is refused early when the wait would outlast its deadline.
 */
import type { Metrics } from "../process/metrics.js";
import type { Random } from "../process/random.js";
import { SlotPolicyKind } from "../process/slots.js";
import type { Cancel, Timer } from "../process/timer.js";
import { QueueClass } from "../version/schema.js";
import { FairLine, type Waiter } from "./fair.js";
import { type Digest, poolTeamKey, RemoteLoad, Tally } from "./load.js";
import { NotRunReason } from "./outcome.js";
import { Outliers, Standing } from "./outlier.js";
import { type Candidate, pickWorker } from "./route.js";
import { ServiceTimes } from "./service-time.js";
import { ShareClock } from "./share-clock.js";
import { UsageBook, usageFadeMs } from "./usage.js";

/** A worker as the dispatcher sees it. */
export interface Worker {
    readonly vm: string;
    readonly origin: string;
    readonly rack: string;
    readonly zone: string;
    /** May get new work: live, not leaving, and without a maintenance permit. */
    readonly isOpen: boolean;
    readonly isHome: boolean;
}

/** Workers of one pool and how many of them may be ejected at once. */
export interface PoolWorkers {
    readonly pool: string;
    readonly workers: readonly Worker[];
    readonly mayEject: number;
}

/** What a request wants. */
export interface Want {
    readonly pool: string;
    readonly team: string;
    readonly queue: string;
    readonly class: QueueClass;
    /** Monotonic time after which a slot is of no use, in milliseconds. */
    readonly deadline: number;
    /** Workers not to use. */
    readonly exclude: readonly string[];
    /** Interrupts the wait. */
    readonly signal?: AbortSignal;
}

/** A slot on a worker, held until it is released. */
export interface Slot {
    readonly pool: string;
    readonly team: string;
    readonly queue: string;
    readonly class: QueueClass;
    readonly worker: Worker;
    /** Monotonic time at which the slot was given, in milliseconds. */
    readonly since: number;
    /** Time that the work most likely needs, in milliseconds; 0 when it is not known. */
    readonly likelyMs: number;
    /** Slot time that was counted as used at the start, in milliseconds. */
    readonly countedMs: number;
    /** Ended incarnation whose grant covers this work until it is moved here. */
    readonly adoptedFrom?: string;
}

/** Result of asking for a slot. */
export type Acquired =
    | { readonly kind: AcquiredKind.Slot; readonly slot: Slot }
    | { readonly kind: AcquiredKind.Refused; readonly reason: NotRunReason; readonly retryAfterMs: number };

/** Kinds of results of asking for a slot. */
export enum AcquiredKind {
    Slot = "slot",
    Refused = "refused",
}

/** How the use of a slot ended. */
export enum SlotEnd {
    Good = "good",
    /** The worker failed the work or did not answer. */
    Bad = "bad",
    /** The worker said that it is full. */
    Full = "full",
    /** Nothing was learned about the worker. */
    Neutral = "neutral",
}

/** What the dispatcher asks about the rest of the entry. */
export interface DispatchView {
    /** How many the team may run at once on this entry. */
    readonly usable: (team: string) => number;
    readonly limit: (team: string) => number;
    readonly share: (team: string) => number;
    /** Why nothing may start now, if so; checked at the moment of each start. */
    readonly closedFor: () => NotRunReason | undefined;
}

/** Options of `Dispatcher.create`. */
export interface DispatcherOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly metrics: Metrics;
    readonly view: DispatchView;
    readonly policy?: SlotPolicyKind;
    readonly slotsPerWorker?: number;
    readonly queuedRequests?: number;
    readonly zone?: string;
    readonly onEjected?: (vm: string) => void;
}

interface Ticket extends Waiter {
    readonly want: Want;
    readonly settle: (acquired: Acquired) => void;
    readonly cancel: Cancel;
}

interface PoolState {
    readonly line: FairLine<Ticket>;
    readonly outliers: Outliers;
    readonly clock: ShareClock;
    workers: readonly Worker[];
    mayEject: number;
}

const deferredPart = 0.75;
const fullForMs = 30;
const minRetryAfterMs = 100;
const remoteMaxAgeMs = 1500;

/** The dispatcher of one entry. */
export class Dispatcher {
    readonly remote = RemoteLoad.create();
    private readonly pools = new Map<string, PoolState>();
    private readonly byTeam = Tally.create();
    private readonly byPoolTeam = Tally.create();
    private readonly byPool = Tally.create();
    private readonly byWorker = Tally.create();
    private readonly uncovered = Tally.create();
    private readonly fullUntil = new Map<string, number>();
    private readonly times = ServiceTimes.create();
    private readonly usage: UsageBook;

    private constructor(private readonly options: DispatcherOptions) {
        this.usage = UsageBook.create(() => options.timer.now());
    }

    static create(options: DispatcherOptions): Dispatcher {
        return new Dispatcher(options);
    }

    /** Replaces the workers of the pools; pools that are not named lose theirs. */
    setPools(pools: readonly PoolWorkers[]): void {
        const named = new Map(pools.map(pool => [pool.pool, pool]));
        [...this.pools.keys()].filter(pool => !named.has(pool)).forEach(pool =>
            this.stateOf(pool).workers = []
        );
        for (const { pool, workers, mayEject } of pools) {
            const state = this.stateOf(pool);
            state.workers = workers;
            state.mayEject = mayEject;
            state.outliers.retain(new Set(workers.map(worker => worker.vm)));
            this.pump(pool);
        }
    }

    /** Takes in a peer's digest. */
    hear(peer: string, digest: Digest): void {
        this.remote.hear(peer, digest, this.options.timer.now());
        this.pumpAll();
    }

    /** Waits for a slot. */
    acquire(want: Want): Promise<Acquired> {
        const refused = this.refusalFor(want);
        if (refused !== undefined) {
            return Promise.resolve(refused);
        }
        return new Promise(resolve => this.enqueue(want, resolve));
    }

    /**
     * Gives a slot back. Work that may still be running counts until `mayRunUntil`, a monotonic time in milliseconds;
     * a fast failure holds the worker's slot for the mean service time, so that failing fast attracts no load.
     */
    release(slot: Slot, end: SlotEnd, mayRunUntil = 0): void {
        const { timer } = this.options;
        const elapsed = timer.now() - slot.since;
        const holdMs = end === SlotEnd.Bad ? this.times.mean(slot.queue) - elapsed : 0;
        const lingerMs = mayRunUntil - timer.now();
        this.learn(slot, end, elapsed);
        afterAtLeast(timer, lingerMs, () => this.freeTeam(slot));
        afterAtLeast(timer, Math.max(holdMs, lingerMs), () => this.freeWorker(slot));
    }

    /** Takes a slot for a task that already runs on a worker, covered by the grant of an ended incarnation. */
    adopt(want: Want, worker: Worker, adoptedFrom: string): Slot {
        const { pool, team, queue, class: queueClass } = want;
        const since = this.options.timer.now();
        const slot: Slot = {
            pool,
            team,
            queue,
            class: queueClass,
            worker,
            since,
            likelyMs: 0,
            countedMs: 0,
            adoptedFrom,
        };
        this.occupy(slot);
        this.uncovered.add(adoptedKey(team, adoptedFrom), 1);
        return slot;
    }

    /** Work of a team that runs here under the grant of an ended incarnation. */
    uncoveredOf(team: string, from: string): number {
        return this.uncovered.of(adoptedKey(team, from));
    }

    /** Notes that `n` of the grant of an ended incarnation were moved here. */
    cover(team: string, from: string, n: number): void {
        this.uncovered.add(adoptedKey(team, from), -Math.min(n, this.uncoveredOf(team, from)));
    }

    /** Whether a team may start one more here. */
    canStart(team: string): boolean {
        return this.byTeam.of(team) < this.options.view.usable(team);
    }

    /** Serves the lines of all pools as far as slots and grants allow. */
    pumpAll(): void {
        this.remote.expire(this.options.timer.now() - remoteMaxAgeMs);
        [...this.pools.keys()].forEach(pool => this.pump(pool));
    }

    /** Corrects the weights of the teams from their use across the fleet; call at a steady pace. */
    correctShares(teams: readonly string[]): void {
        for (const [pool, state] of this.pools) {
            state.clock.correct(teams.map(team => ({
                team,
                share: this.options.view.share(team),
                use: this.useOf(pool, team),
                isWaiting: waitingIn(state, team) + this.remote.waitingIn(pool, team) > 0,
            })));
        }
    }

    /** Running work of a team on this entry. */
    runningOf(team: string): number {
        return this.byTeam.of(team);
    }

    /** Running work of a team in one pool, on all entries as far as known. */
    runningIn(pool: string, team: string): number {
        return this.byPoolTeam.of(poolTeamKey(pool, team)) + this.remote.runningIn(pool, team);
    }

    /** Work of this entry on a worker. */
    onWorker(vm: string): number {
        return this.byWorker.of(vm);
    }

    /** Running and waiting work of a team on this entry. */
    demandOf(team: string): number {
        return this.byTeam.of(team) + this.waitingOf(team);
    }

    /**
     * A peer that can serve a request sooner than this entry: one with unused grants of the team when this entry has
     * none, or under homed slots one with free slots when this entry has none.
     */
    findRelay(want: Pick<Want, "pool" | "team">): string | undefined {
        const { pool, team } = want;
        const { policy = SlotPolicyKind.Homed } = this.options;
        if (!this.canStart(team)) {
            return this.remote.withFree(pool, team)[0] ?? this.remote.withSpare(team)[0];
        }
        const state = this.stateOf(pool);
        const isFull = state.line.size > 0 || this.freeHomeSlots(state) <= 0;
        return policy === SlotPolicyKind.Homed && isFull
            ? this.remote.withFree(pool, team)[0]
            : undefined;
    }

    /** Slots in use in a pool on all entries, as a part of the slots of its open workers. */
    useOfPool(pool: string): number {
        const { slotsPerWorker = 8 } = this.options;
        const open = this.stateOf(pool).workers.filter(worker => worker.isOpen).length;
        const running = this.byPool.of(pool) + this.remote.runningInPool(pool);
        return open === 0 ? 1 : running / (open * slotsPerWorker);
    }

    /** The worker with this VM id in a pool. */
    workerOf(pool: string, vm: string): Worker | undefined {
        return this.pools.get(pool)?.workers.find(worker => worker.vm === vm);
    }

    /** Total number waiting. */
    waitingTotal(): number {
        return [...this.pools.values()].reduce((sum, state) => sum + state.line.size, 0);
    }

    /** What to tell the peers. */
    digest(teams: readonly string[]): Digest {
        const loads = [...this.pools].flatMap(([pool, state]) =>
            teams.map(team => ({
                team,
                pool,
                running: this.byPoolTeam.of(poolTeamKey(pool, team)),
                waiting: waitingIn(state, team),
                used: Math.round(this.usage.of(poolTeamKey(pool, team))),
            }))
        );
        const spare = teams.map(team =>
            [team, Math.max(0, this.options.view.usable(team) - this.byTeam.of(team))] as const
        );
        const free = [...this.pools].map(([pool, state]) => [pool, this.freeHomeSlots(state)] as const);
        const away = [...this.pools.values()]
            .flatMap(state => state.workers.filter(worker => !worker.isHome))
            .map(worker => [worker.vm, this.byWorker.of(worker.vm)] as const);
        return {
            teams: loads.filter(load => load.running > 0 || load.waiting > 0),
            spare: Object.fromEntries(spare.filter(([, n]) => n > 0)),
            free: Object.fromEntries(free.filter(([, n]) => n > 0)),
            workers: Object.fromEntries(away.filter(([, n]) => n > 0)),
        };
    }

    /** Slots that are free on the workers homed here, less the requests that wait for them. */
    private freeHomeSlots(state: PoolState): number {
        const { slotsPerWorker = 8 } = this.options;
        const home = state.workers.filter(worker => worker.isHome && worker.isOpen);
        const used = home.reduce((sum, worker) => sum + this.byWorker.of(worker.vm), 0);
        return home.length * slotsPerWorker - used - state.line.size;
    }

    private refusalFor(want: Want): Acquired | undefined {
        const { view, queuedRequests = 2000 } = this.options;
        const closed = view.closedFor();
        if (closed !== undefined) {
            return refuse(closed, minRetryAfterMs);
        }
        if (view.limit(want.team) === 0) {
            return refuse(NotRunReason.OverLimit, 0);
        }
        const state = this.stateOf(want.pool);
        if (!state.workers.some(worker => worker.isOpen && !want.exclude.includes(worker.vm))) {
            return refuse(NotRunReason.NoWorker, fullForMs * 10);
        }
        if (want.class === QueueClass.Interactive && state.line.size >= queuedRequests) {
            return refuse(NotRunReason.QueueFull, this.estimateWait(want));
        }
        const wait = this.estimateWait(want);
        const left = want.deadline - this.options.timer.now();
        if (wait + this.neededMs(want) > left && state.line.size > 0) {
            const isAtLimit = this.byTeam.of(want.team) >= view.usable(want.team);
            return refuse(isAtLimit ? NotRunReason.OverLimit : NotRunReason.WaitTooLong, wait);
        }
        return undefined;
    }

    /** Expected wait of a request that would join its line now, in milliseconds. */
    private estimateWait({ pool, team, queue, class: queueClass }: Want): number {
        const { line } = this.stateOf(pool);
        const { share, usable } = this.options.view;
        const mine = line.waitingOf(queueClass, team) + 1;
        const teams = new Set([...line.teamsIn(queueClass), team]);
        const shares = [...teams].reduce((sum, other) => sum + share(other), 0);
        const poolSlots = Math.max(1, this.slotsHere(pool));
        const teamSlots = Math.max(1, Math.min(poolSlots * share(team) / shares, usable(team)));
        return line.size === 0 ? 0 : mine * this.times.mean(queue) / teamSlots;
    }

    /** Slots of a pool that this entry can count on: its own use, or its even part when it uses less. */
    private slotsHere(pool: string): number {
        const { slotsPerWorker = 8 } = this.options;
        const state = this.stateOf(pool);
        const used = state.workers.reduce((sum, worker) => sum + this.byWorker.of(worker.vm), 0);
        const home = state.workers.filter(worker => worker.isHome && worker.isOpen).length * slotsPerWorker;
        return Math.max(used, home);
    }

    private enqueue(want: Want, settle: (acquired: Acquired) => void): void {
        const { timer } = this.options;
        const state = this.stateOf(want.pool);
        const expire = (reason: NotRunReason): void => this.expire(state, ticket, reason);
        const lastStart = want.deadline - this.neededMs(want);
        const cancel = timer.after(lastStart - timer.now(), () => expire(NotRunReason.DeadlinePassed));
        const ticket: Ticket = {
            team: want.team,
            class: want.class,
            since: timer.now(),
            want,
            settle,
            cancel,
        };
        want.signal?.addEventListener("abort", () => expire(NotRunReason.CallerGone), { once: true });
        if (waitingIn(state, want.team) === 0) {
            state.clock.activate(want.team);
        }
        state.line.add(ticket);
        this.pump(want.pool);
    }

    private expire(state: PoolState, ticket: Ticket, reason: NotRunReason): void {
        if (state.line.remove(ticket)) {
            ticket.cancel();
            ticket.settle(refuse(reason, this.estimateWait(ticket.want)));
        }
    }

    /** Whether a request that started now would most likely miss its deadline. */
    private isTooLate(want: Want): boolean {
        return want.deadline - this.options.timer.now() < this.neededMs(want);
    }

    /** Time that a request most likely needs once it has started, in milliseconds. */
    private neededMs({ queue, class: queueClass }: Want): number {
        return queueClass === QueueClass.Interactive ? this.times.likelyMost(queue) : 0;
    }

    private pump(pool: string): void {
        const state = this.stateOf(pool);
        while (state.line.size > 0) {
            const closed = this.options.view.closedFor();
            if (closed !== undefined || !this.startNext(pool, state)) {
                return;
            }
        }
    }

    private startNext(pool: string, state: PoolState): boolean {
        const view = {
            position: (team: string) => state.clock.position(team),
            canStart: (team: string) => this.canStart(team),
            now: this.options.timer.now(),
        };
        for (const classes of classChoices) {
            const ticket = state.line.next(view, classes);
            const worker = ticket === undefined ? undefined : this.pick(state, ticket.want);
            if (ticket !== undefined && this.isTooLate(ticket.want)) {
                this.expire(state, ticket, NotRunReason.WaitTooLong);
                return true;
            }
            if (ticket !== undefined && worker !== undefined) {
                this.start(state, ticket, worker);
                return true;
            }
        }
        return false;
    }

    /** Slots that a team used lately in a pool, on all entries as far as known. */
    private useOf(pool: string, team: string): number {
        return (this.usage.of(poolTeamKey(pool, team)) + this.remote.usedIn(pool, team)) / usageFadeMs;
    }

    private start(state: PoolState, ticket: Ticket, worker: Worker): void {
        const { timer, metrics } = this.options;
        const { pool, team, queue, class: queueClass } = ticket.want;
        state.line.remove(ticket);
        state.line.noteStart();
        ticket.cancel();
        const likelyMs = this.neededMs(ticket.want);
        const countedMs = this.times.mean(queue);
        const slot: Slot = {
            pool,
            team,
            queue,
            class: queueClass,
            worker,
            since: timer.now(),
            likelyMs,
            countedMs,
        };
        this.occupy(slot);
        state.clock.serve(team);
        this.charge(slot, countedMs);
        metrics.observe("celerywind_queue_wait_ms", timer.now() - ticket.since, { class: queueClass });
        ticket.settle({ kind: AcquiredKind.Slot, slot });
    }

    private pick(state: PoolState, want: Want): Worker | undefined {
        const { policy = SlotPolicyKind.Homed, random } = this.options;
        const usable = state.workers.filter(worker => this.isUsable(state, worker, want));
        const candidates = usable.map(worker => this.candidate(state, worker, want.class));
        const picked = pickWorker({ policy, candidates, random });
        return usable.find(worker => worker.vm === picked?.vm);
    }

    private isUsable(state: PoolState, worker: Worker, want: Want): boolean {
        const isFull = (this.fullUntil.get(worker.vm) ?? 0) > this.options.timer.now();
        const isExcluded = want.exclude.includes(worker.vm);
        return worker.isOpen && !isFull && !isExcluded
            && state.outliers.standing(worker.vm) !== Standing.Ejected;
    }

    private candidate(state: PoolState, worker: Worker, queueClass: QueueClass): Candidate {
        const { slotsPerWorker = 8, zone } = this.options;
        const isProbing = state.outliers.standing(worker.vm) === Standing.Probing;
        const load = this.byWorker.of(worker.vm) + this.remote.onWorker(worker.vm);
        const room = queueClass === QueueClass.Deferred
            ? Math.floor(slotsPerWorker * deferredPart)
            : slotsPerWorker;
        const capacity = isProbing ? 1 : room;
        return { vm: worker.vm, load, capacity, isHome: worker.isHome, isNear: worker.zone === zone };
    }

    private learn(slot: Slot, end: SlotEnd, elapsed: number): void {
        const state = this.stateOf(slot.pool);
        switch (end) {
            case SlotEnd.Good:
                this.times.record(slot.queue, elapsed);
                state.outliers.record(slot.worker.vm, true, state.mayEject);
                break;
            case SlotEnd.Bad:
                if (state.outliers.record(slot.worker.vm, false, state.mayEject)) {
                    this.options.metrics.count("celerywind_workers_ejected_total");
                    this.options.onEjected?.(slot.worker.vm);
                }
                break;
            case SlotEnd.Full:
                this.fullUntil.set(slot.worker.vm, this.options.timer.now() + fullForMs);
                this.options.timer.after(fullForMs, () => this.pump(slot.pool));
                break;
            case SlotEnd.Neutral:
                break;
        }
    }

    private freeTeam(slot: Slot): void {
        const usedMs = this.options.timer.now() - slot.since;
        this.charge(slot, usedMs - slot.countedMs);
        if (slot.adoptedFrom !== undefined) {
            this.cover(slot.team, slot.adoptedFrom, 1);
        }
        this.byTeam.add(slot.team, -1);
        this.byPoolTeam.add(poolTeamKey(slot.pool, slot.team), -1);
        this.byPool.add(slot.pool, -1);
    }

    private freeWorker(slot: Slot): void {
        this.byWorker.add(slot.worker.vm, -1);
        this.pumpAll();
    }

    private occupy(slot: Slot): void {
        this.byTeam.add(slot.team, 1);
        this.byPoolTeam.add(poolTeamKey(slot.pool, slot.team), 1);
        this.byPool.add(slot.pool, 1);
        this.byWorker.add(slot.worker.vm, 1);
    }

    private charge({ pool, team }: Slot, ms: number): void {
        this.usage.add(poolTeamKey(pool, team), ms);
        this.stateOf(pool).clock.charge(team, ms, this.options.view.share(team));
    }

    private waitingOf(team: string): number {
        return [...this.pools.values()].reduce((sum, state) => sum + waitingIn(state, team), 0);
    }

    private stateOf(pool: string): PoolState {
        let state = this.pools.get(pool);
        if (state === undefined) {
            const { timer } = this.options;
            const outliers = Outliers.create({ now: () => timer.now() });
            state = {
                line: FairLine.create(),
                outliers,
                clock: ShareClock.create(),
                workers: [],
                mayEject: 0,
            };
            this.pools.set(pool, state);
        }
        return state;
    }
}

const classChoices = [
    [QueueClass.Interactive, QueueClass.Deferred],
    [QueueClass.Interactive],
    [QueueClass.Deferred],
] as const;

function adoptedKey(team: string, from: string): string {
    return `${team}\n${from}`;
}

function afterAtLeast(timer: Timer, ms: number, fn: () => void): void {
    if (ms > 0) {
        timer.after(ms, fn);
    }
    else {
        fn();
    }
}

function waitingIn(state: PoolState, team: string): number {
    return state.line.waitingOf(QueueClass.Interactive, team)
        + state.line.waitingOf(QueueClass.Deferred, team);
}

function refuse(reason: NotRunReason, retryAfterMs: number): Acquired {
    return { kind: AcquiredKind.Refused, reason, retryAfterMs: Math.max(retryAfterMs, minRetryAfterMs) };
}
