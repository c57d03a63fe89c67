/** Orders for VMs: recorded, sent at the platform's rate, and remembered until the inventory shows them. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import { RateWindow } from "../process/rate-window.js";
import type { Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";
import type { VmOrder } from "./fleet-plan.js";
import { type VmCalls, type VmEntry, VmOrderResult, VmPhase } from "./ports.js";
import type { Tenure } from "./tenure.js";
import { VmOrderLog, type VmOrderLogOptions } from "./vm-orders.js";
import type { WaveBook } from "./wave-book.js";

/** Options of `VmDesk.create`. */
export interface VmDeskOptions extends VmOrderLogOptions {
    readonly tenure: Tenure;
    readonly entry: string;
    readonly vms: VmCalls;
    readonly directory: () => Directory | undefined;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly serviceMs: number;
    readonly moveMs: number;
    /** VM orders that the platform takes in a second. */
    readonly vmOrdersPerS: number;
    readonly waveBook: WaveBook;
    /** Called when a VM has been ordered away, so that it needs no emptying any more. */
    readonly onGone: (vm: string) => void;
}

/** What is assumed of a VM after an order, until the inventory is late enough to show it. */
export interface Ordered {
    readonly pool: string;
    readonly phase: VmPhase;
    /** Monotonic time, in milliseconds. */
    readonly until: number;
}

/** Added to the time that a move or service takes, before the inventory's word is believed again. */
export const settleMs = 300;
/** Share of the platform's rate of VM orders that is used; a former owner may have used some of the same second. */
const orderRateShare = 0.9;

/** Sends orders for VMs. */
export class VmDesk {
    private readonly ordered = new Map<string, Ordered>();
    private readonly orderLog: VmOrderLog;
    private readonly orderRate: RateWindow;

    private constructor(private readonly options: VmDeskOptions) {
        this.orderLog = VmOrderLog.create(options);
        this.orderRate = RateWindow.create(options.vmOrdersPerS * orderRateShare);
    }

    static create(options: VmDeskOptions): VmDesk {
        return new VmDesk(options);
    }

    /** Reads what an earlier owner ordered; rejects when the store gives no sound answer. */
    restore(): Promise<void> {
        return this.orderLog.restore();
    }

    /** Whether a VM may be ordered now. */
    isFree(vm: string): boolean {
        return this.orderLog.isFree(vm);
    }

    /** Whether some order is not yet shown by the inventory. */
    get isWaiting(): boolean {
        return this.ordered.size > 0;
    }

    /** What is assumed of a VM; undefined when the inventory is to be believed. */
    assumed(vm: string): Ordered | undefined {
        return this.ordered.get(vm);
    }

    /** Drops what was assumed once the inventory was read late enough to show it. */
    settle(readAt: number): void {
        for (const [vm, { until }] of this.ordered) {
            if (readAt >= until) {
                this.ordered.delete(vm);
            }
        }
    }

    /** Sends as many orders as the rate has room for, once it is certain that this entry is still the owner. */
    async send(orders: readonly VmOrder[], inventory: readonly VmEntry[], listedAt: number): Promise<void> {
        const { timer } = this.options;
        const now = orders.slice(0, this.orderRate.remaining(timer.now()));
        if (now.length > 0 && await this.orderLog.record(now.map(({ vm }) => vm))) {
            this.orderRate.record(timer.now(), now.length);
            await Promise.all(now.map(async order => {
                const entry = inventory.find(({ vm }) => vm === order.vm);
                this.note(order, await this.order(order, entry?.pool ?? ""), listedAt);
            }));
        }
    }

    private order(order: VmOrder, pool: string): Promise<VmOrderResult> {
        switch (order.kind) {
            case "move":
                return this.moveVm(order.vm, order.pool);
            case "service":
                return this.serviceVm(order.vm, order.wave, pool);
        }
    }

    private async moveVm(vm: string, pool: string): Promise<VmOrderResult> {
        const { vms, timer, moveMs, entry, tenure, directory, onGone } = this.options;
        const until = timer.now() + moveMs + settleMs;
        this.ordered.set(vm, { pool, phase: VmPhase.Moving, until });
        const result = await vms.move(vm, pool, entry, tenure.fence);
        if (result === VmOrderResult.Done) {
            onGone(vm);
            if (directory()?.pools.get(pool)?.isSpare !== true) {
                tenure.workerMonitor.expectWorkers(moveMs + settleMs);
            }
        }
        else if (result !== VmOrderResult.Unknown) {
            this.ordered.delete(vm);
        }
        return result;
    }

    private async serviceVm(vm: string, wave: number, pool: string): Promise<VmOrderResult> {
        const { vms, timer, serviceMs, entry, tenure, waveBook, onGone } = this.options;
        const now = timer.now();
        waveBook.begin(wave, vm, now);
        this.ordered.set(vm, { pool, phase: VmPhase.InService, until: now + serviceMs + settleMs });
        const result = await vms.service(vm, wave, entry, tenure.fence);
        switch (result) {
            case VmOrderResult.Done:
                onGone(vm);
                waveBook.accept(wave, vm);
                tenure.putWithNextBatch(waveBook.row(wave));
                break;
            case VmOrderResult.Unknown:
                break;
            case VmOrderResult.NotInWave:
            case VmOrderResult.Impossible:
                this.ordered.delete(vm);
                waveBook.exclude(wave, vm);
                break;
            case VmOrderResult.Busy:
            case VmOrderResult.Fenced:
            case VmOrderResult.RateLimited:
                this.ordered.delete(vm);
                waveBook.fail(wave, vm);
        }
        return result;
    }

    private note({ kind: order, ...fields }: VmOrder, result: VmOrderResult, listedAt: number): void {
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
