/**
 * Decides whether an entry is isolated from the fleet. An isolated entry may lack key withdrawals and lowered limits,
 * so it must not start work. The check uses the monotonic clock and runs before each start, so that a process that was
 * paused detects its isolation before it sends anything.
 */

/** Configuration age and revision from the latest heartbeat of a peer. */
export interface PeerHeartbeat {
    /** Time since the store last confirmed its revision, when it sent the heartbeat, in milliseconds. */
    readonly ageMs: number;
    readonly revision: number;
    /** Monotonic time at which the heartbeat was received, in milliseconds. */
    readonly receivedAt: number;
}

/** Inputs of `isIsolated`. */
export interface IsolationInput {
    /** Monotonic time in milliseconds. */
    readonly now: number;
    /** Maximum age of a confirmation by the store, and of a heartbeat, in milliseconds. */
    readonly timeoutMs: number;
    /** Monotonic time at which this entry's configuration was last confirmed by the store, in milliseconds. */
    readonly confirmedAt: number;
    /** Revision in force at this entry. */
    readonly revision: number;
    readonly peers: readonly PeerHeartbeat[];
    /** Number of registered entries, including this one. */
    readonly members: number;
}

/**
 * Whether the entry must not start work. It may start work while the store's last confirmation of its revision is
 * recent. After that, it must not if a peer reports a newer revision; it may if the store recently confirmed a peer, or
 * if the entry reaches a majority of the entries, since the store is then assumed to be down for all of them.
 */
export function isIsolated(
    { now, timeoutMs, confirmedAt, revision, peers, members }: IsolationInput,
): boolean {
    if (now - confirmedAt <= timeoutMs) {
        return false;
    }
    const recentPeers = peers.filter(peer => now - peer.receivedAt <= timeoutMs);
    const hasNewerPeer = recentPeers.some(peer => peer.revision > revision);
    if (hasNewerPeer) {
        return true;
    }
    const hasConfirmedPeer = recentPeers.some(peer => peer.ageMs + now - peer.receivedAt <= timeoutMs);
    const isMajorityReachable = (recentPeers.length + 1) * 2 > members
        && (recentPeers.length > 0 || members <= 1);
    return !hasConfirmedPeer && !isMajorityReachable;
}
