/**
 * How much of a domain each account has used lately, relative to its weight.
 *
 * Load pattern: one account sends several times its usual rate for some seconds while the pool is short of capacity. What it
 * has running now does not show this, since short tasks end all the time; what it used over the last seconds does.
 */
import { noResources, type Resources } from "../../process/resources.js";

/**
 * Time constant of the decay of usage, in milliseconds. With 10 s, two floods of 6.5 s cost the other accounts 2.0 % of their
 * service, with 20 s 0.9 %; the usage of an account that sends less than a job per second is chance over shorter times.
 */
export const usageDecayMs = 20_000;
/**
 * Time for which running work is counted in advance, in milliseconds: about one short task. Without it, an account that was
 * idle would get all capacity until its usage of the past has caught up with that of the others.
 */
const commitmentMs = 1000;
/** Usage below which an account without running work is forgotten. */
const negligibleUsage = 1e-5;

/** A fraction of the domain for each of some accounts. */
export type AccountAmounts = readonly (readonly [string, number])[];

/** Usage of accounts and what they had running at some time. */
export interface UsageState {
    readonly usage: AccountAmounts;
    readonly running: AccountAmounts;
}

/** Tracks the decaying dominant share of each account; services are not counted. */
export class AccountUsage {
    private readonly usage = new Map<string, number>();
    private shares: ReadonlyMap<string, number> = new Map();
    private updatedAt: number | undefined;

    static create(): AccountUsage {
        return new AccountUsage();
    }

    /**
     * Advances to the monotonic time `now` in milliseconds; until the next call, the accounts use these resources of the
     * domain's `capacity`.
     */
    advance(now: number, running: ReadonlyMap<string, Resources>, capacity: Resources): void {
        const elapsedMs = Math.max(0, now - (this.updatedAt ?? now));
        const kept = Math.exp(-elapsedMs / usageDecayMs);
        this.updatedAt = now;
        for (const account of new Set([...this.usage.keys(), ...this.shares.keys()])) {
            const share = this.shares.get(account) ?? 0;
            const used = (this.usage.get(account) ?? 0) * kept + share * (1 - kept);
            if (used < negligibleUsage && !running.has(account)) {
                this.usage.delete(account);
            }
            else {
                this.usage.set(account, used);
            }
        }
        this.shares = new Map(
            [...running].map(([account, used]) => [account, dominantShare(used, capacity)]),
        );
    }

    /** Usage of an account, as a fraction of the domain, with the given share counted as running in addition. */
    usageOf(account: string, addedShare = 0): number {
        const running = (this.shares.get(account) ?? 0) + addedShare;
        return (this.usage.get(account) ?? 0) + running * commitmentMs / usageDecayMs;
    }

    /** Accounts that have used something lately. */
    get accounts(): ReadonlySet<string> {
        return new Set([...this.usage.keys(), ...this.shares.keys()]);
    }

    /** Usage by account without the commitment, and what each has running, to be stored. */
    get state(): UsageState {
        return { usage: [...this.usage], running: [...this.shares] };
    }

    /**
     * Replaces the usage by that of the monotonic time `at`, in milliseconds. What ran then counts until the first call of
     * `advance`: without it, five changes of owner in 20 s gave two flooding accounts 5 % more capacity.
     */
    restore({ usage, running }: UsageState, at: number): void {
        this.usage.clear();
        usage.forEach(([account, used]) => this.usage.set(account, used));
        this.shares = new Map(running);
        this.updatedAt = at;
    }
}

/** Largest of the fractions of the capacity that `used` takes, over CPU, memory and accelerators. */
export function dominantShare(used: Resources, capacity: Resources = noResources): number {
    return Math.max(
        used.cpu / Math.max(1, capacity.cpu),
        used.memory / Math.max(1, capacity.memory),
        used.accelerators / Math.max(1, capacity.accelerators),
    );
}
