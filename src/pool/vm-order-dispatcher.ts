/** Orders for VMs: recorded, sent at the platform's rate, and remembered until the inventory shows them. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import { RateWindow } from "../process/rate-window.js";
import type { Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";
import type { VmOrder } from "./fleet-plan.js";
import { type InventoryVm, type VmClient, VmOrderResult, VmPhase } from "./ports.js";
import type { Tenure } from "./tenure.js";
import { VmOrderLog, type VmOrderLogOptions } from "./vm-order-log.js";
import type { WaveTracker } from "./wave-tracker.js";

/** Options of `VmDesk.create`. */
export interface VmOrderDispatcherOptions extends VmOrderLogOptions {
    readonly tenure: Tenure;
    readonly entry: string;
    readonly vms: VmClient;
    readonly directory: () => Directory | undefined;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly maintenanceMs: number;
    readonly moveMs: number;
    /** VM orders that the platform takes in a second. */
    readonly vmOrdersPerS: number;
    readonly waveTracker: WaveTracker;
    /** Called when a VM has been ordered away, so that it needs no emptying any more. */
    readonly onOrderAccepted: (vm: string) => void;
}

/** What is assumed of a VM after an order, until the inventory is late enough to show it. */
export interface AssumedVmState {
    readonly pool: string;
    readonly phase: VmPhase;
    /** Monotonic time, in milliseconds. */
    readonly expiresAt: number;
}

/** Added to the time that a move or service takes, before the inventory's word is believed again. */
export const inventoryLagMs = 300;
/** Share of the platform's rate of VM orders that is used; a former owner may have used some of the same second. */
const orderRateShare = 0.9;

/** Sends orders for VMs. */
export class VmOrderDispatcher {
    private readonly assumedStates = new Map<string, AssumedVmState>();
    private readonly orderLog: VmOrderLog;
    private readonly orderRate: RateWindow;

    private constructor(private readonly options: VmOrderDispatcherOptions) {
        this.orderLog = VmOrderLog.create(options);
        this.orderRate = RateWindow.create(options.vmOrdersPerS * orderRateShare);
    }

    static create(options: VmOrderDispatcherOptions): VmOrderDispatcher {
        return new VmOrderDispatcher(options);
    }

    /** Reads what an earlier owner ordered; rejects when the store gives no sound answer. */
    restore(): Promise<void> {
        return this.orderLog.restore();
    }

    /** Whether a VM may be ordered now. */
    isOrderable(vm: string): boolean {
        return this.orderLog.isOrderable(vm);
    }

    /** Whether some order is not yet shown by the inventory. */
    get hasUnconfirmedOrders(): boolean {
        return this.assumedStates.size > 0;
    }

    /** What is assumed of a VM; undefined when the inventory is to be believed. */
    assumedState(vm: string): AssumedVmState | undefined {
        return this.assumedStates.get(vm);
    }

    /** Drops what was assumed once the inventory was read late enough to show it. */
    expireAssumedStates(readAt: number): void {
        for (const [vm, { expiresAt: until }] of this.assumedStates) {
            if (readAt >= until) {
                this.assumedStates.delete(vm);
            }
        }
    }

    /** Sends as many orders as the rate has room for, once it is certain that this entry is still the owner. */
    async sendOrders(
        orders: readonly VmOrder[],
        inventory: readonly InventoryVm[],
        listedAt: number,
    ): Promise<void> {
        const { timer } = this.options;
        const now = orders.slice(0, this.orderRate.room(timer.now()));
        if (now.length > 0 && await this.orderLog.record(now.map(({ vm }) => vm))) {
            this.orderRate.add(timer.now(), now.length);
            await Promise.all(now.map(async order => {
                const entry = inventory.find(({ vm }) => vm === order.vm);
                this.recordResult(order, await this.sendOrder(order, entry?.pool ?? ""), listedAt);
            }));
        }
    }

    private sendOrder(order: VmOrder, pool: string): Promise<VmOrderResult> {
        switch (order.kind) {
            case "move":
                return this.moveVm(order.vm, order.pool);
            case "service":
                return this.startMaintenance(order.vm, order.wave, pool);
        }
    }

    private async moveVm(vm: string, pool: string): Promise<VmOrderResult> {
        const { vms, timer, moveMs, entry, tenure, directory, onOrderAccepted: onGone } = this.options;
        const until = timer.now() + moveMs + inventoryLagMs;
        this.assumedStates.set(vm, { pool, phase: VmPhase.Moving, expiresAt: until });
        const result = await vms.move(vm, pool, entry, tenure.fence);
        if (result === VmOrderResult.Done) {
            onGone(vm);
            if (directory()?.pools.get(pool)?.isSpare !== true) {
                tenure.watch.pollFasterFor(moveMs + inventoryLagMs);
            }
        }
        else if (result !== VmOrderResult.Unknown) {
            this.assumedStates.delete(vm);
        }
        return result;
    }

    private async startMaintenance(vm: string, wave: number, pool: string): Promise<VmOrderResult> {
        const {
            vms,
            timer,
            maintenanceMs: serviceMs,
            entry,
            tenure,
            waveTracker: waveBook,
            onOrderAccepted: onGone,
        } = this.options;
        const now = timer.now();
        waveBook.recordStart(wave, vm, now);
        this.assumedStates.set(vm, {
            pool,
            phase: VmPhase.InMaintenance,
            expiresAt: now + serviceMs + inventoryLagMs,
        });
        const result = await vms.startMaintenance(vm, wave, entry, tenure.fence);
        switch (result) {
            case VmOrderResult.Done:
                onGone(vm);
                waveBook.recordAccepted(wave, vm);
                tenure.storeRow(waveBook.progressRow(wave));
                break;
            case VmOrderResult.Unknown:
                break;
            case VmOrderResult.NotInWave:
            case VmOrderResult.Impossible:
                this.assumedStates.delete(vm);
                waveBook.exclude(wave, vm);
                break;
            case VmOrderResult.Busy:
            case VmOrderResult.Fenced:
            case VmOrderResult.RateLimited:
                this.assumedStates.delete(vm);
                waveBook.recordFailure(wave, vm);
        }
        return result;
    }

    private recordResult({ kind: order, ...fields }: VmOrder, result: VmOrderResult, listedAt: number): void {
        const { log, metrics, tenure, timer } = this.options;
        metrics.count("celerywind_vm_orders_total", { order, result });
        log.write(Severity.Info, EventId.VmOrdered, {
            order,
            result,
            ...fields,
            fence: tenure.fence,
            inventoryAgeMs: Math.round(timer.now() - listedAt),
        });
        if (result === VmOrderResult.Fenced) {
            void tenure.confirm();
        }
    }
}
