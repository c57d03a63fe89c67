/** Task that drains, reboots, lends and moves the VMs of the pools that this entry is responsible for. */
import { EventId, Severity } from "./events.js";
import { FailureLog } from "./failure-log.js";
import type { Fleet } from "./fleet.js";
import { runFlow } from "./flow.js";
import type { Task } from "./hub.js";
import type { Log } from "./log.js";
import {
    type CostWeights,
    decideAction,
    MaintenanceAction,
    MaintenancePolicy,
} from "./maintenance-planner.js";
import {
    type MaintenanceEffect,
    MaintenanceStep,
    runMaintenanceRound,
    selectDueVms,
    VmEffectKind,
    vmsOfPool,
} from "./maintenance.js";
import type { Metrics } from "./metrics.js";
import type { Peers } from "./peers.js";
import type { Platform, Vm } from "./platform.js";
import { emptyPoolRow, type Permit } from "./pool-rows.js";
import type { Random } from "./random.js";
import { responsibleFor } from "./rendezvous.js";
import { type Store, type StoreEffect, StoreEffectKind } from "./store.js";
import type { Cancel, Timer } from "./timer.js";
import { findLendMove, moveVm, returnMovesOf, type VmMove } from "./vm-moves.js";
import { isAvailable, isEvacuated, isInEvacuatedZone, mayServe, minAvailableOf } from "./workers.js";

/** Options of `MaintenanceManager.create`. */
export interface MaintenanceManagerOptions {
    readonly store: Store;
    readonly platform: Platform;
    readonly fleet: Fleet;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Number of requests and tasks of this entry that run on a VM. */
    readonly inFlight: (vm: string) => number;
    /** Time after which work of an ended entry can no longer be running on a VM, in milliseconds. */
    readonly quarantineMs: number;
    /** Uptime above which a VM is due for maintenance, in milliseconds. */
    readonly maxUptimeMs: number;
    /** Interval between ticks, in milliseconds. */
    readonly tickMs?: number;
    readonly weights: CostWeights;
    readonly policy?: MaintenancePolicy;
    /** Slots of a pool in use by all entries, as a fraction of the slots of its available VMs. */
    readonly utilizationOf: (pool: string) => number;
}

const drainCheckTopic = "service.quiet";
const drainCheckTimeoutMs = 1000;
const permitIdRange = 0x7fffffff;
const permitIdRadix = 36;
const utilizationSampleIntervalMs = 500;
/** Factor by which the recorded peak decays per sample; with samples every 500 ms, it halves in about three minutes. */
const peakDecayFactor = 0.998;

/** Maintenance task of one entry. */
export class MaintenanceManager implements Task {
    readonly name = "servicing";
    private readonly cancels: Cancel[] = [];
    private readonly peakUtilizations = new Map<string, number>();
    /** Monotonic time since which a pool has had a VM that is due, in milliseconds. */
    private readonly dueSince = new Map<string, number>();
    private isTicking = false;

    private readonly failureLog: FailureLog;

    private constructor(private readonly options: MaintenanceManagerOptions) {
        this.failureLog = FailureLog.create({ log: options.log, source: this.name });
        options.peers.on(
            drainCheckTopic,
            (_, body) => this.isDrainedLocally(body as { vm: string; permit: string; pool: string }),
        );
    }

    static create(options: MaintenanceManagerOptions): MaintenanceManager {
        return new MaintenanceManager(options);
    }

