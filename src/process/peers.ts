/** Messages between entries as tasks see them; the peer links implement it. */

/** Another entry. */
export interface Peer {
    readonly vm: string;
}

/** Handles a message or question from a peer; the result answers a question. */
export type PeerHandler = (peer: Peer, body: unknown) => unknown;

/** Sends and receives messages. */
export interface Peers {
    /** Registers the handler of a topic. */
    on(topic: string, handler: PeerHandler): void;
    /** Sends to every connected peer. */
    broadcast(topic: string, body: unknown): void;
    /** Sends to one peer; false when there is no link to it. */
    notify(vm: string, topic: string, body: unknown): boolean;
    /** Asks one peer; the error of a rejection has `wasSent`, which is false when the peer cannot have received it. */
    request(vm: string, topic: string, body: unknown, timeoutMs: number): Promise<unknown>;
    /** Peers with an open link. */
    connected(): readonly Peer[];
    /** Monotonic time at which a peer was last heard, in milliseconds; undefined without a link. */
    lastReceivedAt(vm: string): number | undefined;
}
