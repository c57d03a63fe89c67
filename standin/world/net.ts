/** Links between virtual entries: delays, cuts and silence, in virtual time. */
import { noticeBytes } from "../../src/connection/peer/index.js";
import { PeerError } from "../../src/process/errors.js";
import type { Peer, PeerHandler, Peers } from "../../src/process/peers.js";
import type { Timer } from "../../src/process/timer.js";

/** One end of the network. */
export interface NetNode {
    readonly vm: string;
    readonly timer: Timer;
    isAlive: boolean;
}

/** Counts of what a node sent. */
export interface Traffic {
    messages: number;
    bytes: number;
}

const silentMs = 1500;
const pingMs = 500;

/** The network between all entries. */
export class VirtualNet {
    private readonly nodes = new Map<string, VirtualPeers>();
    private readonly cuts = new Set<string>();

    private constructor(readonly timer: Timer, readonly latencyMs: number) {}

    static create(timer: Timer, latencyMs: number): VirtualNet {
        return new VirtualNet(timer, latencyMs);
    }

    /** Adds an entry. */
    join(node: NetNode): VirtualPeers {
        const peers = new VirtualPeers(this, node);
        this.nodes.set(node.vm, peers);
        return peers;
    }

    /** Removes an entry. */
    leave(vm: string): void {
        this.nodes.delete(vm);
    }

    /** Removes an entry that closes its links, so that the others notice at once. */
    close(vm: string): void {
        this.leave(vm);
        this.nodes.forEach(peers => peers.forget(vm));
    }

    /** Cuts the links between two entries, both ways, without telling either. */
    cut(a: string, b: string): void {
        this.cuts.add(linkKey(a, b));
    }

    /** Repairs the links between two entries. */
    mend(a: string, b: string): void {
        this.cuts.delete(linkKey(a, b));
    }

    /** All other entries. */
    othersOf(vm: string): readonly VirtualPeers[] {
        return [...this.nodes.values()].filter(peers => peers.node.vm !== vm);
    }

    /** The node of an entry. */
    nodeOf(vm: string): VirtualPeers | undefined {
        return this.nodes.get(vm);
    }

    /** Carries something from one entry to another after the latency, unless the way is cut. */
    carry(from: string, to: string, deliver: (peers: VirtualPeers) => void): void {
        if (this.cuts.has(linkKey(from, to))) {
            return;
        }
        this.timer.after(this.latencyMs, () => {
            const target = this.nodes.get(to);
            if (target?.node.isAlive === true && !this.cuts.has(linkKey(from, to))) {
                target.node.timer.after(0, () => deliver(target));
            }
        });
    }
}

/** The peers of one entry. */
export class VirtualPeers implements Peers {
    readonly sent: Traffic = { messages: 0, bytes: 0 };
    private readonly handlers = new Map<string, PeerHandler>();
    private readonly heard = new Map<string, number>();

    constructor(private readonly net: VirtualNet, readonly node: NetNode) {
        node.timer.every(pingMs, () => this.ping());
        this.ping();
    }

    on(topic: string, handler: PeerHandler): void {
        this.handlers.set(topic, handler);
    }

    broadcast(topic: string, body: unknown): void {
        this.connected().forEach(peer => this.notify(peer.vm, topic, body));
    }

    notify(vm: string, topic: string, body: unknown): boolean {
        const copy = this.count(topic, body);
        this.net.carry(this.node.vm, vm, target => void target.deliver(this.node.vm, topic, copy));
        return true;
    }

    request(vm: string, topic: string, body: unknown, timeoutMs: number): Promise<unknown> {
        const copy = this.count(topic, body);
        return new Promise((resolve, reject) => {
            const fail = (message: string): void => {
                const err: Error = new PeerError(message, { props: { wasSent: true } });
                reject(err);
            };
            const cancel = this.node.timer.after(timeoutMs, () => fail("the peer did not reply in time"));
            this.net.carry(this.node.vm, vm, target => {
                target.answer(this.node.vm, topic, copy).then(
                    value =>
                        this.net.carry(vm, this.node.vm, () => {
                            cancel();
                            resolve(value);
                        }),
                    (err: unknown) => this.net.carry(vm, this.node.vm, () => fail(String(err))),
                );
            });
        });
    }

    connected(): readonly Peer[] {
        const now = this.node.timer.now();
        return [...this.heard].filter(([, at]) => now - at <= silentMs).map(([vm]) => ({ vm }));
    }

    lastReceivedAt(vm: string): number | undefined {
        return this.heard.get(vm);
    }

    /** Notes that the link to a peer was closed. */
    forget(vm: string): void {
        this.heard.delete(vm);
    }

    private async answer(from: string, topic: string, body: unknown): Promise<unknown> {
        this.heard.set(from, this.node.timer.now());
        return await this.handlers.get(topic)?.({ vm: from }, body);
    }

    private deliver(from: string, topic: string, body: unknown): void {
        this.heard.set(from, this.node.timer.now());
        void this.handlers.get(topic)?.({ vm: from }, body);
    }

    private ping(): void {
        for (const other of this.net.othersOf(this.node.vm)) {
            this.net.carry(
                this.node.vm,
                other.node.vm,
                target => target.heard.set(this.node.vm, target.node.timer.now()),
            );
        }
    }

    private count(topic: string, body: unknown): unknown {
        this.sent.messages++;
        this.sent.bytes += noticeBytes(topic, body);
        return body;
    }
}

function linkKey(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
}
