/** How this entry compares with others as the owner: whether it is slow, fit, or clearly weaker than another. */
import { messageOf } from "../process/errors.js";
import type { EventLoopLagMonitor } from "../process/event-loop-lag.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Peers } from "../process/peers.js";
import { readRow, type RowStore } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { Membership } from "./membership.js";
import { ownerKey } from "./ownership.js";
import { clearlyBetter, inOrder } from "./ranking.js";

/** Options of `Standing.create`. */
export interface StandingOptions {
    /** Name of the domain. */
    readonly name: string;
    readonly entry: string;
    readonly store: RowStore;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly log: Log;
    readonly lag: EventLoopLagMonitor;
    readonly members: Membership;
}

const fitTopic = "owner.fit";
/** How long an entry that gave the domain up leaves it to others, in milliseconds. */
const standBackMs = 5000;
/** Places by which an entry that stands back goes behind the others when the domain has no owner. */
const backRank = 12;
/** Time from a takeover to the owner's first look for a stronger entry, and from each look to the next. */
const comparisonMs = 3000;
/** Longest time for a read of the owner row by which an entry counts as well placed. */
export const quickProbeMs = 300;

/** This entry among the others. */
export class Standing {
    private standBackUntil = -Infinity;
    private nextComparisonAt = -Infinity;

    private constructor(private readonly options: StandingOptions) {
        options.peers.on(fitTopic, async () => ({ isFit: await this.isFit() }));
    }

    static create(options: StandingOptions): Standing {
        return new Standing(options);
    }

    /** Set once this process is to end: it is not fit any more. */
    isStopping = false;

    /** Place among those that would take over from an owner; 0 goes first. */
    rank(owner: string | undefined): number {
        const { entry, peers, members } = this.options;
        const names = [entry, ...peers.connected().map(({ vm }) => vm)].filter(vm => vm !== owner);
        const place = inOrder(names.map(vm => members.ranked(vm))).findIndex(other => other.entry === entry);
        return place + (this.standsBack() ? backRank : 0);
    }

    /** Leaves the domain to others for a while. */
    standBack(): void {
        this.standBackUntil = this.options.timer.now() + standBackMs;
    }

    /** Notes that a tenure has begun; it is compared with others only after some time. */
    begin(): void {
        this.nextComparisonAt = this.options.timer.now() + comparisonMs;
    }

    /** Whether a clearly stronger entry would take the domain, as it says; looked at now and then. */
    async isOutclassed(): Promise<boolean> {
        const { entry, peers, timer, log, members } = this.options;
        if (timer.now() < this.nextComparisonAt) {
            return false;
        }
        this.begin();
        const others = peers.connected().map(({ vm }) => members.ranked(vm));
        const better = clearlyBetter(members.ranked(entry), others);
        if (better === undefined) {
            return false;
        }
        try {
            const answer = await peers.request(better.entry, fitTopic, {}, quickProbeMs) as {
                isFit: boolean;
            };
            return answer.isFit;
        }
        catch (err) {
            // A peer that does not answer is not better placed; it is asked again at the next comparison.
            log.write(Severity.Warn, EventId.PeerLost, { peer: better.entry, err: messageOf(err) });
            return false;
        }
    }

    /** Whether this process is slow, or gave the domain up a moment ago. */
    private standsBack(): boolean {
        return this.options.lag.isLagging || this.options.timer.now() < this.standBackUntil;
    }

    /** Whether this entry would serve well as the owner: it is not slow, and the store answers it quickly. */
    private async isFit(): Promise<boolean> {
        const { store, timer, name, log } = this.options;
        if (this.standsBack() || this.isStopping) {
            return false;
        }
        const probedAt = timer.now();
        try {
            await readRow(store, ownerKey(name));
            return timer.now() - probedAt < quickProbeMs;
        }
        catch (err) {
            log.write(Severity.Warn, EventId.StoreUnavailable, { err: messageOf(err) });
            return false;
        }
    }
}
