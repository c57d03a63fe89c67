/** Interface for messages between entries, implemented by the peer links. */

/** Another entry, identified by its VM. */
export interface Peer {
    readonly vm: string;
}

/** Address of a peer to which an entry needs a link. */
export interface PeerAddress {
    readonly vm: string;
    /** WebSocket URL of its peer listener. */
    readonly url: string;
    /** Whether the peer needs the link as well, so that the one with the smaller VM name dials first; true by default. */
    readonly isMutual?: boolean;
}

/** Handles a notification or request from a peer. For a request, the result is sent as the response. */
export type PeerHandler = (peer: Peer, body: unknown) => unknown;

/** Sends and receives messages over the peer links. */
export interface Peers {
    /** Registers the handler of a topic. */
    on(topic: string, handler: PeerHandler): void;
    /** Sends a notification to every connected peer. */
    broadcast(topic: string, body: unknown): void;
    /** Sends a notification to one peer; returns false when there is no link to it. */
    notify(vm: string, topic: string, body: unknown): boolean;
    /**
     * Sends a request to one peer and resolves with its response, which has to begin to arrive within the timeout. On
     * failure, the error has a property `wasSent`, which is false when the peer cannot have received the request.
     */
    request(vm: string, topic: string, body: unknown, timeoutMs: number): Promise<unknown>;
    /** Peers with an open link. */
    connected(): readonly Peer[];
    /** Monotonic time of the last receipt from a peer, in milliseconds; undefined when there is no link to it. */
    lastReceivedAt(vm: string): number | undefined;
}
