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
    readonly isSettled: boolean;
}

const contactTopic = "contact.word";
const unheardGraceMs = 3000;

/** Knows whether this entry is cut off. */
export class Contact implements Task {
    readonly name = "contact";
    private readonly words = new Map<string, PeerWord>();
    private readonly cancels: Cancel[] = [];
    private readonly heardSince = new Set<string>();
    private wasIsolated = false;
    /** Monotonic time at which the entry was last seen not to be cut off, in milliseconds. */
    private connectedAt = -Infinity;
    /** Monotonic time since which it is connected again but may miss withdrawals that are not stored yet. */
    private unsettledSince: number | undefined;

    private constructor(private readonly options: ContactOptions) {
        options.peers.on(contactTopic, (peer, body) => this.hear(peer.vm, body as Word));
    }

    static create(options: ContactOptions): Contact {
        return new Contact(options);
    }

    /** Whether this entry must not start work now. */
    get isIsolated(): boolean {
        const { timer, boundMs } = this.options;
        const now = timer.now();
        if (this.isCutOff(now)) {
            return true;
        }
        if (now - this.connectedAt > boundMs) {
            this.unsettledSince = now;
            this.heardSince.clear();
        }
        this.connectedAt = now;
        return !this.isSettled(now);
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

    private isCutOff(now: number): boolean {
        const { boundMs, configuration, fleet } = this.options;
        return isIsolated({
            now,
            boundMs,
            confirmedAt: configuration.confirmedAt(),
            revision: configuration.revision(),
            peers: [...this.words.values()],
            members: Math.max(1, fleet.live.length),
        });
    }

    /**
     * After a start or a cut the store may not have the newest withdrawals yet. The entry has them once a settled peer
     * or every live peer has spoken, or when the others have had time to store them.
     */
    private isSettled(now: number): boolean {
        if (this.unsettledSince === undefined) {
            return true;
        }
        const { fleet } = this.options;
        const others = fleet.live.filter(member => member.incarnation !== fleet.self?.incarnation);
        const hasHeardAll = fleet.self !== undefined
            && others.every(member => this.heardSince.has(member.vm));
        if (hasHeardAll || now - this.unsettledSince > unheardGraceMs) {
            this.unsettledSince = undefined;
        }
        return this.unsettledSince === undefined;
    }

    private hear(vm: string, { ageMs, revision, pending, isSettled }: Word): void {
        this.words.set(vm, { ageMs, revision, heardAt: this.options.timer.now() });
        this.options.configuration.hear(revision, pending);
        this.heardSince.add(vm);
        if (isSettled) {
            this.unsettledSince = undefined;
        }
    }

    private tell(): void {
        const { peers, timer, configuration, log } = this.options;
        const ageMs = Math.round(timer.now() - configuration.confirmedAt());
        const isIsolatedNow = this.isIsolated;
        const word: Word = {
            ageMs,
            revision: configuration.revision(),
            pending: configuration.pending(),
            isSettled: !isIsolatedNow,
        };
        peers.broadcast(contactTopic, word);
        if (isIsolatedNow !== this.wasIsolated) {
            this.wasIsolated = isIsolatedNow;
            const event = isIsolatedNow ? EventId.EntryIsolated : EventId.EntryRejoined;
            log.write(isIsolatedNow ? Severity.Error : Severity.Info, event);
        }
    }
}
