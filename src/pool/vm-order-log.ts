/**
 * Stores which VMs were ordered recently, and what for. Two owners must not order the same VM within the holder gap, whether the
 * first of them runs on, has ended or is stopping. The next owner waits only for the VMs of this row and can order all others at
 * once, within the caps of the waves.
 */
import { z } from "zod";
import { EventId, Severity } from "../process/events.js";
import { parseJson } from "../process/json.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import {
    isSameRow,
    readRow,
    type RowKey,
    type RowPut,
    type RowStore,
    type StoredRow,
    TransactionStatus,
} from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { VmOrder } from "./fleet-view.js";
import { type InheritedOrder, InheritedOrders, inventoryLagMs } from "./inherited-orders.js";
import { tables } from "./ownership.js";
import type { InventoryVm, VmClient } from "./ports.js";
import type { Tenure } from "./tenure.js";

/** Options of `VmOrderLog.create`. */
export interface VmOrderLogOptions {
    readonly tenure: Pick<Tenure, "fence" | "putIfOwner">;
    readonly store: RowStore;
    readonly vms: Pick<VmClient, "maxOrderMs">;
    readonly domain: string;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Least time between the arrival of orders of two owners for the same VM, in milliseconds. */
    readonly holderGapMs: number;
}

/**
 * Age of the last confirmation of ownership, in milliseconds, up to which a VM may be ordered. Other entries replace an owner
 * whose store has not answered for `ownerStoreStaleMs`, so a longer time would hardly allow more orders; and the next owner
 * waits for it.
 */
export const maxOrderConfirmationAgeMs = 1000;

/** Interval of storing the row while it names VMs; the wait of the next owner may be too long by as much. */
const refreshMs = 500;
/** Largest share of the time that may go into such writes, since the plan of VMs waits for them. */
const maxRefreshShare = 0.1;

const orderRowSchema = z.object({
    vms: z.array(z.string()),
    /** Time from the store of the row until another owner may order each VM, in milliseconds; the longest if absent. */
    remainingMs: z.array(z.number().nonnegative()).exactOptional(),
    /** Whether each VM may have been ordered for maintenance; absent in rows of earlier versions. */
    maintenance: z.array(z.boolean()).exactOptional(),
    /** Fencing token of the owner that stored the row. */
    fence: z.number().exactOptional(),
});

/** VMs ordered recently by this owner and by earlier ones. */
export class VmOrderLog {
    /** Orders of this owner, by VM, with the latest monotonic time at which each can arrive. */
    private readonly sent = new Map<string, Pick<InheritedOrder, "isMaintenance" | "arrivesBy">>();
    private readonly inherited = InheritedOrders.create();
    private rowVersion = 0;
    private isRestored = false;
    /** Whether the stored row names VMs, or cannot be read. */
    private isRowInUse = false;
    /** Monotonic time at which this owner last tried to store the row. */
    private storedAt = -Infinity;
    /** Time that the last try took, in milliseconds. */
    private lastStoreMs = 0;
    /** Monotonic time of the creation. Earlier owners could record no order after the takeover, which was before it. */
    private readonly createdAt: number;
    /** Time from the latest arrival of an order until the next owner neither leaves its VM alone nor waits for the inventory. */
    private readonly gapMs: number;
    /** Time from the end of a tenure until an order can no longer arrive that it recorded just before. */
    private readonly longestArrivalMs: number;

    private constructor(private readonly options: VmOrderLogOptions) {
        const { timer, holderGapMs, vms } = options;
        this.createdAt = timer.now();
        this.gapMs = Math.max(holderGapMs, inventoryLagMs);
        this.longestArrivalMs = maxOrderConfirmationAgeMs + vms.maxOrderMs;
    }

    /** Creates the log of a tenure, at or after its takeover. */
    static create(options: VmOrderLogOptions): VmOrderLog {
        return new VmOrderLog(options);
    }

    /** Whether a VM may be ordered: no order of an earlier owner can have arrived within the holder gap. */
    isOrderable(vm: string): boolean {
        return this.inherited.isOrderable(vm, this.options.timer.now());
    }

