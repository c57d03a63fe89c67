/**
 * Stores which VMs were ordered recently. Two owners must not order the same VM within the holder gap, whether the first of
 * them runs on, has ended or is stopping. The next owner waits only for the VMs of this row and can order all others at once.
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
import { tables } from "./ownership.js";
import type { VmClient } from "./ports.js";
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
    /** Fencing token of the owner that stored the row. */
    fence: z.number().exactOptional(),
});

/** VMs ordered recently by this owner and by earlier ones. */
export class VmOrderLog {
    /** Latest monotonic time at which an order of this owner for a VM can arrive, by VM. */
    private readonly arrivalBy = new Map<string, number>();
    /** Monotonic time from which a VM that an earlier owner ordered may be ordered, by VM. */
    private readonly barredUntil = new Map<string, number>();
    /** The same for all other VMs; in the past once it is known which VMs earlier owners ordered. */
    private othersBarredUntil = Infinity;
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
    /** Time from the end of a tenure until a VM may be ordered for which it recorded an order just before. */
    private readonly longestWaitMs: number;

    private constructor(private readonly options: VmOrderLogOptions) {
        const { timer, holderGapMs, vms } = options;
        this.createdAt = timer.now();
        this.longestWaitMs = maxOrderConfirmationAgeMs + vms.maxOrderMs + holderGapMs;
    }

    /** Creates the log of a tenure, at or after its takeover. */
    static create(options: VmOrderLogOptions): VmOrderLog {
        return new VmOrderLog(options);
    }

    /** Whether a VM may be ordered: no order of an earlier owner can have arrived within the holder gap. */
    isOrderable(vm: string): boolean {
        return this.options.timer.now() >= (this.barredUntil.get(vm) ?? this.othersBarredUntil);
    }

    /** Reads the orders of earlier owners, once; rejects if the store cannot be read. */
    async restore(): Promise<void> {
        if (!this.isRestored) {
            this.loadRow(await readRow(this.options.store, this.key));
            this.isRestored = true;
        }
    }

    /**
     * Stores VMs about to be ordered. Returns true if they are certainly stored and this entry was the owner then; whether it
     * may still order them has to be asked after that.
     */
    record(vms: readonly string[]): Promise<boolean> {
        return this.store(new Map([...this.waits(), ...vms.map(vm => [vm, this.longestWaitMs] as const)]));
    }

    /** Notes that orders for recorded VMs are sent now. */
    recordSent(vms: readonly string[]): void {
        const { timer, vms: { maxOrderMs } } = this.options;
        vms.forEach(vm => this.arrivalBy.set(vm, timer.now() + maxOrderMs));
    }

    /** Notes that the platform has answered the order for a VM, which has therefore arrived. */
    recordAnswered(vm: string): void {
        this.arrivalBy.set(vm, this.options.timer.now());
    }

    /**
     * Stores how long VMs still concern the next owner, every `refreshMs` until none does, or less often while the store is
     * slow. The next owner cannot tell how old the row is, and would wait as if it had just been stored and its orders were
     * still to be sent.
     */
    async refreshRow(): Promise<void> {
        const now = this.options.timer.now();
        const intervalMs = Math.max(refreshMs, this.lastStoreMs / maxRefreshShare);
        const isDue = now - this.storedAt >= intervalMs && now >= this.othersBarredUntil;
        if (this.isRowInUse && isDue) {
            await this.store(this.waits());
        }
    }

    /** The row for the next owner, once no more orders are sent; undefined if the stored one tells it more. */
    handOverRow(): RowPut | undefined {
        return this.options.timer.now() >= this.othersBarredUntil ? this.rowOf(this.waits()) : undefined;
    }

    /** Time from now until another owner may order a VM, in milliseconds, by VM. */
    private waits(): Map<string, number> {
        const { timer, holderGapMs } = this.options;
        const now = timer.now();
        const waits = new Map<string, number>();
        for (const [vm, until] of this.barredUntil) {
            if (until > now) {
                waits.set(vm, until - now);
            }
        }
        for (const [vm, at] of this.arrivalBy) {
            const waitMs = at + holderGapMs - now;
            if (waitMs > 0) {
                waits.set(vm, Math.max(waitMs, waits.get(vm) ?? 0));
            }
            else {
                this.arrivalBy.delete(vm);
            }
        }
        return waits;
    }

    private rowOf(waits: ReadonlyMap<string, number>): RowPut {
        const remainingMs = [...waits.values()].map(ms => Math.ceil(ms));
        const value = JSON.stringify({
            vms: [...waits.keys()],
            remainingMs,
            fence: this.options.tenure.fence,
        });
        return { ...this.key, value };
    }

    private async store(waits: ReadonlyMap<string, number>): Promise<boolean> {
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
            // The earlier orders are unknown, so that any VM may have been ordered until now.
            this.othersBarredUntil = this.createdAt + this.longestWaitMs;
            this.isRowInUse = true;
            return;
        }
        const { vms, remainingMs, fence } = parsed.data;
        this.othersBarredUntil = -Infinity;
        this.isRowInUse = vms.length > 0;
        if (fence !== this.options.tenure.fence) {
            vms.forEach((vm, i) => {
                const waitMs = Math.min(remainingMs?.[i] ?? this.longestWaitMs, this.longestWaitMs);
                this.barredUntil.set(vm, this.createdAt + waitMs);
            });
            this.reportWaits(vms);
        }
    }

    private reportWaits(vms: readonly string[]): void {
        const { log, metrics, tenure, timer } = this.options;
        const barred = vms.filter(vm => !this.isOrderable(vm));
        const waitsMs = barred.map(vm => this.barredUntil.get(vm)! - timer.now());
        waitsMs.forEach(ms => metrics.observe("celerywind_vm_holder_gap_ms", ms));
        if (barred.length > 0) {
            log.write(Severity.Info, EventId.VmsAwaitHolderGap, {
                fence: tenure.fence,
                vms: barred.join(" "),
                longestMs: Math.round(Math.max(...waitsMs)),
            });
        }
    }
}
