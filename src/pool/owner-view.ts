/**
 * What an entry knows about the owner of its domain: the owner itself, when it was last heard from, and which earlier owners
 * send no more orders.
 */
import type { Timer } from "../process/timer.js";
import type { Membership } from "./membership.js";
import { type Heartbeat, maxEndedFences } from "./owner-messages.js";
import { type Owner, ownerStoreStaleMs, ownerTimeoutMs, shouldTakeOver } from "./ownership.js";

/** Options of `OwnerView.create`. */
export interface OwnerViewOptions {
    readonly entry: string;
    readonly incarnation: string;
    readonly timer: Timer;
    readonly members: Pick<Membership, "memberOf">;
}

/** Input of `OwnerView.wouldTakeOver`. */
export interface TakeoverQuestion {
    /** Time since the owner was last heard from, in milliseconds. */
    readonly ownerSilentMs: number;
    /** Duration of this entry's last store access, in milliseconds. */
    readonly storeAgeMs?: number;
    /** This entry's rank among those that may take the domain over. */
    readonly rank: number;
    readonly isStopping: boolean;
}

/** An entry's view of the owner of its domain. */
export class OwnerView {
    private currentOwner: Owner | undefined;
    /** URL of the owner's peer listener, where the members lack it. */
    private ownerUrl = "";
    /** Monotonic start of the owner's silence in milliseconds: its last heartbeat, a change of owner, or a lost takeover. */
    seenAt: number;
    /** The current owner's last heartbeat; undefined if none was received since it became the owner. */
    lastHeartbeat: Heartbeat | undefined;
    /** Latest fencing tokens whose owners are known to send no more orders. */
    private readonly endedFences = new Set<number>();
    /** Versions of the latest owner rows that were read from the store, by fencing token. */
    private readonly rowVersions = new Map<number, number>();

    private constructor(private readonly options: OwnerViewOptions) {
        this.seenAt = options.timer.now();
    }

    static create(options: OwnerViewOptions): OwnerView {
        return new OwnerView(options);
    }

    get owner(): Owner | undefined {
        return this.currentOwner;
    }

    /** URL of the owner's peer listener as told by a peer; empty if unknown. */
    get url(): string {
        return this.ownerUrl;
    }

    /** The owner's fencing token; 0 if none is known. */
    get fence(): number {
        return this.currentOwner?.fence ?? 0;
    }

    /** Time since the owner was last heard from, in milliseconds. */
    get silentMs(): number {
        return this.options.timer.now() - this.seenAt;
    }

    /** Replaces what is known of the owner without hearing from it. */
    setOwner(owner: Owner): void {
        this.currentOwner = owner;
    }

    /** Records a new owner, whose silence begins now. */
    adopt(owner: Owner, url: string): void {
        if (owner.fence !== this.lastHeartbeat?.fence) {
            // What an earlier owner said of its store says nothing about this one.
            this.lastHeartbeat = undefined;
        }
        this.currentOwner = owner;
        this.ownerUrl = url;
        this.markSeen();
    }

    /** Records the version of an owner row that was read from the store. */
    recordRow(fence: number, version: number): void {
        this.rowVersions.set(fence, version);
        if (this.rowVersions.size > maxEndedFences) {
            this.rowVersions.delete(Math.min(...this.rowVersions.keys()));
        }
    }

    /** Restarts the owner's silence now. */
    markSeen(): void {
        this.seenAt = this.options.timer.now();
    }

    /** Whether a healthy owner was heard from so lately that this entry would not take over at any rank. */
    hearsOwner(): boolean {
        const { owner } = this;
        return (owner?.entry ?? "") !== "" && this.silentMs <= ownerTimeoutMs
            && (this.lastHeartbeat?.storeAgeMs ?? 0) <= ownerStoreStaleMs
            && owner?.incarnation !== this.options.incarnation && !this.hasProcessEnded(owner);
    }

    /** Whether this entry would take the domain over. */
    wouldTakeOver({ ownerSilentMs, storeAgeMs = 0, rank, isStopping }: TakeoverQuestion): boolean {
        const { owner, lastHeartbeat } = this;
        return shouldTakeOver({
            self: this.options.entry,
            owner,
            // A takeover of this process whose answer was lost left it in the owner row without a tenure.
            hasOwnerEnded: owner?.incarnation === this.options.incarnation || this.hasProcessEnded(owner),
            ownerSilentMs,
            ownerStoreAgeMs: lastHeartbeat === undefined ? 0 : lastHeartbeat.storeAgeMs,
            storeAgeMs,
            rank,
            isStopping,
        });
    }

    /** Whether an earlier owner sends no more orders, because it released the domain or its process has ended. */
    hasStoppedOrdering(previous: Owner | undefined): boolean {
        return previous === undefined || previous.entry === "" || previous.entry === this.options.entry
            || this.endedFences.has(previous.fence) || this.hasProcessEnded(previous);
    }

    /** Records that the owner with a fencing token sends no more orders. */
    recordEnd(fence: number): void {
        this.endedFences.add(fence);
        if (this.endedFences.size > maxEndedFences) {
            this.endedFences.delete(Math.min(...this.endedFences));
        }
    }

    /**
     * Whether an owner's process has ended, as shown by another process that was registered for its VM and had read the store
     * after the owner took over. One that had read it before may be the process before the owner's.
     */
    private hasProcessEnded(owner: Owner | undefined): boolean {
        if (owner === undefined || owner.incarnation === "") {
            return false;
        }
        const { entry, incarnation, members } = this.options;
        if (owner.entry === entry) {
            return owner.incarnation !== incarnation;
        }
        const member = members.memberOf(owner.entry);
        return member?.storeVersion !== undefined && member.incarnation !== owner.incarnation
            && member.storeVersion >= this.latestTakeoverVersion(owner.fence);
    }

    /**
     * Store version by which the owner with a fencing token had taken over: that of its row or of any later owner's, whichever is
     * known and lowest; Infinity if none is.
     */
    private latestTakeoverVersion(fence: number): number {
        const rows = [...this.rowVersions].filter(([other]) => other >= fence);
        return Math.min(...rows.map(([, version]) => version));
    }
}
