/**
 * Task that broadcasts heartbeats with the age and revision of this entry's configuration to the peers, and uses the
 * heartbeats of the peers to decide whether this entry is isolated.
 */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import type { Task } from "./hub.js";
import { isIsolated, type PeerHeartbeat } from "./isolation.js";
import type { Log } from "./log.js";
import type { Peers } from "./peers.js";
import type { Cancel, Timer } from "./timer.js";

/** Access to the lists and keys in force at this entry. */
export interface ConfigurationSource {
    /** Revision in force at this entry. */
    readonly revision: () => number;
    /** Monotonic time at which the store last confirmed that revision as the newest, in milliseconds. */
    readonly confirmedAt: () => number;
    /** Ids of keys that were withdrawn at this entry and whose withdrawal is not stored yet. */
    readonly pendingWithdrawals: () => readonly string[];
    /** Called with the revision and the pending withdrawals from each heartbeat of a peer. */
    readonly onPeerHeartbeat: (revision: number, pending: readonly string[]) => void;
}

/** Options of `Contact.create`. */
export interface IsolationMonitorOptions {
    readonly peers: Peers;
    readonly fleet: Fleet;
    readonly timer: Timer;
    readonly log: Log;
    readonly configuration: ConfigurationSource;
    /** Maximum age of a confirmation by the store, and of a heartbeat, in milliseconds. */
    readonly timeoutMs: number;
    /** Interval between heartbeats; 500 ms by default. */
    readonly heartbeatIntervalMs?: number;
}

/** Body of a heartbeat message. */
interface HeartbeatBody {
    /** Time since the store last confirmed the sender's revision as the newest, in milliseconds. */
    readonly ageMs: number;
    readonly revision: number;
    readonly pending: readonly string[];
    /** Whether the sender is neither isolated nor possibly missing withdrawals. */
    readonly isSettled: boolean;
}

const heartbeatTopic = "contact.word";
/** Time allowed for the peers to store their pending withdrawals after this entry has reconnected. */
const withdrawalSyncTimeoutMs = 3000;

/** Decides whether this entry is isolated from the fleet. */
export class IsolationMonitor implements Task {
    readonly name = "contact";
    /** Latest heartbeat of each peer by VM id. */
    private readonly heartbeats = new Map<string, PeerHeartbeat>();
    private readonly cancels: Cancel[] = [];
    /** VM ids of the peers that sent a heartbeat since `unsyncedSince`. */
    private readonly reportedSinceReconnect = new Set<string>();
    private wasIsolated = false;
    /** Monotonic time at which this entry was last found not to be isolated, in milliseconds. */
    private lastConnectedAt = -Infinity;
    /**
     * Monotonic time in milliseconds at which the entry reconnected, while it may still lack withdrawals that are not
     * stored yet; undefined once it has them.
     */
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

    /** Whether this entry must not start work now, because it is isolated or may lack withdrawals. */
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

    /** Revision in the latest heartbeat of a peer; undefined if none arrived within the isolation time. */
    revisionOf(vm: string): number | undefined {
        const { timer, timeoutMs } = this.options;
        const heartbeat = this.heartbeats.get(vm);
        return heartbeat !== undefined && timer.now() - heartbeat.receivedAt <= timeoutMs
            ? heartbeat.revision
            : undefined;
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
     * Whether the entry has the newest withdrawals. After a start or an isolation the store may not hold them yet. The
     * entry has them once it received a heartbeat from a peer that is itself in sync, or from every live peer, or once
     * the peers had time to store them.
     */
    private isSynced(now: number): boolean {
        if (this.unsyncedSince === undefined) {
            return true;
        }
        const { fleet } = this.options;
        const others = fleet.live.filter(member => member.incarnation !== fleet.self?.incarnation);
        const haveAllReported = fleet.self !== undefined
            && others.every(member => this.reportedSinceReconnect.has(member.vm));
        if (haveAllReported || now - this.unsyncedSince > withdrawalSyncTimeoutMs) {
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
        const heartbeat: HeartbeatBody = {
            ageMs,
            revision: configuration.revision(),
            pending: configuration.pendingWithdrawals(),
            isSettled: !isIsolatedNow,
        };
        peers.broadcast(heartbeatTopic, heartbeat);
        if (isIsolatedNow !== this.wasIsolated) {
            this.wasIsolated = isIsolatedNow;
            const event = isIsolatedNow ? EventId.EntryIsolated : EventId.EntryRejoined;
            log.write(isIsolatedNow ? Severity.Error : Severity.Info, event);
        }
    }
}
