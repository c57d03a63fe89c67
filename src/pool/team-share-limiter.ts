/**
 * Which jobs lie within what their team may count on. Answers one team sending many times its usual: its excess
 * waits behind the work of all others.
 */
import type { Timer } from "../process/timer.js";
import type { Directory } from "../version/directory.js";

/** Seconds of its weight that a team may send at once. */
const burstSeconds = 2;
const msPerSecond = 1000;

interface TokenBucket {
    tokens: number;
    refilledAt: number;
}

/** Counts the jobs of each team against its weight in jobs a second. */
export class TeamShareLimiter {
    private readonly buckets = new Map<string, TokenBucket>();

    private constructor(
        private readonly timer: Timer,
        private readonly directory: () => Directory | undefined,
    ) {}

    static create(timer: Timer, directory: () => Directory | undefined): TeamShareLimiter {
        return new TeamShareLimiter(timer, directory);
    }

    /** Takes one job of a team into account; true when it goes beyond the team's share. */
    chargeJob(team: string): boolean {
        const weight = this.directory()?.teams.get(team)?.weight ?? 0;
        if (weight <= 0) {
            return false;
        }
        const now = this.timer.now();
        const most = Math.max(1, weight * burstSeconds);
        const allowance = this.buckets.get(team) ?? { tokens: most, refilledAt: now };
        this.buckets.set(team, allowance);
        allowance.tokens = Math.min(
            most,
            allowance.tokens + (now - allowance.refilledAt) * weight / msPerSecond,
        );
        allowance.refilledAt = now;
        if (allowance.tokens < 1) {
            return true;
        }
        allowance.tokens--;
        return false;
    }
}
