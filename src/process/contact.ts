/** Task that tells the peers how fresh this entry's configuration is, and judges whether the entry is cut off. */
import { EventId, Severity } from "./events.js";
import type { Fleet } from "./fleet.js";
import type { Task } from "./hub.js";
import { isIsolated, type PeerWord } from "./isolation.js";
import type { Log } from "./log.js";
import type { Peers } from "./peers.js";
import type { Cancel, Timer } from "./timer.js";

/** The configuration as this task needs it. */
export interface Configuration {
    /** Revision in force here. */
    readonly revision: () => number;
    /** Monotonic time at which the store last confirmed it as the newest, in milliseconds. */
    readonly confirmedAt: () => number;
    /** Key ids withdrawn here and not stored yet. */
    readonly pending: () => readonly string[];
    /** Takes in what a peer knows. */
    readonly hear: (revision: number, pending: readonly string[]) => void;
}

/** Options of `Contact.create`. */
export interface ContactOptions {
    readonly peers: Peers;
    readonly fleet: Fleet;
    readonly timer: Timer;
    readonly log: Log;
    readonly configuration: Configuration;
    /** Longest time without confirmation, in milliseconds. */
    readonly boundMs: number;
    readonly tellMs?: number;
}

interface Word {
    readonly ageMs: number;
    readonly revision: number;
    readonly pending: readonly string[];
}

const contactTopic = "contact.word";

/** Knows whether this entry is cut off. */
export class Contact implements Task {
    readonly name = "contact";
    private readonly words = new Map<string, PeerWord>();
    private readonly cancels: Cancel[] = [];
    private wasIsolated = false;

    private constructor(private readonly options: ContactOptions) {
        options.peers.on(contactTopic, (peer, body) => this.hear(peer.vm, body as Word));
    }

    static create(options: ContactOptions): Contact {
        return new Contact(options);
    }

    /** Whether this entry must not start work now. */
    get isIsolated(): boolean {
        const { timer, configuration, boundMs, fleet } = this.options;
        return isIsolated({
            now: timer.now(),
            boundMs,
            confirmedAt: configuration.confirmedAt(),
            revision: configuration.revision(),
            peers: [...this.words.values()],
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

    private hear(vm: string, { ageMs, revision, pending }: Word): void {
        this.words.set(vm, { ageMs, revision, heardAt: this.options.timer.now() });
        this.options.configuration.hear(revision, pending);
    }

    private tell(): void {
        const { peers, timer, configuration, log } = this.options;
        const ageMs = Math.round(timer.now() - configuration.confirmedAt());
        const word: Word = { ageMs, revision: configuration.revision(), pending: configuration.pending() };
        peers.broadcast(contactTopic, word);
        const isIsolatedNow = this.isIsolated;
        if (isIsolatedNow !== this.wasIsolated) {
            this.wasIsolated = isIsolatedNow;
            const event = isIsolatedNow ? EventId.EntryIsolated : EventId.EntryRejoined;
            log.write(isIsolatedNow ? Severity.Error : Severity.Info, event);
        }
    }
}
