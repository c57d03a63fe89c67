/**
 * Decides how suitable this entry is as the owner compared with its peers: its rank for takeovers, whether it is fit to
 * own the domain, and whether a clearly stronger peer is.
 */
import { messageOf } from "../process/errors.js";
import type { EventLoopLagMonitor } from "../process/event-loop-lag.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import type { Peers } from "../process/peers.js";
import { readRow, type RowStore } from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { Membership } from "./membership.js";
import { ownerKey } from "./ownership.js";
import type { PeerLinks } from "./peer-links.js";
import { findStrongerCandidate } from "./ranking.js";

/** Options of `OwnerFitness.create`. */
export interface OwnerFitnessOptions {
    /** Name of the domain. */
    readonly name: string;
    readonly entry: string;
    readonly store: RowStore;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly log: Log;
    readonly lag: EventLoopLagMonitor;
    readonly members: Membership;
    readonly links: PeerLinks;
}

const fitnessTopic = "owner.fit";
/** Time for which an entry that released the domain defers to other entries, in milliseconds. */
const deferMs = 5000;
/** Added to the rank of an entry that defers, which puts it behind the others when the domain has no owner. */
const deferredRankOffset = 12;
/** Time from a takeover to the owner's first check for a stronger entry, and between checks, in milliseconds. */
const comparisonPeriodMs = 3000;
/** Longest read of the owner row at which an entry's store connection counts as healthy, in milliseconds. */
export const maxHealthyProbeMs = 300;

/** Compares this entry with its peers. */
export class OwnerFitness {
    private deferUntil = -Infinity;
    private nextComparisonAt = -Infinity;

    private constructor(private readonly options: OwnerFitnessOptions) {
        options.peers.on(fitnessTopic, async () => ({ isFit: await this.isFit() }));
    }

    static create(options: OwnerFitnessOptions): OwnerFitness {
        return new OwnerFitness(options);
    }

    /** Set when the process shuts down, after which it is no longer fit. */
    isStopping = false;

    /** Rank of this entry among those that could take over from `owner`; 0 takes over first. */
    rank(owner: string | undefined): number {
        return this.options.links.rank(owner) + (this.isDeferring() ? deferredRankOffset : 0);
    }

    /** Defers to other entries for `deferMs`. */
    startDeferring(): void {
        this.deferUntil = this.options.timer.now() + deferMs;
    }

    /** Schedules the next comparison with the peers; called when a tenure begins. */
    scheduleComparison(): void {
        this.nextComparisonAt = this.options.timer.now() + comparisonPeriodMs;
    }

    /** Whether a clearly stronger peer reports that it is fit as the owner; checked once per `comparisonPeriodMs`. */
    async hasStrongerCandidate(): Promise<boolean> {
        const { entry, peers, timer, log, members } = this.options;
        if (timer.now() < this.nextComparisonAt) {
            return false;
        }
        this.scheduleComparison();
        const others = peers.connected().map(({ vm }) => members.rankedEntry(vm));
        const stronger = findStrongerCandidate(members.rankedEntry(entry), others);
        if (stronger === undefined) {
            return false;
        }
        try {
            const answer = await peers.request(stronger.entry, fitnessTopic, {}, maxHealthyProbeMs) as {
                isFit: boolean;
            };
            return answer.isFit;
        }
        catch (err) {
            // A peer that does not answer is no better owner; it is asked again at the next comparison.
            log.write(Severity.Warn, EventId.PeerLost, { peer: stronger.entry, err: messageOf(err) });
            return false;
        }
    }

    /** Whether this process is slow, or has released the domain within `deferMs`. */
    private isDeferring(): boolean {
        return this.options.lag.isLagging || this.options.timer.now() < this.deferUntil;
    }

    /** Whether this entry is fit to be the owner: it is not slow, and a read from the store is fast enough. */
    private async isFit(): Promise<boolean> {
        const { store, timer, name, log } = this.options;
        if (this.isDeferring() || this.isStopping) {
            return false;
        }
        const startedAt = timer.now();
        try {
            await readRow(store, ownerKey(name));
            return timer.now() - startedAt < maxHealthyProbeMs;
        }
        catch (err) {
            log.write(Severity.Warn, EventId.StoreUnavailable, { err: messageOf(err) });
            return false;
        }
    }
}
