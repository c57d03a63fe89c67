/** Token bucket that limits a rate with a bounded burst. */

/** Options of `TokenBucket.create`. */
export interface TokenBucketOptions {
    /** Tokens added each second. */
    readonly perSecond: number;
    /** Capacity of the bucket, in tokens. */
    readonly burst: number;
    /** Monotonic clock in milliseconds. */
    readonly now: () => number;
}

const msPerSecond = 1000;

/** A bucket that refills at a constant rate up to its capacity. It starts full. */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    private constructor(private options: TokenBucketOptions) {
        this.tokens = options.burst;
        this.refilledAt = options.now();
    }

    static create(options: TokenBucketOptions): TokenBucket {
        return new TokenBucket(options);
    }

    /** Takes `amount` tokens if that many are available; otherwise takes none and returns false. */
    tryTake(amount = 1): boolean {
        this.refill();
        if (this.tokens < amount) {
            return false;
        }
        this.tokens -= amount;
        return true;
    }

    /** Milliseconds until `amount` tokens will be available; 0 if they are available now. */
    msUntilAvailable(amount = 1): number {
        this.refill();
        return Math.max(0, (amount - this.tokens) / this.options.perSecond * msPerSecond);
    }

    /** Changes the refill rate; tokens already in the bucket are kept. */
    setRate(perSecond: number): void {
        this.refill();
        this.options = { ...this.options, perSecond };
    }

    private refill(): void {
        const now = this.options.now();
        const added = (now - this.refilledAt) / msPerSecond * this.options.perSecond;
        this.tokens = Math.min(this.options.burst, this.tokens + added);
        this.refilledAt = now;
    }
}
