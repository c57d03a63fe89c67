/** Limits the rate at which one client address may present bad keys. */
import { TokenBucket } from "../process/token-bucket.js";

const badKeysPerSecond = 1;
const badKeyBurst = 20;
/** Bounds the memory; beyond it, the address that was added first is evicted. */
const maxTrackedAddresses = 10_000;

/** Rate limiter for bad keys, with one token bucket for each address. */
export class BadKeyLimiter {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor(private readonly now: () => number) {}

    static create(now: () => number): BadKeyLimiter {
        return new BadKeyLimiter(now);
    }

    /** Whether the address has exhausted its allowance of bad keys. */
    isBlocked(address: string): boolean {
        const bucket = this.buckets.get(address);
        return bucket !== undefined && bucket.msUntilAvailable() > 0;
    }

    recordBadKey(address: string): void {
        this.bucketOf(address).tryTake();
    }

    private bucketOf(address: string): TokenBucket {
        let bucket = this.buckets.get(address);
        if (bucket === undefined) {
            this.evictOldest();
            bucket = TokenBucket.create({ perSecond: badKeysPerSecond, burst: badKeyBurst, now: this.now });
            this.buckets.set(address, bucket);
        }
        return bucket;
    }

    private evictOldest(): void {
        if (this.buckets.size >= maxTrackedAddresses) {
            const [oldest] = this.buckets.keys();
            this.buckets.delete(oldest!);
        }
    }
}
