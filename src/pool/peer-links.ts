/** Keeps an entry's links to the peers that it needs, as members and the owner change; see `peer-selection`. */
import type { PeerAddress, Peers } from "../process/peers.js";
import type { Membership } from "./membership.js";
import { type PeerSelection, selectPeers, type SiteMember, takeoverRank } from "./peer-selection.js";

/** Options of `PeerLinks.create`. */
export interface PeerLinksOptions {
    readonly entry: string;
    readonly members: Membership;
    readonly peers: Peers;
    /** Sets the peers that this entry keeps links to; called whenever they have changed. */
    readonly connectPeers: (peers: readonly PeerAddress[]) => void;
}

/** Most peers that are asked about an owner which this entry has not heard from. */
const witnessCount = 8;

/** The links of one entry to the peers that it needs. */
export class PeerLinks {
    private selection: PeerSelection = { needed: new Map(), successors: [] };
    /** Addresses that were last passed to `connectPeers`, as JSON. */
    private lastAddresses = "";

    private constructor(private readonly options: PeerLinksOptions) {}

    static create(options: PeerLinksOptions): PeerLinks {
        return new PeerLinks(options);
    }

    /** Entries that watch the owner closely, the first in line for a takeover first. */
    get successors(): readonly string[] {
        return this.selection.successors;
    }

    /**
     * Selects the peers anew. `owner` owns the domain, if any does; its address is needed where this entry's view of the
     * members lacks it.
     */
    update(owner: PeerAddress | undefined): void {
        const { entry: self, members, connectPeers } = this.options;
        const siteMembers = this.membersWith(owner);
        this.selection = selectPeers({ self, members: siteMembers, owner: owner?.vm });
        const addresses = [...this.selection.needed].map(([vm, { isMutual }]): PeerAddress => ({
            vm,
            url: members.urlOf(vm) ?? owner?.url ?? "",
            isMutual,
        }));
        const encoded = JSON.stringify(addresses);
        if (encoded !== this.lastAddresses) {
            this.lastAddresses = encoded;
            connectPeers(addresses);
        }
    }

    /** Rank of this entry among those that could take over from `owner`; 0 takes over first. */
    rank(owner: string | undefined): number {
        const { entry: self, members, peers } = this.options;
        const connected = new Set(peers.connected().map(({ vm }) => vm));
        return takeoverRank({
            self,
            members: members.siteMembers(),
            owner,
            selection: this.selection,
            isConnected: entry => connected.has(entry),
        });
    }

    /** Connected peers, other than the owner, that can tell whether they hear from it. */
    witnesses(owner: string | undefined): readonly string[] {
        return this.options.peers.connected()
            .map(({ vm }) => vm)
            .filter(vm => vm !== owner && this.selection.needed.has(vm))
            .slice(0, witnessCount);
    }

    private membersWith(owner: PeerAddress | undefined): readonly SiteMember[] {
        const { members } = this.options;
        const known = members.siteMembers();
        return owner === undefined || owner.url === "" || known.some(({ entry }) => entry === owner.vm)
            ? known
            : [...known, { ...members.rankedEntry(owner.vm), zone: "" }];
    }
}
