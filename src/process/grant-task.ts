/** Task that keeps this entry's grants: it follows the grant rows, and takes and returns grants as demand shifts. */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import { runFlow } from "./flow.js";
import {
    decideGrants,
    emptyGrants,
    type GrantRow,
    readGrants,
    spareOf,
    usable,
    writeGrants,
} from "./grants.js";
import { type Handlers, type Publish, type Task, Topic } from "./hub.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { Peers } from "./peers.js";
import { CommitOutcome, type Row, type Store, type StoreFlow } from "./store.js";
import type { Cancel, Timer } from "./timer.js";

/** What the task asks about teams and demand. */
export interface GrantView {
    readonly teams: () => readonly string[];
    readonly limit: (team: string) => number;
    /** Running and waiting work of a team on this entry. */
    readonly demand: (team: string) => number;
    /** Running work of a team on this entry. */
    readonly running: (team: string) => number;
    /** Running and waiting work of a team on the other entries, as far as known. */
    readonly otherDemand: (team: string) => number;
    /** Running tasks of a team that the grant of an ended incarnation still covers. */
    readonly adoptedFrom: (team: string, incarnation: string) => number;
    /** Notes that part of that grant was moved here. */
    readonly cover: (team: string, incarnation: string, n: number) => void;
    /** Tasks of a team that were handed over to other entries at a planned stop. */
    readonly handedOver: (team: string) => number;
}

/** Options of `Grants.create`. */
export interface GrantsOptions {
    readonly store: Store;
    readonly fleet: Fleet;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly peers: Peers;
    readonly view: GrantView;
    /** How long a gone holder's grant stays in quarantine, in milliseconds. */
    readonly quarantineMs: number;
    readonly tickMs?: number;
}

interface Held {
    readonly row: Row | undefined;
    readonly value: GrantRow;
    /**
     * Most that may be used while a write of the row is open. It stays until the row is seen with a newer version,
     * since a write whose answer was lost can still take effect until then.
     */
    readonly ceiling?: number;
}

const peakDecay = 0.85;
const baseHandOutTicks = 2;
const hurryMs = 200;
const changedTopic = "grants.changed";

/** The grants of one entry. */
export class Grants implements Task {
    readonly name = "grants";
    private held = new Map<string, Held>();
    private readonly peaks = new Map<string, number>();
    /** Rounds for which this entry held nothing of a team. */
    private readonly lacking = new Map<string, number>();
    private readonly quarantinedAt = new Map<string, number>();
    private readonly cancels: Cancel[] = [];
    private isTicking = false;
    private isLeaving = false;
    private wasPoked = false;
    private hasGivenToOthers = false;
    readonly handlers: Handlers = { [Topic.VersionAdopted]: () => this.poke() };

    private constructor(private readonly options: GrantsOptions) {
        options.peers.on(changedTopic, () => this.poke());
    }

    static create(options: GrantsOptions): Grants {
        return new Grants(options);
    }

    /** How many a team may run at once on this entry now. */
    usable(team: string): number {
        const held = this.held.get(team);
        const self = this.options.fleet.self?.incarnation;
        if (held === undefined || self === undefined) {
            return 0;
        }
        const n = usable(held.value.holders[self], this.options.view.limit(team));
        return held.ceiling === undefined ? n : Math.min(n, held.ceiling);
    }

