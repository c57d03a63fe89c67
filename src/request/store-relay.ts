/**
 * Transactions on the store that peers relay for an entry that the store leaves without an answer, or refuses, while it serves
 * others.
 */
import type { Metrics } from "../process/metrics.js";
import type { Peers } from "../process/peers.js";
import {
    type RowStore,
    type RowTransaction,
    type TransactionOutcome,
    TransactionStatus,
} from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import { raceRepeated } from "../process/transaction-race.js";

/** A store client that knows how its calls went. */
export interface RelayedStore extends RowStore {
    /** Milliseconds since the last valid answer. */
    readonly ageMs: number;
    /** Whether the last call that ended failed. */
    readonly isFailing: boolean;
}

/** Options of `StoreRelay.create`. */
export interface StoreRelayOptions {
    readonly store: RelayedStore;
    readonly peers: Peers;
    readonly timer: Timer;
    readonly metrics: Metrics;
}

const relayTopic = "store.relay";
/** Wait for one peer's reply before the next peer is tried. */
const relayTimeoutMs = 500;
/** Most peers that are tried, one after the other, to relay a transaction. */
const maxRelayPeers = 3;
/** Time without any answer of the store after which a transaction is also relayed by a peer. */
const hedgeAfterMs = 400;
/** Time without any answer of the store after which a transaction is sent again, and most sends of it. */
const repeatAfterMs = 500;
const maxSends = 5;
const refusedByPeers: TransactionOutcome = {
    kind: TransactionStatus.Refused,
    reason: "no peer reaches the store",
};

/** Carries transactions out directly and through peers. */
export class StoreRelay {
    /** Position, among the connected peers, of the one to ask first. */
    private relayPeerIndex = 0;

    private constructor(private readonly options: StoreRelayOptions) {}

    static create(options: StoreRelayOptions): StoreRelay {
        return new StoreRelay(options);
    }

    /** Begins to carry out the transactions of peers. */
    start(): void {
        this.options.peers.on(relayTopic, (_, tx) => this.transactForPeer(tx as RowTransaction));
    }

    /** Carries out a peer's transaction; refuses at once while this entry does not reach the store either. */
    private async transactForPeer(tx: RowTransaction): Promise<TransactionOutcome> {
        const { store } = this.options;
        return store.isFailing
            ? { kind: TransactionStatus.Refused, reason: "the store does not answer this entry either" }
            : store.transact(tx);
    }

    /**
     * Carries out a transaction that creates one row. Once the store has been silent for a while, it is relayed as well, since
     * some stores leave single entries without answers and serve the others; and it is sent again, so that it is stored as
     * soon as a silent store is back. The row's condition lets only one of the sends commit.
     */
    transactHedged(tx: RowTransaction): Promise<TransactionOutcome> {
        const { store, timer, metrics } = this.options;
        const sentAt = timer.now();
        const isStoreSilent = (): boolean => store.ageMs >= timer.now() - sentAt;
        const race = raceRepeated(timer, () => store.transact(tx), {
            overdueMs: repeatAfterMs,
            maxSends,
            shouldRepeat: isStoreSilent,
        });
        const cancelHedge = timer.after(hedgeAfterMs, () => {
            if (isStoreSilent()) {
                metrics.count("celerywind_hedged_transactions_total");
                race.add(this.relayByPeers(tx).then(outcome => outcome ?? refusedByPeers));
            }
        });
        void race.result.then(cancelHedge);
        return race.result;
    }

    /**
     * Has a peer carry out a transaction; falls back to this entry's own connection to the store. A refusal there
     * counts as unknown if a peer may have carried the transaction out without a conclusive reply.
     */
    async transactByPeers(tx: RowTransaction): Promise<TransactionOutcome> {
        const relayed = await this.relayByPeers(tx);
        if (relayed !== undefined && relayed.kind !== TransactionStatus.Unknown) {
            return relayed;
        }
        const outcome = await this.options.store.transact(tx);
        return outcome.kind === TransactionStatus.Refused && relayed !== undefined ? relayed : outcome;
    }

    /**
     * Has peers carry out a transaction, one after the other until it is concluded; the peer that did is asked first the
     * next time. Unknown if a peer may have carried it out without a conclusive reply; undefined if none has.
     */
    private async relayByPeers(tx: RowTransaction): Promise<TransactionOutcome | undefined> {
        const { peers, metrics } = this.options;
        const connected = peers.connected();
        let isUncertain = false;
        for (let i = 0; i < Math.min(maxRelayPeers, connected.length); i++) {
            const peer = connected[this.relayPeerIndex % connected.length]!;
            try {
                const outcome = await peers.request(
                    peer.vm,
                    relayTopic,
                    tx,
                    relayTimeoutMs,
                ) as TransactionOutcome;
                metrics.count("celerywind_relayed_transactions_total", { outcome: outcome.kind });
                if (
                    outcome.kind === TransactionStatus.Committed
                    || outcome.kind === TransactionStatus.Conflict
                ) {
                    return outcome;
                }
                isUncertain ||= outcome.kind === TransactionStatus.Unknown;
            }
            catch (err) {
                isUncertain ||= (err as { wasSent?: boolean }).wasSent !== false;
                metrics.count("celerywind_relayed_transactions_total", { outcome: "no-answer" });
            }
            this.relayPeerIndex++;
        }
        return isUncertain
            ? { kind: TransactionStatus.Unknown, reason: "a relayed transaction was not answered" }
            : undefined;
    }
}