    /** Whether an order of an earlier owner may have brought a VM into maintenance, or still bring it there, unseen by the inventory. */
    mayBeInMaintenance(vm: string): boolean {
        return this.inherited.mayBeInMaintenance(vm);
    }

    /** Whether an order of an earlier owner was seen to bring a VM into maintenance. */
    wasMaintained(vm: string): boolean {
        return this.inherited.wasCarriedOut(vm);
    }

    /** Whether the inventory has not told yet of some order of an earlier owner. */
    get hasUnsettled(): boolean {
        return this.inherited.hasUnsettled;
    }

    /** Settles the orders of earlier owners that an inventory, requested at the monotonic time `readAt`, tells of. */
    applyInventory(inventory: readonly InventoryVm[], readAt: number): void {
        const { log, tenure, timer } = this.options;
        for (const { vm, phase, arrivesBy } of this.inherited.settle(inventory, readAt)) {
            log.write(Severity.Info, EventId.InheritedOrderSettled, {
                vm,
                phase,
                canArriveForMs: Math.max(0, Math.round(arrivesBy - readAt)),
                tenureMs: Math.round(timer.now() - this.createdAt),
                fence: tenure.fence,
            });
        }
    }

    /** Reads the orders of earlier owners, once; rejects if the store cannot be read. */
    async restore(): Promise<void> {
        if (!this.isRestored) {
            this.loadRow(await readRow(this.options.store, this.key));
            this.isRestored = true;
        }
    }

    /**
     * Stores orders about to be sent. Returns true if they are certainly stored and this entry was the owner then; whether it may
     * still send them has to be asked after that.
     */
    record(orders: readonly VmOrder[]): Promise<boolean> {
        const waitMs = this.longestArrivalMs + this.gapMs;
        return this.store(
            new Map([
                ...this.waits(),
                ...orders.map(order => [order.vm, { isMaintenance: isMaintenance(order), waitMs }] as const),
            ]),
        );
    }

    /** Notes that recorded orders are sent now. */
    recordSent(orders: readonly VmOrder[]): void {
        const { timer, vms: { maxOrderMs } } = this.options;
        const arrivesBy = timer.now() + maxOrderMs;
        orders.forEach(order => this.sent.set(order.vm, { isMaintenance: isMaintenance(order), arrivesBy }));
    }

    /** Notes that the platform has answered the order for a VM, which has therefore arrived. */
    recordAnswered(vm: string): void {
        const sent = this.sent.get(vm);
        if (sent !== undefined) {
            this.sent.set(vm, { ...sent, arrivesBy: this.options.timer.now() });
        }
    }

    /**
     * Stores how long VMs still concern the next owner, every `refreshMs` until none does, or less often while the store is
     * slow. The next owner cannot tell how old the row is, and would wait as if it had just been stored and its orders were
     * still to be sent.
     */
    async refreshRow(): Promise<void> {
        const now = this.options.timer.now();
        const intervalMs = Math.max(refreshMs, this.lastStoreMs / maxRefreshShare);
        const isDue = now - this.storedAt >= intervalMs && this.inherited.areKnown(now);
        if (this.isRowInUse && isDue) {
            await this.store(this.waits());
        }
    }

    /** The row for the next owner, once no more orders are sent; undefined if the stored one tells it more. */
    handOverRow(): RowPut | undefined {
        return this.inherited.areKnown(this.options.timer.now()) ? this.rowOf(this.waits()) : undefined;
    }

    /** Orders that concern the next owner, by VM. */
    private waits(): Map<string, StoredWait> {
        const now = this.options.timer.now();
        const waits = new Map<string, StoredWait>(
            this.inherited.barredAt(now).map(({ vm, barredUntil, ...order }) => [
                vm,
                { isMaintenance: order.isMaintenance, waitMs: barredUntil - now },
            ]),
        );
        for (const [vm, { arrivesBy, ...order }] of this.sent) {
            const waitMs = arrivesBy + this.gapMs - now;
            if (waitMs > 0) {
                waits.set(vm, { ...order, waitMs: Math.max(waitMs, waits.get(vm)?.waitMs ?? 0) });
            }
            else {
                this.sent.delete(vm);
            }
        }
        return waits;
    }

