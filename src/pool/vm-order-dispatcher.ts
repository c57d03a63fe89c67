/** Sends VM orders within the platform's rate limit, and tracks their effect until the inventory shows it. */
import { EventId, Severity } from "../process/events.js";
import { RateWindow } from "../process/rate-window.js";
import type { RowPut } from "../process/rows.js";
import type { Directory } from "../version/directory.js";
import type { OrderInProgress } from "./fleet-handover.js";
import type { VmOrder } from "./fleet-plan.js";
import { inventoryLagMs } from "./inherited-orders.js";
import type { OrderBar } from "./ownership-guard.js";
import { type InventoryVm, type VmClient, type VmOrderIssuer, VmOrderResult, VmPhase } from "./ports.js";
import type { Tenure } from "./tenure.js";
import { maxOrderConfirmationAgeMs, VmOrderLog, type VmOrderLogOptions } from "./vm-order-log.js";
import type { WaveTracker } from "./wave-tracker.js";

/** Options of `VmOrderDispatcher.create`. */
export interface VmOrderDispatcherOptions extends VmOrderLogOptions {
    readonly tenure: Tenure;
    readonly entry: string;
    readonly vms: VmClient;
    readonly directory: () => Directory | undefined;
    readonly maintenanceMs: number;
    readonly moveMs: number;
    /** Rate limit of the platform, in VM orders per second. */
    readonly vmOrdersPerS: number;
    readonly waveTracker: WaveTracker;
    /** Called when the platform has accepted an order for a VM, which ends its cordon. */
    readonly onOrderAccepted: (vm: string) => void;
}

/** Assumed state of an ordered VM until the inventory is recent enough to show it. */
export interface AssumedVmState {
    readonly pool: string;
    readonly phase: VmPhase;
    /** Monotonic time, in milliseconds. */
    readonly expiresAt: number;
}

/** Share of the platform's rate limit to use, since an earlier owner may have sent orders within the same second. */
const orderRateShare = 0.9;

/** Sends VM orders. */
export class VmOrderDispatcher {
    private readonly assumedStates = new Map<string, AssumedVmState>();
    private readonly orderLog: VmOrderLog;
    private readonly orderRate: RateWindow;
    /** Aborts the orders under way. */
    private abortion = new AbortController();
    private isStopped = false;

    private constructor(private readonly options: VmOrderDispatcherOptions) {
        this.orderLog = VmOrderLog.create(options);
        this.orderRate = RateWindow.create(options.vmOrdersPerS * orderRateShare);
    }

    static create(options: VmOrderDispatcherOptions): VmOrderDispatcher {
        return new VmOrderDispatcher(options);
    }

    /** Reads the orders of an earlier owner; rejects if the store cannot be read. */
    restore(): Promise<void> {
        return this.orderLog.restore();
    }

    /** Updates what the next owner is told of orders that have arrived. */
    refreshLog(): Promise<void> {
        return this.orderLog.refreshRow();
    }

    /** The row that tells the next owner which VMs were ordered recently; undefined to keep the stored one. */
    handOverRow(): RowPut | undefined {
        return this.orderLog.handOverRow();
    }

    /** Whether a VM may be ordered now, given the recent orders of earlier owners. */
    isOrderable(vm: string): boolean {
        return this.orderLog.isOrderable(vm);
    }

    /** Whether an order of an earlier owner may have brought a VM into maintenance, or still bring it there, unseen by the inventory. */
    mayBeInMaintenance(vm: string): boolean {
        return this.orderLog.mayBeInMaintenance(vm);
    }

    /** Whether the inventory does not show the effect of some order yet. */
    get hasUnconfirmedOrders(): boolean {
        return this.assumedStates.size > 0 || this.orderLog.hasUnsettled;
    }

    /** Assumed state of a VM; undefined if the inventory is current for it. */
    assumedState(vm: string): AssumedVmState | undefined {
        return this.assumedStates.get(vm);
    }

    /** Orders whose effect the inventory may not show yet, for the next owner. */
    ordersInProgress(): readonly OrderInProgress[] {
        const now = this.options.timer.now();
        return [...this.assumedStates]
            .filter(([, { expiresAt }]) => expiresAt > now)
            .map(([vm, { pool, phase, expiresAt }]) => ({ vm, pool, phase, remainingMs: expiresAt - now }));
    }

    /** Assumes the effect of orders of an earlier owner, until the inventory shows it. */
    assumeOrders(orders: readonly OrderInProgress[]): void {
        const now = this.options.timer.now();
        for (const { vm, pool, phase, remainingMs } of orders) {
            this.assumedStates.set(vm, { pool, phase, expiresAt: now + remainingMs });
            if (phase === VmPhase.Moving && !this.isSpare(pool)) {
                this.options.tenure.workerMonitor.pollFasterFor(remainingMs);
            }
        }
    }

    private isSpare(pool: string): boolean {
        return this.options.directory()?.pools.get(pool)?.isSpare === true;
    }

