/**
 * Availability zones that operators have evacuated, as known to one entry. The operator table's feed and reads of the whole
 * table may overlap, so each zone keeps the version of the row that decided its state, and older news is ignored.
 */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import { readAll, type RowStore } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { OperatorTable } from "./operator-table.js";

/** What an operator's row says about a zone. */
export enum ZoneOrder {
    /** Nothing new may be started in the zone. */
    Evacuate = "evacuate",
    /** The evacuation was taken back. */
    Restore = "restore",
    /** The row cannot be read; the zone keeps its state. */
    Malformed = "malformed",
}

/** A change of the operator's order for a zone. */
export interface ZoneChange {
    readonly zone: string;
    readonly order: ZoneOrder;
    /** Version of the row. */
    readonly version: number;
}

/** Options of `ZoneEvacuations.create`. */
export interface ZoneEvacuationsOptions {
    readonly store: RowStore;
    readonly operatorTable: OperatorTable;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    /** Called after a zone was evacuated or restored. */
    readonly onChange: () => void;
}

interface ZoneState {
    readonly order: ZoneOrder.Evacuate | ZoneOrder.Restore;
    readonly version: number;
    /** Monotonic time at which this entry learned of it, in milliseconds. */
    readonly since: number;
}

/** The evacuated availability zones of a site. */
export class ZoneEvacuations {
    private readonly states = new Map<string, ZoneState>();

    private constructor(private readonly options: ZoneEvacuationsOptions) {}

    static create(options: ZoneEvacuationsOptions): ZoneEvacuations {
        return new ZoneEvacuations(options);
    }

    /** Names of the evacuated zones, in alphabetical order. */
    get zones(): readonly string[] {
        return [...this.states].filter(([, { order }]) => order === ZoneOrder.Evacuate)
            .map(([zone]) => zone).sort();
    }

    /** The orders in force, with the time for which this entry has known of them, in milliseconds. */
    get orders(): readonly { readonly zone: string; readonly version: number; readonly ageMs: number }[] {
        const now = this.options.timer.now();
        return [...this.states].filter(([, { order }]) => order === ZoneOrder.Evacuate)
            .map(([zone, { version, since }]) => ({ zone, version, ageMs: now - since }));
    }

    /** Whether nothing may be started in a zone. */
    isEvacuated(zone: string): boolean {
        return this.states.get(zone)?.order === ZoneOrder.Evacuate;
    }

    /** Applies changes in the order of their versions. */
    apply(changes: readonly ZoneChange[]): void {
        changes.forEach(change => this.applyChange(change));
    }

    /** Applies a read of all rows at a version: zones without a row at that version are not evacuated. */
    applyAll(changes: readonly ZoneChange[], version: number): void {
        this.apply(changes);
        const present = new Set(changes.map(({ zone }) => zone));
        for (const [zone, state] of this.states) {
            if (!present.has(zone) && state.order === ZoneOrder.Evacuate && state.version <= version) {
                this.applyChange({ zone, order: ZoneOrder.Restore, version });
            }
        }
    }

    /** Reads the rows of all zones; rejects with a `PlatformError` if they cannot be read. */
    async load(): Promise<void> {
        const { store, operatorTable } = this.options;
        const { name, zoneRange } = operatorTable;
        const page = await readAll(store, { table: name, part: "", ...zoneRange });
        this.applyAll(operatorTable.decode(page.rows).zones, page.version);
    }

    private applyChange({ zone, order, version }: ZoneChange): void {
        const before = this.states.get(zone);
        if (version < (before?.version ?? 0)) {
            return;
        }
        switch (order) {
            case ZoneOrder.Malformed:
                this.options.metrics.count("celerywind_zone_rows_malformed_total");
                this.options.log.write(Severity.Error, EventId.ZoneRowMalformed, {
                    zone,
                    version,
                    isEvacuated: this.isEvacuated(zone),
                });
                return;
            case ZoneOrder.Evacuate:
            case ZoneOrder.Restore:
                this.setState(zone, order, version);
        }
    }

    private setState(zone: string, order: ZoneState["order"], version: number): void {
        const { timer, log, onChange } = this.options;
        const before = this.states.get(zone);
        const hasChanged = order !== (before?.order ?? ZoneOrder.Restore);
        this.states.set(zone, {
            order,
            version,
            since: hasChanged ? timer.now() : before?.since ?? timer.now(),
        });
        if (!hasChanged) {
            return;
        }
        const isEvacuated = order === ZoneOrder.Evacuate;
        log.write(Severity.Warn, isEvacuated ? EventId.ZoneEvacuated : EventId.ZoneRestored, {
            zone,
            version,
            evacuatedMs: isEvacuated || before === undefined
                ? undefined
                : Math.round(timer.now() - before.since),
        });
        onChange();
    }
}
