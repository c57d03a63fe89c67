/** The members of a site as one entry knows them, and its own row among them. */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Peers } from "../process/peers.js";
import { readAll, type RowStore, type StoredRow, TransactionStatus } from "../process/rows.js";
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
const questionMs = 500;
/** Silence after which a member's row is removed by the owner; a living member writes it again. */
const silenceMs = 30_000;

/** Members by entry. */
export class Membership {
    private readonly members = new Map<string, MemberRow>();
    private readonly heardAt = new Map<string, number>();
    private hasLeft = false;

    private constructor(private readonly options: MembershipOptions) {
        options.peers.on(membersTopic, () => [...this.members.entries()]);
    }

    static create(options: MembershipOptions): Membership {
        return new Membership(options);
    }

    /** Entries that have registered. */
    get names(): readonly string[] {
        return [...this.members.keys()];
    }

    /** Life in which an entry has registered; undefined when it has not. */
    incarnationOf(entry: string): string | undefined {
        return this.members.get(entry)?.incarnation;
    }

    /** An entry with its strength; one that has not told it counts as strong as this one. */
    ranked(entry: string): RankedEntry {
        const { entry: self, strength } = this.options;
        const told = entry === self ? strength : this.members.get(entry)?.strength;
        return { entry, strength: told ?? strength };
    }

    /** Reads all members and registers this entry; returns the version of the store as of then. */
    async load(): Promise<number> {
        const page = await readAll(this.options.store, { table: tables.cluster, part: memberPart });
        this.members.clear();
        page.rows.forEach(row => this.note(row));
        await this.register();
        this.options.onMembers(this.members);
        return page.version;
    }

    /** Takes over a row of the members' part. */
    note(row: StoredRow): void {
        const member = decodeMember(row);
        if (member === undefined) {
            this.members.delete(row.key);
        }
        else {
            this.members.set(row.key, member);
        }
    }

    /** Tells who listens after changes were noted, and writes this entry's row again if it is missing. */
    async settle(): Promise<void> {
        await this.register();
        this.options.onMembers(this.members);
    }

    /** Learns the members from a peer while the store does not answer. */
    async askPeer(): Promise<void> {
        const { peers, onMembers, log } = this.options;
        const [peer] = peers.connected();
        if (peer === undefined || this.members.size > 0) {
            return;
        }
        try {
            const rows = await peers.request(peer.vm, membersTopic, {}, questionMs) as [string, MemberRow][];
            rows.forEach(([entry, member]) => this.members.set(entry, member));
            onMembers(this.members);
        }
        catch (err) {
            log.write(Severity.Warn, EventId.PeerLost, { peer: peer.vm, err: messageOf(err) });
        }
    }

    /** Removes this entry's row for good. */
    async leave(): Promise<void> {
        this.hasLeft = true;
        await this.remove(this.options.entry);
    }

    /** Notes which members are linked; the owner also removes the rows of those that were silent for long. */
    async sweep(isOwner: boolean): Promise<void> {
        const { peers, timer, entry } = this.options;
        const now = timer.now();
        peers.connected().forEach(({ vm }) => this.heardAt.set(vm, now));
        for (const member of isOwner ? this.names : []) {
            const heardAt = this.heardAt.get(member) ?? now;
            this.heardAt.set(member, heardAt);
            if (member !== entry && now - heardAt > silenceMs) {
                this.heardAt.delete(member);
                await this.remove(member);
            }
        }
    }

    private async register(): Promise<void> {
        const { entry, incarnation, peerUrl, strength, store, log } = this.options;
        if (this.hasLeft || this.incarnationOf(entry) === incarnation) {
            return;
        }
        const member: MemberRow = { incarnation, url: peerUrl, strength };
        const puts = [{ ...memberKey(entry), value: JSON.stringify(member) }];
        const outcome = await store.transact({ conditions: [], puts, removals: [] });
        log.write(Severity.Info, EventId.MemberRegistered, { entry, incarnation, outcome: outcome.kind });
        if (outcome.kind === TransactionStatus.Committed) {
            this.members.set(entry, member);
        }
    }

    private async remove(entry: string): Promise<void> {
        const { store, log } = this.options;
        const outcome = await store.transact({ conditions: [], puts: [], removals: [memberKey(entry)] });
        log.write(Severity.Info, EventId.MemberGone, { entry, outcome: outcome.kind });
    }
}
