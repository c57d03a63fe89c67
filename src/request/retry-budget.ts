/** Retry budget: limits retries to a fixed fraction of first attempts, so that failures do not multiply the load. */

/** Options of `RetryBudget.create`. */
export interface RetryBudgetOptions {
    /** Retries added to the budget by each first attempt. */
    readonly ratio?: number;
    /** Maximum balance; also the initial one. */
    readonly burst?: number;
}

/** Balance of permitted retries. */
export class RetryBudget {
    private balance: number;

    private constructor(private readonly ratio: number, private readonly burst: number) {
        this.balance = burst;
    }

    static create({ ratio = 0.2, burst = 10 }: RetryBudgetOptions = {}): RetryBudget {
        return new RetryBudget(ratio, burst);
    }

    /** Credits a first attempt. */
    deposit(): void {
        this.balance = Math.min(this.burst, this.balance + this.ratio);
    }

    /** Withdraws one retry; false when the balance is below 1. */
    tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }
}
