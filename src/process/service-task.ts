/** Task that services the VMs of the pools this entry is responsible for. */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import { runFlow } from "./flow.js";
import type { Task } from "./hub.js";
import type { Log } from "./log.js";
import {
    nextVms,
    type ServiceEffect,
    serviceRound,
    ServiceStep,
    VmEffectKind,
    vmsOfPool,
} from "./maintenance.js";
import type { Metrics } from "./metrics.js";
import { borrowedBy, lendableTo, type Move, moveVm } from "./moves.js";
import type { Peers } from "./peers.js";
import { decideMove, ServiceMove, ServicePolicy, type Weights } from "./planner.js";
import type { Platform } from "./platform.js";
import { emptyPoolRow, type Permit } from "./pool-rows.js";
import type { Random } from "./random.js";
import { responsibleFor } from "./rendezvous.js";
import { type Store, type StoreEffect, StoreEffectKind } from "./store.js";
import type { Cancel, Timer } from "./timer.js";
import { budgetOf, isAvailable } from "./workers.js";

/** Options of `Servicing.create`. */
export interface ServicingOptions {
    readonly store: Store;
    readonly platform: Platform;
    readonly fleet: Fleet;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Requests and tasks of this entry on a VM. */
    readonly inFlight: (vm: string) => number;
    readonly quarantineMs: number;
    readonly periodMs: number;
    readonly tickMs?: number;
    readonly weights: Weights;
    readonly policy?: ServicePolicy;
    /** Slots in use in a pool on all entries, as a part of those of its available VMs. */
    readonly useOf: (pool: string) => number;
}

const quietTopic = "service.quiet";
const askTimeoutMs = 1000;
const idRange = 0x7fffffff;
const idRadix = 36;
const sampleMs = 500;
const peakFade = 0.998;

/** The servicing task of one entry. */
export class Servicing implements Task {
    readonly name = "servicing";
    private readonly cancels: Cancel[] = [];
    private readonly peaks = new Map<string, number>();
    /** Monotonic time since which a pool has had a VM to take out, in milliseconds. */
    private readonly dueSince = new Map<string, number>();
    private isTicking = false;

    private constructor(private readonly options: ServicingOptions) {
        options.peers.on(
            quietTopic,
            (_, body) => this.isQuietHere(body as { vm: string; permit: string; pool: string }),
        );
    }

    static create(options: ServicingOptions): Servicing {
        return new Servicing(options);
    }

