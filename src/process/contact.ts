/** Task that tells the peers how fresh this entry's view of the store is, and judges whether it is cut off. */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import type { Task } from "./hub.js";
import { isIsolated, type PeerFreshness } from "./isolation.js";
import type { Log } from "./log.js";
import type { Peers } from "./peers.js";
import type { Cancel, Timer } from "./timer.js";

/** Options of `Contact.create`. */
export interface ContactOptions {
    readonly peers: Peers;
    readonly fleet: Fleet;
    readonly timer: Timer;
    readonly log: Log;
    /** Monotonic time of the last answer from the store, in milliseconds. */
    readonly storeAt: () => number;
    readonly boundMs: number;
    readonly tellMs?: number;
}

interface Told {
    readonly storeAgeMs: number;
    readonly toldAt: number;
}

const contactTopic = "contact.freshness";

/** Knows whether this entry is cut off. */
export class Contact implements Task {
    readonly name = "contact";
    private readonly told = new Map<string, Told>();
    private readonly cancels: Cancel[] = [];
    private wasIsolated = false;

    private constructor(private readonly options: ContactOptions) {
        options.peers.on(contactTopic, (peer, body) => {
            const { storeAgeMs } = body as { storeAgeMs: number };
            this.told.set(peer.vm, { storeAgeMs, toldAt: options.timer.now() });
        });
    }

    static create(options: ContactOptions): Contact {
        return new Contact(options);
    }

    /** Whether this entry must not start work now. */
    get isIsolated(): boolean {
        const { timer, storeAt, boundMs, fleet } = this.options;
        return isIsolated({
            now: timer.now(),
            boundMs,
            storeAt: storeAt(),
            peers: this.freshness(),
            members: Math.max(1, fleet.live.length),
        });
    }

    start(): Promise<void> {
        const { timer, tellMs = 500 } = this.options;
        this.cancels.push(timer.every(tellMs, () => this.tell()));
        return Promise.resolve();
    }

    stop(): Promise<void> {
        this.cancels.forEach(cancel => cancel());
        return Promise.resolve();
    }

    private tell(): void {
        const { peers, timer, storeAt, log } = this.options;
        peers.broadcast(contactTopic, { storeAgeMs: Math.round(timer.now() - storeAt()) });
        const isIsolatedNow = this.isIsolated;
        if (isIsolatedNow !== this.wasIsolated) {
            this.wasIsolated = isIsolatedNow;
            const event = isIsolatedNow ? EventId.EntryIsolated : EventId.EntryRejoined;
            log.write(isIsolatedNow ? Severity.Error : Severity.Info, event);
        }
    }

    private freshness(): readonly PeerFreshness[] {
        const { peers } = this.options;
        return [...this.told].flatMap(([vm, told]) => {
            const heardAt = peers.heardAt(vm);
            return heardAt === undefined ? [] : [{ ...told, heardAt }];
        });
    }
}
