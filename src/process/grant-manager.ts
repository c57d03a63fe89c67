/** Task that manages this entry's grants: it polls the grant rows, and raises and lowers its grants with the demand. */
import { EventId, Severity } from "./events.js";
import { FailureLog } from "./failure-log.js";
import type { Fleet } from "./fleet.js";
import { runFlow } from "./flow.js";
import {
    commitGrantRow,
    decideGrants,
    emptyGrantRow,
    type GrantRow,
    readGrantRows,
    unallocatedOf,
    usableAmount,
} from "./grants.js";
import { type Handlers, type Publish, type Task, Topic } from "./hub.js";
import type { Log } from "./log.js";
import type { Metrics } from "./metrics.js";
import type { Peers } from "./peers.js";
import { CommitOutcome, type Row, type Store, type StoreFlow } from "./store.js";
import type { Cancel, Timer } from "./timer.js";

/** Teams, limits and demand as the grant manager reads them. Work is counted in requests and tasks. */
export interface GrantDemandSource {
    readonly teams: () => readonly string[];
    readonly limit: (team: string) => number;
    /** Running and waiting work of a team on this entry. */
    readonly demand: (team: string) => number;
    /** Running work of a team on this entry. */
    readonly running: (team: string) => number;
    /** Running and waiting work of a team on the other entries, as last reported by them. */
    readonly peerDemand: (team: string) => number;
    /** Tasks of a team that run on this entry under the quarantined grant of an ended incarnation. */
    readonly adoptedTaskCount: (team: string, incarnation: string) => number;
    /** Called when `n` of that grant has been moved to this entry. */
    readonly onGrantTakenOver: (team: string, incarnation: string, n: number) => void;
    /** Tasks of a team that this entry handed over to other entries during its planned stop. */
    readonly handedOverTasks: (team: string) => number;
}

/** Options of `GrantManager.create`. */
export interface GrantManagerOptions {
    readonly store: Store;
    readonly fleet: Fleet;
    readonly publish: Publish;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly peers: Peers;
    readonly demandSource: GrantDemandSource;
    /** Time for which the grant of an ended holder stays in quarantine, in milliseconds. */
    readonly quarantineMs: number;
    /** Interval between ticks, in milliseconds. */
    readonly tickMs?: number;
}

/** A team's grant row as last read or written. */
interface CachedGrantRow {
    readonly row: Row | undefined;
    readonly value: GrantRow;
    /**
     * Upper bound on the usable amount from the start of a write of the row until it is committed. If it is not
     * confirmed, the bound applies until a newer version of the row is read, because a write whose answer was lost can
     * take effect until then.
     */
    readonly ceiling?: number;
}

/** Factor by which the recorded peak demand decays per tick. */
const peakDecayFactor = 0.85;
/** Number of ticks without a grant after which an entry allocates its own base instead of the team's home entry. */
const maxTicksWithoutGrant = 2;
const earlyTickCheckIntervalMs = 200;
const grantsChangedTopic = "grants.changed";

/** Manages the grants of one entry. */
export class GrantManager implements Task {
    readonly name = "grants";
    private rows = new Map<string, CachedGrantRow>();
    private readonly peakDemands = new Map<string, number>();
    /** Number of consecutive ticks without a grant, by team. */
    private readonly ticksWithoutGrant = new Map<string, number>();
    /** Monotonic time at which a quarantined grant was first read, in milliseconds, by `quarantineKey`. */
    private readonly quarantineSeenAt = new Map<string, number>();
    private readonly cancels: Cancel[] = [];
    private isTicking = false;
    private isLeaving = false;
    private isTickRequested = false;
    private hasRaisedPeerGrants = false;
    readonly handlers: Handlers = { [Topic.VersionAdopted]: () => this.requestTick() };

    private readonly failureLog: FailureLog;

    private constructor(private readonly options: GrantManagerOptions) {
        this.failureLog = FailureLog.create({ log: options.log, source: this.name });
        options.peers.on(grantsChangedTopic, () => this.requestTick());
    }

    static create(options: GrantManagerOptions): GrantManager {
        return new GrantManager(options);
    }

