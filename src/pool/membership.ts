/** An entry's view of the members of its site, and the registration of the entry's own member row. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import { RowRefusals } from "../process/row-refusals.js";
import { readAll, type RowStore, type StoredRow, TransactionStatus } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import { decodeMember, decodePeerMembers, memberKey, memberPart, type MemberRow } from "./member-rows.js";
import { tables } from "./ownership.js";
import type { SiteMember } from "./peer-selection.js";
import type { RankedEntry } from "./ranking.js";

/** Options of `Membership.create`. */
export interface MembershipOptions {
    readonly entry: string;
    readonly incarnation: string;
    readonly peerUrl: string;
    /** Strength of this entry's VM. */
    readonly strength: number;
    /** Availability zone of this entry's VM; empty if unknown. */
    readonly zone: string;
    readonly store: RowStore;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
}

const membersTopic = "members";
const queryTimeoutMs = 500;
/** Time without a connection after which the owner removes a member's row; a live member registers again. */
const memberTimeoutMs = 30_000;

/** Members of the site, by entry name. */
export class Membership {
    private readonly members = new Map<string, MemberRow>();
    /** Versions of the member rows; those of entries without a row are absent or 0. */
    private readonly versions = new Map<string, number>();
    private readonly lastSeenAt = new Map<string, number>();
    /** Version of the store at which this process read the member rows. */
    private loadedVersion = 0;
    private isLeaving = false;
    private readonly refusals: RowRefusals;

    private constructor(private readonly options: MembershipOptions) {
        this.refusals = RowRefusals.create(options);
        options.peers.on(membersTopic, () => [...this.members.entries()]);
    }

    static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    /** Names of the registered entries. */
    get entryNames(): readonly string[] {
        return [...this.members.keys()];
    }

    /** The member row of an entry; undefined if it is not registered. */
    memberOf(entry: string): MemberRow | undefined {
        return this.members.get(entry);
    }

    /** URL at which an entry's peers reach it; undefined if it is not registered. */
    urlOf(entry: string): string | undefined {
        return this.members.get(entry)?.url;
    }

    /** The registered entries with zone and strength. */
    siteMembers(): readonly SiteMember[] {
        return [...this.members].map(([entry, { zone = "" }]) => ({ ...this.rankedEntry(entry), zone }));
    }

    /** Returns an entry with its strength; an entry that has not reported one is assumed to equal this entry. */
    rankedEntry(entry: string): RankedEntry {
        const { entry: self, strength } = this.options;
        const reported = entry === self ? strength : this.members.get(entry)?.strength;
        return { entry, strength: reported ?? strength };
    }

    /** Reads all member rows and registers this entry; returns the store version at which the rows were read. */
    async load(): Promise<number> {
        const page = await readAll(this.options.store, { table: tables.cluster, part: memberPart });
        this.members.clear();
        this.versions.clear();
        page.rows.forEach(row => this.applyRow(row));
        this.loadedVersion = page.version;
        await this.register();
        return page.version;
    }

    /** Applies a member row read from the store. */
    applyRow(row: StoredRow): void {
        this.versions.set(row.key, row.isRemoved ? 0 : row.version);
        const member = decodeMember(row, this.refusals);
        if (member === undefined) {
            this.members.delete(row.key);
        }
        else {
            this.members.set(row.key, member);
        }
    }

    /** Fetches the members from a connected peer, for use while the store is unavailable and none are known. */
    async loadFromPeer(): Promise<void> {
        const { peers, log } = this.options;
        const [peer] = peers.connected();
        if (peer === undefined || this.members.size > 0) {
            return;
        }
        try {
            const response = await peers.request(peer.vm, membersTopic, {}, queryTimeoutMs);
            decodePeerMembers(response).forEach(([entry, member]) => this.members.set(entry, member));
        }
        catch (err) {
            log.write(Severity.Warn, EventId.PeerLost, { peer: peer.vm, err: messageOf(err) });
        }
    }

    /** Removes this entry's row and prevents it from being registered again. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        await this.remove(this.options.entry);
    }

    /**
     * Called periodically. The owner, which every member keeps a link to, removes the rows of members that timed out; no
     * other entry can tell, so the owner's observation starts anew with each tenure.
     */
    async removeSilentMembers(isOwner: boolean): Promise<void> {
        const { peers, timer, entry } = this.options;
        const now = timer.now();
        if (!isOwner) {
            this.lastSeenAt.clear();
            return;
        }
        peers.connected().forEach(({ vm }) => this.lastSeenAt.set(vm, now));
        for (const member of this.entryNames) {
            const lastSeenAt = this.lastSeenAt.get(member) ?? now;
            this.lastSeenAt.set(member, lastSeenAt);
            if (member !== entry && now - lastSeenAt > memberTimeoutMs) {
                this.lastSeenAt.delete(member);
                await this.remove(member);
            }
        }
    }

    /**
     * Registers this entry, unless its row is present or it is leaving. The write is conditional on the row that was read: one of
     * an earlier process of this entry that is carried out late leaves the row of the present one alone.
     */
    async register(): Promise<void> {
        const { entry, incarnation, peerUrl, strength, zone, store, log } = this.options;
        if (this.isLeaving || this.memberOf(entry)?.incarnation === incarnation) {
            return;
        }
        const member: MemberRow = {
            incarnation,
            url: peerUrl,
            strength,
            zone,
            storeVersion: this.loadedVersion,
        };
        const puts = [{ ...memberKey(entry), value: JSON.stringify(member) }];
        const version = this.versions.get(entry) ?? 0;
        const conditions = [{ ...memberKey(entry), version }];
        const outcome = await store.transact({ conditions, puts, removals: [] });
        log.write(Severity.Info, EventId.MemberRegistered, {
            entry,
            incarnation,
            outcome: outcome.kind,
            rowVersion: version,
        });
        switch (outcome.kind) {
            case TransactionStatus.Committed:
                this.versions.set(entry, outcome.version);
                this.members.set(entry, member);
                return;
            case TransactionStatus.Conflict:
                // The next call of this method goes by the row as it is now.
                outcome.rows.forEach(row => this.applyRow(row));
                return;
            case TransactionStatus.Refused:
            case TransactionStatus.Invalid:
            case TransactionStatus.Unknown:
                return;
        }
    }

    private async remove(entry: string): Promise<void> {
        const { store, log } = this.options;
        const key = memberKey(entry);
        const conditions = [{ ...key, version: this.versions.get(entry) ?? 0 }];
        const outcome = await store.transact({ conditions, puts: [], removals: [key] });
        log.write(Severity.Info, EventId.MemberGone, { entry, outcome: outcome.kind });
    }
}
