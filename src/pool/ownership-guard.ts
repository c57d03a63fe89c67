/**
 * A tenure's permission to send orders: how recently the store has confirmed that this entry is still the owner, and the
 * state on which the next write is conditional.
 */
import { messageOf } from "../process/errors.js";
import { EventId, Severity } from "../process/events.js";
import type { Log } from "../process/log.js";
import {
    isSameRow,
    readRow,
    type RowPut,
    type RowStore,
    type TransactionOutcome,
    TransactionStatus,
} from "../process/rows.js";
import type { Timer } from "../process/timer.js";
import type { LedgerHead } from "./ledger.js";
import { ownerKey } from "./ownership.js";
import type { TenureTimes } from "./tenure-context.js";

/** Options of `OwnershipGuard.create`. */
export interface OwnershipGuardOptions {
    readonly head: LedgerHead;
    readonly store: RowStore;
    readonly timer: Timer;
    readonly log: Log;
    readonly times: TenureTimes;
    /** Called once if the tenure ends because another entry has taken the domain over. */
    readonly onSuperseded: () => void;
}

/** Why an order may not be sent now. */
export enum OrderBar {
    /** The tenure has ended. */
    OwnershipEnded = "ownership-ended",
    /** The ownership was not confirmed recently enough. */
    Unconfirmed = "unconfirmed",
}

/** Jump of the wall clock against the monotonic clock from which the process is assumed to have been suspended. */
const suspendThresholdMs = 400;

/** Guards that only the owner sends orders. */
export class OwnershipGuard {
    /** State on which the next batch is conditional. */
    head: LedgerHead;
    private hasEnded = false;
    private confirmedAt: number;
    /** Monotonic time at which the last suspension was seen; requests sent before it confirm nothing. */
    private suspensionSeenAt = -Infinity;
    /** Wall clock less monotonic clock, as last seen; a change reveals a suspension of the process. */
    private wallClockOffsetMs: number;

    private constructor(private readonly options: OwnershipGuardOptions) {
        const now = options.timer.now();
        this.head = options.head;
        this.confirmedAt = now;
        this.wallClockOffsetMs = options.timer.wall() - now;
    }

    static create(options: OwnershipGuardOptions): OwnershipGuard {
        return new OwnershipGuard(options);
    }

    get isActive(): boolean {
        return !this.hasEnded;
    }

    /** Ends the permission to send orders. */
    end(): void {
        this.hasEnded = true;
    }

    /** Records that a request sent at the monotonic time `sentAt` has confirmed the ownership. */
    recordConfirmed(sentAt: number): void {
        if (sentAt >= this.suspensionSeenAt) {
            this.confirmedAt = Math.max(this.confirmedAt, sentAt);
        }
    }

    /** Whether orders may be sent: ownership was confirmed within `trustMs`, and the process not suspended since. */
    mayOrder(): boolean {
        return this.orderBar(this.options.times.trustMs) === undefined;
    }

    /**
     * Why an order may not be sent now; undefined if it may. A request that has confirmed the ownership must have been sent
     * within the last `maxConfirmationAgeMs` milliseconds. Valid until the next wait: ask again after each.
     */
    orderBar(maxConfirmationAgeMs: number): OrderBar | undefined {
        const { timer } = this.options;
        const now = timer.now();
        const jumpMs = timer.wall() - now - this.wallClockOffsetMs;
        if (Math.abs(jumpMs) > suspendThresholdMs) {
            this.wallClockOffsetMs += jumpMs;
            this.confirmedAt = -Infinity;
            this.suspensionSeenAt = now;
            if (this.isActive) {
                void this.confirm();
            }
        }
        if (!this.isActive) {
            return OrderBar.OwnershipEnded;
        }
        return now - this.confirmedAt < maxConfirmationAgeMs ? undefined : OrderBar.Unconfirmed;
    }

    /** Checks with the store whether this entry is still the owner; false also when the store cannot be read. */
    async confirm(): Promise<boolean> {
        const { store, timer } = this.options;
        const sentAt = timer.now();
        try {
            const row = await readRow(store, ownerKey(this.head.domain));
            if (row?.version !== this.head.ownerVersion) {
                this.supersede(`owner row is no longer at version ${this.head.ownerVersion}`);
                return false;
            }
            this.recordConfirmed(sentAt);
            return this.isActive;
        }
        catch (err) {
            this.options.log.write(Severity.Warn, EventId.OwnerUnconfirmed, { err: messageOf(err) });
            return false;
        }
    }

    /** Stores a row, conditional on its current version and on this entry's ownership. */
    async putIfOwner(put: RowPut, version: number): Promise<TransactionOutcome> {
        const { store, timer } = this.options;
        const sentAt = timer.now();
        const owner = { ...ownerKey(this.head.domain), version: this.head.ownerVersion };
        const { table, part, key } = put;
        const conditions = [owner, { table, part, key, version }];
        const outcome = await store.transact({ conditions, puts: [put], removals: [] });
        if (outcome.kind === TransactionStatus.Committed) {
            this.recordConfirmed(sentAt);
        }
        if (outcome.kind === TransactionStatus.Conflict) {
            const found = outcome.rows.find(row => isSameRow(row, owner));
            if (found?.version !== owner.version) {
                this.supersede(`owner row is no longer at version ${this.head.ownerVersion}`);
            }
        }
        return outcome;
    }

    /** Ends the tenure because another entry has taken the domain over; `cause` goes into the log. */
    supersede(cause: string): void {
        if (this.isActive) {
            this.options.log.write(Severity.Warn, EventId.OwnerSuperseded, {
                domain: this.head.domain,
                fence: this.head.owner.fence,
                cause,
            });
            this.options.onSuperseded();
        }
    }
}