    start(): Promise<void> {
        const { timer, tickMs = 1000 } = this.options;
        this.cancels.push(timer.every(tickMs, () => void this.tick()));
        this.cancels.push(timer.every(hurryMs, () => this.hurry()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Reads all rows and changes those that should change. */
    async tick(): Promise<void> {
        if (this.isTicking || this.options.fleet.self === undefined) {
            return;
        }
        this.isTicking = true;
        try {
            this.merge(await this.runFlow(readGrants()));
            for (const team of this.teams()) {
                await this.settle(team);
            }
            this.tellOthers();
        }
        catch {
            this.options.metrics.count("celerywind_grant_ticks_failed_total");
        }
        finally {
            this.isTicking = false;
            this.options.publish(Topic.GrantsChanged, {});
        }
    }

    /** Looks at the rows again soon. */
    private poke(): void {
        this.wasPoked = true;
    }

    /** Does not wait for the next round when a peer changed rows, or when a team waits for grants that nobody holds. */
    private hurry(): void {
        const { limit, demand } = this.options.view;
        const isShort = (team: string): boolean => {
            const row = this.held.get(team)?.value ?? emptyGrants;
            return demand(team) > this.usable(team) && spareOf(row, limit(team)) > 0;
        };
        if (this.wasPoked || this.teams().some(isShort)) {
            this.wasPoked = false;
            void this.tick();
        }
    }

    private tellOthers(): void {
        if (this.hasGivenToOthers) {
            this.hasGivenToOthers = false;
            this.options.peers.broadcast(changedTopic, {});
        }
    }

    /** Returns every grant; call when nothing runs here any more. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        this.cancels.forEach(cancel => cancel());
        this.merge(await this.runFlow(readGrants()));
        await Promise.all(this.teams().map(team => this.settle(team)));
    }

    private teams(): readonly string[] {
        return [...new Set([...this.options.view.teams(), ...this.held.keys()])];
    }

    private merge(rows: ReadonlyMap<string, Row>): void {
        const next = new Map<string, Held>();
        for (const [team, row] of rows) {
            const known = this.held.get(team);
            const isNewer = known === undefined || row.version > (known.row?.version ?? 0);
            next.set(team, isNewer ? { row, value: row.value as GrantRow } : known);
        }
        this.held = next;
        this.noteQuarantine();
    }

    private noteQuarantine(): void {
        const now = this.options.timer.now();
        const seen = [...this.held].flatMap(([team, { value }]) =>
            Object.keys(value.quarantine).map(holder => quarantineKey(team, holder))
        );
        [...this.quarantinedAt.keys()].filter(key => !seen.includes(key)).forEach(key =>
            this.quarantinedAt.delete(key)
        );
        seen.filter(key => !this.quarantinedAt.has(key)).forEach(key => this.quarantinedAt.set(key, now));
    }

    private async settle(team: string): Promise<void> {
        const held = this.held.get(team) ?? { row: undefined, value: emptyGrants };
        const wanted = this.decide(team, held.value);
        if (wanted === held.value && held.ceiling === undefined) {
            return;
        }
        const self = this.options.fleet.self!.incarnation;
        const ceiling = Math.min(held.ceiling ?? Infinity, wanted.holders[self]?.n ?? 0);
        this.held.set(team, { ...held, ceiling });
        const outcome = await this.runFlow(writeGrants(team, held.row, wanted)).catch(() =>
            CommitOutcome.Unknown
        );
        this.finishSettle(team, held, wanted, outcome);
    }

    private finishSettle(team: string, held: Held, wanted: GrantRow, outcome: CommitOutcome): void {
        this.options.metrics.count("celerywind_grant_writes_total", { outcome });
        switch (outcome) {
            case CommitOutcome.Committed:
                this.held.set(team, { row: nextRow(team, held.row, wanted), value: wanted });
                this.noteGiven(held.value, wanted);
                this.noteCovered(team, held.value, wanted);
                this.logChange(team, held.value, wanted);
                break;
            case CommitOutcome.Conflict:
            case CommitOutcome.Unknown:
                this.poke();
                break;
        }
    }

    private noteCovered(team: string, before: GrantRow, after: GrantRow): void {
        for (const [ended, grant] of Object.entries(before.quarantine)) {
            const moved = grant.n - (after.quarantine[ended]?.n ?? grant.n);
            if (moved > 0) {
                this.options.view.cover(team, ended, moved);
            }
        }
    }

    private noteGiven(before: GrantRow, after: GrantRow): void {
        const self = this.options.fleet.self!.incarnation;
        const hasGiven = Object.entries(after.holders)
            .some(([holder, { n }]) => holder !== self && n > (before.holders[holder]?.n ?? 0));
        this.hasGivenToOthers ||= hasGiven;
    }

    private decide(team: string, row: GrantRow): GrantRow {
        const { fleet, view } = this.options;
        const { incarnation } = fleet.self!;
        const demand = this.peakDemand(team);
        const wanted = decideGrants({
            team,
            row,
            self: incarnation,
            members: fleet.live,
            takesOwnBase: (this.lacking.get(team) ?? 0) > baseHandOutTicks,
            limit: view.limit(team),
            demand,
            running: view.running(team),
            fleetDemand: demand + view.otherDemand(team),
            adoptedFrom: ended => view.adoptedFrom(team, ended),
            isGone: holder => fleet.isGone(holder),
            isReleased: holder => this.isReleased(team, holder),
        });
        this.noteLack(team, wanted.holders[incarnation]?.n ?? 0);
        return this.isLeaving ? withoutHolder(row, incarnation, view.handedOver(team)) : wanted;
    }

    private noteLack(team: string, held: number): void {
        this.lacking.set(team, held > 0 ? 0 : (this.lacking.get(team) ?? 0) + 1);
    }

    private peakDemand(team: string): number {
        const decayed = (this.peaks.get(team) ?? 0) * peakDecay;
        const peak = Math.max(decayed, this.options.view.demand(team));
        this.peaks.set(team, peak);
        return peak;
    }

    private isReleased(team: string, holder: string): boolean {
        const since = this.quarantinedAt.get(quarantineKey(team, holder));
        return since !== undefined && this.options.timer.now() - since > this.options.quarantineMs;
    }

    private logChange(team: string, before: GrantRow, after: GrantRow): void {
        const { log, fleet } = this.options;
        const self = fleet.self!.incarnation;
        const changed = Object.keys(after.quarantine).find(holder => before.quarantine[holder] === undefined);
        if (changed !== undefined) {
            log.write(Severity.Warn, EventId.GrantQuarantined, { team, holder: changed });
        }
        const released = Object.keys(before.quarantine).find(holder =>
            after.quarantine[holder] === undefined
        );
        if (released !== undefined) {
            log.write(Severity.Info, EventId.GrantReleased, { team, holder: released });
        }
        log.write(Severity.Info, EventId.GrantChanged, { team, n: after.holders[self]?.n ?? 0 });
    }

    private runFlow<T>(flow: StoreFlow<T>): Promise<T> {
        return runFlow(flow, effect => this.options.store.perform(effect));
    }
}

/** The row without a leaving holder; what covers tasks it handed over stays in quarantine for their new holders. */
function withoutHolder(row: GrantRow, incarnation: string, handedOver: number): GrantRow {
    const grant = row.holders[incarnation];
    if (grant === undefined) {
        return row;
    }
    const holders = { ...row.holders };
    delete holders[incarnation];
    const n = Math.min(handedOver, grant.n);
    const quarantine = n > 0 ? { ...row.quarantine, [incarnation]: { ...grant, n } } : row.quarantine;
    return { holders, quarantine };
}

function nextRow(team: string, read: Row | undefined, value: GrantRow): Row {
    return {
        key: read?.key ?? team,
        version: (read?.version ?? 0) + 1,
        value,
        ...(read?.tokens && { tokens: read.tokens }),
    };
}

function quarantineKey(team: string, holder: string): string {
    return `${team}\n${holder}`;
}
