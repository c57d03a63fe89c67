/** Task that tells the peers how fresh this entry's configuration is, and judges whether the entry is cut off. */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import type { Task } from "./hub.js";
import { isIsolated, type PeerHeartbeat } from "./isolation.js";
import type { Log } from "./log.js";
import type { Peers } from "./peers.js";
import type { Cancel, Timer } from "./timer.js";

/** The configuration as this task needs it. */
export interface ConfigurationSource {
    /** Revision in force here. */
    readonly revision: () => number;
    /** Monotonic time at which the store last confirmed it as the newest, in milliseconds. */
    readonly confirmedAt: () => number;
    /** Key ids withdrawn here and not stored yet. */
    readonly pendingWithdrawals: () => readonly string[];
    /** Takes in what a peer knows. */
    readonly onPeerHeartbeat: (revision: number, pending: readonly string[]) => void;
}

/** Options of `Contact.create`. */
export interface IsolationMonitorOptions {
    readonly peers: Peers;
    readonly fleet: Fleet;
    readonly timer: Timer;
    readonly log: Log;
    readonly configuration: ConfigurationSource;
    /** Longest time without confirmation, in milliseconds. */
    readonly timeoutMs: number;
    readonly heartbeatIntervalMs?: number;
}

interface HeartbeatBody {
    readonly ageMs: number;
    readonly revision: number;
    readonly pending: readonly string[];
    readonly isSettled: boolean;
}

const heartbeatTopic = "contact.word";
const withdrawalSyncTimeoutMs = 3000;

/** Knows whether this entry is cut off. */
export class IsolationMonitor implements Task {
    readonly name = "contact";
    private readonly heartbeats = new Map<string, PeerHeartbeat>();
    private readonly cancels: Cancel[] = [];
    private readonly reportedSinceReconnect = new Set<string>();
    private wasIsolated = false;
    /** Monotonic time at which the entry was last seen not to be cut off, in milliseconds. */
    private lastConnectedAt = -Infinity;
    /** Monotonic time since which it is connected again but may miss withdrawals that are not stored yet. */
    private unsyncedSince: number | undefined;

    private constructor(private readonly options: IsolationMonitorOptions) {
        options.peers.on(
            heartbeatTopic,
            (peer, body) => this.receiveHeartbeat(peer.vm, body as HeartbeatBody),
        );
    }

    static create(options: IsolationMonitorOptions): IsolationMonitor {
        return new IsolationMonitor(options);
    }

    /** Whether this entry must not start work now. */
    get isIsolated(): boolean {
        const { timer, timeoutMs } = this.options;
        const now = timer.now();
        if (this.isDisconnected(now)) {
            return true;
        }
        if (now - this.lastConnectedAt > timeoutMs) {
            this.unsyncedSince = now;
            this.reportedSinceReconnect.clear();
        }
        this.lastConnectedAt = now;
        return !this.isSynced(now);
    }

    start(): Promise<void> {
        const { timer, heartbeatIntervalMs = 500 } = this.options;
        this.cancels.push(timer.every(heartbeatIntervalMs, () => this.broadcastHeartbeat()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    private isDisconnected(now: number): boolean {
        const { timeoutMs, configuration, fleet } = this.options;
        return isIsolated({
            now,
            timeoutMs,
            confirmedAt: configuration.confirmedAt(),
            revision: configuration.revision(),
            peers: [...this.heartbeats.values()],
            members: Math.max(1, fleet.live.length),
        });
    }

    /**
     * After a start or a cut the store may not have the newest withdrawals yet. The entry has them once a settled peer
     * or every live peer has spoken, or when the others have had time to store them.
     */
    private isSynced(now: number): boolean {
        if (this.unsyncedSince === undefined) {
            return true;
        }
        const { fleet } = this.options;
        const others = fleet.live.filter(member => member.incarnation !== fleet.self?.incarnation);
        const hasHeardAll = fleet.self !== undefined
            && others.every(member => this.reportedSinceReconnect.has(member.vm));
        if (hasHeardAll || now - this.unsyncedSince > withdrawalSyncTimeoutMs) {
            this.unsyncedSince = undefined;
        }
        return this.unsyncedSince === undefined;
    }

    private receiveHeartbeat(vm: string, { ageMs, revision, pending, isSettled }: HeartbeatBody): void {
        this.heartbeats.set(vm, { ageMs, revision, receivedAt: this.options.timer.now() });
        this.options.configuration.onPeerHeartbeat(revision, pending);
        this.reportedSinceReconnect.add(vm);
        if (isSettled) {
            this.unsyncedSince = undefined;
        }
    }

    private broadcastHeartbeat(): void {
        const { peers, timer, configuration, log } = this.options;
        const ageMs = Math.round(timer.now() - configuration.confirmedAt());
        const isIsolatedNow = this.isIsolated;
        const word: HeartbeatBody = {
            ageMs,
            revision: configuration.revision(),
            pending: configuration.pendingWithdrawals(),
            isSettled: !isIsolatedNow,
        };
        peers.broadcast(heartbeatTopic, word);
        if (isIsolatedNow !== this.wasIsolated) {
            this.wasIsolated = isIsolatedNow;
            const event = isIsolatedNow ? EventId.EntryIsolated : EventId.EntryRejoined;
            log.write(isIsolatedNow ? Severity.Error : Severity.Info, event);
        }
    }
}
