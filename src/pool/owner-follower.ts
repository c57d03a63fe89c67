/**
 * Follows who owns a domain: applies the owner row, the owner's heartbeats, and news from peers to this entry's view, its
 * links and its tenure.
 */
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Metrics } from "../process/metrics.js";
import type { Peer, Peers } from "../process/peers.js";
import { RowRefusals } from "../process/row-refusals.js";
import type { StoredRow } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { Membership } from "./membership.js";
import {
    decodeEndedFence,
    decodeHeartbeat,
    decodeNews,
    type Heartbeat,
    type OwnerMessenger,
    type OwnerNews,
    OwnerTopic,
} from "./owner-messages.js";
import type { OwnerView } from "./owner-view.js";
import { decodeOwner, type Owner } from "./ownership.js";
import type { PeerLinks } from "./peer-links.js";
import type { Tenure } from "./tenure.js";

/** Options of `OwnerFollower.create`. */
export interface OwnerFollowerOptions {
    readonly entry: string;
    readonly incarnation: string;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly view: OwnerView;
    readonly members: Membership;
    readonly links: PeerLinks;
    readonly messenger: OwnerMessenger;
    /** This entry's tenure while it is the owner. */
    readonly tenure: () => Tenure | undefined;
    /** Called when the domain has no owner any more. */
    readonly onVacant: () => void;
}

/** Follows the owner of a domain. */
export class OwnerFollower {
    private readonly refusals: RowRefusals;

    private constructor(private readonly options: OwnerFollowerOptions) {
        this.refusals = RowRefusals.create(options);
    }

    static create(options: OwnerFollowerOptions): OwnerFollower {
        return new OwnerFollower(options);
    }

    /** Starts to receive what peers tell about the owner. */
    start(): void {
        const { peers, view, tenure } = this.options;
        peers.on(OwnerTopic.Heartbeat, (peer, body) => this.handleHeartbeat(peer, decodeHeartbeat(body)));
        peers.on(OwnerTopic.News, (_, body) => this.handleNews(decodeNews(body)));
        peers.on(
            OwnerTopic.Silence,
            () => ({ silentMs: view.silentMs, isOwner: tenure() !== undefined }),
        );
        peers.on(OwnerTopic.Released, (_, body) => this.handleRelease(decodeEndedFence(body)));
        peers.on(OwnerTopic.SteppedDown, (_, body) => this.recordEnd(decodeEndedFence(body)));
    }

    /** Entry that owns the domain, as far as known. */
    get ownerEntry(): string | undefined {
        return this.options.tenure() === undefined ? this.options.view.owner?.entry : this.options.entry;
    }

    /** Selects the links anew after a change of the members or the owner. */
    updateLinks(): void {
        const { links, members, view } = this.options;
        const owner = this.ownerEntry;
        links.update(
            owner === undefined || owner === ""
                ? undefined
                : { vm: owner, url: members.urlOf(owner) ?? view.url },
        );
    }

    /** Applies an owner row that was read from the store. */
    applyRow(row: StoredRow | undefined): void {
        const { view, tenure, onVacant } = this.options;
        const owner = decodeOwner(row, this.refusals);
        if (row === undefined || owner === undefined) {
            return;
        }
        view.recordRow(owner.fence, row.version);
        if (owner.fence < view.fence) {
            return;
        }
        const hasOwnerChanged = owner.fence > view.fence || owner.entry !== view.owner?.entry;
        this.announceUnusedTakeover(owner);
        if (!hasOwnerChanged) {
            view.setOwner(owner);
        }
        else {
            this.logOwnerSeen(owner.entry, owner.fence, "row");
            view.lastHeartbeat = undefined;
            this.adoptOwner(owner);
            const current = tenure();
            if (current !== undefined && owner.fence > current.fence) {
                current.supersede(`owner row has the higher fence ${owner.fence}`);
            }
            if (owner.entry === "") {
                onVacant();
            }
        }
    }

    /** Checks whether earlier owners that may have sent orders until now have stopped. */
    checkEarlierOwners(): void {
        this.options.tenure()?.earlierOwners
            .filter(owner => this.options.view.hasStoppedOrdering(owner))
            .forEach(({ fence }) => this.recordEnd(fence));
    }

    /** Records that an owner sends no more orders, so that the leases it granted expire earlier. */
    private recordEnd(fence: number): void {
        this.options.view.recordEnd(fence);
        this.options.tenure()?.recordOwnerEnded(fence);
    }

    /** Applies news of an owner from a peer, for an entry that neither hears from the owner nor reads its row. */
    private handleNews({ owner, url }: OwnerNews): void {
        if (owner.fence > this.options.view.fence) {
            this.logOwnerSeen(owner.entry, owner.fence, "peer");
            this.adoptOwner(owner, url);
            this.options.tenure()?.supersede(
                `a peer has seen an owner with the higher fence ${owner.fence}`,
            );
        }
    }

    /** Records a new owner, links to it, and passes the news on. */
    private adoptOwner(owner: Owner, url = ""): void {
        const { view, messenger, members } = this.options;
        view.adopt(owner, url);
        this.updateLinks();
        if (owner.entry !== "") {
            messenger.passOn(owner, members.urlOf(owner.entry) ?? url);
        }
    }

    private handleHeartbeat(peer: Peer, heartbeat: Heartbeat): void {
        const { view, messenger, tenure } = this.options;
        if (heartbeat.fence < view.fence) {
            return;
        }
        const current = tenure();
        if (current !== undefined) {
            if (heartbeat.fence > current.fence) {
                current.supersede(`heartbeat of "${peer.vm}" has the higher fence ${heartbeat.fence}`);
            }
            else {
                return;
            }
        }
        const { incarnation, fence } = heartbeat;
        if (peer.vm !== view.owner?.entry || fence !== view.owner.fence) {
            this.logOwnerSeen(peer.vm, fence, "heartbeat");
            this.adoptOwner({ entry: peer.vm, incarnation, fence });
        }
        if (view.lastHeartbeat?.fence !== fence) {
            messenger.reportOwnEnds(peer.vm);
        }
        view.markSeen();
        view.lastHeartbeat = heartbeat;
    }

    private logOwnerSeen(owner: string, fence: number, source: "row" | "heartbeat" | "peer"): void {
        const { entry, log } = this.options;
        if (owner !== entry) {
            log.write(Severity.Info, EventId.OwnerSeen, { owner, fence, source });
        }
    }

    private handleRelease(fence: number): void {
        const { view, timer, onVacant } = this.options;
        this.recordEnd(fence);
        if (view.owner !== undefined && view.owner.fence === fence) {
            view.setOwner({ ...view.owner, entry: "" });
            // The wait by rank counts from the release, however long ago the last heartbeat was.
            view.seenAt = timer.now() - 1;
            onVacant();
        }
    }

    /** Tells peers that this process never sent orders as the owner before `next`, for lack of the takeover's answer. */
    private announceUnusedTakeover(next: Owner): void {
        const { view, incarnation, tenure, messenger } = this.options;
        if (
            view.owner?.incarnation === incarnation && tenure() === undefined
            && next.fence > view.owner.fence
        ) {
            messenger.announceEnd(OwnerTopic.SteppedDown, view.owner.fence);
        }
    }
}
