/** Reports maintenance waves to operators, as started and as finished. */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import { readAll, type RowPut, type RowStore, TransactionStatus } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { MaintenanceWave } from "../version/operator-table.js";
import type { Tenure } from "./tenure.js";
import { waveTable, WaveTracker } from "./wave-tracker.js";

/** Options of `WaveDesk.create`. */
export interface WaveReporterOptions {
    readonly tenure: Tenure;
    readonly domain: string;
    readonly store: RowStore;
    readonly waves: () => Iterable<MaintenanceWave>;
    readonly waveStatusRow: (wave: number, isFinished: boolean) => RowPut;
    readonly timer: Timer;
    readonly log: Log;
    readonly maintenanceMs: number;
}

/** Loads the waves that operators ordered, and stores their status rows. */
export class WaveReporter {
    readonly tracker: WaveTracker;
    private isRestored = false;
    /** Waves whose start is not yet reported. */
    private readonly startUnreported = new Set<number>();
    /** Waves of which this owner has not stored since when they are known. */
    private readonly unstored = new Set<number>();

    private constructor(private readonly options: WaveReporterOptions) {
        this.tracker = WaveTracker.create(options.domain, options.maintenanceMs);
    }

    static create(options: WaveReporterOptions): WaveReporter {
        return new WaveReporter(options);
    }

    /** Loads new waves and reports their start; rejects if the progress of an earlier owner cannot be read. */
    async loadNew(): Promise<void> {
        const { store, domain, timer, tenure, waves } = this.options;
        for (const { wave } of this.tracker.addOrders(waves(), timer.now())) {
            this.startUnreported.add(wave);
            this.unstored.add(wave);
        }
        if (this.startUnreported.size === 0) {
            return;
        }
        const time = { now: timer.now(), wallMs: tenure.clock.wallMs() };
        if (!this.isRestored) {
            const [progress, statuses] = await Promise.all([
                readAll(store, { table: waveTable, part: domain }),
                this.readStatuses(),
            ]);
            this.tracker.restore(progress.rows, time).forEach(wave => this.unstored.delete(wave));
            this.restoreReports(statuses);
            this.isRestored = true;
        }
        for (const wave of this.unstored) {
            this.unstored.delete(wave);
            tenure.putWithNextBatch(this.tracker.progressRow(wave, time));
        }
        for (const wave of this.startUnreported) {
            await this.reportStarted(wave);
        }
    }

    /** Status rows of waves, by key. */
    private async readStatuses(): Promise<ReadonlyMap<string, string>> {
        const { store, waveStatusRow } = this.options;
        const { table, part } = waveStatusRow(0, false);
        const { rows } = await readAll(store, { table, part });
        return new Map(rows.map(({ key, value }) => [key, value]));
    }

    /** Takes over what earlier owners have reported, so that only the rest is reported. */
    private restoreReports(statuses: ReadonlyMap<string, string>): void {
        const { waveStatusRow } = this.options;
        for (const wave of [...this.startUnreported]) {
            const finished = waveStatusRow(wave, true);
            const status = statuses.get(finished.key);
            if (status !== undefined) {
                this.startUnreported.delete(wave);
            }
            if (status === finished.value) {
                this.tracker.markReported(wave);
            }
        }
    }

    /** Reports a wave as started, unless an earlier owner has stored a status row for it. */
    private async reportStarted(wave: number): Promise<void> {
        const { store, waveStatusRow } = this.options;
        const put = waveStatusRow(wave, false);
        const { table, part, key } = put;
        const outcome = await store.transact({
            conditions: [{ table, part, key, version: 0 }],
            puts: [put],
            removals: [],
        });
        if (outcome.kind === TransactionStatus.Committed || outcome.kind === TransactionStatus.Conflict) {
            this.startUnreported.delete(wave);
        }
    }

    /** Reports finished waves. */
    async reportFinished(): Promise<void> {
        const { store, log, waveStatusRow, tenure } = this.options;
        for (const wave of this.tracker.unreportedFinished()) {
            if (!await tenure.confirm()) {
                return;
            }
            const outcome = await store.transact({
                conditions: [],
                puts: [waveStatusRow(wave, true)],
                removals: [],
            });
            if (outcome.kind === TransactionStatus.Committed) {
                this.tracker.markReported(wave);
                this.startUnreported.delete(wave);
                log.write(Severity.Info, EventId.WaveFinished, { wave });
            }
        }
    }
}
