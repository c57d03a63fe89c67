/** Waves of VM service as operators see them: noticed, shown as worked on, shown as finished. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import { readAll, type RowPut, type RowStore, TransactionStatus } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { MaintenanceWave } from "../version/operator-feed.js";
import type { Tenure } from "./tenure.js";
import { WaveBook, waveTable } from "./wave-book.js";

/** Options of `WaveDesk.create`. */
export interface WaveDeskOptions {
    readonly tenure: Tenure;
    readonly domain: string;
    readonly store: RowStore;
    readonly waves: () => Iterable<MaintenanceWave>;
    readonly waveStatusRow: (wave: number, isFinished: boolean) => RowPut;
    readonly timer: Timer;
    readonly log: Log;
    readonly serviceMs: number;
}

/** The waves of a tenure and what operators were told of them. */
export class WaveDesk {
    readonly book: WaveBook;
    private isRestored = false;
    /** Waves of which operators have not been told yet that they are worked on. */
    private readonly unannounced = new Set<number>();

    private constructor(private readonly options: WaveDeskOptions) {
        this.book = WaveBook.create(options.domain, options.serviceMs);
    }

    static create(options: WaveDeskOptions): WaveDesk {
        return new WaveDesk(options);
    }

    /** Takes notice of new waves; rejects when the progress of an earlier owner cannot be read. */
    async see(): Promise<void> {
        const { store, domain, timer, waves } = this.options;
        for (const { wave } of this.book.see(waves(), timer.now())) {
            this.unannounced.add(wave);
        }
        if (this.unannounced.size === 0) {
            return;
        }
        if (!this.isRestored) {
            const page = await readAll(store, { table: waveTable, part: domain });
            this.book.restore(page.rows);
            this.isRestored = true;
        }
        for (const wave of this.unannounced) {
            await this.announce(wave);
        }
    }

    /** Shows operators that a wave is worked on, unless an owner has said so, or that it is finished, before. */
    private async announce(wave: number): Promise<void> {
        const { store, waveStatusRow } = this.options;
        const put = waveStatusRow(wave, false);
        const { table, part, key } = put;
        const outcome = await store.transact({
            conditions: [{ table, part, key, version: 0 }],
            puts: [put],
            removals: [],
        });
        if (outcome.kind === TransactionStatus.Committed || outcome.kind === TransactionStatus.Conflict) {
            this.unannounced.delete(wave);
        }
    }

    /** Shows operators which waves are finished. */
    async report(): Promise<void> {
        const { store, log, waveStatusRow, tenure } = this.options;
        for (const wave of this.book.finished()) {
            if (!await tenure.confirm()) {
                return;
            }
            const outcome = await store.transact({
                conditions: [],
                puts: [waveStatusRow(wave, true)],
                removals: [],
            });
            if (outcome.kind === TransactionStatus.Committed) {
                this.book.report(wave);
                this.unannounced.delete(wave);
                log.write(Severity.Info, EventId.WaveFinished, { wave });
            }
        }
    }
}
