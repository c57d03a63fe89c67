/**
 * The rows of one batch of progress, up to what the store accepts in a transaction.
 *
 * Load pattern: hundreds of jobs change at once, or one job has thousands of tasks; what does not fit goes into the next batch.
 */
import { encodedItemBytes, maxTransactionBytes, maxTransactionEntries } from "../process/row-limits.js";
import type { RowKey, RowPut } from "../process/rows.js";

/** Rows that are stored together. */
export interface BatchItem {
    readonly puts: readonly RowPut[];
    readonly removals: readonly RowKey[];
    /** Called once they are stored. */
    readonly onStored?: () => void;
    /** Called if the store will never accept them. */
    readonly onInvalid?: (reason: string) => void;
}

/** Conditions and rows that each batch carries beside its items, see `commitBatch`. */
const ownEntries = 3;
const ownBytes = 2000;

/** A batch that is being filled. */
export class Batch {
    readonly items: BatchItem[] = [];
    private entries = ownEntries;
    private bytes = ownBytes;

    private constructor() {}

    static create(): Batch {
        return new Batch();
    }

    get isEmpty(): boolean {
        return this.items.length === 0;
    }

    /** Adds an item if there is room for all of its rows; returns whether there was. One alone always has room. */
    add(item: BatchItem): boolean {
        const rows = [...item.puts, ...item.removals];
        const bytes = rows.reduce((sum, row) => sum + encodedItemBytes(row), 0);
        const fits = this.entries + rows.length <= maxTransactionEntries
            && this.bytes + bytes <= maxTransactionBytes;
        if (!fits && !this.isEmpty) {
            return false;
        }
        this.items.push(item);
        this.entries += rows.length;
        this.bytes += bytes;
        return true;
    }
}
