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
    /** Time between orders of two holders for the same VM, in milliseconds. */
    readonly holderGapMs: number;
    /** Whether the holder before this one can have no order under way. */
    readonly hasHolderEnded: boolean;
}

const orderRow = z.object({ vms: z.array(z.string()) });

/** The VMs that were ordered lately, by this owner and by the one before. */
export class VmOrderLog {
    private readonly ordered = new Map<string, number>();
    /** VMs that an earlier owner ordered; undefined while that is not known. */
    private inherited: ReadonlySet<string> | undefined;
    private version = 0;
    private isRestored = false;
    private readonly quietUntil: number;

    private constructor(private readonly options: VmOrderLogOptions) {
        const { hasHolderEnded, timer, holderGapMs } = options;
        this.quietUntil = timer.now() + (hasHolderEnded ? 0 : holderGapMs);
    }

    static create(options: VmOrderLogOptions): VmOrderLog {
        return new VmOrderLog(options);
    }

    /** Whether a VM may be ordered: no earlier owner has ordered it lately, as far as that is known. */
    isFree(vm: string): boolean {
        const isQuiet = this.options.timer.now() < this.quietUntil;
        return !isQuiet || this.inherited?.has(vm) === false;
    }

    /** Reads what earlier owners ordered; rejects when the store gives no sound answer. */
    async restore(): Promise<void> {
        if (!this.isRestored) {
            this.adopt(await readRow(this.options.store, this.key));
            this.isRestored = true;
        }
    }

    /** Stores that VMs are about to be ordered; true when that is certain and this entry is still the owner. */
    async record(vms: readonly string[]): Promise<boolean> {
        const { timer, tenure, holderGapMs } = this.options;
        const now = timer.now();
        for (const [vm, at] of this.ordered) {
            if (now - at > holderGapMs) {
                this.ordered.delete(vm);
            }
        }
        vms.forEach(vm => this.ordered.set(vm, now));
        const stillQuiet = now < this.quietUntil ? this.inherited ?? [] : [];
        const listed = [...new Set([...this.ordered.keys(), ...stillQuiet])];
        const put = { ...this.key, value: JSON.stringify({ vms: listed }) };
        const outcome = await tenure.putIfOwner(put, this.version);
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                this.version = outcome.version;
                return true;
            case TransactionStatus.Conflict:
                this.version = outcome.rows.find(row => isSameRow(row, this.key))?.version ?? 0;
                return false;
            case TransactionStatus.Refused:
            case TransactionStatus.Unknown:
                return false;
        }
    }

    private get key(): RowKey {
        return { table: tables.vmOrders, part: this.options.domain, key: "recent" };
    }

    private adopt(row: StoredRow | undefined): void {
        const parsed = row === undefined ? undefined : orderRow.safeParse(parseJson(row.value));
        this.version = row?.version ?? 0;
        // Without a sound row nothing is known, and all VMs are left alone until the quiet time is over.
        if (parsed?.success === true) {
            this.inherited = new Set(parsed.data.vms);
        }
    }
}
