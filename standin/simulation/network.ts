/** A simulated network between entries, in virtual time, with latency and partitions. */
import { noticeBytes } from "../../src/connection/peer/index.js";
import { PeerError } from "../../src/process/errors.js";
import type { Peer, PeerHandler, Peers } from "../../src/process/peers.js";
import type { Cancel, Timer } from "../../src/process/timer.js";
import type { SharedLink } from "./shared-link.js";

/** An entry as a node of the network. */
export interface NetworkNode {
    readonly vm: string;
    readonly timer: Timer;
    /** Link that carries its traffic; undefined if it is never full. */
    readonly link?: SharedLink | undefined;
    isAlive: boolean;
}

/** Numbers of messages and bytes that a node sent. */
export interface TrafficCounts {
    messages: number;
    bytes: number;
    /** Pings, which carry no message. */
    pings: number;
}

/** Time without a message after which a peer no longer counts as connected. */
const peerTimeoutMs = 1500;
const pingIntervalMs = 500;

/** The network that connects all entries. */
export class VirtualNetwork {
    private readonly peersByVm = new Map<string, VirtualPeers>();
    private readonly partitionedLinks = new Set<string>();

    private constructor(readonly timer: Timer, readonly latencyMs: number) {}

    static create(timer: Timer, latencyMs: number): VirtualNetwork {
        return new VirtualNetwork(timer, latencyMs);
    }

    /** Connects an entry and returns its peers. */
    addNode(node: NetworkNode): VirtualPeers {
        const peers = new VirtualPeers(this, node);
        this.peersByVm.set(node.vm, peers);
        return peers;
    }

    /** Removes an entry without notifying its peers, which detect it by timeout. */
    removeNode(vm: string): void {
        this.peersByVm.delete(vm);
    }

    /** Removes an entry that closes its links, so that its peers detect it at once. */
    disconnectNode(vm: string): void {
        this.removeNode(vm);
        this.peersByVm.forEach(peers => peers.markDisconnected(vm));
    }

    /** Drops all messages between two entries, in both directions, without closing their links. */
    partition(vm: string, otherVm: string): void {
        this.partitionedLinks.add(linkKey(vm, otherVm));
    }

    /** Ends the partition between two entries. */
    heal(vm: string, otherVm: string): void {
        this.partitionedLinks.delete(linkKey(vm, otherVm));
    }

    /** The peers of all entries but `vm`. */
    otherPeers(vm: string): readonly VirtualPeers[] {
        return [...this.peersByVm.values()].filter(peers => peers.node.vm !== vm);
    }

    /** Whether two entries that both run have a link. */
    areLinked(vm: string, otherVm: string): boolean {
        const one = this.peersByVm.get(vm);
        const other = this.peersByVm.get(otherVm);
        return one !== undefined && other !== undefined && one.isLinkedTo(other);
    }

    /** The peers of an entry. */
    peersOf(vm: string): VirtualPeers | undefined {
        return this.peersByVm.get(vm);
    }

    /**
     * Runs `deliver` on the receiver after the latency. The message is lost if the link is partitioned when it is sent
     * or when it arrives.
     */
    transmit(from: string, to: string, deliver: (peers: VirtualPeers) => void): void {
        if (this.partitionedLinks.has(linkKey(from, to)) || !this.areLinked(from, to)) {
            return;
        }
        this.timer.after(this.latencyMs, () => {
            const target = this.peersByVm.get(to);
            if (target?.node.isAlive === true && !this.partitionedLinks.has(linkKey(from, to))) {
                target.node.timer.after(0, () => deliver(target));
            }
        });
    }
}

/** The peers of one entry. */
export class VirtualPeers implements Peers {
    readonly sent: TrafficCounts = { messages: 0, bytes: 0, pings: 0 };
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly lastReceivedTimes = new Map<string, number>();

    /** Peers that this entry needs links to; undefined as long as it is linked to all. */
    private neededPeers: ReadonlySet<string> | undefined;