    /** Drops what is assumed of VMs where an inventory, requested at the monotonic time `readAt`, tells it. */
    applyInventory(inventory: readonly InventoryVm[], readAt: number): void {
        this.orderLog.applyInventory(inventory, readAt);
        for (const [vm, { expiresAt }] of this.assumedStates) {
            if (readAt >= expiresAt) {
                this.assumedStates.delete(vm);
            }
        }
    }

    /** Sends as many orders as the rate limit allows, once it is certain that this entry is still the owner. */
    async sendOrders(
        orders: readonly VmOrder[],
        inventory: readonly InventoryVm[],
        listedAt: number,
    ): Promise<void> {
        const { timer, tenure } = this.options;
        const batch = orders.slice(0, this.orderRate.remaining(timer.now()));
        if (batch.length === 0 || this.isStopped || !tenure.mayOrder()) {
            return;
        }
        const recordedFrom = timer.now();
        if (!await this.orderLog.record(batch)) {
            return;
        }
        const bar = this.bar();
        if (bar !== undefined) {
            this.reportWithheld(bar, batch.length, timer.now() - recordedFrom);
            return;
        }
        this.abortion = new AbortController();
        this.orderRate.record(timer.now(), batch.length);
        this.orderLog.recordSent(batch);
        await Promise.all(batch.map(async order => {
            const entry = inventory.find(({ vm }) => vm === order.vm);
            const result = await this.sendOrder(order, entry?.pool ?? "");
            if (result !== VmOrderResult.Unknown) {
                this.orderLog.recordAnswered(order.vm);
            }
            const worker = tenure.workers.byId.get(entry?.worker ?? "");
            if (result === VmOrderResult.Done && worker !== undefined) {
                worker.isExpectedToEnd = true;
            }
            this.recordResult(order, result, listedAt);
        }));
    }

    /** Sends no further order, and none that still waits for a connection if `isAbort`. */
    stop({ isAbort }: { readonly isAbort: boolean }): void {
        this.isStopped = true;
        if (isAbort) {
            this.abortion.abort();
        }
    }

    /** Why no order may be sent now; undefined if it may. */
    private bar(): OrderBar | "stopping" | undefined {
        return this.isStopped ? "stopping" : this.options.tenure.orderBar(maxOrderConfirmationAgeMs);
    }

    private reportWithheld(reason: OrderBar | "stopping", vms: number, recordMs: number): void {
        const { log, metrics, tenure } = this.options;
        metrics.count("celerywind_vm_orders_withheld_total", { reason }, vms);
        log.write(Severity.Warn, EventId.VmOrdersWithheld, {
            reason,
            vms,
            fence: tenure.fence,
            recordMs: Math.round(recordMs),
        });
    }

    private sendOrder(order: VmOrder, pool: string): Promise<VmOrderResult> {
        switch (order.kind) {
            case "move":
                return this.moveVm(order.vm, order.pool);
            case "service":
                return this.startMaintenance(order.vm, order.wave, pool);
        }
    }

    private issuer(): VmOrderIssuer {
        const { entry, tenure } = this.options;
        return { holder: entry, fence: tenure.fence, signal: this.abortion.signal };
    }

    private async moveVm(vm: string, pool: string): Promise<VmOrderResult> {
        const { vms, timer, moveMs, tenure, onOrderAccepted } = this.options;
        const expiresAt = timer.now() + moveMs + inventoryLagMs;
        this.assumedStates.set(vm, { pool, phase: VmPhase.Moving, expiresAt });
        const result = await vms.move(vm, pool, this.issuer());
        if (result === VmOrderResult.Done) {
            onOrderAccepted(vm);
            if (!this.isSpare(pool)) {
                tenure.workerMonitor.pollFasterFor(moveMs + inventoryLagMs);
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
            maintenanceMs,
            tenure,
            waveTracker,
            onOrderAccepted,
        } = this.options;
        const expiresAt = timer.now() + maintenanceMs + inventoryLagMs;
        waveTracker.recordStart(wave, vm, expiresAt);
        this.assumedStates.set(vm, { pool, phase: VmPhase.InMaintenance, expiresAt });
        const result = await vms.startMaintenance(vm, wave, this.issuer());
        switch (result) {
            case VmOrderResult.Done:
                onOrderAccepted(vm);
                waveTracker.recordAccepted(wave, vm);
                if (this.orderLog.wasMaintained(vm)) {
                    // The platform has probably confirmed what the earlier order did; the next inventory tells.
                    waveTracker.recordStart(wave, vm, timer.now() + inventoryLagMs);
                }
                tenure.putWithNextBatch(
                    waveTracker.progressRow(wave, { now: timer.now(), wallMs: tenure.clock.wallMs() }),
                );
                break;
            case VmOrderResult.Unknown:
                break;
            case VmOrderResult.NotInWave:
            case VmOrderResult.Impossible:
                this.assumedStates.delete(vm);
                waveTracker.exclude(wave, vm);
                break;
            case VmOrderResult.Busy:
            case VmOrderResult.Fenced:
            case VmOrderResult.RateLimited:
                this.assumedStates.delete(vm);
                waveTracker.recordFailure(wave, vm);
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
