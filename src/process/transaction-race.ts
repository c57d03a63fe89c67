/**
 * Several sends of one transaction, of which its conditions let at most one commit. The race settles with the first conclusive
 * outcome; without one, it is uncertain as soon as one of the sends was.
 *
 * Load pattern: a store that falls silent for seconds. A call that it dropped is answered by nobody, so whoever waits for the
 * call's own time-out loses up to that long after the store is back.
 */
import { messageOf } from "./errors.js";
import { type TransactionOutcome, TransactionStatus } from "./rows.js";
import type { Timer } from "./timer.js";

/** Sends of one transaction. */
export class TransactionRace {
    private pendingCount = 0;
    private isUncertain = false;
    private resolveResult: (outcome: TransactionOutcome) => void = () => undefined;
    /** Whether the outcome is known, after which no further send is of use. */
    isSettled = false;
    /** Outcome of the race; never rejects. */
    readonly result: Promise<TransactionOutcome>;

    private constructor() {
        this.result = new Promise(resolve => {
            this.resolveResult = resolve;
        });
    }

    static create(): TransactionRace {
        return new TransactionRace();
    }

    /** Adds a send; one that rejects counts as uncertain. */
    add(send: Promise<TransactionOutcome>): void {
        this.pendingCount++;
        send.then(
            outcome => this.settle(outcome),
            (err: unknown) => this.settle({ kind: TransactionStatus.Unknown, reason: messageOf(err) }),
        );
    }

    private settle(outcome: TransactionOutcome): void {
        this.pendingCount--;
        this.isUncertain ||= outcome.kind === TransactionStatus.Unknown;
        const isConclusive = outcome.kind === TransactionStatus.Committed
            || outcome.kind === TransactionStatus.Conflict || outcome.kind === TransactionStatus.Invalid;
        if (!this.isSettled && (isConclusive || this.pendingCount === 0)) {
            this.isSettled = true;
            const kind = TransactionStatus.Unknown;
            this.resolveResult(isConclusive || !this.isUncertain ? outcome : { kind, reason: "no answer" });
        }
    }
}

/** When a transaction is sent again. */
export interface RepeatOptions {
    /** Time after each send at which its answer is overdue, in milliseconds. */
    readonly overdueMs: number;
    /** Most sends in all. */
    readonly maxSends: number;
    /** Whether to send again now; always by default. */
    readonly shouldRepeat?: () => boolean;
}

/** Sends a transaction, and again beside the open sends each time its answer is overdue, until the race is settled. */
export function raceRepeated(
    timer: Timer,
    send: () => Promise<TransactionOutcome>,
    { overdueMs, maxSends, shouldRepeat = () => true }: RepeatOptions,
): TransactionRace {
    const race = TransactionRace.create();
    let sends = 1;
    race.add(send());
    const cancel = timer.every(overdueMs, () => {
        if (race.isSettled || sends >= maxSends) {
            cancel();
        }
        else if (shouldRepeat()) {
            sends++;
            race.add(send());
        }
    });
    void race.result.then(cancel);
    return race;
}