    constructor(private readonly network: VirtualNetwork, readonly node: NetworkNode) {
        node.timer.every(pingIntervalMs, () => this.ping());
        this.ping();
    }

    /** Sets the peers that this entry needs links to. Peers that need one to this entry keep it. */
    setNeededPeers(vms: readonly string[]): void {
        this.neededPeers = new Set(vms);
    }

    /** Whether there is a link to another entry, needed by either end. */
    isLinkedTo(other: VirtualPeers): boolean {
        return this.needs(other.node.vm) || other.needs(this.node.vm);
    }

    private needs(vm: string): boolean {
        return this.neededPeers === undefined || this.neededPeers.has(vm);
    }

    on(topic: string, handler: PeerHandler): void {
        this.handlers.set(topic, handler);
    }

    broadcast(topic: string, body: unknown): void {
        this.connected().forEach(peer => this.notify(peer.vm, topic, body));
    }

    notify(vm: string, topic: string, body: unknown): boolean {
        if (!this.network.areLinked(this.node.vm, vm)) {
            return false;
        }
        const copy = this.recordSent(topic, body);
        this.network.transmit(
            this.node.vm,
            vm,
            target => void target.handleNotice(this.node.vm, topic, copy),
        );
        return true;
    }

    async request(vm: string, topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        if (!this.network.areLinked(this.node.vm, vm)) {
            throw new PeerError(`no link to ${vm}`, { props: { wasSent: false } });
        }
        const copy = this.recordSent(topic, body);
        return new Promise((resolve, reject) => {
            const fail = (message: string): void => {
                const err: Error = new PeerError(message, { props: { wasSent: true } });
                reject(err);
            };
            const startTimeout = (): Cancel =>
                this.node.timer.after(
                    timeoutMs,
                    () => fail(`no reply from peer ${vm} within ${timeoutMs} ms`),
                );
            let cancel = startTimeout();
            // Like on the real links, a request does not time out while its response is arriving.
            const onData = (): void => {
                cancel();
                cancel = startTimeout();
            };
            this.network.transmit(this.node.vm, vm, target => {
                target.handleRequest(this.node.vm, topic, copy).then(
                    async value => {
                        const bytes = noticeBytes(topic, value);
                        await Promise.all([
                            target.node.link?.transfer(bytes),
                            this.node.link?.transfer(bytes, { onData }),
                        ]);
                        this.network.transmit(vm, this.node.vm, () => {
                            cancel();
                            resolve(value);
                        });
                    },
                    (err: unknown) => this.network.transmit(vm, this.node.vm, () => fail(String(err))),
                );
            });
        });
    }

    connected(): readonly Peer[] {
        const now = this.node.timer.now();
        return [...this.lastReceivedTimes].filter(([, at]) => now - at <= peerTimeoutMs).map(([vm]) => ({
            vm,
        }));
    }

    lastReceivedAt(vm: string): number | undefined {
        return this.lastReceivedTimes.get(vm);
    }

    /** Records that the link to a peer was closed. */
    markDisconnected(vm: string): void {
        this.lastReceivedTimes.delete(vm);
    }

    private async handleRequest(from: string, topic: string, body: unknown): Promise<unknown> {
        this.lastReceivedTimes.set(from, this.node.timer.now());
        return await this.handlers.get(topic)?.({ vm: from }, body);
    }

    private handleNotice(from: string, topic: string, body: unknown): void {
        this.lastReceivedTimes.set(from, this.node.timer.now());
        void this.handlers.get(topic)?.({ vm: from }, body);
    }

    private ping(): void {
        for (const other of this.network.otherPeers(this.node.vm)) {
            this.sent.pings += this.isLinkedTo(other) ? 1 : 0;
            this.network.transmit(
                this.node.vm,
                other.node.vm,
                target => target.lastReceivedTimes.set(this.node.vm, target.node.timer.now()),
            );
        }
    }

    private recordSent(topic: string, body: unknown): unknown {
        this.sent.messages++;
        this.sent.bytes += noticeBytes(topic, body);
        return body;
    }
}

function linkKey(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
}
