/** Retry budget: retries may be at most a fixed part of first attempts, so that failures do not multiply load. */

/** Options of `RetryBudget.create`. */
export interface RetryBudgetOptions {
    /** Retries earned by each first attempt. */
    readonly ratio?: number;
    /** Most retries that can be saved up. */
    readonly burst?: number;
}

/** Retries earned by first attempts and spent one by one. */
export class RetryBudget {
    private balance: number;

    private constructor(private readonly ratio: number, private readonly burst: number) {
        this.balance = burst;
    }

    static create({ ratio = 0.2, burst = 10 }: RetryBudgetOptions = {}): RetryBudget {
        return new RetryBudget(ratio, burst);
    }

    /** Counts a first attempt. */
    deposit(): void {
        this.balance = Math.min(this.burst, this.balance + this.ratio);
    }

    /** Takes one retry if there is one. */
    tryWithdraw(): boolean {
        if (this.balance < 1) {
            return false;
        }
        this.balance--;
        return true;
    }
}
