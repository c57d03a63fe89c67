/** Task that services the VMs of the pools this entry is responsible for. */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import { run } from "./flow.js";
import type { Task } from "./hub.js";
import type { Log } from "./log.js";
import { type ServiceEffect, serviceRound, ServiceStep, VmEffectKind } from "./maintenance.js";
import type { Metrics } from "./metrics.js";
import type { Peers } from "./peers.js";
import type { Platform } from "./platform.js";
import type { Permit } from "./pool-rows.js";
import type { Random } from "./random.js";
import { responsibleFor } from "./rendezvous.js";
import { type Store, StoreEffectKind } from "./store.js";
import type { Cancel, Timer } from "./timer.js";

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
    /** Whether a pool is in a trough, when taking VMs out costs least. */
    readonly isGoodMoment?: (pool: string) => boolean;
}

const quietTopic = "service.quiet";
const askTimeoutMs = 1000;
const idRange = 0x7fffffff;
const idRadix = 36;

/** The servicing task of one entry. */
export class Servicing implements Task {
    readonly name = "servicing";
    private readonly cancels: Cancel[] = [];
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

    private ownPools(): readonly string[] {
        const { fleet } = this.options;
        const vms = fleet.live.map(member => member.vm);
        return fleet.view.pools
            .map(pool => pool.name)
            .filter(pool => responsibleFor(`pool-${pool}`, vms) === fleet.self!.vm);
    }

    private async round(pool: string): Promise<void> {
        const { fleet, timer, random, periodMs, isGoodMoment = () => true } = this.options;
        const flow = serviceRound({
            pool,
            view: fleet.view,
            now: timer.wall(),
            periodMs,
            nextId: () => random.int(idRange).toString(idRadix),
            isGoodMoment: isGoodMoment(pool),
        });
        await run(flow, effect => this.perform(effect));
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
            others.map(member => peers.ask(member.vm, quietTopic, question, askTimeoutMs).catch(() => false)),
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