    private rowOf(waits: ReadonlyMap<string, StoredWait>): RowPut {
        const stored = [...waits.values()];
        const value = JSON.stringify({
            vms: [...waits.keys()],
            remainingMs: stored.map(({ waitMs }) => Math.ceil(waitMs)),
            maintenance: stored.map(order => order.isMaintenance),
            fence: this.options.tenure.fence,
        });
        return { ...this.key, value };
    }

    private async store(waits: ReadonlyMap<string, StoredWait>): Promise<boolean> {
        const { timer, tenure } = this.options;
        const sentAt = timer.now();
        const outcome = await tenure.putIfOwner(this.rowOf(waits), this.rowVersion);
        this.storedAt = timer.now();
        this.lastStoreMs = this.storedAt - sentAt;
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                this.rowVersion = outcome.version;
                this.isRowInUse = waits.size > 0;
                return true;
            case TransactionStatus.Conflict:
                this.loadRow(outcome.rows.find(row => isSameRow(row, this.key)));
                return false;
            case TransactionStatus.Refused:
            case TransactionStatus.Invalid:
            case TransactionStatus.Unknown:
                return false;
        }
    }

    private get key(): RowKey {
        return { table: tables.vmOrders, part: this.options.domain, key: "recent" };
    }

    private loadRow(row: StoredRow | undefined): void {
        const parsed = orderRowSchema.safeParse(row === undefined ? { vms: [] } : parseJson(row.value));
        this.rowVersion = row?.version ?? 0;
        if (!parsed.success) {
            this.inherited.addUnknown({
                arriveBy: this.createdAt + this.longestArrivalMs,
                barredUntil: this.createdAt + this.longestArrivalMs + this.gapMs,
            });
            this.isRowInUse = true;
            return;
        }
        const { vms, remainingMs, maintenance, fence } = parsed.data;
        this.isRowInUse = vms.length > 0;
        const isOwn = fence === this.options.tenure.fence;
        this.inherited.add(
            isOwn ? [] : vms.map((vm, i) => this.inheritedOrder(vm, remainingMs?.[i], maintenance?.[i])),
        );
        this.reportWaits();
    }

    private inheritedOrder(vm: string, remainingMs = Infinity, isMaintenance = true): InheritedOrder {
        const barredUntil = this.createdAt + Math.min(remainingMs, this.longestArrivalMs + this.gapMs);
        return { vm, isMaintenance, arrivesBy: barredUntil - this.gapMs, barredUntil };
    }

    private reportWaits(): void {
        const { log, metrics, tenure, timer } = this.options;
        const now = timer.now();
        const barred = this.inherited.barredAt(now);
        const waitsMs = barred.map(({ barredUntil }) => barredUntil - now);
        waitsMs.forEach(ms => metrics.observe("celerywind_vm_holder_gap_ms", ms));
        if (barred.length > 0) {
            const inMaintenance = barred.filter(({ vm }) => this.inherited.mayBeInMaintenance(vm));
            log.write(Severity.Info, EventId.VmsAwaitHolderGap, {
                fence: tenure.fence,
                vms: barred.map(({ vm }) => vm).join(" "),
                longestMs: Math.round(Math.max(...waitsMs)),
                maintenance: inMaintenance.map(({ vm }) => vm).join(" ") || undefined,
            });
        }
    }
}

/** An order for the next owner. */
interface StoredWait extends Pick<InheritedOrder, "isMaintenance"> {
    /** Time from the store of the row until another owner may order the VM, in milliseconds. */
    readonly waitMs: number;
}

function isMaintenance(order: VmOrder): boolean {
    switch (order.kind) {
        case "move":
            return false;
        case "service":
            return true;
    }
}