    start(): Promise<void> {
        const { timer, tickMs = 1000 } = this.options;
        this.cancels.push(timer.every(tickMs, () => void this.tick()));
        this.cancels.push(timer.every(utilizationSampleIntervalMs, () => this.sampleUtilization()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Runs one round for each pool that this entry is responsible for; ignored while a tick runs. */
    async tick(): Promise<void> {
        const { fleet, metrics } = this.options;
        if (this.isTicking || fleet.self === undefined) {
            return;
        }
        this.isTicking = true;
        try {
            for (const pool of this.responsiblePools()) {
                await this.runRound(pool);
            }
            this.failureLog.recordSuccess();
        }
        catch (err) {
            this.failureLog.recordFailure(err);
            metrics.count("celerywind_service_rounds_failed_total");
        }
        finally {
            this.isTicking = false;
        }
    }

    /** Updates the recent peak utilization of each pool. */
    private sampleUtilization(): void {
        for (const { name } of this.options.fleet.view.pools) {
            const decayed = (this.peakUtilizations.get(name) ?? 0) * peakDecayFactor;
            this.peakUtilizations.set(name, Math.max(decayed, this.options.utilizationOf(name)));
        }
    }

    private responsiblePools(): readonly string[] {
        const { fleet } = this.options;
        const vms = fleet.live.map(member => member.vm);
        return fleet.view.pools
            .map(pool => pool.name)
            .filter(pool => responsibleFor(`pool-${pool}`, vms) === fleet.self!.vm);
    }

    private async runRound(pool: string): Promise<void> {
        const { fleet, timer, random, maxUptimeMs } = this.options;
        const base = {
            pool,
            view: fleet.view,
            now: timer.wall(),
            maxUptimeMs,
            createPermitId: () => random.int(permitIdRange).toString(permitIdRadix),
        };
        const due = selectDueVms(base, fleet.view.poolRows.get(pool) ?? emptyPoolRow);
        const isDue = due.length > 0 || this.hasDueVm(pool);
        const action = isDue ? this.planAction(pool, due) : MaintenanceAction.Wait;
        if (action === MaintenanceAction.Lend) {
            await this.lendSpareVm(pool);
        }
        await runFlow(
            runMaintenanceRound({ ...base, mayTakePermits: action === MaintenanceAction.TakeOut }),
            effect => this.perform(effect),
        );
        await this.returnBorrowedVm(pool, isDue);
        await this.reconcilePlatformPools(pool);
    }

    private hasDueVm(pool: string): boolean {
        const { fleet, timer, maxUptimeMs } = this.options;
        const { view } = fleet;
        return vmsOfPool(view, pool).some(vm =>
            isAvailable(view, vm) && timer.wall() - vm.bootedAt > maxUptimeMs
        );
    }

    /** Decides the next step; VMs of evacuated zones serve nothing and are taken out without weighing the load. */
    private planAction(pool: string, due: readonly Vm[]): MaintenanceAction {
        const { fleet, timer, utilizationOf, weights, policy = MaintenancePolicy.LowestCost } = this.options;
        const { view } = fleet;
        if (due.some(vm => isEvacuated(view, vm))) {
            return MaintenanceAction.TakeOut;
        }
        const dueSince = this.dueSince.get(pool) ?? timer.now();
        this.dueSince.set(pool, dueSince);
        const action = decideAction(policy, {
            available: vmsOfPool(view, pool).filter(vm => mayServe(view, vm)).length,
            minAvailable: minAvailableOf(view, pool),
            utilization: utilizationOf(pool),
            peakUtilization: this.peakUtilizations.get(pool) ?? 0,
            lendableVms: findLendMove(view, pool) === undefined ? 0 : 1,
            borrowedVms: returnMovesOf(view, pool).filter(({ vm }) => !isInEvacuatedZone(view, vm)).length,
            waitedMs: timer.now() - dueSince,
        }, weights);
        if (action === MaintenanceAction.TakeOut) {
            this.dueSince.delete(pool);
        }
        return action;
    }

    private async lendSpareVm(pool: string): Promise<void> {
        const move = findLendMove(this.options.fleet.view, pool);
        if (move !== undefined) {
            await this.applyMove(move);
        }
    }

    /**
     * Returns a lent VM to its home pool when no VM of the pool is due or under maintenance, or at once when its zone
     * is evacuated.
     */
    private async returnBorrowedVm(pool: string, isDue: boolean): Promise<void> {
        const { view } = this.options.fleet;
        const hasPermits = Object.keys(view.poolRows.get(pool)?.permits ?? {}).length > 0;
        const [returnMove] = returnMovesOf(view, pool);
        const isIdle = returnMove !== undefined && isInEvacuatedZone(view, returnMove.vm);
        if ((isIdle || !isDue && !hasPermits) && returnMove !== undefined) {
            await this.applyMove(returnMove);
        }
    }

    private async applyMove(move: VmMove): Promise<void> {
        const { fleet, store, log, metrics, platform } = this.options;
        const flow = moveVm(fleet.view, move);
        if (await runFlow(flow, (effect: StoreEffect) => store.perform(effect))) {
            log.write(Severity.Info, EventId.VmMoved, { vm: move.vm, from: move.from, to: move.to });
            metrics.count("celerywind_vm_moves_total");
            await platform.moveVm(move.vm, move.to);
        }
    }

    /**
     * Repeats the platform call for moved VMs that the platform lists in another pool, because an entry can crash
     * between the transaction of a move and the call.
     */
    private async reconcilePlatformPools(pool: string): Promise<void> {
        const { fleet, platform } = this.options;
        const { vms, vmRows } = fleet.view;
        const mismatched = vms.filter(vm => vmRows.get(vm.id)?.pool === pool && vm.pool !== pool);
        await Promise.all(mismatched.map(vm => platform.moveVm(vm.id, pool)));
    }

    private async perform(effect: MaintenanceEffect): Promise<unknown> {
        const { platform, store } = this.options;
        switch (effect.kind) {
            case VmEffectKind.Drain:
                return platform.drain(effect.vm);
            case VmEffectKind.Undrain:
                return platform.undrain(effect.vm);
            case VmEffectKind.Reboot:
                return platform.reboot(effect.vm, effect.bootId);
            case VmEffectKind.IsDrained:
                return this.isDrained(effect.permit, effect.pool);
            case VmEffectKind.ReportStep:
                return this.reportStep(effect.step, effect.vm, effect.pool);
            case StoreEffectKind.Get:
            case StoreEffectKind.Scan:
            case StoreEffectKind.Commit:
            case StoreEffectKind.PutObject:
            case StoreEffectKind.GetObject:
            case StoreEffectKind.DeleteObject:
                return store.perform(effect);
        }
    }

    /**
     * Whether a VM is drained: each live entry has read the permit and has no work in flight on the VM, the quarantine
     * of all entries that ended uncleanly is over, and the platform reports nothing running on the VM.
     */
    private async isDrained(permit: Permit, pool: string): Promise<boolean> {
        const { fleet, peers, platform, timer, quarantineMs } = this.options;
        const check = { vm: permit.vm, permit: permit.id, pool };
        const now = timer.now();
        const isQuarantineOver = fleet.view.members.endedUncleanly.every(ended =>
            now - (fleet.endedSince(ended) ?? now) > quarantineMs
        );
        if (!isQuarantineOver || !this.isDrainedLocally(check)) {
            return false;
        }
        const others = fleet.live.filter(member => member.vm !== fleet.self!.vm);
        const answers = await Promise.all(
            others.map(member =>
                peers.request(member.vm, drainCheckTopic, check, drainCheckTimeoutMs).catch(() => false)
            ),
        );
        if (!answers.every(answer => answer === true)) {
            return false;
        }
        const usage = await platform.listUsage();
        return (usage.find(report => report.vm === permit.vm)?.running ?? 0) === 0;
    }

    private isDrainedLocally({ vm, permit, pool }: { vm: string; permit: string; pool: string }): boolean {
        const current = this.options.fleet.view.poolRows.get(pool)?.permits[vm];
        return current?.id === permit && this.options.inFlight(vm) === 0;
    }

    private reportStep(step: MaintenanceStep, vm: string, pool: string): void {
        const { log, metrics } = this.options;
        metrics.count("celerywind_service_steps_total", { step });
        switch (step) {
            case MaintenanceStep.PermitTaken:
                log.write(Severity.Info, EventId.PermitTaken, { vm, pool });
                break;
            case MaintenanceStep.Rebooting:
                log.write(Severity.Info, EventId.VmRebooted, { vm, pool });
                break;
            case MaintenanceStep.PermitReleased:
                log.write(Severity.Info, EventId.PermitReleased, { vm, pool });
                break;
            case MaintenanceStep.Overdue:
                log.write(Severity.Warn, EventId.WaveHalted, { vm, pool });
                break;
        }
    }
}
