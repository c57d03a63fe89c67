/** A link of limited bandwidth in virtual time, of which the transfers in progress get equal shares. */
import type { Timer } from "../../src/process/timer.js";

/** Options of `SharedLink.transfer`. */
export interface TransferOptions {
    /** Called whenever a part has arrived, with the number of bytes received so far. */
    readonly onData?: ((receivedBytes: number) => void) | undefined;
    /** Ends the transfer, which then never completes. */
    readonly signal?: AbortSignal | undefined;
}

interface Transfer {
    readonly bytes: number;
    receivedBytes: number;
    readonly onData: (receivedBytes: number) => void;
    readonly complete: () => void;
}

const tickMs = 5;

/** A link that delivers `bytesPerMs` in all. */
export class SharedLink {
    private readonly transfers = new Set<Transfer>();
    /** Whether nothing is delivered. */
    isCut = false;
    /** Bytes delivered, also of transfers that were ended. */
    deliveredBytes = 0;

    private constructor(timer: Timer, private readonly bytesPerMs: number) {
        timer.every(tickMs, () => this.deliver());
    }

    static create(timer: Timer, bytesPerMs: number): SharedLink {
        return new SharedLink(timer, bytesPerMs);
    }

    /** Resolves once all bytes have arrived. */
    transfer(bytes: number, { onData = () => undefined, signal }: TransferOptions = {}): Promise<void> {
        return new Promise(resolve => {
            const transfer = { bytes, receivedBytes: 0, onData, complete: resolve };
            if (signal?.aborted !== true) {
                this.transfers.add(transfer);
            }
            signal?.addEventListener("abort", () => this.transfers.delete(transfer), { once: true });
        });
    }

    private deliver(): void {
        if (this.isCut) {
            return;
        }
        const share = this.bytesPerMs * tickMs / this.transfers.size;
        for (const transfer of [...this.transfers]) {
            const arrived = Math.min(share, transfer.bytes - transfer.receivedBytes);
            transfer.receivedBytes += arrived;
            this.deliveredBytes += arrived;
            transfer.onData(transfer.receivedBytes);
            if (transfer.receivedBytes >= transfer.bytes) {
                this.transfers.delete(transfer);
                transfer.complete();
            }
        }
    }
}
