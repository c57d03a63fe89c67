/**
 * Token buckets that determine which jobs are within their team's share. If a team submits many times its usual
 * load, the excess waits behind the work of all other teams.
 */
import type { Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";

/** Size of a team's bucket, in seconds of its rate. */
const burstSeconds = 2;
const msPerSecond = 1000;

interface TokenBucket {
    tokens: number;
    refilledAt: number;
}

/** Limits each team's share by its weight, in jobs per second; a weight of 0 or less sets no limit. */
export class TeamShareLimiter {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor(
        private readonly timer: Timer,
        private readonly directory: () => Directory | undefined,
    ) {}

    static create(timer: Timer, directory: () => Directory | undefined): TeamShareLimiter {
        return new TeamShareLimiter(timer, directory);
    }

    /**
     * Takes a token for a job that a team submitted at the monotonic time `now`, in milliseconds; returns true if there is
     * none, so that the job exceeds the team's share.
     */
    chargeJob(team: string, now = this.timer.now()): boolean {
        const weight = this.directory()?.teams.get(team)?.weight ?? 0;
        if (weight <= 0) {
            return false;
        }
        const capacity = Math.max(1, weight * burstSeconds);
        const bucket = this.buckets.get(team) ?? { tokens: capacity, refilledAt: now };
        this.buckets.set(team, bucket);
        bucket.tokens = Math.min(
            capacity,
            bucket.tokens + Math.max(0, now - bucket.refilledAt) * weight / msPerSecond,
        );
        bucket.refilledAt = Math.max(now, bucket.refilledAt);
        if (bucket.tokens < 1) {
            return true;
        }
        bucket.tokens--;
        return false;
    }

    /** Tokens in each team's bucket now. */
    amounts(): readonly (readonly [string, number])[] {
        const now = this.timer.now();
        return [...this.buckets].map(([team, { tokens, refilledAt }]) => {
            const weight = this.directory()?.teams.get(team)?.weight ?? 0;
            const refilled = tokens + Math.max(0, now - refilledAt) * weight / msPerSecond;
            return [team, Math.min(Math.max(1, weight * burstSeconds), refilled)];
        });
    }

    /** Replaces the buckets by those that held these tokens at the monotonic time `at`, in milliseconds. */
    restore(amounts: readonly (readonly [string, number])[], at: number): void {
        this.buckets.clear();
        amounts.forEach(([team, tokens]) => this.buckets.set(team, { tokens, refilledAt: at }));
    }
}
