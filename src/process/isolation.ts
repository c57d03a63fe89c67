/**
 * Whether an entry is cut off from the fleet. An isolated entry may miss withdrawals and lowered limits, so it starts
 * nothing. Judged on the monotonic clock at each start, so that a process that was paused notices before it sends.
 */

/** When a peer was last heard, and how fresh its own view of the store is. */
export interface PeerFreshness {
    /** Monotonic time at which the peer was last heard here, in milliseconds. */
    readonly heardAt: number;
    /** Age of the peer's last answer from the store when it told us, in milliseconds. */
    readonly storeAgeMs: number;
    /** Monotonic time at which it told us, in milliseconds. */
    readonly toldAt: number;
}

/** Inputs of `isIsolated`. */
export interface IsolationInput {
    readonly now: number;
    readonly boundMs: number;
    /** Monotonic time of this entry's own last answer from the store, in milliseconds. */
    readonly storeAt: number;
    readonly peers: readonly PeerFreshness[];
    /** Registered entries, this one included. */
    readonly members: number;
}

/** Whether the entry must not start work. */
export function isIsolated({ now, boundMs, storeAt, peers, members }: IsolationInput): boolean {
    if (now - storeAt <= boundMs) {
        return false;
    }
    const reachable = peers.filter(peer => now - peer.heardAt <= boundMs);
    if (reachable.some(peer => peer.storeAgeMs + now - peer.toldAt <= boundMs)) {
        return false;
    }
    const isMajority = (reachable.length + 1) * 2 > members;
    return !(isMajority && (reachable.length > 0 || members <= 1));
}