    start(): Promise<void> {
        const { timer, tickMs = 1000 } = this.options;
        this.cancels.push(timer.every(tickMs, () => void this.tick()));
        this.cancels.push(timer.every(sampleMs, () => this.sampleUse()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Runs one round for every pool this entry is responsible for. */
    async tick(): Promise<void> {
        const { fleet, metrics } = this.options;
        if (this.isTicking || fleet.self === undefined) {
            return;
        }
        this.isTicking = true;
        try {
            for (const pool of this.ownPools()) {
                await this.round(pool);
            }
        }
        catch {
            metrics.count("celerywind_service_rounds_failed_total");
        }
        finally {
            this.isTicking = false;
        }
    }

    /** Follows the peaks of use, which fade over some minutes. */
    private sampleUse(): void {
        for (const { name } of this.options.fleet.view.pools) {
            const faded = (this.peaks.get(name) ?? 0) * peakFade;
            this.peaks.set(name, Math.max(faded, this.options.useOf(name)));
        }
    }

    private ownPools(): readonly string[] {
        const { fleet } = this.options;
        const vms = fleet.live.map(member => member.vm);
        return fleet.view.pools
            .map(pool => pool.name)
            .filter(pool => responsibleFor(`pool-${pool}`, vms) === fleet.self!.vm);
    }

    private async round(pool: string): Promise<void> {
        const { fleet, timer, random, periodMs } = this.options;
        const base = {
            pool,
            view: fleet.view,
            now: timer.wall(),
            periodMs,
            nextId: () => random.int(idRange).toString(idRadix),
        };
        const due = nextVms(base, fleet.view.poolRows.get(pool) ?? emptyPoolRow);
        const isDue = due.length > 0 || this.isDueWithoutRoom(pool);
        const move = isDue ? this.decide(pool) : ServiceMove.Wait;
        if (move === ServiceMove.Lend) {
            await this.lendTo(pool);
        }
        await runFlow(
            serviceRound({ ...base, mayTakeOut: move === ServiceMove.TakeOut }),
            effect => this.perform(effect),
        );
        await this.bringBack(pool, isDue);
        await this.tellPlatform(pool);
    }

    private isDueWithoutRoom(pool: string): boolean {
        const { fleet, timer, periodMs } = this.options;
        const { view } = fleet;
        return vmsOfPool(view, pool).some(vm =>
            isAvailable(view, vm) && timer.wall() - vm.bootedAt > periodMs
        );
    }

    private decide(pool: string): ServiceMove {
        const { fleet, timer, useOf, weights, policy = ServicePolicy.Weighed } = this.options;
        const { view } = fleet;
        const dueSince = this.dueSince.get(pool) ?? timer.now();
        this.dueSince.set(pool, dueSince);
        const move = decideMove(policy, {
            available: vmsOfPool(view, pool).filter(vm => isAvailable(view, vm)).length,
            budget: budgetOf(view, pool),
            useNow: useOf(pool),
            usePeak: this.peaks.get(pool) ?? 0,
            lendable: lendableTo(view, pool) === undefined ? 0 : 1,
            borrowed: borrowedBy(view, pool).length,
            waitedMs: timer.now() - dueSince,
        }, weights);
        if (move === ServiceMove.TakeOut) {
            this.dueSince.delete(pool);
        }
        return move;
    }

    private async lendTo(pool: string): Promise<void> {
        const move = lendableTo(this.options.fleet.view, pool);
        if (move !== undefined) {
            await this.move(move);
        }
    }

    /** Returns lent VMs once the pool has nothing left to service. */
    private async bringBack(pool: string, isDue: boolean): Promise<void> {
        const { view } = this.options.fleet;
        const isAtWork = Object.keys(view.poolRows.get(pool)?.permits ?? {}).length > 0;
        const [borrowed] = borrowedBy(view, pool);
        if (!isDue && !isAtWork && borrowed !== undefined) {
            await this.move(borrowed);
        }
    }

    private async move(move: Move): Promise<void> {
        const { fleet, store, log, metrics, platform } = this.options;
        const flow = moveVm(fleet.view, move);
        if (await runFlow(flow, (effect: StoreEffect) => store.perform(effect))) {
            log.write(Severity.Info, EventId.VmMoved, { vm: move.vm, from: move.from, to: move.to });
            metrics.count("celerywind_vm_moves_total");
            await platform.moveVm(move.vm, move.to);
        }
    }

    /** Repeats what the platform may not have heard: a crash can come between the transaction and the call. */
    private async tellPlatform(pool: string): Promise<void> {
        const { fleet, platform } = this.options;
        const { vms, vmRows } = fleet.view;
        const unheard = vms.filter(vm => vmRows.get(vm.id)?.pool === pool && vm.pool !== pool);
        await Promise.all(unheard.map(vm => platform.moveVm(vm.id, pool)));
    }

    private async perform(effect: ServiceEffect): Promise<unknown> {
        const { platform, store } = this.options;
        switch (effect.kind) {
            case VmEffectKind.Drain:
                return platform.drain(effect.vm);
            case VmEffectKind.Undrain:
                return platform.undrain(effect.vm);
            case VmEffectKind.Reboot:
                return platform.reboot(effect.vm, effect.bootId);
            case VmEffectKind.IsQuiet:
                return this.isQuiet(effect.permit, effect.pool);
            case VmEffectKind.Note:
                return this.note(effect.step, effect.vm, effect.pool);
            case StoreEffectKind.Get:
            case StoreEffectKind.Scan:
            case StoreEffectKind.Commit:
            case StoreEffectKind.PutObject:
            case StoreEffectKind.GetObject:
            case StoreEffectKind.DeleteObject:
                return store.perform(effect);
        }
    }

    /** Quiet once every entry acknowledged the permit with nothing in flight and no ended entry's work can remain. */
    private async isQuiet(permit: Permit, pool: string): Promise<boolean> {
        const { fleet, peers, platform, timer, quarantineMs } = this.options;
        const question = { vm: permit.vm, permit: permit.id, pool };
        const now = timer.now();
        const isSettled = fleet.view.members.unclean.every(ended =>
            now - (fleet.goneSince(ended) ?? now) > quarantineMs
        );
        if (!isSettled || !this.isQuietHere(question)) {
            return false;
        }
        const others = fleet.live.filter(member => member.vm !== fleet.self!.vm);
        const answers = await Promise.all(
            others.map(member =>
                peers.request(member.vm, quietTopic, question, askTimeoutMs).catch(() => false)
            ),
        );
        if (!answers.every(answer => answer === true)) {
            return false;
        }
        const usage = await platform.listUsage();
        return (usage.find(report => report.vm === permit.vm)?.running ?? 0) === 0;
    }

    private isQuietHere({ vm, permit, pool }: { vm: string; permit: string; pool: string }): boolean {
        const known = this.options.fleet.view.poolRows.get(pool)?.permits[vm];
        return known?.id === permit && this.options.inFlight(vm) === 0;
    }

    private note(step: ServiceStep, vm: string, pool: string): void {
        const { log, metrics } = this.options;
        metrics.count("celerywind_service_steps_total", { step });
        switch (step) {
            case ServiceStep.PermitTaken:
                log.write(Severity.Info, EventId.PermitTaken, { vm, pool });
                break;
            case ServiceStep.Rebooting:
                log.write(Severity.Info, EventId.VmRebooted, { vm, pool });
                break;
            case ServiceStep.PermitReleased:
                log.write(Severity.Info, EventId.PermitReleased, { vm, pool });
                break;
            case ServiceStep.Overdue:
                log.write(Severity.Warn, EventId.WaveHalted, { vm, pool });
                break;
        }
    }
}
