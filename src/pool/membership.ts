/** The members of a site as one entry knows them, and its own row among them. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Peers } from "../process/peers.js";
import { readAll, type RowStore, type StoredRow, TransactKind } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import { decodeMember, memberKey, memberPart, type MemberRow } from "./member-rows.js";
import { tables } from "./ownership.js";
import type { RankedEntry } from "./ranking.js";

/** Options of `Membership.create`. */
export interface MembershipOptions {
    readonly entry: string;
    readonly incarnation: string;
    readonly peerUrl: string;
    /** Strength of this entry's VM. */
    readonly strength: number;
    readonly store: RowStore;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly log: Log;
    /** Called when the members may have changed. */
    readonly onMembers: (members: ReadonlyMap<string, MemberRow>) => void;
}

const membersTopic = "members";
const queryTimeoutMs = 500;
/** Silence after which a member's row is removed by the owner; a living member writes it again. */
const memberTimeoutMs = 30_000;

/** Members by entry. */
export class Membership {
    private readonly members = new Map<string, MemberRow>();
    private readonly lastSeenAt = new Map<string, number>();
    private isLeaving = false;

    private constructor(private readonly options: MembershipOptions) {
        options.peers.on(membersTopic, () => [...this.members.entries()]);
    }

    static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    /** Entries that have registered. */
    get entryNames(): readonly string[] {
        return [...this.members.keys()];
    }

    /** Life in which an entry has registered; undefined when it has not. */
    incarnationOf(entry: string): string | undefined {
        return this.members.get(entry)?.incarnation;
    }

    /** An entry with its strength; one that has not told it counts as strong as this one. */
    rankedEntry(entry: string): RankedEntry {
        const { entry: self, strength } = this.options;
        const told = entry === self ? strength : this.members.get(entry)?.strength;
        return { entry, strength: told ?? strength };
    }

    /** Reads all members and registers this entry; returns the version of the store as of then. */
    async load(): Promise<number> {
        const page = await readAll(this.options.store, { table: tables.cluster, part: memberPart });
        this.members.clear();
        page.rows.forEach(row => this.applyRow(row));
        await this.register();
        this.options.onMembers(this.members);
        return page.version;
    }

    /** Takes over a row of the members' part. */
    applyRow(row: StoredRow): void {
        const member = decodeMember(row);
        if (member === undefined) {
            this.members.delete(row.key);
        }
        else {
            this.members.set(row.key, member);
        }
    }

    /** Tells who listens after changes were noted, and writes this entry's row again if it is missing. */
    async publishChanges(): Promise<void> {
        await this.register();
        this.options.onMembers(this.members);
    }

    /** Learns the members from a peer while the store does not answer. */
    async loadFromPeer(): Promise<void> {
        const { peers, onMembers, log } = this.options;
        const [peer] = peers.connected();
        if (peer === undefined || this.members.size > 0) {
            return;
        }
        try {
            const rows = await peers.ask(peer.vm, membersTopic, {}, queryTimeoutMs) as [string, MemberRow][];
            rows.forEach(([entry, member]) => this.members.set(entry, member));
            onMembers(this.members);
        }
        catch (err) {
            log.write(Severity.Warn, EventId.PeerLost, { peer: peer.vm, err: messageOf(err) });
        }
    }

    /** Removes this entry's row for good. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        await this.remove(this.options.entry);
    }

    /** Notes which members are linked; the owner also removes the rows of those that were silent for long. */
    async removeSilentMembers(isOwner: boolean): Promise<void> {
        const { peers, timer, entry } = this.options;
        const now = timer.now();
        peers.connected().forEach(({ vm }) => this.lastSeenAt.set(vm, now));
        for (const member of isOwner ? this.entryNames : []) {
            const heardAt = this.lastSeenAt.get(member) ?? now;
            this.lastSeenAt.set(member, heardAt);
            if (member !== entry && now - heardAt > memberTimeoutMs) {
                this.lastSeenAt.delete(member);
                await this.remove(member);
            }
        }
    }

    private async register(): Promise<void> {
        const { entry, incarnation, peerUrl, strength, store, log } = this.options;
        if (this.isLeaving || this.incarnationOf(entry) === incarnation) {
            return;
        }
        const member: MemberRow = { incarnation, url: peerUrl, strength };
        const puts = [{ ...memberKey(entry), value: JSON.stringify(member) }];
        const outcome = await store.transact({ conditions: [], puts, removals: [] });
        log.write(Severity.Info, EventId.MemberRegistered, { entry, incarnation, outcome: outcome.kind });
        if (outcome.kind === TransactKind.Committed) {
            this.members.set(entry, member);
        }
    }

    private async remove(entry: string): Promise<void> {
        const { store, log } = this.options;
        const outcome = await store.transact({ conditions: [], puts: [], removals: [memberKey(entry)] });
        log.write(Severity.Info, EventId.MemberGone, { entry, outcome: outcome.kind });
    }
}
