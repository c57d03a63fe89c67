/**
 * Whether an entry is cut off from the fleet. An isolated entry may miss withdrawals and lowered limits, so it starts
 * nothing. Judged on the monotonic clock at each start, so that a process that was paused notices before it sends.
 */

/** What a peer said about its configuration, and when. */
export interface PeerHeartbeat {
    /** Age that its configuration had when it spoke: time since it was last confirmed as the newest, in milliseconds. */
    readonly ageMs: number;
    readonly revision: number;
    /** Monotonic time at which it was heard here, in milliseconds. */
    readonly receivedAt: number;
}

/** Inputs of `isIsolated`. */
export interface IsolationInput {
    readonly now: number;
    readonly timeoutMs: number;
    /** Monotonic time at which this entry's configuration was last confirmed by the store, in milliseconds. */
    readonly confirmedAt: number;
    /** Revision in force here. */
    readonly revision: number;
    readonly peers: readonly PeerHeartbeat[];
    /** Registered entries, this one included. */
    readonly members: number;
}

/**
 * Whether the entry must not start work. It may while the store, or a peer that the store confirmed, vouches for its
 * revision. When a majority answers and the store confirms nobody, the store is down for all, and it may as well.
 */
export function isIsolated(
    { now, timeoutMs, confirmedAt, revision, peers, members }: IsolationInput,
): boolean {
    if (now - confirmedAt <= timeoutMs) {
        return false;
    }
    const recent = peers.filter(peer => now - peer.receivedAt <= timeoutMs);
    const isBehind = recent.some(peer => peer.revision > revision);
    if (isBehind) {
        return true;
    }
    const isVouchedFor = recent.some(peer => peer.ageMs + now - peer.receivedAt <= timeoutMs);
    const isMajority = (recent.length + 1) * 2 > members && (recent.length > 0 || members <= 1);
    return !isVouchedFor && !isMajority;
}
