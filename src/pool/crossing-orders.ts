/**
 * Orders that may have reached another incarnation of a worker than the one that they were meant for. An order names the id
 * only, and its lease end is a time on the clock of the incarnation that it was computed for. On the clock of another one that
 * may be any time ahead, so that the worker shortens the lease to the longest one that the platform allows. Clocks start anew
 * with each incarnation, at any value: a reading does not tell how long an incarnation has run.
 *
 * An incarnation rejects such orders from its first answer to an order with its own fencing token. Until then they count as
 * arrived, unless it is known that there are none.
 */
import type { WorkerState } from "./worker-state.js";

/** Longest time from sending an order until it is carried out, in milliseconds. */
export const maxOrderDelayMs = 20_000;

/** Orders for other incarnations that may have reached an incarnation before its first answer under its own token. */
export enum CrossingOrders {
    /** None, or an earlier owner has accounted for them: it has started runs on the same incarnation. */
    None = "none",
    /** Those of this owner, for a former incarnation. */
    Own = "own",
    /** Those of earlier owners, which may have known another incarnation. */
    EarlierOwners = "earlier-owners",
}

/** Options of `OrderHistory.create`. */
export interface OrderHistoryOptions {
    /** Monotonic time until which orders of earlier owners may arrive, in milliseconds; -Infinity, the default, if there are none. */
    readonly earlierUntil?: number;
    /** Whether those owners have told which leases orders for other incarnations may have set; true by default. */
    readonly areEarlierBoundsKnown?: boolean;
}

/** Until when orders for other incarnations of workers may arrive, as one owner knows it. All times are monotonic, in milliseconds. */
export class OrderHistory {
    /** Times until which this owner's orders for workers that were removed may arrive, by worker id. */
    private readonly removedUntil = new Map<string, number>();

    private constructor(private readonly options: Required<OrderHistoryOptions>) {}

    static create(
        { earlierUntil = -Infinity, areEarlierBoundsKnown = true }: OrderHistoryOptions = {},
    ): OrderHistory {
        return new OrderHistory({ earlierUntil, areEarlierBoundsKnown });
    }

    /** Records that a worker is removed from the registry, at `now` at the latest. */
    recordRemoved(worker: WorkerState, now: number): void {
        // In the order of removal, so that each worker is looked at about once.
        for (const [id, until] of this.removedUntil) {
            if (until > now) {
                break;
            }
            this.removedUntil.delete(id);
        }
        this.removedUntil.delete(worker.id);
        this.removedUntil.set(worker.id, lastArrivalOf(worker));
    }

    /** Time until which this owner's orders for a worker that was removed may arrive; -Infinity if there are none. */
    removedOrdersUntil(id: string): number {
        return this.removedUntil.get(id) ?? -Infinity;
    }

    /** Which orders for other incarnations may have reached the present one of a worker by its first answer under its token at `now`. */
    crossingOrders(worker: WorkerState, now: number): CrossingOrders {
        if (now < worker.formerOrdersUntil) {
            return CrossingOrders.Own;
        }
        const { earlierUntil, areEarlierBoundsKnown } = this.options;
        const wasKnownEarlier = areEarlierBoundsKnown && hasEarlierRun(worker);
        return now < earlierUntil && !wasKnownEarlier ? CrossingOrders.EarlierOwners : CrossingOrders.None;
    }
}

/** Time until which an owner's orders with a lease may arrive at any incarnation of a worker; monotonic, in milliseconds. */
export function lastArrivalOf({ leaseSentAt, formerOrdersUntil }: WorkerState): number {
    return Math.max(leaseSentAt + maxOrderDelayMs, formerOrdersUntil);
}

/** Whether an earlier owner has started a run on the present incarnation, which had accepted that owner's token before. */
function hasEarlierRun({ runs, startedAtMs }: WorkerState): boolean {
    return [...runs.values()].some(({ isInherited, workerIncarnation }) =>
        isInherited && workerIncarnation === startedAtMs
    );
}
