/**
 * Remembers in the store which VMs were ordered lately. Answers an owner that changes in the middle of a burst: the
 * next owner leaves only these VMs alone for a while, since two holders must not order one VM in quick succession,
 * and moves all others at once.
 */
import { z } from "zod";
import { parseJson } from "../process/json.js";
import {
    isSameRow,
    readRow,
    type RowKey,
    type RowStore,
    type StoredRow,
    TransactKind,
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
    /** Time between orders of two holders for the same VM, in milliseconds. */
    readonly holderGapMs: number;
    /** Whether the holder before this one can have no order under way. */
    readonly isPreviousHolderGone: boolean;
}

const orderRowSchema = z.object({ vms: z.array(z.string()) });

/** The VMs that were ordered lately, by this owner and by the one before. */
export class VmOrderLog {
    private readonly orderedAtByVm = new Map<string, number>();
    /** VMs that an earlier owner ordered; undefined while that is not known. */
    private previousOwnerVms: ReadonlySet<string> | undefined;
    private rowVersion = 0;
    private isRestored = false;
    private readonly holderGapEndsAt: number;

    private constructor(private readonly options: VmOrderLogOptions) {
        const { isPreviousHolderGone: hasHolderEnded, timer, holderGapMs } = options;
        this.holderGapEndsAt = timer.now() + (hasHolderEnded ? 0 : holderGapMs);
    }

    static create(options: VmOrderLogOptions): VmOrderLog {
        return new VmOrderLog(options);
    }

    /** Whether a VM may be ordered: no earlier owner has ordered it lately, as far as that is known. */
    isOrderable(vm: string): boolean {
        const isQuiet = this.options.timer.now() < this.holderGapEndsAt;
        return !isQuiet || this.previousOwnerVms?.has(vm) === false;
    }

    /** Reads what earlier owners ordered; rejects when the store gives no sound answer. */
    async restore(): Promise<void> {
        if (!this.isRestored) {
            this.loadRow(await readRow(this.options.store, this.key));
            this.isRestored = true;
        }
    }

    /** Stores that VMs are about to be ordered; true when that is certain and this entry is still the owner. */
    async record(vms: readonly string[]): Promise<boolean> {
        const { timer, tenure, holderGapMs } = this.options;
        const now = timer.now();
        for (const [vm, at] of this.orderedAtByVm) {
            if (now - at > holderGapMs) {
                this.orderedAtByVm.delete(vm);
            }
        }
        vms.forEach(vm => this.orderedAtByVm.set(vm, now));
        const stillQuiet = now < this.holderGapEndsAt ? this.previousOwnerVms ?? [] : [];
        const listed = [...new Set([...this.orderedAtByVm.keys(), ...stillQuiet])];
        const put = { ...this.key, value: JSON.stringify({ vms: listed }) };
        const outcome = await tenure.storeOwned(put, this.rowVersion);
        switch (outcome.kind) {
            case TransactKind.Committed:
                this.rowVersion = outcome.version;
                return true;
            case TransactKind.Conflict:
                this.rowVersion = outcome.rows.find(row => isSameRow(row, this.key))?.version ?? 0;
                return false;
            case TransactKind.Refused:
            case TransactKind.Unknown:
                return false;
        }
    }

    private get key(): RowKey {
        return { table: tables.vmOrders, part: this.options.domain, key: "recent" };
    }

    private loadRow(row: StoredRow | undefined): void {
        const parsed = row === undefined ? undefined : orderRowSchema.safeParse(parseJson(row.value));
        this.rowVersion = row?.version ?? 0;
        // Without a sound row nothing is known, and all VMs are left alone until the quiet time is over.
        if (parsed?.success === true) {
            this.previousOwnerVms = new Set(parsed.data.vms);
        }
    }
}