    /** Number of requests and tasks that a team may currently run at once on this entry. */
    usable(team: string): number {
        const cached = this.rows.get(team);
        const self = this.options.fleet.self?.incarnation;
        if (cached === undefined || self === undefined) {
            return 0;
        }
        const n = usableAmount(cached.value.holders[self], this.options.demandSource.limit(team));
        return cached.ceiling === undefined ? n : Math.min(n, cached.ceiling);
    }

    start(): Promise<void> {
        const { timer, tickMs = 1000 } = this.options;
        this.cancels.push(timer.every(tickMs, () => void this.tick()));
        this.cancels.push(timer.every(earlyTickCheckIntervalMs, () => this.tickEarlyIfNeeded()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    /** Reads all grant rows and commits the changes that `decideGrants` returns; ignored while a tick runs. */
    async tick(): Promise<void> {
        if (this.isTicking || this.options.fleet.self === undefined) {
            return;
        }
        this.isTicking = true;
        try {
            this.mergeRows(await this.runFlow(readGrantRows()));
            for (const team of this.teams()) {
                await this.updateTeam(team);
            }
            this.notifyPeers();
            this.failureLog.recordSuccess();
        }
        catch (err) {
            this.failureLog.recordFailure(err);
            this.options.metrics.count("celerywind_grant_ticks_failed_total");
        }
        finally {
            this.isTicking = false;
            this.options.publish(Topic.GrantsChanged, {});
        }
    }

    /** Requests a tick at the next check of `tickEarlyIfNeeded`. */
    private requestTick(): void {
        this.isTickRequested = true;
    }

    /** Ticks before the next interval if that was requested, or if a team's demand can use unallocated grants. */
    private tickEarlyIfNeeded(): void {
        const { limit, demand } = this.options.demandSource;
        const isShort = (team: string): boolean => {
            const row = this.rows.get(team)?.value ?? emptyGrantRow;
            return demand(team) > this.usable(team) && unallocatedOf(row, limit(team)) > 0;
        };
        if (this.isTickRequested || this.teams().some(isShort)) {
            this.isTickRequested = false;
            void this.tick();
        }
    }

    private notifyPeers(): void {
        if (this.hasRaisedPeerGrants) {
            this.hasRaisedPeerGrants = false;
            this.options.peers.broadcast(grantsChangedTopic, {});
        }
    }

    /** Returns all grants; call when no work runs on this entry any more. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        this.cancels.forEach(cancel => cancel());
        this.mergeRows(await this.runFlow(readGrantRows()));
        await Promise.all(this.teams().map(team => this.updateTeam(team)));
    }

    private teams(): readonly string[] {
        return [...new Set([...this.options.demandSource.teams(), ...this.rows.keys()])];
    }

    private mergeRows(rows: ReadonlyMap<string, Row>): void {
        const next = new Map<string, CachedGrantRow>();
        for (const [team, row] of rows) {
            const cached = this.rows.get(team);
            const isNewer = cached === undefined || row.version > (cached.row?.version ?? 0);
            next.set(team, isNewer ? { row, value: row.value as GrantRow } : cached);
        }
        this.rows = next;
        this.trackQuarantine();
    }

    private trackQuarantine(): void {
        const now = this.options.timer.now();
        const quarantinedKeys = [...this.rows].flatMap(([team, { value }]) =>
            Object.keys(value.quarantine).map(holder => quarantineKey(team, holder))
        );
        [...this.quarantineSeenAt.keys()].filter(key => !quarantinedKeys.includes(key)).forEach(key =>
            this.quarantineSeenAt.delete(key)
        );
        quarantinedKeys.filter(key => !this.quarantineSeenAt.has(key)).forEach(key =>
            this.quarantineSeenAt.set(key, now)
        );
    }

    private async updateTeam(team: string): Promise<void> {
        const cached = this.rows.get(team) ?? { row: undefined, value: emptyGrantRow };
        const wanted = this.decideRow(team, cached.value);
        if (wanted === cached.value && cached.ceiling === undefined) {
            return;
        }
        const self = this.options.fleet.self!.incarnation;
        const ceiling = Math.min(cached.ceiling ?? Infinity, wanted.holders[self]?.n ?? 0);
        this.rows.set(team, { ...cached, ceiling });
        const outcome = await this.runFlow(commitGrantRow(team, cached.row, wanted)).catch(() =>
            CommitOutcome.Unknown
        );
        this.applyOutcome(team, cached, wanted, outcome);
    }

    private applyOutcome(
        team: string,
        cached: CachedGrantRow,
        wanted: GrantRow,
        outcome: CommitOutcome,
    ): void {
        this.options.metrics.count("celerywind_grant_writes_total", { outcome });
        switch (outcome) {
            case CommitOutcome.Committed:
                this.rows.set(team, { row: nextRow(team, cached.row, wanted), value: wanted });
                this.recordRaisedGrants(cached.value, wanted);
                this.reportTakenOver(team, cached.value, wanted);
                this.logChange(team, cached.value, wanted);
                break;
            case CommitOutcome.Conflict:
            case CommitOutcome.Unknown:
                this.requestTick();
                break;
        }
    }

    private reportTakenOver(team: string, before: GrantRow, after: GrantRow): void {
        for (const [ended, grant] of Object.entries(before.quarantine)) {
            const moved = grant.n - (after.quarantine[ended]?.n ?? grant.n);
            if (moved > 0) {
                this.options.demandSource.onGrantTakenOver(team, ended, moved);
            }
        }
    }

    private recordRaisedGrants(before: GrantRow, after: GrantRow): void {
        const self = this.options.fleet.self!.incarnation;
        const hasRaised = Object.entries(after.holders)
            .some(([holder, { n }]) => holder !== self && n > (before.holders[holder]?.n ?? 0));
        this.hasRaisedPeerGrants ||= hasRaised;
    }

    private decideRow(team: string, row: GrantRow): GrantRow {
        const { fleet, demandSource } = this.options;
        const { incarnation } = fleet.self!;
        const demand = this.peakDemand(team);
        const wanted = decideGrants({
            team,
            row,
            self: incarnation,
            members: fleet.live,
            claimsOwnBase: (this.ticksWithoutGrant.get(team) ?? 0) > maxTicksWithoutGrant,
            limit: demandSource.limit(team),
            demand,
            running: demandSource.running(team),
            fleetDemand: demand + demandSource.peerDemand(team),
            adoptedTaskCount: ended => demandSource.adoptedTaskCount(team, ended),
            hasEnded: holder => fleet.hasEnded(holder),
            isQuarantineOver: holder => this.isQuarantineOver(team, holder),
        });
        this.countTicksWithoutGrant(team, wanted.holders[incarnation]?.n ?? 0);
        return this.isLeaving ? withoutHolder(row, incarnation, demandSource.handedOverTasks(team)) : wanted;
    }

    private countTicksWithoutGrant(team: string, held: number): void {
        this.ticksWithoutGrant.set(team, held > 0 ? 0 : (this.ticksWithoutGrant.get(team) ?? 0) + 1);
    }

    private peakDemand(team: string): number {
        const decayed = (this.peakDemands.get(team) ?? 0) * peakDecayFactor;
        const peak = Math.max(decayed, this.options.demandSource.demand(team));
        this.peakDemands.set(team, peak);
        return peak;
    }

    private isQuarantineOver(team: string, holder: string): boolean {
        const seenAt = this.quarantineSeenAt.get(quarantineKey(team, holder));
        return seenAt !== undefined && this.options.timer.now() - seenAt > this.options.quarantineMs;
    }

    private logChange(team: string, before: GrantRow, after: GrantRow): void {
        const { log, fleet } = this.options;
        const self = fleet.self!.incarnation;
        const quarantined = Object.keys(after.quarantine).find(holder =>
            before.quarantine[holder] === undefined
        );
        if (quarantined !== undefined) {
            log.write(Severity.Warn, EventId.GrantQuarantined, { team, holder: quarantined });
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

/** Removes a leaving holder. The part that covers its handed-over tasks moves to quarantine, for their new holders. */
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
