/**
 * Stores which VMs were ordered recently. Two holders must not order the same VM in quick succession. If ownership
 * changes during a burst, the next owner must wait only for these VMs and can move all others at once.
 */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import {
    isSameRow,
    readRow,
    type RowKey,
    type RowStore,
    type StoredRow,
    TransactionStatus,
} from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import { tables } from "./ownership.js";
import type { Tenure } from "./tenure.js";

/** Options of `VmOrderLog.create`. */
export interface VmOrderLogOptions {
    readonly tenure: Tenure;
    readonly store: RowStore;
    readonly domain: string;
    readonly timer: Timer;
    /** Least time between orders of two holders for the same VM, in milliseconds. */
    readonly holderGapMs: number;
    /** Whether the previous holder has certainly no order in flight. */
    readonly isPreviousHolderGone: boolean;
}

const orderRowSchema = z.object({ vms: z.array(z.string()) });

/** VMs ordered recently by this owner and by the previous one. */
export class VmOrderLog {
    private readonly orderedAtByVm = new Map<string, number>();
    /** VMs ordered by an earlier owner; undefined if unknown. */
    private previousOwnerVms: ReadonlySet<string> | undefined;
    private rowVersion = 0;
    private isRestored = false;
    private readonly holderGapEndsAt: number;

    private constructor(private readonly options: VmOrderLogOptions) {
        const { isPreviousHolderGone, timer, holderGapMs } = options;
        this.holderGapEndsAt = timer.now() + (isPreviousHolderGone ? 0 : holderGapMs);
    }

    static create(options: VmOrderLogOptions): VmOrderLog {
        return new VmOrderLog(options);
    }

    /** Whether the time in which an earlier owner's orders bar this one's is over. */
    get isHolderGapOver(): boolean {
        return this.options.timer.now() >= this.holderGapEndsAt;
    }

    /** Whether a VM may be ordered: the holder gap is over, or earlier owners are known not to have ordered the VM. */
    isOrderable(vm: string): boolean {
        return this.isHolderGapOver || this.previousOwnerVms?.has(vm) === false;
    }

    /** Reads the orders of earlier owners, once; rejects if the store cannot be read. */
    async restore(): Promise<void> {
        if (!this.isRestored) {
            this.loadRow(await readRow(this.options.store, this.key));
            this.isRestored = true;
        }
    }

    /** Stores VMs about to be ordered. Returns true if they are certainly stored and this entry is still the owner. */
    async record(vms: readonly string[]): Promise<boolean> {
        const { timer, tenure, holderGapMs } = this.options;
        const now = timer.now();
        for (const [vm, at] of this.orderedAtByVm) {
            if (now - at > holderGapMs) {
                this.orderedAtByVm.delete(vm);
            }
        }
        vms.forEach(vm => this.orderedAtByVm.set(vm, now));
        const vmsWithinHolderGap = now < this.holderGapEndsAt ? this.previousOwnerVms ?? [] : [];
        const recentVms = [...new Set([...this.orderedAtByVm.keys(), ...vmsWithinHolderGap])];
        const put = { ...this.key, value: JSON.stringify({ vms: recentVms }) };
        const outcome = await tenure.putIfOwner(put, this.rowVersion);
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                this.rowVersion = outcome.version;
                return true;
            case TransactionStatus.Conflict:
                this.rowVersion = outcome.rows.find(row => isSameRow(row, this.key))?.version ?? 0;
                return false;
            case TransactionStatus.Refused:
            case TransactionStatus.Unknown:
                return false;
        }
    }

    private get key(): RowKey {
        return { table: tables.vmOrders, part: this.options.domain, key: "recent" };
    }

    private loadRow(row: StoredRow | undefined): void {
        const parsed = row === undefined ? undefined : orderRowSchema.safeParse(parseJson(row.value));
        this.rowVersion = row?.version ?? 0;
        // Without a valid row the earlier orders are unknown, and no VM may be ordered until the holder gap is over.
        if (parsed?.success === true) {
            this.previousOwnerVms = new Set(parsed.data.vms);
        }
    }
}
